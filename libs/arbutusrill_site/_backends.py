"""The leader's registry of the backend servers that announce themselves to the control group."""

from __future__ import annotations

import copy
import threading
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_state import BackendRoster, Departures
from arbutusrill_wire import messages

from ._cold_limits import ColdServers
from ._registry import Registry
from ._unknown_departures import UnknownDepartures

__all__ = ["BackendRegistry", "is_newer"]

_MAX_START_MS = 2**62
_events = EventLog("registry")


def is_newer(record: Any, known: Any) -> bool:
    """Whether `record` is a later announcement than `known` of the same backend server.

    >>> from arbutusrill_wire import messages
    >>> old = messages.BackendRecord("a", 100, 5)
    >>> is_newer(messages.BackendRecord("a", 100, 4), old), is_newer(messages.BackendRecord("a", 200, 1), old)
    (False, True)
    """
    return (record.started_ms, record.sequence) > (known.started_ms, known.sequence)


def _equal_except_sequence(record: Any, known: Any) -> bool:
    """Whether two announcements of a server agree in all fields but the sequence number."""
    fields = (
        "started_ms",
        "service_name",
        "address",
        "data_centre",
        "slots",
        "draining",
        "stage",
        "models",
        "software",
        "ordered_stage",
    )
    return all(getattr(record, field) == getattr(known, field) for field in fields)


class BackendRegistry(Registry):
    """The leader's registry of backend servers.

    `departures` and `roster` are part of the replicated state: a departure survives a change of leader, and the roster
    is the list with which a new leader starts. An address belongs to the server that started last at it.
    """

    def __init__(
        self,
        clock: Clock,
        silence_timeout_s: float,
        changed: threading.Condition,
        departures: Departures,
        roster: BackendRoster,
    ):
        super().__init__(clock, silence_timeout_s, changed)
        self._departures = departures
        self._roster = roster
        self._id_by_address: dict[str, str] = {}
        self._unknown_departures = UnknownDepartures()
        self.cold_servers = ColdServers()

    def _clear(self) -> None:
        self._id_by_address.clear()
        self.cold_servers.begin_term(self._clock.monotonic())

    def restore_roster(self) -> None:
        """Adds the servers of the roster that have not announced themselves; they expire unless they do so in time."""
        for record in self._roster.records():
            with self._changed:
                if record.id not in self._record_by_id:
                    # A copy: changes of the registry must not reach the replicated state before they are committed.
                    self.announce(copy.copy(record))

    def records_to_save(self) -> list[Any] | None:
        """Returns the records if they differ from the roster, otherwise None."""
        records = self.records()
        saved_by_id = {record.id: record for record in self._roster.records()}
        if len(saved_by_id) == len(records) and all(
            record.id in saved_by_id and _equal_except_sequence(record, saved_by_id[record.id]) for record in records
        ):
            return None
        return records

    def announce(self, record: Any) -> bool:
        """Registers an announcement; returns False when `_is_current` does not hold."""
        now = self._clock.monotonic()
        with self._changed:
            if not self._is_current(record) or not self._unknown_departures.admits(record, now):
                _events.emit("announcement_outdated", backend=record.id, start=record.started_ms, seq=record.sequence)
                return False
            known = self._record_by_id.get(record.id)
            # Servers do not report a pending order: it is kept until the engine announces the ordered stage.
            if known is not None and known.started_ms == record.started_ms and known.ordered_stage != record.stage:
                record.ordered_stage = known.ordered_stage
            self._record_by_id[record.id] = record
            self._last_heard_by_id[record.id] = now
            is_colder = self.cold_servers.learn(record, now)
            if known is None or is_colder or not _equal_except_sequence(record, known):
                self._apply_announcement(record, known)
            return True

    def _is_current(self, record: Any) -> bool:
        """Whether an announcement is newer than the known one, not covered by a departure and its address not taken.

        An address is taken when another server at it did not start earlier.
        """
        known = self._record_by_id.get(record.id)
        if known is not None and not is_newer(record, known):
            return False
        # A server that drains stays listed: the departure of the same number is its own.
        sequence = record.sequence + 1 if record.draining else record.sequence
        if self._departures.is_outdated(record.id, record.started_ms, sequence):
            return False
        server_at_address = self._record_by_id.get(self._id_by_address.get(record.address, ""))
        return (
            server_at_address is None
            or server_at_address.id == record.id
            or record.started_ms > server_at_address.started_ms
        )

    def _apply_announcement(self, record: Any, known: Any) -> None:
        if known is not None and known.address != record.address:
            self._id_by_address.pop(known.address, None)
        id_at_address = self._id_by_address.get(record.address)
        if id_at_address not in (None, record.id):
            self._drop(id_at_address, f"its address is now used by {record.id}")
        self._id_by_address[record.address] = record.id
        self._record_change(record.id)
        _events.emit(
            "backend_changed" if known else "backend_added",
            backend=record.id,
            service=record.service_name,
            address=record.address,
            draining=record.draining,
            stage=record.stage,
            cold_ms=record.cold_ms,
            ordered_stage=record.ordered_stage,
            start=record.started_ms,
            seq=record.sequence,
        )

    def record_stage_order(self, backend: str, stage: str) -> None:
        """Sets the stage that an engine was ordered to change to, empty for none.

        An announcement in that stage clears it.
        """
        with self._changed:
            known = self._record_by_id.get(backend)
            if known is not None and known.ordered_stage != stage:
                known.ordered_stage = stage
                self._record_change(backend)

    def has_announced(self, record: Any) -> bool:
        """Returns whether a server is registered with this announcement or a later one of the same start."""
        with self._changed:
            known = self._record_by_id.get(record.id)
            return known is not None and known.started_ms == record.started_ms and known.sequence >= record.sequence

    def is_draining(self, backend: str, started_ms: int) -> bool:
        """Returns whether a server is registered as draining since that start."""
        with self._changed:
            known = self._record_by_id.get(backend)
            return known is not None and known.started_ms == started_ms and known.draining

    def latest_start(self, backend: str) -> tuple[int, int]:
        """Returns the latest known start of a server and its latest announcement, zeros for an unknown server.

        The start is in milliseconds of the server's wall clock. A server that is not registered may be known by its
        departure.
        """
        with self._changed:
            known = self._record_by_id.get(backend)
        start = (known.started_ms, known.sequence) if known else (0, 0)
        return max(start, self._departures.latest_of(backend))

    def remove(self, backend: str, started_ms: int) -> None:
        """Removes a departed server unless it started after `started_ms`; notifies followers of the departure.

        With `started_ms` 0, no start of it is known: followers drop what they know of it from earlier terms.
        """
        with self._changed:
            known = self._record_by_id.get(backend)
            if known is not None and known.started_ms <= started_ms:
                self._drop(backend, "it has departed")
                return
            if not started_ms:
                self._unknown_departures.record(backend, self._clock.monotonic())
            latest_ms = started_ms or _MAX_START_MS
            if known is None and not self._has_departed(backend, latest_ms):
                self._record_removal(backend, messages.BackendRecord(backend, latest_ms))

    def _has_departed(self, backend: str, started_ms: int) -> bool:
        """Whether followers are told already that this start, or a later one, of a server has departed."""
        _, removed = self._removed_by_id.get(backend, (0, None))
        return removed is not None and removed.started_ms >= started_ms

    def expire(self) -> None:
        """Drops the servers without an announcement within the timeout."""
        with self._changed:
            for backend in self._silent_ids():
                self._drop(backend, f"no announcement for {self._silence_timeout_s:g} s")
            self.cold_servers.keep(self._record_by_id, self._clock.monotonic())

    def _drop(self, backend: str, reason: str) -> None:
        record = self._record_by_id.pop(backend)
        self._last_heard_by_id.pop(backend, None)
        if self._id_by_address.get(record.address) == backend:
            del self._id_by_address[record.address]
        self._record_removal(backend, record)
        _events.emit("backend_dropped", backend=backend, address=record.address, reason=reason)
