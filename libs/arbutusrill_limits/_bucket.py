"""Token bucket of one workspace and an independent check of its rate bound."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ["Bucket", "GrantBoundError", "Limits", "WindowBound"]

MAX_LEASE_S = 1.0
MIN_LEASE_S = 0.05
_MAX_PEAKS = 64
_RELATIVE_TOLERANCE = 1e-6  # exceeds the float rounding error accumulated during one leader's term


class GrantBoundError(AssertionError):
    """Raised when more tokens were granted than the rate and burst allow, which is a bug in the bucket."""


@dataclass(slots=True, frozen=True)
class Limits:
    """Token bucket parameters of a workspace: rate in tokens per second and burst in tokens.

    >>> Limits(1000.0, 2000.0).lease_s, Limits(1000.0, 2000.0).capacity
    (0.5, 1500.0)
    >>> Limits(1000.0, 2000.0).widened(500.0).scaled(0.5)
    Limits(rate=500.0, burst=1250.0)
    """

    rate: float
    burst: float

    def widened(self, slack: float) -> Limits:
        """Returns the limits with the burst raised by `slack` tokens."""
        return Limits(self.rate, self.burst + slack)

    def scaled(self, factor: float) -> Limits:
        """Returns the limits with rate and burst multiplied by `factor`."""
        return Limits(self.rate * factor, self.burst * factor)

    @property
    def lease_s(self) -> float:
        """Validity of a grant in seconds, counted from when it was requested.

        The lease covers at most half of the burst, so that `capacity` stays positive for a burst of only a few
        milliseconds of the rate.
        """
        lease = min(MAX_LEASE_S, max(MIN_LEASE_S, self.burst / (4 * self.rate)))
        return min(lease, self.burst / (2 * self.rate))

    @property
    def capacity(self) -> float:
        """Bucket size in tokens, which is also the largest possible charge.

        It is the burst minus the tokens that accrue during one lease, because a grant made up to one lease before a
        window can be spent inside the window.
        """
        return self.burst - self.rate * self.lease_s


class WindowBound:
    """Checks that the tokens granted in every time window are at most capacity + rate x window length.

    `excess` is the maximum, over all windows that end now, of the tokens granted in the window minus rate x length
    (one step of Lindley's recursion per event). It is computed independently of the bucket's level, so that an error
    in either computation is detected.
    """

    __slots__ = ("_updated_at", "_limits", "excess")

    def __init__(self, limits: Limits, at: float):
        self._limits = limits
        self._updated_at = at
        self.excess = 0.0

    def _advance(self, at: float) -> None:
        self.excess = max(0.0, self.excess - self._limits.rate * max(0.0, at - self._updated_at))
        self._updated_at = max(self._updated_at, at)

    def add_grant(self, tokens: float, at: float) -> None:
        """Adds a grant; raises `GrantBoundError` if a window exceeds its bound."""
        self._advance(at)
        self.excess += tokens
        bound = self._limits.capacity
        if self.excess > bound * (1 + _RELATIVE_TOLERANCE):
            raise GrantBoundError(f"granted {self.excess:.3f} tokens above the rate, the bound is {bound:.3f}")

    def subtract_credit(self, tokens: float, at: float) -> None:
        """Subtracts returned tokens, which count as never granted."""
        self._advance(at)
        self.excess = max(0.0, self.excess - tokens)

    def set_limits(self, limits: Limits, at: float, max_excess: float) -> None:
        """Replaces the limits; windows that span the change are bounded by the larger of both capacities.

        `max_excess` is the new capacity minus the bucket's remaining level, in tokens.
        """
        self._advance(at)
        self._limits = limits
        self.excess = min(self.excess, max_excess)


class Bucket:
    """Token bucket of one workspace. `at` arguments are seconds on the owner's monotonic clock.

    Returned tokens are credited as if they had never been granted: those that would have overflowed the bucket since
    the grant are not credited. Crediting them in full would let a window that begins after the grant exceed its bound.
    """

    __slots__ = ("_updated_at", "_peaks", "bound", "level", "limits")

    def __init__(self, limits: Limits, empty_at: float):
        self.limits = limits
        self.level = 0.0
        self.bound = WindowBound(limits, empty_at)
        self._updated_at = empty_at
        # (time, level) before each grant, levels falling: the first entry after a time has the highest level since.
        self._peaks: deque[tuple[float, float]] = deque()

    def advance(self, at: float) -> None:
        """Adds the tokens that have accrued up to `at`."""
        if at > self._updated_at:
            self.level = min(self.limits.capacity, self.level + self.limits.rate * (at - self._updated_at))
            self._updated_at = at
        self._record_peak(self._updated_at, self.level)

    def _record_peak(self, at: float, level: float) -> None:
        while self._peaks and self._peaks[-1][1] <= level:
            self._peaks.pop()
        if len(self._peaks) >= _MAX_PEAKS:
            # Merging the two oldest entries into the higher level can only reduce later credits.
            _, highest = self._peaks.popleft()
            later, _ = self._peaks.popleft()
            self._peaks.appendleft((later, highest))
        self._peaks.append((at, level))

    def set_limits(self, limits: Limits, at: float) -> None:
        """Replaces the limits; a level above the new capacity is reduced to it."""
        self.advance(at)
        if limits == self.limits:
            return
        self.limits = limits
        self.level = min(self.level, limits.capacity)
        self.bound.set_limits(limits, at, limits.capacity - self.level)
        # Tokens granted under the old limits are not credited under the new ones.
        self._peaks.clear()
        self._record_peak(at, limits.capacity)

    def withdraw(self, tokens: float, at: float) -> None:
        """Removes `tokens` for a grant; the caller checks that the level covers them."""
        self.advance(at)
        self.bound.add_grant(tokens, at)
        self.level -= tokens

    def credit(self, tokens: float, granted_at: float, at: float) -> float:
        """Credits returned tokens of a grant made at `granted_at`; returns how many were credited."""
        self.advance(at)
        highest = next((level for time, level in self._peaks if time > granted_at), self.level)
        credited = max(0.0, min(tokens, self.limits.capacity - max(highest, self.level)))
        self.level += credited
        self.bound.subtract_credit(credited, at)
        # Later credits for the same period have to include this one in the recorded levels.
        updated = [(time, level + credited if time > granted_at else level) for time, level in self._peaks]
        self._peaks.clear()
        for time, level in updated:
            self._record_peak(time, level)
        self._record_peak(self._updated_at, self.level)
        return credited
