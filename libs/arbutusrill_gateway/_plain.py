"""Relay of requests whose answer is delivered in one piece."""

from __future__ import annotations

from arbutusrill_site import RouteKind

from ._attempt import Attempt, Outcome, attempt
from ._backends import Candidate
from ._exchange import Exchange

__all__ = ["relay_plain"]

_UNREACHED_TRIES = 4  # backend servers that refuse connections are passed over this often
_RETRY_AFTER_S = 0.1
_START_PART = 0.4  # part of the remaining time for which a request waits while backend servers are still collected
_FIRST_PART = 0.5  # part of the remaining time that a first send gets when another may follow


def relay_plain(exchange: Exchange) -> None:
    """Sends a request to one backend server after another until one answers, as far as its route allows."""
    unreached = 0
    while True:
        if not exchange.has_time():
            exchange.refuse_unrun("no_time", "the time limit has passed", _RETRY_AFTER_S)
            return
        candidate = exchange.pool.pick(exchange.service, exclude=exchange.tried)
        if candidate is None and not exchange.tried:
            exchange.pool.wait_for_backends(exchange.service, _START_PART * exchange.remaining_s())
            candidate = exchange.pool.pick(exchange.service)
        if candidate is None:
            exchange.refuse_unrun("no_backend", "no backend server is available", _RETRY_AFTER_S)
            return
        made = _send(exchange, candidate)
        exchange.tried.add(candidate.id)
        exchange.note(candidate, "send", made)
        if made.outcome is Outcome.GONE:
            raise exchange.gone()
        if made.outcome is Outcome.UNREACHED:
            exchange.pool.failed(candidate.record, made.detail)
            unreached += 1
            if unreached >= _UNREACHED_TRIES:
                exchange.refuse_unrun("no_backend", "no backend server can be reached", _RETRY_AFTER_S)
                return
            continue
        exchange.sends += 1
        if _deliver(exchange, candidate, made):
            return


def _send(exchange: Exchange, candidate: Candidate) -> Attempt:
    timeout_s = exchange.remaining_s()
    if exchange.route.kind is RouteKind.IDEMPOTENT and exchange.sends + 1 < exchange.route.max_attempts:
        timeout_s *= _FIRST_PART
    with exchange.pool.hold(candidate.id, 0):
        return attempt(exchange.protocol, exchange.request, exchange.send(candidate), candidate, timeout_s)


def _deliver(exchange: Exchange, candidate: Candidate, made: Attempt) -> bool:
    """Answers the caller or leaves the request to another send; returns whether it was answered."""
    pool, answer = exchange.pool, made.answer
    if made.outcome is Outcome.ANSWERED and answer.status < 500:
        pool.served(candidate.record, made.took_s)
        exchange.responder.whole(answer.status, answer.headers, made.body)
        return True
    pool.failed(candidate.record, made.detail, avoid=made.outcome is Outcome.TIMEOUT)
    may_repeat = made.outcome is Outcome.REJECTED or exchange.route.kind is RouteKind.IDEMPOTENT
    if may_repeat and exchange.may_resend():
        return False
    if made.outcome is Outcome.ANSWERED:
        exchange.responder.whole(answer.status, answer.headers, made.body)
    elif made.outcome is Outcome.REJECTED:
        exchange.refuse_unrun("backend_full", "the backend server has not run the request", _RETRY_AFTER_S)
    else:
        exchange.refuse_uncertain("backend_failed", f"no whole answer: {made.detail}")
    return True
