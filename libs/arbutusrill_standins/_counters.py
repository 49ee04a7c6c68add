"""Counters and request log of a stand-in, read by the tests and the benchmark."""

from __future__ import annotations

import threading
from collections import deque
from typing import Any

__all__ = ["Counters"]

_MAX_RECENT_REQUESTS = 4000


class Counters:
    """Named counters and the most recent requests. Thread-safe."""

    def __init__(self, *names: str):
        self._lock = threading.Lock()
        self._value_by_name: dict[str, float] = dict.fromkeys(names, 0)
        self._recent_requests: deque[dict[str, Any]] = deque(maxlen=_MAX_RECENT_REQUESTS)

    def add(self, name: str, amount: float = 1) -> None:
        """Adds `amount` to a counter, which starts at 0."""
        with self._lock:
            self._value_by_name[name] = self._value_by_name.get(name, 0) + amount

    def update_max(self, name: str, value: float) -> None:
        """Raises a counter to `value` if it is lower."""
        with self._lock:
            self._value_by_name[name] = max(value, self._value_by_name.get(name, 0))

    def record_request(self, path: str, headers: dict[str, str], request_id: str = "", query: str = "") -> None:
        """Records a received request with its headers; the oldest records are dropped."""
        with self._lock:
            self._recent_requests.append({"path": path, "query": query, "request_id": request_id, "headers": headers})

    def recent_requests(self) -> list[dict[str, Any]]:
        """Returns the recorded requests, oldest first."""
        with self._lock:
            return list(self._recent_requests)

    def values(self) -> dict[str, float]:
        """Returns a copy of all counters by name."""
        with self._lock:
            return dict(self._value_by_name)
