"""What a VM knows of the servers of plain services: its own observations and those that the others report."""

from __future__ import annotations

import enum
import random
import threading
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_site import SiteView
from arbutusrill_wire import messages

from ._caller_returns import CallerReturns
from ._fleet_health import FleetHealth, SharedCounts, trial_probability
from ._observations import ServerCounts, ServerObservations
from ._plain_load import ServerLoad, ServiceState
from ._server_history import MIN_WORK_S, ServerHistory
from ._waiting_line import WaitingLine

__all__ = ["Admission", "PlainNeed", "PlainServers"]

_MAX_FLEET_AGE_S = 1.5  # of a reply of the leader; with an older one a VM relies on its own observations
_OFFERED_WINDOW_S = 0.5
_SEEN_WINDOW_S = 0.5  # short, so that an outage does not hide behind the answers before it
_MAX_WORK_RATIO = 2.5  # of one answer to the known time of work: longer ones have waited unseen
_DEFAULT_WORK_S = 0.03
_UNKNOWN_SLOTS = 100_000
_events = EventLog("plain")


@dataclass(slots=True, frozen=True)
class PlainNeed:
    """What matters of a request for the choice of a server: whether it must not run twice, and its objective."""

    once_only: bool
    objective_s: float


class Admission(enum.Enum):
    """What is done with a request of a plain service."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


class PlainServers:
    """Shared knowledge of the servers of plain services, which `BackendPool` asks for its choices.

    Thread-safe. `vm_count` returns the number of entry VMs.
    """

    def __init__(
        self,
        view: SiteView,
        data_centre: str,
        clock: Clock,
        vm_count: Callable[[], int],
        rng: random.Random | None = None,
    ):
        self._view = view
        self._data_centre = data_centre
        self._clock = clock
        self._vm_count = vm_count
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._observations = ServerObservations(_SEEN_WINDOW_S)
        self._offered = ServerObservations(_OFFERED_WINDOW_S)  # by service, in the field `sent`
        self._health = FleetHealth()
        self._returns = CallerReturns()
        self._busy_at_by_service: dict[str, float] = {}
        self._late_line_by_service: dict[str, WaitingLine] = {}
        self._history_by_id: dict[str, ServerHistory] = {}
        self._waiting_by_service: Counter[str] = Counter()
        self._count_by_decision: Counter[str] = Counter()

    def use_messages(self, load_by_id: dict[str, tuple[int, int]]) -> list[Any]:
        """Returns the `BackendUse` messages of a report: requests and tokens in progress by id, and observations."""
        now = self._clock.monotonic()
        with self._lock:
            counts_by_id = self._observations.report(now)
            # Also on a VM without a request at the moment: the observations that show an outage pass within a second.
            for id_ in {*counts_by_id, *self._view.fleet.uses_by_backend, *self._health.out_ids()}:
                counts, record = self._counts(id_, now), self._view.backends_by_id.get(id_)
                self._update_health(id_, counts, now)
                if record is not None:
                    self._history(id_, now).learn(counts.total, _slots(record), _SEEN_WINDOW_S, now)
        uses = []
        for id_ in {**load_by_id, **counts_by_id}:
            use = messages.BackendUse(id_, *load_by_id.get(id_, (0, 0)))
            counts = counts_by_id.get(id_)
            if counts is not None:
                use.sent, use.answered, use.errors = counts.sent, counts.answered, counts.errors
                use.failed, use.refused = counts.failed, counts.refused
                use.worked, use.work_s = counts.worked, counts.work_s
            uses.append(use)
        return uses

    def load_messages(self) -> list[Any]:
        """Returns the `ServiceLoad` messages of a report."""
        with self._lock:
            offered_by_service = self._offered.report(self._clock.monotonic())
            names = {*offered_by_service, *(name for name, count in self._waiting_by_service.items() if count)}
            return [
                messages.ServiceLoad(
                    name,
                    offered_by_service[name].sent if name in offered_by_service else 0,
                    self._waiting_by_service[name],
                )
                for name in names
            ]

    def record_arrival(self, service: str, route: str, deadline_s: float | None) -> bool:
        """Counts a request of a caller for a service; returns whether it is late, as its caller was refused before.

        A late one is recognized by its time limit.
        """
        now = self._clock.monotonic()
        with self._lock:
            is_late = self._returns.observe(
                route, deadline_s, now, self._busy_at_by_service.get(service, float("-inf"))
            )
            self._offered.record(service, now, sent=1)
            return is_late

    def late_line(self, service: str) -> WaitingLine:
        """Returns the line of requests of a service that are late already and wait for spare room."""
        with self._lock:
            return self._late_line_by_service.setdefault(service, WaitingLine())

    def add_waiting(self, service: str, change: int) -> None:
        """Changes the number of requests that wait at this VM for room."""
        with self._lock:
            self._waiting_by_service[service] += change

    def record_decision(self, decision: str) -> None:
        """Counts a decision for the metrics."""
        with self._lock:
            self._count_by_decision[decision] += 1

    def counts_by_decision(self) -> dict[str, int]:
        """Returns how often each decision was taken since the start."""
        with self._lock:
            return dict(self._count_by_decision)

    def record_sent(self, record: Any) -> None:
        """Counts a send."""
        with self._lock:
            self._observations.record(record.id, self._clock.monotonic(), sent=1)

    def record_answer(self, record: Any, took_s: float, in_progress: float, is_error: bool) -> None:
        """Records a whole answer to a request that was sent when `in_progress` others were at the server.

        The time of work is the time of the answer without the expected wait behind the others.
        """
        now = self._clock.monotonic()
        work_s = max(MIN_WORK_S, took_s / max(1.0, (in_progress + 1) / _slots(record)))
        with self._lock:
            history = self._history(record.id, now)
            work_s = min(work_s, _MAX_WORK_RATIO * (history.work_s or work_s))
            self._observations.record(record.id, now, answered=1, errors=int(is_error), worked=1, work_s=work_s)
            history.work_s = history.work_s or work_s

    def record_failure(self, record: Any) -> None:
        """Records a send without a whole answer."""
        with self._lock:
            self._observations.record(record.id, self._clock.monotonic(), failed=1)

    def record_refusal(self, record: Any) -> None:
        """Records a statement that a request has not run."""
        with self._lock:
            self._observations.record(record.id, self._clock.monotonic(), refused=1)

    def _history(self, backend: str, now: float) -> ServerHistory:
        history = self._history_by_id.get(backend)
        if history is None:
            history = self._history_by_id[backend] = ServerHistory(now)
        return history

    def _fleet_age_s(self, now: float) -> float:
        return now - self._view.fleet.received_at

    def _counts(self, backend: str, now: float) -> SharedCounts:
        own = self._observations.recent(backend, now)
        use = self._view.fleet.uses_by_backend.get(backend)
        if use is None or self._fleet_age_s(now) > _MAX_FLEET_AGE_S:
            return SharedCounts(own, ServerCounts())
        return SharedCounts(own, ServerCounts().plus(use), use.observing_vms, use.failing_vms)

    def state(self, service: str, records: Sequence[Any], own_by_id: dict[str, int]) -> ServiceState:
        """Returns the state of a service whose permitted servers are `records`, with this VM's requests by id."""
        now = self._clock.monotonic()
        fleet_known = self._fleet_age_s(now) <= _MAX_FLEET_AGE_S
        with self._lock:
            counts_by_id = {record.id: self._counts(record.id, now) for record in records}
            for id_, counts in counts_by_id.items():
                self._update_health(id_, counts, now)
            histories = [self._history(record.id, now) for record in records]
            usual_error_share = min((history.error_share for history in histories), default=0.0)
            known = [history.work_s for history in histories if history.work_s]
            mean_work_s = sum(known) / len(known) if known else _DEFAULT_WORK_S
            servers = [
                self._server_load(
                    record,
                    history,
                    counts_by_id[record.id].total,
                    own_by_id.get(record.id, 0),
                    mean_work_s,
                    usual_error_share,
                    fleet_known,
                )
                for record, history in zip(records, histories, strict=True)
            ]
            own_offered = self._offered.recent(service, now).sent
            own_waiting = self._waiting_by_service[service]
        load = self._view.fleet.load_by_service.get(service) if fleet_known else None
        offered = own_offered + (load.offered if load is not None else 0)
        others_waiting = load.waiting if load is not None else 0
        state = ServiceState(
            servers,
            offered / _OFFERED_WINDOW_S,
            own_offered / _OFFERED_WINDOW_S,
            own_waiting,
            others_waiting,
            fleet_known,
            max(1, self._vm_count()),
        )
        if not (fleet_known and state.has_idle_slots):
            self._busy_at_by_service[service] = now
        return state

    def _server_load(
        self,
        record: Any,
        history: ServerHistory,
        recent: ServerCounts,
        own: int,
        mean_work_s: float,
        usual_error_share: float,
        fleet_known: bool,
    ) -> ServerLoad:
        slots = _slots(record)
        work_s = history.work_s or mean_work_s
        in_progress = float(own)
        if fleet_known:
            in_progress += self._view.other_vms_requests_by_backend.get(record.id, 0)
        failure_share = history.failure_share(recent, usual_error_share)
        is_near = record.data_centre == self._data_centre
        is_out = self._health.is_out(record.id)
        return ServerLoad(record.id, slots, in_progress, own, work_s, failure_share, is_out, is_near)

    def _update_health(self, backend: str, counts: SharedCounts, now: float) -> None:
        since = self._health.out_since(backend)
        if not self._health.update(backend, counts, now):
            return
        total = counts.total
        fields = {"backend": backend, "failed": total.failed, "answered": total.answered}
        if since is None:
            _events.emit("server_out", own_failed=counts.own.failed, failing_vms=counts.other_failing_vms, **fields)
            self._count_by_decision["server_out"] += 1
        else:
            _events.emit("server_back", out_s=now - since, **fields)

    def choose(
        self, state: ServiceState, need: PlainNeed, may_try: bool, connected: Collection[str] = frozenset()
    ) -> str | None:
        """Returns the id of the server for a request while the service is busy, or to try one that is out.

        None if the choice is to be made by the expected time: neither is a server half busy, nor does one fail.
        `may_try` says whether a failure of this send may be followed by another one. Servers in `connected`, to which
        the request can use a kept connection, are preferred among those with idle slots.
        """
        out = [server.id for server in state.servers if server.is_out]
        trial_share = trial_probability(state.fleet_offered_per_s, may_try and not need.once_only)
        if 0 < len(out) < len(state.servers) and self._rng.random() < trial_share:
            self.record_decision("trial")
            return self._rng.choice(out)
        if not out and not state.needs_spreading:
            return None
        weights = [server.weight(need.objective_s, need.once_only, server.id in connected) for server in state.used]
        return self._rng.choices(state.used, weights)[0].id

    def admission(self, state: ServiceState, objective_s: float, is_late: bool) -> Admission:
        """Returns what is to be done with a request: one that is late waits for spare room if it is not admitted."""
        if not state.servers or self.is_admitted(state, objective_s):
            return Admission.SEND
        return Admission.WAIT if is_late else Admission.REFUSE

    def is_admitted(self, state: ServiceState, objective_s: float) -> bool:
        """Returns whether a request is sent at once, at random by the fraction that all VMs admit."""
        return self._rng.random() < state.admitted_fraction(objective_s)

    def out_ids(self) -> list[str]:
        """Returns the ids of the servers that are out of use."""
        with self._lock:
            return self._health.out_ids()

    def prune(self) -> None:
        """Forgets servers that are no longer listed."""
        listed = set(self._view.backends_by_id)
        with self._lock:
            self._observations.prune(listed)
            self._health.prune(listed)
            for backend in [id_ for id_ in self._history_by_id if id_ not in listed]:
                del self._history_by_id[backend]


def _slots(record: Any) -> int:
    """Returns the slots of a server; one that announces none is taken to have room for everything."""
    return record.slots if record.slots > 0 else _UNKNOWN_SLOTS
