"""HTTP interface for operators on the control VMs."""

from __future__ import annotations

import hashlib
import hmac
import json
import time
from collections.abc import Callable
from typing import Any

from arbutusrill_base import Clock, Failure, FailureError, Verdict, hash_key, new_key, new_request_id
from arbutusrill_http import failure_response, json_response
from arbutusrill_state import DEFAULT_SPEC_BY_NAME, ControlClient, ControlUnavailableError, command
from arbutusrill_wire import messages
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from ._replicas import ReplicaRoutes
from ._service import ControlService

__all__ = ["OperatorApp"]

_CHANGE_S = 8.0
_STATUS_BY_CODE = {"revision_conflict": 409, "conflict": 409, "not_found": 404}
_P = "/v1/operator"


class OperatorApp:
    """WSGI application: reads come from this replica after a quorum round, changes go to the leader.

    `token_hash_by_operator` maps operators' names to the SHA-256 of their tokens.
    """

    def __init__(
        self, service: ControlService, control: ControlClient, clock: Clock, token_hash_by_operator: dict[str, str]
    ):
        self._service = service
        self._control = control
        self._clock = clock
        self._token_hash_by_operator = token_hash_by_operator
        self._routes = Map(
            [
                Rule(f"{_P}/defaults", endpoint=self._list_defaults, methods=["GET"]),
                Rule(f"{_P}/defaults/<name>", endpoint=self._set_default, methods=["PUT"]),
                Rule(f"{_P}/defaults/<name>", endpoint=self._unset_default, methods=["DELETE"]),
                Rule(f"{_P}/exceptions", endpoint=self._list_exceptions, methods=["GET"]),
                Rule(f"{_P}/exceptions", endpoint=self._add_exception, methods=["POST"]),
                Rule(f"{_P}/exceptions/<name>", endpoint=self._remove_exception, methods=["DELETE"]),
                Rule(f"{_P}/workspaces", endpoint=self._list_workspaces, methods=["GET"]),
                Rule(f"{_P}/workspaces/<name>", endpoint=self._put_workspace, methods=["PUT"]),
                Rule(f"{_P}/workspaces/<name>", endpoint=self._remove_workspace, methods=["DELETE"]),
                Rule(f"{_P}/keys", endpoint=self._list_keys, methods=["GET"]),
                Rule(f"{_P}/keys", endpoint=self._issue_key, methods=["POST"]),
                Rule(f"{_P}/keys/<name>", endpoint=self._withdraw_key, methods=["DELETE"]),
                Rule(f"{_P}/services", endpoint=self._list_services, methods=["GET"]),
                Rule(f"{_P}/services/<name>", endpoint=self._put_service, methods=["PUT"]),
                Rule(f"{_P}/services/<name>", endpoint=self._remove_service, methods=["DELETE"]),
                *ReplicaRoutes(control).rules(_P),
                Rule(f"{_P}/status", endpoint=self._status, methods=["GET"]),
                Rule(f"{_P}/in-force/<int:revision>", endpoint=self._in_force, methods=["GET"]),
            ]
        )

    def __call__(self, environ: dict, start_response: Callable) -> Any:
        """Serves one request."""
        request = Request(environ)
        try:
            response = self._dispatch(request)
        except FailureError as error:
            response = failure_response(error.failure)
        except HTTPException as error:
            response = failure_response(Failure("bad_request", error.description or "", status=error.code or 400))
        return response(environ, start_response)

    def _dispatch(self, request: Request) -> Response:
        endpoint, arguments = self._routes.bind_to_environ(request.environ).match()
        actor = self._actor(request)
        return endpoint(request, actor, **arguments)

    def _actor(self, request: Request) -> str:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        given = hashlib.sha256(token.strip().encode()).hexdigest()
        for operator, known in self._token_hash_by_operator.items():
            if scheme.lower() == "bearer" and hmac.compare_digest(given, known):
                return operator
        raise FailureError(Failure("bad_operator_token", "the operator token is missing or unknown", status=401))

    # ---- changes

    def _change(self, request: Request, actor: str, change: Any, extra: dict[str, Any] | None = None) -> Response:
        if_revision = request.args.get("if_revision", -1, type=int)
        request_id = request.headers.get("X-Request-Id") or new_request_id("op")
        made = command(change, actor, self._clock.wall_ms(), f"{actor}/{request_id}", if_revision)
        try:
            outcome = self._control.call("propose", made, timeout=_CHANGE_S)
        except ControlUnavailableError as error:
            verdict = Verdict.MAY_HAVE_RUN if error.sent else Verdict.NOT_RUN
            message = f"{error}; send it again with X-Request-Id {request_id} to learn whether it was accepted"
            raise FailureError(Failure("no_quorum", message, verdict, 503, 1.0)) from None
        if not outcome.accepted:
            status = _STATUS_BY_CODE.get(outcome.code, 400)
            raise FailureError(Failure(outcome.code, outcome.message, status=status))
        return json_response({"revision": outcome.revision, "request_id": request_id, **(extra or {})})

    def _set_default(self, request: Request, actor: str, name: str) -> Response:
        value = json.dumps(_field(_body(request), "value", object))
        return self._change(request, actor, messages.SetDefault(name, value))

    def _unset_default(self, request: Request, actor: str, name: str) -> Response:
        return self._change(request, actor, messages.UnsetDefault(name))

    def _add_exception(self, request: Request, actor: str) -> Response:
        body = _body(request)
        exception_id = _field(body, "id", str, "") or new_request_id("exc")[:12]
        change = messages.AddException(
            exception_id,
            _field(body, "default", str),
            _field(body, "scope_kind", str),
            _field(body, "scope_name", str),
            json.dumps(_field(body, "value", object)),
            _field(body, "reason", str),
        )
        return self._change(request, actor, change, {"id": exception_id})

    def _remove_exception(self, request: Request, actor: str, name: str) -> Response:
        return self._change(request, actor, messages.RemoveException(name))

    def _put_workspace(self, request: Request, actor: str, name: str) -> Response:
        body = _body(request)
        numbers = [float(_field(body, field, (int, float), 1.0)) for field in ("rate", "burst", "weight")]
        return self._change(request, actor, messages.PutWorkspace(name, *numbers))

    def _remove_workspace(self, request: Request, actor: str, name: str) -> Response:
        return self._change(request, actor, messages.RemoveWorkspace(name))

    def _issue_key(self, request: Request, actor: str) -> Response:
        workspace = _field(_body(request), "workspace", str)
        key, key_id = new_key(), new_request_id("key")[:16]
        change = messages.IssueKey(key_id, hash_key(key), workspace)
        return self._change(request, actor, change, {"id": key_id, "key": key, "workspace": workspace})

    def _withdraw_key(self, request: Request, actor: str, name: str) -> Response:
        return self._change(request, actor, messages.WithdrawKey(name))

    def _put_service(self, request: Request, actor: str, name: str) -> Response:
        routes = []
        for row in _field(_body(request), "routes", list, []):
            if not isinstance(row, dict):
                raise FailureError(Failure("bad_value", "routes must hold objects", status=400, param="routes"))
            routes.append(
                messages.Route(
                    _field(row, "method", str, "*"),
                    _field(row, "prefix", str, "/"),
                    _field(row, "open", bool, False),
                    _field(row, "repeatable", bool, True),
                )
            )
        return self._change(request, actor, messages.PutService(name, routes))

    def _remove_service(self, request: Request, actor: str, name: str) -> Response:
        return self._change(request, actor, messages.RemoveService(name))

    # ---- reading

    @property
    def _config(self) -> Any:
        return self._service.machine.state.config

    def _list_defaults(self, request: Request, actor: str) -> Response:
        config = self._config
        rows = [
            {
                "name": spec.name,
                "value": config.value(spec.name),
                "initial": spec.initial,
                "changed": spec.name in config.defaults_by_name,
                "help": spec.help,
            }
            for spec in DEFAULT_SPEC_BY_NAME.values()
        ]
        return json_response({"revision": config.revision, "defaults": rows})

    def _list_exceptions(self, request: Request, actor: str) -> Response:
        rows = [_plain(record) for record in self._config.exceptions_by_id.values()]
        return json_response({"revision": self._config.revision, "exceptions": rows})

    def _list_workspaces(self, request: Request, actor: str) -> Response:
        rows = [_plain(record) for record in self._config.workspaces_by_name.values()]
        return json_response({"revision": self._config.revision, "workspaces": rows})

    def _list_keys(self, request: Request, actor: str) -> Response:
        rows = [_plain(record) for record in self._config.keys_by_hash.values()]
        for row in rows:
            del row["key_hash"]
        return json_response({"revision": self._config.revision, "keys": rows})

    def _list_services(self, request: Request, actor: str) -> Response:
        rows = [
            {"name": service.name, "routes": [_plain(route) for route in service.routes]}
            for service in self._config.services_by_name.values()
        ]
        return json_response({"revision": self._config.revision, "services": rows})

    def _status(self, request: Request, actor: str) -> Response:
        config = self._config
        return json_response(
            {
                "revision": config.revision,
                "replica": _plain(self._service.replica_status()),
                "vms": [_plain(vm) for vm in config.vms_by_id.values()],
                "pools": [_plain(pool) for pool in config.pools_by_name.values()],
            }
        )

    def _in_force(self, request: Request, actor: str, revision: int) -> Response:
        """Waits until every live VM has applied a revision; answered by the leader."""
        if not self._service.log.is_leader():
            leader = self._service.log.status().leader
            raise FailureError(Failure("not_leader", f"ask the leader {leader}", status=421))
        deadline = time.monotonic() + min(10.0, request.args.get("wait_s", 5.0, type=float))
        while True:
            behind = [vm for vm, known in self._service.leases.revision_by_vm().items() if known < revision]
            if not behind or time.monotonic() >= deadline:
                return json_response({"revision": revision, "in_force": not behind, "behind": sorted(behind)})
            time.sleep(0.05)


def _body(request: Request) -> dict[str, Any]:
    try:
        body = json.loads(request.get_data())
    except ValueError:
        raise FailureError(Failure("bad_json", "the body must be a JSON object", status=400)) from None
    if not isinstance(body, dict):
        raise FailureError(Failure("bad_json", "the body must be a JSON object", status=400))
    return body


def _field(body: dict[str, Any], name: str, kind: Any, default: Any = None) -> Any:
    value = body.get(name, default)
    if value is None or not isinstance(value, kind) or (isinstance(value, bool) and kind not in (bool, object)):
        message = f"{name} is missing" if name not in body else f"{name} has the wrong type"
        raise FailureError(Failure("bad_value", message, status=400, param=name))
    return value


def _plain(struct: Any) -> dict[str, Any]:
    return dict(vars(struct))
