"""Placement of requests on model engines, which the leader of the control group grants to the entry VMs."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_http import peer_closed
from arbutusrill_site import Service, SiteView
from arbutusrill_state import ControlClient, ControlUnavailableError
from arbutusrill_wire import messages

from ._protocol import MIN_RETRY_AFTER_S, CallerRequest

__all__ = ["Placement", "PlacementClient", "PlacementRequest"]

_FIRST_POLL_S = 0.15  # wait of the first long poll, short to detect an unresponsive leader early
_POLL_S = 0.4  # wait of further long polls; the caller's connection is checked between them
_CALL_MARGIN_S = 0.2  # time for a call in addition to its wait
_FREE_TIMEOUT_S = 0.3
_FREE_THREADS = 16  # the leader may be in another region: one call takes many times the interval between releases
_MAX_EXIT_S = 0.6  # to send what is queued
_NO_PLACEMENT = 0  # placement number in messages that only report an unresponsive engine
_MAX_PREFILL_SPEEDS = 50  # measurements to keep while the leader is unavailable
_UNLIMITED_PATIENCE_S = 3600.0
_LEADER_BACKOFF_S = 0.4  # after a failed call, engines are chosen from the local view for this time
_MAX_DECLINED_GRANTS = 2  # then engines are chosen from the local view
_events = EventLog("placement")


@dataclass(slots=True)
class Placement:
    """A reservation of KV cache memory on a decode engine, and the prefill engine to use.

    `number` is negative if this VM chose the engine without the leader. `decode` and `prefill` are backend records;
    `prefill` is None if the decode engine is to process the prompt. `speeds` are measurements for the leader.
    """

    number: int
    decode: Any
    prefill: Any
    tokens: int
    output_tokens: int  # part of `tokens` that is allocated during decoding
    taken_at: float
    event_gap_s: float = 0.0  # longest gap between events that the caller accepts, 0 if unknown or late
    speeds: list[Any] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class PlacementRequest:
    """Requirements for a placement.

    `objective_remaining_s` is the time until the request exceeds its latency objective; the leader ignores it if it
    already knows the request from an earlier try. `needs_prefill` is true if the prompt is still to be processed, which
    it is not if the request is resumed. `avoided_ids` returns the engines not to use at the time of the call, and
    `is_usable` whether a granted one may be used. `continued` is true if the request had a placement before.
    `event_gap_s` is the longest gap between events that the caller accepts. `rank` is 0 for the most urgent requests,
    and `return_within_s` the longest time after a refusal at which the caller returns.
    `connected_ids` returns the engines to which this VM has a connection that the request may use.
    """

    service: Service
    request: CallerRequest
    objective_remaining_s: float
    needs_prefill: bool
    avoided_ids: Callable[[], list[str]]
    is_usable: Callable[[Any], bool]
    continued: bool
    event_gap_s: float = 0.0
    rank: int = 0
    workspace: str = ""
    return_within_s: float = 0.0
    connected_ids: Callable[[], list[str]] = list


class PlacementClient:
    """Requests placements from the leader and tracks those that this VM holds.

    While the leader is unavailable, `acquire` returns no placement and the gateway chooses engines from its local view,
    so that requests are served during a change of leader. Releases are sent in the background: a response must not wait
    for the leader. On exit from the context, those that are queued are sent, as far as the leader answers in time.
    """

    def __init__(self, vm: str, incarnation: int, client: ControlClient, view: SiteView, clock: Clock):
        self._vm = vm
        self._incarnation = incarnation
        self._client = client
        self._view = view
        self._clock = clock
        self._lock = threading.Lock()
        self._placement_by_number: dict[int, Placement] = {}
        self._local_numbers = itertools.count(-1, -1)  # for placements that the leader did not grant
        self._unreported_prefill_speeds: list[Any] = []
        self._leader_unavailable_until = float("-inf")
        self._is_stopping = False
        self._sender = ThreadPoolExecutor(_FREE_THREADS, thread_name_prefix="releases")
        self._unsent: set[Future] = set()

    def __enter__(self) -> PlacementClient:
        return self

    def __exit__(self, *_: object) -> None:
        self._wait_for_releases(_MAX_EXIT_S)
        self._sender.shutdown(cancel_futures=True)

    def held_places(self) -> list[Any]:
        """Returns the placements that this VM holds as `HeldPlace` messages."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                messages.HeldPlace(
                    number,
                    placement.decode.id,
                    placement.tokens,
                    placement.decode.service_name,
                    placement.output_tokens,
                    int((now - placement.taken_at) * 1000),
                    int(placement.event_gap_s * 1000),
                )
                for number, placement in self._placement_by_number.items()
            ]

    def stop_waiting(self) -> None:
        """Ends the waits for placements without one."""
        self._is_stopping = True

    def acquire_now(self, requirements: PlacementRequest) -> tuple[Placement | None, float | None]:
        """Requests a placement on an engine that has room now; returns what `acquire` returns."""
        return self.acquire(requirements, 0.0, _UNLIMITED_PATIENCE_S)

    def acquire(
        self, requirements: PlacementRequest, max_wait_s: float, patience_s: float | None = None
    ) -> tuple[Placement | None, float | None]:
        """Requests a placement and waits for it up to `max_wait_s` seconds.

        The leader refuses a request whose expected wait exceeds `patience_s`, by default the rest of `max_wait_s`, or
        gives it a position in the queue of an engine.

        Returns the placement and None, or None and the seconds after which a retry is likely to succeed. Both are None
        if the leader is unavailable, granted an engine that is not yet in this VM's view, or repeatedly granted engines
        that may not be used. Raises `ConnectionResetError` if the caller disconnects while waiting.
        """
        request = requirements.request
        started = self._clock.monotonic()
        deadline = started + max_wait_s
        if requirements.continued:  # the leader must learn first that the request has left its previous place
            self._wait_for_releases(_FREE_TIMEOUT_S)
        poll_s, declined_count = _FIRST_POLL_S, 0
        while (now := self._clock.monotonic()) >= self._leader_unavailable_until:
            wait_s = deadline - now
            message = self._wire_request(
                requirements,
                now - started,
                min(poll_s, wait_s),
                wait_s if patience_s is None else patience_s,
                bool(declined_count),
            )
            try:
                reply = self._client.call(
                    "place", message, timeout=poll_s + _CALL_MARGIN_S, try_timeout=poll_s + _CALL_MARGIN_S
                )
            except (ControlUnavailableError, messages.Refused) as error:
                self._leader_unavailable_until = self._clock.monotonic() + _LEADER_BACKOFF_S
                _events.emit("places_unavailable", request=request.id, reason=str(error))
                break
            if reply.place and not self._is_declined(reply, requirements):
                return self._accept_reply(reply, requirements), None
            if reply.place:
                declined_count += 1
                if declined_count > _MAX_DECLINED_GRANTS:
                    break
                continue
            if reply.refused or self._is_stopping or self._clock.monotonic() >= deadline:
                return None, max(MIN_RETRY_AFTER_S, reply.wait_ms / 1000)
            if request.connection is not None and peer_closed(request.connection):
                raise ConnectionResetError("caller disconnected while waiting for an engine")
            poll_s = _POLL_S
        return None, None

    def _is_declined(self, reply: Any, requirements: PlacementRequest) -> bool:
        """Gives a place back if its engine began to drain or to be quiet while the leader decided."""
        decode = self._view.backends_by_id.get(reply.decode)
        if decode is None or requirements.is_usable(decode):
            return False
        _events.emit("place_declined", request=requirements.request.id, place=reply.place, decode=reply.decode)
        self._send_free(reply.place, [], [])
        return True

    def _wire_request(
        self, requirements: PlacementRequest, waited_s: float, poll_s: float, patience_s: float, declined: bool
    ) -> Any:
        request = requirements.request
        return messages.PlaceRequest(
            self._vm,
            self._incarnation,
            request.id,
            requirements.service.name,
            request.model,
            request.prompt_tokens or 0,
            request.memory_tokens,
            max(0, int(poll_s * 1000)),
            max(0, int((requirements.objective_remaining_s - waited_s) * 1000)),
            requirements.needs_prefill,
            requirements.avoided_ids(),
            max(0, int(patience_s * 1000)),
            request.content_hash(),
            self._pop_prefill_speeds(),
            requirements.continued or declined,
            int(requirements.event_gap_s * 1000),
            rank=requirements.rank,
            workspace=requirements.workspace,
            return_within_ms=max(0, int(requirements.return_within_s * 1000)),
            connected=requirements.connected_ids(),
        )

    def record_prefill_speed(self, backend: str, took_s: float, tokens: int) -> None:
        """Records the duration of a prefill, which the next placement request reports to the leader."""
        with self._lock:
            self._unreported_prefill_speeds = [
                *self._unreported_prefill_speeds[-_MAX_PREFILL_SPEEDS:],
                messages.EngineSpeed(backend, took_s, tokens),
            ]

    def _pop_prefill_speeds(self) -> list[Any]:
        with self._lock:
            speeds, self._unreported_prefill_speeds = self._unreported_prefill_speeds, []
            return speeds

    def _accept_reply(self, reply: Any, requirements: PlacementRequest) -> Placement | None:
        backends = self._view.backends_by_id
        decode = backends.get(reply.decode)
        if decode is None:  # the engine is not yet in this VM's view, which lags behind the leader
            self._send_free(reply.place, [], [])
            return None
        event_gap_s = 0.0 if reply.late else requirements.event_gap_s  # pauses do not matter to a late stream
        return self._record(reply.place, decode, backends.get(reply.prefill), requirements.request, event_gap_s)

    def record_local(self, decode: Any, request: CallerRequest, event_gap_s: float) -> Placement:
        """Records a placement that this VM chose without the leader, which learns of it from the next report."""
        return self._record(next(self._local_numbers), decode, None, request, event_gap_s)

    def _record(self, number: int, decode: Any, prefill: Any, request: CallerRequest, event_gap_s: float) -> Placement:
        now = self._clock.monotonic()
        output_tokens = request.reserved_output_tokens
        placement = Placement(number, decode, prefill, request.memory_tokens, output_tokens, now, event_gap_s)
        with self._lock:
            self._placement_by_number[placement.number] = placement
        return placement

    def release(self, placement: Placement) -> None:
        """Releases a placement once, without waiting for the leader.

        If the call fails, the leader frees the place once this VM's reports lack it.
        """
        with self._lock:
            if self._placement_by_number.pop(placement.number, None) is None:
                return
        if placement.number < 0 and self._clock.monotonic() < self._leader_unavailable_until:
            return
        self._send_free_later(placement.number, placement.speeds, [])

    def _send_free_later(self, *arguments: Any) -> None:
        sending = self._sender.submit(self._send_free, *arguments)
        with self._lock:
            self._unsent.add(sending)
        sending.add_done_callback(self._forget_sent)

    def _forget_sent(self, sending: Future) -> None:
        with self._lock:
            self._unsent.discard(sending)

    def _wait_for_releases(self, timeout: float) -> None:
        with self._lock:
            unsent = set(self._unsent)
        wait(unsent, timeout)

    def report_unresponsive(self, backend: str) -> None:
        """Reports an unresponsive engine to the leader at once, without releasing a placement."""
        if self._clock.monotonic() >= self._leader_unavailable_until:
            self._send_free_later(_NO_PLACEMENT, [], [backend])

    def report_broken(self, backend: str) -> None:
        """Reports a prefill engine whose answer broke off to the leader, which then prefers others for a while."""
        if self._clock.monotonic() >= self._leader_unavailable_until:
            self._send_free_later(_NO_PLACEMENT, [], [], [backend])

    def _send_free(
        self, number: int, speeds: list[Any], unresponsive: list[str], broken: list[str] | None = None
    ) -> None:
        message = messages.FreePlace(self._vm, self._incarnation, number, speeds, unresponsive, broken=broken)
        try:
            self._client.call("free_place", message, timeout=_FREE_TIMEOUT_S, try_timeout=_FREE_TIMEOUT_S)
        except Exception as error:  # the thread that sends releases has nobody else to tell
            _events.emit("place_not_freed", place=number, reason=str(error))
