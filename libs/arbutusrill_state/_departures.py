"""Recorded departures of backend servers."""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import Any

__all__ = ["Departures"]

_MAX_DEPARTURES = 1000  # the latest ones; servers that departed earlier have terminated by now


class Departures:
    """Latest departure of each backend server, part of the replicated state so that it survives a change of leader.

    >>> from arbutusrill_wire import messages
    >>> departures = Departures()
    >>> departures.put(messages.PutDeparture("a", 100, 7))
    >>> departures.is_outdated("a", 100, 7), departures.is_outdated("a", 100, 8), departures.is_outdated("a", 99, 20)
    (True, False, True)
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._record_by_id: OrderedDict[str, Any] = OrderedDict()

    def put(self, record: Any) -> None:
        """Records a departure unless a newer one of the same server is recorded."""
        with self._lock:
            recorded = self._record_by_id.get(record.id)
            if recorded is None or (record.started_ms, record.sequence) > (recorded.started_ms, recorded.sequence):
                self._record_by_id[record.id] = record
                self._record_by_id.move_to_end(record.id)
            while len(self._record_by_id) > _MAX_DEPARTURES:
                self._record_by_id.popitem(last=False)

    def is_outdated(self, backend: str, started_ms: int, sequence: int) -> bool:
        """Returns whether an announcement is not newer than the recorded departure of its server."""
        with self._lock:
            recorded = self._record_by_id.get(backend)
            return recorded is not None and (started_ms, sequence) <= (recorded.started_ms, recorded.sequence)

    def latest_of(self, backend: str) -> tuple[int, int]:
        """Returns start and sequence number of the recorded departure of a server, zeros without one."""
        with self._lock:
            recorded = self._record_by_id.get(backend)
            return (recorded.started_ms, recorded.sequence) if recorded is not None else (0, 0)

    def records(self) -> list[Any]:
        """Returns all recorded departures."""
        with self._lock:
            return list(self._record_by_id.values())
