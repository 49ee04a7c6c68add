"""Authentication of callers by API key, and removal of credentials from forwarded requests."""

from __future__ import annotations

from urllib.parse import unquote_plus

from arbutusrill_base import Failure, FailureError, hash_key
from arbutusrill_state import Follower
from werkzeug.wrappers import Request

from ._guard import KeyGuard
from ._keys import contains_issued_key, contains_key

__all__ = ["authenticate", "forwarded_headers", "forwarded_query", "refuse_key_in_body", "refuse_key_in_path"]

# Headers that can carry a caller's credentials.
_CREDENTIAL_HEADERS = frozenset(
    """authorization proxy-authorization x-api-key api-key apikey x-apikey x-auth-token x-access-token x-key
    x-goog-api-key x-amz-security-token ocp-apim-subscription-key cookie cookie2 set-cookie""".split()
)
# Headers that the entry VM sets itself; a backend server would trust a value forged by the caller.
_SYSTEM_HEADERS = frozenset({"x-workspace", "x-request-id"})
# Headers that make a server execute another method than the one whose route was matched.
_METHOD_OVERRIDE_HEADERS = frozenset({"x-http-method-override", "x-http-method", "x-method-override"})
_CREDENTIAL_PARAMETERS = frozenset(
    """key api_key apikey api-key access_token accesstoken access-token token auth auth_token authorization
    x-api-key x_api_key bearer bearer_token password secret""".split()
)
_CREDENTIAL_SCHEMES = ("bearer ", "basic ", "digest ", "negotiate ", "token ")
_HOP_BY_HOP_HEADERS = frozenset(
    """connection keep-alive proxy-connection te trailer transfer-encoding upgrade content-length host expect
    http2-settings""".split()
)


def authenticate(request: Request, follower: Follower) -> KeyGuard:
    """Checks the caller's key and returns its guard.

    Raises `FailureError` with status 401 for a missing or invalid key and 503 if the configuration is stale.
    """
    if not follower.is_fresh():
        message = "this VM cannot confirm that its list of keys is current, use another one"
        raise FailureError(Failure("stale", message, status=503, retry_after=1.0))
    key = presented_key(request)
    if not key:
        raise FailureError(Failure("missing_api_key", "send the key as Authorization: Bearer KEY", status=401))
    key_hash = hash_key(key)
    workspace = follower.config.workspace_of_key(key_hash)
    if workspace is None:
        raise FailureError(Failure("invalid_api_key", "the key is unknown or was withdrawn", status=401))
    return KeyGuard(follower, key_hash, workspace)


def presented_key(request: Request) -> str:
    """Returns the bearer token of the Authorization header, or an empty string."""
    scheme, _, key = request.headers.get("Authorization", "").strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def forwarded_headers(request: Request) -> list[str]:
    """Returns the header lines to forward to a backend server, without credentials and hop-by-hop headers."""
    connection_options = {part.strip().lower() for part in request.headers.get("Connection", "").split(",")}
    dropped = (
        _CREDENTIAL_HEADERS | _SYSTEM_HEADERS | _METHOD_OVERRIDE_HEADERS | _HOP_BY_HOP_HEADERS | connection_options
    )
    key = presented_key(request)
    return [
        # libcurl removes a header whose line ends with a colon and sends an empty one for a semicolon.
        f"{name}: {value}" if value else f"{name};"
        for name, value in request.headers.items()
        if name.lower() not in dropped
        and not value.lower().startswith(_CREDENTIAL_SCHEMES)
        and not contains_key(f"{name}: {value}", key)
    ]


def forwarded_query(request: Request) -> str:
    """Returns the query string without the parameters that carry credentials."""
    key = presented_key(request)
    kept = []
    for part in request.query_string.decode("latin-1").split("&"):
        name = unquote_plus(part.partition("=")[0]).lower()
        if part and name not in _CREDENTIAL_PARAMETERS and not contains_key(part, key):
            kept.append(part)
    return "&".join(kept)


def refuse_key_in_path(request: Request, path: str) -> None:
    """Raises `FailureError` if the path contains a key, which can't be removed without changing the call."""
    if contains_key(path, presented_key(request)):
        message = "the path holds a key, send it only as Authorization: Bearer KEY"
        raise FailureError(Failure("key_in_path", message, status=400, param="path"))


def refuse_key_in_body(request: Request, follower: Follower) -> None:
    """Raises `FailureError` if the body contains the caller's key or any other issued key."""
    text = request.get_data().decode("utf-8", "replace")
    if contains_issued_key(text, follower.config, presented_key(request)):
        message = "the body holds a key, send it only as Authorization: Bearer KEY"
        raise FailureError(Failure("key_in_body", message, status=400, param="body"))
