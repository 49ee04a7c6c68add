"""Backend servers last recorded by the leader."""

from __future__ import annotations

import threading
from typing import Any

__all__ = ["BackendRoster"]


class BackendRoster:
    """List of backend servers from which a new leader starts until the servers announce themselves to it.

    >>> roster = BackendRoster()
    >>> roster.put(["a", "b"])
    >>> roster.records()
    ['a', 'b']
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: list[Any] = []

    def put(self, records: list[Any]) -> None:
        """Replaces the list."""
        with self._lock:
            self._records = list(records)

    def records(self) -> list[Any]:
        """Returns the list."""
        with self._lock:
            return list(self._records)
