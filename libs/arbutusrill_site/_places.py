"""Places on model engines: the leader's ledger of engine memory and slots, and the queue for them."""

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
from ._line import Line, Ticket, output_tokens_of
from ._memory import StreamLoad, peak_tokens
from ._reads import OwnReads
from ._speeds import EngineSpeeds

__all__ = ["PlaceLedger"]

_MOST_SLOWNESS = 3.0
_LONGEST_PREFILL_S = 0.75  # a decode engine reads a prompt itself, whatever its streams, rather than wait longer
_FIRST_EVENT_S = 0.12  # from the end of a prefill to the first event at the caller
_UNRESPONSIVE_S = 1.5  # an engine that did not answer one entry VM is kept from all of them for at least so long
_MEMORY_PART = 0.92  # part of an engine's memory that is given out
_BEGIN_S = 0.2  # from a place to the begin of its stream
_OTHER_DATA_CENTRE_S = 0.05  # later end of a prefill that is accepted to stay in one data centre
_QUEUED_AT_ENGINE = 1  # requests beyond its memory that an engine is given; it queues a few by itself
_TURN_S = 0.1  # requests become late while they wait, which changes their order
_UNCONFIRMED_S = 1.0  # a place that its holder does not report for longer is free again
_events = EventLog("places")


@dataclass(slots=True)
class _Place:
    backend: str
    tokens: int
    taken_at: float
    service: str = ""
    output_tokens: int = 0  # part of `tokens` that is filled while the stream lasts
    event_gap_s: float = 0.0  # longest pause between its events that its caller accepts; 0 if unknown
    overflow: bool = False  # in the engine's own queue, beyond the memory that is given out

    def load(self, speeds: EngineSpeeds) -> StreamLoad:
        """Returns the memory that the stream fills over its length."""
        length_s = speeds.stream_s(self.backend, self.service, self.output_tokens) if self.output_tokens else None
        return StreamLoad(self.tokens - self.output_tokens, self.output_tokens, self.taken_at + _BEGIN_S, length_s)


@dataclass(slots=True)
class _Unanswered:
    """An engine that took no connection or read a prompt for too long."""

    until: float  # it is not used before then
    announcement: tuple[int, int]  # the last one before


class PlaceLedger:
    """Gives out memory and slots of decode engines, and chooses the prefill engine that ends first.

    Requests wait in line, the shortest first; those that can no longer meet their objective wait behind the others in
    the order in which they came, so that large requests are not passed over for ever. `engine_of` returns the capacity
    of a service's engines, `is_complete` whether every engine that runs has had the time to be heard.
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
        self._freed = threading.Condition()
        self._numbers = itertools.count(1)
        self._places_by_holder: dict[tuple[str, int], dict[int, _Place]] = {}
        self._line = Line()
        self.speeds = EngineSpeeds()
        self._reads = OwnReads(self.speeds)
        self._unanswered_by_id: dict[str, _Unanswered] = {}

    @property
    def waiting(self) -> int:
        """Number of requests in line."""
        with self._freed:
            return len(self._line)

    def begin_term(self, term: int) -> None:
        """Forgets the places at the start of a leadership; the entry VMs report them again."""
        with self._freed:
            self._places_by_holder.clear()
            # Place numbers of different leaders must not be taken for one another.
            self._numbers = itertools.count(term * 2**40 + 1)
            self._freed.notify_all()

    def place(self, request: Any) -> Any:
        """Waits for a place on a decode engine, at most `request.wait_ms`.

        A request that asks again keeps its turn. One that would have to wait for longer than `request.patience_ms`
        gets a place in the short queue of an engine itself, or is answered at once with the time after which it may
        come back.
        """
        engine = self._engine_of(request.service_name)
        if engine is None:
            return messages.PlaceReply()
        now = self._clock.monotonic()
        deadline = now + request.wait_ms / 1000
        with self._freed:
            self._line.drop_silent(now)
            ticket = self._ticket(request, engine, now)
            expected_s = self._line.expected_wait_s(ticket, now, len(self._usable(request, "decode")))
            while True:
                found = self._choose(request, engine) if self._line.is_first(ticket, now) else None
                if found is not None:
                    self._leave_line(request)
                    return self._take(request, found, ticket.late_at)
                if expected_s > request.patience_ms / 1000 and self._is_complete():
                    self._leave_line(request)
                    return self._overflow(request) or messages.PlaceReply(wait_ms=int(expected_s * 1000), refused=True)
                if now >= deadline:
                    self._line.pause(request, ticket, now)
                    self._freed.notify_all()
                    return messages.PlaceReply(wait_ms=int(expected_s * 1000))
                self._freed.wait(min(deadline - now, _TURN_S))
                now = self._clock.monotonic()

    def _ticket(self, request: Any, engine: Engine, now: float) -> Ticket:
        """Returns the turn of a request; takes the work of a new one, and the speeds that its entry VM tells."""
        for seen in request.prefills or []:
            self.speeds.learn_prefill(seen.id, seen.took_s, seen.units, now)
        ticket = self._line.resume(request, now)
        if ticket is None:
            output_tokens = output_tokens_of(request)
            self.speeds.learn_work(request.service_name, request.prompt_tokens, output_tokens, engine.kv_tokens)
            ticket = self._line.join(request, now, self._first_event_s(request, now))
        return ticket

    def _first_event_s(self, request: Any, now: float) -> float:
        """Returns the expected time from a place to the first event, behind the prefills that are under way."""
        ends = [self.speeds.own_read_s(request.prompt_tokens)]
        for record in self._usable(request, "prefill"):
            ends.append(self.speeds.of(record.id, "prefill").ends_at(request.prompt_tokens, now) - now)
        return min(ends) + _FIRST_EVENT_S

    def _leave_line(self, request: Any) -> None:
        self._line.leave(request)
        self._freed.notify_all()

    def _choose(self, request: Any, engine: Engine) -> Any | None:
        """Returns the decode engine whose memory would be least used, or None when none has room.

        An engine that the asking VM avoids is chosen only when it avoids all of them.
        """
        now = self._clock.monotonic()
        places_by_backend = self._held()
        best, best_cost = None, float("inf")
        usable = self._usable(request, "decode")
        sound = [record for record in usable if record.id not in (request.avoid or ())]
        for record in sound or usable:
            held = places_by_backend.get(record.id, [])
            after = sum(place.tokens for place in held) + request.memory_tokens
            if len(held) >= engine.slots or (held and not self._fits(request, record, held, engine, now)):
                continue
            slowness = min(_MOST_SLOWNESS, max(1 / _MOST_SLOWNESS, self.speeds.slowness(record.id)))
            cost = after / engine.kv_tokens * slowness
            if cost < best_cost:
                best, best_cost = record, cost
        return best

    def _fits(self, request: Any, record: Any, held: list[_Place], engine: Engine, now: float) -> bool:
        """Whether an engine's memory is expected to hold one more stream until the others have ended."""
        capacity = engine.kv_tokens * _MEMORY_PART
        wanted = _wanted_place(request, record.id, now)
        if sum(place.tokens for place in held) + wanted.tokens <= capacity:
            return True
        return peak_tokens([place.load(self.speeds) for place in [*held, wanted]], now) <= capacity

    def _usable(self, request: Any, stage: str) -> list[Any]:
        now = self._clock.monotonic()
        return [
            record
            for record in self._backends()
            if record.service_name == request.service_name
            and record.stage == stage
            and not record.draining
            and not record.ordered_stage
            and self._answers(record, now)
            and (not request.model or not record.models or any(m.name == request.model for m in record.models))
        ]

    def _held(self) -> dict[str, list[_Place]]:
        held: dict[str, list[_Place]] = {}
        for places in self._places_by_holder.values():
            for place in places.values():
                held.setdefault(place.backend, []).append(place)
        return held

    def _take(self, request: Any, decode: Any, late_at: float) -> Any:
        now = self._clock.monotonic()
        number = next(self._numbers)
        holder = self._places_by_holder.setdefault((request.vm, request.incarnation), {})
        prefill = self._prefill(request, decode, now) if request.prefill else ""
        holder[number] = _wanted_place(request, decode.id, now)
        _events.emit(
            "placed",
            request=request.request_id,
            vm_of=request.vm,
            decode=decode.id,
            prefill=prefill,
            tokens=request.memory_tokens,
            waiting=len(self._line),
            spare_ms=round((late_at - now) * 1000),
        )
        return messages.PlaceReply(number, prefill, decode.id)

    def _overflow(self, request: Any) -> Any | None:
        """Returns a place in an engine's own queue, or None when those are taken too."""
        count_by_backend = Counter(
            place.backend for places in self._places_by_holder.values() for place in places.values() if place.overflow
        )
        usable = [record for record in self._usable(request, "decode") if record.id not in (request.avoid or ())]
        if not usable:
            return None
        best = min(usable, key=lambda record: (count_by_backend[record.id], self.speeds.of(record.id, "decode").unit_s))
        if count_by_backend[best.id] >= _QUEUED_AT_ENGINE:
            return None
        number = next(self._numbers)
        holder = self._places_by_holder.setdefault((request.vm, request.incarnation), {})
        now = self._clock.monotonic()
        holder[number] = _Place(best.id, request.memory_tokens, now, request.service_name, overflow=True)
        self._reads.begin(best.id, request.prompt_tokens, now)
        _events.emit("placed_in_queue", request=request.request_id, vm_of=request.vm, decode=best.id)
        return messages.PlaceReply(number, "", best.id)

    def _prefill(self, request: Any, decode: Any, now: float) -> str:
        """Returns the prefill engine that is expected to end first, and counts the prompt there.

        The engine is empty where the decode engine reads the prompt sooner by itself and its streams bear the pause,
        and where the prefill engines are far behind.
        """
        best, best_end, best_cost = None, 0.0, float("inf")
        usable = self._usable(request, "prefill")
        sound = [record for record in usable if record.id not in (request.avoid or ())]
        for record in sound or usable:
            end = self.speeds.of(record.id, "prefill").ends_at(request.prompt_tokens, now)
            cost = end + (_OTHER_DATA_CENTRE_S if record.data_centre != decode.data_centre else 0.0)
            if cost < best_cost:
                best, best_end, best_cost = record, end, cost
        if best is None or best_end - now > _LONGEST_PREFILL_S or self._reads_sooner(request, decode, best_end, now):
            self._reads.begin(decode.id, request.prompt_tokens, now)
            return ""
        self.speeds.of(best.id, "prefill").give(request.prompt_tokens, now)
        return best.id

    def _reads_sooner(self, request: Any, decode: Any, prefill_end: float, now: float) -> bool:
        """Whether a decode engine has read a prompt before `prefill_end` without harm to the streams that it runs."""
        if now + self.speeds.own_read_s(request.prompt_tokens, decode.id) >= prefill_end:
            return False
        gaps_s = [place.event_gap_s for place in self._held().get(decode.id, [])]
        return not self._reads.disturbs(decode.id, request.prompt_tokens, gaps_s, now)

    def free(self, freed: Any) -> None:
        """Frees a place and takes what its holder has learned of its decode engine's speed."""
        with self._freed:
            place = self._places_by_holder.get((freed.vm, freed.incarnation), {}).pop(freed.place, None)
            if place is not None:
                self._line.note_freed(self._clock.monotonic())
            for seen in freed.speeds or [] if place is not None else []:
                self.speeds.learn_decode(seen.id, place.service, seen.took_s, seen.units, place.output_tokens)
            if freed.unresponsive:
                self._note_unanswered(freed.unresponsive)
            self._freed.notify_all()

    def _note_unanswered(self, engines: list[str]) -> None:
        until = self._clock.monotonic() + _UNRESPONSIVE_S
        record_by_id = {record.id: record for record in self._backends()}
        known = {id_: row for id_, row in self._unanswered_by_id.items() if id_ in record_by_id}
        for id_ in record_by_id.keys() & set(engines):
            known[id_] = _Unanswered(until, _announcement(record_by_id[id_]))
        self._unanswered_by_id = known

    def _answers(self, record: Any, now: float) -> bool:
        """Whether an engine is expected to answer: one that did not is used again when it was heard of since."""
        row = self._unanswered_by_id.get(record.id)
        return row is None or (now >= row.until and _announcement(record) > row.announcement)

    def report(self, vm: str, incarnation: int, held: list[Any]) -> None:
        """Takes the places that an entry VM holds: unknown ones are added, unreported ones freed after a while."""
        now = self._clock.monotonic()
        with self._freed:
            for other in [key for key in self._places_by_holder if key[0] == vm and key[1] != incarnation]:
                del self._places_by_holder[other]
            places = self._places_by_holder.setdefault((vm, incarnation), {})
            reported = {row.place for row in held}
            for row in held:
                taken_at = now - row.age_ms / 1000
                gap_s = row.event_gap_ms / 1000
                place = _Place(row.backend, row.tokens, taken_at, row.service_name, row.output_tokens, gap_s)
                places.setdefault(row.place, place)
            lost = [key for key, row in places.items() if key not in reported and now - row.taken_at > _UNCONFIRMED_S]
            for number in lost:
                del places[number]
            if lost:
                self._freed.notify_all()

    def forget(self, vm: str, incarnation: int) -> None:
        """Frees the places of an entry VM that is gone."""
        with self._freed:
            self._places_by_holder.pop((vm, incarnation), None)
            self._freed.notify_all()


def _announcement(record: Any) -> tuple[int, int]:
    return record.started_ms, record.sequence


def _wanted_place(request: Any, backend: str, now: float) -> _Place:
    output_tokens, gap_s = output_tokens_of(request), request.event_gap_ms / 1000
    return _Place(backend, request.memory_tokens, now, request.service_name, output_tokens, gap_s)
