"""Suspected parts of prompts last recorded by the leader."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_wire import messages

__all__ = ["PromptTable"]


class PromptTable:
    """Record of the parts of prompts that are suspected of crashing engines, with which a new leader starts.

    >>> table = PromptTable()
    >>> table.record().parts
    []
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._record = messages.PutPromptSuspects([], [])

    def put(self, record: Any) -> None:
        """Replaces the record; None, as in a snapshot of an earlier version, clears it."""
        with self._lock:
            self._record = record if record is not None else messages.PutPromptSuspects([], [])

    def record(self) -> Any:
        """Returns the record, a `PutPromptSuspects` message that must not be changed."""
        with self._lock:
            return self._record
