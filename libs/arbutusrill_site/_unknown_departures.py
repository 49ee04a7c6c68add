"""Departures of backend servers of which the leader knows no start."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

__all__ = ["UnknownDepartures"]

_TTL_S = 30.0
_MIN_SPAN_S = 1.0  # announcements that were delayed by the same pause arrive at about the same time
_MAX_DEPARTURES = 1000


class UnknownDepartures:
    """Tells late announcements of servers that have left from those of servers that run.

    Without a start, a departure cannot say which announcements it outdates. For a while after it, a server counts as
    running once its announcements go on: a late one proves nothing.

    >>> from arbutusrill_wire import messages
    >>> departures = UnknownDepartures()
    >>> departures.record("a", 10.0)
    >>> reports = [(messages.BackendRecord("a", 5, 1), 11.0), (messages.BackendRecord("a", 5, 2), 12.1)]
    >>> [departures.admits(*report) for report in reports]
    [False, True]
    >>> departures.admits(messages.BackendRecord("b", 5, 1), 11.0)
    True
    """

    __slots__ = ("_entry_by_id",)

    def __init__(self) -> None:
        # Time of the departure; start, sequence number and time of the first announcement after it.
        self._entry_by_id: OrderedDict[str, tuple[float, tuple[int, int, float] | None]] = OrderedDict()

    def record(self, backend: str, now: float) -> None:
        """Records a departure."""
        self._entry_by_id[backend] = (now, None)
        self._entry_by_id.move_to_end(backend)
        while len(self._entry_by_id) > _MAX_DEPARTURES:
            self._entry_by_id.popitem(last=False)

    def admits(self, record: Any, now: float) -> bool:
        """Returns whether an announcement shows that its server runs."""
        departed_at, first = self._entry_by_id.get(record.id, (float("-inf"), None))
        if now - departed_at > _TTL_S:
            self._entry_by_id.pop(record.id, None)
            return True
        if first is None or first[0] != record.started_ms:
            self._entry_by_id[record.id] = (departed_at, (record.started_ms, record.sequence, now))
            return False
        if record.sequence <= first[1] or now - first[2] < _MIN_SPAN_S:
            return False
        del self._entry_by_id[record.id]
        return True
