"""Granted tokens of one workspace on an entry VM, with its waiting charges and pending returns."""

from __future__ import annotations

import math
import threading
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

__all__ = ["HeldGrant", "HeldTokens"]

_USAGE_TIME_CONSTANT_S = 1.0  # of the exponentially decaying average
_MIN_RETURN_TOKENS = 1e-6  # smaller amounts are float rounding errors


@dataclass(slots=True)
class HeldGrant:
    """Unspent tokens of one grant, valid until `expires_at` (monotonic clock, seconds)."""

    tokens: float
    epoch: int
    issued_us: int
    expires_at: float
    lease_s: float


@dataclass(slots=True)
class HeldTokens:
    """Grants, waiting charges and pending returns of one workspace, guarded by the lock of `changed`."""

    changed: threading.Condition
    grants: deque[HeldGrant] = field(default_factory=deque)
    waiting_tokens_by_charge: OrderedDict[int, float] = field(default_factory=OrderedDict)  # in order of arrival
    pending_returns: dict[tuple[int, int], float] = field(default_factory=dict)  # tokens by (epoch, issued_us)
    next_request_at: float = 0.0
    blocked_until: float = 0.0  # when the owner expects to grant the first waiting charge
    last_reply_at: float = -math.inf
    lease_s: float = 0.0
    _usage_tokens: float = 0.0
    _usage_updated_at: float = 0.0

    def expire(self, now: float) -> None:
        """Moves the tokens of expired grants to the pending returns."""
        while self.grants and self.grants[0].expires_at <= now:
            grant = self.grants.popleft()
            self.add_return(grant.epoch, grant.issued_us, grant.tokens)

    def add_return(self, epoch: int, issued_us: int, tokens: float) -> None:
        """Adds tokens of a grant to the pending returns."""
        if tokens > _MIN_RETURN_TOKENS:
            key = (epoch, issued_us)
            self.pending_returns[key] = self.pending_returns.get(key, 0.0) + tokens

    def available(self, now: float) -> float:
        """Returns the number of unspent tokens in unexpired grants."""
        self.expire(now)
        return sum(grant.tokens for grant in self.grants)

    def add_grant(self, grant: HeldGrant) -> None:
        """Inserts a grant in the order of expiry."""
        index = len(self.grants)
        while index > 0 and self.grants[index - 1].expires_at > grant.expires_at:
            index -= 1
        self.grants.insert(index, grant)

    def spend(self, tokens: float, now: float) -> list[tuple[HeldGrant, float]] | None:
        """Spends tokens, earliest expiry first; returns the tokens by grant, or None when too few are available."""
        if self.available(now) < tokens * (1 - 1e-9):
            return None
        parts = []
        left = tokens
        for grant in self.grants:
            part = min(left, grant.tokens)
            if part > 0:
                grant.tokens -= part
                left -= part
                parts.append((grant, part))
        self._usage_tokens = self.usage_per_s(now) * _USAGE_TIME_CONSTANT_S + tokens
        self._usage_updated_at = now
        return parts

    def subtract_usage(self, tokens: float, now: float) -> None:
        """Subtracts refunded tokens from the usage average."""
        self._usage_tokens = max(0.0, self.usage_per_s(now) * _USAGE_TIME_CONSTANT_S - tokens)
        self._usage_updated_at = now

    def usage_per_s(self, now: float) -> float:
        """Returns the decayed average usage in tokens per second."""
        return (
            self._usage_tokens
            * math.exp(-max(0.0, now - self._usage_updated_at) / _USAGE_TIME_CONSTANT_S)
            / _USAGE_TIME_CONSTANT_S
        )

    def demand(self, now: float) -> tuple[float, float]:
        """Returns the tokens that the first waiting charge lacks, and the total to request, including a prefetch."""
        available = self.available(now)
        first_needed = next(iter(self.waiting_tokens_by_charge.values()), 0.0)
        prefetch_tokens = self.usage_per_s(now) * self.lease_s
        wanted = sum(self.waiting_tokens_by_charge.values()) + prefetch_tokens - available
        needed = max(0.0, first_needed - available)
        if needed == 0 and available >= prefetch_tokens / 2:
            return 0.0, 0.0
        return needed, max(needed, wanted)

    def return_idle(self, now: float) -> None:
        """Adds to the pending returns what the average usage will not spend in the second half of a grant's lease."""
        if self.waiting_tokens_by_charge:
            return
        for grant in self.grants:
            remaining = grant.expires_at - now
            if remaining < grant.lease_s / 2:
                idle = grant.tokens - 2 * self.usage_per_s(now) * remaining
                if idle > _MIN_RETURN_TOKENS:
                    grant.tokens -= idle
                    self.add_return(grant.epoch, grant.issued_us, idle)

    def pop_returns(self, messages: Any) -> list[Any]:
        """Removes the pending returns and returns them as `ReturnedTokens`."""
        rows = [
            messages.ReturnedTokens(tokens, issued, epoch) for (epoch, issued), tokens in self.pending_returns.items()
        ]
        self.pending_returns.clear()
        return rows
