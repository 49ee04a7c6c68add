"""Prefill of an engine: one prompt at a time, and the KV cache entries that it leaves."""

from __future__ import annotations

import itertools
import re
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from arbutusrill_base import new_request_id

from ._counters import Counters
from ._faults import FaultSwitch
from ._held import Held, HeldTable

__all__ = ["KvEntry", "KvStore", "PrefillQueue", "output_mark"]

_MARK = re.compile(r"\[\[(\w+)\]\]")
_CHECK_S = 0.05
_CATCH_UP_S = 0.05  # a late wake-up up to this long does not cost the engine any time


class PrefillQueue:
    """Gives the engine to one prefill after the other: higher priority first, then the earlier."""

    def __init__(self, faults: FaultSwitch):
        self._faults = faults
        self._changed = threading.Condition()
        self._waiting: list[tuple[int, int]] = []
        self._numbers = itertools.count()
        self._busy = False
        self._free_at = 0.0

    def run(self, seconds: float, pieces: int, priority: int, stopped: Callable[[], bool]) -> float:
        """Takes `seconds` of the engine in equal `pieces`; returns the part that was done, 1 when whole."""
        place = (-priority, next(self._numbers))
        for piece in range(pieces):
            if not self._take(place, stopped):
                return piece / pieces
            done = self._work(seconds / pieces, stopped)
            with self._changed:
                self._busy = False
                self._changed.notify_all()
            if done < 1:
                return (piece + done) / pieces
        return 1.0

    def _take(self, place: tuple[int, int], stopped: Callable[[], bool]) -> bool:
        with self._changed:
            self._waiting.append(place)
            try:
                while self._busy or min(self._waiting) != place:
                    if stopped():
                        return False
                    self._changed.wait(_CHECK_S)
                self._busy = True
            finally:
                self._waiting.remove(place)
                self._changed.notify_all()
        return True

    def _work(self, seconds: float, stopped: Callable[[], bool]) -> float:
        now = time.monotonic()
        start = self._free_at if now - self._free_at < _CATCH_UP_S else now
        seconds *= self._faults.slowdown()
        end = start + seconds
        while True:
            stall = self._faults.stalled_until()
            now = time.monotonic()
            if stall > now:
                end += min(stall - now, _CHECK_S)
            if now >= end:
                self._free_at = end
                return 1.0
            if stopped():
                self._free_at = now
                return max(0.0, min(0.999, 1 - (end - now) / seconds))
            time.sleep(min(end - now, _CHECK_S))


def output_mark(prompt: str) -> tuple[str, int]:
    """Returns the mark of a prompt and the number of the first token that is still to come.

    >>> output_mark("Summarise [[r7]] route 7."), output_mark("Route [[r7]] r7.0 r7.1 "), output_mark("none")
    (('r7', 0), ('r7', 2), ('', 0))
    """
    marks = _MARK.findall(prompt)
    if not marks:
        return "", 0
    numbers = re.findall(rf"\b{marks[-1]}\.(\d+) ", prompt)
    return marks[-1], int(numbers[-1]) + 1 if numbers else 0


@dataclass(slots=True, eq=False)
class KvEntry:
    """KV cache of one prompt, kept until it is used or its time is over. `mark` is what the output repeats.

    The output begins with number `mark_from`, which is above 0 when the prompt ends with output of an
    earlier attempt.
    """

    held: Held
    tokens: int
    computed: int
    mark: str
    expires: float
    mark_from: int = 0
    handle: str = field(default_factory=lambda: new_request_id("kv"))


class KvStore:
    """The KV cache entries of an engine by handle; entries that nobody uses count as wasted prefill."""

    def __init__(self, table: HeldTable, counters: Counters):
        self._table = table
        self._counters = counters
        self._lock = threading.Lock()
        self._entry_by_handle: dict[str, KvEntry] = {}

    def put(self, entry: KvEntry) -> None:
        """Keeps an entry until it expires."""
        with self._lock:
            self._entry_by_handle[entry.handle] = entry

    def claim(self, handle: str, request_id: str) -> KvEntry | None:
        """Takes an entry out for use, or returns None when it is gone or another request's."""
        with self._lock:
            entry = self._entry_by_handle.get(handle)
            if entry is None or entry.held.request_id != request_id or entry.held.cancelled.is_set():
                return None
            return self._entry_by_handle.pop(handle)

    def finish(self, entry: KvEntry, used: bool) -> None:
        """Frees a claimed entry and counts what became of its prefill."""
        self._table.leave(entry.held)
        if not used:
            self._counters.add("prefill_tokens_wasted", entry.computed)

    def sweep(self) -> None:
        """Frees the entries that have expired or were cancelled."""
        now = time.monotonic()
        with self._lock:
            over = [
                entry
                for entry in self._entry_by_handle.values()
                if now >= entry.expires or entry.held.cancelled.is_set()
            ]
            for entry in over:
                del self._entry_by_handle[entry.handle]
        for entry in over:
            self._counters.add("kv_expired" if now >= entry.expires else "kv_cancelled")
            self.finish(entry, used=False)
