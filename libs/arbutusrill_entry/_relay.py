"""One completion on the engines: prefill, then decode, token by token, over failures of servers."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Failure, FailureError, PartLog, Verdict
from arbutusrill_http import AbortStreamError, Transfer, TransferResult, close_connections, fetch

from ._context import EntryContext
from ._events import EventReader
from ._guard import KeyGuard
from ._parse import Completion
from ._slots import Place

__all__ = ["Relay", "RelayEnd"]

_PREFILL_S = 30.0
_STREAM_S = 3600.0
_SHORTEST_PREFILL_S = 2.0
_STALL_S = 1.0
_FIRST_STALL_S = 2.0
_FORGOTTEN = (404, 409, 410)  # the engine works but does not have this stream or KV cache (any more)
_ATTEMPTS = 4
_JSON = ["Content-Type: application/json"]
_log = PartLog("relay")


@dataclass(slots=True)
class RelayEnd:
    """How a stream of tokens ended."""

    finish_reason: str
    tokens: int
    prompt_tokens: int


class _LostError(Exception):
    """The servers of this attempt cannot complete the request; `failed_server` is the one at fault."""

    def __init__(self, outcome: str, failed_server: str, failure: Failure):
        super().__init__(failure.message)
        self.outcome = outcome
        self.failed_server = failed_server
        self.failure = failure


class _ForgottenError(Exception):
    """An engine that answers no longer has the request; `lost` is raised when one more prefill did not help."""

    def __init__(self, lost: _LostError):
        super().__init__(lost.failure.message)
        self.lost = lost


class Relay:
    """Runs one completion on the servers of a `Place` and changes them when they fail.

    `on_tokens` gets the texts of the tokens that arrived together, in order and each once.
    """

    def __init__(self, context: EntryContext, place: Place, completion: Completion, guard: KeyGuard):
        self._context = context
        self._place = place
        self._completion = completion
        self._guard = guard
        self._texts: list[str] = []
        self._prompt_tokens = 0
        self._reader = EventReader("", 0)
        self._on_tokens: Callable[[list[str]], None] = lambda _: None
        self._got_token = False
        self._token_at = 0.0
        self._decode_at = 0.0
        self._refused: Failure | None = None

    @property
    def tokens(self) -> int:
        """Number of output tokens passed on so far."""
        return len(self._texts)

    def run(self, on_tokens: Callable[[list[str]], None]) -> RelayEnd:
        """Runs prefill and decode; raises `FailureError` or, when the caller has left, `AbortStreamError`."""
        self._on_tokens = on_tokens
        self._context.budget.request()
        for attempt in range(1, _ATTEMPTS + 1):
            try:
                self._run_once()
                break
            except _LostError as lost:
                self._move(lost, attempt)
        return RelayEnd(self._reader.finish_reason, len(self._texts), self._prompt_tokens)

    def _move(self, lost: _LostError, attempt: int) -> None:
        """Takes other servers after a loss; raises `FailureError` when that is not allowed or not possible."""
        _log.warning("%s %s at %s: %s", self._place.ticket, lost.outcome, lost.failed_server, lost.failure.message)
        self._place.blame(lost.outcome, lost.failed_server)
        if attempt == _ATTEMPTS or not self._context.take_retry():
            raise FailureError(lost.failure) from None
        try:
            self._place.move(lost.outcome, lost.failed_server)
        except FailureError as error:
            failure = error.failure
            verdict = lost.failure.verdict.worst(failure.verdict)
            message = f"{lost.failure.message}; {failure.message}"
            raise FailureError(Failure(failure.code, message, verdict, failure.status, failure.retry_after)) from None

    def _run_once(self) -> None:
        """Runs one attempt; an engine that answers but no longer has the KV cache gets one more prefill."""
        for again in (False, True):
            self._reader = EventReader(self._place.ticket, len(self._texts))
            self._got_token = False
            result = self._decode(self._prefill(fresh=again), fresh=again)
            try:
                while not self._reader.finish_reason:
                    result = self._resume(result)
                break
            except _ForgottenError as forgotten:
                if again:
                    raise forgotten.lost from None
        self._place.left("decode")
        self._place.release.tokens = len(self._texts)
        self._place.release.decode_s = time.monotonic() - self._decode_at

    def _prefill(self, fresh: bool) -> dict[str, Any]:
        assignment = self._place.assignment
        started = time.monotonic()
        predicted = assignment.predicted_first_token_s or 0
        limit_s = min(_PREFILL_S, max(_SHORTEST_PREFILL_S, 4 * predicted + 1)) if predicted > 0 else _PREFILL_S
        body = {"model": self._completion.model, "prompt": self._completion.prompt + "".join(self._texts)}
        self._place.visit(assignment.prefill_address, "prefill")
        transfer = self._post(assignment.prefill_address, "/engine/prefill", body, limit_s, fresh)
        result = self._transfer(transfer, self._key_refused)
        answer = _object(result.body) if result.whole and result.status == 200 else None
        if answer is None or answer.get("request_id") != self._place.ticket or "kv_handle" not in answer:
            if answer is not None:
                close_connections()
                result.detail = "the answer is not the one to this request"
            raise self._lost("prefill_failed", assignment.prefill_server, result)
        self._place.release.prefill_s = time.monotonic() - started
        self._place.release.cached_tokens = int(answer.get("cached_tokens") or 0)
        self._prompt_tokens = self._prompt_tokens or int(answer.get("prompt_tokens") or 0)
        return answer

    def _decode(self, prefill: dict[str, Any], fresh: bool) -> TransferResult:
        assignment = self._place.assignment
        body = {
            "model": self._completion.model,
            "kv_handle": prefill["kv_handle"],
            "source": assignment.prefill_address,
            "prompt_tokens": prefill.get("prompt_tokens", 0),
            "offset": len(self._texts),
            "max_tokens": self._completion.max_tokens - len(self._texts),
            "priority": assignment.priority or 0,
        }
        self._decode_at = time.monotonic()
        self._place.visit(assignment.decode_address, "decode")
        return self._stream(self._post(assignment.decode_address, "/engine/decode", body, _STREAM_S, fresh))

    def _resume(self, broken: TransferResult) -> TransferResult:
        """Continues the stream over a new connection at the offset reached; raises `_LostError`."""
        assignment = self._place.assignment
        if len(self._texts) == self._completion.max_tokens:
            self._reader.finish_reason = "length"
            return broken
        lost = self._lost("decode_failed", assignment.decode_server, broken)
        if broken.status in _FORGOTTEN:
            raise _ForgottenError(lost)
        if broken.error in ("crossed", "connect") or broken.status not in (0, 200):
            raise lost
        before = len(self._texts)
        _log.info("%s resumes after %d tokens: %s", self._place.ticket, before, broken.detail or "stream cut")
        url = f"{assignment.decode_address}/engine/streams/{self._place.ticket}?offset={self._reader.next_offset()}"
        self._reader.restart()
        result = self._stream(Transfer("GET", url, fresh=True, timeout_s=_STREAM_S))
        if result.status in _FORGOTTEN:
            raise _ForgottenError(self._lost("decode_failed", assignment.decode_server, result))
        if len(self._texts) == before and not self._reader.finish_reason:
            raise self._lost("decode_failed", assignment.decode_server, result)
        return result

    def _post(self, address: str, path: str, body: dict[str, Any], timeout_s: float, fresh: bool) -> Transfer:
        me = self._context.follower.identity
        whole = {"request_id": self._place.ticket, "vm": me.vm, "incarnation": me.incarnation, **body}
        return Transfer("POST", address + path, _JSON, json.dumps(whole).encode(), timeout_s, fresh=fresh)

    def _stream(self, transfer: Transfer) -> TransferResult:
        transfer.on_head = self._reader.on_head
        transfer.on_data = self._on_data
        self._token_at = time.monotonic()
        result = self._transfer(transfer, self._stopped)
        if self._reader.crossed:
            result.error = "crossed"
        elif self._reader.problem:
            result.error = "broken"
        elif result.error == "stopped":
            result.detail = f"no token for {self._stall_s():g} s"
        result.detail = self._reader.problem or result.detail
        return result

    def _transfer(self, transfer: Transfer, should_stop: Callable[[], bool]) -> TransferResult:
        self._refused = None
        transfer.watched = self._place.caller
        transfer.should_stop = should_stop
        result = fetch(transfer)
        if result.error == "gone":
            raise AbortStreamError
        if self._refused is not None:
            raise FailureError(self._refused)
        return result

    def _key_refused(self) -> bool:
        self._refused = self._refused or self._guard.failure(Verdict.MAY_HAVE_RUN)
        return self._refused is not None

    def _stall_s(self) -> float:
        """Returns how long the next token may take; the first one includes the transfer of the KV cache."""
        if self._got_token:
            return _STALL_S
        return max(_FIRST_STALL_S, 4 * (self._place.assignment.predicted_first_token_s or 0))

    def _stopped(self) -> bool:
        if self._reader.problem or self._key_refused():
            return True
        return time.monotonic() - self._token_at >= self._stall_s()

    def _on_data(self, data: bytes) -> None:
        texts = self._reader.feed(data)
        if texts:
            self._token_at = time.monotonic()
            if not self._got_token:
                self._got_token = True
                self._place.left("prefill")
            self._texts += texts
            self._on_tokens(texts)

    def _lost(self, outcome: str, server: str, result: TransferResult) -> _LostError:
        verdict = result.verdict if result.status == 0 and not self._texts else Verdict.MAY_HAVE_RUN
        detail = result.detail or f"status {result.status}"
        code = "crossed_answer" if result.error == "crossed" else outcome
        return _LostError(outcome, server, Failure(code, f"the engine did not answer: {detail}", verdict, 502, 1.0))


def _object(data: bytes) -> dict[str, Any] | None:
    try:
        value = json.loads(data)
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
