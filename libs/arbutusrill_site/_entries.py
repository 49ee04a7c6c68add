"""The leader's registry of the entry VMs that poll it."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_wire import messages

from ._registry import Registry

__all__ = ["EntryRegistry"]

_events = EventLog("registry")


class EntryRegistry(Registry):
    """The leader's registry of entry VMs, with the load on backend servers that each of them reports."""

    def __init__(self, clock: Clock, silence_timeout_s: float, changed: threading.Condition):
        super().__init__(clock, silence_timeout_s, changed)
        self._incarnation_by_id: dict[str, int] = {}
        self._uses_by_id: dict[str, list[Any]] = {}

    def _clear(self) -> None:
        self._incarnation_by_id.clear()
        self._uses_by_id.clear()

    def record_heartbeat(self, record: Any, incarnation: int, uses: list[Any]) -> None:
        """Records a poll of an entry VM with its state and its load on backend servers."""
        with self._changed:
            previous_record = self._record_by_id.get(record.id)
            self._last_heard_by_id[record.id] = self._clock.monotonic()
            self._uses_by_id[record.id] = uses
            self._incarnation_by_id[record.id] = incarnation
            if previous_record != record:
                self._record_by_id[record.id] = record
                _events.emit("entry_changed", entry=record.id, address=record.address, state=record.state)
                self._increment_revision()

    def expire(self) -> list[tuple[str, int]]:
        """Drops the entry VMs without a poll within the timeout; returns their IDs and incarnations."""
        with self._changed:
            dropped = []
            for entry in self._silent_ids():
                del self._record_by_id[entry], self._last_heard_by_id[entry], self._uses_by_id[entry]
                dropped.append((entry, self._incarnation_by_id.pop(entry)))
                _events.emit("entry_dropped", entry=entry, reason=f"no poll for {self._silence_timeout_s:g} s")
            if dropped:
                self._increment_revision()
            return dropped

    def uses_of_others(self, entry: str) -> list[Any]:
        """Returns the load of all entry VMs except `entry`, summed for each backend server."""
        requests_by_id: dict[str, int] = {}
        tokens_by_id: dict[str, int] = {}
        with self._changed:
            for other, uses in self._uses_by_id.items():
                if other == entry:
                    continue
                for use in uses:
                    requests_by_id[use.id] = requests_by_id.get(use.id, 0) + use.requests
                    tokens_by_id[use.id] = tokens_by_id.get(use.id, 0) + use.tokens
        return [messages.BackendUse(id_, count, tokens_by_id[id_]) for id_, count in requests_by_id.items()]
