"""Balance of prefill and decode engines: orders to engines to change their stage."""

from __future__ import annotations

import abc
import enum
import itertools
from typing import Any

from arbutusrill_base import Clock, EventLog

__all__ = ["EngineRegister", "EngineWork", "OrderAnswer", "StageKeeper", "StageOrders"]

_MARGIN = 1.2  # prefill capacity over what is needed, so that short peaks find room
_ASSUMED_PREFILL_PART = 0.18  # part of a service's engine time that is prefill, before any of it was used
_LEARNED_PREFILL_PART = 0.5  # part of the prefill engines whose speed has to be known before one is switched
_LEARNED_PART = 0.8  # part of the decode engines whose speed has to be known before one is switched to prefill
_LACKING = 0.4  # part of what is needed below which a decode engine is switched
_PAUSE_S = 1.0  # between two orders of a service
_FEWEST_ENGINES = 4  # smaller services are left as they are
_SETTLED_S = 1.5  # age of the registry from which its counts are trusted
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


class EngineRegister(abc.ABC):
    """The backend servers, and which of them were ordered to change their stage: a new leader has to know it."""

    @abc.abstractmethod
    def records(self) -> list[Any]:
        """Returns the backend servers; `ordered_stage` names the stage that an engine is about to change to."""

    @abc.abstractmethod
    def note_order(self, backend: str, stage: str) -> bool:
        """Notes an order durably, with an empty stage that it has ended; returns whether that was written."""


class EngineWork(abc.ABC):
    """What is learned of engines and of the work of their requests."""

    @abc.abstractmethod
    def prefill_part(self, service: str) -> float | None:
        """Returns the part of a service's engine time that is prefill; None before enough was seen."""

    @abc.abstractmethod
    def relative_speed(self, backend: str, stage: str) -> float | None:
        """Returns how fast an engine is against a nominal one; None before enough was seen."""


class StageKeeper:
    """On the leader, keeps the capacity of the prefill engines near the part of the work that is prefill.

    Only the leader gives orders, with fencing tokens that contain its term; after a change of leader it waits
    `lease_s` seconds first.
    """

    def __init__(
        self,
        vm: str,
        clock: Clock,
        lease_s: float,
        orders: StageOrders,
        engines: EngineRegister,
        work: EngineWork,
    ):
        self._vm = vm
        self._clock = clock
        self._lease_s = lease_s
        self._orders = orders
        self._engines = engines
        self._work = work
        self._ordered_at: dict[str, float] = {}
        self._pending_since_by_backend: dict[str, float] = {}
        self._term: int | None = None
        self._began_at = 0.0
        self._fenced = False
        self._numbers = itertools.count(1)

    def tick(self, term: int | None) -> None:
        """Gives at most one order; `term` is None where this VM does not lead."""
        now = self._clock.monotonic()
        if term != self._term:
            self._term, self._began_at, self._fenced = term, now, False
            self._pending_since_by_backend.clear()
            self._numbers = itertools.count(1)
        if term is None or self._fenced or now - self._began_at < self._lease_s + _SETTLED_S:
            return
        records = [record for record in self._engines.records() if record.stage and not record.draining]
        self._settle(records, now)
        for service in sorted({record.service_name for record in records}):
            if self._balance(service, [record for record in records if record.service_name == service], now):
                return

    def _settle(self, records: list[Any], now: float) -> None:
        """Ends the orders that had no effect for long, also those that a leader before has given."""
        pending = {record.id for record in records if record.ordered_stage}
        since_by_backend = self._pending_since_by_backend
        self._pending_since_by_backend = {backend: since_by_backend.get(backend, now) for backend in pending}
        for backend, since in self._pending_since_by_backend.items():
            if now - since > _PENDING_S:
                _events.emit("stage_order_without_effect", backend=backend, waited_s=round(now - since, 1))
                self._engines.note_order(backend, "")

    def _balance(self, service: str, records: list[Any], now: float) -> bool:
        """Gives an order when prefill engines have too much or too little of the capacity; returns whether it did.

        Before a service is used an assumed part of prefill counts, since a switch takes seconds of an engine's time.
        """
        if len(records) < _FEWEST_ENGINES or now - self._ordered_at.get(service, -_PAUSE_S) < _PAUSE_S:
            return False
        prefill = [record for record in records if self._stage(record) == "prefill"]
        decode = [record for record in records if self._stage(record) == "decode"]
        part, speeds = self._work.prefill_part(service), self._speeds(records)
        unused = not any(self._work.relative_speed(record.id, record.stage) for record in records)
        if unused:
            part = _ASSUMED_PREFILL_PART
        elif part is None or not self._is_learned(prefill, _LEARNED_PREFILL_PART):
            return False
        capacity = sum(speeds[record.id] for record in prefill)
        needed = part * sum(speeds.values())
        surplus = [
            record
            for record in prefill
            if (unused or self._is_learned([record], 1.0)) and capacity - speeds[record.id] >= needed * _MARGIN
        ]
        if surplus:
            fastest = max(surplus, key=lambda record: speeds[record.id])
            return self._order(fastest, "decode", service, capacity, needed)
        if capacity < needed * _LACKING and len(decode) > 1 and self._is_learned(decode, _LEARNED_PART):
            slowest = min(decode, key=lambda record: speeds[record.id])
            return self._order(slowest, "prefill", service, capacity, needed)
        return False

    def _stage(self, record: Any) -> str:
        """The stage that an engine has, or will have after an order that it was given."""
        return record.ordered_stage or record.stage

    def _speeds(self, records: list[Any]) -> dict[str, float]:
        """Returns the engines' speeds; a decode engine that is not learned yet counts as the mean of the others.

        A prefill engine counts as the slowest, since it is learned late when others are preferred to it.
        """
        known = {record.id: self._work.relative_speed(record.id, record.stage) for record in records}
        learned = [speed for speed in known.values() if speed is not None] or [1.0]
        mean = sum(learned) / len(learned)
        assumed = {record.id: min(learned) if record.stage == "prefill" else mean for record in records}
        return {backend: assumed[backend] if speed is None else speed for backend, speed in known.items()}

    def _is_learned(self, records: list[Any], part: float) -> bool:
        """Whether the speed of so large a part of the engines is known."""
        learned = [self._work.relative_speed(record.id, record.stage) is not None for record in records]
        return sum(learned) >= part * len(records)

    def _order(self, record: Any, stage: str, service: str, capacity: float, needed: float) -> bool:
        if not self._engines.note_order(record.id, stage):
            self._engines.note_order(record.id, "")
            return False
        fence = self._term * _FENCE_SHIFT + next(self._numbers)
        answer = self._orders.switch(record, stage, self._vm, fence)
        _events.emit(
            "stage_ordered",
            backend=record.id,
            service=service,
            stage=stage,
            fence=fence,
            answer=answer.value,
            prefill_capacity=capacity,
            needed=needed,
        )
        now = self._clock.monotonic()
        self._ordered_at[service] = now
        self._fenced = answer is OrderAnswer.FENCED
        if answer not in (OrderAnswer.ACCEPTED, OrderAnswer.UNKNOWN):
            self._engines.note_order(record.id, "")
        return True
