"""Checks of what backend servers announce."""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

from arbutusrill_base import Failure, FailureError
from arbutusrill_wire import messages
from werkzeug.wrappers import Request

from ._parse import bad_request, json_object

__all__ = ["announcement_of", "cache_events_of", "check_announce_token"]

_ROLES = ("prefill", "decode", "both", "plain")
_STATES = ("ready", "draining", "leaving")
_LONGEST_LIST = 100_000
# Kinds of the JSON values by the type numbers of thrift: bool, double, i32, i64, string, list.
_KINDS: dict[int, tuple[type, ...]] = {2: (bool,), 4: (int, float), 8: (int,), 10: (int,), 11: (str,), 15: (list,)}


def check_announce_token(request: Request, token_hash: str) -> None:
    """Raises `FailureError` with 401 unless the request carries the announce token."""
    token = request.headers.get("Authorization", "").partition(" ")[2].strip()
    if not hmac.compare_digest(hashlib.sha256(token.encode("utf-8", "replace")).hexdigest(), token_hash):
        raise FailureError(Failure("bad_announce_token", "the announce token is wrong", status=401))


def announcement_of(request: Request) -> Any:
    """Returns the announcement in a body; raises `FailureError` naming the wrong field."""
    announcement = _struct(messages.Announcement, json_object(request))
    if announcement.role not in _ROLES:
        raise bad_request("role", f"role must be one of {', '.join(_ROLES)}")
    if announcement.state not in _STATES:
        raise bad_request("state", f"state must be one of {', '.join(_STATES)}")
    for name in ("id", "address", "pools"):
        if not getattr(announcement, name):
            raise bad_request(name, f"{name} is required", "missing_field")
    if not announcement.address.startswith("http://"):
        raise bad_request("address", "address must be http://IP:port")
    if announcement.slots is None or announcement.slots < 1:
        raise bad_request("slots", "slots must be a number of at least 1")
    return announcement


def cache_events_of(request: Request) -> tuple[Any, list[str]]:
    """Returns the cache events in a body and the pools that it names, if any."""
    body = json_object(request)
    pools = _strings("pools", body.pop("pools", None) or [])
    events = _struct(messages.CacheEvents, body)
    if not events.id:
        raise bad_request("id", "id is required", "missing_field")
    if events.first_seq is None:
        raise bad_request("first_seq", "first_seq is required", "missing_field")
    events.added, events.removed = events.added or [], events.removed or []
    return events, pools


def _struct(kind: Any, body: dict[str, Any]) -> Any:
    """Fills a thrift struct from JSON; fields that it does not have are skipped."""
    made = kind()
    for spec in kind.thrift_spec.values():
        number, name = spec[0], spec[1]
        value = body.get(name)
        if value is None:
            continue
        if not isinstance(value, _KINDS[number]) or (isinstance(value, bool) and number != 2):
            raise bad_request(name, f"{name} has the wrong type", "wrong_type")
        if number == 15:
            _strings(name, value)
        elif number != 2 and isinstance(value, (int, float)) and not 0 <= value < 2 ** (31 if number == 8 else 63):
            raise bad_request(name, f"{name} must be a number of at least 0")
        setattr(made, name, value)
    return made


def _strings(name: str, value: Any) -> list[str]:
    if not isinstance(value, list) or len(value) > _LONGEST_LIST or not all(isinstance(item, str) for item in value):
        raise bad_request(name, f"{name} must be a list of texts", "wrong_type")
    return value
