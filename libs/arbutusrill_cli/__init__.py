"""Command-line tool `arbutusrill` for operators."""

from ._client import EXIT_NO_CONTROL, OperatorClient, OperatorError
from ._main import main

__all__ = ["EXIT_NO_CONTROL", "OperatorClient", "OperatorError", "main"]
