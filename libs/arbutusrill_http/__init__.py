"""HTTP server with resource limits, and an HTTP client that detects when the caller disconnects.

The client is imported on first use, so that a process that only serves starts without loading libcurl.
"""

from __future__ import annotations

from typing import Any

from ._body_budget import BodyBudget, BodyReservation
from ._body_buffer import BodyBuffer
from ._connection_pool import ConnectionPool, Server, ServerConnections
from ._endings import ConnectionEndings
from ._handler import AbortStreamError
from ._json import error_body, failure_response, json_response
from ._metrics_app import MetricsApp
from ._request_target import field_text
from ._server import HttpLimits, HttpServer
from ._sockets import peer_closed

__all__ = [  # noqa: F822
    "AbortStreamError",
    "BodyBuffer",
    "BodyBudget",
    "BodyReservation",
    "ConnectionEndings",
    "ConnectionPool",
    "HttpLimits",
    "HttpServer",
    "MetricsApp",
    "Server",
    "ServerConnections",
    "Transfer",
    "TransferResult",
    "error_body",
    "failure_response",
    "fetch",
    "field_text",
    "json_response",
    "peer_closed",
]

_LAZY_NAMES = ("Transfer", "TransferResult", "fetch")


def __getattr__(name: str) -> Any:
    if name not in _LAZY_NAMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from . import _transfer

    return getattr(_transfer, name)
