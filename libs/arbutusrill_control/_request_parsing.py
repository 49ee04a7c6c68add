"""Parsing and validation of operators' HTTP requests."""

from __future__ import annotations

from typing import Any

from arbutusrill_base import MAX_INTEGER, Failure, FailureError, Verdict, load_json
from arbutusrill_http import peer_closed
from werkzeug.wrappers import Request

__all__ = ["get_field", "get_number", "parse_if_revision", "parse_json_body", "require_caller", "struct_to_dict"]


def invalid_value_error(name: str | None, message: str, code: str = "bad_value") -> FailureError:
    """Returns a 400 error for the request field `name`."""
    return FailureError(Failure(code, message, status=400, param=name))


def parse_json_body(request: Request) -> dict[str, Any]:
    """Parses the body as a JSON object; an empty body gives an empty object. Raises `FailureError`."""
    data = request.get_data()
    try:
        body = load_json(data) if data else {}
    except ValueError:
        raise invalid_value_error(None, "the body must be a JSON object", "bad_json") from None
    if not isinstance(body, dict):
        raise invalid_value_error(None, "the body must be a JSON object", "bad_json")
    return body


def get_field(body: dict[str, Any], name: str, kind: Any, default: Any = None) -> Any:
    """Returns a field of type `kind`; raises `FailureError` if it has another type or is missing without a default."""
    value = body.get(name, default)
    if value is None or not isinstance(value, kind) or (isinstance(value, bool) and kind not in (bool, object)):
        message = f"{name} is missing" if name not in body else f"{name} has the wrong type"
        raise invalid_value_error(name, message)
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        raise invalid_value_error(name, f"{name} is too large")
    return value


def get_number(body: dict[str, Any], name: str, default: float | None = None) -> float:
    """Returns a numeric field as a float; raises `FailureError` if it is not a number or overflows a float."""
    value = get_field(body, name, (int, float), default)
    try:
        return float(value)
    except OverflowError:
        raise invalid_value_error(name, f"{name} is too large") from None


def parse_if_revision(request: Request) -> int:
    """Parses the query parameter ``if_revision``, -1 when absent; raises `FailureError`."""
    text = request.args.get("if_revision")
    if text is None:
        return -1
    # Ignoring an invalid condition would make the change unconditional and overwrite concurrent changes.
    if not (text.isascii() and text.isdigit()) or len(text) > 18:
        raise invalid_value_error("if_revision", "if_revision must be a number of at least 0")
    return int(text)


def struct_to_dict(struct: Any) -> dict[str, Any]:
    """Returns the fields of a thrift struct as a dict for JSON."""
    return dict(vars(struct))


def require_caller(request: Request) -> None:
    """Refuses a change whose caller has left: it may have given it up and made another one at another VM meanwhile."""
    connection = request.environ.get("werkzeug.socket")
    if connection is not None and peer_closed(connection):
        raise FailureError(Failure("caller_gone", "the caller has closed its connection", Verdict.NOT_RUN, 503))
