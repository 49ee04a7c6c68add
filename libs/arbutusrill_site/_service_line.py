"""Waiting requests of one service in the order in which they get places."""

from __future__ import annotations

import itertools
import math
import operator
from collections.abc import Iterable, Iterator
from typing import Any

from sortedcontainers import SortedDict, SortedKeyList

from ._rate_window import RateWindow
from ._recent_arrivals import RecentArrivals
from ._return_schedule import ReturnSchedule
from ._served_shares import ServedShares
from ._speeds import nominal_stream_s

__all__ = ["ServiceLine"]

_RATE_WINDOW_S = 4.0  # window over which released places are counted for expected waits
_FORECAST_WINDOW_S = 1.0  # short, so that room is not kept for a burst that has ended
_MIN_HOLD_S = 0.5  # shortest mean time for which places are expected to be held
_FIRST_RELEASE_FRACTION = 0.7  # of that mean time, from the start of a load to its first release
_MEAN_HOLD_SAMPLES = 15  # window of the mean time for which places are held
_LARGEST_INTERVAL = 8  # one grant in this number goes to the largest request within its deadline
_STARVED_INTERVAL = 4  # one grant in this number goes to the line that is served least often, if it starves
_STARVED_TURN = 3  # which one of them, so that it is not the turn of the largest
# A line starves below this fraction of the places per request of the whole service.
_STARVED_FRACTION = 0.5
# Standard deviations of the places ahead of a new request that are added to them. Without them, half of the requests
# that are last in line when it is full get late.
_CAUTIOUS_DEVIATIONS = 1.0
_SORT_KEY = operator.attrgetter("sort_key")
_NUMBER = operator.attrgetter("number")


class _Line:
    """Tickets of one rank within their deadline, shortest job first."""

    __slots__ = ("grant_count", "tickets")

    def __init__(self):
        self.tickets = SortedKeyList(key=_SORT_KEY)
        self.grant_count = 0

    def in_order(self) -> Iterable[Any]:
        is_turn_of_largest = self.grant_count % _LARGEST_INTERVAL == _LARGEST_INTERVAL - 1
        return reversed(self.tickets) if is_turn_of_largest else self.tickets


class ServiceLine:
    """Tickets of one service.

    Those within their deadline come first, by rank; within a rank, the tickets of workspaces that have had far more
    places than others follow the rest. One grant in `_STARVED_INTERVAL` goes to a line that starves. Late ones follow.
    """

    def __init__(self):
        self.in_time_by_class: dict[tuple[int, bool], _Line] = SortedDict()
        self.late = SortedKeyList(key=_SORT_KEY)
        self.by_deadline = SortedKeyList(key=lambda ticket: (ticket.placement_deadline, ticket.number))  # in time
        self.expected_late = SortedKeyList(key=_NUMBER)  # tickets in time that will not be, by their expected wait
        self.grant_count = 0
        self.arrivals = RateWindow(_FORECAST_WINDOW_S)  # of requests that can be in time
        self._recent_arrivals = RecentArrivals(_FORECAST_WINDOW_S)  # those that were not refused, by rank and job size
        self.releases = RateWindow(_RATE_WINDOW_S)
        self.recent_releases = RateWindow(_FORECAST_WINDOW_S)
        self.late_grants = RateWindow(_RATE_WINDOW_S)
        self._load_began_at = float("-inf")  # first grant after a time without any
        self._active_at = float("-inf")  # latest grant or release
        self._held_count = 0  # places granted and not released since the load began
        self._mean_hold_s, self._hold_count = 0.0, 0  # of released places; a nominal time counts as the first
        self.returns = ReturnSchedule()
        self.served_classes = ServedShares()
        self.served_workspaces = ServedShares()

    def move_late(self, now: float) -> None:
        """Moves the tickets whose deadline has passed to the late ones."""
        while self.by_deadline and self.by_deadline[0].placement_deadline <= now:
            ticket = self.by_deadline.pop(0)
            self.in_time_by_class[ticket.line_class].tickets.remove(ticket)
            self.expected_late.discard(ticket)
            ticket.set_late(True)
            self.late.add(ticket)

    def add_new(self, ticket: Any, now: float) -> None:
        """Adds a ticket of a request that asks for the first time."""
        workspace = ticket.request.workspace
        ticket.set_above_share(bool(workspace) and self.served_workspaces.is_far_above(workspace))
        if workspace:
            self.served_workspaces.record_request(workspace)
        self.served_classes.record_request(ticket.line_class)
        if not ticket.is_late:
            self.arrivals.add(now)
            self._recent_arrivals.add(_position_in_time(ticket), now)
        self.add(ticket)

    def add(self, ticket: Any) -> None:
        """Adds a ticket."""
        if ticket.is_late:
            self.late.add(ticket)
            return
        line = self.in_time_by_class.get(ticket.line_class)
        if line is None:
            line = self.in_time_by_class[ticket.line_class] = _Line()
        line.tickets.add(ticket)
        self.by_deadline.add(ticket)

    def remove(self, ticket: Any) -> None:
        """Removes a ticket if it is there."""
        self.expected_late.discard(ticket)
        if ticket.is_late:
            self.late.discard(ticket)
        elif ticket.line_class in self.in_time_by_class:
            self.in_time_by_class[ticket.line_class].tickets.discard(ticket)
            self.by_deadline.discard(ticket)

    def record_refusal(self, ticket: Any) -> None:
        """Records that a ticket, already removed, was refused and so overtakes no other one."""
        self._recent_arrivals.discard(_position_in_time(ticket))

    def young_release_rate(self, now: float) -> float:
        """Returns the places expected to be released per second while a load is too young to show it, else 0."""
        if now - self._load_began_at >= _RATE_WINDOW_S:
            return 0.0
        return self._held_count / max(_MIN_HOLD_S, self._mean_hold_s)

    def first_release_s(self, now: float) -> float:
        """Returns the seconds until a load that began a moment ago is expected to release its first place."""
        return max(0.0, self._load_began_at + _FIRST_RELEASE_FRACTION * self._mean_hold_s - now)

    def record_release(self, now: float, held_s: float | None) -> None:
        """Records that a place was released after `held_s` seconds, None if it was in the queue of an engine."""
        self.releases.add(now)
        self.recent_releases.add(now)
        self._active_at = now
        if held_s is None:
            return
        self._held_count = max(0, self._held_count - 1)
        self._hold_count += 1
        self._mean_hold_s += (held_s - self._mean_hold_s) / min(self._hold_count, _MEAN_HOLD_SAMPLES)

    def record_grant(self, ticket: Any, now: float) -> None:
        """Records that a ticket, already removed, got a place."""
        if now - self._active_at >= _RATE_WINDOW_S:
            self._load_began_at, self._held_count = now, 0
        self._active_at = now
        self._held_count += 1
        if not self._hold_count:
            output_tokens = ticket.request.memory_tokens - ticket.request.prompt_tokens
            self._mean_hold_s, self._hold_count = nominal_stream_s(output_tokens), 1
        self.served_classes.record_place(ticket.line_class)
        if ticket.request.workspace:
            self.served_workspaces.record_place(ticket.request.workspace)
        if ticket.is_late:
            self.late_grants.add(now)
            return
        self.grant_count += 1
        self.in_time_by_class[ticket.line_class].grant_count += 1

    def in_order(self) -> Iterator[Any]:
        """Yields the tickets in the order in which they get places; none may be added or removed meanwhile."""
        if len(self.in_time_by_class) == 1:
            (line,) = self.in_time_by_class.values()
            return itertools.chain(line.in_order(), self.late)
        lines = [line.in_order() for _, line in self._lines_in_order()]
        return itertools.chain(*lines, self.late)

    def _lines_in_order(self) -> list[tuple[tuple[int, bool], _Line]]:
        lines = [(key, line) for key, line in self.in_time_by_class.items() if line.tickets]
        if len(lines) > 1 and self.grant_count % _STARVED_INTERVAL == _STARVED_TURN:
            least = min(lines[1:], key=lambda entry: self.served_classes.share(entry[0]))
            if self.served_classes.is_starved(least[0], _STARVED_FRACTION):
                lines.remove(least)
                lines.insert(0, least)
        return lines

    def position(self, ticket: Any) -> tuple[int, int]:
        """Returns the number of tickets in time and of late ones that are ahead of a ticket."""
        if ticket.is_late:
            return len(self.by_deadline), self.late.bisect_left(ticket)
        if len(self.in_time_by_class) == 1:
            return self.in_time_by_class[ticket.line_class].tickets.bisect_left(ticket), 0
        ahead = 0
        for key, line in self.in_time_by_class.items():
            if key == ticket.line_class:
                within = line.tickets.bisect_left(ticket)
                return min(ahead + within, self.places_if_starved(ticket)), 0
            ahead += len(line.tickets)
        return ahead, 0

    def places_if_starved(self, ticket: Any) -> float:
        """Returns the places until the turn of a ticket whose line starves, infinity if it does not."""
        if len(self.in_time_by_class) == 1 or not self.served_classes.is_starved(ticket.line_class, _STARVED_FRACTION):
            return math.inf
        return (self.in_time_by_class[ticket.line_class].tickets.bisect_left(ticket) + 1) * _STARVED_INTERVAL

    def cautious_wait_s(self, ticket: Any, ahead: int, rate: float, now: float) -> float:
        """Returns a wait in seconds that a new ticket in time rarely exceeds.

        `ahead` is its position, and `rate` the places per second. Requests that arrive and go ahead of it take their
        part of them; it is infinity if they take all. The turns of the largest and of a line that starves are taken
        into account.
        """
        arrivals, line_class = self._recent_arrivals, ticket.line_class
        tickets = self.in_time_by_class[line_class].tickets
        wait_s = _drained_s(ahead + 1, rate - arrivals.rate_ahead_of((line_class, ticket.job_size), now))
        if math.isfinite(starved_places := self.places_if_starved(ticket)):
            wait_s = min(wait_s, _drained_s(starved_places, rate))
        as_large = len(tickets) - tickets.bisect_key_left((ticket.job_size,))  # itself among them
        rate_of_line = rate - arrivals.rate_ahead_of((line_class,), now)
        return min(wait_s, _drained_s(as_large * _LARGEST_INTERVAL, rate_of_line))


def _drained_s(places: float, rate: float) -> float:
    """Returns the seconds in which `places`, a Poisson number, are rarely not yet granted at `rate` per second."""
    return (places + _CAUTIOUS_DEVIATIONS * math.sqrt(places)) / rate if rate > 0 else math.inf


def _position_in_time(ticket: Any) -> tuple[tuple[int, bool], float, int]:
    return ticket.line_class, ticket.job_size, ticket.number
