"""JSON responses and the error object of the OpenAI-compatible API."""

from __future__ import annotations

import json
import math
from typing import Any

from arbutusrill_base import Failure
from werkzeug.wrappers import Response

__all__ = ["error_body", "failure_response", "json_response"]


def json_response(value: Any, status: int = 200, headers: dict[str, str] | None = None) -> Response:
    """Returns `value` as a JSON response."""
    text = json.dumps(value, ensure_ascii=False)
    # JSON escapes can contain lone surrogates, which cannot be encoded in UTF-8.
    return Response(text.encode("utf-8", "replace"), status, headers, content_type="application/json")


def error_body(failure: Failure) -> dict[str, Any]:
    """Returns the body of an error response for a failure, including its verdict.

    >>> error_body(Failure("stale", "not fresh"))["error"]["verdict"]
    'not_run'
    """
    kind = "invalid_request_error" if 400 <= failure.status < 500 else "server_error"
    return {
        "error": {
            "message": failure.message,
            "type": kind,
            "param": failure.param,
            "code": failure.code,
            "verdict": failure.verdict.value,
        }
    }


def failure_response(failure: Failure) -> Response:
    """Returns the error response for a failure, with Retry-After in whole seconds if a retry helps."""
    headers = {"X-Verdict": failure.verdict.value}
    if failure.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after)))
    return json_response(error_body(failure), failure.status, headers)
