"""Parsing of operators' requests into typed values."""

from __future__ import annotations

import json
from typing import Any

from arbutusrill_base import Failure, FailureError
from werkzeug.wrappers import Request

__all__ = ["body_of", "field_of", "number_of", "plain", "revision_of"]


def bad_value(name: str | None, message: str, code: str = "bad_value") -> FailureError:
    """Returns the error for a request that is wrong in the field `name`."""
    return FailureError(Failure(code, message, status=400, param=name))


def body_of(request: Request) -> dict[str, Any]:
    """Returns the JSON object in the body, an empty one for no body; raises `FailureError`."""
    data = request.get_data()
    try:
        body = json.loads(data) if data else {}
    except (ValueError, RecursionError):
        raise bad_value(None, "the body must be a JSON object", "bad_json") from None
    if not isinstance(body, dict):
        raise bad_value(None, "the body must be a JSON object", "bad_json")
    return body


def field_of(body: dict[str, Any], name: str, kind: Any, default: Any = None) -> Any:
    """Returns a field of a type; raises `FailureError` when it is missing without a default or of another type."""
    value = body.get(name, default)
    if value is None or not isinstance(value, kind) or (isinstance(value, bool) and kind not in (bool, object)):
        message = f"{name} is missing" if name not in body else f"{name} has the wrong type"
        raise bad_value(name, message)
    return value


def number_of(body: dict[str, Any], name: str, default: float | None = None) -> float:
    """Returns a number as float; raises `FailureError`, also for one that is too large for a float."""
    value = field_of(body, name, (int, float), default)
    try:
        return float(value)
    except OverflowError:
        raise bad_value(name, f"{name} is too large") from None


def revision_of(request: Request) -> int:
    """Returns the revision that a change is conditional on, -1 for none; raises `FailureError`."""
    text = request.args.get("if_revision")
    if text is None:
        return -1
    # A condition that cannot be read must not be dropped: the change would win every race.
    if not (text.isascii() and text.isdigit()) or len(text) > 18:
        raise bad_value("if_revision", "if_revision must be a number of at least 0")
    return int(text)


def plain(struct: Any) -> dict[str, Any]:
    """Returns the fields of a thrift struct for JSON."""
    return dict(vars(struct))
