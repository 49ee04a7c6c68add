"""HTTP endpoints with which operators change the replicated state."""

from __future__ import annotations

import base64
import hashlib
import hmac
import json
from typing import Any

from arbutusrill_base import Clock, Failure, FailureError, Verdict, hash_key, new_request_id
from arbutusrill_http import json_response
from arbutusrill_state import ConfigState, ControlClient, ControlUnavailableError, make_command
from arbutusrill_wire import messages
from werkzeug.wrappers import Request, Response

from ._backends import BackendInventory
from ._request_parsing import (
    get_field,
    get_number,
    invalid_value_error,
    parse_if_revision,
    parse_json_body,
    require_caller,
    struct_to_dict,
)

__all__ = ["OperatorChanges"]

_PROPOSE_TIMEOUT_S = 8.0
_STATUS_BY_CODE = {"revision_conflict": 409, "conflict": 409, "not_found": 404, "too_many": 409, "feature_level": 409}


class OperatorChanges:
    """Endpoints that turn a request into a command, propose it to the leader and return its outcome.

    Each takes the request, the name of the authenticated operator (`actor`) and the name from the path, if any.
    """

    def __init__(self, config: ConfigState, control: ControlClient, backends: BackendInventory, clock: Clock):
        self._config = config
        self._control = control
        self._backends = backends
        self._clock = clock

    def _request_id(self, request: Request) -> str:
        return request.headers.get("X-Request-Id") or new_request_id("op")

    def _propose_change(
        self, request: Request, actor: str, change: Any, extra: dict[str, Any] | None = None, request_id: str = ""
    ) -> Response:
        request_id = request_id or self._request_id(request)
        proposal = make_command(
            change, actor, self._clock.wall_ms(), f"{actor}/{request_id}", parse_if_revision(request)
        )
        require_caller(request)
        outcome = self._propose(proposal, request_id)
        if not outcome.accepted:
            status = _STATUS_BY_CODE.get(outcome.code, 400)
            raise FailureError(Failure(outcome.code, outcome.message, status=status))
        if isinstance(change, messages.IssueKey) and outcome.detail and outcome.detail.decode() != change.key_id:
            message = (
                f"this request has issued key {outcome.detail.decode()} already, with another operator token; its "
                "secret cannot be shown again: withdraw that key and issue another one"
            )
            raise FailureError(Failure("key_shown", message, Verdict.RAN, 409))
        return json_response({"revision": outcome.revision, "request_id": request_id, **(extra or {})})

    def _propose(self, proposal: Any, request_id: str) -> Any:
        try:
            return self._control.call("propose", proposal, timeout=_PROPOSE_TIMEOUT_S)
        except ControlUnavailableError as error:
            verdict = Verdict.MAY_HAVE_RUN if error.sent else Verdict.NOT_RUN
            message = f"{error}; send it again with X-Request-Id {request_id} to learn whether it was accepted"
            raise FailureError(Failure("no_quorum", message, verdict, 503, 1.0)) from None
        except messages.Refused as refused:
            status = _STATUS_BY_CODE.get(refused.code, 503)
            raise FailureError(Failure(refused.code, refused.message, status=status)) from None

    def set_default(self, request: Request, actor: str, name: str) -> Response:
        """Overrides the value of a default."""
        value = json.dumps(get_field(parse_json_body(request), "value", object))
        return self._propose_change(request, actor, messages.SetDefault(name, value))

    def unset_default(self, request: Request, actor: str, name: str) -> Response:
        """Resets a default to its initial value."""
        return self._propose_change(request, actor, messages.UnsetDefault(name))

    def add_exception(self, request: Request, actor: str) -> Response:
        """Adds an exception; its ID is derived from the request ID, so that a retry addresses the same exception."""
        body = parse_json_body(request)
        request_id = self._request_id(request)
        exception_id = get_field(body, "id", str, "") or f"exc-{_digest(actor, request_id)[:12]}"
        change = messages.AddException(
            exception_id,
            get_field(body, "default", str),
            get_field(body, "scope_kind", str),
            get_field(body, "scope_name", str),
            json.dumps(get_field(body, "value", object)),
            get_field(body, "reason", str),
        )
        return self._propose_change(request, actor, change, {"id": exception_id}, request_id)

    def remove_exception(self, request: Request, actor: str, name: str) -> Response:
        """Removes an exception."""
        return self._propose_change(request, actor, messages.RemoveException(name))

    def put_workspace(self, request: Request, actor: str, name: str) -> Response:
        """Creates or changes a workspace; a rate or burst that is 0 or missing selects the default."""
        body = parse_json_body(request)
        change = messages.PutWorkspace(
            name, get_number(body, "rate", 0.0), get_number(body, "burst", 0.0), get_number(body, "weight", 1.0)
        )
        return self._propose_change(request, actor, change)

    def remove_workspace(self, request: Request, actor: str, name: str) -> Response:
        """Removes a workspace and thereby invalidates its keys."""
        return self._propose_change(request, actor, messages.RemoveWorkspace(name))

    def put_service(self, request: Request, actor: str, name: str) -> Response:
        """Creates or replaces a plain service with its routes."""
        routes = []
        for row in get_field(parse_json_body(request), "routes", list, []):
            if not isinstance(row, dict):
                raise invalid_value_error("routes", "routes must hold objects")
            routes.append(
                messages.Route(
                    get_field(row, "method", str, "*"),
                    get_field(row, "prefix", str, "/"),
                    get_field(row, "open", bool, False),
                    get_field(row, "repeatable", bool, True),
                )
            )
        return self._propose_change(request, actor, messages.PutService(name, routes))

    def remove_service(self, request: Request, actor: str, name: str) -> Response:
        """Removes a plain service."""
        return self._propose_change(request, actor, messages.RemoveService(name))

    def set_feature_level(self, request: Request, actor: str) -> Response:
        """Raises the feature level; to be called once every control VM runs a version that supports it."""
        return self._propose_change(
            request, actor, messages.SetFeatureLevel(get_field(parse_json_body(request), "level", int))
        )

    def issue_key(self, request: Request, actor: str) -> Response:
        """Issues an API key for a workspace and returns it.

        The key is derived from the operator's token and the request ID, so that a retry after a lost response, on
        any control VM, returns the same key although only its hash is stored.
        """
        workspace = get_field(parse_json_body(request), "workspace", str)
        request_id = self._request_id(request)
        token = request.headers.get("Authorization", "").partition(" ")[2].strip()
        secret = hmac.new(token.encode(), f"key\0{actor}\0{workspace}\0{request_id}".encode(), "sha256").digest()
        key = f"ak-{base64.urlsafe_b64encode(secret).decode().rstrip('=')}"
        key_id = f"key-{hash_key('id ' + key)[:12]}"
        change = messages.IssueKey(key_id, hash_key(key), workspace)
        return self._propose_change(
            request, actor, change, {"id": key_id, "key": key, "workspace": workspace}, request_id
        )

    def withdraw_key(self, request: Request, actor: str, name: str) -> Response:
        """Withdraws a key, which is then no longer accepted."""
        return self._propose_change(request, actor, messages.WithdrawKey(name))

    def submit_order(self, request: Request, actor: str, name: str) -> Response:
        """Records an order for a backend server; the owner of its pool carries it out."""
        body = parse_json_body(request)
        return self._propose_order(request, actor, name, get_field(body, "action", str), body)

    def drain_backend(self, request: Request, actor: str, name: str) -> Response:
        """Records an order to drain a backend server: it finishes running work and accepts no more."""
        return self._propose_order(request, actor, name, "drain", parse_json_body(request))

    def _propose_order(self, request: Request, actor: str, server: str, action: str, body: dict[str, Any]) -> Response:
        request_id = self._request_id(request)
        order_id = f"ord-{_digest(actor, request_id)[:16]}"
        argument = json.dumps(get_field(body, "argument", dict, {}), sort_keys=True)
        existing = self._config.orders_by_id.get(order_id)
        pool = (
            get_field(body, "pool", str, "")
            or (existing.pool if existing else None)
            or self._backends.find_pool(server)
        )
        if pool is None:
            message = f"no pool's owner knows the server {server!r}; name its pool if it is to come back"
            raise FailureError(Failure("not_found", message, status=404, param="server"))
        change = messages.PutOrder(order_id, server, pool, action, argument, "requested")
        return self._propose_change(request, actor, change, {"id": order_id, "pool": pool}, request_id)

    def withdraw_order(self, request: Request, actor: str, name: str) -> Response:
        """Withdraws an order; the state machine refuses this once the order runs."""
        existing = self._config.orders_by_id.get(name)
        if existing is None:
            raise FailureError(Failure("not_found", f"no order {name}", status=404))
        change = messages.PutOrder(**{**struct_to_dict(existing), "state": "withdrawn", "detail": f"by {actor}"})
        return self._propose_change(request, actor, change)


def _digest(actor: str, request_id: str) -> str:
    return hashlib.sha256(f"{actor}\0{request_id}".encode()).hexdigest()
