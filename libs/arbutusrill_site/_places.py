"""Places on decode engines on the leader: long polls for the decisions of a `PlacementScheduler`.

A place is the reservation of one slot and of the KV cache memory of one request on a decode engine.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

from arbutusrill_base import Clock
from arbutusrill_wire import messages

from ._cold_limits import GrantLimit
from ._configuration import Engine
from ._placement import PlacementCounts, PlacementScheduler
from ._speeds import EngineSpeeds
from ._waiting_queue import Ticket

__all__ = ["PlaceLedger"]


class PlaceLedger:
    """Reserves memory and slots of decode engines, and assigns each prefill to the engine expected to end it first.

    Requests wait in a queue by rank, shortest job first; requests that can no longer meet their objective follow, and
    leave room for those that can. An event wakes only the requests that it grants a place.
    `backends` returns the records of the backend servers, `revision` a number that changes with them, `engine_of` the
    capacity of each engine of a service, `is_complete` whether all running engines have had time to announce
    themselves. `limit` bounds what cold engines get.
    """

    def __init__(
        self,
        clock: Clock,
        backends: Callable[[], list[Any]],
        engine_of: Callable[[str], Engine | None],
        is_complete: Callable[[], bool] = lambda: True,
        revision: Callable[[], int] | None = None,
        limit: GrantLimit | None = None,
    ):
        self._clock = clock
        self._engine_of = engine_of
        self._is_complete = is_complete
        self._lock = threading.Lock()
        self._scheduler = PlacementScheduler(backends, engine_of, revision, limit)
        self._granted_by_ticket: dict[Ticket, threading.Event] = {}  # of the requests in a long poll

    @property
    def speeds(self) -> EngineSpeeds:
        """Estimates of the speed of the engines."""
        return self._scheduler.speeds

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        with self._lock:
            return len(self._scheduler)

    @property
    def counts(self) -> PlacementCounts:
        """Decisions since the start of the process."""
        return self._scheduler.counts

    def begin_term(self, term: int) -> None:
        """Clears all places at the start of a term; the entry VMs report theirs again."""
        with self._lock:
            self._scheduler.begin_term(term)
            self._dispatch()

    def tick(self) -> None:
        """Grants places that have become free by the passing of time; called a few times a second."""
        with self._lock:
            self._dispatch()

    def place(self, request: Any) -> Any:
        """Waits for a place on a decode engine, at most `request.wait_ms`.

        A request that polls again keeps its position in the queue. A request whose expected wait exceeds
        `request.patience_ms` gets a position in the queue of an engine, or is refused at once with the wait expected.
        If no place was free in time, the reply holds only the expected wait. Returns an empty reply when the service
        has no engines.
        """
        if self._engine_of(request.service_name) is None:
            return messages.PlaceReply()
        with self._lock:
            now = self._clock.monotonic()
            ticket, expected_s = self._scheduler.poll(request, now)
            self._dispatch()
            reply = self._scheduler.take_reply(ticket)
            if reply is None and expected_s > request.patience_ms / 1000 and self._is_complete():
                reply = self._scheduler.refuse(ticket, expected_s, now)
            if reply is None and request.wait_ms <= 0:
                return self._end_poll(ticket, expected_s)
            if reply is not None:
                return reply
            granted = self._granted_by_ticket[ticket] = threading.Event()
        granted.wait(request.wait_ms / 1000)
        with self._lock:
            self._granted_by_ticket.pop(ticket, None)
            return self._scheduler.take_reply(ticket) or self._end_poll(ticket, expected_s)

    def _end_poll(self, ticket: Ticket, expected_s: float) -> Any:
        return self._scheduler.end_poll(ticket, self._clock.monotonic(), expected_s)

    def _dispatch(self) -> None:
        for ticket in self._scheduler.dispatch(self._clock.monotonic()):
            granted = self._granted_by_ticket.get(ticket)
            if granted is not None:
                granted.set()

    def free(self, freed: Any) -> None:
        """Frees a place; learns from the decoding times and the unresponsive engines that its holder reports."""
        with self._lock:
            self._scheduler.free(freed, self._clock.monotonic())
            self._dispatch()

    def reconcile_places(self, vm: str, incarnation: int, held: list[Any]) -> None:
        """Reconciles the places of an entry VM with its report."""
        with self._lock:
            if self._scheduler.reconcile(vm, incarnation, held, self._clock.monotonic()):
                self._dispatch()

    def free_places_of(self, vm: str, incarnation: int) -> None:
        """Frees all places of an entry VM that was dropped."""
        with self._lock:
            self._scheduler.free_holder(vm, incarnation)
            self._dispatch()
