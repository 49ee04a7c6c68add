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
from dataclasses import dataclass, field

from arbutusrill_base import Clock

from ._bucket import Limits

__all__ = ["FleetBuckets", "FleetMeter", "SpendReport"]

_LEVEL_AGE_S = 1.0  # age in seconds from which levels are not used any more


@dataclass(slots=True, frozen=True)
class SpendReport:
    """What an entry VM tells the leader.

    `spent` holds the tokens by workspace since the VM's start; a report that is not `whole` leaves out workspaces whose
    totals have not changed. A whole one has the `levels` that another leader returned `levels_age_s` seconds ago.
    """

    spent: dict[str, float]
    whole: bool = False
    levels: dict[str, float] = field(default_factory=dict)
    levels_age_s: float = 0.0


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
    >>> buckets.report("vm-1", 1, SpendReport({"clinic": 0.0}, whole=True))
    {}
    >>> buckets.report("vm-1", 1, SpendReport({"clinic": 30.0}))
    {'clinic': 70.0}
    """

    def __init__(self, limits_of: Callable[[str], Limits | None], clock: Clock):
        self._limits_of = limits_of
        self._clock = clock
        self._lock = threading.Lock()
        self._level_by_workspace: dict[str, _Level] = {}
        self._spent_by_reporter: dict[tuple[str, int], dict[str, float]] = {}

    def report(self, vm: str, incarnation: int, report: SpendReport) -> dict[str, float]:
        """Takes the report of an entry VM; returns the levels that are not full.

        The first whole report only sets the starting point, since a new leader does not know what of it is old; nothing
        is charged before it. Levels of the leader before go on from there, so that no bucket is filled by the change.
        """
        now = self._clock.monotonic()
        with self._lock:
            known = self._spent_by_reporter.get((vm, incarnation))
            if known is None:
                if report.whole:
                    self._spent_by_reporter[vm, incarnation] = dict(report.spent)
                    self._take_over(report, now)
                return self._levels(now)
            for workspace, total in report.spent.items():
                limits = self._limits_of(workspace)
                if limits is not None:
                    level = self._level_by_workspace.setdefault(workspace, _Level(limits.burst, now))
                    _refill(level, limits, now)
                    level.tokens -= total - known.get(workspace, 0.0)
                known[workspace] = total
            return self._levels(now)

    def _take_over(self, report: SpendReport, now: float) -> None:
        for workspace, tokens in report.levels.items():
            limits = self._limits_of(workspace)
            if limits is None:
                continue
            level = self._level_by_workspace.setdefault(workspace, _Level(limits.burst, now))
            _refill(level, limits, now)
            level.tokens = min(level.tokens, tokens + limits.rate * report.levels_age_s)

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
    >>> meter.learn(SpendReport({"clinic": 40.0}, whole=True), {"clinic": 60.0}, 1)
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
        self._term = -1  # of the leader that was last sent a whole report
        self._whole_next = True
        self._old_levels: dict[str, float] = {}  # as the leader before this one returned them
        self._old_learned_at = float("-inf")

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

    def report(self) -> SpendReport:
        """Returns what to tell the leader: everything after a change of leader, otherwise what has changed."""
        now = self._clock.monotonic()
        with self._lock:
            spent = {
                workspace: account.spent
                for workspace, account in self._account_by_workspace.items()
                if self._whole_next or account.spent != account.reported
            }
            if not self._whole_next:
                return SpendReport(spent)
            return SpendReport(spent, True, self._old_levels, now - self._old_learned_at if self._old_levels else 0.0)

    def learn(self, report: SpendReport, levels: dict[str, float], term: int) -> None:
        """Takes the levels that the leader of `term` returned for a report; the other buckets are full."""
        now = self._clock.monotonic()
        with self._lock:
            if report.whole:
                self._term = term
            elif term != self._term and not self._whole_next:
                self._old_levels, self._old_learned_at = self._levels, self._learned_at
            self._whole_next = term != self._term
            self._levels = levels
            self._learned_at = now
            for workspace, total in report.spent.items():
                self._account_by_workspace[workspace].reported = total
