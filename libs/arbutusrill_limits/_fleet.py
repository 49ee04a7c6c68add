"""Fleet-wide token buckets whose levels the entry VMs learn by report instead of by grant.

Each entry VM counts what it spends and reports the running totals; the leader keeps one bucket for each workspace
and answers with the levels of those that are not full. Between two reports an entry VM subtracts its own spending.
All entry VMs together may exceed a bucket by what they spend between two reports, which deployments with a stated
slack allow. An entry VM without recent levels limits itself to its part of the rate.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from dataclasses import dataclass

from arbutusrill_base import Clock

from ._bucket import Limits

__all__ = ["FleetBuckets", "FleetMeter"]

_LEVEL_AGE_S = 1.0  # age in seconds from which levels are not used any more


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
    {}
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
        """Takes the tokens that an entry VM has spent since its start; returns the levels that are not full.

        `spent` may leave out workspaces whose totals have not changed. A first report only sets the starting point,
        since a new leader does not know what of it is old.
        """
        now = self._clock.monotonic()
        with self._lock:
            known = self._spent_by_reporter.setdefault((vm, incarnation), dict(spent))
            for workspace, total in spent.items():
                limits = self._limits_of(workspace)
                if limits is not None:
                    level = self._level_by_workspace.setdefault(workspace, _Level(limits.burst, now))
                    _refill(level, limits, now)
                    level.tokens -= total - known.get(workspace, 0.0)
                known[workspace] = total
            return self._levels(now)

    def _levels(self, now: float) -> dict[str, float]:
        levels = {}
        for workspace, level in list(self._level_by_workspace.items()):
            limits = self._limits_of(workspace)
            if limits is not None:
                _refill(level, limits, now)
            if limits is None or level.tokens >= limits.burst:
                del self._level_by_workspace[workspace]
            else:
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
    own: _Level  # this VM's part of the bucket, for times without recent levels
    spent: float = 0.0
    reported: float = 0.0  # part of `spent` that the leader has counted


class FleetMeter:
    """An entry VM's side: decides at once whether a request is inside its workspace's rate.

    `entry_count` returns the number of entry VMs that share the rates. `slack` is the number of tokens by which a
    workspace may exceed its bucket for a moment, as the deployment states it; the rate over time stays the same.

    >>> from arbutusrill_base import ManualClock
    >>> meter = FleetMeter(ManualClock(), lambda: 2)
    >>> meter.admit("clinic", 40.0, Limits(10.0, 100.0)), meter.admit("clinic", 40.0, Limits(10.0, 100.0))
    (None, 6.0)
    >>> meter.learn({"clinic": 40.0}, {"clinic": 60.0})
    >>> meter.admit("clinic", 40.0, Limits(10.0, 100.0)), meter.admit("clinic", 40.0, Limits(10.0, 100.0))
    (None, 2.0)
    """

    def __init__(self, clock: Clock, entry_count: Callable[[], int], slack: float = 0.0):
        self._clock = clock
        self._entry_count = entry_count
        self._slack = slack
        self._lock = threading.Lock()
        self._account_by_workspace: dict[str, _Account] = {}
        self._levels: dict[str, float] = {}
        self._learned_at = float("-inf")

    def admit(self, workspace: str, tokens: float, limits: Limits) -> float | None:
        """Charges `tokens` and returns None, or returns after how many seconds they would be there."""
        now = self._clock.monotonic()
        with self._lock:
            parts = max(1, self._entry_count())
            own = Limits(limits.rate / parts, (limits.burst + self._slack) / parts)
            account = self._account_by_workspace.get(workspace)
            if account is None:
                account = self._account_by_workspace[workspace] = _Account(_Level(own.burst, now))
            _refill(account.own, own, now)
            age_s = now - self._learned_at
            if age_s <= _LEVEL_AGE_S:
                level = min(self._levels.get(workspace, math.inf) + limits.rate * age_s, limits.burst)
                available, part = level + self._slack - (account.spent - account.reported), limits
            else:
                available, part = account.own.tokens, own
            # A request larger than the burst is admitted by a full bucket.
            needed = min(tokens, part.burst)
            if available < needed:
                return (needed - available) / part.rate
            account.spent += tokens
            account.own.tokens -= tokens
            return None

    def refund(self, workspace: str, tokens: float) -> None:
        """Gives back what was charged for a request that has not run."""
        with self._lock:
            account = self._account_by_workspace.get(workspace)
            if account is not None:
                account.spent -= tokens
                account.own.tokens += tokens

    def totals(self) -> dict[str, float]:
        """Returns the tokens spent since the start, of the workspaces whose totals the leader does not know yet."""
        with self._lock:
            return {
                workspace: account.spent
                for workspace, account in self._account_by_workspace.items()
                if account.spent != account.reported
            }

    def learn(self, reported: dict[str, float], levels: dict[str, float]) -> None:
        """Takes the levels that the leader returned for the totals in `reported`; the others are full."""
        now = self._clock.monotonic()
        with self._lock:
            self._levels = levels
            self._learned_at = now
            for workspace, total in reported.items():
                self._account_by_workspace[workspace].reported = total
