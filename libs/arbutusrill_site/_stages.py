"""Balance of prefill and decode engines: orders to engines to change their stage."""

from __future__ import annotations

import abc
import enum
import itertools
from collections.abc import Callable
from typing import Any

from arbutusrill_base import Clock, EventLog

__all__ = ["OrderAnswer", "StageKeeper", "StageOrders"]

_PREFILL_PART = 0.24  # part of the engines for prefill: reading a prompt takes about a quarter of a request's work
_FEWEST_ENGINES = 4  # smaller services are left as they are
_SETTLED_S = 1.5  # age of the registry from which its counts are trusted
_PERSIST_S = 4.0  # how long there have to be too few prefill engines before a decode engine is switched
_PENDING_S = 14.0  # an order without effect may still be carried out for so long
_FENCE_SHIFT = 2**20  # orders of one leadership
_events = EventLog("stages")


class OrderAnswer(enum.Enum):
    """What came of an order."""

    ACCEPTED = "accepted"
    BUSY = "busy"  # another order is in progress, or the engine has changed
    FENCED = "fenced"  # a higher fencing token was seen
    REFUSED = "refused"
    UNKNOWN = "unknown"  # no answer; the engine may carry the order out later


class StageOrders(abc.ABC):
    """Sends orders to engines."""

    @abc.abstractmethod
    def switch(self, record: Any, stage: str, holder: str, fence: int) -> OrderAnswer:
        """Orders one engine to change its stage under a fencing token."""


class StageKeeper:
    """On the leader, keeps the number of prefill engines near the part of the work that is prefill.

    Only the leader gives orders, with fencing tokens that contain its term; after a change of leader it waits
    `lease_s` seconds first.
    """

    def __init__(
        self,
        vm: str,
        clock: Clock,
        lease_s: float,
        orders: StageOrders,
        records: Callable[[], list[Any]],
    ):
        self._vm = vm
        self._clock = clock
        self._lease_s = lease_s
        self._orders = orders
        self._records = records
        self._pending_by_backend: dict[str, tuple[str, float]] = {}
        self._lacking_since: dict[str, float] = {}
        self._term: int | None = None
        self._began_at = 0.0
        self._fenced = False
        self._numbers = itertools.count(1)

    def is_switching(self, backend: str) -> bool:
        """Whether an engine has accepted an order that is not carried out yet."""
        return backend in self._pending_by_backend

    def tick(self, term: int | None) -> None:
        """Gives at most one order; `term` is None where this VM does not lead."""
        now = self._clock.monotonic()
        if term != self._term:
            self._term, self._began_at, self._fenced = term, now, False
            self._pending_by_backend.clear()
            self._lacking_since.clear()
            self._numbers = itertools.count(1)
        if term is None or self._fenced or now - self._began_at < self._lease_s + _SETTLED_S:
            return
        records = [record for record in self._records() if record.stage and not record.draining]
        self._settle(records, now)
        for service in sorted({record.service_name for record in records}):
            if self._balance(service, [record for record in records if record.service_name == service], now):
                return

    def _settle(self, records: list[Any], now: float) -> None:
        stage_by_id = {record.id: record.stage for record in records}
        for backend, (stage, since) in list(self._pending_by_backend.items()):
            if stage_by_id.get(backend) in (stage, None) or now - since > _PENDING_S:
                del self._pending_by_backend[backend]

    def _balance(self, service: str, records: list[Any], now: float) -> bool:
        """Gives an order when the service has too many or too few prefill engines; returns whether it did."""
        if len(records) < _FEWEST_ENGINES:
            return False
        staying = [record for record in records if record.id not in self._pending_by_backend]
        prefill = [record for record in staying if record.stage == "prefill"]
        coming = sum(stage == "prefill" for stage, _ in self._pending_by_backend.values())
        wanted, count = self._wanted(len(records)), len(prefill) + coming
        if count >= wanted:
            self._lacking_since.pop(service, None)
        if count > wanted and prefill:
            return self._order(self._surplus(prefill), "decode", service, count, wanted)
        decode = [record for record in staying if record.stage == "decode"]
        if count < wanted and len(decode) > 1:
            since = self._lacking_since.setdefault(service, now)
            if now - since >= _PERSIST_S:
                return self._order(decode[0], "prefill", service, count, wanted)
        return False

    @staticmethod
    def _wanted(engines: int) -> int:
        return max(1, round(_PREFILL_PART * engines))

    @staticmethod
    def _surplus(prefill: list[Any]) -> Any:
        """Returns an engine of the data centre that has most prefill engines."""
        count_by_data_centre: dict[str, int] = {}
        for record in prefill:
            count_by_data_centre[record.data_centre] = count_by_data_centre.get(record.data_centre, 0) + 1
        return max(prefill, key=lambda record: (count_by_data_centre[record.data_centre], record.id))

    def _order(self, record: Any, stage: str, service: str, count: int, wanted: int) -> bool:
        fence = self._term * _FENCE_SHIFT + next(self._numbers)
        answer = self._orders.switch(record, stage, self._vm, fence)
        _events.emit(
            "stage_ordered",
            backend=record.id,
            service=service,
            stage=stage,
            fence=fence,
            answer=answer.value,
            prefill_engines=count,
            wanted=wanted,
        )
        self._fenced = answer is OrderAnswer.FENCED
        self._pending_by_backend[record.id] = (stage, self._clock.monotonic())
        return True
