"""View of the site on an entry VM, updated by long polls of the leader of the control group."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_base import Clock, EventLog, TaskGroup
from arbutusrill_limits import FleetLevels, FleetRateLimiter
from arbutusrill_state import ControlClient, ControlUnavailableError, PatchError, apply_patch, unpack_parts
from arbutusrill_wire import messages

from ._backends import is_newer
from ._cold_limits import ColdServers
from ._prompt_bars import PromptBars, decode_prompt_bars

__all__ = ["FleetReport", "SiteFollower", "SiteView"]

_LONG_POLL_MS = 250  # longest wait of the leader for a change
_CALL_TIMEOUT_S = 1.0
_RETRY_DELAY_S = 0.05  # after a failed call
_events = EventLog("follower")


@dataclass(slots=True, frozen=True)
class FleetReport:
    """What the other entry VMs together reported last; `received_at` is on the monotonic clock.

    `uses_by_backend` has the `BackendUse` messages of servers that they used within a second before their reports,
    `load_by_service` the `ServiceLoad` messages of plain services.
    """

    uses_by_backend: dict[str, Any] = field(default_factory=dict)
    load_by_service: dict[str, Any] = field(default_factory=dict)
    received_at: float = float("-inf")


class SiteView:
    """State of the site as known to an entry VM. Fields are replaced as whole values and read without a lock.

    `document` is the decoded configuration, None before the first one has arrived. `backends_complete` is False while
    a new leader collects announcements.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self.document: Any = None
        self.version = 0
        self.backends_by_id: dict[str, Any] = {}
        self.backends_complete = False
        self.entries_by_id: dict[str, Any] = {}
        self.prompt_bars = PromptBars()
        self.evacuated_data_centres: frozenset[str] = frozenset()
        self.evacuations_revision = -1
        self.cold_servers = ColdServers()
        self.other_vms_requests_by_backend: dict[str, int] = {}
        self.other_vms_tokens_by_backend: dict[str, int] = {}
        self.fleet = FleetReport()
        self.last_poll_sent_at = float("-inf")
        self._changed = threading.Condition()

    def wait_for(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Waits until `condition` holds, at most `timeout_s` seconds; returns whether it does."""
        with self._changed:
            return self._changed.wait_for(condition, max(0.0, timeout_s))

    def notify(self) -> None:
        """Wakes the threads in `wait_for`."""
        with self._changed:
            self._changed.notify_all()

    def apply_prompt_bars(self, reply: Any) -> None:
        """Replaces the bars by those in a reply of the leader, unless the reply is older."""
        bars = decode_prompt_bars(reply, self._clock.monotonic())
        with self._changed:
            known = self.prompt_bars
            if not known.is_older_than(bars):
                return
            self.prompt_bars = bars
        if [barred.parts for barred in known.barred] != [barred.parts for barred in bars.barred]:
            _events.emit("bars_applied", sets=len(bars.barred), suspected=len(bars.suspected), revision=bars.revision)

    def apply_evacuations(self, record: Any) -> None:
        """Replaces the evacuated data centres by those in a reply of a leader, unless the reply is older."""
        with self._changed:
            if record.revision <= self.evacuations_revision:
                return
            known = self.evacuated_data_centres
            evacuated = frozenset(record.data_centres or ())
            self.cold_servers.take_back(known - evacuated, self._clock.monotonic())
            self.evacuated_data_centres = evacuated
            self.evacuations_revision = record.revision
            self._changed.notify_all()
        if known != self.evacuated_data_centres:
            data_centres = sorted(self.evacuated_data_centres)
            _events.emit("evacuations_applied", data_centres=data_centres, revision=record.revision)

    def age_s(self) -> float:
        """Returns the seconds since the start of the last successful poll."""
        return self._clock.monotonic() - self.last_poll_sent_at


class SiteFollower:
    """Polls the leader and updates a `SiteView`.

    `entry` is the record of this entry VM. `decode` decodes the parts of a configuration document. `backend_loads`
    returns the load of this VM on backend servers, `places` the places that it holds, `seeds` the configured addresses
    of control VMs, `service_loads` its requests for plain services, `repeatable_uses` what it reports for second sends,
    whose delays in milliseconds by service `set_second_send_delays` gets. The document never reverts to an older
    version, and one that cannot be decoded leaves the previous one in force. Lists that a new leader marks as
    incomplete are merged with the known ones.
    """

    def __init__(
        self,
        view: SiteView,
        entry: Any,
        incarnation: int,
        client: ControlClient,
        clock: Clock,
        rate_limiter: FleetRateLimiter,
        decode: Callable[[tuple[bytes, ...]], Any],
        backend_loads: Callable[[], list[Any]],
        places: Callable[[], list[Any]],
        seeds: Callable[[], list[str]],
        service_loads: Callable[[], list[Any]] = list,
        repeatable_uses: Callable[[], list[Any]] = list,
        set_second_send_delays: Callable[[dict[str, int]], None] = lambda delays: None,
    ):
        self.view = view
        self._entry = entry
        self._draining = False
        self._incarnation = incarnation
        self._client = client
        self._clock = clock
        self._rate_limiter = rate_limiter
        self._decode = decode
        self._backend_loads = backend_loads
        self._places = places
        self._seeds = seeds
        self._service_loads = service_loads
        self._repeatable_uses = repeatable_uses
        self._set_second_send_delays = set_second_send_delays
        self._term = 0
        # The latest document, also if it could not be decoded; version 0 asks for a whole one.
        self._received_version = 0
        self._received_parts: tuple[bytes, ...] = ()
        self._backends_revision = 0
        self._entries_revision = 0
        self._members: list[str] = []  # addresses of the control group at the last successful poll
        self._connected = True
        self._failures = 0
        self._state_lock = threading.Lock()
        self.on_change: Callable[[], None] = lambda: None

    def start(self, tasks: TaskGroup) -> None:
        """Polls in a background task until `tasks` stops."""
        tasks.start(self._run, tasks.stopping)

    @property
    def state(self) -> str:
        """``starting`` before the first configuration, then ``ready``, ``draining`` after `drain`."""
        if self._draining:
            return "draining"
        return "starting" if self.view.document is None else "ready"

    def drain(self) -> None:
        """Reports to the leader at once that this entry VM drains; later polls repeat it if the call fails."""
        self._draining = True
        try:
            self._poll(0)
        except (ControlUnavailableError, messages.Refused) as error:
            _events.emit("drain_not_announced", reason=str(error))

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.is_set():
            try:
                self._poll(_LONG_POLL_MS)
                self._failures = 0
                self._set_connected(True, "")
            except (ControlUnavailableError, messages.Refused) as error:
                self._failures += 1
                self._set_connected(False, str(error))
                # All known members may have been replaced during a partition, and all seeds may be lost.
                self._client.set_addresses([*self._seeds(), *self._members])
                stopping.wait(_RETRY_DELAY_S)
            except Exception as error:  # the task must go on
                _events.emit("view_not_updated", reason=repr(error))
                stopping.wait(_RETRY_DELAY_S)

    def _set_connected(self, connected: bool, reason: str) -> None:
        if connected != self._connected:
            self._connected = connected
            event = "control_regained" if connected else "control_lost"
            _events.emit(event, reason=reason, version=self.view.version, age_s=self.view.age_s())

    def _poll(self, wait_ms: int) -> None:
        report = self._rate_limiter.report()
        entry = self._entry
        request = messages.SiteFollowRequest(
            messages.EntryRecord(entry.id, entry.address, entry.data_centre, self.state),
            self._incarnation,
            self._term,
            self._received_version,
            self._backends_revision,
            self._entries_revision,
            wait_ms,
            report.spent,
            self._backend_loads(),
            self._places(),
            report.is_full,
            report.levels,
            report.levels_age_s,
            report.uncounted,
            accepts_deltas=True,
            accepts_patches=True,
            suspects_revision=self.view.prompt_bars.revision,
            bars_revision=self.view.prompt_bars.bars_revision,
            abandoned_charges=list(report.abandoned),
            evacuations_revision=self.view.evacuations_revision,
            services=self._service_loads(),
            repeatable_uses=self._repeatable_uses(),
        )
        sent_at = self._clock.monotonic()
        reply = self._client.call("follow_site", request, timeout=_CALL_TIMEOUT_S, try_timeout=wait_ms / 1000 + 0.35)
        with self._state_lock:
            self._apply_reply(reply)
        self._rate_limiter.apply_levels(report, FleetLevels(reply.available or {}, reply.counted))
        self.view.last_poll_sent_at = sent_at
        self._set_second_send_delays(reply.second_send_after_ms or {})
        self._members = reply.control or self._members
        self._client.set_addresses(self._members)

    def _apply_reply(self, reply: Any) -> None:
        view = self.view
        if reply.term < self._term:
            return
        if reply.barred is not None:  # before the document: requests may wait for the first one
            view.apply_prompt_bars(reply)
        if reply.evacuations is not None:  # before the document, likewise
            view.apply_evacuations(reply.evacuations)
        has_document = self._receive_document(reply)
        if has_document:
            self._apply_document(reply.term)
        if reply.backends is not None:
            self._learn_cold(reply.backends)
            view.backends_by_id = self._updated_backends(view.backends_by_id, reply)
        if reply.entries is not None:
            entries = {record.id: record for record in reply.entries}
            if reply.entries_delta or not reply.entries_complete:
                removed = set(reply.removed_entries or ())
                kept = {id_: record for id_, record in view.entries_by_id.items() if id_ not in removed}
                entries = {**kept, **entries}
            view.entries_by_id = entries
        view.backends_complete = reply.backends_complete
        self._term = reply.term
        self._backends_revision = reply.backends_revision
        self._entries_revision = reply.entries_revision
        view.other_vms_requests_by_backend = {use.id: use.requests for use in reply.uses or []}
        view.other_vms_tokens_by_backend = {use.id: use.tokens for use in reply.uses or []}
        uses_by_backend = {use.id: use for use in reply.uses or [] if use.observing_vms}
        load_by_service = {load.name: load for load in reply.services or []}
        view.fleet = FleetReport(uses_by_backend, load_by_service, self._clock.monotonic())
        if has_document or reply.backends is not None:
            self.on_change()
            view.notify()

    def _learn_cold(self, records: list[Any]) -> None:
        now, cold_servers = self._clock.monotonic(), self.view.cold_servers
        for record in records:
            cold_servers.learn(record, now)
        cold_servers.keep(self.view.backends_by_id, now)

    def _receive_document(self, reply: Any) -> bool:
        """Stores the document of a reply, whole or as patches; returns whether it is newer than the one before.

        After a patch that does not fit, the next poll asks for the whole document.
        """
        version, parts = self._received_version, self._received_parts
        try:
            if reply.document is not None and reply.document_version > version:
                version, parts = reply.document_version, unpack_parts(reply.document, reply.document_layout or b"")
            for patch in reply.document_patches or []:
                if patch.version <= version:
                    continue  # another poll was faster
                if patch.base_version != version:
                    raise PatchError(f"it changes version {patch.base_version}, not {version}")
                version, parts = patch.version, apply_patch(parts, patch.patch or b"")
        except PatchError as error:
            _events.emit("document_patch_failed", version=reply.document_version, held=version, reason=str(error))
            self._received_version, self._received_parts = 0, ()
            return False
        is_newer = version > max(self._received_version, self.view.version)
        self._received_version, self._received_parts = version, parts
        return is_newer

    def _apply_document(self, term: int) -> None:
        """Puts the document into force; one that cannot be decoded must not keep the lists from being updated."""
        started = time.monotonic()
        version = self._received_version
        try:
            document = self._decode(self._received_parts)
        except Exception as error:
            _events.emit("document_not_decoded", version=version, reason=repr(error))
            return
        self.view.document, self.view.version = document, version
        took_ms = round((time.monotonic() - started) * 1000, 1)
        _events.emit("document_applied", version=version, term=term, took_ms=took_ms)

    def _updated_backends(self, known: dict[str, Any], reply: Any) -> dict[str, Any]:
        """Returns the backend servers after a reply with a whole list or with changes."""
        if reply.backends_delta:
            removed = {departure.id: departure.started_ms for departure in reply.removed_backends or ()}
            kept = {id_: record for id_, record in known.items() if record.started_ms > removed.get(id_, -1)}
            return self._merge_backends(kept, reply.backends, complete=False)
        departed = {record.id: (record.started_ms, record.sequence) for record in reply.departures or []}
        merged = self._merge_backends(known, reply.backends, reply.backends_complete)
        return {
            id_: record
            for id_, record in merged.items()
            if (record.started_ms, record.sequence + record.draining) > departed.get(id_, (-1, -1))
        }

    @staticmethod
    def _merge_backends(known: dict[str, Any], records: list[Any], complete: bool) -> dict[str, Any]:
        """Merges a list of the leader into the known backend servers; a complete list replaces them."""
        fresh = {record.id: record for record in records}
        if complete:
            return fresh
        merged = dict(known)
        new_addresses = {record.address for record in records}
        for backend, record in known.items():
            if record.address in new_addresses and backend not in fresh:
                del merged[backend]
        for backend, record in fresh.items():
            old = known.get(backend)
            if old is None or not is_newer(old, record):
                merged[backend] = record
        return merged
