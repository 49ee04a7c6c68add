"""Listing of the control group's replicas and replacement of a lost one."""

from __future__ import annotations

from typing import Any

from arbutusrill_base import Failure, FailureError, Verdict, load_json
from arbutusrill_http import json_response
from arbutusrill_raft import LogUnavailableError, MembershipError, NotLeaderError, Replica
from arbutusrill_state import ControlClient, ControlUnavailableError
from arbutusrill_wire import messages
from werkzeug.routing import Rule
from werkzeug.wrappers import Request, Response

from ._request_parsing import require_caller

__all__ = ["ReplicaMethods", "ReplicaRoutes"]

_REPLACE_TIMEOUT_S = 8.0  # one attempt by the leader; mostly the catch-up of the new replica
_CALL_TIMEOUT_S = 12.0  # shorter than the request timeout of the command-line tool, 15 s


class ReplicaMethods:
    """Mixin with the methods of the `Control` RPC service that concern replicas."""

    log: Replica

    def replicas(self) -> list[Any]:
        """Returns the members of the group; only the leader answers."""
        try:
            rows = self.log.members()
        except NotLeaderError as error:
            raise messages.Refused("not_leader", str(error), leader=error.leader) from None
        except LogUnavailableError as error:
            raise messages.Refused("unavailable", str(error)) from None
        return [
            messages.ReplicaRow(
                row.id, row.address, row.kind, row.is_leader, row.match_index, max(-1, int(row.silent_s * 1000))
            )
            for row in rows
        ]

    def replace_replica(self, old: str, replacement: str) -> str:
        """Replaces a member and returns the new member's ID; a repeated call resumes an interrupted replacement."""
        try:
            return self.log.replace(old, replacement, _REPLACE_TIMEOUT_S)
        except MembershipError as error:
            raise messages.Refused("membership", str(error)) from None
        except NotLeaderError as error:
            raise messages.Refused("not_leader", str(error), leader=error.leader) from None
        except LogUnavailableError as error:
            raise messages.Refused("unavailable", str(error), messages.Verdict.MAY_HAVE_RUN) from None


class ReplicaRoutes:
    """HTTP endpoints for replicas, which call the leader."""

    def __init__(self, control: ControlClient):
        self._control = control

    def rules(self, prefix: str) -> list[Rule]:
        """Returns the routing rules below a path prefix."""
        return [
            Rule(f"{prefix}/replicas", endpoint=self._list, methods=["GET"]),
            Rule(f"{prefix}/replicas/replace", endpoint=self._replace, methods=["POST"]),
        ]

    def _list(self, request: Request, actor: str) -> Response:
        rows = self._call("replicas")
        return json_response({"replicas": [dict(vars(row)) for row in rows]})

    def _replace(self, request: Request, actor: str) -> Response:
        try:
            body = load_json(request.get_data())
        except ValueError:
            body = None
        members = [body.get(name) if isinstance(body, dict) else None for name in ("old", "new")]
        for name, value in zip(("old", "new"), members, strict=True):
            if not isinstance(value, str) or not value:
                message = f"{name} must be a text: a member ID or RPC address"
                raise FailureError(Failure("bad_value", message, status=400, param=name))
        require_caller(request)
        return json_response({"member": self._call("replace_replica", *members)})

    def _call(self, name: str, *arguments: str) -> Any:
        try:
            return self._control.call(name, *arguments, timeout=_CALL_TIMEOUT_S, try_timeout=_REPLACE_TIMEOUT_S + 1.0)
        except messages.Refused as refused:
            raise FailureError(Failure(refused.code, refused.message, status=409)) from None
        except ControlUnavailableError as error:
            verdict = Verdict.MAY_HAVE_RUN if error.sent else Verdict.NOT_RUN
            raise FailureError(Failure("no_quorum", f"{error}; repeat the command", verdict, 503, 1.0)) from None
