"""The leader's part in orders to evacuate data centres."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from arbutusrill_base import EventLog
from arbutusrill_raft import Replica
from arbutusrill_state import EVACUATION_LEVEL, SharedState
from arbutusrill_wire import messages

__all__ = ["EvacuationLedger"]

_EVACUATIONS_LOG_FORMAT = 2  # format of the replicated log from which on entries may be evacuations
_events = EventLog("evacuations")


class EvacuationLedger:
    """Commits orders to evacuate data centres and tells the followers of them.

    `propose` commits a change and returns its outcome. `data_centres` returns those of the backend servers and entry
    VMs that the leader knows, `is_complete` whether all of them have had time to report to it. `taken_back` is called
    with a data centre before its servers are used again.
    """

    def __init__(
        self,
        log: Replica,
        state: SharedState,
        changed: threading.Condition,
        propose: Callable[[Any], Any],
        data_centres: Callable[[], set[str]],
        is_complete: Callable[[], bool],
        taken_back: Callable[[str], None] = lambda data_centre: None,
    ):
        self._taken_back = taken_back
        self._log = log
        self._state = state
        self._changed = changed
        self._propose = propose
        self._data_centres = data_centres
        self._is_complete = is_complete
        self._lock = threading.Lock()
        self._order_number = 0
        self._order_number_by_data_centre: dict[str, int] = {}
        self._orders_under_way: Counter[str] = Counter()  # by data centre

    @property
    def revision(self) -> int:
        """Revision of the orders, see `EvacuationOrders`."""
        return self._state.evacuations.revision

    def order(self, order: Any, known: bool, term: int = 0, order_number: int = -1) -> None:
        """Commits an order; the caller has confirmed the leadership.

        One that holds already is committed too: a contrary one may be in the log and not in force yet. Refuses with
        `unknown_data_centre` if neither the caller nor this leader knows the data centre, and with `superseded` if
        another order for the data centre has begun since `read` returned `term` and `order_number`, or is not committed
        yet; -1 stands for no such condition.
        """
        self._check_data_centre(order.data_centre, known)
        self._raise_feature_level()
        data_centre = order.data_centre
        with self._lock:
            if order_number >= 0 and (
                self._orders_under_way[data_centre]
                or term != self._log.leading_term()
                or order_number < self._order_number_by_data_centre.get(data_centre, 0)
            ):
                raise messages.Refused("superseded", "another order has begun since the orders were read")
            self._order_number += 1
            self._order_number_by_data_centre[data_centre] = self._order_number
            self._orders_under_way[data_centre] += 1
        try:
            self._commit(order)
        finally:
            with self._lock:
                self._orders_under_way[data_centre] -= 1

    def _commit(self, order: Any) -> None:
        orders, revision = self._state.evacuations, self._state.evacuations.revision
        if not order.evacuated and order.data_centre in orders.data_centres:
            self._taken_back(order.data_centre)
        outcome = self._propose(messages.PutEvacuation(order.data_centre, bool(order.evacuated)))
        if not outcome.accepted:
            raise messages.Refused(outcome.code, outcome.message)
        if orders.revision == revision:
            return
        with self._changed:
            self._changed.notify_all()
        _events.emit(
            "evacuation_committed",
            data_centre=order.data_centre,
            evacuated=bool(order.evacuated),
            revision=orders.revision,
        )

    def _check_data_centre(self, data_centre: str, known: bool) -> None:
        if known or data_centre in self._state.evacuations.data_centres or data_centre in self._data_centres():
            return
        if not self._is_complete():
            raise messages.Refused("unavailable", "the leader still collects the data centres of the site")
        raise messages.Refused("unknown_data_centre", f"no VM and no backend server is in data centre {data_centre!r}")

    def _raise_feature_level(self) -> None:
        """Lets the group hold evacuations; a replica of an earlier version that was silent stops when it learns of it.

        Without that, such a replica would pass over the order, and lose it when it leads.
        """
        if self._state.config.feature_level >= EVACUATION_LEVEL:
            return
        if self._log.is_format_refused(_EVACUATIONS_LOG_FORMAT):
            raise messages.Refused("unavailable", "a control VM runs a version that does not know evacuations")
        self._propose(messages.SetFeatureLevel(EVACUATION_LEVEL))
        _events.emit("feature_level_raised", level=EVACUATION_LEVEL)

    def record(self) -> Any:
        """Returns the orders as an `Evacuations` message."""
        return self._state.evacuations.record()

    def read(self) -> Any:
        """Like `record`, with what `order` compares; the caller has confirmed the leadership."""
        with self._lock:
            record = self.record()
            record.term, record.order_number = self._log.leading_term() or 0, self._order_number
            return record

    def is_behind(self, request: Any) -> bool:
        """Returns whether the follower that sent `request` lacks a change."""
        return 0 <= request.evacuations_revision < self.revision

    def add_to_reply(self, reply: Any, request: Any) -> None:
        """Adds the orders to a reply if the follower does not know them."""
        if request.evacuations_revision < self.revision or request.evacuations_revision < 0:
            reply.evacuations = self.record()

    def usable(self, records: Iterable[Any]) -> list[Any]:
        """Returns the backend servers outside the evacuated data centres."""
        evacuated = self._state.evacuations.data_centres
        return [record for record in records if record.data_centre not in evacuated]
