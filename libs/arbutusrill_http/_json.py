"""JSON answers and the error object of the OpenAI-compatible interface."""

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
    # Lone surrogates, which JSON escapes can hold, have no UTF-8 form.
    return Response(text.encode("utf-8", "replace"), status, headers, content_type="application/json")


def error_body(failure: Failure) -> dict[str, Any]:
    """Returns the error object for a failure, with its verdict.

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
    """Returns a failure as a response, with Retry-After in whole seconds where a retry helps."""
    headers = {"X-Verdict": failure.verdict.value}
    if failure.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after)))
    return json_response(error_body(failure), failure.status, headers)
