"""HTTP server with bounds and HTTP client that watches the caller."""

from ._handler import AbortStreamError
from ._json import error_body, failure_response, json_response
from ._server import HttpLimits, HttpServer
from ._sockets import caller_gone
from ._transfer import Transfer, TransferResult, close_connections, fetch

__all__ = [
    "AbortStreamError",
    "HttpLimits",
    "HttpServer",
    "Transfer",
    "TransferResult",
    "caller_gone",
    "close_connections",
    "error_body",
    "failure_response",
    "fetch",
    "json_response",
]
