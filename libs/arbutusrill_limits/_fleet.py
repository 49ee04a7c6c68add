"""Fleet-wide token buckets whose levels the entry VMs learn by report instead of by grant.

Each entry VM counts what it spends and reports the running totals; the leader keeps one bucket for each workspace
and answers with its level. Between two reports an entry VM subtracts its own spending from the last level. All entry
VMs together may exceed a bucket by what they spend between two reports, which deployments with a stated overage
allow. An entry VM without recent levels limits itself to its part of the rate.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from arbutusrill_base import Clock

from ._bucket import Limits

__all__ = ["FleetBuckets", "FleetMeter"]

_LEVEL_AGE_S = 1.0  # age from which a reported level no longer limits the spending of the others


@dataclass(slots=True)
class _Level:
    tokens: float
    at: float


def _refill(level: _Level, limits: Limits, now: float) -> None:
    level.tokens = min(limits.burst, level.tokens + limits.rate * (now - level.at))
    level.at = now


class FleetBuckets:
    """The leader's buckets. A bucket starts full and may go below zero by what was spent before a report.

    >>> from arbutusrill_base import ManualClock
    >>> buckets = FleetBuckets(lambda workspace: Limits(10.0, 100.0), ManualClock())
    >>> buckets.report("vm-1", 1, {"clinic": 0.0})
    {'clinic': 100.0}
    >>> buckets.report("vm-1", 1, {"clinic": 30.0})
    {'clinic': 70.0}
    """

    def __init__(self, limits_of: Callable[[str], Limits | None], clock: Clock):
        self._limits_of = limits_of
        self._clock = clock
        self._lock = threading.Lock()
        self._level_by_workspace: dict[str, _Level] = {}
        self._spent_by_reporter: dict[tuple[str, int], dict[str, float]] = {}

    def report(self, vm: str, incarnation: int, spent: dict[str, float]) -> dict[str, float]:
        """Takes the tokens that an entry VM has spent since its start; returns the levels by workspace.

        A first report only sets the starting point, since a new leader does not know what of it is old.
        """
        now = self._clock.monotonic()
        with self._lock:
            known = self._spent_by_reporter.setdefault((vm, incarnation), dict(spent))
            levels = {}
            for workspace, total in spent.items():
                limits = self._limits_of(workspace)
                if limits is None:
                    continue
                level = self._level_by_workspace.setdefault(workspace, _Level(limits.burst, now))
                _refill(level, limits, now)
                level.tokens -= max(0.0, total - known.get(workspace, 0.0))
                known[workspace] = max(total, known.get(workspace, 0.0))
                levels[workspace] = level.tokens
            return levels

    def forget(self, vm: str, incarnation: int) -> None:
        """Drops the totals of an entry VM that is gone."""
        with self._lock:
            self._spent_by_reporter.pop((vm, incarnation), None)

    def reset(self) -> None:
        """Drops everything at the start of a leadership."""
        with self._lock:
            self._level_by_workspace.clear()
            self._spent_by_reporter.clear()


@dataclass(slots=True)
class _Account:
    spent: float = 0.0
    level: float | None = None  # last reported level less what was spent since its report
    level_at: float = float("-inf")
    own: _Level | None = None  # this VM's part of the bucket, for times without a recent level


class FleetMeter:
    """An entry VM's side: decides at once whether a request is inside its workspace's rate.

    `entry_count` returns the number of entry VMs that share the rates.

    >>> from arbutusrill_base import ManualClock
    >>> meter = FleetMeter(ManualClock(), lambda: 2)
    >>> meter.admit("clinic", 40.0, Limits(10.0, 100.0)), meter.admit("clinic", 40.0, Limits(10.0, 100.0))
    (None, 3.0)
    """

    def __init__(self, clock: Clock, entry_count: Callable[[], int]):
        self._clock = clock
        self._entry_count = entry_count
        self._lock = threading.Lock()
        self._account_by_workspace: dict[str, _Account] = {}

    def admit(self, workspace: str, tokens: float, limits: Limits) -> float | None:
        """Charges `tokens` and returns None, or returns after how many seconds they would be there."""
        now = self._clock.monotonic()
        with self._lock:
            account = self._account_by_workspace.setdefault(workspace, _Account())
            parts = max(1, self._entry_count())
            own = Limits(limits.rate / parts, limits.burst / parts)
            if account.own is None:
                account.own = _Level(own.burst, now)
            _refill(account.own, own, now)
            if account.level is not None and now - account.level_at <= _LEVEL_AGE_S:
                available, rate = account.level + limits.rate * (now - account.level_at), limits.rate
                available = min(available, limits.burst)
            else:
                available, rate = account.own.tokens, own.rate
            # A request larger than the burst is admitted by a full bucket.
            needed = min(tokens, limits.burst if rate == limits.rate else own.burst)
            if available < needed:
                return (needed - available) / rate
            self._spend(account, tokens)
            return None

    def refund(self, workspace: str, tokens: float) -> None:
        """Gives back what was charged for a request that has not run."""
        with self._lock:
            account = self._account_by_workspace.get(workspace)
            if account is not None:
                self._spend(account, -tokens)

    def _spend(self, account: _Account, tokens: float) -> None:
        account.spent += tokens
        if account.level is not None:
            account.level -= tokens
        account.own.tokens -= tokens

    def totals(self) -> dict[str, float]:
        """Returns the tokens spent by workspace since the start."""
        with self._lock:
            return {workspace: account.spent for workspace, account in self._account_by_workspace.items()}

    def learn(self, reported: dict[str, float], levels: dict[str, float]) -> None:
        """Takes the levels that the leader returned for the totals in `reported`."""
        now = self._clock.monotonic()
        with self._lock:
            for workspace, level in levels.items():
                account = self._account_by_workspace.get(workspace)
                if account is not None:
                    account.level = level - (account.spent - reported.get(workspace, 0.0))
                    account.level_at = now
