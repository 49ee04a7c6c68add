"""One workspace's token bucket on the owner, and the independent check of its bound."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ["Bucket", "GrantBoundError", "Limits", "WindowBound"]

MAX_LEASE_S = 1.0
MIN_LEASE_S = 0.05
_MAX_PEAKS = 64
_ROUNDING = 1e-6  # relative; sums of floats differ by less over the life of a leader


class GrantBoundError(AssertionError):
    """More tokens were granted than the workspace's rate and burst allow: a fault of this program."""


@dataclass(slots=True, frozen=True)
class Limits:
    """Rate in tokens per second and burst in tokens of a workspace.

    >>> Limits(1000.0, 2000.0).lease_s, Limits(1000.0, 2000.0).capacity
    (0.5, 1500.0)
    >>> Limits(1000.0, 2000.0).widened(500.0).scaled(0.5)
    Limits(rate=500.0, burst=1250.0)
    """

    rate: float
    burst: float

    def widened(self, slack: float) -> Limits:
        """Returns the limits of a bucket that holds `slack` tokens more."""
        return Limits(self.rate, self.burst + slack)

    def scaled(self, part: float) -> Limits:
        """Returns a part of the rate and of the burst."""
        return Limits(self.rate * part, self.burst * part)

    @property
    def lease_s(self) -> float:
        """Time in seconds for which a grant may be used, counted from when it was asked for.

        At most half of the burst is set aside for it, so that a burst of a few milliseconds of the rate
        still has a positive capacity.
        """
        lease = min(MAX_LEASE_S, max(MIN_LEASE_S, self.burst / (4 * self.rate)))
        return min(lease, self.burst / (2 * self.rate))

    @property
    def capacity(self) -> float:
        """Largest balance of the bucket in tokens, and so the largest single charge.

        A grant made up to one lease before a window may be spent inside it, so that the tokens of one
        lease are subtracted from the burst.
        """
        return self.burst - self.rate * self.lease_s


class WindowBound:
    """Checks that the tokens granted in every window are at most capacity + rate x length.

    `excess` is the maximum over all windows that end now of the tokens granted in the window minus rate x length
    (one step of Lindley's recursion per event). It is kept apart from the balance, so that a fault in either shows.
    """

    __slots__ = ("_at", "_limits", "excess")

    def __init__(self, limits: Limits, at: float):
        self._limits = limits
        self._at = at
        self.excess = 0.0

    def _advance(self, at: float) -> None:
        self.excess = max(0.0, self.excess - self._limits.rate * max(0.0, at - self._at))
        self._at = max(self._at, at)

    def granted(self, tokens: float, at: float) -> None:
        """Counts a grant; raises `GrantBoundError` when some window now exceeds its bound."""
        self._advance(at)
        self.excess += tokens
        bound = self._limits.capacity
        if self.excess > bound * (1 + _ROUNDING):
            raise GrantBoundError(f"granted {self.excess:.3f} tokens above the rate, the bound is {bound:.3f}")

    def credited(self, tokens: float, at: float) -> None:
        """Counts tokens that came back and are treated as never granted."""
        self._advance(at)
        self.excess = max(0.0, self.excess - tokens)

    def change(self, limits: Limits, at: float, room: float) -> None:
        """Takes new limits; windows across the change are held to the larger of both capacities.

        `room` is the new capacity minus the balance that the bucket keeps.
        """
        self._advance(at)
        self._limits = limits
        self.excess = min(self.excess, room)


class Bucket:
    """Balance of one workspace. `at` arguments are seconds on the owner's monotonic clock.

    Tokens that come back are credited as if they had never been granted: had the balance reached the
    capacity since, they would have been lost then. Crediting them in full would let a window that begins
    after the grant exceed its bound.
    """

    __slots__ = ("_at", "_peaks", "bound", "level", "limits")

    def __init__(self, limits: Limits, empty_at: float):
        self.limits = limits
        self.level = 0.0
        self.bound = WindowBound(limits, empty_at)
        self._at = empty_at
        # (time, balance) before each grant, balances falling: the highest balance since a time is found first.
        self._peaks: deque[tuple[float, float]] = deque()

    def advance(self, at: float) -> None:
        """Adds the tokens that have accrued until `at`."""
        if at > self._at:
            self.level = min(self.limits.capacity, self.level + self.limits.rate * (at - self._at))
            self._at = at
        self._note_peak(self._at, self.level)

    def _note_peak(self, at: float, level: float) -> None:
        while self._peaks and self._peaks[-1][1] <= level:
            self._peaks.pop()
        if len(self._peaks) >= _MAX_PEAKS:
            # The second oldest takes the oldest balance, which only credits less.
            _, highest = self._peaks.popleft()
            later, _ = self._peaks.popleft()
            self._peaks.appendleft((later, highest))
        self._peaks.append((at, level))

    def change(self, limits: Limits, at: float) -> None:
        """Takes new limits at once; a balance above the new capacity is cut to it."""
        self.advance(at)
        if limits == self.limits:
            return
        self.limits = limits
        self.level = min(self.level, limits.capacity)
        self.bound.change(limits, at, limits.capacity - self.level)
        # Tokens granted under the old limits are not credited under the new ones.
        self._peaks.clear()
        self._note_peak(at, limits.capacity)

    def take(self, tokens: float, at: float) -> None:
        """Grants `tokens`, which the balance covers."""
        self.advance(at)
        self.bound.granted(tokens, at)
        self.level -= tokens

    def credit(self, tokens: float, granted_at: float, at: float) -> float:
        """Takes back tokens granted at `granted_at` and returns how many of them count."""
        self.advance(at)
        highest = next((level for time, level in self._peaks if time > granted_at), self.level)
        counted = max(0.0, min(tokens, self.limits.capacity - max(highest, self.level)))
        self.level += counted
        self.bound.credited(counted, at)
        # Later credits for the same time must see the balance that includes this one.
        raised = [(time, level + counted if time > granted_at else level) for time, level in self._peaks]
        self._peaks.clear()
        for time, level in raised:
            self._note_peak(time, level)
        self._note_peak(self._at, self.level)
        return counted
