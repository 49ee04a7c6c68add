"""Prefill of a prompt on a prefill engine, ahead of decoding on another engine."""

from __future__ import annotations

from arbutusrill_base import EventLog
from arbutusrill_http import Transfer, fetch

from ._attempt import AttemptResult, Outcome, send_attempt
from ._backends import Candidate
from ._exchange import Exchange
from ._placement import Placement
from ._protocol import KvCacheHandle

__all__ = ["RetryBudgetExhaustedError", "release_kv_cache", "run_prefill"]

_MAX_TRIES = 2
_UNCOUNTED_FAILURES = (Outcome.BROKEN, Outcome.TIMEOUT)  # of a first prefill, after which no retry is charged
_MAX_PREFILL_S = 1.5  # after this time the decode engine processes the prompt itself
_RELEASE_TIMEOUT_S = 0.5
_MAX_BODY_BYTES = 8 * 1024  # of responses, which have a few fields
_events = EventLog("prefill")


class RetryBudgetExhaustedError(Exception):
    """The retry budget allows no further attempt of this request."""


def run_prefill(exchange: Exchange, placement: Placement | None) -> KvCacheHandle | None:
    """Processes the prompt on a prefill engine; returns None if the decode engine has to process it.

    The prefill engine of `placement` is tried first; without a placement, this VM chooses one from its local view.
    Another one follows if the first was unreachable, or if its answer broke off and the retry budget allows a second
    prefill: a decode engine that reads the prompt pauses its streams. The first prefill of a request that an engine
    accepts is no arrival of the request; after any other one, the decode counts as a retry, and
    `RetryBudgetExhaustedError` is raised if the retry budget does not allow it.
    """
    request, pool = exchange.request, exchange.pool
    tokens = request.prompt_tokens or 0
    excluded: set[str] = set()
    for _ in range(_MAX_TRIES):
        candidate = _candidate(exchange, placement, excluded)
        if candidate is None or not exchange.has_time():
            return None
        with pool.track_request(candidate.id, tokens):
            limit_s = min(_MAX_PREFILL_S, max(0.001, exchange.remaining_s()))
            result = send_attempt(
                exchange.protocol,
                request,
                exchange.backend_request(candidate, prefill=True),
                candidate,
                limit_s,
                on_response=exchange.response_observer(candidate),
                max_body_bytes=_MAX_BODY_BYTES,
                connections=exchange.connections_to(candidate, is_once=False),
            )
        exchange.record_prefill_attempt(candidate, result)
        if result.outcome is Outcome.GONE:
            raise exchange.caller_gone_error()
        if result.outcome is Outcome.ANSWERED and result.response.status == 200:
            kv_cache = exchange.protocol.decode_prefill(candidate.record, result.body)
            if kv_cache is not None:
                pool.record_success(candidate.record, result.took_s, tokens)
                exchange.placements.record_prefill_speed(candidate.id, result.took_s, max(1, tokens))
                return kv_cache
        _record_failure(exchange, placement, candidate, result)
        excluded.add(candidate.id)
        if result.outcome is not Outcome.UNREACHED and not _may_repeat(exchange, result, len(excluded)):
            return None
    return None


def _record_failure(
    exchange: Exchange, placement: Placement | None, candidate: Candidate, result: AttemptResult
) -> None:
    is_avoided = result.outcome is not Outcome.REJECTED
    exchange.pool.record_failure(candidate.record, f"prefill: {result.detail}", avoid=is_avoided)
    if placement is not None and result.outcome in (Outcome.UNREACHED, Outcome.TIMEOUT):
        exchange.placements.report_unresponsive(candidate.id)
    if placement is not None and result.outcome is Outcome.BROKEN:
        exchange.placements.report_broken(candidate.id)
    if result.outcome is Outcome.TIMEOUT:  # the engine is at least so slow, or so far behind
        exchange.placements.record_prefill_speed(
            candidate.id, result.took_s, max(1, exchange.request.prompt_tokens or 0)
        )


def _may_repeat(exchange: Exchange, result: AttemptResult, tries: int) -> bool:
    """Whether another prefill engine follows after a prefill that reached an engine and failed.

    A second prefill counts as an attempt and as a retry; after a slow first one no time is left for it.
    """
    if result.outcome not in _UNCOUNTED_FAILURES:
        if not exchange.budget.try_acquire():
            raise RetryBudgetExhaustedError
        return False
    is_repeated = (
        result.outcome is Outcome.BROKEN
        and tries < _MAX_TRIES
        and exchange.has_time()
        and exchange.attempt_count + 1 < exchange.route.max_attempts
        and exchange.budget.try_acquire()
    )
    exchange.attempt_count += is_repeated
    _events.emit("prefill_failed", request=exchange.request.id, detail=result.detail, repeated=is_repeated)
    return is_repeated


def _candidate(exchange: Exchange, placement: Placement | None, excluded: set[str]) -> Candidate | None:
    """Returns the prefill engine to use, or None if the leader assigned the prompt to the decode engine.

    An engine that began to drain or to be quiet after the leader chose it is replaced from the local view.
    """
    if placement is not None and not excluded:
        if placement.prefill is None:
            return None
        if exchange.pool.is_usable(placement.prefill):
            return Candidate(placement.prefill, 0.0)
    request, pool, service = exchange.request, exchange.pool, exchange.service

    def pick(excluded: set[str]) -> Candidate | None:
        return pool.pick(service, "prefill", request.prompt_tokens or 0, request.model, excluded)

    candidate = pick(excluded | pool.unsampled_ids(service, "prefill", request.model)) if placement is None else None
    return candidate or pick(excluded)


def release_kv_cache(exchange: Exchange, kv_cache: KvCacheHandle | None) -> None:
    """Frees a KV cache that will not be fetched; if this fails, the KV cache expires on the prefill engine."""
    if kv_cache is None:
        return
    path = exchange.protocol.release_path(kv_cache)
    url = f"http://{kv_cache.address}{path}"
    connections = None if exchange.connections is None else exchange.connections.to(kv_cache.record, "", is_once=False)
    answered: set[str] = set()  # ids of requests that the response names: none if it answers the release

    def answer_id(status: int, headers_by_name: dict[str, str]) -> str:
        named = exchange.protocol.decode_response(status, headers_by_name).request_id
        answered.update(filter(None, [named]))
        return named

    result = fetch(
        Transfer(
            "DELETE",
            url,
            timeout_s=_RELEASE_TIMEOUT_S,
            connect_s=_RELEASE_TIMEOUT_S,
            omit_default_headers=True,
            max_body_bytes=_MAX_BODY_BYTES,
            connections=connections,
            may_keep=lambda: not answered,
            answer_id=answer_id,
        )
    )
    _events.emit("handle_released", request=exchange.request.id, handle=kv_cache.handle, status=result.status)
