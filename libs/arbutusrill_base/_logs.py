"""Log lines of absl with a fixed prefix for each part of the program."""

from __future__ import annotations

import sys

from absl import logging

__all__ = ["PartLog", "configure_logs"]


class PartLog:
    """Writes log lines that start with the name of one part.

    >>> log = PartLog("raft")
    >>> log.prefix
    'raft: '
    """

    __slots__ = ("prefix",)

    def __init__(self, part: str):
        self.prefix = f"{part}: "

    def info(self, message: str, *args: object) -> None:
        """Logs a normal event."""
        logging.info(self.prefix + message, *args)

    def warning(self, message: str, *args: object) -> None:
        """Logs an event that an operator may want to look at."""
        logging.warning(self.prefix + message, *args)

    def error(self, message: str, *args: object) -> None:
        """Logs a fault of this program or its VM."""
        logging.error(self.prefix + message, *args)

    def exception(self, message: str, *args: object) -> None:
        """Logs a fault together with the current exception's traceback."""
        logging.exception(self.prefix + message, *args)


for _method in ("info", "warning", "error", "exception"):
    # Log lines then name the caller's file and line instead of this module's.
    logging.ABSLLogger.register_frame_to_skip(__file__, _method)


def configure_logs(level: str) -> None:
    """Sends log lines of `level` (``debug``, ``info``, ``warning`` or ``error``) and above to stderr."""
    logging.use_absl_handler()
    logging.set_verbosity(level)
    logging.get_absl_handler().python_handler.stream = sys.stderr
