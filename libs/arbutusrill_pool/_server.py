"""State of one backend server: assigned slots, prefill queue, health and estimated speed."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from ._health import Health

__all__ = ["ANNOUNCEMENT_TIMEOUT_S", "Server", "SpeedEstimate"]

ANNOUNCEMENT_TIMEOUT_S = 2.0  # four announcement periods; one or two announcements are lost when an entry VM fails
MAX_QUEUED_PREFILL_S = 0.05  # covers the round trip to the caller's entry VM
MAX_REPORT_AGE_S = 1.0  # longest time by which a load report lags behind
DEFAULT_PREFILL_TOKENS_PER_S = 10_000.0
DEFAULT_TOKEN_GAP_S = 0.02
DEFAULT_BATCH_SLOWDOWN = 0.03
_SMOOTHING_FACTOR = 0.2
_DECAY_FACTOR = 0.02  # per announcement; a half-life of 17 s at one announcement each 0.5 s
PREFILL_SPEED_STALE_S = 10.0  # after this long without a prefill the measurements are out of date
_MIN_SAMPLE_PREFILL_S = 0.015  # three times the overhead
_PREFILL_OVERHEAD_S = 0.005  # connection, parsing and response, without computation


def _smooth(old: float, measured: float) -> float:
    return old + _SMOOTHING_FACTOR * (measured - old)


@dataclass(slots=True)
class SpeedEstimate:
    """Estimated speed of a server: initially as announced, then smoothed over finished requests.

    `token_gap_s` is the time between tokens of a single stream, which grows by the fraction `batch_slowdown` with each
    further stream. `prefill_ratio` is the measured prefill time divided by the one that follows from the announcement.
    """

    prefill_tokens_per_s: float
    token_gap_s: float
    batch_slowdown: float = DEFAULT_BATCH_SLOWDOWN
    prefill_ratio: float = 1.0

    @classmethod
    def from_announcement(cls, announcement: Any) -> SpeedEstimate:
        """Returns the announced speed, with defaults for missing values."""
        return cls(
            announcement.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S,
            announcement.token_gap_s or DEFAULT_TOKEN_GAP_S,
        )

    def prefill_duration_s(self, tokens: float) -> float:
        """Returns the predicted duration of a prefill of `tokens` uncached tokens."""
        return _PREFILL_OVERHEAD_S + self.prefill_ratio * tokens / self.prefill_tokens_per_s

    def token_gap_at(self, batch: int) -> float:
        """Returns the predicted time between tokens with `batch` concurrent streams."""
        return self.token_gap_s * (1 + self.batch_slowdown * max(0, batch - 1))

    def observe_prefill(self, predicted_s: float, measured_s: float) -> None:
        """Updates `prefill_ratio` from the predicted and measured duration of a prefill, queueing included.

        Ignores short prompts: their duration is mostly the fixed overhead, which the ratio does not scale, so each one
        would raise the ratio further.
        """
        computing_s = predicted_s - _PREFILL_OVERHEAD_S
        if computing_s >= _MIN_SAMPLE_PREFILL_S and measured_s > 0:
            measured = min(10.0, max(0.1, self.prefill_ratio * (measured_s - _PREFILL_OVERHEAD_S) / computing_s))
            self.prefill_ratio = _smooth(self.prefill_ratio, measured)

    def decay_prefill_ratio(self) -> None:
        """Moves the estimated prefill speed towards the announced one.

        Otherwise a server once measured as slow would get no work, and its recovery would never be measured.
        """
        self.prefill_ratio += _DECAY_FACTOR * (1.0 - self.prefill_ratio)

    def observe_token_gap(self, measured_s: float, batch: float) -> None:
        """Updates the estimates from the mean time between tokens of a stream in a batch of `batch` streams."""
        if batch <= 1.5:  # mostly a single stream, which says nothing about the slowdown in a batch
            self.token_gap_s = _smooth(self.token_gap_s, measured_s)
            return
        slowdown = (measured_s / self.token_gap_s - 1) / (batch - 1)
        if slowdown < 0:
            self.token_gap_s = _smooth(self.token_gap_s, measured_s)
        self.batch_slowdown = _smooth(self.batch_slowdown, min(1.0, max(0.0, slowdown)))

    def max_batch_size(self, gap_s: float) -> int:
        """Returns the largest batch whose time between tokens is at most `gap_s`, 0 if a single stream exceeds it.

        >>> SpeedEstimate(1000.0, 0.01, 0.1).max_batch_size(0.021)
        12
        """
        if self.token_gap_s > gap_s:
            return 0
        if self.batch_slowdown <= 0:
            return 1 << 30  # no limit
        return 1 + math.floor((gap_s / self.token_gap_s - 1) / self.batch_slowdown + 1e-9)


@dataclass(slots=True)
class Server:
    """State of one server. Times are monotonic, in seconds.

    `assigned` is the number of slots taken by tickets, at most one for each ticket.
    """

    announcement: Any
    announced_at: float
    speed: SpeedEstimate
    health: Health = field(default_factory=Health)
    assigned: int = 0
    reported_untracked: int = 0  # requests in the load report beyond those assigned
    orphans: int = 0  # requests listed by the engine that have no ticket
    prefill_queue_ends_at: float = 0.0
    last_prefill_at: float = float("-inf")  # time of the last assignment of a prefill
    prefill_s_by_ticket: dict[str, float] = field(default_factory=dict)
    requests_read: bool = True  # False while a new owner still reads the engine's requests
    held_for_order: bool = False
    drained: bool = False  # by an operator's order
    next_cache_seq: int | None = None
    _assigned_peaks: tuple[float, int, int] = (0.0, 0, 0)  # period start, its peak of `assigned`, previous peak

    @property
    def id(self) -> str:
        """ID of the server."""
        return self.announcement.id

    @property
    def untracked(self) -> int:
        """Number of requests on the server that have no ticket with this owner."""
        return max(self.reported_untracked, self.orphans)

    def serves(self, stage: str) -> bool:
        """Returns whether the server's role includes `stage` (prefill, decode or plain)."""
        role = self.announcement.role
        return role == stage or (role == "both" and stage != "plain")

    def is_ready(self, now: float) -> bool:
        """Returns whether the server may be assigned new requests."""
        return (
            self.announcement.state == "ready"
            and now - self.announced_at < ANNOUNCEMENT_TIMEOUT_S
            and self.requests_read
            and not self.held_for_order
            and not self.drained
            and not self.health.is_ejected(now)
        )

    def capacity(self, now: float, gap_target_s: float) -> int:
        """Returns how many slots may be taken, given untracked requests, the token gap target and slow start.

        A server that misses the token gap target even with one stream keeps all its slots; the placement policy
        ranks it last.
        """
        slots = self.announcement.slots - self.untracked
        max_streams = self.speed.max_batch_size(gap_target_s) if self.announcement.role in ("decode", "both") else 0
        if max_streams:
            slots = min(slots, max_streams)
        fraction = self.health.usable_fraction(now)
        return slots if fraction >= 1.0 else max(1, int(slots * fraction))

    def take_slot(self) -> None:
        """Takes one slot. Raises `AssertionError` if none is free."""
        assert self.assigned < self.announcement.slots, f"server {self.id} has no free slot"
        self.count_slot()

    def count_slot(self) -> None:
        """Counts one slot as taken, without a limit.

        Slots assigned by an earlier owner can exceed the number of slots, if the server has lowered it since.
        """
        self.assigned += 1
        start, peak, previous_peak = self._assigned_peaks
        self._assigned_peaks = (start, max(peak, self.assigned), previous_peak)

    def release_slot(self) -> None:
        """Releases one slot. Raises `AssertionError` if none is taken."""
        assert self.assigned > 0, f"server {self.id} has no assigned slot to release"
        self.assigned -= 1

    def enqueue_prefill(self, ticket: str, duration_s: float, now: float) -> None:
        """Appends a prefill to the server's queue."""
        self.prefill_queue_ends_at = now + self.prefill_wait_s(now) + duration_s
        self.prefill_s_by_ticket[ticket] = duration_s
        self.last_prefill_at = now

    def end_prefill(self, ticket: str, now: float) -> bool:
        """Removes a prefill from the queue; returns False if it is not queued."""
        if self.prefill_s_by_ticket.pop(ticket, None) is None:
            return False
        self.prefill_queue_ends_at = min(self.prefill_queue_ends_at, now + sum(self.prefill_s_by_ticket.values()))
        return True

    def prefill_wait_s(self, now: float) -> float:
        """Returns the predicted queueing time of a new prefill.

        If the queue was predicted to be empty by now, the expected remaining time is a quarter of the overrun.
        """
        if not self.prefill_s_by_ticket:
            return 0.0
        remaining_s = self.prefill_queue_ends_at - now
        return remaining_s if remaining_s > 0 else -0.25 * remaining_s

    def accepts_prefill(self) -> bool:
        """Returns whether the prefill queue is short enough for another prefill.

        One prefill queued behind the running one keeps the server busy. A longer queue would take decode slots earlier
        than needed and fix the order of requests that the pool's queue could still change. Further prefills are
        accepted only while those in the queue take less than `MAX_QUEUED_PREFILL_S` in total.
        """
        queued = self.prefill_s_by_ticket
        return len(queued) < 2 or (
            len(queued) < self.announcement.slots and sum(queued.values()) < MAX_QUEUED_PREFILL_S
        )

    def update_announcement(self, announcement: Any, now: float) -> None:
        """Applies an announcement of the same incarnation.

        The load report lags behind, so only running requests beyond the peak of `assigned` in the last one to two
        periods of `MAX_REPORT_AGE_S` count as untracked.
        """
        self.announcement = announcement
        self.announced_at = now
        if now - self.last_prefill_at > PREFILL_SPEED_STALE_S:
            self.speed.decay_prefill_ratio()
        start, peak, previous_peak = self._assigned_peaks
        if now - start >= MAX_REPORT_AGE_S:
            start, peak, previous_peak = now, self.assigned, peak
            self._assigned_peaks = (start, peak, previous_peak)
        # One slot stays usable, or a wrong report would exclude the server for good.
        limit = announcement.slots - 1
        self.reported_untracked = max(0, min(limit, announcement.running - max(peak, previous_peak, self.assigned)))

    def load(self) -> int:
        """Returns the number of requests on the server: the reported or the assigned ones, whichever is more."""
        return max(self.assigned + self.untracked, self.announcement.running + self.announcement.queued)
