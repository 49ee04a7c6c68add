"""Checks of changes before the state machine carries them out. Every replica decides the same."""

from __future__ import annotations

import json
from typing import Any

__all__ = [
    "ENDED_ORDER_STATES",
    "FEATURE_LEVEL",
    "MAX_ORDERS",
    "RejectedError",
    "UnsupportedLevelError",
    "check_change",
    "check_envelope",
    "check_order",
]

FEATURE_LEVEL = 2  # highest level of which this version knows all kinds of changes
MAX_ORDERS = 1000
ENDED_ORDER_STATES = ("done", "failed", "withdrawn")

_LEVEL_BY_KIND = {"forget_vm": 2}  # kinds that replicas of an older version do not know
_MAX_NAME = 128  # characters
_MAX_REASON = 1000
_MAX_REQUEST_ID = 250
_MAX_ROUTES = 100
_MAX_ARGUMENT = 2000
_METHODS = ("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_ORDER_ACTIONS = ("load_model", "load_adapter", "load_version", "unload", "set_role", "drain", "resume")
# An order that is under way may be taken over by a new owner of the pool, which keeps its state.
_NEXT_ORDER_STATES = {
    "": ("requested",),
    "requested": ("released", "failed", "withdrawn"),
    "released": ("released", "running", "done", "failed", "withdrawn"),
    "running": ("running", "done", "failed"),
}
_NAMED_FIELDS = (
    "id", "name", "workspace", "key_id", "scope_name", "data_centre", "owner", "kind", "server", "pool",
)  # fmt: skip
_MAY_BE_EMPTY = {("put_order", "pool"), ("assign_pool", "owner"), ("put_vm", "data_centre")}


class RejectedError(Exception):
    """A change that the state machine does not accept; it leaves the state as it was."""

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


class UnsupportedLevelError(Exception):
    """The group has moved to a feature level that this version does not know: the replica must not go on."""


def check_envelope(made: Any) -> str | None:
    """Returns what is wrong with the fields that every `Command` has, or None."""
    if not 0 < len(made.request_id or "") <= _MAX_REQUEST_ID:
        return f"a request id has 1 to {_MAX_REQUEST_ID} characters"
    if len(made.actor or "") > _MAX_NAME or made.at_ms is None:
        return f"a command needs a time and an actor of at most {_MAX_NAME} characters"
    return None


def check_change(kind: str, change: Any, feature_level: int) -> None:
    """Checks lengths and forms of the fields of one change; raises `RejectedError`."""
    needed = _LEVEL_BY_KIND.get(kind, 1)
    if feature_level < needed:
        raise RejectedError("feature_level", f"{kind} needs feature level {needed}, the group is at {feature_level}")
    for field in _NAMED_FIELDS:
        if hasattr(change, field):
            _check_name(kind, field, getattr(change, field))
    if kind == "add_exception":
        _check_text("reason", change.reason, _MAX_REASON)
        if not change.reason.strip():
            raise RejectedError("bad_value", "an exception needs a reason")
    elif kind == "issue_key" and len(change.key_hash or "") != 64:
        raise RejectedError("bad_value", "a key is stored by its SHA-256 in hexadecimal")
    elif kind == "put_service":
        _check_routes(change)
    elif kind == "set_feature_level" and change.level > FEATURE_LEVEL:
        raise UnsupportedLevelError(f"feature level {change.level} needs a newer version, this one has {FEATURE_LEVEL}")


def _check_name(kind: str, field: str, value: str | None) -> None:
    if not value:
        if (kind, field) in _MAY_BE_EMPTY:
            return
        raise RejectedError("bad_value", f"{field} must not be empty")
    _check_text(field, value, _MAX_NAME)
    if not value.isprintable():
        raise RejectedError("bad_value", f"{field} must not have control characters")


def _check_text(field: str, value: str | None, longest: int) -> None:
    if value is None or len(value) > longest:
        raise RejectedError("bad_value", f"{field} must have at most {longest} characters")


def _check_routes(change: Any) -> None:
    if "/" in change.name:
        raise RejectedError("bad_value", "a service needs a name without a slash")
    if change.routes is None or len(change.routes) > _MAX_ROUTES:
        raise RejectedError("bad_value", f"a service has at most {_MAX_ROUTES} routes")
    for route in change.routes:
        _check_text("prefix", route.prefix, _MAX_REASON)
        if not route.prefix.startswith("/"):
            raise RejectedError("bad_value", f"route prefix {route.prefix!r} must start with a slash")
        if route.method not in _METHODS:
            raise RejectedError("bad_value", f"route method {route.method[:20]!r} must be one of {', '.join(_METHODS)}")


def check_order(known: Any | None, change: Any) -> None:
    """Checks that an order is well formed and follows its recorded state; raises `RejectedError`."""
    if change.action not in _ORDER_ACTIONS:
        raise RejectedError("bad_value", f"action must be one of {', '.join(_ORDER_ACTIONS)}")
    _check_text("argument", change.argument_json, _MAX_ARGUMENT)
    _check_text("detail", change.detail, _MAX_REASON)
    try:
        argument = json.loads(change.argument_json)
    except (ValueError, RecursionError):
        argument = None
    if not isinstance(argument, dict):
        raise RejectedError("bad_value", "the argument of an order must be a JSON object")
    state = "" if known is None else known.state
    if change.state not in _NEXT_ORDER_STATES.get(state, ()):
        raise RejectedError("conflict", f"order {change.id} cannot go from {state or 'nothing'!r} to {change.state!r}")
    if known is not None:
        if (known.server, known.action, known.argument_json) != (change.server, change.action, change.argument_json):
            raise RejectedError("conflict", f"order {change.id} is for something else")
        if change.fencing < known.fencing:
            raise RejectedError("conflict", f"order {change.id} has fencing number {known.fencing} already")
