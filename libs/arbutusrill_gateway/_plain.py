"""Relay of requests whose response is buffered and delivered as a whole, unless it is large or memory is short."""

from __future__ import annotations

import time

from arbutusrill_base import Verdict
from arbutusrill_http import AbortStreamError, BodyBuffer
from arbutusrill_site import RouteKind

from ._attempt import AttemptResult, BodyReceiver, Outcome, send_attempt
from ._backends import Candidate
from ._exchange import Exchange
from ._plain_servers import PlainNeed
from ._protocol import ResponseHead
from ._quiet_wait import wait_for_permitted
from ._room_wait import admit, refuse_full, wait_for_spare_room
from ._second_sender import SecondSend
from ._second_sends import Race, Sender

__all__ = ["relay_plain"]

_MAX_BUFFERED_BYTES = 1_048_576  # a larger response is forwarded while it arrives and cannot be retried
_SMALL_BYTES = 64 * 1024  # up to this size, a response of unknown size takes memory in steps
_MAX_REFUSAL_BYTES = 64 * 1024  # of the body of a statement that the request has not run, which is not kept
_MAX_UNREACHED = 4  # unreachable backend servers per request
_MAX_REFUSED = 3  # servers that state of one request that they have not run it
_RETRY_AFTER_S = 0.1
# Fractions of the remaining time: for the wait while a new leader collects the backend servers or while all of them are
# quiet, and for the silence after which a request is sent to another one.
_BACKEND_WAIT_FRACTION = 0.4
_STALL_FRACTION = 0.5
_ENOUGH_OBJECTIVES = 2.0  # time without an answer, in objectives, from which on a timeout is a failure of the server
# A response that holds memory for which others wait ends after a pause that is longer than those of a sound server,
# which may be silent for a second. Others wait longer, unread: by then it is known whether the server is to be avoided.
_MAX_PAUSE_S = 1.5
_MEMORY_WAIT_S = 1.8
_MEMORY_WAIT_FRACTION = 0.5  # of the remaining time, at most: what waits longer would be forwarded too late


class _ResponseRelay(BodyReceiver):
    """Buffers a response; forwards it once it exceeds `_MAX_BUFFERED_BYTES` or the memory, if it is a valid answer.

    What a server that is avoided sends is not forwarded for want of memory: its answers may have no end.
    """

    def __init__(self, exchange: Exchange, candidate: Candidate, race: Race):
        self._exchange = exchange
        self._race = race
        self._candidate = candidate
        self._memory_wait_s = _MEMORY_WAIT_S
        self._response: ResponseHead | None = None
        self._body = BodyBuffer(_MAX_BUFFERED_BYTES)
        self._size_bytes = 0
        self._stated_bytes = 0  # size of the body in the head, 0 if it is not stated or too large to be buffered
        self._progress_at = time.monotonic()

    @property
    def begun(self) -> bool:
        """Whether the response to the caller has begun."""
        return bool(self._exchange.responder.status)

    def take_body(self) -> bytes:
        """Returns the buffered body and drops it; empty once the response to the caller has begun."""
        self._exchange.memory.shrink(self._size_bytes)
        return self._body.take()

    def on_head(self, status: int, headers_by_name: dict[str, str]) -> None:
        """Stores the head."""
        self._response = self._exchange.protocol.decode_response(status, headers_by_name)
        length = headers_by_name.get("content-length", "")
        if length.isascii() and length.isdigit() and len(length) <= len(str(_MAX_BUFFERED_BYTES)):
            self._stated_bytes = int(length) if int(length) <= _MAX_BUFFERED_BYTES else 0
        self._progress_at = time.monotonic()

    def on_data(self, data: bytes) -> None:
        """Buffers or forwards a part of the body."""
        self._progress_at = time.monotonic()
        if self.begun:
            self._exchange.responder.write(data)
            return
        if self.problem:
            return
        self._size_bytes += len(data)
        if self._response.not_run:
            if self._size_bytes > _MAX_REFUSAL_BYTES:
                self.problem = f"a refusal with a body of more than {_MAX_REFUSAL_BYTES} bytes"
            return
        self._body.add(data)
        if self._size_bytes > _MAX_BUFFERED_BYTES:
            self._end_buffering(f"status {self._response.status} with a body of more than {_MAX_BUFFERED_BYTES} bytes")
        elif not self._has_room():
            self.lacks_memory = True
            reason = f"no memory for a body of {self._size_bytes} bytes with status {self._response.status}"
            self._end_buffering(reason, self._exchange.pool.is_avoided(self._candidate.record))

    def _has_room(self) -> bool:
        """Reserves memory for the whole body if its size is stated, otherwise in steps.

        Bodies that hold a part and wait for more would block each other: beyond a small one, a step is only taken if
        there is room for the largest body beside it. A body that finds none waits for all that may be buffered.
        """
        if self._size_bytes <= self._exchange.memory.size:
            return True
        wait_s = min(self._memory_wait_s, _MEMORY_WAIT_FRACTION * self._exchange.remaining_s())
        if self._size_bytes <= self._stated_bytes:
            has_room = self._exchange.memory.grow(self._stated_bytes, wait_s)
        elif self._size_bytes <= _SMALL_BYTES:
            has_room = self._exchange.has_room_for(self._size_bytes, wait_s)
        else:
            memory, step = self._exchange.memory, 1 << (self._size_bytes - 1).bit_length()
            has_room = memory.grow_beside(step, _MAX_BUFFERED_BYTES) or memory.grow(_MAX_BUFFERED_BYTES, wait_s)
        now = time.monotonic()
        self._memory_wait_s = max(0.0, self._memory_wait_s - (now - self._progress_at))
        self._progress_at = now
        return has_room

    def should_stop(self) -> bool:
        """Also ends a response that has lost, or that pauses while it holds memory for which others wait."""
        if self._race.has_lost(Sender.FIRST):
            return True
        pause_s = time.monotonic() - self._progress_at
        if not (self.problem or self.begun) and pause_s > _MAX_PAUSE_S and self._exchange.memory.is_contended:
            self.problem = f"no progress for {pause_s:.3g} s while others wait for memory"
        return bool(self.problem)

    def _end_buffering(self, reason: str, is_suspect: bool = False) -> None:
        """Forwards an answer while it arrives from now on; an error, which may be followed by a retry, ends."""
        if self._response.status < 500 and not is_suspect and self._race.claim(Sender.FIRST):
            self._exchange.responder.send_head(self._response.status, self._response.headers)
            self._exchange.responder.write(self._body.take())
        else:
            self.problem = reason
        self._body.take()
        self._exchange.memory.shrink(0)

    def progress_at(self) -> float:
        """Returns when the last part of the response arrived."""
        return self._progress_at


def relay_plain(exchange: Exchange) -> None:
    """Sends a request to a backend server, and to others after failures as far as the route allows retries."""
    if not admit(exchange):
        return
    unreached = 0
    while True:
        candidate = _choose(exchange)
        if candidate is None:
            return
        candidate, result = _send(exchange, candidate)
        exchange.tried.add(candidate.id)
        exchange.record_attempt(candidate, "send", result)
        if result.outcome is Outcome.GONE:
            raise exchange.caller_gone_error()
        if result.outcome is Outcome.UNREACHED:
            exchange.pool.record_failure(candidate.record, result.detail)
            exchange.pool.plain.record_failure(candidate.record)
            unreached += 1
            if unreached >= _MAX_UNREACHED:
                exchange.refuse_not_run("no_backend", "no backend server can be reached", _RETRY_AFTER_S)
                return
            continue
        if result.outcome is Outcome.REJECTED:
            exchange.refused_count += 1
            if _settle_refusal(exchange, candidate, result):
                return
            continue
        exchange.attempt_count += 1
        if _deliver_or_retry(exchange, candidate, result):
            return


def _choose(exchange: Exchange) -> Candidate | None:
    """Returns the server for the next attempt; None after a refusal, if there is none or no time."""
    if not exchange.has_time():
        exchange.refuse_not_run("no_time", "the time limit has passed", _RETRY_AFTER_S)
        return None
    if not wait_for_permitted(exchange, _BACKEND_WAIT_FRACTION * exchange.remaining_s()):
        exchange.refuse_not_run(
            "backends_quiet", "all backend servers are quiet, drain or are evacuated", _RETRY_AFTER_S
        )
        return None
    pool, route = exchange.pool, exchange.route
    need = PlainNeed(route.kind is not RouteKind.IDEMPOTENT, route.objective_s)
    may_try = not exchange.tried and exchange.attempt_count + 1 < route.max_attempts
    candidate = pool.pick(
        exchange.service, exclude=exchange.tried, is_connected=exchange.is_connected, need=need, may_try=may_try
    )
    if candidate is None and not exchange.tried:
        pool.wait_for_backends(exchange.service, _BACKEND_WAIT_FRACTION * exchange.remaining_s())
        candidate = pool.pick(exchange.service, need=need)
    if candidate is None:
        exchange.refuse_not_run("no_backend", "no backend server is available", _RETRY_AFTER_S)
    return candidate


def _send(exchange: Exchange, candidate: Candidate) -> tuple[Candidate, AttemptResult]:
    """Sends a request, and a copy to another server if it is slow; returns the server and the result that count."""
    exchange.memory.shrink(0)
    sent_at = time.monotonic()
    with SecondSend(exchange.second_sender, exchange, candidate) as second:
        relay = _ResponseRelay(exchange, candidate, second.race)
        result = _send_first(exchange, candidate, relay, second)
        result.body = relay.take_body()
        if second.delay_s is not None:
            candidate, result = second.settle(result)
        if exchange.second_sender is not None:
            exchange.second_sender.record_result(exchange, result, time.monotonic() - sent_at)
        return candidate, result


def _send_first(exchange: Exchange, candidate: Candidate, relay: _ResponseRelay, second: SecondSend) -> AttemptResult:
    timeout_s = exchange.remaining_s()
    stall_s = _STALL_FRACTION * timeout_s if exchange.route.kind is RouteKind.IDEMPOTENT else None
    replace_at = time.monotonic() + (stall_s or timeout_s)

    def on_stall() -> bool:
        """Starts a second send, or ends the first one for another server if it is silent for long."""
        if second.delay_s is not None and not relay.begun:
            second.start()
        return not second.race.has_second and time.monotonic() >= replace_at and reserve_other_backend()

    def reserve_other_backend() -> bool:
        if relay.begun:  # the response cannot be repeated
            return False
        other = exchange.pool.pick(exchange.service, exclude={*exchange.tried, candidate.id})
        unsound = {*exchange.pool.avoided_ids(), *exchange.pool.plain.out_ids()}
        is_sound = other is not None and other.id not in unsound
        return is_sound and exchange.reserve_retry()

    exchange.pool.plain.record_sent(candidate.record)
    backend_request = exchange.backend_request(candidate)
    try:
        with exchange.pool.track_request(candidate.id, 0):
            return send_attempt(
                exchange.protocol,
                exchange.request,
                backend_request,
                candidate,
                timeout_s,
                stall_s if second.delay_s is None else second.delay_s,
                relay,
                reserve_other_backend if second.delay_s is None else on_stall,
                exchange.response_observer(candidate),
                connections=exchange.connections_to(candidate, is_once=not exchange.route.repeatable),
                wake_up=second.wake_up,
            )
    except OSError:  # from the connection of the caller, while a large response is forwarded
        exchange.verdict = exchange.verdict.combine(Verdict.MAY_HAVE_RUN)
        raise exchange.caller_gone_error() from None


def _settle_refusal(exchange: Exchange, candidate: Candidate, result: AttemptResult) -> bool:
    """Decides after a statement that a request has not run; returns whether it was refused.

    It goes to another server if the retry budget allows it. If the load explains the refusals of all servers, it waits
    for spare room first.
    """
    pool = exchange.pool
    pool.record_failure(candidate.record, result.detail, avoid=False)
    pool.plain.record_refusal(candidate.record)
    state = pool.plain_state(exchange.service, set())
    if state.servers and exchange.refused_count < _MAX_REFUSED and exchange.has_time():
        has_other = any(server.id not in exchange.tried for server in state.used)
        if has_other and exchange.acquire_retry():
            return False
        if not has_other and not state.has_idle_slots and exchange.verdict is Verdict.NOT_RUN:
            exchange.tried.clear()
            if wait_for_spare_room(exchange) and exchange.acquire_retry():
                return False
    refuse_full(exchange, "backend_full", "the backend server has not run the request", state)
    return True


def _deliver_or_retry(exchange: Exchange, candidate: Candidate, result: AttemptResult) -> bool:
    """Responds to the caller, or takes a retry from the budget; returns whether a response was sent."""
    pool, response = exchange.pool, result.response
    if exchange.responder.status:
        if result.outcome is not Outcome.ANSWERED:
            pool.record_failure(candidate.record, result.detail, avoid=False)
            pool.plain.record_failure(candidate.record)
            raise AbortStreamError(f"backend_failed: {result.detail}")
        pool.record_plain_answer(candidate, result.took_s)
        return True
    if result.outcome is Outcome.ANSWERED and response.status < 500:
        pool.record_plain_answer(candidate, result.took_s)
        exchange.responder.send_response(response.status, response.headers, result.body)
        return True
    is_error = result.outcome is Outcome.ANSWERED
    # The server had little time for the answer, and less than the request has waited for it.
    enough_s = min(exchange.waited_s, _ENOUGH_OBJECTIVES * exchange.route.objective_s)
    is_cut_short = result.outcome is Outcome.TIMEOUT and result.took_s < enough_s
    if not is_cut_short:
        is_avoided = result.outcome is Outcome.TIMEOUT or result.is_faulty
        pool.record_failure(candidate.record, result.detail, avoid=is_avoided)
    if is_error:
        pool.plain.record_answer(candidate.record, result.took_s, candidate.in_progress, is_error=True)
    elif not (result.lacks_memory or is_cut_short):
        pool.plain.record_failure(candidate.record)
    may_repeat = exchange.route.kind is RouteKind.IDEMPOTENT and (not is_error or _is_retry_worthwhile(exchange))
    if may_repeat and exchange.acquire_retry():
        return False
    if is_error:
        exchange.responder.send_response(response.status, response.headers, result.body)
    else:
        exchange.refuse_uncertain("backend_failed", f"no whole answer: {result.detail}")
    return True


def _is_retry_worthwhile(exchange: Exchange) -> bool:
    """Returns whether an answer with an error is worth another send.

    In time it is admitted like any request, late only while slots are idle.
    """
    state = exchange.pool.plain_state(exchange.service, exchange.tried)
    if not state.servers or state.has_idle_slots:
        return True
    expected_s = min(server.expected_s for server in state.used)
    is_in_time = exchange.objective_remaining_s() > expected_s
    return is_in_time and exchange.pool.plain.is_admitted(state, exchange.route.objective_s)
