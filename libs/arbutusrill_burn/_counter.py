"""Counts of good and bad requests on one entry VM over sliding windows."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass

from arbutusrill_base import Clock

__all__ = ["WINDOWS_S", "BurnCount", "BurnCounter"]

WINDOWS_S = (300, 3600, 21_600)
_SLOTS = 12  # parts of a window; its end moves in steps of a twelfth
_MAX_KEYS = 2000


@dataclass(slots=True)
class BurnCount:
    """Requests of the last `window_s` seconds that met a target and that missed it.

    `target` is ``first_token``, ``token_gap`` or ``availability``.
    """

    workspace: str
    route: str
    target: str
    window_s: int
    good: int = 0
    bad: int = 0


class _Window:
    """Counts of one key over one window, in slots of a twelfth of its length."""

    __slots__ = ("_slots",)

    def __init__(self) -> None:
        self._slots: deque[list[int]] = deque(maxlen=_SLOTS)

    def add(self, slot: int, good: bool) -> None:
        if not self._slots or self._slots[-1][0] != slot:
            self._slots.append([slot, 0, 0])
        self._slots[-1][1 if good else 2] += 1

    def sums(self, slot: int) -> tuple[int, int]:
        kept = [counts for counts in self._slots if counts[0] > slot - _SLOTS]
        return sum(counts[1] for counts in kept), sum(counts[2] for counts in kept)


class BurnCounter:
    """Counts requests by workspace, route and target; safe to use from many threads.

    At most `max_keys` combinations are counted. Further ones take the place of those that were idle for the
    longest window; without any, they are dropped and `dropped` counts their requests.

    >>> from arbutusrill_base import ManualClock
    >>> counter = BurnCounter(ManualClock(), windows_s=(300,))
    >>> counter.add("dispatch", "chat", "availability", good=True)
    >>> counter.rows(10)
    [BurnCount(workspace='dispatch', route='chat', target='availability', window_s=300, good=1, bad=0)]
    """

    def __init__(self, clock: Clock, windows_s: tuple[int, ...] = WINDOWS_S, max_keys: int = _MAX_KEYS):
        self._clock = clock
        self._windows_s = windows_s
        self._max_keys = max_keys
        self._lock = threading.Lock()
        self._windows_by_key: dict[tuple[str, str, str], list[_Window]] = {}
        self.dropped = 0

    def add(self, workspace: str, route: str, target: str, good: bool) -> None:
        """Counts one request."""
        now = self._clock.monotonic()
        key = (workspace, route, target)
        with self._lock:
            windows = self._windows_by_key.get(key)
            if windows is None:
                if len(self._windows_by_key) >= self._max_keys:
                    self._drop_idle(now)
                if len(self._windows_by_key) >= self._max_keys:
                    self.dropped += 1
                    return
                windows = self._windows_by_key[key] = [_Window() for _ in self._windows_s]
            for length, window in zip(self._windows_s, windows, strict=True):
                window.add(_slot(now, length), good)

    def rows(self, limit: int) -> list[BurnCount]:
        """Returns at most `limit` rows with requests, those with the most misses first."""
        now = self._clock.monotonic()
        rows = []
        with self._lock:
            for key, windows in self._windows_by_key.items():
                for length, window in zip(self._windows_s, windows, strict=True):
                    good, bad = window.sums(_slot(now, length))
                    if good or bad:
                        rows.append(BurnCount(*key, length, good, bad))
        rows.sort(key=lambda row: -row.bad)
        return rows[:limit]

    def _drop_idle(self, now: float) -> None:
        slot = _slot(now, self._windows_s[-1])
        for key in [key for key, windows in self._windows_by_key.items() if windows[-1].sums(slot) == (0, 0)]:
            del self._windows_by_key[key]


def _slot(now: float, window_s: int) -> int:
    return int(now * _SLOTS / window_s)
