"""Distribution of the times of answers, in a histogram with fixed buckets that forgets."""

from __future__ import annotations

import bisect

__all__ = ["AnswerTimes"]

_BOUNDS_S = tuple(0.002 * 1.25**step for step in range(42))  # up to 18.8 s
_HALF_LIFE_S = 10.0


class AnswerTimes:
    """Times of the answers of one service. Every method takes the present time; calls must not overlap.

    >>> times = AnswerTimes()
    >>> for took_s in (0.1, 0.1, 0.1, 0.4):
    ...     times.record(took_s, 0.0)
    >>> times.quantile(0.5) < 0.14 < times.quantile(0.99)
    True
    """

    __slots__ = ("_counts", "_halved_at", "count")

    def __init__(self) -> None:
        self._counts = [0.0] * (len(_BOUNDS_S) + 1)
        self._halved_at = 0.0
        self.count = 0.0

    def record(self, took_s: float, now: float) -> None:
        """Adds an answer; the weight of earlier ones halves every `_HALF_LIFE_S` seconds."""
        if now - self._halved_at >= _HALF_LIFE_S:
            self._counts = [count / 2 for count in self._counts]
            self.count /= 2
            self._halved_at = now
        self._counts[bisect.bisect_left(_BOUNDS_S, took_s)] += 1
        self.count += 1

    def quantile(self, fraction: float) -> float | None:
        """Returns the time in seconds within which `fraction` of the answers came, None before the first answer."""
        rest = fraction * self.count
        if not self.count:
            return None
        for bound_s, count in zip(_BOUNDS_S, self._counts, strict=False):
            rest -= count
            if rest <= 0:
                return bound_s
        return _BOUNDS_S[-1]
