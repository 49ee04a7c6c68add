"""HTTP interface of the control VMs for operators."""

from __future__ import annotations

import hashlib
import hmac
import time
from collections.abc import Callable
from typing import Any

from arbutusrill_base import Clock, Failure, FailureError
from arbutusrill_http import failure_response, json_response
from arbutusrill_raft import LogUnavailableError, NotLeaderError
from arbutusrill_state import DEFAULT_SPEC_BY_NAME, ControlClient
from prometheus_client import CONTENT_TYPE_LATEST
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from ._backends import BackendInventory
from ._changes import OperatorChanges
from ._metrics import control_metrics
from ._replicas import ReplicaRoutes
from ._request_parsing import struct_to_dict
from ._service import ControlService

__all__ = ["OperatorApp"]

_CONFIRM_TIMEOUT_S = 1.0
_MAX_WAIT_S = 10.0
_PREFIX = "/v1/operator"


class OperatorApp:
    """WSGI application of the operators' interface. A context manager that closes its connections on exit.

    Reads are linearizable: only the leader answers them, after a quorum has confirmed its leadership. Other control
    VMs answer reads with status 421, whereupon the command-line tool tries the next VM, and forward changes to the
    leader. `token_hash_by_operator` maps the names of operators to the SHA-256 of their tokens in hexadecimal.
    """

    def __init__(
        self, service: ControlService, control: ControlClient, clock: Clock, token_hash_by_operator: dict[str, str]
    ):
        self._service = service
        self._token_hash_by_operator = token_hash_by_operator
        self._backends = BackendInventory(service.state_machine.state.config)
        self._changes = OperatorChanges(service.state_machine.state.config, control, self._backends, clock)
        self._routes = Map(
            [
                *self._read_rules(),
                *self._change_rules(),
                *self._unauthenticated_rules(),
                *ReplicaRoutes(control).rules(_PREFIX),
            ]
        )

    def __enter__(self) -> OperatorApp:
        return self

    def __exit__(self, *_: object) -> None:
        self._backends.__exit__()

    def _unauthenticated_rules(self) -> list[Rule]:
        return [
            Rule("/healthz", endpoint=self._healthz, methods=["GET"]),
            Rule("/readyz", endpoint=self._readyz, methods=["GET"]),
            Rule("/metrics", endpoint=self._metrics, methods=["GET"]),
        ]

    def _read_rules(self) -> list[Rule]:
        endpoint_by_path = {
            "defaults": self._list_defaults,
            "exceptions": self._list_exceptions,
            "workspaces": self._list_workspaces,
            "keys": self._list_keys,
            "services": self._list_services,
            "backends": self._list_backends,
            "orders": self._list_orders,
            "burn": self._burn,
            "status": self._status,
            "replica": self._replica,
            "in-force/<int:revision>": self._in_force,
        }
        return [Rule(f"{_PREFIX}/{path}", endpoint=call, methods=["GET"]) for path, call in endpoint_by_path.items()]

    def _change_rules(self) -> list[Rule]:
        changes = self._changes
        rows = [
            ("PUT", "defaults/<name>", changes.set_default),
            ("DELETE", "defaults/<name>", changes.unset_default),
            ("POST", "exceptions", changes.add_exception),
            ("DELETE", "exceptions/<name>", changes.remove_exception),
            ("PUT", "workspaces/<name>", changes.put_workspace),
            ("DELETE", "workspaces/<name>", changes.remove_workspace),
            ("POST", "keys", changes.issue_key),
            ("DELETE", "keys/<name>", changes.withdraw_key),
            ("PUT", "services/<name>", changes.put_service),
            ("DELETE", "services/<name>", changes.remove_service),
            ("POST", "backends/<name>/orders", changes.submit_order),
            ("POST", "backends/<name>/drain", changes.drain_backend),
            ("DELETE", "orders/<name>", changes.withdraw_order),
            ("PUT", "feature-level", changes.set_feature_level),
        ]
        return [Rule(f"{_PREFIX}/{path}", endpoint=call, methods=[method]) for method, path, call in rows]

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
        if not request.path.startswith(f"{_PREFIX}/"):
            return endpoint()
        actor = self._authenticate(request)
        if request.method == "GET" and endpoint != self._replica:
            self._confirm_leadership()
        return endpoint(request, actor, **arguments)

    def _confirm_leadership(self) -> None:
        try:
            self._service.log.confirm(_CONFIRM_TIMEOUT_S)
        except NotLeaderError as error:
            message = f"this control VM does not lead, ask the one with RPC address {error.leader or 'unknown'}"
            raise FailureError(Failure("not_leader", message, status=421)) from None
        except LogUnavailableError as error:
            message = f"no quorum of control VMs answers, what this one knows may be old: {error}"
            raise FailureError(Failure("no_quorum", message, status=503, retry_after=1.0)) from None

    def _authenticate(self, request: Request) -> str:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        token_hash = hashlib.sha256(token.strip().encode()).hexdigest()
        for operator, expected_hash in self._token_hash_by_operator.items():
            if scheme.lower() == "bearer" and hmac.compare_digest(token_hash, expected_hash):
                return operator
        raise FailureError(Failure("bad_operator_token", "the operator token is missing or unknown", status=401))

    def _healthz(self) -> Response:
        fault = self._service.log.status().fault
        return json_response({"status": fault or "ok"}, 503 if fault else 200)

    def _readyz(self) -> Response:
        status = self._service.log.status()
        ready = not status.fault and bool(status.leader or self._service.log.is_leader())
        return json_response({"ready": ready}, 200 if ready else 503)

    def _metrics(self) -> Response:
        return Response(control_metrics(self._service), content_type=CONTENT_TYPE_LATEST)

    @property
    def _config(self) -> Any:
        return self._service.state_machine.state.config

    def _copy_values(self, records: dict[str, Any]) -> list[Any]:
        with self._config.lock:
            return list(records.values())

    def _record_rows(self, records: dict[str, Any]) -> list[dict[str, Any]]:
        return [struct_to_dict(record) for record in self._copy_values(records)]

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
        rows = self._record_rows(self._config.exceptions_by_id)
        return json_response({"revision": self._config.revision, "exceptions": rows})

    def _list_workspaces(self, request: Request, actor: str) -> Response:
        rows = self._record_rows(self._config.workspaces_by_name)
        return json_response({"revision": self._config.revision, "workspaces": rows})

    def _list_keys(self, request: Request, actor: str) -> Response:
        rows = self._record_rows(self._config.keys_by_hash)
        for row in rows:
            del row["key_hash"]
        return json_response({"revision": self._config.revision, "keys": rows})

    def _list_services(self, request: Request, actor: str) -> Response:
        rows = [
            {"name": service.name, "routes": [struct_to_dict(route) for route in service.routes]}
            for service in self._copy_values(self._config.services_by_name)
        ]
        return json_response({"revision": self._config.revision, "services": rows})

    def _status(self, request: Request, actor: str) -> Response:
        config = self._config
        return json_response(
            {
                "revision": config.revision,
                "replica": struct_to_dict(self._service.replica_status()),
                "vms": self._record_rows(config.vms_by_id),
                "pools": self._record_rows(config.pools_by_name),
            }
        )

    def _replica(self, request: Request, actor: str) -> Response:
        """Returns this replica's own view; needs no quorum, so that it also works for troubleshooting."""
        return json_response(struct_to_dict(self._service.replica_status()))

    def _list_backends(self, request: Request, actor: str) -> Response:
        rows, unreachable = self._backends.list_servers()
        return json_response({"revision": self._config.revision, "backends": rows, "silent_owners": unreachable})

    def _list_orders(self, request: Request, actor: str) -> Response:
        return json_response(
            {"revision": self._config.revision, "orders": self._record_rows(self._config.orders_by_id)}
        )

    def _burn(self, request: Request, actor: str) -> Response:
        return json_response({"vms": self._service.burn.count_reporting_vms(), "burn": self._service.burn.totals()})

    def _in_force(self, request: Request, actor: str, revision: int) -> Response:
        """Waits up to `wait_s` seconds until every VM that is not dead has applied a revision."""
        wait_s = request.args.get("wait_s", 5.0, type=float)
        deadline = time.monotonic() + (min(_MAX_WAIT_S, wait_s) if wait_s > 0 else 0.0)
        while True:
            revision_by_vm = self._service.leases.revision_by_vm()
            with self._config.lock:
                # A VM that has not polled this leader yet counts as behind until it is declared dead.
                vms = [vm.id for vm in self._config.vms_by_id.values() if vm.state != "dead"]
            behind = sorted(vm for vm in vms if revision_by_vm.get(vm, -1) < revision)
            if not behind or time.monotonic() >= deadline:
                self._confirm_leadership()
                return json_response({"revision": revision, "in_force": not behind, "behind": behind})
            time.sleep(0.05)
