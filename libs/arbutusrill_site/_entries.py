"""The leader's registry of the entry VMs that poll it."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_base import Clock, EventLog

from ._registry import Registry
from ._use_totals import UseTotals

__all__ = ["EntryRegistry"]

_events = EventLog("registry")


class EntryRegistry(Registry):
    """The leader's registry of entry VMs, with the load on backend servers that each of them reports."""

    def __init__(self, clock: Clock, silence_timeout_s: float, changed: threading.Condition):
        super().__init__(clock, silence_timeout_s, changed)
        self._incarnation_by_id: dict[str, int] = {}
        self._uses = UseTotals()

    def _clear(self) -> None:
        self._incarnation_by_id.clear()
        self._uses.clear()

    def record_heartbeat(self, record: Any, incarnation: int, uses: list[Any], loads: list[Any] | None = None) -> None:
        """Records a poll of an entry VM with its state, its use of backend servers and services."""
        with self._changed:
            previous_record = self._record_by_id.get(record.id)
            self._last_heard_by_id[record.id] = self._clock.monotonic()
            self._uses.replace(record.id, uses, loads or [])
            self._incarnation_by_id[record.id] = incarnation
            if previous_record != record:
                self._record_by_id[record.id] = record
                _events.emit("entry_changed", entry=record.id, address=record.address, state=record.state)
                self._record_change(record.id)

    def expire(self) -> list[tuple[str, int]]:
        """Drops the entry VMs without a poll within the timeout; returns their IDs and incarnations."""
        with self._changed:
            dropped = []
            for entry in self._silent_ids():
                self._uses.replace(entry, [], [])
                record = self._record_by_id.pop(entry)
                del self._last_heard_by_id[entry]
                self._record_removal(entry, record)
                dropped.append((entry, self._incarnation_by_id.pop(entry)))
                _events.emit("entry_dropped", entry=entry, reason=f"no poll for {self._silence_timeout_s:g} s")
            return dropped

    def uses_of_others(self, entry: str) -> list[Any]:
        """Returns the load and the observations of all entry VMs except `entry`, summed for each backend server."""
        with self._changed:
            return self._uses.of_others(entry)

    def loads_of_others(self, entry: str) -> list[Any]:
        """Returns the requests for plain services at all entry VMs except `entry`, summed for each service."""
        with self._changed:
            return self._uses.loads_of_others(entry)
