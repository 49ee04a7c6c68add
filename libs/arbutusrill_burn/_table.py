"""Counts of the whole fleet, and the burn rates that follow from them.

A burn rate is the part of requests that missed a target divided by the part that may miss it: at 1 the
error budget is used up exactly at the end of its period, at 14.4 a month's budget lasts two days.
"""

from __future__ import annotations

import threading
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ._counter import MINUTE_S, BurnCount

__all__ = ["WINDOWS_S", "BurnRate", "BurnTable", "burn_rates"]

WINDOWS_S = (300, 3600, 21_600)
_KEPT_ROWS = 300_000


@dataclass(slots=True)
class BurnRate:
    """Burn rate of one target of a workspace's route by window length in seconds; None without any request."""

    workspace: str
    route: str
    target: str
    good: int
    bad: int
    rate_by_window_s: dict[int, float | None]


class BurnTable:
    """Adds up the rows that entry VMs report, for the longest window; safe to use from many threads.

    >>> table = BurnTable()
    >>> table.add([BurnCount("dispatch", "chat", "availability", 60, 3, 1)])
    >>> table.rates(100, lambda workspace, target: 0.05)[0].rate_by_window_s[300]
    5.0
    """

    def __init__(self, windows_s: tuple[int, ...] = WINDOWS_S, kept: int = _KEPT_ROWS):
        self._windows_s = windows_s
        self._kept = kept
        self._lock = threading.Lock()
        self._counts_by_window: dict[int, dict[tuple[str, str, str], BurnCount]] = {}
        self._rows = 0

    def add(self, counts: Iterable[BurnCount]) -> None:
        """Adds reported rows; the oldest minutes are dropped above the bound."""
        with self._lock:
            for count in counts:
                minute = self._counts_by_window.setdefault(count.window_s, {})
                known = minute.get(count.key[:3])
                if known is None:
                    minute[count.key[:3]] = BurnCount(*count.key, count.good, count.bad)
                    self._rows += 1
                else:
                    known.good += count.good
                    known.bad += count.bad
            newest = max(self._counts_by_window, default=0)
            for window in sorted(self._counts_by_window):
                if window >= newest - max(self._windows_s) - MINUTE_S and self._rows <= self._kept:
                    break
                self._rows -= len(self._counts_by_window.pop(window))

    def counts(self) -> list[BurnCount]:
        """Returns all rows that are kept."""
        with self._lock:
            return [
                BurnCount(*count.key, count.good, count.bad)
                for minute in self._counts_by_window.values()
                for count in minute.values()
            ]

    def rates(self, now_s: float, allowed: Callable[[str, str], float]) -> list[BurnRate]:
        """Returns `burn_rates` of the rows that are kept."""
        return burn_rates(self.counts(), now_s, allowed, self._windows_s)


def burn_rates(
    counts: Iterable[BurnCount],
    now_s: float,
    allowed: Callable[[str, str], float],
    windows_s: tuple[int, ...] = WINDOWS_S,
) -> list[BurnRate]:
    """Returns the burn rates at `now_s` (seconds since 1970), the worst in the shortest window first.

    `allowed(workspace, target)` is the part of requests that may miss the target, such as 0.05. The counts
    of a minute belong to a window when the minute ends inside it.
    """
    sums: dict[tuple[str, str, str], dict[int, list[int]]] = defaultdict(
        lambda: {window: [0, 0] for window in windows_s}
    )
    for count in counts:
        by_window = sums[count.key[:3]]
        for window in windows_s:
            if count.window_s + MINUTE_S > now_s - window and count.window_s <= now_s:
                by_window[window][0] += count.good
                by_window[window][1] += count.bad
    rates = []
    for (workspace, route, target), by_window in sums.items():
        part = max(1e-6, allowed(workspace, target))
        by_length = {
            window: round(bad / (good + bad) / part, 3) if good + bad else None
            for window, (good, bad) in by_window.items()
        }
        good, bad = by_window[max(windows_s)]
        rates.append(BurnRate(workspace, route, target, good, bad, by_length))
    return sorted(rates, key=lambda rate: (-(rate.rate_by_window_s[min(windows_s)] or 0), rate.workspace, rate.target))
