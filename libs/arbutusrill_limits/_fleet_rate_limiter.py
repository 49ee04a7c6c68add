"""Rate limiting on an entry VM against token buckets that all entry VMs share.

While a workspace's bucket is well filled, an entry VM spends from it and reports afterwards, which adds no latency to a
request. Below a threshold it asks the leader before each request, because many VMs that spend from the same level at
the same time would exceed it by far. Without the leader it limits itself to its share of the rate.
"""

from __future__ import annotations

import abc
import itertools
import math
import threading
from collections.abc import Callable
from dataclasses import dataclass

from arbutusrill_base import Clock

from ._bucket import Limits
from ._fleet_buckets import FleetLevels, Level, SpendReport

__all__ = ["FleetRateLimiter", "RateAuthority", "RateAuthorityUnavailableError", "RateDecision"]

_MAX_LEVEL_AGE_S = 1.0  # older levels are not used
_MIN_LOCAL_LEVEL_FRACTION = 0.5  # of the bucket; above it, a VM spends first and reports later
_LEADER_RETRY_PAUSE_S = 0.4  # after a failed call to the leader; meanwhile a VM uses its share of the rate
_MAX_CACHED_REFUSAL_S = 0.25  # time for which a refusal by the leader is repeated without asking it
_MAX_ABANDONED_CHARGES = 1000  # to withdraw with the next report


class RateAuthorityUnavailableError(Exception):
    """Raised when the leader did not reply or has not yet received a full report from this VM."""


class RateAuthority(abc.ABC):
    """Interface to the leader, which decides on requests of workspaces near their limit."""

    @abc.abstractmethod
    def charge(self, workspace: str, tokens: float, number: int) -> float:
        """Deducts `tokens` and returns 0, or returns the seconds until enough tokens will have accrued.

        Raises `RateAuthorityUnavailableError`; the charge with this `number` is withdrawn then, since the leader may
        have deducted it.
        """


@dataclass(slots=True, frozen=True)
class RateDecision:
    """Decision on a request.

    `wait_s` is 0 if it is within its workspace's rate, else the seconds after which to retry.

    `decided_by` is ``level`` (this VM, from the last level received), ``leader``, ``refusal`` (a recent refusal by the
    leader) or ``part`` (this VM's share of the rate, without the leader). `age_s` is the age of the last levels.
    """

    wait_s: float
    decided_by: str
    age_s: float


@dataclass(slots=True)
class _Account:
    """Token counts and the latest refusal of one workspace on this VM."""

    share: Level  # this VM's share of the bucket, used without the leader
    spent: float = 0.0  # total since this VM's start, without tokens that the leader granted on request
    reported: float = 0.0  # part of `spent` that the leader has deducted
    granted: float = 0.0  # by the leader on request since it last sent the levels
    granted_before_report: float = 0.0  # value of `granted` when the report in flight was made
    refused_until: float = float("-inf")  # monotonic clock
    refused_tokens: float = math.inf  # smallest refused request


class FleetRateLimiter:
    """Decides whether a request is within its workspace's rate.

    `entry_count` returns the number of entry VMs that share the rates. `slack` is the configured number of tokens by
    which a workspace may briefly exceed its bucket; the rate over time stays the same.
    """

    def __init__(self, clock: Clock, authority: RateAuthority, entry_count: Callable[[], int], slack: float = 0.0):
        self._clock = clock
        self._authority = authority
        self._entry_count = entry_count
        self._slack = slack
        self._lock = threading.Lock()
        self._account_by_workspace: dict[str, _Account] = {}
        # Tokens, sent by the leader or implied by its refusals; full buckets are missing.
        self._level_by_workspace: dict[str, float] = {}
        self._levels_received_at = float("-inf")
        self._full_report_due = True
        self._leader_unavailable_until = float("-inf")
        self._charge_numbers = itertools.count(1)
        self._abandoned_charges: list[int] = []

    def admit(self, workspace: str, tokens: float, limits: Limits) -> RateDecision:
        """Charges `tokens` if the rate allows it, and returns the decision."""
        now = self._clock.monotonic()
        limits = limits.widened(self._slack)
        with self._lock:
            account = self._refilled_account(workspace, limits, now)
            level = self._estimated_level(workspace, account, limits, now)
            if level is not None and level - tokens >= limits.burst * _MIN_LOCAL_LEVEL_FRACTION:
                account.spent += tokens
                account.share.tokens -= tokens
                return RateDecision(0.0, "level", now - self._levels_received_at)
            if now < account.refused_until and tokens >= account.refused_tokens:
                return RateDecision(account.refused_until - now, "refusal", now - self._levels_received_at)
            leader_unavailable = now < self._leader_unavailable_until
        if not leader_unavailable:
            number = next(self._charge_numbers)
            try:
                wait_s = self._authority.charge(workspace, tokens, number)
            except RateAuthorityUnavailableError:
                with self._lock:
                    self._abandoned_charges = [*self._abandoned_charges[-_MAX_ABANDONED_CHARGES:], number]
                    self._leader_unavailable_until = self._clock.monotonic() + _LEADER_RETRY_PAUSE_S
            else:
                self._record_answer(workspace, account, tokens, limits, wait_s)
                return RateDecision(wait_s, "leader", now - self._levels_received_at)
        with self._lock:
            wait_s = self._admit_from_share(workspace, account, tokens, limits)
            return RateDecision(wait_s, "part", now - self._levels_received_at)

    def _refilled_account(self, workspace: str, limits: Limits, now: float) -> _Account:
        share_limits = limits.scaled(self._share_fraction())
        account = self._account_by_workspace.get(workspace)
        if account is None:
            account = self._account_by_workspace[workspace] = _Account(Level(share_limits.burst, now))
        account.share.refill(share_limits.rate, share_limits.burst, now)
        return account

    def _share_fraction(self) -> float:
        """Returns the fraction of a bucket that this VM may use without the leader."""
        return 1 / max(1, self._entry_count())

    def _estimated_level(self, workspace: str, account: _Account, limits: Limits, now: float) -> float | None:
        """Returns the level estimated from the last one that the leader sent, or None when that is too old."""
        age_s = now - self._levels_received_at
        if age_s > _MAX_LEVEL_AGE_S:
            return None
        level = self._level_by_workspace.get(workspace, math.inf) + limits.rate * age_s
        return min(level, limits.burst) - account.granted - (account.spent - account.reported)

    def _record_answer(self, workspace: str, account: _Account, tokens: float, limits: Limits, wait_s: float) -> None:
        now = self._clock.monotonic()
        with self._lock:
            if wait_s <= 0:
                account.granted += tokens
                account.share.tokens -= tokens
                return
            if now - self._levels_received_at <= _MAX_LEVEL_AGE_S:
                # Stores the level implied by the refusal as of `_levels_received_at`; `_estimated_level` subtracts
                # `granted` again.
                leader_level = min(tokens, limits.burst) - wait_s * limits.rate
                self._level_by_workspace[workspace] = (
                    leader_level + account.granted - limits.rate * (now - self._levels_received_at)
                )
            if now >= account.refused_until:
                account.refused_tokens = math.inf
            account.refused_until = now + min(wait_s, _MAX_CACHED_REFUSAL_S)
            account.refused_tokens = min(account.refused_tokens, tokens)

    def _admit_from_share(self, workspace: str, account: _Account, tokens: float, limits: Limits) -> float:
        share_fraction = self._share_fraction()
        share_limits = limits.scaled(share_fraction)
        if workspace in self._level_by_workspace:  # the bucket was not full when the leader last sent levels
            age_s = self._clock.monotonic() - self._levels_received_at
            level = max(0.0, self._level_by_workspace[workspace] + limits.rate * age_s)
            account.share.tokens = min(account.share.tokens, level * share_fraction)
        # A request larger than this VM's share is admitted when the share is full.
        shortfall = min(tokens, share_limits.burst) - account.share.tokens
        if shortfall > 0:
            return shortfall / share_limits.rate
        account.spent += tokens
        account.share.tokens -= tokens
        return 0.0

    def refund(self, workspace: str, tokens: float) -> None:
        """Refunds the tokens charged for a request that has not run."""
        with self._lock:
            account = self._account_by_workspace.get(workspace)
            if account is not None:
                account.spent -= tokens
                account.share.tokens += tokens

    def report(self) -> SpendReport:
        """Returns the next report: a full one if the leader does not know this VM, otherwise the changed totals."""
        now = self._clock.monotonic()
        with self._lock:
            accounts = self._account_by_workspace.items()
            for _, account in accounts:
                account.granted_before_report = account.granted
            if not self._full_report_due:
                return SpendReport(
                    {workspace: account.spent for workspace, account in accounts if account.spent != account.reported},
                    abandoned=tuple(self._abandoned_charges),
                )
            return SpendReport(
                {workspace: account.spent for workspace, account in accounts},
                True,
                dict(self._level_by_workspace),
                now - self._levels_received_at if self._level_by_workspace else 0.0,
                {
                    workspace: tokens
                    for workspace, account in accounts
                    if (tokens := account.spent - account.reported + account.granted)
                },
            )

    def apply_levels(self, report: SpendReport, levels: FleetLevels) -> None:
        """Applies the reply to `report`; buckets that are missing in `levels` are full."""
        with self._lock:
            self._full_report_due = not levels.is_reporter_known
            if not levels.is_reporter_known:
                return
            withdrawn = set(report.abandoned)
            self._abandoned_charges = [number for number in self._abandoned_charges if number not in withdrawn]
            self._level_by_workspace = levels.tokens_by_workspace
            self._levels_received_at = self._clock.monotonic()
            for account in self._account_by_workspace.values():
                account.granted -= account.granted_before_report
                account.granted_before_report = 0.0
            for workspace, total in report.spent.items():
                self._account_by_workspace[workspace].reported = total
