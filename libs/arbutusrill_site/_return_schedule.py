"""Times after which refused callers return, spread over the time in which room is expected."""

from __future__ import annotations

__all__ = ["ReturnSchedule"]

_MIN_RETURN_S = 0.25  # shortest time after a refusal
_DEFAULT_LIMIT_S = 3.0  # longest time after which a caller is expected to return, if it is unknown
_MIN_RATE_PER_S = 0.5


class ReturnSchedule:
    """Assigns one time of return after another, as many a second as places are expected to become free.

    A time beyond what the caller honours is moved back into its span, so that the returns stay spread.

    >>> schedule = ReturnSchedule()
    >>> [schedule.next_s(0.0, rate=2.0, first_s=1.0, limit_s=3.0) for _ in range(6)]
    [1.0, 1.5, 2.0, 2.5, 1.0, 1.5]
    """

    __slots__ = ("_next_at",)

    def __init__(self):
        self._next_at = float("-inf")

    def next_s(self, now: float, rate: float, first_s: float, limit_s: float) -> float:
        """Returns the seconds after which the next refused caller is to return.

        `rate` is the expected number of free places per second for them, `first_s` the time until the first, and
        `limit_s` the longest time that the caller honours, 0 if unknown.
        """
        limit_s = limit_s or _DEFAULT_LIMIT_S
        earliest_s = min(max(_MIN_RETURN_S, first_s), limit_s / 2)
        after_s = max(self._next_at - now, earliest_s)
        if after_s >= limit_s:
            after_s = earliest_s + (after_s - earliest_s) % (limit_s - earliest_s)
        self._next_at = now + after_s + 1 / max(_MIN_RATE_PER_S, rate)
        return after_s
