"""Counts of good and bad requests on one entry VM, until they are reported."""

from __future__ import annotations

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from arbutusrill_base import Clock

__all__ = ["MINUTE_S", "BurnCount", "BurnCounter"]

MINUTE_S = 60
_KEPT = 20_000  # 1,100 workspaces with 3 targets each over 6 minutes without a report


@dataclass(slots=True)
class BurnCount:
    """Requests that met a target and that missed it, in the minute that starts at `window_s` since 1970.

    `target` is ``first_token``, ``token_gap`` or ``availability``.
    """

    workspace: str
    route: str
    target: str
    window_s: int
    good: int = 0
    bad: int = 0

    @property
    def key(self) -> tuple[str, str, str, int]:
        """What the counts are about."""
        return self.workspace, self.route, self.target, self.window_s


class BurnCounter:
    """Collects counts between reports; at most `kept` rows, above which new ones are dropped and counted.

    >>> from arbutusrill_base import ManualClock
    >>> counter = BurnCounter(ManualClock(wall=120.0))
    >>> counter.add("dispatch", "chat", "availability", good=True)
    >>> counter.take(10)
    [BurnCount(workspace='dispatch', route='chat', target='availability', window_s=120, good=1, bad=0)]
    """

    def __init__(self, clock: Clock, kept: int = _KEPT):
        self._clock = clock
        self._kept = kept
        self._lock = threading.Lock()
        self._count_by_key: dict[tuple[str, str, str, int], BurnCount] = {}
        self.dropped = 0

    def add(self, workspace: str, route: str, target: str, good: bool) -> None:
        """Counts one request."""
        window = int(self._clock.wall()) // MINUTE_S * MINUTE_S
        self._merge(BurnCount(workspace, route, target, window, int(good), int(not good)))

    def take(self, limit: int) -> list[BurnCount]:
        """Removes and returns at most `limit` rows, the oldest first."""
        with self._lock:
            keys = list(self._count_by_key)[:limit]
            return [self._count_by_key.pop(key) for key in keys]

    def put_back(self, counts: Iterable[BurnCount]) -> None:
        """Returns rows whose report certainly did not arrive."""
        for count in counts:
            self._merge(count)

    def _merge(self, count: BurnCount) -> None:
        with self._lock:
            known = self._count_by_key.get(count.key)
            if known is not None:
                known.good += count.good
                known.bad += count.bad
            elif len(self._count_by_key) < self._kept:
                self._count_by_key[count.key] = count
            else:
                self.dropped += count.good + count.bad
