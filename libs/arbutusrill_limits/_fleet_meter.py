"""An entry VM's side of rates that are counted over all entry VMs.

While a workspace's bucket is well filled, an entry VM spends from it and reports afterwards, which costs a request no
time. From a lower level on it asks the leader before each request: many VMs that spend from the same level at the same
moment would exceed it by far. Without the leader it limits itself to its part of the rate.
"""

from __future__ import annotations

import abc
import math
import threading
from collections.abc import Callable
from dataclasses import dataclass

from arbutusrill_base import Clock

from ._bucket import Limits
from ._fleet_buckets import FleetLevels, Level, SpendReport

__all__ = ["FleetMeter", "RateAuthority", "RateAuthorityLostError", "RateDecision"]

_LEVEL_AGE_S = 1.0  # age in seconds from which levels are not used any more
_UNASKED_PART = 0.5  # part of a bucket above which a VM spends before it reports
_LOST_S = 0.4  # after a question without an answer, a VM uses its part of the rate for so long
_LONGEST_REFUSAL_S = 0.25  # for which a refusal by the leader is repeated without asking


class RateAuthorityLostError(Exception):
    """The leader did not answer, or does not know this VM yet."""


class RateAuthority(abc.ABC):
    """Who decides on requests of workspaces that are near their limit."""

    @abc.abstractmethod
    def charge(self, workspace: str, tokens: float) -> float:
        """Charges `tokens` and returns 0, or returns after how many seconds they would be there.

        Raises `RateAuthorityLostError`.
        """


@dataclass(slots=True, frozen=True)
class RateDecision:
    """Whether a request is inside its workspace's rate: `wait_s` is 0, or the seconds until its tokens are there.

    `decided_by` is ``level`` (this VM, by the last level that it was told), ``leader``, ``refusal`` (a recent refusal
    by the leader) or ``part`` (this VM's part of the rate, without the leader). `age_s` is the age of the last levels.
    """

    wait_s: float
    decided_by: str
    age_s: float


@dataclass(slots=True)
class _Account:
    own: Level  # this VM's part of the bucket, for times without the leader
    spent: float = 0.0  # by report; what the leader was asked for is not part of it
    reported: float = 0.0  # part of `spent` that the leader has counted
    asked: float = 0.0  # granted by the leader on request since it last told the level
    asked_before: float = 0.0  # part of `asked` before the report that is under way
    refused_until: float = float("-inf")
    refused_tokens: float = math.inf  # smallest request that was refused


class FleetMeter:
    """Decides whether a request is inside its workspace's rate.

    `entry_count` returns the number of entry VMs that share the rates. `slack` is the number of tokens by which a
    workspace may exceed its bucket for a moment, as the deployment states it; the rate over time stays the same.
    """

    def __init__(self, clock: Clock, authority: RateAuthority, entry_count: Callable[[], int], slack: float = 0.0):
        self._clock = clock
        self._authority = authority
        self._entry_count = entry_count
        self._slack = slack
        self._lock = threading.Lock()
        self._account_by_workspace: dict[str, _Account] = {}
        self._levels: dict[str, float] = {}
        self._learned_at = float("-inf")
        self._whole_next = True
        self._lost_until = float("-inf")

    def admit(self, workspace: str, tokens: float, limits: Limits) -> RateDecision:
        """Charges `tokens`, or says after how many seconds they would be there."""
        now = self._clock.monotonic()
        limits = limits.widened(self._slack)
        with self._lock:
            account = self._account(workspace, limits, now)
            level = self._level(workspace, account, limits, now)
            if level is not None and level - tokens >= limits.burst * _UNASKED_PART:
                account.spent += tokens
                account.own.tokens -= tokens
                return RateDecision(0.0, "level", now - self._learned_at)
            if now < account.refused_until and tokens >= account.refused_tokens:
                return RateDecision(account.refused_until - now, "refusal", now - self._learned_at)
            lost = now < self._lost_until
        if not lost:
            try:
                wait_s = self._authority.charge(workspace, tokens)
            except RateAuthorityLostError:
                with self._lock:
                    self._lost_until = self._clock.monotonic() + _LOST_S
            else:
                self._note_answer(workspace, account, tokens, limits, wait_s)
                return RateDecision(wait_s, "leader", now - self._learned_at)
        with self._lock:
            wait_s = self._admit_own_part(workspace, account, tokens, limits)
            return RateDecision(wait_s, "part", now - self._learned_at)

    def _account(self, workspace: str, limits: Limits, now: float) -> _Account:
        own = limits.scaled(self._part())
        account = self._account_by_workspace.get(workspace)
        if account is None:
            account = self._account_by_workspace[workspace] = _Account(Level(own.burst, now))
        account.own.refill(own.rate, own.burst, now)
        return account

    def _part(self) -> float:
        """Returns this VM's part of what the entry VMs share."""
        return 1 / max(1, self._entry_count())

    def _level(self, workspace: str, account: _Account, limits: Limits, now: float) -> float | None:
        """Returns the tokens that are left by the leader's last word, None when that is too old."""
        age_s = now - self._learned_at
        if age_s > _LEVEL_AGE_S:
            return None
        level = self._levels.get(workspace, math.inf) + limits.rate * age_s
        return min(level, limits.burst) - account.asked - (account.spent - account.reported)

    def _note_answer(self, workspace: str, account: _Account, tokens: float, limits: Limits, wait_s: float) -> None:
        now = self._clock.monotonic()
        with self._lock:
            if wait_s <= 0:
                account.asked += tokens
                account.own.tokens -= tokens
                return
            if now - self._learned_at <= _LEVEL_AGE_S:
                left = min(tokens, limits.burst) - wait_s * limits.rate
                self._levels[workspace] = left + account.asked - limits.rate * (now - self._learned_at)
            if now >= account.refused_until:
                account.refused_tokens = math.inf
            account.refused_until = now + min(wait_s, _LONGEST_REFUSAL_S)
            account.refused_tokens = min(account.refused_tokens, tokens)

    def _admit_own_part(self, workspace: str, account: _Account, tokens: float, limits: Limits) -> float:
        part = self._part()
        own = limits.scaled(part)
        if workspace in self._levels:  # the bucket was not full when the leader was heard last
            age_s = self._clock.monotonic() - self._learned_at
            left = max(0.0, self._levels[workspace] + limits.rate * age_s)
            account.own.tokens = min(account.own.tokens, left * part)
        # A request larger than this VM's part is admitted when the part is full.
        lacking = min(tokens, own.burst) - account.own.tokens
        if lacking > 0:
            return lacking / own.rate
        account.spent += tokens
        account.own.tokens -= tokens
        return 0.0

    def refund(self, workspace: str, tokens: float) -> None:
        """Gives back what was charged for a request that has not run."""
        with self._lock:
            account = self._account_by_workspace.get(workspace)
            if account is not None:
                account.spent -= tokens
                account.own.tokens += tokens

    def report(self) -> SpendReport:
        """Returns what to tell the leader: everything when it does not know this VM, otherwise what has changed."""
        now = self._clock.monotonic()
        with self._lock:
            accounts = self._account_by_workspace.items()
            for _, row in accounts:
                row.asked_before = row.asked
            if not self._whole_next:
                return SpendReport({key: row.spent for key, row in accounts if row.spent != row.reported})
            return SpendReport(
                {key: row.spent for key, row in accounts},
                True,
                dict(self._levels),
                now - self._learned_at if self._levels else 0.0,
                {key: tokens for key, row in accounts if (tokens := row.spent - row.reported + row.asked)},
            )

    def learn(self, report: SpendReport, levels: FleetLevels) -> None:
        """Takes the answer to a report; buckets that it does not name are full."""
        with self._lock:
            self._whole_next = not levels.counted
            if not levels.counted:
                return
            self._levels = levels.tokens_by_workspace
            self._learned_at = self._clock.monotonic()
            for row in self._account_by_workspace.values():
                row.asked -= row.asked_before
                row.asked_before = 0.0
            for workspace, total in report.spent.items():
                self._account_by_workspace[workspace].reported = total
