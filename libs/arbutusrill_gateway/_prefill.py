"""Prefill of a prompt on a prefill engine before its decode."""

from __future__ import annotations

from arbutusrill_base import EventLog
from arbutusrill_http import Transfer, fetch

from ._attempt import Outcome, attempt
from ._exchange import Exchange
from ._protocol import Prefilled

__all__ = ["release", "run_prefill"]

_UNREACHED_TRIES = 2
_LONGEST_S = 1.5  # a prefill that takes longer is given up, and a decode engine reads the prompt itself
_RELEASE_S = 0.5
_events = EventLog("prefill")


def run_prefill(exchange: Exchange) -> Prefilled | None:
    """Reads the prompt on a prefill engine; None when a decode engine has to read it itself."""
    request, pool = exchange.request, exchange.pool
    tokens = request.prompt_tokens or 0
    excluded: set[str] = set()
    for _ in range(_UNREACHED_TRIES):
        candidate = pool.pick(exchange.service, "prefill", tokens, request.model, excluded)
        if candidate is None or not exchange.has_time():
            return None
        with pool.hold(candidate.id, tokens):
            send = exchange.send(candidate, prefill=True)
            made = attempt(
                exchange.protocol, request, send, candidate, min(_LONGEST_S, max(0.001, exchange.remaining_s()))
            )
        exchange.note_prefill(candidate, made)
        if made.outcome is Outcome.GONE:
            raise exchange.gone()
        if made.outcome is Outcome.UNREACHED:
            pool.failed(candidate.record, made.detail)
            excluded.add(candidate.id)
            continue
        if made.outcome is Outcome.ANSWERED and made.answer.status == 200:
            prefilled = exchange.protocol.prefilled(candidate.record, made.body)
            if prefilled is not None:
                pool.served(candidate.record, made.took_s, tokens)
                return prefilled
        pool.failed(candidate.record, f"prefill: {made.detail}", avoid=made.outcome is not Outcome.REJECTED)
        return None
    return None


def release(exchange: Exchange, prefilled: Prefilled | None) -> None:
    """Frees a KV cache that will not be taken; it lapses by itself when this fails."""
    if prefilled is None:
        return
    path = exchange.protocol.release_path(prefilled)
    url = f"http://{prefilled.address}{path}"
    result = fetch(Transfer("DELETE", url, timeout_s=_RELEASE_S, connect_s=_RELEASE_S, fresh=True, plain=True))
    _events.emit("handle_released", request=exchange.request.id, handle=prefilled.handle, status=result.status)
