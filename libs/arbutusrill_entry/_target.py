"""Which service, route and path a call to a plain service means."""

from __future__ import annotations

import re
from typing import Any
from urllib.parse import unquote

from arbutusrill_base import Failure, FailureError
from arbutusrill_state import ConfigState
from arbutusrill_wire import messages
from werkzeug.wrappers import Request

from ._parse import bad_request

__all__ = ["raw_path", "route_of"]

_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
_PATH = re.compile(r"[!-~]*")
_SLASHES = re.compile(r"/{2,}")


def raw_path(request: Request) -> str:
    """Returns the path inside the service as the caller encoded it, without the leading slash.

    Raises `FailureError` for a path that a server could understand as another one than the route table does.
    """
    target = request.environ.get("REQUEST_URI", request.path).partition("?")[0]
    if not target.startswith("/") or not _PATH.fullmatch(target) or "#" in target or "\\" in target:
        raise bad_request("path", "the path has characters that are not allowed")
    path = target.split("/", 3)[3] if target.count("/") > 2 else ""
    if any(segment in (".", "..") for segment in _decoded(path).split("/")):
        raise bad_request("path", "the path must not have the segments . and ..")
    return path


def route_of(config: ConfigState, name: str, method: str, path: str) -> Any:
    """Returns the route of a call, the most specific one; raises `FailureError` for an unknown service.

    A call that no route names needs a key and is repeatable only when its method is safe.
    """
    service = config.services_by_name.get(name)
    if service is None:
        raise FailureError(Failure("service_not_found", f"the service {name!r} does not exist", status=404))
    plain = _SLASHES.sub("/", "/" + _decoded(path))
    matching = [route for route in service.routes if route.method in ("*", method) and plain.startswith(route.prefix)]
    return max(
        matching,
        key=lambda route: (len(route.prefix), route.method != "*", not route.repeatable, not route.open),
        default=messages.Route(repeatable=method in _SAFE_METHODS),
    )


def _decoded(path: str) -> str:
    """Decodes a path until nothing changes: a server may decode it more than once."""
    for _ in range(4):
        path, before = unquote(path, errors="replace"), path
        if path == before:
            break
    return path
