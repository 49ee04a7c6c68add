"""Decisions on places: which waiting request gets which engine, and which request is refused.

Nothing here has a thread, a lock or a clock of its own: events come in with their time, on the monotonic clock.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

from arbutusrill_base import EventLog
from arbutusrill_wire import messages

from ._cold_limits import GrantLimit
from ._configuration import Engine
from ._engine_loads import EngineLoads, Place
from ._local_prefills import LocalPrefills
from ._speeds import EngineSpeeds
from ._waiting_queue import Ticket, WaitingQueue, output_tokens_of

__all__ = ["PlacementScheduler"]

# If no prefill engine is expected to finish within this time, the decode engine runs the prefill, which pauses its
# streams.
_MAX_PREFILL_S = 0.75
_FIRST_EVENT_DELAY_S = 0.12  # from the end of the prefill to the first event at the caller
# Added to the expected end of a prefill outside the decode engine's data centre; a prefill engine in the same one is
# preferred if it finishes at most this much later.
_CROSS_DATA_CENTRE_PENALTY_S = 0.05
_MAX_QUEUED_PER_ENGINE = 1  # requests placed beyond its usable memory, which wait in the engine's own queue
_UNREPORTED_PLACE_TTL_S = 1.0  # a place that its holder does not report is freed after this age
_events = EventLog("places")


class PlacementScheduler:
    """Places requests on decode engines, shortest job first, and assigns their prefills.

    Each event (a request that polls, a released place, a report) is followed by one pass over the waiting requests,
    which ends at the first one without an engine. A place granted between two polls of its request waits for the next
    one. `engine_of` returns the capacity of each engine of a service, None for a service without engines; `limit`
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
        self._local_prefills = LocalPrefills(self.speeds)
        self._waiting_queue = WaitingQueue()
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
        if ticket is None:
            capacity = self._engine_of(request.service_name)
            self.speeds.learn_request(
                request.service_name, request.prompt_tokens, output_tokens_of(request), capacity.kv_tokens
            )
            ticket = self._waiting_queue.enqueue(request, now, self._first_event_s(request, now))
        engines = self._loads.decode_count(request.service_name)
        return ticket, self._waiting_queue.expected_wait_s(ticket, now, engines)

    def _first_event_s(self, request: Any, now: float) -> float:
        """Returns the expected seconds from a place to the first event, including the queues of the prefill engines."""
        ends = [self.speeds.local_prefill_s(request.prompt_tokens)]
        for record in self._loads.eligible_prefill(request, now):
            ends.append(self.speeds.unit_time_of(record.id, "prefill").ends_at(request.prompt_tokens, now) - now)
        return min(ends) + _FIRST_EVENT_DELAY_S

    def take_reply(self, ticket: Ticket) -> Any | None:
        """Returns the place granted to a request and removes its ticket; None if it has none."""
        if ticket.reply is not None:
            self._waiting_queue.remove(ticket)
        return ticket.reply

    def end_poll(self, ticket: Ticket, now: float) -> None:
        """Ends a poll without a place."""
        self._waiting_queue.end_poll(ticket, now)

    def refuse(self, ticket: Ticket, expected_s: float, now: float) -> Any:
        """Removes a request that would wait for too long; returns a position in an engine's own queue or a refusal."""
        self._waiting_queue.remove(ticket)
        queued = self._reserve_queue_position(ticket.request, now)
        return queued or messages.PlaceReply(wait_ms=int(expected_s * 1000), refused=True)

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
        while True:
            ticket = next(self._waiting_queue.polled(service, now), None)
            decode = None if ticket is None else self._loads.choose_decode(ticket.request, capacity, now)
            if decode is None:
                return granted
            self._waiting_queue.set_granted(ticket, self._reserve_place(ticket, decode, now))
            granted.append(ticket)

    def _reserve_place(self, ticket: Ticket, decode: Any, now: float) -> Any:
        request, number = ticket.request, next(self._place_numbers)
        prefill = self._choose_prefill_engine(request, decode, now) if request.prefill else ""
        self._add_place((request.vm, request.incarnation), number, Place.for_request(request, decode.id, now))
        _events.emit(
            "placed",
            request=request.request_id,
            vm_of=request.vm,
            decode=decode.id,
            prefill=prefill,
            tokens=request.memory_tokens,
            waiting=len(self._waiting_queue),
            spare_ms=round((ticket.placement_deadline - now) * 1000),
        )
        return messages.PlaceReply(number, prefill, decode.id)

    def _reserve_queue_position(self, request: Any, now: float) -> Any | None:
        """Reserves a position in the queue of an engine.

        Returns None when no engine is eligible or all positions are occupied.
        """
        load = self._loads.least_queued(request, now)
        if load is None or load.queued_count >= _MAX_QUEUED_PER_ENGINE:
            return None
        number = next(self._place_numbers)
        place = Place(load.id, request.memory_tokens, now, request.service_name, queued_at_engine=True)
        self._add_place((request.vm, request.incarnation), number, place)
        self._local_prefills.record_start(load.id, request.prompt_tokens, now)
        _events.emit("placed_in_queue", request=request.request_id, vm_of=request.vm, decode=load.id)
        return messages.PlaceReply(number, "", load.id)

    def _choose_prefill_engine(self, request: Any, decode: Any, now: float) -> str:
        """Assigns the prefill to the engine expected to end it first; returns its ID.

        Returns an empty string when the decode engine runs the prefill: when it ends sooner there without pausing a
        stream for too long, or when no prefill engine ends within `_MAX_PREFILL_S`.
        """
        best, best_end, best_cost = None, 0.0, float("inf")
        eligible = self._loads.eligible_prefill(request, now)
        preferred = [record for record in eligible if record.id not in (request.avoid or ())]
        for record in preferred or eligible:
            end = self.speeds.unit_time_of(record.id, "prefill").ends_at(request.prompt_tokens, now)
            cost = end + (_CROSS_DATA_CENTRE_PENALTY_S if record.data_centre != decode.data_centre else 0.0)
            if cost < best_cost:
                best, best_end, best_cost = record, end, cost
        if (
            best is None
            or best_end - now > _MAX_PREFILL_S
            or self._prefers_local_prefill(request, decode, best_end, now)
        ):
            self._local_prefills.record_start(decode.id, request.prompt_tokens, now)
            return ""
        self.speeds.unit_time_of(best.id, "prefill").add_prompt(request.prompt_tokens, now)
        self._loads.record_grant(best.id, now)
        return best.id

    def _prefers_local_prefill(self, request: Any, decode: Any, prefill_end: float, now: float) -> bool:
        """Whether the decode engine ends the prefill before `prefill_end` without pausing a stream for too long."""
        if now + self.speeds.local_prefill_s(request.prompt_tokens, decode.id) >= prefill_end:
            return False
        gaps_s = self._loads.event_gaps_s(decode.id)
        return not self._local_prefills.exceeds_event_gap(decode.id, request.prompt_tokens, gaps_s, now)

    def free(self, freed: Any, now: float) -> None:
        """Frees a place; learns from the decoding times and the unresponsive engines that its holder reports."""
        place = self._remove_place((freed.vm, freed.incarnation), freed.place)
        if place is not None:
            self._waiting_queue.record_release(place.service, now)
            for measured in freed.speeds or []:
                self.speeds.learn_decode(
                    measured.id, place.service, measured.took_s, measured.units, place.output_tokens
                )
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
