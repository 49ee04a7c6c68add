"""Relay of requests whose response is buffered and delivered as a whole."""

from __future__ import annotations

from arbutusrill_site import RouteKind

from ._attempt import AttemptResult, Outcome, send_attempt
from ._backends import Candidate
from ._exchange import Exchange

__all__ = ["relay_plain"]

_MAX_UNREACHED = 4  # unreachable backend servers per request
_RETRY_AFTER_S = 0.1
# Fractions of the remaining time: for the wait while a new leader collects the backend servers, and for an attempt
# that may be followed by another.
_BACKEND_WAIT_FRACTION = 0.4
_FIRST_ATTEMPT_FRACTION = 0.5


def relay_plain(exchange: Exchange) -> None:
    """Sends a request to a backend server, and to others after failures as far as the route allows retries."""
    unreached = 0
    while True:
        if not exchange.has_time():
            exchange.refuse_not_run("no_time", "the time limit has passed", _RETRY_AFTER_S)
            return
        candidate = exchange.pool.pick(exchange.service, exclude=exchange.tried)
        if candidate is None and not exchange.tried:
            exchange.pool.wait_for_backends(exchange.service, _BACKEND_WAIT_FRACTION * exchange.remaining_s())
            candidate = exchange.pool.pick(exchange.service)
        if candidate is None:
            exchange.refuse_not_run("no_backend", "no backend server is available", _RETRY_AFTER_S)
            return
        result = _send(exchange, candidate)
        exchange.tried.add(candidate.id)
        exchange.record_attempt(candidate, "send", result)
        if result.outcome is Outcome.GONE:
            raise exchange.caller_gone_error()
        if result.outcome is Outcome.UNREACHED:
            exchange.pool.record_failure(candidate.record, result.detail)
            unreached += 1
            if unreached >= _MAX_UNREACHED:
                exchange.refuse_not_run("no_backend", "no backend server can be reached", _RETRY_AFTER_S)
                return
            continue
        exchange.attempt_count += 1
        if _deliver_or_retry(exchange, candidate, result):
            return


def _send(exchange: Exchange, candidate: Candidate) -> AttemptResult:
    timeout_s = exchange.remaining_s()
    if exchange.route.kind is RouteKind.IDEMPOTENT and exchange.attempt_count + 1 < exchange.route.max_attempts:
        timeout_s *= _FIRST_ATTEMPT_FRACTION
    with exchange.pool.track_request(candidate.id, 0):
        return send_attempt(
            exchange.protocol, exchange.request, exchange.backend_request(candidate), candidate, timeout_s
        )


def _deliver_or_retry(exchange: Exchange, candidate: Candidate, result: AttemptResult) -> bool:
    """Responds to the caller, or takes a retry from the budget; returns whether a response was sent."""
    pool, response = exchange.pool, result.response
    if result.outcome is Outcome.ANSWERED and response.status < 500:
        pool.record_success(candidate.record, result.took_s)
        exchange.responder.send_response(response.status, response.headers, result.body)
        return True
    pool.record_failure(candidate.record, result.detail, avoid=result.outcome is Outcome.TIMEOUT)
    may_repeat = result.outcome is Outcome.REJECTED or exchange.route.kind is RouteKind.IDEMPOTENT
    if may_repeat and exchange.acquire_retry():
        return False
    if result.outcome is Outcome.ANSWERED:
        exchange.responder.send_response(response.status, response.headers, result.body)
    elif result.outcome is Outcome.REJECTED:
        exchange.refuse_not_run("backend_full", "the backend server has not run the request", _RETRY_AFTER_S)
    else:
        exchange.refuse_uncertain("backend_failed", f"no whole answer: {result.detail}")
    return True
