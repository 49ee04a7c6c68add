"""Sliding-window counts of good and bad requests on one entry VM."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass

from arbutusrill_base import Clock

__all__ = ["WINDOWS_S", "BurnCount", "BurnCounter"]

WINDOWS_S = (300, 3600, 21_600)
_SLOTS_PER_WINDOW = 12  # a window slides in steps of one slot
_MAX_KEYS = 2000


@dataclass(slots=True)
class BurnCount:
    """Numbers of requests of the last `window_s` seconds that met (`good`) and missed (`bad`) a target.

    `target` is ``first_token``, ``token_gap`` or ``availability``.
    """

    workspace: str
    route: str
    target: str
    window_s: int
    good: int = 0
    bad: int = 0


class _Window:
    """Sliding-window counts of one key; each entry of `_slots` is [slot index, good, bad]."""

    __slots__ = ("_slots",)

    def __init__(self) -> None:
        self._slots: deque[list[int]] = deque(maxlen=_SLOTS_PER_WINDOW)

    def add(self, slot: int, good: bool) -> None:
        if not self._slots or self._slots[-1][0] != slot:
            self._slots.append([slot, 0, 0])
        self._slots[-1][1 if good else 2] += 1

    def sums(self, slot: int) -> tuple[int, int]:
        kept = [counts for counts in self._slots if counts[0] > slot - _SLOTS_PER_WINDOW]
        return sum(counts[1] for counts in kept), sum(counts[2] for counts in kept)


class BurnCounter:
    """Counts requests by workspace, route and target. Thread-safe.

    At most `max_keys` combinations are counted. A further one evicts the combinations without requests in the longest
    window; if there are none, its requests are not counted but added to `dropped_requests`.

    >>> from arbutusrill_base import ManualClock
    >>> counter = BurnCounter(ManualClock(), windows_s=(300,))
    >>> counter.add("dispatch", "chat", "availability", good=True)
    >>> counter.counts(10)
    [BurnCount(workspace='dispatch', route='chat', target='availability', window_s=300, good=1, bad=0)]
    """

    def __init__(self, clock: Clock, windows_s: tuple[int, ...] = WINDOWS_S, max_keys: int = _MAX_KEYS):
        self._clock = clock
        self._windows_s = windows_s
        self._max_keys = max_keys
        self._lock = threading.Lock()
        self._windows_by_key: dict[tuple[str, str, str], list[_Window]] = {}
        self.dropped_requests = 0

    def add(self, workspace: str, route: str, target: str, good: bool) -> None:
        """Counts one request that met (`good`) or missed a target."""
        now = self._clock.monotonic()
        key = (workspace, route, target)
        with self._lock:
            windows = self._windows_by_key.get(key)
            if windows is None:
                if len(self._windows_by_key) >= self._max_keys:
                    self._evict_idle(now)
                if len(self._windows_by_key) >= self._max_keys:
                    self.dropped_requests += 1
                    return
                windows = self._windows_by_key[key] = [_Window() for _ in self._windows_s]
            for window_s, window in zip(self._windows_s, windows, strict=True):
                window.add(_slot_index(now, window_s), good)

    def counts(self, limit: int) -> list[BurnCount]:
        """Returns at most `limit` counts with requests, sorted by descending number of bad ones."""
        now = self._clock.monotonic()
        rows = []
        with self._lock:
            for key, windows in self._windows_by_key.items():
                for window_s, window in zip(self._windows_s, windows, strict=True):
                    good, bad = window.sums(_slot_index(now, window_s))
                    if good or bad:
                        rows.append(BurnCount(*key, window_s, good, bad))
        rows.sort(key=lambda row: -row.bad)
        return rows[:limit]

    def _evict_idle(self, now: float) -> None:
        slot = _slot_index(now, self._windows_s[-1])
        for key in [key for key, windows in self._windows_by_key.items() if windows[-1].sums(slot) == (0, 0)]:
            del self._windows_by_key[key]


def _slot_index(now: float, window_s: int) -> int:
    return int(now * _SLOTS_PER_WINDOW / window_s)
