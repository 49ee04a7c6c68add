"""Parsing and validation of announcements and cache events from backend servers."""

from __future__ import annotations

import hashlib
import hmac
import ipaddress
import re
from typing import Any

from arbutusrill_base import Failure, FailureError, load_json
from arbutusrill_wire import messages
from werkzeug.wrappers import Request

from ._parse import bad_request

__all__ = ["check_announce_token", "parse_announcement", "parse_cache_events"]

_ROLES = ("prefill", "decode", "both", "plain")
_STATES = ("ready", "draining", "leaving")
_MAX_LIST_LENGTH = 100_000
_MAX_POOLS = 1000
_SPEED_RANGE = (1e-9, 1e18)  # of speeds and times; quotients outside of it overflow
_ADDRESS = re.compile(r"http://(?:([0-9.]+)|\[([0-9a-fA-F:.]+)\]):([1-9][0-9]{0,4})")
# Python types of the JSON values by thrift type number: bool, double, i32, i64, string, list.
_PYTHON_TYPES_BY_THRIFT_TYPE: dict[int, tuple[type, ...]] = {
    2: (bool,),
    4: (int, float),
    8: (int,),
    10: (int,),
    11: (str,),
    15: (list,),
}


def check_announce_token(request: Request, token_hash: str) -> None:
    """Raises `FailureError` with status 401 unless the request carries the announce token."""
    token = request.headers.get("Authorization", "").partition(" ")[2].strip()
    if not hmac.compare_digest(hashlib.sha256(token.encode("utf-8", "replace")).hexdigest(), token_hash):
        raise FailureError(Failure("bad_announce_token", "the announce token is wrong", status=401))


def parse_announcement(request: Request) -> Any:
    """Parses an announcement; raises `FailureError` that names the invalid field."""
    announcement = _struct_from_json(messages.Announcement, _json_object(request))
    if announcement.role not in _ROLES:
        raise bad_request("role", f"role must be one of {', '.join(_ROLES)}")
    if announcement.state not in _STATES:
        raise bad_request("state", f"state must be one of {', '.join(_STATES)}")
    for name in ("id", "address", "pools"):
        if not getattr(announcement, name):
            raise bad_request(name, f"{name} is required", "missing_field")
    if len(announcement.pools) > _MAX_POOLS:
        raise bad_request("pools", f"pools must hold at most {_MAX_POOLS} names")
    if not _is_address(announcement.address):
        raise bad_request("address", "address must be http://IP:port")
    if announcement.slots is None or announcement.slots < 1:
        raise bad_request("slots", "slots must be a number of at least 1")
    return announcement


def parse_cache_events(request: Request) -> tuple[Any, list[str]]:
    """Parses cache events; returns them and the pools named in the body, if any."""
    body = _json_object(request)
    pools = _check_strings("pools", body.pop("pools", None) or [])
    events = _struct_from_json(messages.CacheEvents, body)
    if not events.id:
        raise bad_request("id", "id is required", "missing_field")
    if events.first_seq is None:
        raise bad_request("first_seq", "first_seq is required", "missing_field")
    events.added, events.removed = events.added or [], events.removed or []
    return events, pools


def _json_object(request: Request) -> dict[str, Any]:
    try:
        body = load_json(request.get_data())
    except ValueError as error:
        raise bad_request(None, f"the body is not JSON: {error}", "invalid_json") from None
    if not isinstance(body, dict):
        raise bad_request(None, "the body must be a JSON object", "invalid_json")
    return body


def _is_address(text: str) -> bool:
    match = _ADDRESS.fullmatch(text)
    if match is None or int(match.group(3)) > 65535:
        return False
    try:
        return bool(ipaddress.ip_address(match.group(1) or match.group(2)))
    except ValueError:
        return False


def _struct_from_json(struct_type: Any, body: dict[str, Any]) -> Any:
    """Returns a thrift struct with the values of a JSON object; unknown fields are ignored."""
    struct = struct_type()
    for spec in struct_type.thrift_spec.values():
        thrift_type, name = spec[0], spec[1]
        value = body.get(name)
        if value is None:
            continue
        if not isinstance(value, _PYTHON_TYPES_BY_THRIFT_TYPE[thrift_type]) or (
            isinstance(value, bool) and thrift_type != 2
        ):
            raise bad_request(name, f"{name} has the wrong type", "wrong_type")
        if thrift_type == 15:
            _check_strings(name, value)
        elif (
            thrift_type != 2
            and isinstance(value, (int, float))
            and not 0 <= value < 2 ** (31 if thrift_type == 8 else 63)
        ):
            raise bad_request(name, f"{name} must be a number of at least 0")
        elif thrift_type == 4 and value and not _SPEED_RANGE[0] <= value <= _SPEED_RANGE[1]:
            raise bad_request(name, f"{name} must be 0 or from {_SPEED_RANGE[0]:g} to {_SPEED_RANGE[1]:g}")
        setattr(struct, name, value)
    return struct


def _check_strings(name: str, value: Any) -> list[str]:
    if not isinstance(value, list) or len(value) > _MAX_LIST_LENGTH or not all(isinstance(item, str) for item in value):
        raise bad_request(name, f"{name} must be a list of texts", "wrong_type")
    return value
