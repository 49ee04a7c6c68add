"""Counters of a stand-in, read by tests and by the bench."""

from __future__ import annotations

import threading
from collections import deque
from typing import Any

__all__ = ["Counters"]

_KEPT_REQUESTS = 4000


class Counters:
    """Named numbers and the requests seen lately. Safe to use from many threads."""

    def __init__(self, *names: str):
        self._lock = threading.Lock()
        self._value_by_name: dict[str, float] = dict.fromkeys(names, 0)
        self._seen: deque[dict[str, Any]] = deque(maxlen=_KEPT_REQUESTS)

    def add(self, name: str, amount: float = 1) -> None:
        """Adds to a counter."""
        with self._lock:
            self._value_by_name[name] = self._value_by_name.get(name, 0) + amount

    def peak(self, name: str, value: float) -> None:
        """Keeps the largest value of a counter."""
        with self._lock:
            self._value_by_name[name] = max(value, self._value_by_name.get(name, 0))

    def saw(self, path: str, headers: dict[str, str], request_id: str = "", query: str = "") -> None:
        """Remembers a request with its headers."""
        with self._lock:
            self._seen.append({"path": path, "query": query, "request_id": request_id, "headers": headers})

    def seen(self) -> list[dict[str, Any]]:
        """Returns the requests seen lately, oldest first."""
        with self._lock:
            return list(self._seen)

    def values(self) -> dict[str, float]:
        """Returns a copy of all numbers."""
        with self._lock:
            return dict(self._value_by_name)
