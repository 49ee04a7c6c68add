"""Recent arrivals by their position in the order of places."""

from __future__ import annotations

from collections import deque
from typing import Any

from sortedcontainers import SortedList

__all__ = ["RecentArrivals"]


class RecentArrivals:
    """Counts the arrivals of the last `window_s` seconds that go ahead of a position; times are monotonic.

    >>> arrivals = RecentArrivals(2.0)
    >>> for moment, position in ((1.0, 5), (2.0, 3), (2.5, 9)):
    ...     arrivals.add(position, moment)
    >>> arrivals.rate_ahead_of(5, 2.5), arrivals.rate_ahead_of(9, 2.5), arrivals.rate_ahead_of(9, 3.5)
    (0.5, 1.0, 0.5)
    """

    __slots__ = ("_arrivals", "_positions", "_time_by_position", "_window_s")

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._arrivals: deque[tuple[float, Any]] = deque()
        self._time_by_position: dict[Any, float] = {}
        self._positions = SortedList()

    def add(self, position: Any, now: float) -> None:
        """Adds an arrival, once for each position; lower positions go first."""
        self._prune(now)
        self._arrivals.append((now, position))
        if position not in self._time_by_position:
            self._positions.add(position)
        self._time_by_position[position] = now

    def discard(self, position: Any) -> None:
        """Forgets an arrival, if it is still in the window."""
        if self._time_by_position.pop(position, None) is not None:
            self._positions.remove(position)

    def rate_ahead_of(self, position: Any, now: float) -> float:
        """Returns the arrivals per second whose position is below `position`."""
        self._prune(now)
        return self._positions.bisect_left(position) / self._window_s

    def _prune(self, now: float) -> None:
        while self._arrivals and self._arrivals[0][0] < now - self._window_s:
            arrived_at, position = self._arrivals.popleft()
            # A position that was discarded may have been added again since.
            if self._time_by_position.get(position) == arrived_at:
                self.discard(position)
