"""One backend server as its pool's owner sees it: holders, prefill queue, learnt speed."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from ._health import Health

__all__ = ["SILENT_S", "Server", "Speed"]

SILENT_S = 2.0  # four missed announcements; one or two get lost when an entry VM fails
PREFILL_AHEAD_S = 0.05  # queued prefill work that hides the round trip to the caller's entry VM
REPORT_LAG_S = 1.0  # a load report can be this old
DEFAULT_PREFILL_TOKENS_PER_S = 10_000.0
DEFAULT_TOKEN_GAP_S = 0.02
DEFAULT_BATCH_SLOWDOWN = 0.03
_LEARNING_RATE = 0.2
_RELAXING_RATE = 0.02  # of each announcement; half of what was learnt is gone after 17 s
UNUSED_S = 10.0  # a server without a prefill for this long is known only by old measurements
_LEARNT_PREFILL_S = 0.015  # three times the fixed part
_FIXED_PREFILL_S = 0.005  # connection, parsing and answer of a prefill without any computing


def _mix(old: float, seen: float) -> float:
    return old + _LEARNING_RATE * (seen - old)


@dataclass(slots=True)
class Speed:
    """Speed of a server: announced at first, then learnt from finished requests. Times are in seconds."""

    prefill_tokens_per_s: float
    token_gap_s: float
    batch_slowdown: float = DEFAULT_BATCH_SLOWDOWN
    prefill_ratio: float = 1.0

    @classmethod
    def announced(cls, announcement: Any) -> Speed:
        """Returns the speed that a server claims, with defaults for what it does not say."""
        return cls(
            announcement.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S,
            announcement.token_gap_s or DEFAULT_TOKEN_GAP_S,
        )

    def prefill_s(self, tokens: float) -> float:
        """Returns the predicted duration of a prefill of that many tokens that are not cached."""
        return _FIXED_PREFILL_S + self.prefill_ratio * tokens / self.prefill_tokens_per_s

    def gap_s(self, batch: int) -> float:
        """Returns the predicted time between tokens with `batch` streams at once."""
        return self.token_gap_s * (1 + self.batch_slowdown * max(0, batch - 1))

    def learn_prefill(self, predicted_s: float, seen_s: float) -> None:
        """Takes in how long a prefill took, queue included, against its prediction.

        A short prompt tells nothing: its time is mostly the fixed part, which the ratio does not scale, so that
        the ratio would grow with each one.
        """
        computing_s = predicted_s - _FIXED_PREFILL_S
        if computing_s >= _LEARNT_PREFILL_S and seen_s > 0:
            seen = min(10.0, max(0.1, self.prefill_ratio * (seen_s - _FIXED_PREFILL_S) / computing_s))
            self.prefill_ratio = _mix(self.prefill_ratio, seen)

    def relax(self) -> None:
        """Moves a prefill speed learnt long ago towards the announced one.

        Without it a server that was once learnt to be slow would get no work and never show that it has recovered.
        """
        self.prefill_ratio += _RELAXING_RATE * (1.0 - self.prefill_ratio)

    def learn_gap(self, seen_s: float, batch: float) -> None:
        """Takes in the mean time between the tokens of a stream that ran among `batch` streams."""
        if batch <= 1.5:
            self.token_gap_s = _mix(self.token_gap_s, seen_s)
            return
        slowdown = (seen_s / self.token_gap_s - 1) / (batch - 1)
        if slowdown < 0:
            self.token_gap_s = _mix(self.token_gap_s, seen_s)
        self.batch_slowdown = _mix(self.batch_slowdown, min(1.0, max(0.0, slowdown)))

    def batch_within(self, gap_s: float) -> int:
        """Returns how many streams keep the time between tokens within `gap_s`; 0 when none does.

        >>> Speed(1000.0, 0.01, 0.1).batch_within(0.021)
        12
        """
        if self.token_gap_s > gap_s:
            return 0
        if self.batch_slowdown <= 0:
            return 1 << 30
        return 1 + math.floor((gap_s / self.token_gap_s - 1) / self.batch_slowdown + 1e-9)


@dataclass(slots=True)
class Server:
    """State of one server. `assigned` counts the tickets that hold a place, at most one each."""

    announcement: Any
    heard_at: float
    speed: Speed
    health: Health = field(default_factory=Health)
    assigned: int = 0
    reported_foreign: int = 0  # requests beyond those assigned, by the load report
    orphans: int = 0  # requests that the engine listed and that no ticket accounts for
    busy_until: float = 0.0
    prefilled_at: float = float("-inf")  # when its last prefill was assigned
    prefill_s_by_ticket: dict[str, float] = field(default_factory=dict)
    checked: bool = True  # its requests have been read since this owner took over
    order_running: bool = False
    drained: bool = False  # by an order of an operator
    next_cache_seq: int | None = None
    _peaks: tuple[float, int, int] = (0.0, 0, 0)  # start of this period, its peak of `assigned`, that before

    @property
    def id(self) -> str:
        """Name of the server."""
        return self.announcement.id

    @property
    def foreign(self) -> int:
        """Number of requests on the server that no ticket of this owner accounts for."""
        return max(self.reported_foreign, self.orphans)

    def serves(self, stage: str) -> bool:
        """Says whether the server's role includes `stage` (prefill, decode or plain)."""
        role = self.announcement.role
        return role == stage or (role == "both" and stage != "plain")

    def ready(self, now: float) -> bool:
        """Says whether the server may get new work."""
        return (
            self.announcement.state == "ready"
            and now - self.heard_at < SILENT_S
            and self.checked
            and not self.order_running
            and not self.drained
            and not self.health.ejected(now)
        )

    def capacity(self, now: float, gap_target_s: float) -> int:
        """Returns the number of places that may be taken: slots, slow start and the token gap in mind.

        A server that misses the token gap target even with one stream keeps all its slots; the placement
        takes it last.
        """
        slots = self.announcement.slots - self.foreign
        within = self.speed.batch_within(gap_target_s) if self.announcement.role in ("decode", "both") else 0
        if within:
            slots = min(slots, within)
        part = self.health.usable_part(now)
        return slots if part >= 1.0 else max(1, int(slots * part))

    def join(self) -> None:
        """Takes one place; the caller has checked that one is free."""
        assert self.assigned < self.announcement.slots, f"server {self.id} has no slot left to give out"
        self.adopt()

    def adopt(self) -> None:
        """Counts a place that an earlier owner gave out, which can exceed a number of slots lowered since."""
        self.assigned += 1
        start, peak, before = self._peaks
        self._peaks = (start, max(peak, self.assigned), before)

    def leave(self) -> None:
        """Gives one place back."""
        assert self.assigned > 0, f"server {self.id} has no place that could be given back"
        self.assigned -= 1

    def begin_prefill(self, ticket: str, duration_s: float, now: float) -> None:
        """Adds a prefill to the end of the server's queue."""
        self.busy_until = now + self.wait_s(now) + duration_s
        self.prefill_s_by_ticket[ticket] = duration_s
        self.prefilled_at = now

    def end_prefill(self, ticket: str, now: float) -> bool:
        """Removes a prefill from the queue; returns False when it was not there."""
        if self.prefill_s_by_ticket.pop(ticket, None) is None:
            return False
        self.busy_until = min(self.busy_until, now + sum(self.prefill_s_by_ticket.values()))
        return True

    def wait_s(self, now: float) -> float:
        """Returns how long a new prefill would wait for those before it.

        A queue that should have ended by now is late; the longer it is late, the longer it is expected to stay.
        """
        if not self.prefill_s_by_ticket:
            return 0.0
        left = self.busy_until - now
        return left if left > 0 else -0.25 * left

    def takes_prefill(self) -> bool:
        """Says whether the prefill queue is short enough for one more.

        One prefill ahead keeps the server busy; a longer queue would only hold decode slots early and take the
        order of requests out of the pool owner's hands.
        """
        queued = self.prefill_s_by_ticket
        return len(queued) < 2 or (len(queued) < self.announcement.slots and sum(queued.values()) < PREFILL_AHEAD_S)

    def report(self, announcement: Any, now: float) -> None:
        """Takes in an announcement of the same run.

        The load report lags, so that only what exceeds the most that was assigned in the last
        `REPORT_LAG_S` to twice that counts as work of others.
        """
        self.announcement = announcement
        self.heard_at = now
        if now - self.prefilled_at > UNUSED_S:
            self.speed.relax()
        start, peak, before = self._peaks
        if now - start >= REPORT_LAG_S:
            start, peak, before = now, self.assigned, peak
            self._peaks = (start, peak, before)
        limit = announcement.slots - 1  # one slot stays, so that a wrong report cannot shut a server out for good
        self.reported_foreign = max(0, min(limit, announcement.running - max(peak, before, self.assigned)))

    def load(self) -> int:
        """Returns the requests on the server: the last report, or what was assigned if that is more."""
        return max(self.assigned + self.foreign, self.announcement.running + self.announcement.queued)
