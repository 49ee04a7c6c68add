"""What an entry VM holds of one workspace's tokens."""

from __future__ import annotations

import math
import threading
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

__all__ = ["HeldGrant", "HeldTokens"]

_USE_S = 1.0  # time constant of the average of recent use
_MIN_RETURN = 1e-6  # tokens; smaller remainders of sums of floats are not worth a message


@dataclass(slots=True)
class HeldGrant:
    """Tokens of one grant that may be spent until `expires_at`, on the monotonic clock in seconds."""

    tokens: float
    epoch: int
    issued_us: int
    expires_at: float
    lease_s: float


@dataclass(slots=True)
class HeldTokens:
    """Grants, waiting charges and tokens to be returned of one workspace; guarded by the lock of `changed`."""

    changed: threading.Condition
    grants: deque[HeldGrant] = field(default_factory=deque)
    waiting: OrderedDict[int, float] = field(default_factory=OrderedDict)  # tokens by charge, first come first
    returns: dict[tuple[int, int], float] = field(default_factory=dict)  # tokens by epoch and time of the grant
    ask_after: float = 0.0
    blocked_until: float = 0.0  # the owner's estimate for the first waiting charge
    answered_at: float = -math.inf
    lease_s: float = 0.0
    _use: float = 0.0
    _use_at: float = 0.0

    def expire(self, now: float) -> None:
        """Moves the tokens of grants that have ended to the returns."""
        while self.grants and self.grants[0].expires_at <= now:
            grant = self.grants.popleft()
            self.give_back(grant.epoch, grant.issued_us, grant.tokens)

    def give_back(self, epoch: int, issued_us: int, tokens: float) -> None:
        """Notes tokens for return to the owner."""
        if tokens > _MIN_RETURN:
            key = (epoch, issued_us)
            self.returns[key] = self.returns.get(key, 0.0) + tokens

    def held(self, now: float) -> float:
        """Returns the tokens that can be spent now."""
        self.expire(now)
        return sum(grant.tokens for grant in self.grants)

    def add(self, grant: HeldGrant) -> None:
        """Adds a grant; grants stay in the order of their ends."""
        place = len(self.grants)
        while place > 0 and self.grants[place - 1].expires_at > grant.expires_at:
            place -= 1
        self.grants.insert(place, grant)

    def take(self, tokens: float, now: float) -> list[tuple[HeldGrant, float]] | None:
        """Spends tokens, those that end first before others; returns None when there are too few."""
        if self.held(now) < tokens * (1 - 1e-9):
            return None
        parts = []
        left = tokens
        for grant in self.grants:
            part = min(left, grant.tokens)
            if part > 0:
                grant.tokens -= part
                left -= part
                parts.append((grant, part))
        self._use = self.use_per_s(now) * _USE_S + tokens
        self._use_at = now
        return parts

    def unused(self, tokens: float, now: float) -> None:
        """Takes tokens that were given back out of the recent use."""
        self._use = max(0.0, self.use_per_s(now) * _USE_S - tokens)
        self._use_at = now

    def use_per_s(self, now: float) -> float:
        """Returns recent use in tokens per second."""
        return self._use * math.exp(-max(0.0, now - self._use_at) / _USE_S) / _USE_S

    def missing(self, now: float) -> tuple[float, float]:
        """Returns the tokens without which the first charge cannot go on, and those that are wanted in all."""
        held = self.held(now)
        first = next(iter(self.waiting.values()), 0.0)
        ahead = self.use_per_s(now) * self.lease_s
        wanted = sum(self.waiting.values()) + ahead - held
        needed = max(0.0, first - held)
        if needed == 0 and held >= ahead / 2:
            return 0.0, 0.0
        return needed, max(needed, wanted)

    def return_idle(self, now: float) -> None:
        """Notes for return what recent use will not spend in the second half of a grant's time."""
        if self.waiting:
            return
        for grant in self.grants:
            remaining = grant.expires_at - now
            if remaining < grant.lease_s / 2:
                idle = grant.tokens - 2 * self.use_per_s(now) * remaining
                if idle > _MIN_RETURN:
                    grant.tokens -= idle
                    self.give_back(grant.epoch, grant.issued_us, idle)

    def take_returns(self, messages: Any) -> list[Any]:
        """Removes and returns the noted tokens as `ReturnedTokens`."""
        rows = [messages.ReturnedTokens(tokens, issued, epoch) for (epoch, issued), tokens in self.returns.items()]
        self.returns.clear()
        return rows
