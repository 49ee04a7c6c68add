"""Operators' requests that change the shared state."""

from __future__ import annotations

import base64
import hashlib
import hmac
import json
from typing import Any

from arbutusrill_base import Clock, Failure, FailureError, Verdict, hash_key, new_request_id
from arbutusrill_http import json_response
from arbutusrill_state import ConfigState, ControlClient, ControlUnavailableError, command
from arbutusrill_wire import messages
from werkzeug.wrappers import Request, Response

from ._backends import BackendViews
from ._bodies import bad_value, body_of, field_of, number_of, plain, revision_of

__all__ = ["OperatorChanges"]

_CHANGE_S = 8.0
_STATUS_BY_CODE = {"revision_conflict": 409, "conflict": 409, "not_found": 404, "too_many": 409, "feature_level": 409}


class OperatorChanges:
    """Turns requests into commands, proposes them and returns their outcomes."""

    def __init__(self, config: ConfigState, control: ControlClient, backends: BackendViews, clock: Clock):
        self._config = config
        self._control = control
        self._backends = backends
        self._clock = clock

    def _request_id(self, request: Request) -> str:
        return request.headers.get("X-Request-Id") or new_request_id("op")

    def _change(
        self, request: Request, actor: str, change: Any, extra: dict[str, Any] | None = None, request_id: str = ""
    ) -> Response:
        request_id = request_id or self._request_id(request)
        made = command(change, actor, self._clock.wall_ms(), f"{actor}/{request_id}", revision_of(request))
        outcome = self._propose(made, request_id)
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

    def _propose(self, made: Any, request_id: str) -> Any:
        try:
            return self._control.call("propose", made, timeout=_CHANGE_S)
        except ControlUnavailableError as error:
            verdict = Verdict.MAY_HAVE_RUN if error.sent else Verdict.NOT_RUN
            message = f"{error}; send it again with X-Request-Id {request_id} to learn whether it was accepted"
            raise FailureError(Failure("no_quorum", message, verdict, 503, 1.0)) from None
        except messages.Refused as refused:
            status = _STATUS_BY_CODE.get(refused.code, 503)
            raise FailureError(Failure(refused.code, refused.message, status=status)) from None

    # ---- defaults, exceptions, workspaces, services

    def set_default(self, request: Request, actor: str, name: str) -> Response:
        """Changes a default."""
        value = json.dumps(field_of(body_of(request), "value", object))
        return self._change(request, actor, messages.SetDefault(name, value))

    def unset_default(self, request: Request, actor: str, name: str) -> Response:
        """Returns a default to its initial value."""
        return self._change(request, actor, messages.UnsetDefault(name))

    def add_exception(self, request: Request, actor: str) -> Response:
        """Adds an exception; its id follows from the request id, so that a retry names the same one."""
        body = body_of(request)
        request_id = self._request_id(request)
        exception_id = field_of(body, "id", str, "") or f"exc-{_digest(actor, request_id)[:12]}"
        change = messages.AddException(
            exception_id,
            field_of(body, "default", str),
            field_of(body, "scope_kind", str),
            field_of(body, "scope_name", str),
            json.dumps(field_of(body, "value", object)),
            field_of(body, "reason", str),
        )
        return self._change(request, actor, change, {"id": exception_id}, request_id)

    def remove_exception(self, request: Request, actor: str, name: str) -> Response:
        """Removes an exception."""
        return self._change(request, actor, messages.RemoveException(name))

    def put_workspace(self, request: Request, actor: str, name: str) -> Response:
        """Creates or changes a workspace; a rate or burst of 0 or none stands for the default."""
        body = body_of(request)
        change = messages.PutWorkspace(
            name, number_of(body, "rate", 0.0), number_of(body, "burst", 0.0), number_of(body, "weight", 1.0)
        )
        return self._change(request, actor, change)

    def remove_workspace(self, request: Request, actor: str, name: str) -> Response:
        """Removes a workspace; its keys stop working."""
        return self._change(request, actor, messages.RemoveWorkspace(name))

    def put_service(self, request: Request, actor: str, name: str) -> Response:
        """Declares a plain service with its routes."""
        routes = []
        for row in field_of(body_of(request), "routes", list, []):
            if not isinstance(row, dict):
                raise bad_value("routes", "routes must hold objects")
            routes.append(
                messages.Route(
                    field_of(row, "method", str, "*"),
                    field_of(row, "prefix", str, "/"),
                    field_of(row, "open", bool, False),
                    field_of(row, "repeatable", bool, True),
                )
            )
        return self._change(request, actor, messages.PutService(name, routes))

    def remove_service(self, request: Request, actor: str, name: str) -> Response:
        """Removes a plain service."""
        return self._change(request, actor, messages.RemoveService(name))

    def set_feature_level(self, request: Request, actor: str) -> Response:
        """Raises the feature level, once every control VM runs a version that supports it."""
        return self._change(request, actor, messages.SetFeatureLevel(field_of(body_of(request), "level", int)))

    # ---- keys

    def issue_key(self, request: Request, actor: str) -> Response:
        """Issues a key.

        The secret is derived from the operator's token and the request id: a retry after a lost response, also at
        another control VM, shows the key that was stored, although only its hash is kept.
        """
        workspace = field_of(body_of(request), "workspace", str)
        request_id = self._request_id(request)
        token = request.headers.get("Authorization", "").partition(" ")[2].strip()
        secret = hmac.new(token.encode(), f"key\0{actor}\0{workspace}\0{request_id}".encode(), "sha256").digest()
        key = f"ak-{base64.urlsafe_b64encode(secret).decode().rstrip('=')}"
        key_id = f"key-{hash_key('id ' + key)[:12]}"
        change = messages.IssueKey(key_id, hash_key(key), workspace)
        return self._change(request, actor, change, {"id": key_id, "key": key, "workspace": workspace}, request_id)

    def withdraw_key(self, request: Request, actor: str, name: str) -> Response:
        """Withdraws a key."""
        return self._change(request, actor, messages.WithdrawKey(name))

    # ---- backend servers

    def order(self, request: Request, actor: str, name: str) -> Response:
        """Records an order to a backend server, which the owner of its pool carries out."""
        body = body_of(request)
        return self._order(request, actor, name, field_of(body, "action", str), body)

    def drain(self, request: Request, actor: str, name: str) -> Response:
        """Records the order to finish the work under way and take no more."""
        return self._order(request, actor, name, "drain", body_of(request))

    def _order(self, request: Request, actor: str, server: str, action: str, body: dict[str, Any]) -> Response:
        request_id = self._request_id(request)
        order_id = f"ord-{_digest(actor, request_id)[:16]}"
        argument = json.dumps(field_of(body, "argument", dict, {}), sort_keys=True)
        known = self._config.orders_by_id.get(order_id)
        pool = field_of(body, "pool", str, "") or (known.pool if known else None) or self._backends.pool_of(server)
        if pool is None:
            message = f"no pool's owner knows the server {server!r}; name its pool if it is to come back"
            raise FailureError(Failure("not_found", message, status=404, param="server"))
        change = messages.PutOrder(order_id, server, pool, action, argument, "requested")
        return self._change(request, actor, change, {"id": order_id, "pool": pool}, request_id)

    def withdraw_order(self, request: Request, actor: str, name: str) -> Response:
        """Takes back an order that is not running yet."""
        known = self._config.orders_by_id.get(name)
        if known is None:
            raise FailureError(Failure("not_found", f"no order {name}", status=404))
        change = messages.PutOrder(**{**plain(known), "state": "withdrawn", "detail": f"by {actor}"})
        return self._change(request, actor, change)


def _digest(actor: str, request_id: str) -> str:
    return hashlib.sha256(f"{actor}\0{request_id}".encode()).hexdigest()
