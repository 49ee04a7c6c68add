"""Resolution of the path and the route of a call to a plain service."""

from __future__ import annotations

import re
from typing import Any
from urllib.parse import unquote

from arbutusrill_base import Failure, FailureError
from arbutusrill_state import ConfigState
from arbutusrill_wire import messages
from werkzeug.wrappers import Request

from ._parse import bad_request

__all__ = ["match_route", "raw_path"]

_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
_VISIBLE_ASCII = re.compile(r"[!-~]*")
_REPEATED_SLASHES = re.compile(r"/{2,}")


def raw_path(request: Request) -> str:
    """Returns the path within the service, percent-encoded as received and without the leading slash.

    Raises `FailureError` for a path that a server could normalize differently than `match_route` does.
    """
    target = request.environ.get("REQUEST_URI", request.path).partition("?")[0]
    if not target.startswith("/") or not _VISIBLE_ASCII.fullmatch(target) or "#" in target or "\\" in target:
        raise bad_request("path", "the path has characters that are not allowed")
    path = target.split("/", 3)[3] if target.count("/") > 2 else ""
    if any(segment in (".", "..") for segment in _fully_decoded(path).split("/")):
        raise bad_request("path", "the path must not have the segments . and ..")
    return path


def match_route(config: ConfigState, name: str, method: str, path: str) -> Any:
    """Returns the most specific route that matches a call; raises `FailureError` for an unknown service.

    A call without a matching route requires a key and is repeatable only if its method is safe.
    """
    service = config.services_by_name.get(name)
    if service is None:
        raise FailureError(Failure("service_not_found", f"the service {name!r} does not exist", status=404))
    normalized = _REPEATED_SLASHES.sub("/", "/" + _fully_decoded(path))
    matching = [
        route for route in service.routes if route.method in ("*", method) and normalized.startswith(route.prefix)
    ]
    return max(
        matching,
        key=lambda route: (len(route.prefix), route.method != "*", not route.repeatable, not route.open),
        default=messages.Route(repeatable=method in _SAFE_METHODS),
    )


def _fully_decoded(path: str) -> str:
    """Percent-decodes a path repeatedly, up to four times, since a server may decode it more than once."""
    for _ in range(4):
        path, before = unquote(path, errors="replace"), path
        if path == before:
            break
    return path
