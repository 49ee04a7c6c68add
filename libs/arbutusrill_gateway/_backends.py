"""Choice of backend servers: load, memory, learned speed, failures and data centres."""

from __future__ import annotations

import contextlib
import math
import random
import threading
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_site import Service, SiteView
from arbutusrill_wire import messages

__all__ = ["BackendPool", "Candidate"]

_SMOOTHING = 0.2  # weight of the latest observation in a moving average
_FORGET_S = 10.0  # time constant by which a learned speed or failure rate returns to the average
_AVOID_MIN_S = 0.3
_AVOID_MAX_S = 5.0
_DEFAULT_S_PER_TOKEN = 0.00005
_DEFAULT_SERVICE_S = 0.03
_OTHER_DATA_CENTRE_S = 0.004  # time that a plain request in another data centre has to save
_OTHER_DATA_CENTRE_KV_S = 0.06  # the same for a KV cache that is moved between data centres
_FAILURE_S = 0.6  # time that a failed request costs
_DECODE_STEP_S = 0.02  # how much each further request on an engine slows the others
_JITTER = 0.05
_OFTEN = 0.4  # failure rate from which an engine is avoided
_MEMORY_PART = 0.92  # part of an engine's memory that is planned for
_events = EventLog("placement")


@dataclass(slots=True, frozen=True)
class Candidate:
    """A backend server and the time in seconds that the request is expected to take there."""

    record: Any
    expected_s: float

    @property
    def id(self) -> str:
        """Id of the backend server."""
        return self.record.id

    @property
    def address(self) -> str:
        """IP:port of the backend server."""
        return self.record.address


@dataclass(slots=True)
class _Learned:
    """What this VM has learned of one start of a backend server. Times are on the monotonic clock."""

    started_ms: int
    unit_s: float | None = None  # seconds for a token of a prompt, or for a plain request
    failure_rate: float = 0.0
    seen_at: float = 0.0
    failures: int = 0
    avoid_until: float = float("-inf")


class BackendPool:
    """Chooses backend servers and learns from what happens there.

    The load is what this VM has sent plus what the other entry VMs reported last.
    """

    def __init__(self, view: SiteView, data_centre: str, clock: Clock):
        self._view = view
        self._data_centre = data_centre
        self._clock = clock
        self._lock = threading.Lock()
        self._learned_by_id: dict[str, _Learned] = {}
        self._requests_by_id: dict[str, int] = {}
        self._tokens_by_id: dict[str, int] = {}

    def uses(self) -> list[Any]:
        """Returns this VM's load on backend servers."""
        with self._lock:
            return [
                messages.BackendUse(id_, count, self._tokens_by_id.get(id_, 0))
                for id_, count in self._requests_by_id.items()
            ]

    @contextlib.contextmanager
    def hold(self, backend: str, tokens: int) -> Iterator[None]:
        """Counts a request with `tokens` of memory on a backend server while the context is entered."""
        with self._lock:
            self._requests_by_id[backend] = self._requests_by_id.get(backend, 0) + 1
            self._tokens_by_id[backend] = self._tokens_by_id.get(backend, 0) + tokens
        try:
            yield
        finally:
            with self._lock:
                self._requests_by_id[backend] -= 1
                self._tokens_by_id[backend] -= tokens
                if not self._requests_by_id[backend]:
                    del self._requests_by_id[backend], self._tokens_by_id[backend]

    # ---- choice

    def pick(
        self,
        service: Service,
        stage: str = "",
        tokens: int = 0,
        model: str = "",
        exclude: frozenset[str] | set[str] = frozenset(),
        near: str = "",
    ) -> Candidate | None:
        """Returns the best backend server of `service` for a request of `tokens`, or None.

        `near` is the data centre that holds the request's KV cache. Servers that are avoided after a failure are
        chosen only when there is no other.
        """
        now = self._clock.monotonic()
        rows = []
        with self._lock:
            listed = [record for record in self._view.backends_by_id.values() if record.service_name == service.name]
            usable = [record for record in listed if _serves(record, stage, model) and record.id not in exclude]
            mean_s = self._mean_unit_s(listed, stage)
            for record in usable:
                expected = self._expected(record, service, stage, tokens, mean_s, now)
                learned = self._learned(record)
                avoided = learned.avoid_until > now
                fits = not stage or stage == "prefill" or self._fits(record, service, tokens)
                cost = expected * random.uniform(1, 1 + _JITTER) + self._penalty(record, stage, near, learned, now)
                rows.append(((avoided, not fits, cost), record, expected))
        if not rows:
            return None
        _, record, expected = min(rows, key=lambda row: row[0])
        return Candidate(record, expected)

    def wait_for_backends(self, service: Service, timeout_s: float) -> bool:
        """Waits for a backend server while a new leader still collects them; returns whether there is one."""
        view = self._view

        def known() -> bool:
            return any(record.service_name == service.name for record in view.backends_by_id.values())

        view.wait_for(lambda: view.backends_complete or known(), timeout_s)
        return known()

    def avoided(self) -> list[str]:
        """Returns the servers that are avoided after a failure, or fail often."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                id_
                for id_, learned in self._learned_by_id.items()
                if learned.avoid_until > now or self._failure_rate(learned, now) > _OFTEN
            ]

    def usable(self, record: Any) -> bool:
        """Says whether a server chosen earlier still takes requests."""
        current = self._view.backends_by_id.get(record.id)
        return current is not None and current.started_ms == record.started_ms and not current.draining

    @staticmethod
    def _failure_rate(learned: _Learned, now: float) -> float:
        return learned.failure_rate * math.exp(-(now - learned.seen_at) / _FORGET_S)

    def _fits(self, record: Any, service: Service, tokens: int) -> bool:
        if service.engine is None:
            return True
        held = self._tokens(record.id)
        slots = min(service.engine.slots or record.slots, record.slots or service.engine.slots)
        return held + tokens <= service.engine.kv_tokens * _MEMORY_PART and self._requests(record.id) < slots

    def _requests(self, backend: str) -> int:
        return self._requests_by_id.get(backend, 0) + self._view.requests_of_others_by_id.get(backend, 0)

    def _tokens(self, backend: str) -> int:
        return self._tokens_by_id.get(backend, 0) + self._view.tokens_of_others_by_id.get(backend, 0)

    def _expected(self, record: Any, service: Service, stage: str, tokens: int, mean_s: float, now: float) -> float:
        learned = self._learned(record)
        unit_s = mean_s
        if learned.unit_s is not None:
            unit_s += (learned.unit_s - mean_s) * math.exp(-(now - learned.seen_at) / _FORGET_S)
        if stage == "prefill":
            return (self._tokens(record.id) + tokens) * unit_s
        if stage == "decode":
            return _DECODE_STEP_S * (1 + self._requests(record.id)) * (unit_s / mean_s)
        waiting = max(0, self._requests(record.id) + 1 - max(1, record.slots))
        return unit_s * (1 + waiting / max(1, record.slots) + 0.1 * self._requests(record.id))

    def _penalty(self, record: Any, stage: str, near: str, learned: _Learned, now: float) -> float:
        home = near or self._data_centre
        away_s = _OTHER_DATA_CENTRE_KV_S if stage else _OTHER_DATA_CENTRE_S
        return self._failure_rate(learned, now) * _FAILURE_S + (0.0 if record.data_centre == home else away_s)

    def _mean_unit_s(self, records: list[Any], stage: str) -> float:
        known = [
            learned.unit_s
            for record in records
            if record.stage == stage and (learned := self._learned_by_id.get(record.id)) and learned.unit_s
        ]
        if known:
            return sum(known) / len(known)
        return _DEFAULT_S_PER_TOKEN if stage else _DEFAULT_SERVICE_S

    # ---- learning

    def _learned(self, record: Any) -> _Learned:
        learned = self._learned_by_id.get(record.id)
        if learned is None or learned.started_ms != record.started_ms:
            learned = self._learned_by_id[record.id] = _Learned(record.started_ms)
        return learned

    def served(self, record: Any, took_s: float, units: int = 1) -> None:
        """Notes a request that went well: `units` are prompt tokens, or 1 for a plain request."""
        now = self._clock.monotonic()
        unit_s = took_s / max(1, units)
        with self._lock:
            learned = self._learned(record)
            old = unit_s if learned.unit_s is None else learned.unit_s
            learned.unit_s = old + _SMOOTHING * (unit_s - old)
            learned.failure_rate *= 1 - _SMOOTHING
            learned.seen_at = now
            learned.failures = 0
            learned.avoid_until = float("-inf")

    def failed(self, record: Any, reason: str, avoid: bool = True) -> None:
        """Notes a request that failed at a backend server; `avoid` also keeps further ones away for a while."""
        now = self._clock.monotonic()
        with self._lock:
            learned = self._learned(record)
            learned.failure_rate += _SMOOTHING * (1 - learned.failure_rate)
            learned.seen_at = now
            learned.failures += 1
            if avoid:
                pause_s = min(_AVOID_MAX_S, _AVOID_MIN_S * 2 ** min(learned.failures - 1, 6))
                learned.avoid_until = now + pause_s
        _events.emit("backend_failed", backend=record.id, address=record.address, reason=reason, avoided=avoid)

    def prune(self) -> None:
        """Forgets what was learned of servers that are no longer listed."""
        with self._lock:
            for backend in [known for known in self._learned_by_id if known not in self._view.backends_by_id]:
                del self._learned_by_id[backend]


def _serves(record: Any, stage: str, model: str) -> bool:
    if record.draining or (stage and (record.stage != stage or record.ordered_stage)):
        return False
    return not (model and record.models) or any(loaded.name == model for loaded in record.models)
