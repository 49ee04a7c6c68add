"""RPC service of a control VM for a site: configuration, backend servers, entry VMs, token buckets and places."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_limits import FleetBuckets, Limits, SpendReport
from arbutusrill_raft import LogUnavailableError, NotLeaderError, Replica
from arbutusrill_state import SharedState, make_command
from arbutusrill_wire import decode, encode, messages

from ._backends import BackendRegistry
from ._cold_limits import ColdRules, GrantLimit
from ._configuration import Engine, Service, SiteConfiguration
from ._entries import EntryRegistry
from ._evacuations import EvacuationLedger
from ._membership import MembershipManager
from ._places import PlaceLedger
from ._prompt_ledger import PromptLedger
from ._registry import RegistryChanges
from ._second_send_ledger import SecondSendLedger
from ._second_sends import SecondSendLimit
from ._stages import EngineRegistry, EngineStatistics, StageBalancer

__all__ = ["SilenceTimeouts", "SiteService"]

_COMMIT_TIMEOUT_S = 2.0
_CONFIRM_TIMEOUT_S = 1.0
_MAX_LONG_POLL_S = 2.0
_PATCHES_LOG_FORMAT = 1  # format of the replicated log from which on entries may be patches of the document
_MAX_SEQUENCE = 2**62  # a departure with this number outdates all announcements that a server makes after one start
_MAX_LATE_ANNOUNCEMENTS = 3  # of a server that has left: those on their way that the leader did not know then
_SAVE_INTERVAL_S_PER_BACKEND = 0.05  # the interval grows with the list, which bounds the write rate of the log
_COALESCING_DELAY_S = 0.005  # wait after a change, so that one reply carries the changes that come together
_events = EventLog("site")


@dataclass(slots=True, frozen=True)
class SilenceTimeouts:
    """Seconds without an announcement or a poll after which a backend server or an entry VM is dropped."""

    backend_timeout_s: float = 6.0
    entry_timeout_s: float = 2.0


class SiteService:
    """Implements the IDL's `Site` service. Only the leader serves calls; other control VMs refuse them and name it.

    `decode_document` decodes the parts of a configuration document. `make_stage_balancer` builds the balancer from the
    registry of engines and the statistics of their work. `rate_slack` is the number of tokens by which a workspace may
    briefly exceed its bucket, `cold_rules` bounds what cold servers get, `second_send_limit` the second sends
    of requests that may be repeated.
    """

    def __init__(
        self,
        log: Replica,
        state: SharedState,
        changed: threading.Condition,
        clock: Clock,
        timeouts: SilenceTimeouts,
        decode_document: Callable[[tuple[bytes, ...]], SiteConfiguration],
        membership_manager: MembershipManager,
        make_stage_balancer: Callable[[EngineRegistry, EngineStatistics], StageBalancer],
        rate_slack: float,
        cold_rules: ColdRules | None = None,
        second_send_limit: SecondSendLimit | None = None,
    ):
        self._log = log
        self._state = state
        self._changed = changed
        self._clock = clock
        self._decode_document = decode_document
        self._membership_manager = membership_manager
        self.backends = BackendRegistry(clock, timeouts.backend_timeout_s, changed, state.departures, state.roster)
        self.entries = EntryRegistry(clock, timeouts.entry_timeout_s, changed)
        self.evacuations = EvacuationLedger(
            log,
            state,
            changed,
            self._propose,
            lambda: self.backends.data_centres() | self.entries.data_centres(),
            lambda: self.backends.complete and self.entries.complete,
            lambda data_centre: self.backends.cold_servers.take_back([data_centre], clock.monotonic()),
        )
        self._buckets = FleetBuckets(self._limits_of, clock, rate_slack)
        self.places = PlaceLedger(
            clock,
            lambda: self.evacuations.usable(self.backends.records()),
            self._engine_of,
            lambda: self.backends.complete,
            lambda: (self.backends.revision, self.evacuations.revision),
            cold_rules and GrantLimit(cold_rules, self.backends.cold_servers, self._service_of),
        )
        self.prompts = PromptLedger(
            clock,
            changed,
            state.prompt_table,
            lambda record: self._try_to_commit(record, "prompt_suspects_not_saved"),
        )
        self.stage_balancer = make_stage_balancer(_SiteEngineRegistry(self), self.places.speeds)
        self.second_sends = SecondSendLedger(clock, second_send_limit or SecondSendLimit(0.0))
        self._decoded_document: tuple[int, SiteConfiguration | None] = (0, None)
        self._term: int | None = None
        self._term_lock = threading.Lock()
        self._saved_at = float("-inf")

    @property
    def document_version(self) -> int:
        """Version of the latest committed configuration document that this VM has applied."""
        return self._state.document.version

    def follow_site(self, request: Any) -> Any:
        """Long poll: waits for a change that the entry VM has not seen; returns the changes and the token levels."""
        self._require_leadership()
        self.entries.record_heartbeat(request.entry, request.incarnation, request.uses or [], request.services)
        self.places.reconcile_places(request.entry.id, request.incarnation, request.places or [])
        term = self._term
        if request.term == term and self._wait_for_change(request, term):
            time.sleep(_COALESCING_DELAY_S)
        self._confirm_leadership()
        # The term may have changed during the wait: this resets the registries for the new one before they are read.
        self._require_leadership()
        same_term = request.term == self._term
        backends = self.backends.changes_since(request.backends_revision if same_term else None)
        entries = self.entries.changes_since(request.entries_revision if same_term else None)
        if not request.accepts_deltas:
            backends = backends and self.backends.changes_since(None)
            entries = entries and self.entries.changes_since(None)
        levels = self._buckets.report(request.entry.id, request.incarnation, _spend_report(request))
        reply = messages.SiteFollowReply(
            self._term,
            request.document_version,
            None,
            request.backends_revision,
            None,
            request.entries_revision,
            None,
            self.backends.complete,
            self.entries.complete,
            levels.tokens_by_workspace,
            self.entries.uses_of_others(request.entry.id),
            self._membership_manager.addresses(),
            None,
            levels.is_reporter_known,
        )
        reply.services = self.entries.loads_of_others(request.entry.id)
        self.second_sends.add_to_reply(reply, request)
        self._add_document(reply, request)
        self._add_lists(reply, backends, entries)
        self.evacuations.add_to_reply(reply, request)
        self.prompts.add_to_reply(reply, request.suspects_revision if same_term else min(request.suspects_revision, 0))
        return reply

    def _add_document(self, reply: Any, request: Any) -> None:
        """Adds to a reply how the document has changed, or the whole one if the entry VM lags too far behind."""
        document = self._state.document
        reply.document_version, patches = document.patches_since(request.document_version)
        if reply.document_version <= request.document_version:
            return
        if patches is not None and request.accepts_patches:
            reply.document_patches = [
                messages.PatchDocument(patch.base_version, patch.version, patch.data) for patch in patches
            ]
            return
        packed = document.packed()
        reply.document_version, reply.document, reply.document_layout = packed.version, packed.body, packed.layout

    def _add_lists(self, reply: Any, backends: RegistryChanges | None, entries: RegistryChanges | None) -> None:
        """Adds to a reply what has changed in the lists of backend servers and entry VMs."""
        if backends is not None:
            reply.backends_revision, reply.backends = backends.revision, backends.records
            reply.backends_delta = backends.is_delta
            removed = [
                messages.PutDeparture(record.id, record.started_ms, _MAX_SEQUENCE) for record in backends.removed
            ]
            if backends.is_delta:
                reply.removed_backends = removed
            else:
                reply.departures = self._state.departures.records() + removed
        if entries is not None:
            reply.entries_revision, reply.entries = entries.revision, entries.records
            reply.entries_delta = entries.is_delta
            reply.removed_entries = [record.id for record in entries.removed]

    def _wait_for_change(self, request: Any, term: int) -> bool:
        """Waits for a change that the entry VM has not seen, at most `request.wait_ms`; returns whether one came.

        A change of the entry VMs ends no wait: it is sent with the next reply. After the loss of all VMs, each of them
        is a change that would otherwise be followed by a poll of all the others.
        """

        def is_behind() -> bool:
            return (
                self._term != term
                or self._state.document.version > request.document_version
                or self.backends.revision != request.backends_revision
                or self.prompts.is_behind(request.bars_revision)
                or self.evacuations.is_behind(request)
            )

        with self._changed:
            return self._changed.wait_for(is_behind, min(request.wait_ms / 1000, _MAX_LONG_POLL_S))

    def announce_backend(self, record: Any) -> None:
        """Registers an announcement of a backend server; a departure is committed before the reply.

        Refuses with `outdated` what does not count: an acknowledgment would say that the server is in use.
        """
        self._require_leadership()
        if (
            record.draining
            and not self.backends.is_draining(record.id, record.started_ms)
            and not self._state.departures.is_outdated(record.id, record.started_ms, record.sequence)
        ):
            self._propose(messages.PutDeparture(record.id, record.started_ms, record.sequence))
        is_registered = self.backends.announce(record)
        self._confirm_leadership()
        if not is_registered and not self.backends.has_announced(record):
            raise messages.Refused("outdated", "the server has left, has started again or its address is in use")

    def read_backend_start(self, backend: str) -> Any:
        """Returns the latest known start of a backend server as a linearizable read."""
        self._confirm_leadership()
        self._require_leadership()
        return messages.BackendStart(*self.backends.latest_start(backend))

    def remove_backend(self, backend: str, started_ms: int, sequence: int) -> None:
        """Commits the departure of a backend server and drops it.

        With `sequence` -1, `started_ms` is the start that the server has named. Otherwise the start was looked up, see
        `read_backend_start`, and may be that of a server that runs: its announcements are ignored only as long as they
        may have been on their way. `started_ms` 0 means the latest start that the leader knows.
        """
        self._require_leadership()
        known_start, known_sequence = self.backends.latest_start(backend)
        if not started_ms:
            started_ms, sequence = known_start, known_sequence
        elif sequence >= 0 and started_ms == known_start:
            sequence = max(sequence, known_sequence)
        if started_ms:
            last = _MAX_SEQUENCE if sequence < 0 else min(_MAX_SEQUENCE, sequence + _MAX_LATE_ANNOUNCEMENTS)
            if not self._state.departures.is_outdated(backend, started_ms, last):
                self._propose(messages.PutDeparture(backend, started_ms, last))
        _events.emit("backend_departure", backend=backend, start=started_ms, seq=sequence, known_start=known_start)
        self.backends.remove(backend, started_ms)
        self._confirm_leadership()

    def place(self, request: Any) -> Any:
        """Waits for a place on a decode engine, at most `request.wait_ms`."""
        self._require_leadership()
        return self.places.place(request)

    def free_place(self, freed: Any) -> None:
        """Frees a place and updates the speed estimates from the times that its holder reports."""
        self._require_leadership()
        self.places.free(freed)

    def report_prompts(self, report: Any) -> Any:
        """Records crashes and answers of prompts; returns the bars, so that their request is not sent again by them."""
        self._require_leadership()
        self.prompts.report(report)
        reply = messages.PromptReply(self._term)
        self.prompts.add_to_reply(reply, 0)
        return reply

    def charge_tokens(self, charge: Any) -> float:
        """Charges the tokens of a request of a workspace near its limit; returns 0, or the seconds until a retry."""
        self._require_leadership()
        wait_s = self._buckets.charge(charge.vm, charge.incarnation, charge.workspace, charge.tokens, charge.number)
        if wait_s is None:
            raise messages.Refused(
                "unknown_vm", f"{charge.vm} has not told yet what it has spent, or has withdrawn the charge"
            )
        return wait_s

    def second_send(self, service_name: str) -> bool:
        """Grants one second send of a slow request if the limit of the deployment allows it."""
        self._require_leadership()
        return self.second_sends.try_take(service_name)

    def put_document(self, document: Any) -> int:
        """Commits a document if its version is higher than the current one; returns the version in force afterwards."""
        self._confirm_leadership()
        layout = document.layout if self._log.log_format() >= _PATCHES_LOG_FORMAT else None
        change = messages.PutDocument(document.version, document.body, layout)
        return self._commit_document(change, len(document.body), False)

    def patch_document(self, patch: Any) -> int:
        """Like `put_document`, for a change of the document in force.

        Refuses with `stale_base` a change of another version, which must then be sent as a whole document.
        """
        self._confirm_leadership()
        document = self._state.document
        if patch.version > document.version and not (
            document.accepts_patches and patch.base_version == document.version
        ):
            raise messages.Refused("stale_base", f"the version in force is {document.version}")
        in_force = self._commit_document(patch, len(patch.patch), True)
        if in_force < patch.version:
            raise messages.Refused("stale_base", f"the version in force is {in_force}")
        return in_force

    def order_evacuation(self, order: Any, known: bool, term: int, order_number: int) -> None:
        """Commits that nothing more is sent to the backend servers of a data centre, or the end of that.

        Refuses with `superseded` an order that was decided before others, see `EvacuationLedger.order`.
        """
        self._confirm_leadership()
        self._require_leadership()
        self.evacuations.order(order, known, term, order_number)

    def read_evacuations(self) -> Any:
        """Returns the data centres that are evacuated as a linearizable read."""
        self._confirm_leadership()
        return self.evacuations.read()

    def _commit_document(self, change: Any, size: int, is_patch: bool) -> int:
        current_version = self._state.document.version
        if change.version <= current_version:
            _events.emit("document_not_higher", version=change.version, held=current_version)
            return current_version
        started = self._clock.monotonic()
        outcome = self._propose(change)
        took_ms = round((self._clock.monotonic() - started) * 1000, 1)
        _events.emit(
            "document_committed",
            version=change.version,
            in_force=outcome.revision,
            took_ms=took_ms,
            bytes=size,
            is_patch=is_patch,
        )
        return outcome.revision

    def _propose(self, change: Any) -> Any:
        encoded = encode(make_command(change, "site", self._clock.wall_ms()))
        try:
            return decode(messages.Outcome, self._log.propose(encoded, _COMMIT_TIMEOUT_S))
        except NotLeaderError as error:
            raise messages.Refused("not_leader", str(error), leader=error.leader) from None
        except LogUnavailableError as error:
            verdict = messages.Verdict.MAY_HAVE_RUN if error.appended else messages.Verdict.NOT_RUN
            raise messages.Refused("unavailable", str(error), verdict) from None

    def read_document(self) -> Any:
        """Returns the document in force as a linearizable read: a quorum confirms the leadership after the call."""
        self._confirm_leadership()
        packed = self._state.document.packed()
        return messages.SiteDocument(packed.version, packed.body, packed.layout)

    def join(self, member: str) -> list[str]:
        """Records that the control VM with the ID `member` wants to join the group; returns the members' addresses."""
        self._require_leadership()
        self._membership_manager.record_join_request(member)
        return self._membership_manager.addresses()

    def leave(self, member: str) -> bool:
        """Records that the control VM with the ID `member` stops; returns whether it is about to be replaced."""
        self._require_leadership()
        return self._membership_manager.record_leave_request(member)

    def tick(self) -> None:
        """Updates the term from the log; on the leader drops backend servers and entry VMs that time out."""
        if not self._update_term():
            return
        self.backends.expire()
        for entry, incarnation in self.entries.expire():
            self._buckets.drop_reporter(entry, incarnation)
            self.places.free_places_of(entry, incarnation)
            self.second_sends.forget(entry)
        self.places.tick()
        self.prompts.expire()

    def save_backends(self) -> None:
        """Commits the list of backend servers for the next leader when it has changed; blocks until it is committed."""
        records = self.backends.records_to_save() if self._log.is_leader() and self._term is not None else None
        if records is None or self._clock.monotonic() < self._saved_at + _SAVE_INTERVAL_S_PER_BACKEND * len(records):
            return
        self._save_records(records)

    def save_prompt_suspects(self) -> None:
        """Commits the suspected parts of prompts for the next leader when they have changed; blocks meanwhile."""
        if self._log.is_leader() and self._term is not None:
            self.prompts.save()

    def record_stage_order(self, backend: str, stage: str) -> bool:
        """Commits the stage that an engine was ordered to change to, empty for none; returns False when that fails."""
        self.backends.record_stage_order(backend, stage)
        records = self.backends.records_to_save()
        return records is None or self._save_records(records)

    def _save_records(self, backends: list[Any]) -> bool:
        self._saved_at = self._clock.monotonic()
        return self._try_to_commit(messages.PutBackends(backends), "backends_not_saved")

    def _try_to_commit(self, change: Any, failure_event: str) -> bool:
        try:
            self._propose(change)
        except messages.Refused as error:
            _events.emit(failure_event, reason=error.message)
            return False
        return True

    def balance(self) -> None:
        """Balances prefill and decode engines; blocks while an engine answers an order."""
        self.stage_balancer.tick(self._term if self._log.is_leader() else None)

    def _update_term(self) -> bool:
        """Resets the soft state at the start of a term as leader; returns whether this VM leads."""
        term = self._log.leading_term()
        with self._term_lock:
            if term is not None and term != self._term:
                self.backends.begin_term()
                self.backends.restore_roster()
                self.entries.begin_term()
                self._buckets.clear()
                self.places.begin_term(term)
                self.prompts.begin_term()
                self.second_sends.begin_term()
                _events.emit("leadership_began", term=term, document=self._state.document.version)
            elif term is None and self._term is not None:
                _events.emit("leadership_ended", term=self._term)
            self._term = term
        return term is not None

    def _configuration(self) -> SiteConfiguration | None:
        """Returns the decoded configuration, None before the first document.

        A document that this version cannot decode leaves the previous one in force, as it does on the entry VMs.
        """
        version, parts = self._state.document.held()
        decoded_version, configuration = self._decoded_document
        if version != decoded_version:
            try:
                configuration = self._decode_document(parts)
            except Exception as error:
                _events.emit("document_not_decoded", version=version, reason=repr(error))
            self._decoded_document = (version, configuration)
        return configuration

    def _limits_of(self, workspace: str) -> Limits | None:
        configuration = self._configuration()
        workspace_config = configuration.workspaces_by_name.get(workspace) if configuration else None
        return workspace_config.limits if workspace_config else None

    def _service_of(self, service: str) -> Service | None:
        configuration = self._configuration()
        return configuration.services_by_name.get(service) if configuration else None

    def _engine_of(self, service: str) -> Engine | None:
        service_config = self._service_of(service)
        return service_config.engine if service_config else None

    def _require_leadership(self) -> None:
        """Refuses a call when this replica does not lead, by local knowledge only; updates the term."""
        if not self._log.is_leader() or not self._update_term():
            leader = self._log.status().leader
            raise messages.Refused("not_leader", f"not the leader, try {leader or 'another'}", leader=leader)

    def _confirm_leadership(self) -> None:
        """Waits until a quorum confirms that this VM leads; refuses the call otherwise."""
        try:
            self._log.confirm(_CONFIRM_TIMEOUT_S)
        except NotLeaderError as error:
            raise messages.Refused("not_leader", str(error), leader=error.leader) from None
        except LogUnavailableError as error:
            raise messages.Refused("unavailable", str(error)) from None


class _SiteEngineRegistry(EngineRegistry):
    """Gives the `StageBalancer` access to the backend servers of a `SiteService`."""

    def __init__(self, service: SiteService):
        self._service = service

    def records(self) -> list[Any]:
        return self._service.evacuations.usable(self._service.backends.records())

    def record_stage_order(self, backend: str, stage: str) -> bool:
        return self._service.record_stage_order(backend, stage)


def _spend_report(request: Any) -> SpendReport:
    return SpendReport(
        request.spent or {},
        request.spent_whole,
        request.levels or {},
        request.levels_age_s,
        request.uncounted or {},
        tuple(request.abandoned_charges or ()),
    )
