"""The operators' command-line tool `arbutusrill`."""

from ._client import OperatorClient, OperatorError
from ._main import main

__all__ = ["OperatorClient", "OperatorError", "main"]
