"""Decision on whether a request comes from a caller that was refused before, without a clock of its own."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CallerReturns"]

_SHORT_FRACTION = 0.9  # of the longest time limit: a caller that returns has less time left
_GENERATION_S = 20.0
_MAX_SHORT_SHARE = 0.5  # with more of them, time limits differ for other reasons
_SMOOTHING_FACTOR = 0.05
# Short limits among those that were seen while nobody was refused: with more of them, callers have limits of their own.
_MAX_CALM_SHARE = 0.1
_MIN_CALM_COUNT = 5
_MAX_CALM_COUNT = 64
_MAX_ROUTES = 4096


@dataclass(slots=True)
class _RouteLimits:
    began_at: float
    longest_s: float = 0.0
    previous_longest_s: float = 0.0
    short_share: float = 0.0
    calm_count: int = 0
    calm_short_count: int = 0

    @property
    def longest_known_s(self) -> float:
        """Returns the longest time limit of this generation and the one before."""
        return max(self.longest_s, self.previous_longest_s)

    @property
    def has_own_short_limits(self) -> bool:
        """Whether callers state short limits also while none of them was refused."""
        return self.calm_count >= _MIN_CALM_COUNT and self.calm_short_count > _MAX_CALM_SHARE * self.calm_count

    def learn_calm(self, is_short: bool) -> None:
        """Counts a limit of a time in which nobody was refused; the latest ones count most."""
        if self.calm_count >= _MAX_CALM_COUNT:
            self.calm_count, self.calm_short_count = self.calm_count // 2, self.calm_short_count // 2
        self.calm_count += 1
        self.calm_short_count += is_short


class CallerReturns:
    """Recognizes returning callers by their time limit, which is shorter than that of other requests of the route.

    Where limits are as short while servers have been idle for as long as callers wait, callers have their own limits.
    Calls must not overlap; each takes the present time and when the servers of the route were last seen busy.

    >>> returns = CallerReturns()
    >>> returns.observe("r", 4.0, 10.0, busy_at=9.0), returns.observe("r", 2.9, 11.0, busy_at=9.0)
    (False, True)
    >>> returns.observe("r", 2.9, 15.0, busy_at=9.0)
    False
    """

    __slots__ = ("_limits_by_route",)

    def __init__(self) -> None:
        self._limits_by_route: dict[str, _RouteLimits] = {}

    def observe(self, route: str, deadline_s: float | None, now: float, busy_at: float) -> bool:
        """Returns whether a request with this time limit is likely one that was refused before."""
        if deadline_s is None:
            return False
        limits = self._limits_by_route.get(route)
        if limits is None:
            if len(self._limits_by_route) >= _MAX_ROUTES:
                self._limits_by_route.clear()
            limits = self._limits_by_route[route] = _RouteLimits(now)
        if now - limits.began_at > _GENERATION_S:
            limits.began_at, limits.previous_longest_s, limits.longest_s = now, limits.longest_s, 0.0
        limits.longest_s = max(limits.longest_s, deadline_s)
        is_short = deadline_s < _SHORT_FRACTION * limits.longest_known_s
        limits.short_share += _SMOOTHING_FACTOR * (is_short - limits.short_share)
        if now - busy_at > limits.longest_known_s:
            limits.learn_calm(is_short)
            return False
        return is_short and limits.short_share <= _MAX_SHORT_SHARE and not limits.has_own_short_limits
