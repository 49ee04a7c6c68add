"""Wait of a request until one of its backend servers may be used again."""

from __future__ import annotations

import time

from arbutusrill_http import peer_closed

from ._exchange import Exchange
from ._waiting_line import Position

__all__ = ["wait_for_permitted"]

_CHECK_INTERVAL_S = 0.25  # between checks of the caller's connection


def wait_for_permitted(exchange: Exchange, max_wait_s: float) -> bool:
    """Returns whether anything may be sent to a backend server of the request's service that it has not tried.

    While all of them are quiet, waits in order of arrival, at most `max_wait_s` seconds, and not at all if their quiet
    times end later. Requests that arrive after the quiet time queue behind those that still wait. Also true if the
    service has no backend server that the request could use anyway. The wait ends in vain when the VM stops. Raises
    `FailureError` if the caller disconnects.
    """
    line = exchange.pool.waiting_line(exchange.service, exchange.serving_stage)
    wait_s = _permitted_in_s(exchange)
    if not len(line) and wait_s is None:
        return True
    deadline = time.monotonic() + max_wait_s
    if time.monotonic() + (wait_s or 0.0) >= deadline:
        return wait_s is None
    with line.join(exchange.started) as position:
        return _wait_for_turn(exchange, position, deadline)


def _wait_for_turn(exchange: Exchange, position: Position, deadline: float) -> bool:
    connection = exchange.request.connection
    while True:
        wait_s, turn_s = _permitted_in_s(exchange) or 0.0, position.turn_in_s()
        if not wait_s and turn_s == 0.0:
            return True
        now = time.monotonic()
        if now + wait_s >= deadline or exchange.pool.is_stopping:
            return False
        if connection is not None and peer_closed(connection):
            raise exchange.caller_gone_error()
        pause_s = _CHECK_INTERVAL_S if turn_s is None else min(_CHECK_INTERVAL_S, max(wait_s, turn_s))
        position.wait(min(pause_s, deadline - now))


def _permitted_in_s(exchange: Exchange) -> float | None:
    return exchange.pool.permitted_in_s(
        exchange.service, exchange.serving_stage, exchange.request.model, exchange.tried
    )
