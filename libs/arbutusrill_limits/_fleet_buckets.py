"""The leader's side of rates that are counted over all entry VMs."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from arbutusrill_base import Clock

from ._bucket import Limits

__all__ = ["FleetBuckets", "FleetLevels", "Level", "SpendReport"]


@dataclass(slots=True, frozen=True)
class SpendReport:
    """What an entry VM tells the leader.

    `spent` holds the tokens by workspace since the VM's start; a report that is not `whole` leaves out workspaces whose
    totals have not changed. A whole one also has the `levels` that the VM learned `levels_age_s` seconds ago, and in
    `uncounted` what it has spent or been granted since then.
    """

    spent: dict[str, float]
    whole: bool = False
    levels: dict[str, float] = field(default_factory=dict)
    levels_age_s: float = 0.0
    uncounted: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class FleetLevels:
    """Tokens in the buckets that are not full; `counted` is False until the VM has sent a whole report."""

    tokens_by_workspace: dict[str, float]
    counted: bool = True


@dataclass(slots=True)
class Level:
    """Tokens in a bucket at a time on the monotonic clock."""

    tokens: float
    at: float

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Adds what has come since `at`, up to the bucket's capacity."""
        self.tokens = min(capacity, self.tokens + rate * (now - self.at))
        self.at = now


class FleetBuckets:
    """One bucket for each workspace: entry VMs report what they spend, or ask before they spend.

    A bucket starts full, holds the burst and `slack`, and goes below zero by what was spent before a report.

    >>> from arbutusrill_base import ManualClock
    >>> buckets = FleetBuckets(lambda workspace: Limits(10.0, 100.0), ManualClock())
    >>> buckets.report("vm-1", 1, SpendReport({"clinic": 0.0}, whole=True)).tokens_by_workspace
    {}
    >>> buckets.report("vm-1", 1, SpendReport({"clinic": 30.0})).tokens_by_workspace
    {'clinic': 70.0}
    >>> buckets.charge("vm-1", 1, "clinic", 50.0), buckets.charge("vm-1", 1, "clinic", 50.0)
    (0.0, 3.0)
    """

    def __init__(self, limits_of: Callable[[str], Limits | None], clock: Clock, slack: float = 0.0):
        self._plain_limits_of = limits_of
        self._clock = clock
        self._slack = slack
        self._lock = threading.Lock()
        self._level_by_workspace: dict[str, Level] = {}
        self._spent_by_reporter: dict[tuple[str, int], dict[str, float]] = {}

    def _limits_of(self, workspace: str) -> Limits | None:
        limits = self._plain_limits_of(workspace)
        return None if limits is None else limits.widened(self._slack)

    def report(self, vm: str, incarnation: int, report: SpendReport) -> FleetLevels:
        """Takes the report of an entry VM; returns the levels that are not full.

        The totals of the first whole report are a starting point only, since a new leader does not know what of them
        the leader before has charged; nothing is charged before it.
        """
        now = self._clock.monotonic()
        with self._lock:
            known = self._spent_by_reporter.get((vm, incarnation))
            if known is None:
                if not report.whole:
                    return FleetLevels({}, counted=False)
                self._spent_by_reporter[vm, incarnation] = dict(report.spent)
                self._take_over(report, now)
                return self._levels(now)
            for workspace, total in report.spent.items():
                self._spend(workspace, total - known.get(workspace, 0.0), now)
                known[workspace] = total
            return self._levels(now)

    def charge(self, vm: str, incarnation: int, workspace: str, tokens: float) -> float | None:
        """Charges `tokens` and returns 0, or returns after how many seconds they would be there.

        Returns None for a VM that has not sent a whole report. A request larger than the bucket is admitted when
        that is full.
        """
        now = self._clock.monotonic()
        with self._lock:
            if (vm, incarnation) not in self._spent_by_reporter:
                return None
            limits = self._limits_of(workspace)
            if limits is None:
                return 0.0
            level = self._level(workspace, limits, now)
            lacking = min(tokens, limits.burst) - level.tokens
            if lacking > 0:
                return lacking / limits.rate
            level.tokens -= tokens
            return 0.0

    def _level(self, workspace: str, limits: Limits, now: float) -> Level:
        level = self._level_by_workspace.setdefault(workspace, Level(limits.burst, now))
        level.refill(limits.rate, limits.burst, now)
        return level

    def _spend(self, workspace: str, tokens: float, now: float) -> None:
        limits = self._limits_of(workspace)
        if limits is not None:
            self._level(workspace, limits, now).tokens -= tokens

    def _take_over(self, report: SpendReport, now: float) -> None:
        """Goes on from the levels of the leader before, so that no bucket is filled by the change."""
        for workspace, tokens in report.levels.items():
            limits = self._limits_of(workspace)
            if limits is not None:
                level = self._level(workspace, limits, now)
                level.tokens = min(level.tokens, tokens + limits.rate * report.levels_age_s)
        for workspace, tokens in report.uncounted.items():
            self._spend(workspace, tokens, now)

    def _levels(self, now: float) -> FleetLevels:
        levels = {}
        for workspace in list(self._level_by_workspace):
            limits = self._limits_of(workspace)
            if limits is not None:
                level = self._level(workspace, limits, now)
                if level.tokens < limits.burst:
                    levels[workspace] = level.tokens
                    continue
            del self._level_by_workspace[workspace]
        return FleetLevels(levels)

    def forget(self, vm: str, incarnation: int) -> None:
        """Drops the totals of an entry VM that is gone."""
        with self._lock:
            self._spent_by_reporter.pop((vm, incarnation), None)

    def reset(self) -> None:
        """Drops everything at the start of a leadership."""
        with self._lock:
            self._level_by_workspace.clear()
            self._spent_by_reporter.clear()
