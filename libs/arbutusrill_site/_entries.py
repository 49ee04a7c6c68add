"""Entry VMs that follow the leader, as the directory lists them."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_wire import messages

from ._registry import Registry

__all__ = ["EntryRegistry"]

_events = EventLog("registry")


class EntryRegistry(Registry):
    """The leader's registry of entry VMs, with the load that each of them reports on backend servers."""

    def __init__(self, clock: Clock, silent_s: float, changed: threading.Condition):
        super().__init__(clock, silent_s, changed)
        self._incarnation_by_id: dict[str, int] = {}
        self._uses_by_id: dict[str, list[Any]] = {}

    def _clear(self) -> None:
        self._incarnation_by_id.clear()
        self._uses_by_id.clear()

    def heard(self, record: Any, incarnation: int, uses: list[Any]) -> None:
        """Notes a call of an entry VM with its state and its load on backend servers."""
        with self._changed:
            known = self._record_by_id.get(record.id)
            self._heard_by_id[record.id] = self._clock.monotonic()
            self._uses_by_id[record.id] = uses
            self._incarnation_by_id[record.id] = incarnation
            if known != record:
                self._record_by_id[record.id] = record
                _events.emit("entry_changed", entry=record.id, address=record.address, state=record.state)
                self._bump()

    def expire(self) -> list[tuple[str, int]]:
        """Drops the entry VMs that have been silent for too long; returns them with their incarnations."""
        with self._changed:
            dropped = []
            for entry in self._silent():
                del self._record_by_id[entry], self._heard_by_id[entry], self._uses_by_id[entry]
                dropped.append((entry, self._incarnation_by_id.pop(entry)))
                _events.emit("entry_dropped", entry=entry, reason=f"no call for {self._silent_s:g} s")
            if dropped:
                self._bump()
            return dropped

    def uses_of_others(self, entry: str) -> list[Any]:
        """Returns the load on backend servers by all entry VMs but one."""
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
