"""The OpenAI-compatible completion calls."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable
from typing import Any

from arbutusrill_base import Failure, FailureError, new_request_id
from arbutusrill_http import AbortStreamError, error_body, json_response
from arbutusrill_limits import TokenLeases
from werkzeug.wrappers import Request

from ._auth import authenticate
from ._backends import PoolClients
from ._parse import Completion, deadline_of, latency_class_of, parse_completion
from ._relay import Relay, RelayEnd
from ._slots import Place, Wanted, leave_check

__all__ = ["Completions"]


class Completions:
    """Serves completions, streamed or whole."""

    def __init__(self, follower: Any, pools: PoolClients, limits: TokenLeases):
        self._follower = follower
        self._limits = limits
        self._pools = pools

    def serve(self, request: Request, start_response: Callable, chat: bool) -> Iterable[bytes]:
        """Serves one call; raises `FailureError` as long as the response has not begun."""
        workspace = authenticate(request, self._follower)
        completion = parse_completion(request, chat)
        latency_class = latency_class_of(request, "interactive")
        wait_s = self._follower.config.value(f"queue.max_wait_s.{latency_class}", workspace=workspace)
        deadline = deadline_of(request, wait_s)
        assigned = self._pools.known(completion.model)
        if assigned is None or assigned.kind != "model":
            message = f"the model {completion.model!r} does not exist"
            raise FailureError(Failure("model_not_found", message, status=404, param="model"))
        request_id = new_request_id()
        caller = request.environ["werkzeug.socket"]
        me = self._follower.identity
        wanted = Wanted(
            completion.model,
            request_id,
            workspace,
            latency_class,
            deadline,
            completion.prompt_tokens,
            completion.max_tokens,
        )
        relay = Relay(request_id, me.vm, me.incarnation, completion, caller)
        tokens = completion.prompt_tokens + completion.max_tokens
        with self._limits.charge(workspace, tokens, deadline, leave_check(caller)) as charge:
            try:
                with Place(self._pools, wanted, me.vm, me.incarnation, caller) as place:
                    if completion.stream:
                        return _stream(relay, place, completion, request_id, start_response)
                    return _whole(relay, place, completion, request_id)(request.environ, start_response)
            finally:
                charge.used = completion.prompt_tokens + relay.tokens


def _whole(relay: Relay, place: Place, completion: Completion, request_id: str) -> Any:
    tokens: list[str] = []
    end = relay.run(place.assignment, tokens.append)
    text = "".join(tokens)
    choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason, "logprobs": None}
    if completion.chat:
        choice["message"] = {"role": "assistant", "content": text, "refusal": None}
    else:
        choice["text"] = text
    body = {**_head(completion, request_id, streamed=False), "choices": [choice], "usage": _usage(end)}
    return json_response(body, headers={"X-Request-Id": request_id})


def _stream(
    relay: Relay, place: Place, completion: Completion, request_id: str, start_response: Callable
) -> Iterable[bytes]:
    head = _head(completion, request_id, streamed=True)
    write: Callable[[bytes], Any] | None = None

    def begin() -> Callable[[bytes], Any]:
        nonlocal write
        if write is None:
            headers = [
                ("Content-Type", "text/event-stream; charset=utf-8"),
                ("Cache-Control", "no-store"),
                ("X-Request-Id", request_id),
            ]
            write = start_response("200 OK", headers)
        return write

    def on_token(text: str) -> None:
        begin()(_event({**head, "choices": [_delta(completion, text, None)]}))

    try:
        end = relay.run(place.assignment, on_token)
    except FailureError as error:
        if write is None:
            raise
        write(_event(error_body(error.failure)))
        raise AbortStreamError from None
    begin()(_event({**head, "choices": [_delta(completion, "", end.finish_reason)]}))
    if completion.include_usage:
        begin()(_event({**head, "choices": [], "usage": _usage(end)}))
    return [b"data: [DONE]\n\n"]


def _head(completion: Completion, request_id: str, streamed: bool) -> dict[str, Any]:
    kind = "chat.completion" if completion.chat else "text_completion"
    if completion.chat and streamed:
        kind = "chat.completion.chunk"
    return {"id": request_id, "object": kind, "created": int(time.time()), "model": completion.model}


def _delta(completion: Completion, text: str, finish_reason: str | None) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
    if completion.chat:
        choice["delta"] = {"role": "assistant", "content": text} if text else {}
    else:
        choice["text"] = text
    return choice


def _usage(end: RelayEnd) -> dict[str, int]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.tokens,
        "total_tokens": end.prompt_tokens + end.tokens,
    }


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value, ensure_ascii=False).encode() + b"\n\n"
