"""Backend servers that announce themselves to the control group."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_state import Departures

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
    )
    return all(getattr(record, field) == getattr(known, field) for field in fields)


class BackendRegistry:
    """The leader's soft state of backend servers, collected anew after each change of leader.

    What leaves is durable: `departures` comes from the log. An address belongs to the server that started last at it.
    A server that has been silent for `silent_s` seconds is dropped. `revision` increases with each change that
    followers have to know. `changed` guards the state and wakes the followers.
    """

    def __init__(self, clock: Clock, silent_s: float, changed: threading.Condition, departures: Departures):
        self._clock = clock
        self._departures = departures
        self._silent_s = silent_s
        self._changed = changed
        self._record_by_id: dict[str, Any] = {}
        self._id_by_address: dict[str, str] = {}
        self._heard_by_id: dict[str, float] = {}
        self._since = clock.monotonic()
        self._complete = False  # as last told to the followers
        self.revision = 0

    def begin_term(self) -> None:
        """Forgets everything at the start of a leadership."""
        with self._changed:
            for held in (self._record_by_id, self._id_by_address, self._heard_by_id):
                held.clear()
            self._since = self._clock.monotonic()
            self._complete = False
            self._bump()

    @property
    def complete(self) -> bool:
        """Whether every server that runs has had the time to announce itself in this term."""
        return self._complete

    def records(self) -> list[Any]:
        """Returns what is known of each server."""
        with self._changed:
            return list(self._record_by_id.values())

    def announce(self, record: Any) -> bool:
        """Takes an announcement; returns False when it is older than what is known."""
        now = self._clock.monotonic()
        with self._changed:
            if not self._is_current(record):
                _events.emit("announcement_outdated", backend=record.id, start=record.started_ms, seq=record.sequence)
                return False
            known = self._record_by_id.get(record.id)
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
            start=record.started_ms,
            seq=record.sequence,
        )
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
        now = self._clock.monotonic()
        with self._changed:
            if not self._complete and now - self._since >= self._silent_s:
                self._complete = True
                self._bump()
            silent = [id_ for id_, heard in self._heard_by_id.items() if now - heard > self._silent_s]
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

    def _bump(self) -> None:
        self.revision += 1
        self._changed.notify_all()
