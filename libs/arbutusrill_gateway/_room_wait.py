"""Admission of requests to a plain service: sent at once, held until there is room, or refused as not run."""

from __future__ import annotations

import random
import time

from arbutusrill_base import EventLog
from arbutusrill_http import peer_closed

from ._exchange import Exchange
from ._plain_load import ServiceState
from ._plain_servers import Admission
from ._waiting_line import Position, WaitingLine

__all__ = ["admit", "refuse_full", "wait_for_spare_room"]

_CHECK_INTERVAL_S = 0.05
_CONNECTION_CHECK_INTERVAL_S = 0.25
_events = EventLog("plain")


def admit(exchange: Exchange) -> bool:
    """Returns whether a request may be sent now; otherwise it has been refused.

    A first attempt is sent or refused at once. One that is late already, since its caller was refused before, waits for
    spare room instead.
    """
    plain, objective_s = exchange.pool.plain, exchange.route.objective_s
    is_late = plain.record_arrival(exchange.service.name, exchange.route.name, exchange.request.deadline_s)
    state = exchange.pool.plain_state(exchange.service, exchange.tried)
    admission = plain.admission(state, objective_s, is_late or exchange.objective_remaining_s() <= 0)
    if admission is Admission.SEND:
        return True
    if admission is Admission.WAIT:
        if wait_for_spare_room(exchange):
            return True
        refuse_full(exchange, "no_room_in_time", "no server had room in time", state)
        return False
    refuse_full(exchange, "no_room", "the servers are busy beyond the objective", state)
    return False


def refuse_full(exchange: Exchange, code: str, message: str, state: ServiceState) -> None:
    """Refuses a request as not run; callers return spread over the time in which the servers have worked off theirs."""
    left_s = exchange.remaining_s()
    if exchange.request.deadline_s is not None:
        left_s = exchange.request.deadline_s - (time.monotonic() - exchange.started)
    retry_after_s = random.uniform(*state.returns_within_s(exchange.route.objective_s, left_s))
    exchange.pool.plain.record_decision(code)
    _events.emit(
        "turned_away",
        request=exchange.request.id,
        code=code,
        offered_per_s=state.offered_per_s,
        in_progress=sum(server.in_progress for server in state.servers),
        per_s=sum(server.per_s for server in state.used),
        admitted=state.admitted_fraction(exchange.route.objective_s),
        retry_after_s=retry_after_s,
    )
    exchange.refuse_not_run(code, message, retry_after_s)


def wait_for_spare_room(exchange: Exchange) -> bool:
    """Waits until a request that is late already makes no other one late; returns False if its time ends before.

    Requests wait by rank and in order of arrival, and go at this VM's share of the spare rate. Raises `FailureError` if
    the caller disconnects.
    """
    plain, service = exchange.pool.plain, exchange.service.name
    line = plain.late_line(service)
    began_at = time.monotonic()
    plain.record_decision("wait")
    plain.add_waiting(service, 1)
    try:
        with line.join(exchange.started, exchange.rank) as position:
            has_room = _wait_for_turn(exchange, line, position)
    finally:
        plain.add_waiting(service, -1)
    waited_s = time.monotonic() - began_at
    exchange.waited_s += waited_s
    waited_ms = round(waited_s * 1000, 1)
    _events.emit("waited", request=exchange.request.id, waited_ms=waited_ms, has_room=has_room)
    return has_room


def _wait_for_turn(exchange: Exchange, line: WaitingLine, position: Position) -> bool:
    connection = exchange.request.connection
    checked_at, time_limit_s = time.monotonic(), exchange.remaining_s()
    objective_s = exchange.route.objective_s
    while True:
        now = time.monotonic()
        state = exchange.pool.plain_state(exchange.service, exchange.tried)
        until_reserve_s = exchange.remaining_s() - state.answer_reserve_s(objective_s, time_limit_s)
        if until_reserve_s <= 0:
            return state.has_room_at_last(objective_s)
        if not state.servers:
            return False
        is_first = position.turn_in_s() is not None
        spare_per_s = state.spare_per_s()
        if is_first and spare_per_s > 0 and (now - line.released_at) * spare_per_s >= 1:
            return True
        if exchange.pool.is_stopping:
            return False
        if connection is not None and now - checked_at >= _CONNECTION_CHECK_INTERVAL_S:
            checked_at = now
            if peer_closed(connection):
                raise exchange.caller_gone_error()
        position.wait(min(until_reserve_s, _CHECK_INTERVAL_S if is_first else _CONNECTION_CHECK_INTERVAL_S))
