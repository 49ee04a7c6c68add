"""Entry VMs that follow the leader, as the directory lists them."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_wire import messages

__all__ = ["EntryRegistry"]

_events = EventLog("registry")


class EntryRegistry:
    """The leader's soft state of entry VMs; one that has not called for `silent_s` seconds is dropped.

    Also holds the load that each entry VM reports on backend servers.
    """

    def __init__(self, clock: Clock, silent_s: float, changed: threading.Condition):
        self._clock = clock
        self._silent_s = silent_s
        self._changed = changed
        self._record_by_id: dict[str, Any] = {}
        self._heard_by_id: dict[str, float] = {}
        self._incarnation_by_id: dict[str, int] = {}
        self._uses_by_id: dict[str, list[Any]] = {}
        self._since = clock.monotonic()
        self._complete = False  # as last told to the followers
        self.revision = 0

    def begin_term(self) -> None:
        """Forgets everything at the start of a leadership."""
        with self._changed:
            for held in (self._record_by_id, self._heard_by_id, self._incarnation_by_id, self._uses_by_id):
                held.clear()
            self._since = self._clock.monotonic()
            self._complete = False
            self._bump()

    @property
    def complete(self) -> bool:
        """Whether every entry VM that runs has had the time to call in this term."""
        return self._complete

    def records(self) -> list[Any]:
        """Returns the entry VMs that are heard."""
        with self._changed:
            return list(self._record_by_id.values())

    def heard(self, record: Any, incarnation: int, uses: list[Any]) -> None:
        """Notes a call of an entry VM; a call of an earlier incarnation may come late and is ignored."""
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
        now = self._clock.monotonic()
        with self._changed:
            if not self._complete and now - self._since >= self._silent_s:
                self._complete = True
                self._bump()
            silent = [id_ for id_, heard in self._heard_by_id.items() if now - heard > self._silent_s]
            dropped = []
            for entry in silent:
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

    def _bump(self) -> None:
        self.revision += 1
        self._changed.notify_all()
