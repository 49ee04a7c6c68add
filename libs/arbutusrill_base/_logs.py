"""Log lines of absl with a fixed prefix for each part of the program."""

from __future__ import annotations

import functools
import sys
from types import ModuleType

__all__ = ["PartLog", "configure_logs"]

_configured = False


@functools.cache
def _absl() -> ModuleType:
    """Returns absl's logging; its import takes 40 ms, which a process that only logs faults need not spend at start."""
    from absl import logging

    for method in ("info", "warning", "error", "exception"):
        # Log lines then name the caller's file and line instead of this module's.
        logging.ABSLLogger.register_frame_to_skip(__file__, method)
    return logging


class PartLog:
    """Writes log lines that start with the name of one part; normal events only after `configure_logs`.

    >>> log = PartLog("raft")
    >>> log.prefix
    'raft: '
    """

    __slots__ = ("prefix",)

    def __init__(self, part: str):
        self.prefix = f"{part}: "

    def info(self, message: str, *args: object) -> None:
        """Logs a normal event."""
        if not _configured:
            return
        _absl().info(self.prefix + message, *args)

    def warning(self, message: str, *args: object) -> None:
        """Logs an event that an operator may want to look at."""
        _absl().warning(self.prefix + message, *args)

    def error(self, message: str, *args: object) -> None:
        """Logs a fault of this program or its VM."""
        _absl().error(self.prefix + message, *args)

    def exception(self, message: str, *args: object) -> None:
        """Logs a fault together with the current exception's traceback."""
        _absl().exception(self.prefix + message, *args)


def configure_logs(level: str) -> None:
    """Sends log lines of `level` (``debug``, ``info``, ``warning`` or ``error``) and above to stderr."""
    global _configured
    _configured = True
    _absl().use_absl_handler()
    _absl().set_verbosity(level)
    _absl().get_absl_handler().python_handler.stream = sys.stderr
