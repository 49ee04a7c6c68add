"""WSGI application of an entry VM."""

from __future__ import annotations

import hashlib
import hmac
import json
from collections.abc import Callable, Iterable
from typing import Any

from arbutusrill_base import Failure, FailureError
from arbutusrill_http import failure_response, json_response
from arbutusrill_limits import TokenLeases
from arbutusrill_state import Follower, JournalClient
from arbutusrill_wire import messages
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from ._auth import authenticate
from ._backends import PoolClients
from ._completions import Completions
from ._parse import bad_request
from ._services import Services

__all__ = ["EntryApp"]

_ANY = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


class EntryApp:
    """Serves callers and the announcements of backend servers."""

    def __init__(
        self,
        follower: Follower,
        pools: PoolClients,
        journal: JournalClient,
        limits: TokenLeases,
        announce_token_hash: str,
    ):
        self._follower = follower
        self._pools = pools
        self._announce_token_hash = announce_token_hash
        self._completions = Completions(follower, pools, limits)
        self._services = Services(follower, pools, journal, limits)
        self._routes = Map(
            [
                Rule("/v1/chat/completions", endpoint=self._chat, methods=["POST"]),
                Rule("/v1/completions", endpoint=self._text, methods=["POST"]),
                Rule("/v1/models", endpoint=self._models, methods=["GET"]),
                Rule("/v1/entries", endpoint=self._entries, methods=["GET"]),
                Rule("/services/<name>/", defaults={"path": ""}, endpoint=self._service, methods=_ANY),
                Rule("/services/<name>/<path:path>", endpoint=self._service, methods=_ANY),
                Rule("/backends/announce", endpoint=self._announce, methods=["POST"]),
                Rule("/healthz", endpoint=self._healthz, methods=["GET"]),
                Rule("/readyz", endpoint=self._readyz, methods=["GET"]),
                Rule("/metrics", endpoint=self._metrics, methods=["GET"]),
            ],
            merge_slashes=False,
        )

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serves one request."""
        request = Request(environ)
        try:
            endpoint, arguments = self._routes.bind_to_environ(environ).match()
            return endpoint(request, start_response, **arguments)
        except FailureError as error:
            response = failure_response(error.failure)
        except HTTPException as error:
            response = failure_response(
                Failure("bad_request", error.description or "", status=error.code or 400, param=request.path)
            )
        return response(environ, start_response)

    def _chat(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        return self._completions.serve(request, start_response, chat=True)

    def _text(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        return self._completions.serve(request, start_response, chat=False)

    def _service(self, request: Request, start_response: Callable, name: str, path: str) -> Iterable[bytes]:
        return self._services.serve(request, start_response, name, path)

    def _models(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        authenticate(request, self._follower)
        pools = self._follower.config.pools_by_name.values()
        rows = [
            {"id": pool.name, "object": "model", "created": 0, "owned_by": "site"}
            for pool in sorted(pools, key=lambda pool: pool.name)
            if pool.kind == "model"
        ]
        return json_response({"object": "list", "data": rows})(request.environ, start_response)

    def _entries(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        config = self._follower.config
        rows = [
            {"address": vm.http_address, "data_centre": vm.data_centre}
            for vm in sorted(config.vms_by_id.values(), key=lambda vm: vm.id)
            if vm.state == "live"
        ]
        headers = {"Cache-Control": f"max-age={config.value('entries.max_age_s')}"}
        return json_response({"entries": rows}, headers=headers)(request.environ, start_response)

    def _announce(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        token = request.headers.get("Authorization", "").partition(" ")[2].strip()
        if not hmac.compare_digest(hashlib.sha256(token.encode()).hexdigest(), self._announce_token_hash):
            raise FailureError(Failure("bad_announce_token", "the announce token is wrong", status=401))
        self._pools.announce(_announcement(request))
        return json_response({"accepted": True})(request.environ, start_response)

    def _healthz(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        return json_response({"status": "ok"})(request.environ, start_response)

    def _readyz(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        ready = self._follower.fresh()
        return json_response({"ready": ready}, 200 if ready else 503)(request.environ, start_response)

    def _metrics(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        return Response(generate_latest(), content_type=CONTENT_TYPE_LATEST)(request.environ, start_response)


def _announcement(request: Request) -> Any:
    try:
        body = json.loads(request.get_data())
    except ValueError:
        raise bad_request(None, "the body is not JSON", "invalid_json") from None
    if not isinstance(body, dict):
        raise bad_request(None, "the body must be a JSON object", "invalid_json")
    announcement = messages.Announcement()
    names = {spec[1] for spec in messages.Announcement.thrift_spec.values()}
    for name, value in body.items():
        if name in names:
            setattr(announcement, name, value)
    if announcement.role not in ("prefill", "decode", "both", "plain"):
        raise bad_request("role", "role must be prefill, decode, both or plain")
    if not announcement.id or not announcement.address or not isinstance(announcement.pools, list):
        raise bad_request(None, "id, address and pools are required", "missing_field")
    if not isinstance(announcement.slots, int) or announcement.slots < 1:
        raise bad_request("slots", "slots must be a number of at least 1")
    return announcement
