"""RPC service of a control VM for a site: document, backend servers, entry VMs and token levels."""

from __future__ import annotations

import threading
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_limits import FleetBuckets, Limits, SpendReport
from arbutusrill_raft import LogUnavailableError, NotLeaderError, Replica
from arbutusrill_state import SharedState, command
from arbutusrill_wire import decode, encode, messages

from ._backends import BackendRegistry
from ._configuration import Engine, SiteConfiguration
from ._entries import EntryRegistry
from ._membership import GroupKeeper
from ._places import PlaceLedger
from ._stages import EngineRegister, EngineWork, StageKeeper

__all__ = ["SiteLimits", "SiteService"]

_COMMIT_S = 2.0
_CONFIRM_S = 1.0
_MAX_WAIT_S = 2.0
_FINAL = 2**62  # sequence number after which no announcement of a start counts
_SAVE_S_PER_BACKEND = 0.05
_GATHER_S = 0.005  # changes that come together go out in one answer
_events = EventLog("site")


@dataclass(slots=True, frozen=True)
class SiteLimits:
    """Times in seconds after which a silent backend server or entry VM is dropped."""

    backend_silent_s: float = 6.0
    entry_silent_s: float = 2.0


class SiteService:
    """Answers the IDL's `Site` service. Only the leader answers; other control VMs name it.

    `decode_document` turns a document's body into the configuration. `stages` makes the keeper of the engines' stages
    from the register of engines and from what is learned of them. `rate_slack` is the number of
    tokens by which a workspace may exceed its bucket for a moment.
    """

    def __init__(
        self,
        log: Replica,
        state: SharedState,
        changed: threading.Condition,
        clock: Clock,
        limits: SiteLimits,
        decode_document: Callable[[bytes], SiteConfiguration],
        keeper: GroupKeeper,
        stages: Callable[[EngineRegister, EngineWork], StageKeeper],
        rate_slack: float,
    ):
        self._log = log
        self._state = state
        self._changed = changed
        self._clock = clock
        self._decode_document = decode_document
        self._keeper = keeper
        self.backends = BackendRegistry(clock, limits.backend_silent_s, changed, state.departures, state.roster)
        self.entries = EntryRegistry(clock, limits.entry_silent_s, changed)
        self._buckets = FleetBuckets(self._limits, clock, rate_slack)
        self.places = PlaceLedger(clock, self.backends.records, self._engine, lambda: self.backends.complete)
        self.stages = stages(_Engines(self), self.places.speeds)
        self._decoded: tuple[int, SiteConfiguration | None] = (0, None)
        self._term: int | None = None
        self._term_lock = threading.Lock()
        self._saved_at = float("-inf")

    @property
    def document_version(self) -> int:
        """Version of the latest committed document that this VM has applied."""
        return self._state.document.version

    # ---- RPC methods

    def follow_site(self, request: Any) -> Any:
        """Waits until something that the entry VM does not know has changed, and returns what it lacks."""
        self._check_leads()
        self.entries.heard(request.entry, request.incarnation, request.uses or [])
        self.places.report(request.entry.id, request.incarnation, request.places or [])
        term = self._term
        if request.term == term and self._wait(request, term):
            time.sleep(_GATHER_S)
        self._confirm()
        self._check_leads()
        same_term = request.term == self._term
        version, body = self._state.document.held()
        # Revisions are read before the lists: a change in between is sent once more instead of being missed.
        backends_revision, entries_revision = self.backends.revision, self.entries.revision
        knows_backends = same_term and request.backends_revision == backends_revision
        knows_entries = same_term and request.entries_revision == entries_revision
        levels = self._buckets.report(request.entry.id, request.incarnation, _spend_report(request))
        return messages.SiteFollowReply(
            self._term,
            version,
            body if version > request.document_version else None,
            backends_revision,
            None if knows_backends else self.backends.records(),
            entries_revision,
            None if knows_entries else self.entries.records(),
            self.backends.complete,
            self.entries.complete,
            levels.tokens_by_workspace,
            self.entries.uses_of_others(request.entry.id),
            self._keeper.addresses(),
            None if knows_backends else self._state.departures.records(),
            levels.counted,
        )

    def _wait(self, request: Any, term: int) -> bool:
        """Waits for a change that the follower lacks; returns whether there is one."""

        def is_behind() -> bool:
            return (
                self._term != term
                or self._state.document.version > request.document_version
                or self.backends.revision != request.backends_revision
                or self.entries.revision != request.entries_revision
            )

        with self._changed:
            return self._changed.wait_for(is_behind, min(request.wait_ms / 1000, _MAX_WAIT_S))

    def announce_backend(self, record: Any) -> None:
        """Takes what a backend server says of itself; that it leaves is durable before the answer."""
        self._check_leads()
        if record.draining and not self._state.departures.covers(record.id, record.started_ms, 0):
            self._propose(messages.PutDeparture(record.id, record.started_ms, record.sequence))
        self.backends.announce(record)
        self._confirm()

    def remove_backend(self, backend: str, started_ms: int) -> None:
        """Takes a backend server out of use, durably; `started_ms` 0 means its latest start."""
        self._check_leads()
        start = started_ms or self.backends.start_of(backend) or self._clock.wall_ms()
        if not self._state.departures.covers(backend, start, _FINAL):
            self._propose(messages.PutDeparture(backend, start, _FINAL))
        self.backends.remove(backend, start)
        self._confirm()

    def place(self, request: Any) -> Any:
        """Waits for a place on a decode engine."""
        self._check_leads()
        return self.places.place(request)

    def free_place(self, freed: Any) -> None:
        """Frees a place."""
        self._check_leads()
        self.places.free(freed)

    def charge_tokens(self, charge: Any) -> float:
        """Charges a request of a workspace that is near its limit; returns 0, or the seconds until it may come back."""
        self._check_leads()
        wait_s = self._buckets.charge(charge.vm, charge.incarnation, charge.workspace, charge.tokens)
        if wait_s is None:
            raise messages.Refused("unknown_vm", f"{charge.vm} has not told yet what it has spent")
        return wait_s

    def put_document(self, document: Any) -> int:
        """Commits a document unless the held version is as high; returns the version in force afterwards."""
        self._confirm()
        held = self._state.document.version
        if document.version <= held:
            _events.emit("document_not_higher", version=document.version, held=held)
            return held
        started = self._clock.monotonic()
        outcome = self._propose(messages.PutDocument(document.version, document.body))
        took_ms = round((self._clock.monotonic() - started) * 1000, 1)
        _events.emit("document_committed", version=document.version, in_force=outcome.revision, took_ms=took_ms)
        return outcome.revision

    def _propose(self, change: Any) -> Any:
        made = encode(command(change, "site", self._clock.wall_ms()))
        try:
            return decode(messages.Outcome, self._log.propose(made, _COMMIT_S))
        except NotLeaderError as error:
            raise messages.Refused("not_leader", str(error), leader=error.leader) from None
        except LogUnavailableError as error:
            verdict = messages.Verdict.MAY_HAVE_RUN if error.appended else messages.Verdict.NOT_RUN
            raise messages.Refused("unavailable", str(error), verdict) from None

    def read_document(self) -> Any:
        """Returns the document in force, proved by a quorum round that began after the call."""
        self._confirm()
        return messages.SiteDocument(*self._state.document.held())

    def join(self, member: str) -> list[str]:
        """Notes a control VM, by member ID, that has no place in the group; returns the members' addresses."""
        self._check_leads()
        self._keeper.ask(member)
        return self._keeper.addresses()

    # ---- periodic work

    def tick(self) -> None:
        """Begins and ends leaderships, drops what is silent."""
        if not self._enter_term():
            return
        self.backends.expire()
        for entry, incarnation in self.entries.expire():
            self._buckets.forget(entry, incarnation)
            self.places.forget(entry, incarnation)

    def save_backends(self) -> None:
        """Writes the backend servers down for the next leader when they have changed; waits for the log."""
        unsaved = self.backends.unsaved() if self._log.is_leader() and self._term is not None else None
        # The list of a large site is written less often.
        if unsaved is None or self._clock.monotonic() < self._saved_at + _SAVE_S_PER_BACKEND * len(unsaved):
            return
        self._save(unsaved)

    def note_stage_order(self, backend: str, stage: str) -> bool:
        """Notes durably that an engine is about to change its stage; returns False where that cannot be written."""
        self.backends.note_order(backend, stage)
        unsaved = self.backends.unsaved()
        return unsaved is None or self._save(unsaved)

    def _save(self, backends: list[Any]) -> bool:
        self._saved_at = self._clock.monotonic()
        try:
            self._propose(messages.PutBackends(backends))
        except messages.Refused as error:
            _events.emit("backends_not_saved", reason=error.message)
            return False
        return True

    def balance(self) -> None:
        """Keeps prefill and decode engines in proportion; waits for the engine that it gives an order to."""
        self.stages.tick(self._term if self._log.is_leader() else None)

    def _enter_term(self) -> bool:
        term = self._log.status().term if self._log.is_leader() else None
        with self._term_lock:
            if term is not None and term != self._term:
                self.backends.begin_term()
                self.backends.recall()
                self.entries.begin_term()
                self._buckets.reset()
                self.places.begin_term(term)
                _events.emit("leadership_began", term=term, document=self._state.document.version)
            elif term is None and self._term is not None:
                _events.emit("leadership_ended", term=self._term)
            self._term = term
        return term is not None

    def _configuration(self) -> SiteConfiguration | None:
        """Returns the decoded document, None before the first one."""
        version, body = self._state.document.held()
        if version != self._decoded[0]:
            self._decoded = (version, self._decode_document(zlib.decompress(body)))
        return self._decoded[1]

    def _limits(self, workspace: str) -> Limits | None:
        configuration = self._configuration()
        known = configuration.workspaces_by_name.get(workspace) if configuration else None
        return known.limits if known else None

    def _engine(self, service: str) -> Engine | None:
        configuration = self._configuration()
        known = configuration.services_by_name.get(service) if configuration else None
        return known.engine if known else None

    def _check_leads(self) -> None:
        if not self._log.is_leader() or not self._enter_term():
            leader = self._log.status().leader
            raise messages.Refused("not_leader", f"not the leader, try {leader or 'another'}", leader=leader)

    def _confirm(self) -> None:
        try:
            self._log.confirm(_CONFIRM_S)
        except NotLeaderError as error:
            raise messages.Refused("not_leader", str(error), leader=error.leader) from None
        except LogUnavailableError as error:
            raise messages.Refused("unavailable", str(error)) from None


class _Engines(EngineRegister):
    """The engines of a site, for the keeper of their stages."""

    def __init__(self, service: SiteService):
        self._service = service

    def records(self) -> list[Any]:
        return self._service.backends.records()

    def note_order(self, backend: str, stage: str) -> bool:
        return self._service.note_stage_order(backend, stage)


def _spend_report(request: Any) -> SpendReport:
    return SpendReport(
        request.spent or {},
        request.spent_whole,
        request.levels or {},
        request.levels_age_s,
        request.uncounted or {},
    )
