"""Data centres that operators have ordered to be evacuated, part of the replicated state."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_wire import messages

__all__ = ["EvacuationOrders"]

MAX_EVACUATED = 1000  # bounds the replies to followers


class EvacuationOrders:
    """Data centres to whose backend servers nothing more is to be sent.

    An order that holds already, or the withdrawal of one that does not, changes nothing. `revision` increases with each
    change on all replicas alike, so that a follower can tell an older state from a newer one across changes of leader.

    >>> orders = EvacuationOrders()
    >>> [orders.put("b", True), orders.put("b", True), orders.put("a", True), orders.put("c", False)]
    [True, True, True, True]
    >>> orders.revision, orders.record().data_centres
    (2, ['a', 'b'])
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._revision = 0
        self._data_centres: frozenset[str] = frozenset()

    @property
    def revision(self) -> int:
        """Number of changes so far."""
        return self._revision

    @property
    def data_centres(self) -> frozenset[str]:
        """The evacuated data centres."""
        return self._data_centres

    def put(self, data_centre: str, evacuated: bool) -> bool:
        """Sets whether a data centre is evacuated; returns False if there are too many."""
        with self._lock:
            changed = self._data_centres - {data_centre}
            if evacuated:
                changed |= {data_centre}
            if len(changed) > MAX_EVACUATED:
                return False
            if changed != self._data_centres:
                self._data_centres = changed
                self._revision += 1
            return True

    def restore(self, record: Any) -> None:
        """Replaces the state by a record; None, as in a snapshot of an earlier version, clears it."""
        with self._lock:
            self._revision = record.revision if record is not None else 0
            self._data_centres = frozenset(record.data_centres or ()) if record is not None else frozenset()

    def record(self) -> Any:
        """Returns the state as an `Evacuations` message."""
        with self._lock:
            return messages.Evacuations(self._revision, sorted(self._data_centres))
