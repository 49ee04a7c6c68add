"""The requests that take memory on an engine, and cancelling them."""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ._counters import Counters

__all__ = ["Held", "HeldTable", "RefusedError"]

_EARLY_CANCEL_S = 2.0  # a cancel that overtakes its request counts for this long
_CHECK_S = 0.05


class RefusedError(Exception):
    """The engine does not take a request: HTTP `status` and a fixed `code`."""

    def __init__(self, status: int, code: str):
        super().__init__(code)
        self.status = status
        self.code = code


@dataclass(slots=True, eq=False)
class Held:
    """One stage of a request on this engine; `stage` is queued, prefill, kv or decode."""

    request_id: str
    vm: str
    incarnation: int
    stage: str
    priority: int = 0
    number: int = 0
    since: float = field(default_factory=time.monotonic)
    cancelled: threading.Event = field(default_factory=threading.Event)


class HeldTable:
    """All stages held, bounded in number for each stage. Safe to use from many threads."""

    def __init__(self, counters: Counters):
        self._changed = threading.Condition()
        self._rows: list[Held] = []
        self._numbers = itertools.count()
        self._early_cancel_until_by_id: dict[str, float] = {}
        self._counters = counters

    def enter(self, body: dict[str, Any], stage: str, limit: int) -> Held:
        """Takes a request in; raises `RefusedError` when the stage is full or the request was cancelled."""
        held = self._made(body, stage)
        with self._changed:
            self._check(held)
            if self._count(stage) >= limit:
                raise RefusedError(503, "full")
            self._add(held)
        return held

    def enter_queued(
        self, body: dict[str, Any], stage: str, limit: int, wait_s: float, gone: Callable[[], bool]
    ) -> Held:
        """Like `enter`, but waits up to `wait_s` for a place; a higher priority gets it first."""
        held = self._made(body, "queued")
        deadline = time.monotonic() + wait_s
        with self._changed:
            self._check(held)
            held.number = next(self._numbers)
            self._rows.append(held)
            while not self._may_take(held, stage, limit):
                remaining = deadline - time.monotonic()
                if remaining <= 0 or held.cancelled.is_set() or gone():
                    self._rows.remove(held)
                    raise RefusedError(409, "cancelled") if held.cancelled.is_set() else RefusedError(503, "full")
                self._changed.wait(min(remaining, _CHECK_S))
            self._rows.remove(held)
            held.stage = stage
            self._add(held)
        return held

    def _made(self, body: dict[str, Any], stage: str) -> Held:
        priority = int(body.get("priority", 0))
        return Held(body["request_id"], body.get("vm", ""), body.get("incarnation", 0), stage, priority)

    def _check(self, held: Held) -> None:
        until = self._early_cancel_until_by_id.get(held.request_id, 0)
        if time.monotonic() < until:
            raise RefusedError(409, "cancelled")

    def _may_take(self, held: Held, stage: str, limit: int) -> bool:
        first = max((row for row in self._rows if row.stage == "queued"), key=lambda row: (row.priority, -row.number))
        return first is held and self._count(stage) < limit

    def _add(self, held: Held) -> None:
        held.number = next(self._numbers)
        self._rows.append(held)
        self._counters.peak("peak_held", len(self._rows))
        self._counters.peak(f"peak_{held.stage}", self._count(held.stage))
        self._changed.notify_all()

    def leave(self, held: Held) -> None:
        """Frees what a request held; does nothing when it is free already."""
        with self._changed:
            if held in self._rows:
                self._rows.remove(held)
                self._changed.notify_all()

    def cancel(self, request_id: str) -> bool:
        """Cancels all stages of a request and remembers it for a while when there are none."""
        now = time.monotonic()
        with self._changed:
            found = [row for row in self._rows if row.request_id == request_id]
            for row in found:
                row.cancelled.set()
            if not found:
                kept = {key: until for key, until in self._early_cancel_until_by_id.items() if until > now}
                self._early_cancel_until_by_id = {**kept, request_id: now + _EARLY_CANCEL_S}
            self._changed.notify_all()
        return bool(found)

    def _count(self, stage: str) -> int:
        return sum(1 for row in self._rows if row.stage == stage)

    def count(self, stage: str) -> int:
        """Returns how many requests are in a stage."""
        with self._changed:
            return self._count(stage)

    def rows(self) -> list[Held]:
        """Returns all stages held."""
        with self._changed:
            return list(self._rows)
