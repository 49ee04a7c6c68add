"""Decisions on places: which waiting request gets which engine, and which request is refused.

Nothing here has a thread, a lock or a clock of its own: events come in with their time, on the monotonic clock.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_base import EventLog
from arbutusrill_wire import messages

from ._cold_limits import GrantLimit
from ._configuration import Engine
from ._engine_loads import EngineLoads, Place
from ._late_room import LateRoom
from ._prompt_reading import PromptReading, Reading
from ._speeds import EngineSpeeds
from ._waiting_queue import Ticket, WaitingQueue, output_tokens_of

__all__ = ["PlacementCounts", "PlacementScheduler"]

_MAX_QUEUED_PER_ENGINE = 1  # requests placed beyond its usable memory, which wait in the engine's own queue
_UNREPORTED_PLACE_TTL_S = 1.0  # a place that its holder does not report is freed after this age
_MAX_ENGINES_EXAMINED = 8  # decode engines with room that are examined for the reading of one prompt
_MAX_LATE_MODELS = 4  # models of late requests for which a smaller request than the first is looked for
_MAX_TICKETS_EXAMINED = 32  # waiting requests that are examined while no engine can read the prompt of the first
# Below this fraction of the room of all engines, a prompt that no engine can read without pauses is read where it
# pauses the fewest streams: a refusal would leave its caller without any answer although engines are free.
_SPARE_FRACTION = 0.55
_events = EventLog("places")


@dataclass(slots=True)
class PlacementCounts:
    """Decisions since the start of the process."""

    late_places: int = 0
    refused_by_rank: dict[int, int] = field(default_factory=dict)
    local_prefills_refused: int = 0  # requests that waited since no engine could read their prompt


class PlacementScheduler:
    """Places requests on decode engines, shortest job first, and assigns their prefills.

    Each event (a request that polls, a released place, a report) is followed by one pass over the waiting requests,
    which ends at the first one without an engine. A late request gets a place only where room is left for those that
    are expected in time. A place granted between two polls of its request waits for the next one. `engine_of` returns
    the capacity of each engine of a service, None for a service without engines.; `limit`
    bounds what cold engines get.
    """

    def __init__(
        self,
        backends: Callable[[], list[Any]],
        engine_of: Callable[[str], Engine | None],
        revision: Callable[[], int] | None = None,
        limit: GrantLimit | None = None,
    ):
        self._engine_of = engine_of
        self.speeds = EngineSpeeds()
        self._loads = EngineLoads(backends, self.speeds, revision, limit)
        self._reading = PromptReading(self._loads, self.speeds)
        self._waiting_queue = WaitingQueue()
        self._late_room = LateRoom(self._loads, self._waiting_queue)
        self.counts = PlacementCounts()
        self._place_numbers = itertools.count(1)
        # The holder is an entry VM and its incarnation; the inner key is the place number.
        self._places_by_holder: dict[tuple[str, int], dict[int, Place]] = {}

    def __len__(self) -> int:
        return len(self._waiting_queue)

    def begin_term(self, term: int) -> None:
        """Clears all places at the start of a term; the entry VMs report theirs again."""
        self._places_by_holder.clear()
        self._loads.clear()
        # Numbers from different terms must not collide, since places of the previous term are reported again.
        self._place_numbers = itertools.count(term * 2**40 + 1)

    def poll(self, request: Any, now: float) -> tuple[Ticket, float]:
        """Adds a request to the queue, or keeps its position if it polls again; returns its ticket and expected wait.

        Learns from new requests and from the prefill times in the call.
        """
        self._loads.refresh(now)
        self._drop_expired(now)
        for measured in request.prefills or []:
            self.speeds.learn_prefill(measured.id, measured.took_s, measured.units, now)
        ticket = self._waiting_queue.resume(request, now)
        is_new = ticket is None
        if is_new:
            capacity = self._engine_of(request.service_name)
            self.speeds.learn_request(
                request.service_name, request.prompt_tokens, output_tokens_of(request), capacity.kv_tokens
            )
            ticket = self._waiting_queue.enqueue(request, now, self._reading.first_event_s(request, now))
        engines = self._loads.decode_count(request.service_name)
        expected_s = self._waiting_queue.expected_wait_s(ticket, now, engines, is_new)
        if ticket.is_returned:  # it was refused once and waits to the end of its patience
            expected_s = min(expected_s, request.patience_ms / 1000)
        return ticket, expected_s

    def take_reply(self, ticket: Ticket) -> Any | None:
        """Returns the place granted to a request and removes its ticket; None if it has none."""
        if ticket.reply is not None:
            self._waiting_queue.remove(ticket)
        return ticket.reply

    def end_poll(self, ticket: Ticket, now: float, expected_s: float = 0.0) -> Any:
        """Ends a poll without a place; returns the reply, which is final once the patience of the caller has ended."""
        if self._waiting_queue.end_poll(ticket, now):
            return self._refusal(ticket, expected_s, now)
        return messages.PlaceReply(wait_ms=int(expected_s * 1000))

    def refuse(self, ticket: Ticket, expected_s: float, now: float) -> Any:
        """Removes a request that would wait for too long; returns a position in an engine's own queue or a refusal."""
        queued = self._reserve_queue_position(ticket.request, now)
        if queued is not None:
            self._waiting_queue.remove(ticket)
            return queued
        self._waiting_queue.refuse(ticket)
        return self._refusal(ticket, expected_s, now)

    def _refusal(self, ticket: Ticket, expected_s: float, now: float) -> Any:
        request = ticket.request
        after_s = self._waiting_queue.return_after_s(ticket, now, self._loads.decode_count(request.service_name))
        self.counts.refused_by_rank[ticket.rank] = self.counts.refused_by_rank.get(ticket.rank, 0) + 1
        _events.emit(
            "place_refused",
            request=request.request_id,
            vm_of=request.vm,
            rank=ticket.rank,
            late=ticket.is_late,
            returned=ticket.is_returned,
            expected_ms=round(expected_s * 1000),
            return_ms=round(after_s * 1000),
            waiting=len(self._waiting_queue),
        )
        return messages.PlaceReply(wait_ms=int(after_s * 1000), refused=True)

    def dispatch(self, now: float) -> list[Ticket]:
        """Grants places to waiting requests as long as the first one in order fits; returns their tickets."""
        self._loads.refresh(now)
        granted = []
        for service in self._waiting_queue.services():
            capacity = self._engine_of(service)
            if capacity is not None:
                granted += self._dispatch_service(service, capacity, now)
        return granted

    def _dispatch_service(self, service: str, capacity: Engine, now: float) -> list[Ticket]:
        granted = []
        while (choice := self._next_choice(service, capacity, now)) is not None:
            ticket, decode, reading = choice
            self._waiting_queue.set_granted(ticket, self._reserve_place(ticket, decode, reading, now), now)
            granted.append(ticket)
        return granted

    def _next_choice(self, service: str, capacity: Engine, now: float) -> tuple[Ticket, Any, Reading] | None:
        """Returns the next request to get a place, with its engines; None if there is none.

        While no engine can read the prompt of the first one, those that need no prefill may go ahead of it. A late one
        that is too large for the room on any engine keeps no other late one from it.
        """
        is_reading_refused = False
        smallest_by_model: dict[str, int] = {}  # sizes of late requests that fit on no engine
        for ticket in itertools.islice(self._waiting_queue.polled(service, now), _MAX_TICKETS_EXAMINED):
            if is_reading_refused and ticket.request.prefill:
                continue
            if ticket.request.memory_tokens >= smallest_by_model.get(ticket.request.model, math.inf):
                continue
            if ticket.is_late and not self._late_room.allows(ticket, capacity, now):
                return None
            decodes = self._loads.decode_with_room(ticket.request, capacity, now)
            choice = self._reading.choose(ticket, itertools.islice(decodes, _MAX_ENGINES_EXAMINED), now)
            if choice is None and ticket.is_late and len(smallest_by_model) < _MAX_LATE_MODELS:
                smallest_by_model[ticket.request.model] = ticket.request.memory_tokens
                continue
            if choice is None:
                return None
            decode, reading = choice
            if reading is None and self._loads.used_fraction(service, capacity) < _SPARE_FRACTION:
                decodes = self._loads.decode_with_room(ticket.request, capacity, now)
                decode, reading = self._reading.choose_spare(decodes, now)
            if reading is not None:
                return ticket, decode, reading
            is_reading_refused = True
            self._record_reading_refused(ticket, now)
        return None

    def _record_reading_refused(self, ticket: Ticket, now: float) -> None:
        if ticket.is_reading_refused:
            return
        ticket.is_reading_refused = True
        self.counts.local_prefills_refused += 1
        _events.emit(
            "prompt_waits",
            request=ticket.request.request_id,
            rank=ticket.rank,
            late=ticket.is_late,
            spare_ms=round((ticket.placement_deadline - now) * 1000),
        )

    def _reserve_place(self, ticket: Ticket, decode: Any, reading: Reading, now: float) -> Any:
        request, number = ticket.request, next(self._place_numbers)
        self._reading.record(request, decode.id, reading, now)
        place = Place.for_request(request, decode.id, now, ticket.is_late)
        self._add_place((request.vm, request.incarnation), number, place)
        self._late_room.record_grant(request.service_name)
        self.counts.late_places += ticket.is_late
        _events.emit(
            "placed",
            request=request.request_id,
            vm_of=request.vm,
            decode=decode.id,
            prefill=reading.prefill,
            local_reason=reading.reason,
            rank=ticket.rank,
            late=ticket.is_late,
            returned=ticket.is_returned,
            tokens=request.memory_tokens,
            waiting=len(self._waiting_queue),
            spare_ms=round((ticket.placement_deadline - now) * 1000),
        )
        return messages.PlaceReply(number, reading.prefill, decode.id, late=ticket.is_late)

    def _reserve_queue_position(self, request: Any, now: float) -> Any | None:
        """Reserves a position in the queue of an engine.

        Returns None when no engine is eligible, all positions are occupied, or the prompt, which the engine would read
        itself, would pause its streams for too long.
        """
        load = self._loads.least_queued(request, now)
        if load is None or load.queued_count >= _MAX_QUEUED_PER_ENGINE:
            return None
        if not self._reading.may_queue_at(request, load.id, now):
            return None
        number = next(self._place_numbers)
        place = Place(load.id, request.memory_tokens, now, request.service_name, queued_at_engine=True)
        self._add_place((request.vm, request.incarnation), number, place)
        self._reading.record(request, load.id, Reading(""), now)
        _events.emit("placed_in_queue", request=request.request_id, vm_of=request.vm, decode=load.id)
        return messages.PlaceReply(number, "", load.id)

    def free(self, freed: Any, now: float) -> None:
        """Frees a place; learns from the decoding times and the unresponsive engines that its holder reports."""
        place = self._remove_place((freed.vm, freed.incarnation), freed.place)
        if place is not None:
            held_s = None if place.queued_at_engine else now - place.taken_at
            self._waiting_queue.record_release(place.service, now, held_s)
            for measured in freed.speeds or []:
                self.speeds.learn_decode(
                    measured.id, place.service, measured.took_s, measured.units, place.output_tokens
                )
        for backend in freed.broken or []:
            self._reading.record_broken(backend, now)
        if freed.unresponsive:
            self._loads.exclude_unresponsive(freed.unresponsive, now)

    def reconcile(self, vm: str, incarnation: int, held: list[Any], now: float) -> bool:
        """Reconciles the places of an entry VM with its report; returns whether one was freed.

        Adds unknown places; frees unreported ones older than `_UNREPORTED_PLACE_TTL_S` and those of other incarnations.
        """
        holder = (vm, incarnation)
        is_freed = False
        for other in [other for other in self._places_by_holder if other[0] == vm and other[1] != incarnation]:
            is_freed |= self.free_holder(*other)
        places = self._places_by_holder.get(holder, {})
        for reported in held:
            if reported.place not in places:
                place = Place(
                    reported.backend,
                    reported.tokens,
                    now - reported.age_ms / 1000,
                    reported.service_name,
                    reported.output_tokens,
                    reported.event_gap_ms / 1000,
                )
                self._add_place(holder, reported.place, place)
        if len(places) > len(held):
            reported_numbers = {reported.place for reported in held}
            unreported = [
                number
                for number, place in places.items()
                if number not in reported_numbers and now - place.taken_at > _UNREPORTED_PLACE_TTL_S
            ]
            for number in unreported:
                self._remove_place(holder, number)
            is_freed |= bool(unreported)
        return is_freed

    def free_holder(self, vm: str, incarnation: int) -> bool:
        """Frees all places of an entry VM; returns whether it held any."""
        places = self._places_by_holder.pop((vm, incarnation), {})
        for number, place in places.items():
            self._loads.remove(number, place)
        return bool(places)

    def _drop_expired(self, now: float) -> None:
        for ticket in self._waiting_queue.drop_expired(now):
            if ticket.reply is not None:
                request = ticket.request
                self._remove_place((request.vm, request.incarnation), ticket.reply.place)

    def _add_place(self, holder: tuple[str, int], number: int, place: Place) -> None:
        self._places_by_holder.setdefault(holder, {})[number] = place
        self._loads.add(number, place)

    def _remove_place(self, holder: tuple[str, int], number: int) -> Place | None:
        places = self._places_by_holder.get(holder)
        place = places.pop(number, None) if places else None
        if place is not None:
            if not places:
                del self._places_by_holder[holder]
            self._loads.remove(number, place)
        return place
