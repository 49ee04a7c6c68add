"""Logging through absl, with a prefix for each part of the program."""

from __future__ import annotations

import functools
import sys
from types import ModuleType

__all__ = ["PartLog", "configure_logs"]

_configured = False


@functools.cache
def _absl() -> ModuleType:
    """Imports and returns absl's logging on first use; the import takes 40 ms, which would delay the process start."""
    from absl import logging

    for method in ("info", "warning", "error", "exception"):
        # Makes log lines name the caller's file and line instead of this module's.
        logging.ABSLLogger.register_frame_to_skip(__file__, method)
    return logging


class PartLog:
    """Logger that prefixes messages with the name of one part of the program.

    `info` is discarded until `configure_logs` is called.

    >>> log = PartLog("raft")
    >>> log.prefix
    'raft: '
    """

    __slots__ = ("prefix",)

    def __init__(self, part: str):
        self.prefix = f"{part}: "

    def info(self, message: str, *args: object) -> None:
        """Logs a normal event, if logging is configured."""
        if not _configured:
            return
        _absl().info(self.prefix + message, *args)

    def warning(self, message: str, *args: object) -> None:
        """Logs an event that may need an operator's attention."""
        _absl().warning(self.prefix + message, *args)

    def error(self, message: str, *args: object) -> None:
        """Logs a fault of this program or its VM."""
        _absl().error(self.prefix + message, *args)

    def exception(self, message: str, *args: object) -> None:
        """Logs a fault with the traceback of the current exception."""
        _absl().exception(self.prefix + message, *args)


def configure_logs(level: str) -> None:
    """Logs to standard error from `level` (``debug``, ``info``, ``warning`` or ``error``) upwards."""
    global _configured
    _configured = True
    _absl().use_absl_handler()
    _absl().set_verbosity(level)
    _absl().get_absl_handler().python_handler.stream = sys.stderr
