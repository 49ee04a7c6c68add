"""Parsing and validation of request bodies and headers."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Failure, FailureError
from werkzeug.wrappers import Request

__all__ = ["Completion", "bad_request", "json_object", "parse_completion", "parse_deadline", "parse_latency_class"]

LATENCY_CLASSES = ("lookup", "interactive", "briefing")
_DEFAULT_OUTPUT_TOKENS = 256
_MAX_OUTPUT_TOKENS = 32_768
_MAX_DEADLINE_MS = 3_600_000
_NUMBER_RANGES = {
    "temperature": (0, 2),
    "top_p": (0, 1),
    "presence_penalty": (-2, 2),
    "frequency_penalty": (-2, 2),
    "top_logprobs": (0, 20),
}
_DESCRIPTION_BY_TYPE = {
    str: "a text",
    bool: "true or false",
    int: "a whole number",
    (int, float): "a number",
    list: "a list",
    dict: "an object",
}
_BYTES_PER_TOKEN = 4  # typical average for English text in byte-pair encodings


@dataclass(slots=True)
class Completion:
    """A validated completion request; `prompt_tokens` is an estimate from the length of the prompt."""

    model: str
    prompt: str
    chat: bool
    stream: bool
    max_tokens: int
    prompt_tokens: int
    include_usage: bool = False


def bad_request(param: str | None, message: str, code: str = "invalid_value", status: int = 400) -> FailureError:
    """Returns the error for a request whose field or header `param` is invalid."""
    return FailureError(Failure(code, message, status=status, param=param))


def parse_completion(request: Request, chat: bool) -> Completion:
    """Parses the body of a completion request; raises `FailureError` that names the invalid field."""
    body = json_object(request)
    model = _typed_field(body, "model", str, required=True)
    stream = _typed_field(body, "stream", bool) or False
    options = _typed_field(body, "stream_options", dict) or {}
    field = "max_completion_tokens" if "max_completion_tokens" in body else "max_tokens"
    max_tokens = _typed_field(body, field, int)
    if max_tokens is None:
        max_tokens = _DEFAULT_OUTPUT_TOKENS
    if not 1 <= max_tokens <= _MAX_OUTPUT_TOKENS:
        raise bad_request(field, f"{field} must be between 1 and {_MAX_OUTPUT_TOKENS}")
    for name, (lowest, highest) in _NUMBER_RANGES.items():
        value = _typed_field(body, name, (int, float))
        if value is not None and not lowest <= value <= highest:
            raise bad_request(name, f"{name} must be between {lowest:g} and {highest:g}")
    if _typed_field(body, "n", int) not in (None, 1):
        raise bad_request("n", "n must be 1")
    prompt = _chat_prompt(body) if chat else _text_prompt(body)
    tokens = max(1, -(-len(prompt.encode("utf-8", "replace")) // _BYTES_PER_TOKEN))
    return Completion(model, prompt, chat, stream, max_tokens, tokens, bool(options.get("include_usage")))


def parse_latency_class(request: Request, default: str) -> str:
    """Returns the latency class of the ``X-Latency-Class`` header, or `default` without the header."""
    value = request.headers.get("X-Latency-Class", default)
    if value not in LATENCY_CLASSES:
        raise bad_request("X-Latency-Class", f"X-Latency-Class must be one of {', '.join(LATENCY_CLASSES)}")
    return value


def parse_deadline(request: Request, max_wait_s: float) -> tuple[float, bool]:
    """Returns the deadline for waiting, in seconds on the monotonic clock, and whether the caller has set it.

    Without the ``X-Deadline-Ms`` header, the deadline is `max_wait_s` from now.
    """
    text = request.headers.get("X-Deadline-Ms")
    if text is None:
        return time.monotonic() + max_wait_s, False
    if not (text.isascii() and text.isdigit()) or len(text) > 9 or not 1 <= int(text) <= _MAX_DEADLINE_MS:
        raise bad_request("X-Deadline-Ms", f"X-Deadline-Ms must be a number from 1 to {_MAX_DEADLINE_MS}")
    return time.monotonic() + int(text) / 1000, True


def json_object(request: Request) -> dict[str, Any]:
    """Returns the body parsed as a JSON object; raises `FailureError` for any other body."""
    try:
        text = request.get_data().decode("utf-8")
    except UnicodeDecodeError as error:
        raise bad_request(None, f"the body is not UTF-8 at byte {error.start}", "invalid_utf8") from None
    try:
        body = json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise bad_request(None, f"the body is not JSON: {error}", "invalid_json") from None
    if not isinstance(body, dict):
        raise bad_request(None, "the body must be a JSON object", "invalid_json")
    return body


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def _typed_field(body: dict[str, Any], name: str, expected_type: Any, required: bool = False) -> Any:
    value = body.get(name)
    if value is None:
        if required:
            raise bad_request(name, f"{name} is required", "missing_field")
        return None
    if not isinstance(value, expected_type) or (expected_type is not bool and isinstance(value, bool)):
        raise bad_request(name, f"{name} must be {_DESCRIPTION_BY_TYPE[expected_type]}", "wrong_type")
    return value


def _text_prompt(body: dict[str, Any]) -> str:
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1 and isinstance(prompt[0], str):
        return prompt[0]
    return _typed_field(body, "prompt", str, required=True)


def _chat_prompt(body: dict[str, Any]) -> str:
    messages = _typed_field(body, "messages", list, required=True)
    if not messages:
        raise bad_request("messages", "messages must not be empty")
    parts = []
    for index, message in enumerate(messages):
        field_path = f"messages[{index}]"
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise bad_request(field_path, f"{field_path} must be an object with a role", "wrong_type")
        parts.append(f"{message['role']}: {_message_text(message.get('content'), field_path)}")
    return "\n".join(parts)


def _message_text(content: Any, field_path: str) -> str:
    if content is None:
        raise bad_request(f"{field_path}.content", f"{field_path}.content is required", "missing_field")
    if isinstance(content, str):
        return content
    if isinstance(content, list) and all(
        isinstance(part, dict) and isinstance(part.get("text"), str) for part in content
    ):
        return "".join(part["text"] for part in content)
    raise bad_request(f"{field_path}.content", f"{field_path}.content must be text", "wrong_type")
