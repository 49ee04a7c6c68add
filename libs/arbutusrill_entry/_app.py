"""WSGI application of an entry VM."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from arbutusrill_base import Failure, FailureError
from arbutusrill_http import failure_response, json_response
from prometheus_client import CONTENT_TYPE_LATEST
from werkzeug.exceptions import HTTPException, MethodNotAllowed, NotFound
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from ._announcements import check_announce_token, parse_announcement, parse_cache_events
from ._auth import authenticate
from ._call import Call
from ._completions import Completions
from ._context import EntryContext
from ._services import Services

__all__ = ["RESERVED_PATHS", "EntryApp"]

_ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
# Served on reserved connections above the connection limit for callers: a full limit must not block
# announcements of backend servers or the requests of operators.
RESERVED_PATHS = ("/backends/", "/healthz", "/readyz", "/metrics", "/v1/entries")


class EntryApp:
    """Routes requests of callers, operators and backend servers to their handlers.

    While `draining` is set, ``/readyz`` answers 503 and ``/v1/entries`` leaves this VM out; all other requests are
    still served.
    """

    def __init__(self, context: EntryContext, announce_token_hash: str):
        self._context = context
        self._follower = context.follower
        self._announce_token_hash = announce_token_hash
        self._completions = Completions(context)
        self._services = Services(context)
        self.draining = False
        self._routes = Map(
            [
                Rule("/v1/chat/completions", endpoint=self._chat_completion, methods=["POST"]),
                Rule("/v1/completions", endpoint=self._text_completion, methods=["POST"]),
                Rule("/v1/models", endpoint=self._models, methods=["GET"]),
                Rule("/v1/models/<path:model>", endpoint=self._model, methods=["GET"]),
                Rule("/v1/entries", endpoint=self._entries, methods=["GET"]),
                Rule("/services/<name>/", defaults={"path": ""}, endpoint=self._service, methods=_ALL_METHODS),
                Rule("/services/<name>/<path:path>", endpoint=self._service, methods=_ALL_METHODS),
                Rule("/backends/announce", endpoint=self._announce, methods=["POST"]),
                Rule("/backends/cache-events", endpoint=self._cache_events, methods=["POST"]),
                Rule("/healthz", endpoint=self._healthz, methods=["GET"]),
                Rule("/readyz", endpoint=self._readyz, methods=["GET"]),
                Rule("/metrics", endpoint=self._metrics, methods=["GET"]),
            ],
            merge_slashes=False,
            strict_slashes=False,
        )

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serves one HTTP request; failures become JSON error responses."""
        request = Request(environ)
        try:
            endpoint, arguments = self._routes.bind_to_environ(environ).match()
            return endpoint(request, start_response, **arguments)
        except FailureError as error:
            response = failure_response(error.failure)
        except HTTPException as error:
            response = failure_response(_http_failure(error, request))
        return response(environ, start_response)

    def _start_call(self, route: str) -> Call:
        return Call(self._context.meters, self._follower, route)

    def _chat_completion(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        with self._start_call("chat") as call:
            return self._completions.serve(request, start_response, chat=True, call=call)

    def _text_completion(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        with self._start_call("completions") as call:
            return self._completions.serve(request, start_response, chat=False, call=call)

    def _service(self, request: Request, start_response: Callable, name: str, path: str) -> Iterable[bytes]:
        with self._start_call("services") as call:
            return self._services.serve(request, start_response, name, call)

    def _models(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        authenticate(request, self._follower)
        rows = [_model_row(name) for name in self._model_names()]
        return json_response({"object": "list", "data": rows})(request.environ, start_response)

    def _model(self, request: Request, start_response: Callable, model: str) -> Iterable[bytes]:
        authenticate(request, self._follower)
        if model not in self._model_names():
            message = f"the model {model!r} does not exist"
            raise FailureError(Failure("model_not_found", message, status=404, param="model"))
        return json_response(_model_row(model))(request.environ, start_response)

    def _model_names(self) -> list[str]:
        pools = list(self._follower.config.pools_by_name.values())
        return sorted(pool.name for pool in pools if pool.kind == "model")

    def _entries(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        config = self._follower.config
        rows = [
            {"address": vm.http_address, "data_centre": vm.data_centre}
            for vm in sorted(list(config.vms_by_id.values()), key=lambda vm: vm.id)
            if vm.state == "live" and not (self.draining and vm.id == self._follower.identity.vm)
        ]
        headers = {"Cache-Control": f"max-age={config.value('entries.max_age_s')}"}
        return json_response({"entries": rows}, headers=headers)(request.environ, start_response)

    def _announce(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        check_announce_token(request, self._announce_token_hash)
        self._context.pools.announce(parse_announcement(request))
        return json_response({"accepted": True})(request.environ, start_response)

    def _cache_events(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        check_announce_token(request, self._announce_token_hash)
        events, pools = parse_cache_events(request)
        accepted = self._context.pools.cache_events(events, pools)
        return json_response({"accepted": accepted, "resynchronise": not accepted})(request.environ, start_response)

    def _healthz(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        return json_response({"status": "ok"})(request.environ, start_response)

    def _readyz(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        ready = self._follower.is_fresh() and not self.draining
        reason = "draining" if self.draining else "" if ready else "stale"
        return json_response({"ready": ready, "reason": reason}, 200 if ready else 503)(request.environ, start_response)

    def _metrics(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        text = self._context.meters.render()
        return Response(text, content_type=CONTENT_TYPE_LATEST)(request.environ, start_response)


def _model_row(name: str) -> dict[str, object]:
    return {"id": name, "object": "model", "created": 0, "owned_by": "site"}


def _http_failure(error: HTTPException, request: Request) -> Failure:
    if isinstance(error, NotFound):
        return Failure("path_not_found", "this path does not exist", status=404, param="path")
    if isinstance(error, MethodNotAllowed):
        return Failure("method_not_allowed", f"{request.method} is not allowed here", status=405, param="method")
    return Failure("bad_request", error.description or error.name, status=error.code or 400, param="path")
