"""Burn rates: the fraction of requests that miss a target, divided by the fraction that may miss it.

At a burn rate of 1 the error budget lasts exactly its period; at 14.4 the budget of a month lasts two days.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ._counter import BurnCount

__all__ = ["BurnRate", "burn_rates"]


@dataclass(slots=True)
class BurnRate:
    """Burn rates of one target of a workspace's route, by window length in seconds.

    `good` and `bad` count the requests of the longest window. A window without requests has no burn rate.
    """

    workspace: str
    route: str
    target: str
    good: int = 0
    bad: int = 0
    rate_by_window_s: dict[int, float] = field(default_factory=dict)


def burn_rates(counts: Iterable[BurnCount], allowed_fraction: Callable[[str, str], float]) -> list[BurnRate]:
    """Computes burn rates from the counts of all entry VMs, sorted by descending burn rate in the shortest window.

    `allowed_fraction(workspace, target)` is the fraction of requests that may miss the target, such as 0.05.
    Counts of the same key and window are summed.

    >>> rates = burn_rates([BurnCount("dispatch", "chat", "first_token", 300, 3, 1)], lambda *_: 0.05)
    >>> rates[0].rate_by_window_s
    {300: 5.0}
    """
    counts_by_key: dict[tuple[str, str, str], dict[int, list[int]]] = {}
    for count in counts:
        counts_by_window = counts_by_key.setdefault((count.workspace, count.route, count.target), {})
        total = counts_by_window.setdefault(count.window_s, [0, 0])
        total[0] += count.good
        total[1] += count.bad
    rates = []
    for key, counts_by_window in counts_by_key.items():
        budget_fraction = max(1e-6, allowed_fraction(key[0], key[2]))
        longest = counts_by_window[max(counts_by_window)]
        rate = BurnRate(*key, longest[0], longest[1])
        for window, (good, bad) in sorted(counts_by_window.items()):
            if good + bad:
                rate.rate_by_window_s[window] = round(bad / (good + bad) / budget_fraction, 3)
        rates.append(rate)
    return sorted(rates, key=lambda rate: (-next(iter(rate.rate_by_window_s.values()), 0.0), rate.workspace))
