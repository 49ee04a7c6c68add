"""Keys of callers: finding them in a request and removing every trace before it is passed on."""

from __future__ import annotations

from urllib.parse import parse_qsl, unquote_plus

from arbutusrill_base import Failure, FailureError, hash_key
from arbutusrill_state import Follower
from werkzeug.wrappers import Request

__all__ = ["KEY_HEADERS", "authenticate", "passed_headers", "passed_query"]

# Headers that can carry a caller's credentials.
KEY_HEADERS = frozenset(
    {"authorization", "proxy-authorization", "x-api-key", "api-key", "x-auth-token", "x-goog-api-key", "cookie"}
)
_KEY_PARAMETERS = frozenset({"key", "api_key", "apikey", "api-key", "access_token", "token", "auth", "authorization"})
_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
)


def authenticate(request: Request, follower: Follower) -> str:
    """Returns the workspace of the caller's key; raises `FailureError` with 401 or 503."""
    if not follower.fresh():
        message = "this VM cannot confirm that its list of keys is current, use another one"
        raise FailureError(Failure("stale", message, status=503, retry_after=1.0))
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise FailureError(Failure("missing_api_key", "send the key as Authorization: Bearer KEY", status=401))
    workspace = follower.config.workspace_of_key(hash_key(key.strip()))
    if workspace is None:
        raise FailureError(Failure("invalid_api_key", "the key is unknown or was withdrawn", status=401))
    return workspace


def passed_headers(request: Request) -> list[str]:
    """Returns the caller's headers that a backend server may see, as lines."""
    named = {part.strip().lower() for part in request.headers.get("Connection", "").split(",")}
    key = request.headers.get("Authorization", "").partition(" ")[2].strip()
    return [
        f"{name}: {value}"
        for name, value in request.headers.items()
        if name.lower() not in KEY_HEADERS | _HOP_HEADERS | named and not (key and key in value)
    ]


def passed_query(request: Request) -> str:
    """Returns the query string without parameters that carry a key."""
    key = request.headers.get("Authorization", "").partition(" ")[2].strip()
    kept = []
    for part in request.query_string.decode("latin-1").split("&"):
        name, _, value = part.partition("=")
        decoded = unquote_plus(name).lower()
        if part and decoded not in _KEY_PARAMETERS and not (key and key in unquote_plus(value)):
            kept.append(part)
    return "&".join(kept)


def has_key_parameter(query: str) -> bool:
    """Says whether a query string still has a parameter that carries a key."""
    return any(name.lower() in _KEY_PARAMETERS for name, _ in parse_qsl(query, keep_blank_values=True))
