"""The OpenAI-compatible completion calls."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable
from json.encoder import encode_basestring_ascii
from typing import Any

from arbutusrill_base import Failure, FailureError, prefix_blocks
from arbutusrill_http import AbortStreamError, error_body, json_response
from werkzeug.wrappers import Request

from ._auth import authenticate, refuse_key_in_body
from ._call import Call
from ._context import EntryContext
from ._guard import KeyGuard
from ._parse import Completion, deadline_of, latency_class_of, parse_completion
from ._relay import Relay, RelayEnd
from ._slots import Place, Wanted, leave_check

__all__ = ["Completions"]

_MAX_BLOCKS = 512  # of 64 tokens: 8 kB in each call to the pool's owner


class Completions:
    """Serves completions, streamed or whole."""

    def __init__(self, context: EntryContext):
        self._context = context

    def serve(self, request: Request, start_response: Callable, chat: bool, call: Call) -> Iterable[bytes]:
        """Serves one call; raises `FailureError` as long as the response has not begun."""
        guard = authenticate(request, self._context.follower)
        call.workspace = guard.workspace
        completion = parse_completion(request, chat)
        refuse_key_in_body(request, self._context.follower)
        call.route = "chat" if chat else "completions"
        assigned = self._context.pools.known(completion.model)
        if assigned is None or assigned.kind != "model":
            message = f"the model {completion.model!r} does not exist"
            raise FailureError(Failure("model_not_found", message, status=404, param="model"))
        wanted = self._wanted(request, completion, guard, call.request_id)
        caller = request.environ["werkzeug.socket"]
        tokens = completion.prompt_tokens + completion.max_tokens
        check = leave_check(caller, guard)
        with self._context.limits.charge(guard.workspace, tokens, wanted.deadline, check) as charge:
            charge.used = 0
            with Place(self._context, wanted, caller, guard) as place:
                relay = Relay(self._context, place, completion, guard)
                try:
                    if completion.stream:
                        return _stream(relay, place, completion, call, start_response)
                    return _whole(relay, place, completion, call)(request.environ, start_response)
                finally:
                    charge.used = completion.prompt_tokens + relay.tokens

    def _wanted(self, request: Request, completion: Completion, guard: KeyGuard, request_id: str) -> Wanted:
        config = self._context.follower.config
        latency_class = latency_class_of(request, "interactive")
        scope = {"workspace": guard.workspace, "model": completion.model}
        wait_s = config.value(f"queue.max_wait_s.{latency_class}", **scope)
        deadline, own = deadline_of(request, wait_s)
        return Wanted(
            completion.model,
            request_id,
            guard.workspace,
            latency_class,
            deadline,
            completion.prompt_tokens,
            completion.max_tokens,
            config.share_weight(guard.workspace),
            prefix_blocks=prefix_blocks(completion.prompt, _MAX_BLOCKS),
            move_wait_s=wait_s,
            last_moment=deadline if own else float("inf"),
        )


def _whole(relay: Relay, place: Place, completion: Completion, call: Call) -> Any:
    tokens: list[str] = []

    def on_tokens(texts: list[str]) -> None:
        call.tokens(len(texts))
        place.release.first_token_s = call.first_token_s
        tokens.extend(texts)

    end = relay.run(on_tokens)
    text = "".join(tokens)
    choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason, "logprobs": None}
    if completion.chat:
        choice["message"] = {"role": "assistant", "content": text, "refusal": None}
    else:
        choice["text"] = text
    body = {**_head(completion, call.request_id, streamed=False), "choices": [choice], "usage": _usage(end)}
    return json_response(body, headers={"X-Request-Id": call.request_id})


class _EventWriter:
    """Writes the events of one response, with one send for the tokens that arrived together."""

    def __init__(self, completion: Completion, call: Call, start_response: Callable):
        self._start_response = start_response
        self._call = call
        self._write: Callable[[bytes], Any] | None = None
        self._head = _head(completion, call.request_id, streamed=True)
        self._chat = completion.chat
        marked = json.dumps({**self._head, "choices": [_delta(completion.chat, "\0", None)]}, ensure_ascii=False)
        # Only the text differs between events: the rest is encoded once.
        before, _, after = marked.partition('"\\u0000"')
        self._before = b"data: " + before.encode()
        self._after = after.encode() + b"\n\n"

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

    def tokens(self, texts: list[str]) -> None:
        before, after = self._before, self._after
        self.write(b"".join([before + _quoted(text) + after for text in texts]))

    def end(self, end: RelayEnd, include_usage: bool) -> None:
        last = _event({**self._head, "choices": [_delta(self._chat, "", end.finish_reason)]})
        if include_usage:
            last += _event({**self._head, "choices": [], "usage": _usage(end)})
        self.write(last + b"data: [DONE]\n\n")


def _stream(
    relay: Relay, place: Place, completion: Completion, call: Call, start_response: Callable
) -> Iterable[bytes]:
    writer = _EventWriter(completion, call, start_response)

    def on_tokens(texts: list[str]) -> None:
        call.tokens(len(texts))
        place.release.first_token_s = call.first_token_s
        writer.tokens(texts)

    try:
        end = relay.run(on_tokens)
    except FailureError as error:
        if not writer.begun:
            raise
        call.failed(error.failure)
        writer.write(_event(error_body(error.failure)))
        raise AbortStreamError from None
    writer.end(end, completion.include_usage)
    return []


def _head(completion: Completion, request_id: str, streamed: bool) -> dict[str, Any]:
    kind = "chat.completion" if completion.chat else "text_completion"
    if completion.chat and streamed:
        kind = "chat.completion.chunk"
    return {"id": request_id, "object": kind, "created": int(time.time()), "model": completion.model}


def _delta(chat: bool, text: str, finish_reason: str | None) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
    if chat:
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


def _quoted(text: str) -> bytes:
    # The escaped form also holds lone surrogates, which have no UTF-8 form.
    return encode_basestring_ascii(text).encode()


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value, ensure_ascii=False).encode() + b"\n\n"
