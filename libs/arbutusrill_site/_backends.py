"""Backend servers that announce themselves to the control group."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_state import Departures, Roster

from ._registry import Registry

__all__ = ["BackendRegistry", "is_newer"]

_events = EventLog("registry")


def is_newer(record: Any, known: Any) -> bool:
    """Says whether `record` is a later word than `known` of the same backend server.

    >>> from arbutusrill_wire import messages
    >>> old = messages.BackendRecord("a", 100, 5)
    >>> is_newer(messages.BackendRecord("a", 100, 4), old), is_newer(messages.BackendRecord("a", 200, 1), old)
    (False, True)
    """
    return (record.started_ms, record.sequence) > (known.started_ms, known.sequence)


def _same_use(record: Any, known: Any) -> bool:
    """Says whether two announcements differ in nothing but their sequence number."""
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

    What leaves is durable: `departures` comes from the log. So does `roster`, the list with which a new leader begins.
    An address belongs to the server that started last at it.
    """

    def __init__(
        self, clock: Clock, silent_s: float, changed: threading.Condition, departures: Departures, roster: Roster
    ):
        super().__init__(clock, silent_s, changed)
        self._departures = departures
        self._roster = roster
        self._id_by_address: dict[str, str] = {}

    def _clear(self) -> None:
        self._id_by_address.clear()

    def recall(self) -> None:
        """Takes the servers of the roster that have not announced themselves; they are dropped if they stay silent."""
        for record in self._roster.records():
            with self._changed:
                if record.id not in self._record_by_id:
                    self.announce(record)

    def unsaved(self) -> list[Any] | None:
        """Returns the list when it differs from the roster, None when it does not."""
        records = self.records()
        saved_by_id = {record.id: record for record in self._roster.records()}
        if len(saved_by_id) == len(records) and all(
            record.id in saved_by_id and _same_use(record, saved_by_id[record.id]) for record in records
        ):
            return None
        return records

    def announce(self, record: Any) -> bool:
        """Takes an announcement; returns False when it is older than what is known."""
        now = self._clock.monotonic()
        with self._changed:
            if not self._is_current(record):
                _events.emit("announcement_outdated", backend=record.id, start=record.started_ms, seq=record.sequence)
                return False
            known = self._record_by_id.get(record.id)
            if known is not None and known.started_ms == record.started_ms and known.ordered_stage != record.stage:
                record.ordered_stage = known.ordered_stage
            self._record_by_id[record.id] = record
            self._heard_by_id[record.id] = now
            if known is None or not _same_use(record, known):
                self._note(record, known)
            return True

    def _is_current(self, record: Any) -> bool:
        known = self._record_by_id.get(record.id)
        if known is not None and not is_newer(record, known):
            return False
        if not record.draining and self._departures.covers(record.id, record.started_ms, record.sequence):
            return False
        holder = self._record_by_id.get(self._id_by_address.get(record.address, ""))
        return holder is None or holder.id == record.id or record.started_ms > holder.started_ms

    def _note(self, record: Any, known: Any) -> None:
        if known is not None and known.address != record.address:
            self._id_by_address.pop(known.address, None)
        holder = self._id_by_address.get(record.address)
        if holder not in (None, record.id):
            self._drop(holder, f"its address now belongs to {record.id}")
        self._id_by_address[record.address] = record.id
        _events.emit(
            "backend_changed" if known else "backend_added",
            backend=record.id,
            service=record.service_name,
            address=record.address,
            draining=record.draining,
            stage=record.stage,
            ordered_stage=record.ordered_stage,
            start=record.started_ms,
            seq=record.sequence,
        )
        self._bump()

    def note_order(self, backend: str, stage: str) -> None:
        """Notes that an engine is about to change its stage, until it announces it; empty when it will not."""
        with self._changed:
            known = self._record_by_id.get(backend)
            if known is not None and known.ordered_stage != stage:
                known.ordered_stage = stage
                self._bump()

    def start_of(self, backend: str) -> int:
        """Returns when a server started, 0 when it is not known."""
        with self._changed:
            known = self._record_by_id.get(backend)
            return known.started_ms if known else 0

    def remove(self, backend: str, started_ms: int) -> None:
        """Takes out a server that has left, unless it has started again since `started_ms`."""
        with self._changed:
            known = self._record_by_id.get(backend)
            if known is not None and known.started_ms <= started_ms:
                self._drop(backend, "it has left")
            self._bump()

    def expire(self) -> None:
        """Drops the servers that have been silent for too long."""
        with self._changed:
            silent = self._silent()
            for backend in silent:
                self._drop(backend, f"no announcement for {self._silent_s:g} s")
            if silent:
                self._bump()

    def _drop(self, backend: str, reason: str) -> None:
        record = self._record_by_id.pop(backend)
        self._heard_by_id.pop(backend, None)
        if self._id_by_address.get(record.address) == backend:
            del self._id_by_address[record.address]
        _events.emit("backend_dropped", backend=backend, address=record.address, reason=reason)
