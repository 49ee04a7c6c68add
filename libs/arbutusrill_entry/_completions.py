"""OpenAI-compatible completion endpoints."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from json.encoder import encode_basestring_ascii
from typing import Any

from arbutusrill_base import Failure, FailureError, prefix_blocks
from arbutusrill_http import AbortStreamError, error_body, json_response
from werkzeug.wrappers import Request

from ._auth import authenticate, refuse_key_in_body
from ._call import Call
from ._context import EntryContext, close_after
from ._guard import KeyGuard
from ._parse import Completion, parse_completion, parse_deadline, parse_latency_class
from ._relay import Relay, RelayResult
from ._reservation import Requirements, ServerReservation, make_wait_check

__all__ = ["Completions"]

_MAX_PREFIX_BLOCKS = 512  # of 64 tokens each; the block hashes add 8 kB to each call to the pool's owner


class Completions:
    """Serves chat and text completions, streamed or as one response."""

    def __init__(self, context: EntryContext):
        self._context = context

    def serve(self, request: Request, start_response: Callable, chat: bool, call: Call) -> Iterable[bytes]:
        """Serves one call; raises `FailureError` only before the response has begun."""
        guard = authenticate(request, self._context.follower)
        call.workspace = guard.workspace
        completion = parse_completion(request, chat)
        refuse_key_in_body(request, self._context.follower)
        call.route = "chat" if chat else "completions"
        pool = self._context.pools.find_pool(completion.model)
        if pool is None or pool.kind != "model":
            message = f"the model {completion.model!r} does not exist"
            raise FailureError(Failure("model_not_found", message, status=404, param="model"))
        requirements = self._make_requirements(request, completion, guard, call.request_id)
        caller = request.environ["werkzeug.socket"]
        tokens = completion.prompt_tokens + completion.max_tokens
        wait_check = make_wait_check(caller, guard)
        with self._context.limits.charge(guard.workspace, tokens, requirements.deadline, wait_check) as charge:
            charge.used = 0  # refunds all tokens if no server is assigned
            with (
                ExitStack() as stack,
                ServerReservation(self._context, requirements, caller, guard) as reservation,
            ):
                memory = stack.enter_context(self._context.body_budget.open(guard.workspace, is_response=True))
                relay = Relay(self._context, reservation, completion, guard, memory)
                try:
                    if completion.stream:
                        return _stream_response(relay, reservation, completion, call, start_response)
                    response = _whole_response(relay, reservation, completion, call)
                    return close_after(response(request.environ, start_response), stack)
                finally:
                    charge.used = completion.prompt_tokens + relay.token_count

    def _make_requirements(
        self, request: Request, completion: Completion, guard: KeyGuard, request_id: str
    ) -> Requirements:
        config = self._context.follower.config
        latency_class = parse_latency_class(request, "interactive")
        scope = {"workspace": guard.workspace, "model": completion.model}
        wait_s = config.value(f"queue.max_wait_s.{latency_class}", **scope)
        deadline, set_by_caller = parse_deadline(request, wait_s)
        return Requirements(
            completion.model,
            request_id,
            guard.workspace,
            latency_class,
            deadline,
            completion.prompt_tokens,
            completion.max_tokens,
            config.share_weight(guard.workspace),
            prefix_blocks=prefix_blocks(completion.prompt, _MAX_PREFIX_BLOCKS),
            reassign_wait_s=wait_s,
            caller_deadline=deadline if set_by_caller else float("inf"),
        )


def _whole_response(relay: Relay, reservation: ServerReservation, completion: Completion, call: Call) -> Any:
    def on_tokens(texts: list[str]) -> None:
        call.add_tokens(len(texts))
        reservation.release.first_token_s = call.first_token_s

    result = relay.run(on_tokens)
    text = relay.text()
    choice: dict[str, Any] = {"index": 0, "finish_reason": result.finish_reason, "logprobs": None}
    if completion.chat:
        choice["message"] = {"role": "assistant", "content": text, "refusal": None}
    else:
        choice["text"] = text
    body = {**_envelope(completion, call.request_id, streamed=False), "choices": [choice], "usage": _usage(result)}
    return json_response(body, headers={"X-Request-Id": call.request_id})


class _EventWriter:
    """Writes the server-sent events of one response; tokens that arrived together are sent in one write."""

    def __init__(self, completion: Completion, call: Call, start_response: Callable):
        self._start_response = start_response
        self._call = call
        self._write: Callable[[bytes], Any] | None = None
        self._envelope = _envelope(completion, call.request_id, streamed=True)
        self._chat = completion.chat
        template = json.dumps({**self._envelope, "choices": [_choice(completion.chat, "\0", None)]}, ensure_ascii=False)
        # Token events differ only in their text, so the JSON around it is encoded once.
        prefix, _, suffix = template.partition('"\\u0000"')
        self._text_prefix = b"data: " + prefix.encode()
        self._text_suffix = suffix.encode() + b"\n\n"

    @property
    def begun(self) -> bool:
        return self._write is not None

    def write(self, data: bytes) -> None:
        if self._write is None:
            headers = [
                ("Content-Type", "text/event-stream; charset=utf-8"),
                ("Cache-Control", "no-store"),
                ("X-Request-Id", self._call.request_id),
            ]
            self._write = self._start_response("200 OK", headers)
        self._write(data)

    def write_tokens(self, texts: list[str]) -> None:
        prefix, suffix = self._text_prefix, self._text_suffix
        self.write(b"".join([prefix + _json_string(text) + suffix for text in texts]))

    def write_end(self, result: RelayResult, include_usage: bool) -> None:
        last = _sse_event({**self._envelope, "choices": [_choice(self._chat, "", result.finish_reason)]})
        if include_usage:
            last += _sse_event({**self._envelope, "choices": [], "usage": _usage(result)})
        self.write(last + b"data: [DONE]\n\n")


def _stream_response(
    relay: Relay, reservation: ServerReservation, completion: Completion, call: Call, start_response: Callable
) -> Iterable[bytes]:
    writer = _EventWriter(completion, call, start_response)

    def on_tokens(texts: list[str]) -> None:
        call.add_tokens(len(texts))
        reservation.release.first_token_s = call.first_token_s
        writer.write_tokens(texts)

    try:
        result = relay.run(on_tokens)
    except FailureError as error:
        if not writer.begun:
            raise
        call.set_failure(error.failure)
        writer.write(_sse_event(error_body(error.failure)))
        raise AbortStreamError from None
    writer.write_end(result, completion.include_usage)
    return []


def _envelope(completion: Completion, request_id: str, streamed: bool) -> dict[str, Any]:
    object_type = "chat.completion" if completion.chat else "text_completion"
    if completion.chat and streamed:
        object_type = "chat.completion.chunk"
    return {"id": request_id, "object": object_type, "created": int(time.time()), "model": completion.model}


def _choice(chat: bool, text: str, finish_reason: str | None) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
    if chat:
        choice["delta"] = {"role": "assistant", "content": text} if text else {}
    else:
        choice["text"] = text
    return choice


def _usage(result: RelayResult) -> dict[str, int]:
    return {
        "prompt_tokens": result.prompt_tokens,
        "completion_tokens": result.output_tokens,
        "total_tokens": result.prompt_tokens + result.output_tokens,
    }


def _json_string(text: str) -> bytes:
    # ASCII escapes can also represent lone surrogates, which UTF-8 cannot encode.
    return encode_basestring_ascii(text).encode()


def _sse_event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value, ensure_ascii=False).encode() + b"\n\n"
