"""HTTP server with bounds and HTTP client that watches the caller."""

from ._json import error_body, failure_response, json_response
from ._server import AbortStreamError, HttpLimits, HttpServer, caller_gone
from ._transfer import Transfer, TransferResult, fetch

__all__ = [
    "AbortStreamError",
    "HttpLimits",
    "HttpServer",
    "Transfer",
    "TransferResult",
    "caller_gone",
    "error_body",
    "failure_response",
    "fetch",
    "json_response",
]
