"""Command-line tool for operators."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import typer
from arbutusrill_burn import burn_html

from ._burn import burn_table_rows, compute_burn_rates
from ._client import EXIT_NOT_IN_FORCE, OperatorClient, OperatorError
from ._tables import print_table

__all__ = ["main"]

_HELP = """Operates an arbutusrill site.

Exit codes: 0 success; 1 internal error; 2 wrong usage or settings; 3 refused, nothing was changed; 4 no control VM
with a quorum answered, repeat the command with the same --request-id; 5 accepted, but not in force on every VM within
the time limit of --wait.
"""
app = typer.Typer(no_args_is_help=True, help=_HELP, pretty_exceptions_enable=False)
defaults = typer.Typer(no_args_is_help=True, help="Fleet-wide defaults.")
exceptions = typer.Typer(no_args_is_help=True, help="Exceptions to defaults, each with a reason.")
workspaces = typer.Typer(no_args_is_help=True, help="Workspaces and their limits.")
keys = typer.Typer(no_args_is_help=True, help="API keys of callers.")
replicas = typer.Typer(no_args_is_help=True, help="Replicas of the control group.")
services = typer.Typer(no_args_is_help=True, help="Plain services and their routes.")
backends = typer.Typer(no_args_is_help=True, help="Backend servers and orders for them.")
orders = typer.Typer(no_args_is_help=True, help="Orders for backend servers and their states.")
for _name, _group in (
    ("defaults", defaults),
    ("exceptions", exceptions),
    ("workspaces", workspaces),
    ("keys", keys),
    ("services", services),
    ("backends", backends),
    ("orders", orders),
    ("replicas", replicas),
):
    app.add_typer(_group, name=_name)

Json = Annotated[bool, typer.Option("--json", help="print JSON instead of a table")]
IfRevision = Annotated[int, typer.Option(help="apply the change only if the configuration still has this revision")]
RequestId = Annotated[str, typer.Option(help="request ID of an earlier attempt whose response was lost")]
Pool = Annotated[str, typer.Option(help="pool of the server; looked up by the server's ID by default")]
Wait = Annotated[bool, typer.Option(help="wait until the change is in force on every live VM")]


def _make_client() -> OperatorClient:
    return OperatorClient.from_environment()


def _print_output(value: dict[str, Any], rows: str | None, as_json: bool) -> None:
    if as_json or rows is None:
        print(json.dumps(value, indent=2, ensure_ascii=False))
    else:
        print_table(value[rows])


def _submit_change(
    method: str, path: str, body: dict[str, Any] | None, if_revision: int, request_id: str, wait: bool, as_json: bool
) -> None:
    client = _make_client()
    query = {"if_revision": if_revision} if if_revision >= 0 else None
    value = client.call(method, path, body, query, request_id or None)
    try:
        if wait:
            value |= client.call("GET", f"/in-force/{value['revision']}", query={"wait_s": 8})
    finally:
        # Printed even if the wait fails: the change is accepted, and a new key is shown only once.
        if as_json:
            print(json.dumps(value, indent=2, ensure_ascii=False))
        else:
            for name, item in value.items():
                print(f"{name}: {item}")
    if wait and not value["in_force"]:
        raise OperatorError(f"accepted, but not in force yet on {', '.join(value['behind'])}", EXIT_NOT_IN_FORCE)


@defaults.command("show")
def defaults_show(as_json: Json = False) -> None:
    """Shows all defaults. Example: arbutusrill defaults show"""
    _print_output(_make_client().call("GET", "/defaults"), "defaults", as_json)


@defaults.command("set")
def defaults_set(
    name: str,
    value: str,
    if_revision: IfRevision = -1,
    request_id: RequestId = "",
    wait: Wait = False,
    as_json: Json = False,
) -> None:
    """Overrides the value of a default. Example: arbutusrill defaults set limits.rate 3000"""
    try:
        parsed = json.loads(value)
    except ValueError:
        parsed = value
    _submit_change("PUT", f"/defaults/{quote(name, '')}", {"value": parsed}, if_revision, request_id, wait, as_json)


@defaults.command("unset")
def defaults_unset(
    name: str, if_revision: IfRevision = -1, request_id: RequestId = "", wait: Wait = False, as_json: Json = False
) -> None:
    """Resets a default to its initial value. Example: arbutusrill defaults unset limits.rate"""
    _submit_change("DELETE", f"/defaults/{quote(name, '')}", None, if_revision, request_id, wait, as_json)


@exceptions.command("list")
def exceptions_list(as_json: Json = False) -> None:
    """Lists the exceptions. Example: arbutusrill exceptions list"""
    _print_output(_make_client().call("GET", "/exceptions"), "exceptions", as_json)


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
    _submit_change("POST", "/exceptions", body, if_revision, request_id, wait, as_json)


@exceptions.command("remove")
def exceptions_remove(
    exception_id: str,
    if_revision: IfRevision = -1,
    request_id: RequestId = "",
    wait: Wait = False,
    as_json: Json = False,
) -> None:
    """Removes an exception. Example: arbutusrill exceptions remove exc-1a2b3c4d"""
    _submit_change("DELETE", f"/exceptions/{quote(exception_id, '')}", None, if_revision, request_id, wait, as_json)


@workspaces.command("list")
def workspaces_list(as_json: Json = False) -> None:
    """Lists the workspaces. Example: arbutusrill workspaces list"""
    _print_output(_make_client().call("GET", "/workspaces"), "workspaces", as_json)


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
    _submit_change("PUT", f"/workspaces/{quote(name, '')}", body, if_revision, request_id, wait, as_json)


@workspaces.command("remove")
def workspaces_remove(
    name: str, if_revision: IfRevision = -1, request_id: RequestId = "", wait: Wait = False, as_json: Json = False
) -> None:
    """Removes a workspace and invalidates its keys. Example: arbutusrill workspaces remove dispatch"""
    _submit_change("DELETE", f"/workspaces/{quote(name, '')}", None, if_revision, request_id, wait, as_json)


@keys.command("list")
def keys_list(as_json: Json = False) -> None:
    """Lists keys without their secrets. Example: arbutusrill keys list"""
    _print_output(_make_client().call("GET", "/keys"), "keys", as_json)


@keys.command("issue")
def keys_issue(workspace: str, request_id: RequestId = "", wait: Wait = False, as_json: Json = False) -> None:
    """Issues an API key and shows it, only this once. Example: arbutusrill keys issue dispatch"""
    _submit_change("POST", "/keys", {"workspace": workspace}, -1, request_id, wait, as_json)


@keys.command("withdraw")
def keys_withdraw(key_id: str, request_id: RequestId = "", wait: Wait = False, as_json: Json = False) -> None:
    """Withdraws an API key. Example: arbutusrill keys withdraw key-1a2b3c4d"""
    _submit_change("DELETE", f"/keys/{quote(key_id, '')}", None, -1, request_id, wait, as_json)


@services.command("list")
def services_list(as_json: Json = False) -> None:
    """Lists services and routes. Example: arbutusrill services list"""
    _print_output(_make_client().call("GET", "/services"), "services", as_json)


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
    _submit_change("PUT", f"/services/{quote(name, '')}", {"routes": routes}, if_revision, request_id, wait, as_json)


@backends.command("list")
def backends_list(as_json: Json = False) -> None:
    """Lists backend servers by pool. Example: arbutusrill backends list"""
    value = _make_client().call("GET", "/backends")
    _print_output(value, "backends", as_json)
    if value["silent_owners"] and not as_json:
        print(f"no answer from the pool owners {', '.join(value['silent_owners'])}")


@backends.command("drain")
def backends_drain(
    server: str, pool: Pool = "", request_id: RequestId = "", wait: Wait = False, as_json: Json = False
) -> None:
    """Drains a server: it finishes running work and accepts no more. Example: arbutusrill backends drain engine-d2"""
    _submit_change("POST", f"/backends/{quote(server, '')}/drain", {"pool": pool}, -1, request_id, wait, as_json)


@backends.command("order")
def backends_order(
    server: str,
    action: Annotated[
        str, typer.Argument(help="load_model, load_adapter, load_version, unload, set_role, drain or resume")
    ],
    argument: Annotated[list[str], typer.Option(help="NAME=VALUE, repeated")] = [],  # noqa: B006
    pool: Pool = "",
    request_id: RequestId = "",
    wait: Wait = False,
    as_json: Json = False,
) -> None:
    """Submits an order. Example: arbutusrill backends order engine-d2 load_model --argument name=route-writer"""
    values = dict(part.partition("=")[::2] for part in argument)
    body = {"action": action, "argument": values, "pool": pool}
    _submit_change("POST", f"/backends/{quote(server, '')}/orders", body, -1, request_id, wait, as_json)


@orders.command("list")
def orders_list(as_json: Json = False) -> None:
    """Lists orders and their states. Example: arbutusrill orders list"""
    _print_output(_make_client().call("GET", "/orders"), "orders", as_json)


@orders.command("withdraw")
def orders_withdraw(order_id: str, request_id: RequestId = "", wait: Wait = False, as_json: Json = False) -> None:
    """Withdraws an order that does not run yet. Example: arbutusrill orders withdraw ord-1a2b3c4d5e6f7a8b"""
    _submit_change("DELETE", f"/orders/{quote(order_id, '')}", None, -1, request_id, wait, as_json)


@app.command("burn")
def burn(
    as_json: Json = False,
    html: Annotated[str, typer.Option(help="also write an HTML report to this file")] = "",
) -> None:
    """Shows burn rates by workspace, route and target. Example: arbutusrill burn --html burn.html"""
    client = _make_client()
    rates = compute_burn_rates(client.call("GET", "/burn"), client.call("GET", "/defaults"))
    if html:
        Path(html).write_text(burn_html(rates, time.time()), encoding="utf-8")
    rows = burn_table_rows(rates)
    _print_output({"burn": rows}, "burn", as_json)


@app.command("feature-level")
def feature_level(level: int, request_id: RequestId = "", wait: Wait = False, as_json: Json = False) -> None:
    """Raises the feature level once all control VMs are upgraded. Example: arbutusrill feature-level 2"""
    _submit_change("PUT", "/feature-level", {"level": level}, -1, request_id, wait, as_json)


@replicas.command("list")
def replicas_list(as_json: Json = False) -> None:
    """Lists the members of the control group as known to its leader. Example: arbutusrill replicas list"""
    _print_output(_make_client().call("GET", "/replicas"), "replicas", as_json)


@replicas.command("replace")
def replicas_replace(
    old: Annotated[str, typer.Argument(help="member ID or RPC address")],
    new: Annotated[str, typer.Argument(help="RPC address of a running replica with an empty disk")],
    as_json: Json = False,
) -> None:
    """Replaces a lost replica; safe to repeat. Example: arbutusrill replicas replace 10.0.0.1:7300 10.0.0.4:7300"""
    value = _make_client().call("POST", "/replicas/replace", {"old": old, "new": new})
    print(json.dumps(value, indent=2) if as_json else f"member: {value['member']}")


@app.command("status")
def status(as_json: Json = False) -> None:
    """Shows the control group, VMs and pools. Example: arbutusrill status"""
    value = _make_client().call("GET", "/status")
    if as_json:
        _print_output(value, None, True)
        return
    print(f"revision {value['revision']}")
    for rows in ("vms", "pools"):
        print_table(value[rows])


def main() -> None:
    """Runs the tool; see the module `_client` for its exit codes."""
    try:
        app()
    except OperatorError as error:
        print(f"arbutusrill: {error}", file=sys.stderr)
        raise SystemExit(error.exit_code) from None
