"""Log and counts of how connections end, and of requests that are rejected before the application runs."""

from __future__ import annotations

import threading
from collections import Counter

from arbutusrill_base import EventLog

__all__ = ["ConnectionEndings"]

_events = EventLog("http")


class ConnectionEndings:
    """Counts the connections of a server that have ended, by reason, and its rejected requests, by code.

    Reasons are ``response`` (one with ``Connection: close``), ``caller`` (it closed the connection), ``idle``,
    ``draining``, ``evicted`` (by another connection near the limit), ``evicted_slow`` (near that limit or for want
    of memory, while its caller sent or read slowly), ``rejected`` and ``cut`` (a response was not sent as a whole).

    >>> endings = ConnectionEndings()
    >>> endings.record("idle")
    >>> endings.by_reason()
    {'idle': 1}
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_reason: Counter[str] = Counter()
        self._count_by_code: Counter[str] = Counter()

    def record(self, reason: str) -> None:
        """Counts a connection that has ended."""
        with self._lock:
            self._count_by_reason[reason] += 1

    def record_rejection(self, status: int, code: str, caller: str, request_line: str) -> None:
        """Counts and logs a request that is rejected before the application has run."""
        with self._lock:
            self._count_by_code[code] += 1
        _events.emit("request_rejected", status=status, code=code, caller=caller, request_line=request_line)

    def record_eviction(self, stage: str, shortage: str) -> None:
        """Logs a connection that is closed for want of connections or memory because its caller is slow."""
        _events.emit("slow_connection_closed", stage=stage, shortage=shortage)

    def record_cut(self, has_begun: bool, reason: str, caller: str, request_line: str) -> None:
        """Logs a response that could not be sent as a whole."""
        _events.emit("response_cut", has_begun=has_begun, reason=reason, caller=caller, request_line=request_line)

    def by_reason(self) -> dict[str, int]:
        """Returns the number of connections that have ended since the start, by reason."""
        with self._lock:
            return dict(self._count_by_reason)

    def by_code(self) -> dict[str, int]:
        """Returns the number of rejected requests since the start, by code."""
        with self._lock:
            return dict(self._count_by_code)
