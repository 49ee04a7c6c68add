"""The daemon `arbutusrilld`."""

from ._main import main
from ._settings import DaemonSettings

__all__ = ["DaemonSettings", "main"]
