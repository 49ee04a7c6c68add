"""An entry VM's places on model engines, given out by the control group's leader."""

from __future__ import annotations

import itertools
import threading
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_http import caller_gone
from arbutusrill_site import Service, SiteView
from arbutusrill_state import ControlClient, ControlUnavailableError
from arbutusrill_wire import messages

from ._protocol import LEAST_RETRY_S, CallerRequest

__all__ = ["Place", "Places", "WantedPlace"]

_FIRST_STEP_S = 0.15  # wait of the first call, short so that a leader that has stopped is noticed soon
_STEP_S = 0.4  # wait of the further calls; between two of them the caller's connection is checked
_CALL_S = 0.2  # for a call beyond its wait; after it this VM chooses by its own view
_FREE_S = 0.3
_NO_PLACE = 0
_MOST_SPEEDS = 50  # that are kept while the leader does not answer
_LOST_S = 0.4  # after a call without an answer, this VM chooses by its own view for so long
_events = EventLog("placement")


@dataclass(slots=True)
class Place:
    """A place on a decode engine, and the prefill engine to use; records are None where the leader named none."""

    number: int
    decode: Any
    prefill: Any
    tokens: int
    output_tokens: int  # part of `tokens` that is filled while the stream lasts
    taken_at: float
    event_gap_s: float = 0.0  # longest pause between its events that the caller accepts; 0 if unknown
    speeds: list[Any] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class WantedPlace:
    """What a request needs: a prefill engine too where `prefill` is set, and none of the engines in `avoid`.

    In `late_in_s` seconds the request misses its objective, unless it was asked for before: the leader knows.
    `continued` says that it had a place before; `event_gap_s` is the longest pause between its events that its caller
    accepts.
    """

    service: Service
    request: CallerRequest
    late_in_s: float
    prefill: bool
    avoid: list[str]
    continued: bool
    event_gap_s: float = 0.0


class Places:
    """Asks the leader for places and keeps account of those that this VM holds.

    Without an answer the caller chooses engines by its own view: a lost leader must not stop the service.
    """

    def __init__(self, vm: str, incarnation: int, client: ControlClient, view: SiteView, clock: Clock):
        self._vm = vm
        self._incarnation = incarnation
        self._client = client
        self._view = view
        self._clock = clock
        self._lock = threading.Lock()
        self._place_by_number: dict[int, Place] = {}
        self._own_numbers = itertools.count(-1, -1)  # of places that this VM took without the leader
        self._prefills: list[Any] = []  # speeds that the leader has not been told yet
        self._lost_until = float("-inf")

    def held(self) -> list[Any]:
        """Returns the places that this VM holds."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                messages.HeldPlace(
                    number,
                    place.decode.id,
                    place.tokens,
                    place.decode.service_name,
                    place.output_tokens,
                    int((now - place.taken_at) * 1000),
                    int(place.event_gap_s * 1000),
                )
                for number, place in self._place_by_number.items()
            ]

    def take(self, wanted: WantedPlace, patience_s: float) -> tuple[Place | None, float | None]:
        """Asks for a place and waits for it up to `patience_s` seconds.

        Returns the place, or the seconds after which one is expected; both are None when the leader does not answer.
        Raises `ConnectionResetError` when the caller has left meanwhile.
        """
        request = wanted.request
        started = self._clock.monotonic()
        deadline = started + patience_s
        step_s = _FIRST_STEP_S
        while (now := self._clock.monotonic()) >= self._lost_until:
            message = self._message(wanted, now - started, min(step_s, deadline - now), deadline - now)
            try:
                reply = self._client.call("place", message, timeout=step_s + _CALL_S, try_timeout=step_s + _CALL_S)
            except (ControlUnavailableError, messages.Refused) as error:
                self._lost_until = self._clock.monotonic() + _LOST_S
                _events.emit("places_unavailable", request=request.id, reason=str(error))
                break
            if reply.place:
                return self._taken(reply, wanted), None
            if reply.refused or self._clock.monotonic() >= deadline:
                return None, max(LEAST_RETRY_S, reply.wait_ms / 1000)
            if request.connection is not None and caller_gone(request.connection):
                raise ConnectionResetError("the caller left while it waited for an engine")
            step_s = _STEP_S
        return None, None

    def _message(self, wanted: WantedPlace, waited_s: float, step_s: float, patience_s: float) -> Any:
        request = wanted.request
        return messages.PlaceRequest(
            self._vm,
            self._incarnation,
            request.id,
            wanted.service.name,
            request.model,
            request.prompt_tokens or 0,
            request.memory_tokens,
            max(0, int(step_s * 1000)),
            max(0, int((wanted.late_in_s - waited_s) * 1000)),
            wanted.prefill,
            wanted.avoid,
            max(0, int(patience_s * 1000)),
            request.content_hash(),
            self._untold_prefills(),
            wanted.continued,
            int(wanted.event_gap_s * 1000),
        )

    def learn_prefill(self, backend: str, took_s: float, tokens: int) -> None:
        """Notes the speed of a prefill engine; the leader is told with the next call for a place."""
        with self._lock:
            self._prefills = [*self._prefills[-_MOST_SPEEDS:], messages.EngineSpeed(backend, took_s, tokens)]

    def _untold_prefills(self) -> list[Any]:
        with self._lock:
            speeds, self._prefills = self._prefills, []
            return speeds

    def _taken(self, reply: Any, wanted: WantedPlace) -> Place | None:
        backends = self._view.backends_by_id
        decode = backends.get(reply.decode)
        if decode is None:  # the leader knows a backend server that has not reached this VM's view
            self._free(reply.place, [], [])
            return None
        return self._note(reply.place, decode, backends.get(reply.prefill), wanted.request, wanted.event_gap_s)

    def take_unasked(self, decode: Any, request: CallerRequest, event_gap_s: float) -> Place:
        """Notes a place that this VM chose by its own view; the leader learns of it with the next report."""
        return self._note(next(self._own_numbers), decode, None, request, event_gap_s)

    def _note(self, number: int, decode: Any, prefill: Any, request: CallerRequest, event_gap_s: float) -> Place:
        now = self._clock.monotonic()
        output_tokens = request.reserved_output_tokens
        place = Place(number, decode, prefill, request.memory_tokens, output_tokens, now, event_gap_s)
        with self._lock:
            self._place_by_number[place.number] = place
        return place

    def free(self, place: Place) -> None:
        """Gives a place back; the leader frees it by itself when it does not hear of it."""
        with self._lock:
            self._place_by_number.pop(place.number, None)
        if place.number < 0 and self._clock.monotonic() < self._lost_until:
            return
        self._free(place.number, place.speeds, [])

    def tell_unresponsive(self, backend: str) -> None:
        """Tells the leader at once of an engine that does not answer, while the place that named it is still held."""
        if self._clock.monotonic() >= self._lost_until:
            self._free(_NO_PLACE, [], [backend])

    def _free(self, number: int, speeds: list[Any], unresponsive: list[str]) -> None:
        freed = messages.FreePlace(self._vm, self._incarnation, number, speeds, unresponsive)
        try:
            self._client.call("free_place", freed, timeout=_FREE_S, try_timeout=_FREE_S)
        except (ControlUnavailableError, messages.Refused) as error:
            _events.emit("place_not_freed", place=number, reason=str(error))
