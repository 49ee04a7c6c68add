"""Token buckets on the leader, shared by all entry VMs."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from arbutusrill_base import Clock

from ._bucket import Limits

__all__ = ["FleetBuckets", "FleetLevels", "Level", "SpendReport"]

_CHARGE_MEMORY_S = 5.0  # after a charge or its withdrawal; a VM reports several times a second


@dataclass(slots=True, frozen=True)
class SpendReport:
    """Report of an entry VM to the leader.

    `spent` holds the tokens by workspace since the VM's start; a report without `is_full` omits workspaces whose
    totals have not changed. A full report also holds the `levels` that the VM received `levels_age_s` seconds ago, and
    in `uncounted` the tokens by workspace that it has spent or been granted since then. `abandoned` has the numbers of
    charges whose answer did not arrive in time: the VM has not used them.
    """

    spent: dict[str, float]
    is_full: bool = False
    levels: dict[str, float] = field(default_factory=dict)
    levels_age_s: float = 0.0
    uncounted: dict[str, float] = field(default_factory=dict)
    abandoned: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class FleetLevels:
    """Levels in tokens of the buckets that are not full.

    `is_reporter_known` is False until the VM has sent a full report.
    """

    tokens_by_workspace: dict[str, float]
    is_reporter_known: bool = True


@dataclass(slots=True)
class Level:
    """Level of a bucket in tokens at a time on the monotonic clock."""

    tokens: float
    updated_at: float

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Adds the tokens that have accrued since `updated_at`, up to `capacity`."""
        self.tokens = min(capacity, self.tokens + rate * (now - self.updated_at))
        self.updated_at = now


@dataclass(slots=True)
class _Reporter:
    """Totals that an entry VM has reported, its latest charges by number, and those that it has withdrawn."""

    totals: dict[str, float]
    charge_by_number: dict[int, tuple[float, str, float]] = field(default_factory=dict)  # time, workspace, tokens
    withdrawn_at_by_number: dict[int, float] = field(default_factory=dict)

    def prune(self, now: float) -> None:
        """Forgets charges that a VM can no longer withdraw, in order of their time."""
        for times in (self.charge_by_number, self.withdrawn_at_by_number):
            while times:
                number, entry = next(iter(times.items()))
                if now - (entry[0] if isinstance(entry, tuple) else entry) <= _CHARGE_MEMORY_S:
                    break
                del times[number]


class FleetBuckets:
    """Token buckets by workspace; entry VMs charge them in advance or report what they have spent.

    A bucket holds the burst plus `slack` tokens and starts full. Its level can become negative, because reports are
    deducted after the tokens were spent.

    >>> from arbutusrill_base import ManualClock
    >>> buckets = FleetBuckets(lambda workspace: Limits(10.0, 100.0), ManualClock())
    >>> buckets.report("vm-1", 1, SpendReport({"clinic": 0.0}, is_full=True)).tokens_by_workspace
    {}
    >>> buckets.report("vm-1", 1, SpendReport({"clinic": 30.0})).tokens_by_workspace
    {'clinic': 70.0}
    >>> buckets.charge("vm-1", 1, "clinic", 50.0), buckets.charge("vm-1", 1, "clinic", 50.0)
    (0.0, 3.0)
    """

    def __init__(self, limits_of: Callable[[str], Limits | None], clock: Clock, slack: float = 0.0):
        self._base_limits_of = limits_of
        self._clock = clock
        self._slack = slack
        self._lock = threading.Lock()
        self._level_by_workspace: dict[str, Level] = {}
        self._reporter_by_vm: dict[tuple[str, int], _Reporter] = {}

    def _limits_of(self, workspace: str) -> Limits | None:
        limits = self._base_limits_of(workspace)
        return None if limits is None else limits.widened(self._slack)

    def report(self, vm: str, incarnation: int, report: SpendReport) -> FleetLevels:
        """Deducts what an entry VM has spent; returns the levels of the buckets that are not full.

        The totals of the VM's first full report are only a baseline, because a new leader does not know how much of
        them the previous leader has deducted. Reports before it are not deducted.
        """
        now = self._clock.monotonic()
        with self._lock:
            reporter = self._reporter_by_vm.get((vm, incarnation))
            if reporter is None:
                if not report.is_full:
                    return FleetLevels({}, is_reporter_known=False)
                self._reporter_by_vm[vm, incarnation] = _Reporter(dict(report.spent))
                self._restore_levels(report, now)
                return self._levels(now)
            for workspace, total in report.spent.items():
                self._deduct(workspace, total - reporter.totals.get(workspace, 0.0), now)
                reporter.totals[workspace] = total
            self._withdraw_charges(reporter, report.abandoned, now)
            return self._levels(now)

    def _withdraw_charges(self, reporter: _Reporter, numbers: tuple[int, ...], now: float) -> None:
        """Returns the tokens of charges that the VM gave up waiting for; one that arrives later deducts nothing."""
        reporter.prune(now)
        for number in numbers:
            if number in reporter.withdrawn_at_by_number:
                continue
            reporter.withdrawn_at_by_number[number] = now
            charge = reporter.charge_by_number.pop(number, None)
            if charge is not None:
                self._deduct(charge[1], -charge[2], now)

    def charge(self, vm: str, incarnation: int, workspace: str, tokens: float, number: int = 0) -> float | None:
        """Deducts `tokens` and returns 0, or returns the seconds until enough tokens will have accrued.

        Returns None for a VM that has not sent a full report, and for a charge that it has withdrawn by its `number`.
        A charge larger than the bucket is accepted when the bucket is full.
        """
        now = self._clock.monotonic()
        with self._lock:
            reporter = self._reporter_by_vm.get((vm, incarnation))
            if reporter is None or number in reporter.withdrawn_at_by_number:
                return None
            limits = self._limits_of(workspace)
            if limits is None:
                return 0.0
            level = self._level(workspace, limits, now)
            shortfall = min(tokens, limits.burst) - level.tokens
            if shortfall > 0:
                return shortfall / limits.rate
            level.tokens -= tokens
            if number:
                reporter.prune(now)
                reporter.charge_by_number[number] = (now, workspace, tokens)
            return 0.0

    def _level(self, workspace: str, limits: Limits, now: float) -> Level:
        level = self._level_by_workspace.setdefault(workspace, Level(limits.burst, now))
        level.refill(limits.rate, limits.burst, now)
        return level

    def _deduct(self, workspace: str, tokens: float, now: float) -> None:
        limits = self._limits_of(workspace)
        if limits is not None:
            self._level(workspace, limits, now).tokens -= tokens

    def _restore_levels(self, report: SpendReport, now: float) -> None:
        """Restores the levels of the previous leader, so that a change of leader refills no bucket."""
        for workspace, tokens in report.levels.items():
            limits = self._limits_of(workspace)
            if limits is not None:
                level = self._level(workspace, limits, now)
                level.tokens = min(level.tokens, tokens + limits.rate * report.levels_age_s)
        for workspace, tokens in report.uncounted.items():
            self._deduct(workspace, tokens, now)

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

    def drop_reporter(self, vm: str, incarnation: int) -> None:
        """Drops the reported totals of an entry VM, which then has to send a full report."""
        with self._lock:
            self._reporter_by_vm.pop((vm, incarnation), None)

    def clear(self) -> None:
        """Drops all levels and reported totals when this VM becomes the leader."""
        with self._lock:
            self._level_by_workspace.clear()
            self._reporter_by_vm.clear()
