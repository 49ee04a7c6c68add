"""Calls to plain services: repeatable ones, and once-only ones through the journal."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Iterable
from typing import Any

from arbutusrill_base import Failure, FailureError, Verdict, new_request_id
from arbutusrill_http import AbortStreamError, Transfer, TransferResult, fetch
from arbutusrill_limits import TokenLeases
from arbutusrill_state import Attempt, JournalClient
from arbutusrill_wire import messages
from werkzeug.wrappers import Request, Response

from ._auth import authenticate, passed_headers, passed_query
from ._backends import PoolClients
from ._parse import deadline_of, latency_class_of
from ._slots import Place, Wanted, leave_check

__all__ = ["Services"]

_CALL_S = 30.0
_PASSED_BACK = ("content-type", "location", "etag", "last-modified", "cache-control")


class Services:
    """Serves ``/services/<name>/<path>``."""

    def __init__(self, follower: Any, pools: PoolClients, journal: JournalClient, limits: TokenLeases):
        self._follower = follower
        self._limits = limits
        self._pools = pools
        self._journal = journal

    def serve(self, request: Request, start_response: Callable, name: str, path: str) -> Iterable[bytes]:
        """Serves one call; raises `FailureError` for whatever the server did not answer itself."""
        route = self._route(request, name, f"/{path}")
        workspace = "" if route.open else authenticate(request, self._follower)
        key = request.headers.get("Idempotency-Key")
        with self._charge(request, workspace, name, route) as charge:
            if route.repeatable or key is None:
                response = self._send(request, name, path, workspace, route.repeatable)
            else:
                response = self._once(request, name, path, workspace, key)
            if "X-Recorded-Answer" in response.headers:
                charge.settle(0)
        return response(request.environ, start_response)

    def _charge(self, request: Request, workspace: str, name: str, route: Any) -> Any:
        config = self._follower.config
        latency_class = latency_class_of(request, "lookup" if route.repeatable else "interactive")
        wait_s = config.value(f"queue.max_wait_s.{latency_class}", workspace=workspace)
        # Routes open to all have no workspace to charge.
        tokens = config.value("limits.plain_call_tokens", workspace=workspace, service=name) if workspace else 0.0
        caller = request.environ["werkzeug.socket"]
        return self._limits.charge(workspace, tokens, deadline_of(request, wait_s), leave_check(caller))

    def _route(self, request: Request, name: str, path: str) -> Any:
        service = self._follower.config.services_by_name.get(name)
        if service is None:
            raise FailureError(Failure("service_not_found", f"the service {name!r} does not exist", status=404))
        matching = [
            route for route in service.routes if route.method in ("*", request.method) and path.startswith(route.prefix)
        ]
        safe = request.method in ("GET", "HEAD", "OPTIONS")
        return max(matching, key=lambda route: len(route.prefix), default=messages.Route(repeatable=safe))

    def _once(self, request: Request, name: str, path: str, workspace: str, key: str) -> Response:
        digest = hashlib.sha256(f"{request.method} {name} {path}?".encode() + request.query_string)
        digest.update(request.get_data())
        attempt = self._journal.begin(workspace, key, digest.digest())
        if attempt.answer.status != "started":
            return _recorded(attempt.answer)
        try:
            response = self._send(request, name, path, workspace, False, attempt)
        except BaseException as error:
            verdict = error.failure.verdict if isinstance(error, FailureError) else Verdict.MAY_HAVE_RUN
            self._journal.fail(attempt, verdict)
            raise
        headers = json.dumps(list(response.headers.items()))
        kept_bytes = self._follower.config.value("journal.answer_bytes")
        self._journal.succeed(attempt, response.status_code, headers, response.get_data(), kept_bytes)
        return response

    def _send(
        self,
        request: Request,
        name: str,
        path: str,
        workspace: str,
        repeatable: bool,
        attempt: Attempt | None = None,
    ) -> Response:
        latency_class = latency_class_of(request, "lookup" if repeatable else "interactive")
        wait_s = self._follower.config.value(f"queue.max_wait_s.{latency_class}", workspace=workspace)
        request_id = new_request_id()
        wanted = Wanted(name, request_id, workspace, latency_class, deadline_of(request, wait_s))
        caller = request.environ["werkzeug.socket"]
        me = self._follower.identity
        if self._pools.known(name) is None:
            raise FailureError(Failure("no_server", f"no server of {name!r} has announced itself", retry_after=1.0))
        with Place(self._pools, wanted, me.vm, me.incarnation, caller) as place:
            query = passed_query(request)
            url = f"{place.assignment.decode_address}/{path}" + (f"?{query}" if query else "")
            headers = [*passed_headers(request), f"X-Request-Id: {request_id}"]
            if workspace:
                headers.append(f"X-Workspace: {workspace}")
            watched = caller if repeatable else None
            body = request.get_data()
            if attempt is not None:
                self._journal.check_send(attempt, wanted.deadline)
            result = fetch(
                Transfer(request.method, url, headers, body, timeout_s=_CALL_S, fresh=not repeatable, watched=watched)
            )
        if result.error == "gone":
            raise AbortStreamError
        if not result.whole:
            raise FailureError(_failure(name, result))
        kept = {key: value for key, value in result.headers_by_name.items() if key in _PASSED_BACK}
        return Response(result.body, result.status, {**kept, "X-Request-Id": request_id})


def _failure(name: str, result: TransferResult) -> Failure:
    message = f"the service {name!r} did not answer: {result.detail}"
    retry_after = 1.0 if result.verdict is Verdict.NOT_RUN else None
    return Failure("service_unavailable", message, result.verdict, 502, retry_after)


def _recorded(answer: Any) -> Response:
    if answer.status == "done":
        headers = [*json.loads(answer.headers_json), ("X-Recorded-Answer", "true")]
        return Response(answer.body or b"", answer.http_status, headers)
    failures = {
        "mismatch": Failure(
            "idempotency_mismatch", "the idempotency key was used with another request", Verdict.NOT_RUN, 422
        ),
        "running": Failure(
            "in_progress", "the call with this idempotency key is under way", Verdict.MAY_HAVE_RUN, 409, 1.0
        ),
        "unknown": Failure(
            "outcome_unknown", "the outcome of the call with this key is unknown", Verdict.MAY_HAVE_RUN, 409
        ),
        "ran": Failure("answer_not_kept", "the call ran, its answer was too large to keep", Verdict.RAN, 409),
    }
    raise FailureError(failures[answer.status])
