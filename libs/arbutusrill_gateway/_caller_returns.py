"""Decision on whether a request comes from a caller that was refused before, without a clock of its own."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CallerReturns"]

_SHORT_FRACTION = 0.9  # of the longest time limit: a caller that returns has less time left
_GENERATION_S = 20.0
_MAX_SHORT_SHARE = 0.5  # with more of them, time limits differ for other reasons
_SMOOTHING_FACTOR = 0.05
_MAX_ROUTES = 4096


@dataclass(slots=True)
class _RouteLimits:
    began_at: float
    longest_s: float = 0.0
    previous_longest_s: float = 0.0
    short_share: float = 0.0


class CallerReturns:
    """Recognizes returning callers by their time limit, which is shorter than that of other requests of the route.

    Calls must not overlap; each takes the present time.

    >>> returns = CallerReturns()
    >>> returns.observe("r", 4.0, 0.0), returns.observe("r", 2.9, 1.0)
    (False, True)
    """

    __slots__ = ("_limits_by_route",)

    def __init__(self) -> None:
        self._limits_by_route: dict[str, _RouteLimits] = {}

    def observe(self, route: str, deadline_s: float | None, now: float) -> bool:
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
        is_short = deadline_s < _SHORT_FRACTION * max(limits.longest_s, limits.previous_longest_s)
        limits.short_share += _SMOOTHING_FACTOR * (is_short - limits.short_share)
        return is_short and limits.short_share <= _MAX_SHORT_SHARE
