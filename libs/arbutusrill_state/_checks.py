"""Deterministic validation of changes before the state machine applies them."""

from __future__ import annotations

import json
from typing import Any

__all__ = [
    "EVACUATION_LEVEL",
    "ENDED_ORDER_STATES",
    "FEATURE_LEVEL",
    "MAX_ORDERS",
    "RejectedError",
    "UnsupportedLevelError",
    "check_change",
    "check_envelope",
    "check_order",
]

FEATURE_LEVEL = 3  # highest level at which this version supports every kind of change
EVACUATION_LEVEL = 3  # from which on the log may hold orders to evacuate data centres
MAX_ORDERS = 1000
ENDED_ORDER_STATES = ("done", "failed", "withdrawn")

_MIN_LEVEL_BY_KIND = {
    "forget_vm": 2,
    "put_evacuation": EVACUATION_LEVEL,
}  # kinds that replicas of older versions do not support
_MAX_NAME_CHARACTERS = 128
_MAX_TEXT_CHARACTERS = 1000
_MAX_REQUEST_ID_CHARACTERS = 250
_MAX_ROUTES = 100
_MAX_ARGUMENT_CHARACTERS = 2000
_METHODS = ("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_ORDER_ACTIONS = ("load_model", "load_adapter", "load_version", "unload", "set_role", "drain", "resume")
# An order in progress may be taken over by a new owner of the pool, which leaves its state unchanged.
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
    """Raised when the state machine rejects a change; the state is unchanged."""

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


class UnsupportedLevelError(Exception):
    """Raised when the group moves to a feature level that this version does not support; the replica must stop."""


def check_envelope(command: Any) -> str | None:
    """Returns the problem with the fields common to every `Command`, or None."""
    if not 0 < len(command.request_id or "") <= _MAX_REQUEST_ID_CHARACTERS:
        return f"a request id has 1 to {_MAX_REQUEST_ID_CHARACTERS} characters"
    if len(command.actor or "") > _MAX_NAME_CHARACTERS or command.at_ms is None:
        return f"a command needs a time and an actor of at most {_MAX_NAME_CHARACTERS} characters"
    return None


def check_change(kind: str, change: Any, feature_level: int) -> None:
    """Checks the fields of one change; raises `RejectedError`, or `UnsupportedLevelError` for a newer feature level."""
    min_level = _MIN_LEVEL_BY_KIND.get(kind, 1)
    if feature_level < min_level:
        raise RejectedError("feature_level", f"{kind} needs feature level {min_level}, the group is at {feature_level}")
    for field in _NAMED_FIELDS:
        if hasattr(change, field):
            _check_name(kind, field, getattr(change, field))
    if kind == "add_exception":
        _check_text("reason", change.reason, _MAX_TEXT_CHARACTERS)
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
    _check_text(field, value, _MAX_NAME_CHARACTERS)
    if not value.isprintable():
        raise RejectedError("bad_value", f"{field} must not have control characters")


def _check_text(field: str, value: str | None, max_characters: int) -> None:
    if value is None or len(value) > max_characters:
        raise RejectedError("bad_value", f"{field} must have at most {max_characters} characters")


def _check_routes(change: Any) -> None:
    if "/" in change.name:
        raise RejectedError("bad_value", "a service needs a name without a slash")
    if change.routes is None or len(change.routes) > _MAX_ROUTES:
        raise RejectedError("bad_value", f"a service has at most {_MAX_ROUTES} routes")
    for route in change.routes:
        _check_text("prefix", route.prefix, _MAX_TEXT_CHARACTERS)
        if not route.prefix.startswith("/"):
            raise RejectedError("bad_value", f"route prefix {route.prefix!r} must start with a slash")
        if route.method not in _METHODS:
            raise RejectedError("bad_value", f"route method {route.method[:20]!r} must be one of {', '.join(_METHODS)}")


def check_order(recorded: Any | None, change: Any) -> None:
    """Checks an order's fields and its transition from the recorded state; raises `RejectedError`."""
    if change.action not in _ORDER_ACTIONS:
        raise RejectedError("bad_value", f"action must be one of {', '.join(_ORDER_ACTIONS)}")
    _check_text("argument", change.argument_json, _MAX_ARGUMENT_CHARACTERS)
    _check_text("detail", change.detail, _MAX_TEXT_CHARACTERS)
    try:
        argument = json.loads(change.argument_json)
    except (ValueError, RecursionError):
        argument = None
    if not isinstance(argument, dict):
        raise RejectedError("bad_value", "the argument of an order must be a JSON object")
    state = "" if recorded is None else recorded.state
    if change.state not in _NEXT_ORDER_STATES.get(state, ()):
        raise RejectedError("conflict", f"order {change.id} cannot go from {state or 'nothing'!r} to {change.state!r}")
    if recorded is not None:
        if (recorded.server, recorded.action, recorded.argument_json) != (
            change.server,
            change.action,
            change.argument_json,
        ):
            raise RejectedError("conflict", f"order {change.id} is for something else")
        if change.fencing < recorded.fencing:
            raise RejectedError("conflict", f"order {change.id} has fencing number {recorded.fencing} already")
