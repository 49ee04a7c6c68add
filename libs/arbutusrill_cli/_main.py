"""Command-line tool for operators."""

from __future__ import annotations

import json
import sys
from typing import Annotated, Any

import typer

from ._client import OperatorClient, OperatorError
from ._tables import show_table

__all__ = ["main"]

app = typer.Typer(no_args_is_help=True, help="Operates an arbutusrill site.", pretty_exceptions_enable=False)
defaults = typer.Typer(no_args_is_help=True, help="Fleet-wide defaults.")
exceptions = typer.Typer(no_args_is_help=True, help="Exceptions to defaults, each with a reason.")
workspaces = typer.Typer(no_args_is_help=True, help="Workspaces and their limits.")
keys = typer.Typer(no_args_is_help=True, help="Callers' keys.")
replicas = typer.Typer(no_args_is_help=True, help="Replicas of the control group.")
services = typer.Typer(no_args_is_help=True, help="Plain services and their routes.")
for _name, _group in (
    ("defaults", defaults),
    ("exceptions", exceptions),
    ("workspaces", workspaces),
    ("keys", keys),
    ("services", services),
    ("replicas", replicas),
):
    app.add_typer(_group, name=_name)

Json = Annotated[bool, typer.Option("--json", help="print JSON instead of a table")]
IfRevision = Annotated[int, typer.Option(help="change only if this is still the revision")]
RequestId = Annotated[str, typer.Option(help="same id as a command whose answer was lost")]
Wait = Annotated[bool, typer.Option(help="return when the change is in force on every live VM")]


def _client() -> OperatorClient:
    return OperatorClient.from_environment()


def _show(value: dict[str, Any], rows: str | None, as_json: bool) -> None:
    if as_json or rows is None:
        print(json.dumps(value, indent=2, ensure_ascii=False))
    else:
        show_table(value[rows])


def _change(
    method: str, path: str, body: dict[str, Any] | None, if_revision: int, request_id: str, wait: bool, as_json: bool
) -> None:
    client = _client()
    query = {"if_revision": if_revision} if if_revision >= 0 else None
    value = client.call(method, path, body, query, request_id or None)
    if wait:
        value |= client.call("GET", f"/in-force/{value['revision']}", query={"wait_s": 8})
    if as_json:
        print(json.dumps(value, indent=2, ensure_ascii=False))
        return
    for name, item in value.items():
        print(f"{name}: {item}")


@defaults.command("show")
def defaults_show(as_json: Json = False) -> None:
    """Shows all defaults. Example: arbutusrill defaults show"""
    _show(_client().call("GET", "/defaults"), "defaults", as_json)


@defaults.command("set")
def defaults_set(
    name: str,
    value: str,
    if_revision: IfRevision = -1,
    request_id: RequestId = "",
    wait: Wait = False,
    as_json: Json = False,
) -> None:
    """Changes a default. Example: arbutusrill defaults set limits.rate 3000"""
    try:
        parsed = json.loads(value)
    except ValueError:
        parsed = value
    _change("PUT", f"/defaults/{name}", {"value": parsed}, if_revision, request_id, wait, as_json)


@defaults.command("unset")
def defaults_unset(
    name: str, if_revision: IfRevision = -1, request_id: RequestId = "", wait: Wait = False, as_json: Json = False
) -> None:
    """Returns a default to its initial value. Example: arbutusrill defaults unset limits.rate"""
    _change("DELETE", f"/defaults/{name}", None, if_revision, request_id, wait, as_json)


@exceptions.command("list")
def exceptions_list(as_json: Json = False) -> None:
    """Lists the exceptions. Example: arbutusrill exceptions list"""
    _show(_client().call("GET", "/exceptions"), "exceptions", as_json)


@exceptions.command("add")
def exceptions_add(
    default: str,
    scope: Annotated[str, typer.Argument(help="KIND=NAME, such as workspace=dispatch")],
    value: str,
    reason: Annotated[str, typer.Option(help="why this exception exists")],
    if_revision: IfRevision = -1,
    request_id: RequestId = "",
    wait: Wait = False,
    as_json: Json = False,
) -> None:
    """Adds an exception. Example: arbutusrill exceptions add limits.rate workspace=dispatch 9000 --reason term"""
    kind, _, scope_name = scope.partition("=")
    try:
        parsed = json.loads(value)
    except ValueError:
        parsed = value
    body = {"default": default, "scope_kind": kind, "scope_name": scope_name, "value": parsed, "reason": reason}
    _change("POST", "/exceptions", body, if_revision, request_id, wait, as_json)


@exceptions.command("remove")
def exceptions_remove(
    exception_id: str,
    if_revision: IfRevision = -1,
    request_id: RequestId = "",
    wait: Wait = False,
    as_json: Json = False,
) -> None:
    """Removes an exception. Example: arbutusrill exceptions remove exc-1a2b3c4d"""
    _change("DELETE", f"/exceptions/{exception_id}", None, if_revision, request_id, wait, as_json)


@workspaces.command("list")
def workspaces_list(as_json: Json = False) -> None:
    """Lists the workspaces. Example: arbutusrill workspaces list"""
    _show(_client().call("GET", "/workspaces"), "workspaces", as_json)


@workspaces.command("put")
def workspaces_put(
    name: str,
    rate: Annotated[float, typer.Option(help="tokens/s over all VMs")],
    burst: Annotated[float, typer.Option(help="tokens")],
    weight: Annotated[float, typer.Option(help="share relative to other workspaces")] = 1.0,
    if_revision: IfRevision = -1,
    request_id: RequestId = "",
    wait: Wait = False,
    as_json: Json = False,
) -> None:
    """Creates or changes a workspace. Example: arbutusrill workspaces put dispatch --rate 2000 --burst 20000"""
    body = {"rate": rate, "burst": burst, "weight": weight}
    _change("PUT", f"/workspaces/{name}", body, if_revision, request_id, wait, as_json)


@workspaces.command("remove")
def workspaces_remove(
    name: str, if_revision: IfRevision = -1, request_id: RequestId = "", wait: Wait = False, as_json: Json = False
) -> None:
    """Removes a workspace; its keys stop working. Example: arbutusrill workspaces remove dispatch"""
    _change("DELETE", f"/workspaces/{name}", None, if_revision, request_id, wait, as_json)


@keys.command("list")
def keys_list(as_json: Json = False) -> None:
    """Lists keys without their secrets. Example: arbutusrill keys list"""
    _show(_client().call("GET", "/keys"), "keys", as_json)


@keys.command("issue")
def keys_issue(workspace: str, request_id: RequestId = "", wait: Wait = False, as_json: Json = False) -> None:
    """Issues a key and shows it this once. Example: arbutusrill keys issue dispatch"""
    _change("POST", "/keys", {"workspace": workspace}, -1, request_id, wait, as_json)


@keys.command("withdraw")
def keys_withdraw(key_id: str, request_id: RequestId = "", wait: Wait = False, as_json: Json = False) -> None:
    """Withdraws a key. Example: arbutusrill keys withdraw key-1a2b3c4d"""
    _change("DELETE", f"/keys/{key_id}", None, -1, request_id, wait, as_json)


@services.command("list")
def services_list(as_json: Json = False) -> None:
    """Lists services and routes. Example: arbutusrill services list"""
    _show(_client().call("GET", "/services"), "services", as_json)


@services.command("put")
def services_put(
    name: str,
    route: Annotated[list[str], typer.Option(help="METHOD:PREFIX[:open][:once], repeated")] = [],  # noqa: B006
    if_revision: IfRevision = -1,
    request_id: RequestId = "",
    wait: Wait = False,
    as_json: Json = False,
) -> None:
    """Declares a service. Example: arbutusrill services put seats --route POST:/bookings:once --route GET:/"""
    routes = []
    for text in route:
        method, prefix, *flags = text.split(":")
        routes.append({"method": method, "prefix": prefix, "open": "open" in flags, "repeatable": "once" not in flags})
    _change("PUT", f"/services/{name}", {"routes": routes}, if_revision, request_id, wait, as_json)


@replicas.command("list")
def replicas_list(as_json: Json = False) -> None:
    """Lists the control group's members as its leader sees them. Example: arbutusrill replicas list"""
    _show(_client().call("GET", "/replicas"), "replicas", as_json)


@replicas.command("replace")
def replicas_replace(
    old: Annotated[str, typer.Argument(help="member ID or RPC address")],
    new: Annotated[str, typer.Argument(help="RPC address of a running replica with an empty disk")],
    as_json: Json = False,
) -> None:
    """Replaces a lost replica; safe to repeat. Example: arbutusrill replicas replace 10.0.0.1:7300 10.0.0.4:7300"""
    value = _client().call("POST", "/replicas/replace", {"old": old, "new": new})
    print(json.dumps(value, indent=2) if as_json else f"member: {value['member']}")


@app.command("status")
def status(as_json: Json = False) -> None:
    """Shows the control group, VMs and pools. Example: arbutusrill status"""
    value = _client().call("GET", "/status")
    if as_json:
        _show(value, None, True)
        return
    print(f"revision {value['revision']}")
    for rows in ("vms", "pools"):
        show_table(value[rows])


def main() -> None:
    """Runs the tool; exits with 2 for wrong usage, 3 for a refusal and 4 when no control VM answers."""
    try:
        app()
    except OperatorError as error:
        print(f"arbutusrill: {error}", file=sys.stderr)
        raise SystemExit(error.exit_code) from None
