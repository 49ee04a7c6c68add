"""Prefill of a prompt on a prefill engine before its decode."""

from __future__ import annotations

from arbutusrill_base import EventLog
from arbutusrill_http import Transfer, fetch

from ._attempt import Outcome, attempt
from ._backends import Candidate
from ._exchange import Exchange
from ._places import Place
from ._protocol import Prefilled

__all__ = ["BudgetSpentError", "release", "run_prefill"]

_TRIES = 2  # prefill engines that cannot be reached are passed over this often
_LONGEST_S = 1.5  # a prefill that takes longer is given up, and a decode engine reads the prompt itself
_RELEASE_S = 0.5
_events = EventLog("prefill")


class BudgetSpentError(Exception):
    """The retry budget allows no further send of this request."""


def run_prefill(exchange: Exchange, place: Place | None) -> Prefilled | None:
    """Reads the prompt on a prefill engine; None when a decode engine has to read it itself.

    A prefill that an engine has received and not accepted makes the send that follows a repeated one; raises
    `BudgetSpentError` when the retry budget does not allow that. The leader's choice in `place` comes first; without
    one, this VM chooses by its own view.
    """
    request, pool = exchange.request, exchange.pool
    tokens = request.prompt_tokens or 0
    excluded: set[str] = set()
    for _ in range(_TRIES):
        candidate = _candidate(exchange, place, excluded)
        if candidate is None or not exchange.has_time():
            return None
        with pool.hold(candidate.id, tokens):
            limit_s = min(_LONGEST_S, max(0.001, exchange.remaining_s()))
            made = attempt(exchange.protocol, request, exchange.send(candidate, prefill=True), candidate, limit_s)
        exchange.note_prefill(candidate, made)
        if made.outcome is Outcome.GONE:
            raise exchange.gone()
        if made.outcome is Outcome.ANSWERED and made.answer.status == 200:
            prefilled = exchange.protocol.prefilled(candidate.record, made.body)
            if prefilled is not None:
                pool.served(candidate.record, made.took_s, tokens)
                exchange.places.learn_prefill(candidate.id, made.took_s, max(1, tokens))
                return prefilled
        pool.failed(candidate.record, f"prefill: {made.detail}", avoid=made.outcome is not Outcome.REJECTED)
        if place is not None and made.outcome in (Outcome.UNREACHED, Outcome.TIMEOUT):
            exchange.places.tell_unresponsive(candidate.id)
        if made.outcome is not Outcome.UNREACHED:
            if not exchange.budget.take():
                raise BudgetSpentError
            return None
        excluded.add(candidate.id)
    return None


def _candidate(exchange: Exchange, place: Place | None, excluded: set[str]) -> Candidate | None:
    """Returns the prefill engine to use; None where the leader leaves the prompt to the decode engine."""
    if place is not None and not excluded:
        return Candidate(place.prefill, 0.0) if place.prefill is not None else None
    request = exchange.request
    return exchange.pool.pick(exchange.service, "prefill", request.prompt_tokens or 0, request.model, excluded)


def release(exchange: Exchange, prefilled: Prefilled | None) -> None:
    """Frees a KV cache that will not be taken; it lapses by itself when this fails."""
    if prefilled is None:
        return
    path = exchange.protocol.release_path(prefilled)
    url = f"http://{prefilled.address}{path}"
    result = fetch(Transfer("DELETE", url, timeout_s=_RELEASE_S, connect_s=_RELEASE_S, fresh=True, plain=True))
    _events.emit("handle_released", request=exchange.request.id, handle=prefilled.handle, status=result.status)
