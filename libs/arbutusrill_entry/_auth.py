"""Keys of callers: finding them in a request and removing every trace before it is passed on."""

from __future__ import annotations

from urllib.parse import unquote_plus

from arbutusrill_base import Failure, FailureError, hash_key
from arbutusrill_state import Follower
from werkzeug.wrappers import Request

from ._guard import KeyGuard
from ._keys import holds_issued_key, holds_key

__all__ = ["authenticate", "passed_headers", "passed_query", "refuse_key_in_body", "refuse_key_in_path"]

# Headers that can carry a caller's credentials.
_KEY_HEADERS = frozenset(
    """authorization proxy-authorization x-api-key api-key apikey x-apikey x-auth-token x-access-token x-key
    x-goog-api-key x-amz-security-token ocp-apim-subscription-key cookie cookie2 set-cookie""".split()
)
# Headers that this system sets itself: a caller's own would be taken for ours.
_OWN_HEADERS = frozenset({"x-workspace", "x-request-id"})
# Headers that make a server run another method than the one whose route was checked.
_METHOD_HEADERS = frozenset({"x-http-method-override", "x-http-method", "x-method-override"})
_KEY_PARAMETERS = frozenset(
    """key api_key apikey api-key access_token accesstoken access-token token auth auth_token authorization
    x-api-key x_api_key bearer bearer_token password secret""".split()
)
_CREDENTIAL_SCHEMES = ("bearer ", "basic ", "digest ", "negotiate ", "token ")
_HOP_HEADERS = frozenset(
    """connection keep-alive proxy-connection te trailer transfer-encoding upgrade content-length host expect
    http2-settings""".split()
)


def authenticate(request: Request, follower: Follower) -> KeyGuard:
    """Returns the guard of the caller's key, with its workspace; raises `FailureError` with 401 or 503."""
    if not follower.fresh():
        message = "this VM cannot confirm that its list of keys is current, use another one"
        raise FailureError(Failure("stale", message, status=503, retry_after=1.0))
    key = presented_key(request)
    if not key:
        raise FailureError(Failure("missing_api_key", "send the key as Authorization: Bearer KEY", status=401))
    hashed = hash_key(key)
    workspace = follower.config.workspace_of_key(hashed)
    if workspace is None:
        raise FailureError(Failure("invalid_api_key", "the key is unknown or was withdrawn", status=401))
    return KeyGuard(follower, hashed, workspace)


def presented_key(request: Request) -> str:
    """Returns the key of the Authorization header, or an empty text."""
    scheme, _, key = request.headers.get("Authorization", "").strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def passed_headers(request: Request) -> list[str]:
    """Returns the caller's headers that a backend server may see, as lines."""
    named = {part.strip().lower() for part in request.headers.get("Connection", "").split(",")}
    dropped = _KEY_HEADERS | _OWN_HEADERS | _METHOD_HEADERS | _HOP_HEADERS | named
    key = presented_key(request)
    return [
        # A line that ends with a colon would remove the header; libcurl sends an empty one after a semicolon.
        f"{name}: {value}" if value else f"{name};"
        for name, value in request.headers.items()
        if name.lower() not in dropped
        and not value.lower().startswith(_CREDENTIAL_SCHEMES)
        and not holds_key(f"{name}: {value}", key)
    ]


def passed_query(request: Request) -> str:
    """Returns the query string without parameters that carry a key."""
    key = presented_key(request)
    kept = []
    for part in request.query_string.decode("latin-1").split("&"):
        name = unquote_plus(part.partition("=")[0]).lower()
        if part and name not in _KEY_PARAMETERS and not holds_key(part, key):
            kept.append(part)
    return "&".join(kept)


def refuse_key_in_path(request: Request, path: str) -> None:
    """Raises `FailureError` when the path holds a key: it cannot be removed without changing the call."""
    if holds_key(path, presented_key(request)):
        message = "the path holds a key, send it only as Authorization: Bearer KEY"
        raise FailureError(Failure("key_in_path", message, status=400, param="path"))


def refuse_key_in_body(request: Request, follower: Follower) -> None:
    """Raises `FailureError` when the body holds the caller's key or another issued one."""
    text = request.get_data().decode("utf-8", "replace")
    if holds_issued_key(text, follower.config, presented_key(request)):
        message = "the body holds a key, send it only as Authorization: Bearer KEY"
        raise FailureError(Failure("key_in_body", message, status=400, param="body"))
