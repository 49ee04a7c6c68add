"""Rate of events over a sliding window."""

from __future__ import annotations

from collections import deque

__all__ = ["RateWindow"]


class RateWindow:
    """Counts the events of the last `window_s` seconds; times are on the monotonic clock.

    >>> window = RateWindow(4.0)
    >>> for moment in (1.0, 2.0, 6.5):
    ...     window.add(moment)
    >>> window.rate(6.5), window.count(5.5)
    (0.25, 1)
    """

    __slots__ = ("_moments", "_window_s")

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._moments: deque[float] = deque()

    def add(self, now: float) -> None:
        """Adds an event."""
        self.count(now)
        self._moments.append(now)

    def count(self, now: float) -> int:
        """Returns the number of events in the window that ends now."""
        moments, start = self._moments, now - self._window_s
        while moments and moments[0] < start:
            moments.popleft()
        return len(moments)

    def rate(self, now: float) -> float:
        """Returns the events per second in the window that ends now."""
        return self.count(now) / self._window_s
