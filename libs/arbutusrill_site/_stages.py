"""Balance of prefill and decode capacity: the leader orders engines to change their stage."""

from __future__ import annotations

import abc
import enum
import itertools
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock, EventLog

__all__ = ["EngineRegistry", "EngineStatistics", "OrderAnswer", "StageBalancer", "StageOrderTransport"]

_CAPACITY_MARGIN_FACTOR = 1.2  # prefill capacity over demand, as headroom for short peaks
_ASSUMED_PREFILL_FRACTION = 0.18  # share of prefill in the engine time of a service while no engine speed is known
_MIN_KNOWN_PREFILL_FRACTION = 0.5  # share of prefill engines whose speed must be known before any engine is switched
_MIN_KNOWN_DECODE_FRACTION = 0.8  # share of decode engines whose speed must be known before one is switched to prefill
_SHORTAGE_FRACTION = 0.4  # of the prefill demand; a decode engine is switched when capacity is below it
_ORDER_INTERVAL_S = 1.0  # shortest time between two orders for a service
# An imbalance must last this long before an engine is switched: the switch itself takes at least as long, so that it
# comes too late for a burst and only removes an engine from it.
_IMBALANCE_PERSISTENCE_S = 6.0
_REVERSAL_INTERVAL_S = 20.0  # shortest time between two orders of opposite direction for a service
_ENGINES_PER_PENDING_ORDER = 12  # one engine in this number may be out of use for a switch at a time, at least one
_MIN_ENGINES = 4  # services with fewer are not balanced
_REGISTRY_SETTLE_S = 1.5  # after the order lease, for backend servers to announce themselves to a new leader
_ORDER_TIMEOUT_S = 14.0  # longest time in which an engine carries out an order
_FENCING_TOKENS_PER_TERM = 2**20  # range of fencing tokens of one term
_events = EventLog("stages")


class OrderAnswer(enum.Enum):
    """Outcome of an order."""

    ACCEPTED = "accepted"
    BUSY = "busy"  # another order is in progress, or the engine has changed its state
    FENCED = "fenced"  # a higher fencing token was seen
    REFUSED = "refused"
    UNKNOWN = "unknown"  # no answer; the engine may still carry out the order


class StageOrderTransport(abc.ABC):
    """Transport of orders to engines."""

    @abc.abstractmethod
    def switch(self, record: Any, stage: str, holder: str, fence: int) -> OrderAnswer:
        """Orders an engine to change to `stage`; `fence` is the fencing token of the `holder`."""


class EngineRegistry(abc.ABC):
    """Backend servers with their pending orders, which are durable so that the next leader knows them."""

    @abc.abstractmethod
    def records(self) -> list[Any]:
        """Returns the records of the backend servers; `ordered_stage` is the target of a pending order, else empty."""

    @abc.abstractmethod
    def record_stage_order(self, backend: str, stage: str) -> bool:
        """Stores a pending order durably, or removes it when `stage` is empty; returns whether that was committed."""


class EngineStatistics(abc.ABC):
    """Estimates of engine speed and of the work of services."""

    @abc.abstractmethod
    def prefill_fraction(self, service: str) -> float | None:
        """Returns the share of prefill in the engine time of a service; None before enough requests were observed."""

    @abc.abstractmethod
    def relative_speed(self, backend: str, stage: str) -> float | None:
        """Returns the speed of an engine as a multiple of a nominal one; None before enough samples."""


@dataclass(slots=True, frozen=True)
class _StageDemand:
    """Stage that a service lacks, or that an engine was ordered to change to, and since when (monotonic clock)."""

    stage: str
    since: float


class StageBalancer:
    """On the leader, keeps the share of prefill capacity near the share of prefill in the work of each service.

    Only the leader sends orders, with fencing tokens that contain its term. A new leader sends none until the order
    lease of its predecessor has expired, `lease_s` seconds after its term began, and `_REGISTRY_SETTLE_S` more.
    """

    def __init__(
        self,
        vm: str,
        clock: Clock,
        lease_s: float,
        orders: StageOrderTransport,
        engines: EngineRegistry,
        statistics: EngineStatistics,
    ):
        self._vm = vm
        self._clock = clock
        self._lease_s = lease_s
        self._orders = orders
        self._engines = engines
        self._statistics = statistics
        self._last_order_by_service: dict[str, _StageDemand] = {}
        self._demand_by_service: dict[str, _StageDemand] = {}
        self._pending_since_by_backend: dict[str, float] = {}
        self._term: int | None = None
        self._term_began_at = 0.0
        self._fenced = False
        self._order_numbers = itertools.count(1)

    def tick(self, term: int | None) -> None:
        """Sends at most one order; `term` is None when this VM is not the leader."""
        now = self._clock.monotonic()
        if term != self._term:
            self._term, self._term_began_at, self._fenced = term, now, False
            self._pending_since_by_backend.clear()
            self._demand_by_service.clear()
            self._order_numbers = itertools.count(1)
        if term is None or self._fenced or now - self._term_began_at < self._lease_s + _REGISTRY_SETTLE_S:
            return
        records = [record for record in self._engines.records() if record.stage and not record.draining]
        self._expire_orders(records, now)
        for service in sorted({record.service_name for record in records}):
            if self._balance(service, [record for record in records if record.service_name == service], now):
                return

    def _expire_orders(self, records: list[Any], now: float) -> None:
        """Clears pending orders whose stage change was not seen within `_ORDER_TIMEOUT_S`, also of previous leaders."""
        pending = {record.id for record in records if record.ordered_stage}
        since_by_backend = self._pending_since_by_backend
        self._pending_since_by_backend = {backend: since_by_backend.get(backend, now) for backend in pending}
        for backend, since in self._pending_since_by_backend.items():
            if now - since > _ORDER_TIMEOUT_S:
                _events.emit("stage_order_without_effect", backend=backend, waited_s=round(now - since, 1))
                self._engines.record_stage_order(backend, "")

    def _balance(self, service: str, records: list[Any], now: float) -> bool:
        """Sends an order when prefill capacity is too high or too low; returns whether an order was sent.

        While no engine speed is known, the prefill fraction is assumed: a switch takes an engine out of use for
        seconds, so it is made before the first burst of requests rather than during it. Later, an imbalance has to
        last, since a burst is over before a switched engine could help.
        """
        no_speed_known = not any(self._statistics.relative_speed(record.id, record.stage) for record in records)
        candidate = self._switch_candidate(service, records, no_speed_known)
        if candidate is None:
            self._demand_by_service.pop(service, None)
            return False
        engine, stage, prefill_capacity, prefill_demand = candidate
        demand = self._demand_by_service.get(service)
        if demand is None or demand.stage != stage:
            demand = self._demand_by_service[service] = _StageDemand(stage, now)
        if not no_speed_known and now - demand.since < _IMBALANCE_PERSISTENCE_S:
            return False
        if not self._interval_has_passed(service, stage, now):
            return False
        pending_count = sum(1 for record in records if record.ordered_stage)
        if not no_speed_known and pending_count >= max(1, len(records) // _ENGINES_PER_PENDING_ORDER):
            return False
        return self._send_order(engine, stage, service, prefill_capacity, prefill_demand)

    def _interval_has_passed(self, service: str, stage: str, now: float) -> bool:
        """Whether the last order for a service is old enough for another one to change an engine to `stage`."""
        last = self._last_order_by_service.get(service)
        if last is None:
            return True
        return now - last.since >= (_ORDER_INTERVAL_S if last.stage == stage else _REVERSAL_INTERVAL_S)

    def _switch_candidate(
        self, service: str, records: list[Any], no_speed_known: bool
    ) -> tuple[Any, str, float, float] | None:
        """Returns the engine to switch, its new stage, and the present prefill capacity and demand; None if balanced.

        Also None while the speeds of the engines are not known well enough.
        """
        if len(records) < _MIN_ENGINES:
            return None
        prefill = [record for record in records if self._effective_stage(record) == "prefill"]
        decode = [record for record in records if self._effective_stage(record) == "decode"]
        fraction, speeds = self._statistics.prefill_fraction(service), self._estimated_speeds(records)
        if no_speed_known:
            fraction = _ASSUMED_PREFILL_FRACTION
        elif fraction is None or not self._speeds_known(prefill, _MIN_KNOWN_PREFILL_FRACTION):
            return None
        prefill_capacity = sum(speeds[record.id] for record in prefill)
        prefill_demand = fraction * sum(speeds.values())
        surplus = [
            record
            for record in prefill
            if not record.ordered_stage
            and (no_speed_known or self._speeds_known([record], 1.0))
            and prefill_capacity - speeds[record.id] >= prefill_demand * _CAPACITY_MARGIN_FACTOR
        ]
        if surplus:
            fastest = max(surplus, key=lambda record: speeds[record.id])
            return fastest, "decode", prefill_capacity, prefill_demand
        switchable = [record for record in decode if not record.ordered_stage]
        if (
            prefill_capacity < prefill_demand * _SHORTAGE_FRACTION
            and len(decode) > 1
            and switchable
            and self._speeds_known(decode, _MIN_KNOWN_DECODE_FRACTION)
        ):
            slowest = min(switchable, key=lambda record: speeds[record.id])
            return slowest, "prefill", prefill_capacity, prefill_demand
        return None

    def _effective_stage(self, record: Any) -> str:
        """Returns the stage of an engine after its pending order, if any."""
        return record.ordered_stage or record.stage

    def _estimated_speeds(self, records: list[Any]) -> dict[str, float]:
        """Returns the relative speed of each engine; a decode engine of unknown speed counts as the mean of the others.

        A prefill engine of unknown speed counts as the slowest: slow ones are chosen less often and so measured late.
        """
        known = {record.id: self._statistics.relative_speed(record.id, record.stage) for record in records}
        known_speeds = [speed for speed in known.values() if speed is not None] or [1.0]
        mean = sum(known_speeds) / len(known_speeds)
        assumed = {record.id: min(known_speeds) if record.stage == "prefill" else mean for record in records}
        return {backend: assumed[backend] if speed is None else speed for backend, speed in known.items()}

    def _speeds_known(self, records: list[Any], fraction: float) -> bool:
        """Whether the speed of at least this fraction of the engines is known."""
        is_known = [self._statistics.relative_speed(record.id, record.stage) is not None for record in records]
        return sum(is_known) >= fraction * len(records)

    def _send_order(
        self, record: Any, stage: str, service: str, prefill_capacity: float, prefill_demand: float
    ) -> bool:
        if not self._engines.record_stage_order(record.id, stage):
            self._engines.record_stage_order(record.id, "")
            return False
        fencing_token = self._term * _FENCING_TOKENS_PER_TERM + next(self._order_numbers)
        answer = self._orders.switch(record, stage, self._vm, fencing_token)
        _events.emit(
            "stage_ordered",
            backend=record.id,
            service=service,
            stage=stage,
            fence=fencing_token,
            answer=answer.value,
            prefill_capacity=prefill_capacity,
            needed=prefill_demand,
        )
        self._last_order_by_service[service] = _StageDemand(stage, self._clock.monotonic())
        self._fenced = answer is OrderAnswer.FENCED
        if answer not in (OrderAnswer.ACCEPTED, OrderAnswer.UNKNOWN):
            self._engines.record_stage_order(record.id, "")
        return True
