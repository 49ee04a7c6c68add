"""The leader's registry of the entry VMs that poll it."""

from __future__ import annotations

import threading
from collections import Counter
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
        # Sums of `_uses_by_id` by backend server, kept as they change.
        self._requests_by_backend: Counter[str] = Counter()
        self._tokens_by_backend: Counter[str] = Counter()

    def _clear(self) -> None:
        self._incarnation_by_id.clear()
        self._uses_by_id.clear()
        self._requests_by_backend.clear()
        self._tokens_by_backend.clear()

    def record_heartbeat(self, record: Any, incarnation: int, uses: list[Any]) -> None:
        """Records a poll of an entry VM with its state and its load on backend servers."""
        with self._changed:
            previous_record = self._record_by_id.get(record.id)
            self._last_heard_by_id[record.id] = self._clock.monotonic()
            self._replace_uses(record.id, uses)
            self._incarnation_by_id[record.id] = incarnation
            if previous_record != record:
                self._record_by_id[record.id] = record
                _events.emit("entry_changed", entry=record.id, address=record.address, state=record.state)
                self._record_change(record.id)

    def _replace_uses(self, entry: str, uses: list[Any]) -> None:
        for sign, counted in ((-1, self._uses_by_id.get(entry, ())), (1, uses)):
            for use in counted:
                self._requests_by_backend[use.id] += sign * use.requests
                self._tokens_by_backend[use.id] += sign * use.tokens
                if not self._requests_by_backend[use.id]:
                    del self._requests_by_backend[use.id], self._tokens_by_backend[use.id]
        self._uses_by_id[entry] = uses

    def expire(self) -> list[tuple[str, int]]:
        """Drops the entry VMs without a poll within the timeout; returns their IDs and incarnations."""
        with self._changed:
            dropped = []
            for entry in self._silent_ids():
                self._replace_uses(entry, [])
                record = self._record_by_id.pop(entry)
                del self._last_heard_by_id[entry], self._uses_by_id[entry]
                self._record_removal(entry, record)
                dropped.append((entry, self._incarnation_by_id.pop(entry)))
                _events.emit("entry_dropped", entry=entry, reason=f"no poll for {self._silence_timeout_s:g} s")
            return dropped

    def uses_of_others(self, entry: str) -> list[Any]:
        """Returns the load of all entry VMs except `entry`, summed for each backend server."""
        with self._changed:
            own = {use.id: use for use in self._uses_by_id.get(entry, ())}
            totals = [(id_, count, self._tokens_by_backend[id_]) for id_, count in self._requests_by_backend.items()]
        others = []
        for id_, requests, tokens in totals:
            use = own.get(id_)
            if use is not None:
                requests, tokens = requests - use.requests, tokens - use.tokens
            if requests:
                others.append(messages.BackendUse(id_, requests, tokens))
        return others
