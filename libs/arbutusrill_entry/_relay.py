"""One completion on the engines: prefill, then decode, token by token."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Failure, FailureError, Verdict
from arbutusrill_http import AbortStreamError, Transfer, TransferResult, fetch

from ._parse import Completion

__all__ = ["Relay", "RelayEnd"]

_PREFILL_S = 30.0
_STREAM_S = 600.0
_STALL_S = 2.0


@dataclass(slots=True)
class RelayEnd:
    """How a stream of tokens ended."""

    finish_reason: str
    tokens: int
    prompt_tokens: int


class Relay:
    """Runs one completion on the servers that it was assigned.

    `on_token` gets the text of each token, in order and once.
    """

    def __init__(self, request_id: str, vm: str, incarnation: int, completion: Completion, caller: socket.socket):
        self._request_id = request_id
        self._vm = vm
        self._incarnation = incarnation
        self._completion = completion
        self._caller = caller
        self._buffer = b""
        self._next_offset = 0
        self._end: dict[str, Any] | None = None
        self._on_token: Callable[[str], None] = lambda _: None

    def run(self, assignment: Any, on_token: Callable[[str], None]) -> RelayEnd:
        """Runs prefill and decode; raises `FailureError` or, when the caller has left, `AbortStreamError`."""
        self._on_token = on_token
        prefill = self._prefill(assignment)
        return self._decode(assignment, prefill)

    @property
    def tokens(self) -> int:
        """Number of output tokens passed on so far."""
        return self._next_offset

    def _identity(self) -> dict[str, Any]:
        return {"request_id": self._request_id, "vm": self._vm, "incarnation": self._incarnation}

    def _prefill(self, assignment: Any) -> dict[str, Any]:
        body = {**self._identity(), "model": self._completion.model, "prompt": self._completion.prompt}
        result = self._post(assignment.prefill_address, "/engine/prefill", body, timeout_s=_PREFILL_S)
        if not result.whole or result.status != 200:
            raise self._failure("prefill_failed", result)
        answer = json.loads(result.body)
        if answer.get("request_id") != self._request_id:
            raise FailureError(Failure("crossed_answer", "a server answered another request", Verdict.MAY_HAVE_RUN))
        return answer

    def _decode(self, assignment: Any, prefill: dict[str, Any]) -> RelayEnd:
        body = {
            **self._identity(),
            "model": self._completion.model,
            "kv_handle": prefill["kv_handle"],
            "source": assignment.prefill_address,
            "prompt_tokens": prefill["prompt_tokens"],
            "max_tokens": self._completion.max_tokens,
        }
        result = self._post(
            assignment.decode_address,
            "/engine/decode",
            body,
            timeout_s=_STREAM_S,
            stall_s=_STALL_S,
            on_data=self._on_data,
        )
        if self._end is None:
            raise self._failure("decode_failed", result)
        return RelayEnd(self._end["finish_reason"], self._next_offset, prefill["prompt_tokens"])

    def _post(self, address: str, path: str, body: dict[str, Any], **options: Any) -> TransferResult:
        result = fetch(
            Transfer(
                "POST",
                address + path,
                ["Content-Type: application/json"],
                json.dumps(body).encode(),
                watched=self._caller,
                **options,
            )
        )
        if result.error == "gone":
            self._cancel(address)
            raise AbortStreamError
        return result

    def _cancel(self, address: str) -> None:
        body = json.dumps({"request_id": self._request_id}).encode()
        for _ in range(3):
            result = fetch(
                Transfer("POST", f"{address}/engine/cancel", ["Content-Type: application/json"], body, timeout_s=1.0)
            )
            if result.whole and result.status == 200:
                return
            time.sleep(0.1)

    def _failure(self, code: str, result: TransferResult) -> FailureError:
        verdict = result.verdict if result.status == 0 else Verdict.MAY_HAVE_RUN
        detail = result.detail or f"status {result.status}"
        return FailureError(Failure(code, f"the engine did not answer: {detail}", verdict, 502))

    def _on_data(self, data: bytes) -> None:
        self._buffer += data
        while b"\n\n" in self._buffer:
            event, _, self._buffer = self._buffer.partition(b"\n\n")
            if event.startswith(b"data: "):
                self._on_event(json.loads(event[6:]))

    def _on_event(self, event: dict[str, Any]) -> None:
        if event.get("request_id") != self._request_id:
            raise FailureError(Failure("crossed_answer", "a server answered another request", Verdict.MAY_HAVE_RUN))
        if event.get("end"):
            self._end = event
            return
        if event["offset"] != self._next_offset:
            raise FailureError(Failure("token_gap", "the engine's stream has a gap", Verdict.MAY_HAVE_RUN, 502))
        self._next_offset += 1
        self._on_token(event["token"])
