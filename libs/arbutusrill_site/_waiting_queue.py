"""Priority queue of requests that wait for a place, which reserves KV cache memory and a slot on a decode engine."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from sortedcontainers import SortedKeyList

__all__ = ["Ticket", "WaitingQueue", "output_tokens_of"]

_TICKET_EXPIRY_S = 0.4  # time after the end of its last poll at which a ticket is dropped
_MAX_POLL_GAP_S = 0.03  # between two polls; after a longer gap a request does not block those behind it
_RATE_WINDOW_S = 4.0  # window over which released places are counted
_MIN_RELEASES_PER_S_PER_ENGINE = 1.0  # lower bound on the assumed release rate
_LARGEST_INTERVAL = 8  # one grant in this number goes to the largest request within its deadline
_DEADLINE_RETENTION_S = 20.0  # time for which a passed deadline is kept; a caller that retries later gets a new one


@dataclass(slots=True, eq=False)
class Ticket:
    """Queue entry of one request; times are on the monotonic clock.

    Requests within their deadline come first, by job size, except that one grant in `_LARGEST_INTERVAL` goes to the
    largest of them, so that large requests are served in a lasting overload. Late ones follow in order of arrival;
    those whose engine failed precede the others: their prefill ran and their stream has started.
    """

    number: int
    request: Any
    placement_deadline: float  # latest time at which getting a place still lets the first event meet its objective
    job_size: float  # mean KV cache tokens of the stream times its output tokens
    polled_until: float  # end of the current or last poll; the entry VM polls in short steps and keeps its position
    continued: bool = False  # whether it had a place on an engine that failed
    is_late: bool = False
    reply: Any = None  # the place that was granted and not yet delivered

    @property
    def rank(self) -> tuple[bool, float, int]:
        """Sort key within the requests that are late, or within those that are not."""
        return (not self.continued, 0.0, self.number) if self.is_late else (False, self.job_size, self.number)

    def is_polled(self, now: float) -> bool:
        """Whether the request is being polled for, or was until a moment ago."""
        return now - self.polled_until <= _MAX_POLL_GAP_S


class _ServiceQueue:
    """Tickets of one service in order."""

    __slots__ = ("by_deadline", "grant_count", "in_time", "late", "released_at")

    def __init__(self):
        self.in_time = SortedKeyList(key=lambda ticket: ticket.rank)
        self.late = SortedKeyList(key=lambda ticket: ticket.rank)
        self.by_deadline = SortedKeyList(key=lambda ticket: (ticket.placement_deadline, ticket.number))  # in time
        self.grant_count = 0
        self.released_at: deque[float] = deque()

    def move_late(self, now: float) -> None:
        """Moves the tickets whose deadline has passed to the late ones."""
        while self.by_deadline and self.by_deadline[0].placement_deadline <= now:
            ticket = self.by_deadline.pop(0)
            self.in_time.remove(ticket)
            ticket.is_late = True
            self.late.add(ticket)

    def add(self, ticket: Ticket) -> None:
        if ticket.is_late:
            self.late.add(ticket)
        else:
            self.in_time.add(ticket)
            self.by_deadline.add(ticket)

    def remove(self, ticket: Ticket) -> None:
        if ticket.is_late:
            self.late.discard(ticket)
        else:
            self.in_time.discard(ticket)
            self.by_deadline.discard(ticket)

    def in_order(self) -> Iterator[Ticket]:
        is_turn_of_largest = self.grant_count % _LARGEST_INTERVAL == _LARGEST_INTERVAL - 1
        return itertools.chain(reversed(self.in_time) if is_turn_of_largest else self.in_time, self.late)


class WaitingQueue:
    """Tickets by request ID, in the order of `Ticket`; each operation takes logarithmic time in the waiting requests.

    Not thread-safe: the caller holds a lock around each call. Times are on the monotonic clock.
    """

    def __init__(self):
        self._numbers = itertools.count(1)
        self._ticket_by_request: dict[str, Ticket] = {}
        self._queue_by_service: dict[str, _ServiceQueue] = {}
        self._polled_until_heap: list[tuple[float, int, Ticket]] = []
        self._deadline_by_content: dict[int, float] = {}  # monotonic time by content hash, in order of first arrival

    def __len__(self) -> int:
        return len(self._ticket_by_request)

    def _queue(self, service: str) -> _ServiceQueue:
        queue = self._queue_by_service.get(service)
        if queue is None:
            queue = self._queue_by_service[service] = _ServiceQueue()
        return queue

    def services(self) -> list[str]:
        """Returns the services for which requests have waited."""
        return list(self._queue_by_service)

    def resume(self, request: Any, now: float) -> Ticket | None:
        """Returns the ticket of a request that polls again, extended to the end of its poll; None if new."""
        ticket = self._ticket_by_request.get(request.request_id)
        if ticket is not None:
            ticket.request = request
            ticket.polled_until = now + request.wait_ms / 1000
        return ticket

    def enqueue(self, request: Any, now: float, first_event_s: float) -> Ticket:
        """Adds a request; `first_event_s` is the expected time from getting a place to the first event."""
        ticket = Ticket(
            next(self._numbers),
            request,
            self._objective_deadline(request, now) - first_event_s,
            _job_size(request),
            now + request.wait_ms / 1000,
            bool(request.continued),
        )
        ticket.is_late = now >= ticket.placement_deadline
        self._ticket_by_request[request.request_id] = ticket
        self._queue(request.service_name).add(ticket)
        heapq.heappush(self._polled_until_heap, (ticket.polled_until, ticket.number, ticket))
        return ticket

    def end_poll(self, ticket: Ticket, now: float) -> None:
        """Ends a poll without a place; removes a request that will not poll again because its `patience_ms` is over."""
        ticket.polled_until = now
        if ticket.request.wait_ms >= ticket.request.patience_ms:
            self.remove(ticket)

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

    def remove(self, ticket: Ticket) -> None:
        """Removes a request from the queue, with any place that was not delivered."""
        if self._ticket_by_request.get(ticket.request.request_id) is ticket:
            del self._ticket_by_request[ticket.request.request_id]
        self._queue(ticket.request.service_name).remove(ticket)

    def set_granted(self, ticket: Ticket, reply: Any) -> None:
        """Takes a request out of the order and keeps the place granted to it until the request polls again."""
        ticket.reply = reply
        queue = self._queue(ticket.request.service_name)
        queue.remove(ticket)
        queue.grant_count += not ticket.is_late

    def drop_expired(self, now: float) -> list[Ticket]:
        """Removes and returns the tickets whose last poll ended more than `_TICKET_EXPIRY_S` ago."""
        expired, heap = [], self._polled_until_heap
        while heap and now - heap[0][0] > _TICKET_EXPIRY_S:
            ticket = heapq.heappop(heap)[2]
            if self._ticket_by_request.get(ticket.request.request_id) is not ticket:
                continue
            if now - ticket.polled_until > _TICKET_EXPIRY_S:
                self.remove(ticket)
                expired.append(ticket)
            else:
                heapq.heappush(heap, (ticket.polled_until, ticket.number, ticket))
        return expired

    def polled(self, service: str, now: float) -> Iterator[Ticket]:
        """Yields the waiting tickets of a service in order, without those that are not polled for at the moment."""
        queue = self._queue(service)
        queue.move_late(now)
        for ticket in queue.in_order():
            if ticket.is_polled(now):
                yield ticket

    def record_release(self, service: str, now: float) -> None:
        """Records the release of a place, for the release rate of its service."""
        self._queue(service).released_at.append(now)

    def expected_wait_s(self, ticket: Ticket, now: float, engines: int) -> float:
        """Returns the expected seconds until the ticket gets a place, from its position and the release rate.

        The release rate is that of the last `_RATE_WINDOW_S`, at least `_MIN_RELEASES_PER_S_PER_ENGINE` per engine.
        """
        queue = self._queue(ticket.request.service_name)
        queue.move_late(now)
        while queue.released_at and now - queue.released_at[0] > _RATE_WINDOW_S:
            queue.released_at.popleft()
        rate = max(len(queue.released_at) / _RATE_WINDOW_S, _MIN_RELEASES_PER_S_PER_ENGINE * max(1, engines))
        ahead = queue.in_time.bisect_left(ticket) if not ticket.is_late else len(queue.in_time)
        if ticket.is_late:
            ahead += queue.late.bisect_left(ticket)
        return (ahead + 1) / rate


def output_tokens_of(request: Any) -> int:
    """Returns the KV cache tokens of a request that its output fills during the stream."""
    return max(0, request.memory_tokens - request.prompt_tokens)


def _job_size(request: Any) -> float:
    output = max(1, output_tokens_of(request))
    return (request.prompt_tokens + output / 2) * output
