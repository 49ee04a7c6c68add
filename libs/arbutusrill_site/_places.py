"""Places on decode engines: the leader's ledger of reserved memory and slots, and the choice of a prefill engine.

A place is the reservation of one slot and of the KV cache memory of one request on a decode engine.
"""

from __future__ import annotations

import itertools
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_wire import messages

from ._configuration import Engine
from ._local_prefills import LocalPrefills
from ._memory_forecast import StreamLoad, peak_tokens
from ._speeds import EngineSpeeds
from ._waiting_queue import Ticket, WaitingQueue, output_tokens_of

__all__ = ["PlaceLedger"]

_MAX_SLOWNESS_FACTOR = 3.0  # bounds the weight of speed against memory use, in both directions
# If no prefill engine is expected to finish within this time, the decode engine runs the prefill, which pauses its
# streams.
_MAX_PREFILL_S = 0.75
_FIRST_EVENT_DELAY_S = 0.12  # from the end of the prefill to the first event at the caller
_UNRESPONSIVE_EXCLUSION_S = 1.5  # shortest exclusion of an engine that did not answer an entry VM
_USABLE_MEMORY_FRACTION = 0.92  # of the KV cache memory of an engine
_STREAM_START_DELAY_S = 0.2  # from the reservation to the start of the stream
# Added to the expected end of a prefill outside the decode engine's data centre; a prefill engine in the same one is
# preferred if it finishes at most this much later.
_CROSS_DATA_CENTRE_PENALTY_S = 0.05
_MAX_QUEUED_PER_ENGINE = 1  # requests placed beyond its usable memory, which wait in the engine's own queue
_RECHECK_INTERVAL_S = 0.1  # waiting requests become late without a notification, which changes their order
_UNREPORTED_PLACE_TTL_S = 1.0  # a place that its holder does not report is freed after this age
_events = EventLog("places")


@dataclass(slots=True)
class _Place:
    """Reservation of one request on a decode engine."""

    backend: str
    tokens: int
    taken_at: float  # monotonic clock
    service: str = ""
    output_tokens: int = 0  # the share of `tokens` that the output fills during the stream
    event_gap_s: float = 0.0  # longest pause between events that the caller accepts; 0 if unknown
    queued_at_engine: bool = False  # in the queue of the engine, beyond its usable memory

    def stream_load(self, speeds: EngineSpeeds) -> StreamLoad:
        """Returns the forecast of the memory of the stream."""
        duration_s = (
            speeds.stream_duration_s(self.backend, self.service, self.output_tokens) if self.output_tokens else None
        )
        return StreamLoad(
            self.tokens - self.output_tokens, self.output_tokens, self.taken_at + _STREAM_START_DELAY_S, duration_s
        )


@dataclass(slots=True)
class _UnresponsiveEngine:
    """Engine that refused a connection or exceeded the time limit of a prefill."""

    excluded_until: float  # monotonic clock
    announcement_key: tuple[int, int]  # of its latest announcement before it was reported unresponsive


class PlaceLedger:
    """Reserves memory and slots of decode engines, and assigns each prefill to the engine expected to end it first.

    Requests wait in a queue, shortest job first; requests that can no longer meet their objective follow in order of
    arrival, so that large requests do not starve. `backends` returns the records of the backend servers, `engine_of`
    the capacity of each engine of a service, `is_complete` whether all running engines have had time to announce
    themselves.
    """

    def __init__(
        self,
        clock: Clock,
        backends: Callable[[], list[Any]],
        engine_of: Callable[[str], Engine | None],
        is_complete: Callable[[], bool] = lambda: True,
    ):
        self._clock = clock
        self._backends = backends
        self._engine_of = engine_of
        self._is_complete = is_complete
        self._places_changed = threading.Condition()
        self._place_numbers = itertools.count(1)
        # The holder is an entry VM and its incarnation; the inner key is the place number.
        self._places_by_holder: dict[tuple[str, int], dict[int, _Place]] = {}
        self._waiting_queue = WaitingQueue()
        self.speeds = EngineSpeeds()
        self._local_prefills = LocalPrefills(self.speeds)
        self._unresponsive_by_id: dict[str, _UnresponsiveEngine] = {}

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        with self._places_changed:
            return len(self._waiting_queue)

    def begin_term(self, term: int) -> None:
        """Clears all places at the start of a term; the entry VMs report theirs again."""
        with self._places_changed:
            self._places_by_holder.clear()
            # Numbers from different terms must not collide, since places of the previous term are reported again.
            self._place_numbers = itertools.count(term * 2**40 + 1)
            self._places_changed.notify_all()

    def place(self, request: Any) -> Any:
        """Waits for a place on a decode engine, at most `request.wait_ms`.

        A request that polls again keeps its position in the queue. A request whose expected wait exceeds
        `request.patience_ms` gets a position in the queue of an engine, or is refused at once with the wait expected.
        If no place was free in time, the reply holds only the expected wait. Returns an empty reply when the service
        has no engines.
        """
        engine_capacity = self._engine_of(request.service_name)
        if engine_capacity is None:
            return messages.PlaceReply()
        now = self._clock.monotonic()
        deadline = now + request.wait_ms / 1000
        with self._places_changed:
            self._waiting_queue.drop_expired(now)
            ticket = self._ticket_for(request, engine_capacity, now)
            expected_s = self._waiting_queue.expected_wait_s(
                ticket, now, len(self._eligible_engines(request, "decode"))
            )
            while True:
                decode = (
                    self._choose_decode_engine(request, engine_capacity)
                    if self._waiting_queue.is_first(ticket, now)
                    else None
                )
                if decode is not None:
                    self._leave_queue(request)
                    return self._reserve_place(request, decode, ticket.placement_deadline)
                if expected_s > request.patience_ms / 1000 and self._is_complete():
                    self._leave_queue(request)
                    return self._reserve_queue_position(request) or messages.PlaceReply(
                        wait_ms=int(expected_s * 1000), refused=True
                    )
                if now >= deadline:
                    self._waiting_queue.end_poll(request, ticket, now)
                    self._places_changed.notify_all()
                    return messages.PlaceReply(wait_ms=int(expected_s * 1000))
                self._places_changed.wait(min(deadline - now, _RECHECK_INTERVAL_S))
                now = self._clock.monotonic()

    def _ticket_for(self, request: Any, engine_capacity: Engine, now: float) -> Ticket:
        """Returns the ticket of a request; learns from new requests and from the prefill times in the call."""
        for measured in request.prefills or []:
            self.speeds.learn_prefill(measured.id, measured.took_s, measured.units, now)
        ticket = self._waiting_queue.resume(request, now)
        if ticket is None:
            output_tokens = output_tokens_of(request)
            self.speeds.learn_request(
                request.service_name, request.prompt_tokens, output_tokens, engine_capacity.kv_tokens
            )
            ticket = self._waiting_queue.enqueue(request, now, self._first_event_s(request, now))
        return ticket

    def _first_event_s(self, request: Any, now: float) -> float:
        """Returns the expected seconds from a place to the first event, including the queues of the prefill engines."""
        ends = [self.speeds.local_prefill_s(request.prompt_tokens)]
        for record in self._eligible_engines(request, "prefill"):
            ends.append(self.speeds.unit_time_of(record.id, "prefill").ends_at(request.prompt_tokens, now) - now)
        return min(ends) + _FIRST_EVENT_DELAY_S

    def _leave_queue(self, request: Any) -> None:
        self._waiting_queue.remove(request)
        self._places_changed.notify_all()

    def _choose_decode_engine(self, request: Any, engine_capacity: Engine) -> Any | None:
        """Returns the decode engine with the lowest memory utilisation times slowness, None when none has capacity.

        An engine in `request.avoid` is chosen only when all eligible engines are in it. An engine without places takes
        a request of any size.
        """
        now = self._clock.monotonic()
        places_by_backend = self._places_by_backend()
        best, best_cost = None, float("inf")
        eligible = self._eligible_engines(request, "decode")
        preferred = [record for record in eligible if record.id not in (request.avoid or ())]
        for record in preferred or eligible:
            held = places_by_backend.get(record.id, [])
            reserved_tokens = sum(place.tokens for place in held) + request.memory_tokens
            if len(held) >= engine_capacity.slots or (
                held and not self._fits_memory(request, record, held, engine_capacity, now)
            ):
                continue
            slowness = min(_MAX_SLOWNESS_FACTOR, max(1 / _MAX_SLOWNESS_FACTOR, self.speeds.slowness(record.id)))
            cost = reserved_tokens / engine_capacity.kv_tokens * slowness
            if cost < best_cost:
                best, best_cost = record, cost
        return best

    def _fits_memory(self, request: Any, record: Any, held: list[_Place], engine_capacity: Engine, now: float) -> bool:
        """Whether the forecast memory peak of an engine with one more stream stays within its usable capacity."""
        capacity = engine_capacity.kv_tokens * _USABLE_MEMORY_FRACTION
        new_place = _new_place(request, record.id, now)
        if sum(place.tokens for place in held) + new_place.tokens <= capacity:
            return True
        return peak_tokens([place.stream_load(self.speeds) for place in [*held, new_place]], now) <= capacity

    def _eligible_engines(self, request: Any, stage: str) -> list[Any]:
        now = self._clock.monotonic()
        return [
            record
            for record in self._backends()
            if record.service_name == request.service_name
            and record.stage == stage
            and not record.draining
            and not record.ordered_stage
            and self._is_responsive(record, now)
            and (not request.model or not record.models or any(m.name == request.model for m in record.models))
        ]

    def _places_by_backend(self) -> dict[str, list[_Place]]:
        held: dict[str, list[_Place]] = {}
        for places in self._places_by_holder.values():
            for place in places.values():
                held.setdefault(place.backend, []).append(place)
        return held

    def _reserve_place(self, request: Any, decode: Any, placement_deadline: float) -> Any:
        now = self._clock.monotonic()
        number = next(self._place_numbers)
        held_places = self._places_by_holder.setdefault((request.vm, request.incarnation), {})
        prefill = self._choose_prefill_engine(request, decode, now) if request.prefill else ""
        held_places[number] = _new_place(request, decode.id, now)
        _events.emit(
            "placed",
            request=request.request_id,
            vm_of=request.vm,
            decode=decode.id,
            prefill=prefill,
            tokens=request.memory_tokens,
            waiting=len(self._waiting_queue),
            spare_ms=round((placement_deadline - now) * 1000),
        )
        return messages.PlaceReply(number, prefill, decode.id)

    def _reserve_queue_position(self, request: Any) -> Any | None:
        """Reserves a position in the queue of an engine.

        Returns None when no engine is eligible or all positions are occupied.
        """
        count_by_backend = Counter(
            place.backend
            for places in self._places_by_holder.values()
            for place in places.values()
            if place.queued_at_engine
        )
        eligible = [
            record for record in self._eligible_engines(request, "decode") if record.id not in (request.avoid or ())
        ]
        if not eligible:
            return None
        best = min(
            eligible,
            key=lambda record: (count_by_backend[record.id], self.speeds.unit_time_of(record.id, "decode").unit_s),
        )
        if count_by_backend[best.id] >= _MAX_QUEUED_PER_ENGINE:
            return None
        number = next(self._place_numbers)
        held_places = self._places_by_holder.setdefault((request.vm, request.incarnation), {})
        now = self._clock.monotonic()
        held_places[number] = _Place(best.id, request.memory_tokens, now, request.service_name, queued_at_engine=True)
        self._local_prefills.record_start(best.id, request.prompt_tokens, now)
        _events.emit("placed_in_queue", request=request.request_id, vm_of=request.vm, decode=best.id)
        return messages.PlaceReply(number, "", best.id)

    def _choose_prefill_engine(self, request: Any, decode: Any, now: float) -> str:
        """Assigns the prefill to the engine expected to end it first; returns its ID.

        Returns an empty string when the decode engine runs the prefill: when it ends sooner there without pausing a
        stream for too long, or when no prefill engine ends within `_MAX_PREFILL_S`.
        """
        best, best_end, best_cost = None, 0.0, float("inf")
        eligible = self._eligible_engines(request, "prefill")
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
        return best.id

    def _prefers_local_prefill(self, request: Any, decode: Any, prefill_end: float, now: float) -> bool:
        """Whether the decode engine ends the prefill before `prefill_end` without pausing a stream for too long."""
        if now + self.speeds.local_prefill_s(request.prompt_tokens, decode.id) >= prefill_end:
            return False
        gaps_s = [place.event_gap_s for place in self._places_by_backend().get(decode.id, [])]
        return not self._local_prefills.exceeds_event_gap(decode.id, request.prompt_tokens, gaps_s, now)

    def free(self, freed: Any) -> None:
        """Frees a place; learns from the decoding times and the unresponsive engines that its holder reports."""
        with self._places_changed:
            place = self._places_by_holder.get((freed.vm, freed.incarnation), {}).pop(freed.place, None)
            if place is not None:
                self._waiting_queue.record_release(self._clock.monotonic())
            for measured in freed.speeds or [] if place is not None else []:
                self.speeds.learn_decode(
                    measured.id, place.service, measured.took_s, measured.units, place.output_tokens
                )
            if freed.unresponsive:
                self._exclude_unresponsive(freed.unresponsive)
            self._places_changed.notify_all()

    def _exclude_unresponsive(self, engines: list[str]) -> None:
        excluded_until = self._clock.monotonic() + _UNRESPONSIVE_EXCLUSION_S
        record_by_id = {record.id: record for record in self._backends()}
        unresponsive_by_id = {
            id_: exclusion for id_, exclusion in self._unresponsive_by_id.items() if id_ in record_by_id
        }
        for id_ in record_by_id.keys() & set(engines):
            unresponsive_by_id[id_] = _UnresponsiveEngine(excluded_until, _announcement_key(record_by_id[id_]))
        self._unresponsive_by_id = unresponsive_by_id

    def _is_responsive(self, record: Any, now: float) -> bool:
        """Whether an engine may be used: an unresponsive one only after its exclusion and a newer announcement."""
        exclusion = self._unresponsive_by_id.get(record.id)
        return exclusion is None or (
            now >= exclusion.excluded_until and _announcement_key(record) > exclusion.announcement_key
        )

    def reconcile_places(self, vm: str, incarnation: int, held: list[Any]) -> None:
        """Reconciles the places of an entry VM with its report.

        Adds unknown places; frees unreported ones older than `_UNREPORTED_PLACE_TTL_S` and those of other incarnations.
        """
        now = self._clock.monotonic()
        with self._places_changed:
            for holder in [holder for holder in self._places_by_holder if holder[0] == vm and holder[1] != incarnation]:
                del self._places_by_holder[holder]
            places = self._places_by_holder.setdefault((vm, incarnation), {})
            reported_numbers = {reported_place.place for reported_place in held}
            for reported_place in held:
                taken_at = now - reported_place.age_ms / 1000
                gap_s = reported_place.event_gap_ms / 1000
                place = _Place(
                    reported_place.backend,
                    reported_place.tokens,
                    taken_at,
                    reported_place.service_name,
                    reported_place.output_tokens,
                    gap_s,
                )
                places.setdefault(reported_place.place, place)
            unreported = [
                number
                for number, place in places.items()
                if number not in reported_numbers and now - place.taken_at > _UNREPORTED_PLACE_TTL_S
            ]
            for number in unreported:
                del places[number]
            if unreported:
                self._places_changed.notify_all()

    def free_places_of(self, vm: str, incarnation: int) -> None:
        """Frees all places of an entry VM that was dropped."""
        with self._places_changed:
            self._places_by_holder.pop((vm, incarnation), None)
            self._places_changed.notify_all()


def _announcement_key(record: Any) -> tuple[int, int]:
    """Returns the sort key of announcements of one server."""
    return record.started_ms, record.sequence


def _new_place(request: Any, backend: str, now: float) -> _Place:
    output_tokens, gap_s = output_tokens_of(request), request.event_gap_ms / 1000
    return _Place(backend, request.memory_tokens, now, request.service_name, output_tokens, gap_s)
