"""Priority queue of requests that wait for a place, which reserves KV cache memory and a slot on a decode engine."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from ._service_line import ServiceLine

__all__ = ["Ticket", "WaitingQueue", "output_tokens_of"]

_TICKET_EXPIRY_S = 0.4  # time after the end of its last poll at which a ticket is dropped
_MAX_POLL_GAP_S = 0.03  # between two polls; after a longer gap a request does not block those behind it
_MIN_RELEASES_PER_S_PER_ENGINE = 1.0  # lower bound on the assumed release rate
# Lower bound on the assumed rate of places for late requests, once `_MIN_RELEASES` places were released lately.
_MIN_LATE_PLACES_PER_S_PER_ENGINE = 0.25
_MIN_RELEASES = 8
_ATTEMPT_RETENTION_S = 20.0  # after the deadline of its first attempt, for which a request is remembered
_RESERVE_HORIZON_S = 1.0  # places are kept for the requests that are expected to arrive in this time
_RETURNED_RESERVE_FRACTION = 0.5  # of those places, which requests that return after a refusal leave free


@dataclass(slots=True, eq=False)
class Ticket:
    """Queue entry of one request; times are on the monotonic clock.

    Requests within their deadline come first, by rank and job size, except that some grants go to the largest of them
    and to ranks that starve (`ServiceLine`). Late ones follow by rank and in order of arrival; those whose engine
    failed precede the others, since their prefill ran and their stream has started, then those that were refused once.
    """

    number: int
    request: Any
    objective_deadline: float  # of the first event
    placement_deadline: float  # latest time at which getting a place still lets the first event meet its objective
    job_size: float  # mean KV cache tokens of the stream times its output tokens
    polled_until: float  # end of the current or last poll; the entry VM polls in short steps and keeps its position
    continued: bool = False  # whether it had a place on an engine that failed
    is_returned: bool = False  # whether an earlier attempt of its caller was refused
    is_late: bool = False
    is_reading_refused: bool = False  # whether it has waited because no engine could read its prompt
    reply: Any = None  # the place that was granted and not yet delivered
    rank: int = 0  # of its first poll, which the order must keep
    line_class: tuple[int, bool] = (0, False)  # rank, and whether it follows the others of its rank
    sort_key: tuple = ()  # within the requests that are late, or within those of its class that are not

    def set_late(self, is_late: bool) -> None:
        """Sets whether the request is late, while it is in no order."""
        self.is_late = is_late
        if is_late:
            self.sort_key = not self.continued, self.rank, not self.is_returned, self.number
        else:
            self.sort_key = self.job_size, self.number

    def set_above_share(self, is_above_share: bool) -> None:
        """Sets whether its workspace has had far more than its share of places, while it is in no order."""
        self.line_class = self.rank, is_above_share

    def is_polled(self, now: float) -> bool:
        """Whether the request is being polled for, or was until a moment ago."""
        return now - self.polled_until <= _MAX_POLL_GAP_S


@dataclass(slots=True)
class _Attempt:
    """First attempt of a request; `refused_number` is that of its ticket, 0 if it was not refused."""

    objective_deadline: float
    refused_number: int = 0


class WaitingQueue:
    """Tickets by request ID, in the order of `Ticket`; each operation takes logarithmic time in the waiting requests.

    Not thread-safe: the caller holds a lock around each call. Times are on the monotonic clock.
    """

    def __init__(self):
        self._numbers = itertools.count(1)
        self._ticket_by_request: dict[str, Ticket] = {}
        self._line_by_service: dict[str, ServiceLine] = {}
        self._polled_until_heap: list[tuple[float, int, Ticket]] = []
        self._attempt_by_content: dict[int, _Attempt] = {}  # by content hash, in order of first arrival

    def __len__(self) -> int:
        return len(self._ticket_by_request)

    def _line(self, service: str) -> ServiceLine:
        line = self._line_by_service.get(service)
        if line is None:
            line = self._line_by_service[service] = ServiceLine()
        return line

    def services(self) -> list[str]:
        """Returns the services for which requests have waited."""
        return list(self._line_by_service)

    def resume(self, request: Any, now: float) -> Ticket | None:
        """Returns the ticket of a request that polls again, extended to the end of its poll; None if new."""
        ticket = self._ticket_by_request.get(request.request_id)
        if ticket is not None:
            ticket.request = request
            ticket.polled_until = now + request.wait_ms / 1000
        return ticket

    def enqueue(self, request: Any, now: float, first_event_s: float) -> Ticket:
        """Adds a request; `first_event_s` is the expected time from getting a place to the first event.

        A request whose earlier attempt was refused gets the number of that attempt, and so keeps its turn.
        """
        first = self._first_attempt(request, now)
        ticket = Ticket(
            first.refused_number or next(self._numbers),
            request,
            first.objective_deadline,
            first.objective_deadline - first_event_s,
            _job_size(request),
            now + request.wait_ms / 1000,
            bool(request.continued),
            bool(first.refused_number),
            rank=request.rank,
        )
        ticket.set_late(now >= ticket.placement_deadline)
        self._ticket_by_request[request.request_id] = ticket
        self._line(request.service_name).add_new(ticket, now)
        heapq.heappush(self._polled_until_heap, (ticket.polled_until, next(self._numbers), ticket))
        return ticket

    def end_poll(self, ticket: Ticket, now: float) -> bool:
        """Ends a poll without a place; returns whether it was the last one, since `patience_ms` is over."""
        ticket.polled_until = now
        is_last = ticket.request.wait_ms >= ticket.request.patience_ms
        if is_last:
            self.refuse(ticket)
        return is_last

    def refuse(self, ticket: Ticket) -> None:
        """Removes a request that got no place; the next attempt of its caller keeps its turn."""
        self.remove(ticket)
        self._line(ticket.request.service_name).record_refusal(ticket)
        attempt = self._attempt_by_content.get(ticket.request.content)
        if attempt is not None:
            attempt.refused_number = ticket.number

    def _first_attempt(self, request: Any, now: float) -> _Attempt:
        """Returns the first attempt of a request, with the time by which it needs its first event.

        Attempts of one request are recognised by the hash of its content.
        """
        attempt = _Attempt(now + request.late_in_ms / 1000)
        if not request.content:
            return attempt
        while self._attempt_by_content:
            oldest = next(iter(self._attempt_by_content))
            if self._attempt_by_content[oldest].objective_deadline > now - _ATTEMPT_RETENTION_S:
                break
            del self._attempt_by_content[oldest]
        first = self._attempt_by_content.setdefault(request.content, attempt)
        first.objective_deadline = min(first.objective_deadline, attempt.objective_deadline)
        return first

    def remove(self, ticket: Ticket) -> None:
        """Removes a request from the queue, with any place that was not delivered."""
        if self._ticket_by_request.get(ticket.request.request_id) is ticket:
            del self._ticket_by_request[ticket.request.request_id]
        self._line(ticket.request.service_name).remove(ticket)

    def set_granted(self, ticket: Ticket, reply: Any, now: float) -> None:
        """Takes a request out of the order and keeps the place granted to it until the request polls again."""
        ticket.reply = reply
        line = self._line(ticket.request.service_name)
        line.remove(ticket)
        line.record_grant(ticket, now)
        attempt = self._attempt_by_content.get(ticket.request.content)
        if attempt is not None:  # another request with the same content is not one that returns
            attempt.refused_number = 0

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
                heapq.heappush(heap, (ticket.polled_until, next(self._numbers), ticket))
        return expired

    def polled(self, service: str, now: float) -> Iterator[Ticket]:
        """Yields the waiting tickets of a service in order, without those that are not polled for at the moment."""
        line = self._line(service)
        line.move_late(now)
        for ticket in line.in_order():
            if ticket.is_polled(now):
                yield ticket

    def record_release(self, service: str, now: float, held_s: float | None) -> None:
        """Records the release of a place for the release rate of its service.

        `held_s` is the time for which it was held, None if it was in the queue of an engine.
        """
        self._line(service).record_release(now, held_s)

    def expected_wait_s(self, ticket: Ticket, now: float, engines: int, is_new: bool = False) -> float:
        """Returns the expected seconds until the ticket gets a place, from its position and the release rate.

        A request that will be late by then waits behind the late ones too, which get what those in time leave, and
        behind those in time that will be late. Whether a new one will be in time is decided cautiously, with those that
        will overtake it, so that it is refused now and not later.
        """
        line = self._line(ticket.request.service_name)
        line.move_late(now)
        rate = self._release_rate(line, now, engines)
        in_time_ahead, late_ahead = line.position(ticket)
        if not ticket.is_late:
            rate_in_time = max(rate, line.young_release_rate(now))
            first_s = line.first_release_s(now)
            expected_s = longest_s = first_s + (in_time_ahead + 1) / rate_in_time
            if is_new and not ticket.continued:
                longest_s = first_s + line.cautious_wait_s(ticket, in_time_ahead, rate_in_time, now)
            line.expected_late.discard(ticket)
            if now + longest_s <= ticket.placement_deadline:
                return expected_s
            late_ahead = len(line.late)
            if not ticket.continued:  # which precedes those that will be late
                late_ahead += line.expected_late.bisect_left(ticket)
            line.expected_late.add(ticket)
        if ticket.continued:
            return (in_time_ahead + 1 + late_ahead) / rate
        return in_time_ahead / rate + (late_ahead + 1) / self._late_rate(line, now, engines)

    @staticmethod
    def _release_rate(line: ServiceLine, now: float, engines: int) -> float:
        return max(line.releases.rate(now), _MIN_RELEASES_PER_S_PER_ENGINE * max(1, engines))

    def _late_rate(self, line: ServiceLine, now: float, engines: int) -> float:
        """Returns the places per second that late requests are expected to get."""
        releases = line.releases.count(now)
        if releases < _MIN_RELEASES:
            return self._release_rate(line, now, engines)
        least = _MIN_LATE_PLACES_PER_S_PER_ENGINE * max(1, engines)
        return max(line.late_grants.rate(now), line.recent_releases.rate(now) - line.arrivals.rate(now), least)

    def reserve_from_late(self, ticket: Ticket, now: float) -> float:
        """Returns the places to leave free for requests that are expected to arrive in time within a moment.

        They are the arrivals beyond the releases in `_RESERVE_HORIZON_S`, and one standard deviation of the arrivals.
        """
        line = self._line(ticket.request.service_name)
        arrivals = line.arrivals.rate(now) * _RESERVE_HORIZON_S
        releases = line.recent_releases.rate(now) * _RESERVE_HORIZON_S
        reserve = max(0.0, arrivals - releases) + math.sqrt(arrivals)
        return reserve * (_RETURNED_RESERVE_FRACTION if ticket.is_returned else 1.0)

    def return_after_s(self, ticket: Ticket, now: float, engines: int) -> float:
        """Returns the seconds after which a refused caller is to return, spread over the time when room is expected."""
        line = self._line(ticket.request.service_name)
        late_rate = self._late_rate(line, now, engines)
        first_s = len(line.by_deadline) / self._release_rate(line, now, engines) + len(line.late) / late_rate
        return line.returns.next_s(now, late_rate, first_s, ticket.request.return_within_ms / 1000)


def output_tokens_of(request: Any) -> int:
    """Returns the KV cache tokens of a request that its output fills during the stream."""
    return max(0, request.memory_tokens - request.prompt_tokens)


def _job_size(request: Any) -> float:
    output = max(1, output_tokens_of(request))
    return (request.prompt_tokens + output / 2) * output
