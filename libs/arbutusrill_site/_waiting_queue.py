"""Priority queue of requests that wait for a place, which reserves KV cache memory and a slot on a decode engine."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

__all__ = ["Ticket", "WaitingQueue", "output_tokens_of"]

_TICKET_EXPIRY_S = 0.4  # time after the end of its last poll at which a ticket is dropped
_MAX_POLL_GAP_S = 0.03  # between two polls; after a longer gap a request does not block those behind it
_RATE_WINDOW_S = 4.0  # window over which released places are counted
_MIN_RELEASES_PER_S_PER_ENGINE = 1.0  # lower bound on the assumed release rate
_DEADLINE_RETENTION_S = 20.0  # time for which a passed deadline is kept; a caller that retries later gets a new one


@dataclass(slots=True)
class Ticket:
    """Queue entry of one request; times are on the monotonic clock."""

    number: int
    service: str
    placement_deadline: float  # latest time at which getting a place still lets the first event meet its objective
    job_size: float  # mean KV cache tokens of the stream times its output tokens
    polled_until: float  # end of the current or last poll; the entry VM polls in short steps and keeps its position
    continued: bool = False  # whether it had a place on an engine that failed

    def sort_key(self, now: float) -> tuple[bool, bool, float, int]:
        """Returns the sort key: requests within their deadline by job size, then late ones in order of arrival.

        Late requests whose engine failed precede other late ones: their prefill ran and their stream has started.
        """
        late = now >= self.placement_deadline
        return late, late and not self.continued, 0.0 if late else self.job_size, self.number


class WaitingQueue:
    """Tickets by request ID, served in the order of `Ticket.sort_key`.

    Not thread-safe: the caller holds a lock around each call. Times are on the monotonic clock.
    """

    def __init__(self):
        self._numbers = itertools.count(1)
        self._ticket_by_request: dict[str, Ticket] = {}
        self._released_at: deque[float] = deque()
        self._deadline_by_content: dict[int, float] = {}  # monotonic time by content hash, in order of first arrival

    def __len__(self) -> int:
        return len(self._ticket_by_request)

    def resume(self, request: Any, now: float) -> Ticket | None:
        """Returns the ticket of a request that polls again, extended to the end of its poll; None if new."""
        ticket = self._ticket_by_request.get(request.request_id)
        if ticket is not None:
            ticket.polled_until = now + request.wait_ms / 1000
        return ticket

    def enqueue(self, request: Any, now: float, first_event_s: float) -> Ticket:
        """Adds a request; `first_event_s` is the expected time from getting a place to the first event."""
        ticket = Ticket(
            next(self._numbers),
            request.service_name,
            self._objective_deadline(request, now) - first_event_s,
            _job_size(request),
            now + request.wait_ms / 1000,
            bool(request.continued),
        )
        self._ticket_by_request[request.request_id] = ticket
        return ticket

    def end_poll(self, request: Any, ticket: Ticket, now: float) -> None:
        """Ends a poll without a place; removes a request that will not poll again because its `patience_ms` is over."""
        ticket.polled_until = now
        if request.wait_ms >= request.patience_ms:
            self.remove(request)

    def _objective_deadline(self, request: Any, now: float) -> float:
        """Returns the time by which a request needs its first event, counted from its caller's first attempt.

        Attempts of one request are recognised by the hash of its content.
        """
        deadline = now + request.late_in_ms / 1000
        if not request.content:
            return deadline
        while self._deadline_by_content:
            oldest = next(iter(self._deadline_by_content))
            if self._deadline_by_content[oldest] > now - _DEADLINE_RETENTION_S:
                break
            del self._deadline_by_content[oldest]
        return min(deadline, self._deadline_by_content.setdefault(request.content, deadline))

    def remove(self, request: Any) -> None:
        """Removes a request from the queue."""
        self._ticket_by_request.pop(request.request_id, None)

    def drop_expired(self, now: float) -> None:
        """Removes the tickets whose last poll ended more than `_TICKET_EXPIRY_S` ago."""
        expired = [
            key for key, ticket in self._ticket_by_request.items() if now - ticket.polled_until > _TICKET_EXPIRY_S
        ]
        for key in expired:
            del self._ticket_by_request[key]

    def is_first(self, ticket: Ticket, now: float) -> bool:
        """Whether no ticket ahead of this one is being polled or was polled within `_MAX_POLL_GAP_S`."""
        return not any(now - other.polled_until <= _MAX_POLL_GAP_S for other in self._tickets_ahead(ticket, now))

    def _tickets_ahead(self, ticket: Ticket, now: float) -> Iterator[Ticket]:
        own_key = ticket.sort_key(now)
        for other in self._ticket_by_request.values():
            if other.service == ticket.service and other.sort_key(now) < own_key:
                yield other

    def record_release(self, now: float) -> None:
        """Records the release of a place of any service, for the release rate."""
        self._released_at.append(now)

    def expected_wait_s(self, ticket: Ticket, now: float, engines: int) -> float:
        """Returns the expected seconds until the ticket gets a place, from its position and the release rate.

        The release rate is that of the last `_RATE_WINDOW_S`, at least `_MIN_RELEASES_PER_S_PER_ENGINE` per engine.
        """
        while self._released_at and now - self._released_at[0] > _RATE_WINDOW_S:
            self._released_at.popleft()
        rate = max(len(self._released_at) / _RATE_WINDOW_S, _MIN_RELEASES_PER_S_PER_ENGINE * max(1, engines))
        return (sum(1 for _ in self._tickets_ahead(ticket, now)) + 1) / rate


def output_tokens_of(request: Any) -> int:
    """Returns the KV cache tokens of a request that its output fills during the stream."""
    return max(0, request.memory_tokens - request.prompt_tokens)


def _job_size(request: Any) -> float:
    output = max(1, output_tokens_of(request))
    return (request.prompt_tokens + output / 2) * output
