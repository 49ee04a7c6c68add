"""Burn rates: how fast requests that miss a target use up the part that may miss it.

At a burn rate of 1 the error budget is used up exactly at the end of its period; at 14.4 a month's budget
lasts two days.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ._counter import BurnCount

__all__ = ["BurnRate", "burn_rates"]


@dataclass(slots=True)
class BurnRate:
    """Burn rates of one target of a workspace's route by window length in seconds.

    `good` and `bad` are the requests of the longest window. A window without requests has no entry.
    """

    workspace: str
    route: str
    target: str
    good: int = 0
    bad: int = 0
    rate_by_window_s: dict[int, float] = field(default_factory=dict)


def burn_rates(counts: Iterable[BurnCount], allowed: Callable[[str, str], float]) -> list[BurnRate]:
    """Returns the burn rates that follow from counts of the whole fleet, the worst in the shortest window first.

    `allowed(workspace, target)` is the part of requests that may miss the target, such as 0.05. Rows of the
    same window are added up.

    >>> rates = burn_rates([BurnCount("dispatch", "chat", "first_token", 300, 3, 1)], lambda *_: 0.05)
    >>> rates[0].rate_by_window_s
    {300: 5.0}
    """
    sums: dict[tuple[str, str, str], dict[int, list[int]]] = {}
    for count in counts:
        by_window = sums.setdefault((count.workspace, count.route, count.target), {})
        total = by_window.setdefault(count.window_s, [0, 0])
        total[0] += count.good
        total[1] += count.bad
    rates = []
    for key, by_window in sums.items():
        part = max(1e-6, allowed(key[0], key[2]))
        longest = by_window[max(by_window)]
        rate = BurnRate(*key, longest[0], longest[1])
        for window, (good, bad) in sorted(by_window.items()):
            if good + bad:
                rate.rate_by_window_s[window] = round(bad / (good + bad) / part, 3)
        rates.append(rate)
    return sorted(rates, key=lambda rate: (-next(iter(rate.rate_by_window_s.values()), 0.0), rate.workspace))
