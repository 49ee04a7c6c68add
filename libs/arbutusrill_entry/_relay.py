"""Execution of one completion on the engines: prefill, then streamed decode, with failover between servers."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Failure, FailureError, PartLog, Verdict, load_json, whole_number
from arbutusrill_http import AbortStreamError, BodyReservation, Transfer, TransferResult, fetch

from ._context import EntryContext
from ._events import EventReader
from ._guard import KeyGuard
from ._parse import Completion
from ._reservation import ServerReservation

__all__ = ["Relay", "RelayResult"]

_MAX_PREFILL_TIMEOUT_S = 30.0
_STREAM_TIMEOUT_S = 3600.0
_MIN_PREFILL_TIMEOUT_S = 2.0
_TOKEN_TIMEOUT_S = 1.0  # without a token; the stream is then resumed on a new connection
# While the engine confirms that it holds the stream but sends no token, the timeout doubles up to this one; after it
# the engine counts as failed. The timeout is also a multiple of the longest pause of the stream so far.
_MAX_TOKEN_TIMEOUT_S = 8.0
_PAUSE_FACTOR = 2.0
_MIN_FIRST_TOKEN_TIMEOUT_S = 2.0
_STATE_LOST_STATUSES = (404, 409, 410)  # the engine works but does not hold this stream or KV cache
_MAX_ATTEMPTS = 4
_GROUPED_TOKENS = 256
_MAX_PREFILL_ANSWER_BYTES = 65_536  # a handle and two counts
_JSON_HEADERS = ["Content-Type: application/json"]
_log = PartLog("relay")


@dataclass(slots=True)
class RelayResult:
    """Finish reason and token counts of a completed stream."""

    finish_reason: str
    output_tokens: int
    prompt_tokens: int


class _AttemptFailedError(Exception):
    """Raised when the servers of an attempt cannot complete the request because `failed_server` failed."""

    def __init__(self, outcome: str, failed_server: str, failure: Failure):
        super().__init__(failure.message)
        self.outcome = outcome
        self.failed_server = failed_server
        self.failure = failure


class _EngineStateLostError(Exception):
    """Raised when a working engine has lost the stream or the KV cache of the request.

    `attempt_error` is raised in its place if this happens again after a second prefill.
    """

    def __init__(self, attempt_error: _AttemptFailedError):
        super().__init__(attempt_error.failure.message)
        self.attempt_error = attempt_error


class _Output:
    """The texts of the tokens of one request, joined in groups: a text of its own takes ten times its characters."""

    def __init__(self) -> None:
        self.token_count = 0
        self._groups: list[str] = []
        self._texts: list[str] = []

    def add(self, texts: list[str]) -> None:
        self.token_count += len(texts)
        self._texts += texts
        if len(self._texts) >= _GROUPED_TOKENS:
            self._groups.append("".join(self._texts))
            self._texts.clear()

    def text(self) -> str:
        return "".join([*self._groups, *self._texts])


class Relay:
    """Runs one completion on the servers of a reservation and fails over to others.

    The callback `on_tokens` receives the texts of the tokens that arrived together, in order and without duplicates.
    What is kept of the answers of the engines takes room in `memory`, whose owner releases it.
    """

    def __init__(
        self,
        context: EntryContext,
        reservation: ServerReservation,
        completion: Completion,
        guard: KeyGuard,
        memory: BodyReservation,
    ):
        self._memory = memory
        self._context = context
        self._reservation = reservation
        self._completion = completion
        self._guard = guard
        self._output = _Output()
        self._prompt_tokens = 0
        self._reader = self._new_reader(0)
        self._on_tokens: Callable[[list[str]], None] = lambda _: None
        self._token_received = False
        self._last_token_at = 0.0  # or the start of the transfer
        self._paused_since = 0.0  # time of the last token, also across resumptions
        self._longest_pause_s = 0.0
        self._stall_count = 0  # resumptions without a token since the last one
        self._decode_started_at = 0.0
        self._key_failure: Failure | None = None

    @property
    def token_count(self) -> int:
        """Number of output tokens relayed so far."""
        return self._output.token_count

    def text(self) -> str:
        """Returns the text of all output tokens relayed so far."""
        return self._output.text()

    def run(self, on_tokens: Callable[[list[str]], None]) -> RelayResult:
        """Runs prefill and decode; raises `FailureError`, or `AbortStreamError` if the caller has disconnected."""
        self._on_tokens = on_tokens
        self._context.retry_budget.record_request()
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            try:
                self._run_attempt()
                break
            except _AttemptFailedError as attempt_error:
                self._change_servers(attempt_error, attempt)
        return RelayResult(self._reader.finish_reason, self._output.token_count, self._prompt_tokens)

    def _change_servers(self, attempt_error: _AttemptFailedError, attempt: int) -> None:
        """Reserves other servers after a failed attempt.

        Raises `FailureError` if no retry is left or no servers are assigned in time.
        """
        _log.warning(
            "request %s: %s at server %s: %s",
            self._reservation.ticket,
            attempt_error.outcome,
            attempt_error.failed_server,
            attempt_error.failure.message,
        )
        self._reservation.set_failure(attempt_error.outcome, attempt_error.failed_server)
        if attempt == _MAX_ATTEMPTS or not self._context.try_acquire_retry():
            raise FailureError(attempt_error.failure) from None
        try:
            self._reservation.reassign(attempt_error.outcome, attempt_error.failed_server)
        except FailureError as error:
            failure = error.failure
            verdict = attempt_error.failure.verdict.combine(failure.verdict)
            message = f"{attempt_error.failure.message}; {failure.message}"
            raise FailureError(Failure(failure.code, message, verdict, failure.status, failure.retry_after)) from None

    def _run_attempt(self) -> None:
        """Runs one attempt, with a second prefill if an engine has lost the stream or the KV cache."""
        for is_repeat in (False, True):
            self._reader = self._new_reader(self._reader.text_bytes)
            self._token_received = False
            result = self._decode(self._prefill())
            try:
                while not self._reader.finish_reason:
                    result = self._resume(result)
                break
            except _EngineStateLostError as state_error:
                if is_repeat:
                    raise state_error.attempt_error from None
        self._reservation.clear_stage("decode")
        self._reservation.release.tokens = self._output.token_count
        self._reservation.release.decode_s = time.monotonic() - self._decode_started_at

    def _new_reader(self, text_bytes: int) -> EventReader:
        max_tokens = self._completion.max_tokens
        return EventReader(self._reservation.ticket, self._output.token_count, max_tokens, self._memory, text_bytes)

    def _prefill(self) -> dict[str, Any]:
        assignment = self._reservation.assignment
        started = time.monotonic()
        predicted_s = assignment.predicted_first_token_s or 0
        limit_s = (
            min(_MAX_PREFILL_TIMEOUT_S, max(_MIN_PREFILL_TIMEOUT_S, 4 * predicted_s + 1))
            if predicted_s > 0
            else _MAX_PREFILL_TIMEOUT_S
        )
        body = {"model": self._completion.model, "prompt": self._completion.prompt + self._output.text()}
        self._reservation.mark_stage(assignment.prefill_address, "prefill")
        transfer = self._post(assignment.prefill_address, "/engine/prefill", body, limit_s)
        transfer.max_body_bytes = _MAX_PREFILL_ANSWER_BYTES
        with self._context.body_budget.open(self._guard.workspace, is_response=True) as transfer.memory:
            result = self._transfer(transfer, self._key_refused)
        answer = _parse_json_object(result.body) if result.is_complete and result.status == 200 else None
        if answer is None or answer.get("request_id") != self._reservation.ticket or "kv_handle" not in answer:
            if answer is not None:
                result.detail = "the answer is not the one to this request"
            raise self._make_attempt_error("prefill_failed", assignment.prefill_server, result)
        self._reservation.release.prefill_s = time.monotonic() - started
        self._reservation.release.cached_tokens = whole_number(answer.get("cached_tokens")) or 0
        self._prompt_tokens = self._prompt_tokens or whole_number(answer.get("prompt_tokens")) or 0
        return answer

    def _decode(self, prefill: dict[str, Any]) -> TransferResult:
        assignment = self._reservation.assignment
        body = {
            "model": self._completion.model,
            "kv_handle": prefill["kv_handle"],
            "source": assignment.prefill_address,
            "prompt_tokens": prefill.get("prompt_tokens", 0),
            "offset": self._output.token_count,
            "max_tokens": self._completion.max_tokens - self._output.token_count,
            "priority": assignment.priority or 0,
        }
        self._decode_started_at = time.monotonic()
        self._reservation.mark_stage(assignment.decode_address, "decode")
        return self._stream(self._post(assignment.decode_address, "/engine/decode", body, _STREAM_TIMEOUT_S))

    def _resume(self, broken_result: TransferResult) -> TransferResult:
        """Continues a broken stream over a new connection, from the next token offset.

        Raises `_AttemptFailedError` if the server has failed and `_EngineStateLostError` if it has lost the stream.
        """
        assignment = self._reservation.assignment
        if self._output.token_count == self._completion.max_tokens:
            self._reader.finish_reason = "length"
            return broken_result
        attempt_error = self._make_attempt_error("decode_failed", assignment.decode_server, broken_result)
        if broken_result.status in _STATE_LOST_STATUSES:
            raise _EngineStateLostError(attempt_error)
        if broken_result.error in ("crossed", "too_large", "connect") or broken_result.status not in (0, 200):
            raise attempt_error
        tokens_before = self._output.token_count
        _log.info(
            "request %s: resuming the stream after %d tokens: %s",
            self._reservation.ticket,
            tokens_before,
            broken_result.detail or "stream ended early",
        )
        url = (
            f"{assignment.decode_address}/engine/streams/{self._reservation.ticket}?offset={self._reader.next_offset()}"
        )
        self._reader.restart()
        result = self._stream(Transfer("GET", url, timeout_s=_STREAM_TIMEOUT_S))
        if result.status in _STATE_LOST_STATUSES:
            raise _EngineStateLostError(self._make_attempt_error("decode_failed", assignment.decode_server, result))
        is_alive = (
            self._output.token_count > tokens_before or self._reader.finish_reason or self._extend_timeout(result)
        )
        if not is_alive:
            raise self._make_attempt_error("decode_failed", assignment.decode_server, result)
        return result

    def _post(self, address: str, path: str, body: dict[str, Any], timeout_s: float) -> Transfer:
        identity = self._context.follower.identity
        payload = {
            "request_id": self._reservation.ticket,
            "vm": identity.vm,
            "incarnation": identity.incarnation,
            **body,
        }
        return Transfer(
            "POST",
            address + path,
            _JSON_HEADERS,
            json.dumps(payload).encode(),
            timeout_s,
        )

    def _stream(self, transfer: Transfer) -> TransferResult:
        transfer.on_head = self._reader.on_head
        transfer.on_data = self._on_data
        self._last_token_at = time.monotonic()
        result = self._transfer(transfer, self._should_stop)
        if self._reader.request_mismatch:
            result.error = "crossed"
        elif self._reader.lacks_memory:
            raise self._memory_failure()
        elif self._reader.is_endless:
            result.error = "too_large"
        elif self._reader.problem:
            result.error = "broken"
        elif result.error == "stopped":
            result.detail = f"no token for {self._token_timeout_s():g} s"
        result.detail = self._reader.problem or result.detail
        return result

    def _transfer(self, transfer: Transfer, should_stop: Callable[[], bool]) -> TransferResult:
        self._key_failure = None
        transfer.caller_connection = self._reservation.caller
        transfer.should_stop = should_stop
        result = fetch(transfer)
        if result.error == "gone":
            raise AbortStreamError
        if self._key_failure is not None:
            raise FailureError(self._key_failure)
        if result.error == "no_memory":
            raise self._memory_failure()
        return result

    def _memory_failure(self) -> FailureError:
        """Returns the error of a request for whose answer this VM has no memory, which says nothing of the engine."""
        message = "too many large answers at the moment"
        return FailureError(Failure("response_memory", message, Verdict.MAY_HAVE_RUN, 502))

    def _key_refused(self) -> bool:
        self._key_failure = self._key_failure or self._guard.check_key(Verdict.MAY_HAVE_RUN)
        return self._key_failure is not None

    def _token_timeout_s(self) -> float:
        """Returns the timeout for the next token; the first one includes the transfer of the KV cache."""
        if self._token_received:
            base_s = max(_TOKEN_TIMEOUT_S, _PAUSE_FACTOR * self._longest_pause_s)
            return min(_MAX_TOKEN_TIMEOUT_S, base_s * 2**self._stall_count)
        return max(_MIN_FIRST_TOKEN_TIMEOUT_S, 4 * (self._reservation.assignment.predicted_first_token_s or 0))

    def _extend_timeout(self, result: TransferResult) -> bool:
        """Doubles the token timeout if the engine has confirmed that it holds the stream; returns whether it did."""
        if result.status != 200 or result.error != "stopped" or self._token_timeout_s() >= _MAX_TOKEN_TIMEOUT_S:
            return False
        self._stall_count += 1
        return True

    def _should_stop(self) -> bool:
        if self._reader.problem or self._key_refused():
            return True
        return time.monotonic() - self._last_token_at >= self._token_timeout_s()

    def _on_data(self, data: bytes) -> None:
        texts = self._reader.feed(data)
        if texts:
            now = time.monotonic()
            if self._token_received:
                self._longest_pause_s = max(self._longest_pause_s, now - self._paused_since)
            self._last_token_at = self._paused_since = now
            self._stall_count = 0
            if not self._token_received:
                self._token_received = True
                self._reservation.clear_stage("prefill")
            self._output.add(texts)
            self._on_tokens(texts)

    def _make_attempt_error(self, outcome: str, server: str, result: TransferResult) -> _AttemptFailedError:
        verdict = result.verdict if result.status == 0 and not self._output.token_count else Verdict.MAY_HAVE_RUN
        detail = result.detail or f"status {result.status}"
        code = "crossed_answer" if result.error == "crossed" else outcome
        return _AttemptFailedError(
            outcome, server, Failure(code, f"the engine did not answer: {detail}", verdict, 502, 1.0)
        )


def _parse_json_object(data: bytes) -> dict[str, Any] | None:
    try:
        value = load_json(data)
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
