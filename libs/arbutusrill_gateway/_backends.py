"""Backend selection by load, memory, measured speed, failure rate and data centre."""

from __future__ import annotations

import contextlib
import math
import random
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_site import ColdRules, LocalLimit, Service, SiteView

from ._availability import BackendAvailability
from ._plain_load import ServiceState
from ._plain_servers import PlainNeed, PlainServers
from ._protocol import ResponseHead
from ._waiting_line import WaitingLine

__all__ = ["BackendPool", "Candidate"]

_SMOOTHING_FACTOR = 0.2  # weight of a new observation in the exponential moving averages
_DECAY_S = 10.0  # time constant with which speed returns to the mean of the service, and the failure rate to 0
_MIN_AVOID_S = 0.3
_MAX_AVOID_S = 5.0
_DEFAULT_S_PER_TOKEN = 0.00005
_DEFAULT_S_PER_REQUEST = 0.03
_CROSS_DATA_CENTRE_PENALTY_S = 0.004  # for a plain request
_CROSS_DATA_CENTRE_KV_PENALTY_S = 0.06  # for a transfer of a KV cache
_FAILURE_PENALTY_S = 0.6  # expected cost of a failed request
_DECODE_STEP_S = 0.02  # expected duration on a decode engine, for each concurrent request
_SAMPLE_INTERVAL, _MIN_SAMPLE = 8, 3  # of the servers among which a VM chooses without the leader
_JITTER_FRACTION = 0.05
_KEPT_CONNECTION_GAIN_S = 0.015  # a new connection takes a round trip, and the server's work to accept it
_AVOID_FAILURE_RATE = 0.4  # engines with a higher failure rate are avoided
_USABLE_MEMORY_FRACTION = 0.92  # fraction of an engine's KV cache memory that may be allocated
_events = EventLog("placement")


@dataclass(slots=True, frozen=True)
class Candidate:
    """A backend server and the expected duration of the request on it, in seconds.

    `in_progress` is the number of other requests at a server of a plain service at the time of the choice.
    """

    record: Any
    expected_s: float
    in_progress: float = 0.0

    @property
    def id(self) -> str:
        """Id of the backend server."""
        return self.record.id

    @property
    def address(self) -> str:
        """IP:port of the backend server."""
        return self.record.address


@dataclass(slots=True)
class _BackendStats:
    """Observations of one incarnation of a backend server. Times are on the monotonic clock."""

    started_ms: int
    unit_s: float | None = None  # seconds per token on an engine, per request on a plain backend server
    failure_rate: float = 0.0  # moving average between 0 and 1
    updated_at: float = 0.0
    failures: int = 0  # consecutive


class BackendPool:
    """Selects backend servers and tracks their speed and failures.

    The load of a backend server is this VM's own plus what the other entry VMs reported last. `is_stopping` says if
    `stop_waiting` has been called. `cold_rules` bounds what cold servers get; it needs the name of this VM. `plain`
    holds what is known of the servers of plain services.
    """

    def __init__(
        self, view: SiteView, data_centre: str, clock: Clock, cold_rules: ColdRules | None = None, vm: str = ""
    ):
        self._view = view
        self._data_centre = data_centre
        self._clock = clock
        self._lock = threading.Lock()
        self._stats_by_id: dict[str, _BackendStats] = {}
        self._availability = BackendAvailability(lambda: view.evacuated_data_centres)
        self._line_by_service_and_stage: dict[tuple[str, str], WaitingLine] = {}
        self._requests_by_id: dict[str, int] = {}
        self._tokens_by_id: dict[str, int] = {}
        self.is_stopping = False
        self._cold_limit = cold_rules and LocalLimit(
            cold_rules, view.cold_servers, vm, lambda: view.entries_by_id, view.age_s
        )
        self.plain = PlainServers(view, data_centre, clock, lambda: len(view.entries_by_id))

    def current_load(self) -> list[Any]:
        """Returns this VM's load on each backend server, and what it has seen of them, as `BackendUse` messages."""
        with self._lock:
            load_by_id = {id_: (count, self._tokens_by_id.get(id_, 0)) for id_, count in self._requests_by_id.items()}
        return self.plain.use_messages(load_by_id)

    @contextlib.contextmanager
    def track_request(self, backend: str, tokens: int) -> Iterator[None]:
        """Counts a request with `tokens` of KV cache memory on a backend server while the context is open."""
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

    def pick(
        self,
        service: Service,
        stage: str = "",
        tokens: int = 0,
        model: str = "",
        exclude: frozenset[str] | set[str] = frozenset(),
        kv_data_centre: str = "",
        is_connected: Callable[[Any], bool] | None = None,
        data_centres: frozenset[str] | None = None,
        need: PlainNeed | None = None,
        may_try: bool = False,
    ) -> Candidate | None:
        """Returns the backend server of `service` with the lowest cost for a request of `tokens`, or None.

        The cost is the expected duration plus penalties for failures and for other data centres than `kv_data_centre`,
        which holds the request's KV cache (by default this VM's data centre). Backend servers that drain, are quiet or
        are evacuated are not chosen; those that are avoided after a failure only if there is no other. Random jitter
        spreads requests over servers of similar cost. Each choice counts as a request where the server may be cold.
        With `data_centres`, only servers there are chosen; those are preferred for which `is_connected` says that a
        connection is kept. With `need`, the servers of a plain service that is busy, or of which some fail, are chosen
        by what all VMs know of them (see `PlainServers.choose`).
        """
        now = self._clock.monotonic()
        ranked = []
        with self._lock:
            listed = [
                record
                for record in self._view.backends_by_id.values()
                if record.service_name == service.name and (data_centres is None or record.data_centre in data_centres)
            ]
            usable = [
                record
                for record in listed
                if _serves(record, stage, model) and record.id not in exclude and self._permits(record, now)
            ]
            if self._cold_limit is not None:
                usable = [record for record in usable if self._cold_limit.permits(record, service, now)]
            mean_s = self._mean_unit_s(listed, stage)
            if need is not None and usable:
                candidate = self._choose_plain(service, usable, need, may_try, is_connected, now)
                if candidate is not None:
                    if self._cold_limit is not None:
                        self._cold_limit.record(candidate.record, service, now)
                    return candidate
            for record in usable:
                expected_s = self._expected_s(record, service, stage, tokens, mean_s, now)
                stats = self._stats_of(record)
                avoided = self._availability.is_avoided(record, now)
                fits = not stage or stage == "prefill" or self._fits(record, service, tokens)
                cost = expected_s * random.uniform(1, 1 + _JITTER_FRACTION) + self._penalty_s(
                    record, stage, kv_data_centre, stats, now
                )
                if is_connected is not None and is_connected(record):
                    cost -= _KEPT_CONNECTION_GAIN_S
                ranked.append(((avoided, not fits, cost), record, expected_s))
            if not ranked:
                return None
            _, record, expected_s = min(ranked, key=lambda entry: entry[0])
            if self._cold_limit is not None:
                self._cold_limit.record(record, service, now)
        return Candidate(record, expected_s, self._request_count(record.id))

    def _choose_plain(
        self,
        service: Service,
        usable: list[Any],
        need: PlainNeed,
        may_try: bool,
        is_connected: Callable[[Any], bool] | None,
        now: float,
    ) -> Candidate | None:
        sound = [record for record in usable if not self._availability.is_avoided(record, now)] or usable
        state = self.plain.state(service.name, sound, self._requests_by_id)
        connected = set() if is_connected is None else {record.id for record in sound if is_connected(record)}
        chosen = self.plain.choose(state, need, may_try, connected)
        if chosen is None:
            return None
        record = next(record for record in sound if record.id == chosen)
        load = next(server for server in state.servers if server.id == chosen)
        return Candidate(record, load.expected_s, load.in_progress)

    def plain_state(
        self, service: Service, exclude: set[str], data_centres: frozenset[str] | None = None
    ) -> ServiceState:
        """Returns the load of a plain service on the servers outside `exclude` that may be used, see `pick`."""
        now = self._clock.monotonic()
        with self._lock:
            records = [
                record
                for record in self._serving(service, "", "")
                if record.id not in exclude
                and (data_centres is None or record.data_centre in data_centres)
                and self._availability.is_permitted(record, now)
            ]
            return self.plain.state(service.name, records, self._requests_by_id)

    def wait_for_backends(self, service: Service, timeout_s: float) -> bool:
        """Returns whether `service` has a backend server; waits for one while the list is still incomplete.

        The list is incomplete after a change of leader, until the new leader has received all announcements.
        """
        view = self._view

        def has_backend() -> bool:
            return any(record.service_name == service.name for record in view.backends_by_id.values())

        view.wait_for(lambda: self.is_stopping or view.backends_complete or has_backend(), timeout_s)
        return has_backend()

    def stop_waiting(self) -> None:
        """Ends the waits of `wait_for_backends`, and of requests whose backend servers are quiet."""
        self.is_stopping = True
        self._view.notify()

    def waiting_line(self, service: Service, stage: str) -> WaitingLine:
        """Returns the line of requests that wait until a backend server of a service may be used."""
        key = (service.name, stage)
        line = self._line_by_service_and_stage.get(key)
        return self._line_by_service_and_stage.setdefault(key, WaitingLine()) if line is None else line

    def permitted_in_s(
        self,
        service: Service,
        stage: str,
        model: str,
        exclude: frozenset[str] | set[str] = frozenset(),
        data_centres: frozenset[str] | None = None,
    ) -> float | None:
        """Returns the seconds until a backend server may be used that is quiet now, None if one may be used now.

        Infinite if all of them drain, are evacuated or are outside `data_centres`. None as well if the service has none
        outside `exclude`.
        """
        serving = self._serving(service, stage, model)
        here = [record for record in serving if data_centres is None or record.data_centre in data_centres]
        if serving and not here:
            return math.inf
        records = [record for record in here if record.id not in exclude]
        with self._lock:
            return self._availability.permitted_in_s(records, self._clock.monotonic())

    def retry_in_s(
        self, service: Service, stage: str, model: str, data_centres: frozenset[str] | None = None
    ) -> float | None:
        """Returns the seconds until a retry may succeed if backend servers are quiet, None if it may succeed now."""
        with self._lock:
            records = [
                record
                for record in self._serving(service, stage, model)
                if data_centres is None or record.data_centre in data_centres
            ]
            return self._availability.retry_in_s(records, self._clock.monotonic())

    def ids_outside(self, data_centres: frozenset[str]) -> list[str]:
        """Returns the ids of the backend servers outside some data centres."""
        return [record.id for record in self._view.backends_by_id.values() if record.data_centre not in data_centres]

    def _serving(self, service: Service, stage: str, model: str) -> list[Any]:
        return [
            record
            for record in self._view.backends_by_id.values()
            if record.service_name == service.name and _serves(record, stage, model)
        ]

    def unsampled_ids(self, service: Service, stage: str, model: str) -> set[str]:
        """Returns the ids of all servers but a random sample of one in `_SAMPLE_INTERVAL`, at least `_MIN_SAMPLE`.

        VMs that choose by the same old view and without a sample all choose the same server.
        """
        ids = [record.id for record in self._serving(service, stage, model)]
        size = max(_MIN_SAMPLE, len(ids) // _SAMPLE_INTERVAL)
        return set(random.sample(ids, max(0, len(ids) - size)))

    def avoided_ids(self) -> list[str]:
        """Returns the ids of backend servers that drain, are quiet or evacuated, or failed recently or often."""
        now = self._clock.monotonic()
        with self._lock:
            failing = (
                id_ for id_, stats in self._stats_by_id.items() if self._failure_rate(stats, now) > _AVOID_FAILURE_RATE
            )
            evacuated = (
                record.id for record in self._view.backends_by_id.values() if self._availability.is_evacuated(record)
            )
            return sorted(self._availability.restricted_ids(now).union(failing, evacuated))

    def is_avoided(self, record: Any) -> bool:
        """Returns whether a backend server is avoided after a failure."""
        with self._lock:
            return self._availability.is_avoided(record, self._clock.monotonic())

    def is_usable(self, record: Any) -> bool:
        """Returns whether a backend server is still listed, has not restarted, is not draining, quiet or evacuated."""
        current = self._view.backends_by_id.get(record.id)
        if current is None or current.started_ms != record.started_ms or current.draining:
            return False
        with self._lock:
            return self._permits(record, self._clock.monotonic())

    def _permits(self, record: Any, now: float) -> bool:
        """Returns whether a backend server neither drains nor is quiet or evacuated; reports choices this changes."""
        if self._availability.is_permitted(record, now):
            return True
        skipped_count = self._availability.record_skip(record, now)
        if skipped_count is not None:
            quiet_end = self._availability.quiet_end(record, now)
            state = "draining" if quiet_end is None else "quiet"
            _events.emit("backend_skipped", backend=record.id, state=state, choices=skipped_count)
        return False

    def observe_response(self, record: Any, response: ResponseHead, request_id: str) -> None:
        """Learns from a response to the request `request_id` whether its backend server drains or asks for quiet.

        A response to any other request may be an old one, or one of another server, and teaches nothing.
        """
        if response.request_id != request_id or not (response.draining or response.quiet_s is not None):
            return
        now = self._clock.monotonic()
        with self._lock:
            is_new = response.draining and self._availability.set_draining(record, now)
            until = None if response.quiet_s is None else self._availability.set_quiet(record, response.quiet_s, now)
        told_by = {"backend": record.id, "address": record.address, "started_ms": record.started_ms}
        if is_new:
            _events.emit("backend_draining", request=request_id, until="the end of the incarnation", **told_by)
        if until is not None:
            quiet_ms = round((until - now) * 1000)
            until_ms = self._clock.wall_ms() + quiet_ms
            _events.emit("backend_quiet", request=request_id, quiet_ms=quiet_ms, until_ms=until_ms, **told_by)

    @property
    def cold_skip_count(self) -> int:
        """Number of choices so far that passed over a server since it was cold."""
        return 0 if self._cold_limit is None else self._cold_limit.skip_count

    def restricted_counts(self) -> tuple[int, int]:
        """Returns the number of backend servers that said they drain, and of those that are quiet."""
        with self._lock:
            return self._availability.counts(self._clock.monotonic())

    @staticmethod
    def _failure_rate(stats: _BackendStats, now: float) -> float:
        return stats.failure_rate * math.exp(-(now - stats.updated_at) / _DECAY_S)

    def _fits(self, record: Any, service: Service, tokens: int) -> bool:
        if service.engine is None:
            return True
        allocated = self._token_count(record.id)
        slots = min(service.engine.slots or record.slots, record.slots or service.engine.slots)
        return (
            allocated + tokens <= service.engine.kv_tokens * _USABLE_MEMORY_FRACTION
            and self._request_count(record.id) < slots
        )

    def _request_count(self, backend: str) -> int:
        return self._requests_by_id.get(backend, 0) + self._view.other_vms_requests_by_backend.get(backend, 0)

    def _token_count(self, backend: str) -> int:
        return self._tokens_by_id.get(backend, 0) + self._view.other_vms_tokens_by_backend.get(backend, 0)

    def _expected_s(self, record: Any, service: Service, stage: str, tokens: int, mean_s: float, now: float) -> float:
        stats = self._stats_of(record)
        unit_s = mean_s
        if stats.unit_s is not None:
            unit_s += (stats.unit_s - mean_s) * math.exp(-(now - stats.updated_at) / _DECAY_S)
        if stage == "prefill":
            return (self._token_count(record.id) + tokens) * unit_s
        if stage == "decode":
            return _DECODE_STEP_S * (1 + self._request_count(record.id)) * (unit_s / mean_s)
        waiting = max(0, self._request_count(record.id) + 1 - max(1, record.slots))
        return unit_s * (1 + waiting / max(1, record.slots) + 0.1 * self._request_count(record.id))

    def _penalty_s(self, record: Any, stage: str, kv_data_centre: str, stats: _BackendStats, now: float) -> float:
        preferred = kv_data_centre or self._data_centre
        cross_penalty_s = _CROSS_DATA_CENTRE_KV_PENALTY_S if stage else _CROSS_DATA_CENTRE_PENALTY_S
        return self._failure_rate(stats, now) * _FAILURE_PENALTY_S + (
            0.0 if record.data_centre == preferred else cross_penalty_s
        )

    def _mean_unit_s(self, records: list[Any], stage: str) -> float:
        measured = [
            stats.unit_s
            for record in records
            if record.stage == stage and (stats := self._stats_by_id.get(record.id)) and stats.unit_s
        ]
        if measured:
            return sum(measured) / len(measured)
        return _DEFAULT_S_PER_TOKEN if stage else _DEFAULT_S_PER_REQUEST

    def _stats_of(self, record: Any) -> _BackendStats:
        stats = self._stats_by_id.get(record.id)
        if stats is None or stats.started_ms != record.started_ms:
            stats = self._stats_by_id[record.id] = _BackendStats(record.started_ms)
        return stats

    def unit_time_s(self, record: Any) -> float | None:
        """Returns the measured seconds per unit (see `record_success`) of a backend server, None if unknown."""
        with self._lock:
            return self._stats_of(record).unit_s

    def record_success(self, record: Any, took_s: float, units: int = 1) -> None:
        """Records a successful request; `units` is the number of tokens, or 1 for a plain request."""
        now = self._clock.monotonic()
        unit_s = took_s / max(1, units)
        with self._lock:
            stats = self._stats_of(record)
            old = unit_s if stats.unit_s is None else stats.unit_s
            stats.unit_s = old + _SMOOTHING_FACTOR * (unit_s - old)
            stats.failure_rate *= 1 - _SMOOTHING_FACTOR
            stats.updated_at = now
            stats.failures = 0
            self._availability.set_avoided(record, float("-inf"), now)

    def record_plain_answer(self, candidate: Candidate, took_s: float) -> None:
        """Records an answer of a server of a plain service, without its expected wait behind other requests."""
        self.plain.record_answer(candidate.record, took_s, candidate.in_progress, is_error=False)
        waits = max(1.0, (candidate.in_progress + 1) / max(1, candidate.record.slots))
        self.record_success(candidate.record, took_s / waits)

    def record_failure(self, record: Any, reason: str, avoid: bool = True) -> None:
        """Records a failed request; `avoid` also avoids the backend server, with exponential backoff."""
        now = self._clock.monotonic()
        with self._lock:
            stats = self._stats_of(record)
            stats.failure_rate += _SMOOTHING_FACTOR * (1 - stats.failure_rate)
            stats.updated_at = now
            stats.failures += 1
            if avoid:
                avoid_s = min(_MAX_AVOID_S, _MIN_AVOID_S * 2 ** min(stats.failures - 1, 6))
                self._availability.set_avoided(record, now + avoid_s, now)
        _events.emit("backend_failed", backend=record.id, address=record.address, reason=reason, avoided=avoid)

    def prune(self) -> None:
        """Drops the observations of backend servers that are no longer listed, and restrictions that are over."""
        with self._lock:
            self._availability.prune(self._view.backends_by_id, self._clock.monotonic())
            if self._cold_limit is not None:
                self._cold_limit.drop_old(self._view.backends_by_id, self._clock.monotonic())
            for backend in [id_ for id_ in self._stats_by_id if id_ not in self._view.backends_by_id]:
                del self._stats_by_id[backend]
        self.plain.prune()


def _serves(record: Any, stage: str, model: str) -> bool:
    """Returns whether a server accepts requests of a stage and model; one that lists no models accepts all models."""
    if record.draining or (stage and (record.stage != stage or record.ordered_stage)):
        return False
    return not (model and record.models) or any(loaded.name == model for loaded in record.models)
