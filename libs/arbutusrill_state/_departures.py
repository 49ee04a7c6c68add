"""Backend servers that have said that they leave."""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import Any

__all__ = ["Departures"]

_KEPT = 1000  # latest departures; a server that left before them has long ended


class Departures:
    """The last word of each backend server that leaves, kept in the log so that no change of leader forgets it.

    >>> from arbutusrill_wire import messages
    >>> departures = Departures()
    >>> departures.put(messages.PutDeparture("a", 100, 7))
    >>> departures.covers("a", 100, 7), departures.covers("a", 100, 8), departures.covers("a", 99, 20)
    (True, False, True)
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._record_by_id: OrderedDict[str, Any] = OrderedDict()

    def put(self, record: Any) -> None:
        """Takes a departure; an older one of the same server changes nothing."""
        with self._lock:
            known = self._record_by_id.get(record.id)
            if known is None or (record.started_ms, record.sequence) > (known.started_ms, known.sequence):
                self._record_by_id[record.id] = record
                self._record_by_id.move_to_end(record.id)
            while len(self._record_by_id) > _KEPT:
                self._record_by_id.popitem(last=False)

    def covers(self, backend: str, started_ms: int, sequence: int) -> bool:
        """Says whether an announcement is from before the server's departure."""
        with self._lock:
            known = self._record_by_id.get(backend)
            return known is not None and (started_ms, sequence) <= (known.started_ms, known.sequence)

    def records(self) -> list[Any]:
        """Returns all departures that are kept."""
        with self._lock:
            return list(self._record_by_id.values())
