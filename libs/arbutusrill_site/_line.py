"""The line of requests that wait for a place on a model engine."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

__all__ = ["Line", "Ticket", "output_tokens_of"]

_SILENT_S = 0.4  # a request that has not asked again for longer has lost its turn
_GAP_S = 0.03  # between two calls for the same request; for longer it does not hold up the others
_RATE_S = 4.0  # over which the rate of places that come free is counted
_LEAST_RATE = 1.0  # places a second that are assumed at least of an engine
_REMEMBERED_S = 20.0  # a request that comes back later counts as a new one


@dataclass(slots=True)
class Ticket:
    """The turn of one request."""

    number: int
    service: str
    late_at: float  # a request that gets a place later misses its objective
    work: float  # expected memory of its engine multiplied by the length of its stream
    asked_at: float  # when the entry VM last asked; it asks again in short steps and keeps its turn
    continued: bool = False  # whether it had a place before

    def order(self, now: float) -> tuple[bool, bool, float, int]:
        """Sort key in the line: the shortest first, then as they came those that have missed their objective.

        Of these, requests whose engine has failed them come first: their prompt was read and their stream has begun.
        """
        late = now >= self.late_at
        return late, late and not self.continued, 0.0 if late else self.work, self.number


class Line:
    """Tickets by request; the caller holds a lock around each call. Times are on the monotonic clock."""

    def __init__(self):
        self._numbers = itertools.count(1)
        self._ticket_by_request: dict[str, Ticket] = {}
        self._freed_at: deque[float] = deque()
        self._late_at_by_content: dict[int, float] = {}  # in the order in which they were first asked for

    def __len__(self) -> int:
        return len(self._ticket_by_request)

    def resume(self, request: Any, now: float) -> Ticket | None:
        """Returns the ticket of a request that asks again, None for a new one."""
        ticket = self._ticket_by_request.get(request.request_id)
        if ticket is not None:
            ticket.asked_at = now + request.wait_ms / 1000
        return ticket

    def join(self, request: Any, now: float, first_event_s: float) -> Ticket:
        """Returns the ticket of a new request; `first_event_s` is the expected time from a place to the first event."""
        ticket = Ticket(
            next(self._numbers),
            request.service_name,
            self._late_at(request, now) - first_event_s,
            _work(request),
            now + request.wait_ms / 1000,
            bool(request.continued),
        )
        self._ticket_by_request[request.request_id] = ticket
        return ticket

    def pause(self, request: Any, ticket: Ticket, now: float) -> None:
        """Ends a wait without a place; a request whose patience has ended leaves the line."""
        ticket.asked_at = now
        if request.wait_ms >= request.patience_ms:
            self.leave(request)

    def _late_at(self, request: Any, now: float) -> float:
        """Returns when a request misses its objective, counted from its caller's first try."""
        late_at = now + request.late_in_ms / 1000
        if not request.content:
            return late_at
        while self._late_at_by_content:
            oldest = next(iter(self._late_at_by_content))
            if self._late_at_by_content[oldest] > now - _REMEMBERED_S:
                break
            del self._late_at_by_content[oldest]
        return min(late_at, self._late_at_by_content.setdefault(request.content, late_at))

    def leave(self, request: Any) -> None:
        """Takes a request out of the line."""
        self._ticket_by_request.pop(request.request_id, None)

    def drop_silent(self, now: float) -> None:
        """Takes out of the line what has not asked again."""
        silent = [key for key, ticket in self._ticket_by_request.items() if now - ticket.asked_at > _SILENT_S]
        for key in silent:
            del self._ticket_by_request[key]

    def is_first(self, ticket: Ticket, now: float) -> bool:
        """Whether nobody is ahead who waits or is about to ask again."""
        return not any(now - other.asked_at <= _GAP_S for other in self._ahead(ticket, now))

    def _ahead(self, ticket: Ticket, now: float) -> Iterator[Ticket]:
        mine = ticket.order(now)
        for other in self._ticket_by_request.values():
            if other.service == ticket.service and other.order(now) < mine:
                yield other

    def note_freed(self, now: float) -> None:
        """Notes that a place has come free."""
        self._freed_at.append(now)

    def expected_wait_s(self, ticket: Ticket, now: float, engines: int) -> float:
        """Returns the time until the line ahead has got its places.

        It follows from the rate at which places came free lately, and at the start from the number of engines.
        """
        while self._freed_at and now - self._freed_at[0] > _RATE_S:
            self._freed_at.popleft()
        rate = max(len(self._freed_at) / _RATE_S, _LEAST_RATE * max(1, engines))
        return (sum(1 for _ in self._ahead(ticket, now)) + 1) / rate


def output_tokens_of(request: Any) -> int:
    """Returns the part of a request's memory that is filled while its stream lasts."""
    return max(0, request.memory_tokens - request.prompt_tokens)


def _work(request: Any) -> float:
    output = max(1, output_tokens_of(request))
    return (request.prompt_tokens + output / 2) * output
