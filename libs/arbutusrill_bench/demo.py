"""Demonstrates the main features on a small local site. Run as ``python -m arbutusrill_bench.demo``."""

from __future__ import annotations

import json
import time
from typing import Annotated, Any

import typer
from arbutusrill_http import Transfer, TransferResult, fetch

from ._site import LocalSite, SiteError, interrupt_on_stop_signals

__all__ = ["main"]


def _print_line(text: str) -> None:
    print(text, flush=True)


def _send(
    method: str, address: str, path: str, key: str, body: Any = None, headers: tuple[str, ...] = (), **options: Any
):
    lines = [f"Authorization: Bearer {key}", "Content-Type: application/json", *headers]
    data = b"" if body is None else json.dumps(body).encode()
    return fetch(Transfer(method, f"http://{address}{path}", lines, data, **options))


def _expect(result: TransferResult, status: int, what: str) -> TransferResult:
    if not result.is_complete or result.status != status:
        raise SiteError(f"{what}: expected status {status}, got {result.status} {result.detail} {result.body[:300]!r}")
    return result


def _set_up_site(site: LocalSite) -> tuple[str, str]:
    operators = site.operators
    operators.call("PUT", "/workspaces/dispatch", {"rate": 2000, "burst": 20000})
    issued = operators.call("POST", "/keys", {"workspace": "dispatch"})
    routes = [
        {"method": "POST", "prefix": "/bookings", "repeatable": False},
        {"method": "GET", "prefix": "/", "repeatable": True},
    ]
    revision = operators.call("PUT", "/services/seats", {"routes": routes})["revision"]
    for name, role in (
        ("engine-p1", "prefill"),
        ("engine-p2", "prefill"),
        ("engine-d1", "decode"),
        ("engine-d2", "decode"),
    ):
        site.add_engine(name, "--role", role, "--models", "route-writer")
    site.add_service("seats1", "--service", "seats")
    site.add_service("seats2", "--service", "seats")
    operators.call("GET", f"/in-force/{revision}")
    site.wait_for_pool("route-writer")
    site.wait_for_pool("seats")
    return issued["key"], issued["id"]


def _show_calls(site: LocalSite, key: str) -> None:
    entries = [member.address for member in site.of_kind("entry")]
    listed = _expect(_send("GET", entries[0], "/v1/entries", key), 200, "list of entry VMs")
    _print_line(f"entry VMs to use: {[row['address'] for row in json.loads(listed.body)['entries']]}")
    body = {
        "model": "route-writer",
        "stream": True,
        "max_tokens": 16,
        "messages": [{"role": "user", "content": "Summarise route 7 for the driver."}],
    }
    chunks: list[bytes] = []
    started = time.monotonic()
    _expect(_send("POST", entries[0], "/v1/chat/completions", key, body, on_data=chunks.append), 200, "completion")
    events = [line[6:] for line in b"".join(chunks).decode().split("\n\n") if line.startswith("data: ")]
    if events[-1] != "[DONE]":
        raise SiteError("the stream ended without [DONE]")
    choices = [choice for event in events[:-1] for choice in json.loads(event)["choices"]]
    text = "".join(choice["delta"].get("content", "") for choice in choices)
    _print_line(f"streamed completion through {entries[0]} in {time.monotonic() - started:.2f} s: {text.strip()!r}")
    booking = {"seat": 12, "child": "A. Shrestha"}
    key_header = ("Idempotency-Key: booking-12",)
    first = _expect(_send("POST", entries[1], "/services/seats/bookings", key, booking, key_header), 201, "booking")
    resent = _expect(
        _send("POST", entries[2], "/services/seats/bookings", key, booking, key_header), 201, "resent booking"
    )
    if json.loads(first.body) != json.loads(resent.body):
        raise SiteError("the resent booking got a different response")
    _print_line(f"booking through {entries[1]}: {first.body.decode()}; resent through {entries[2]}: the same answer")
    lookup = _expect(_send("GET", entries[2], "/services/seats/stops/9", key), 200, "lookup")
    _print_line(f"lookup through {entries[2]}: {lookup.body.decode()}")


def _show_changes(site: LocalSite, key: str, key_id: str) -> None:
    operators = site.operators
    operators.call("PUT", "/defaults/limits.plain_call_tokens", {"value": 2})
    exception = operators.call(
        "POST",
        "/exceptions",
        {
            "default": "queue.max_wait_s.briefing",
            "scope_kind": "workspace",
            "scope_name": "dispatch",
            "value": 300,
            "reason": "briefings may wait until the buses leave",
        },
    )
    force = operators.call("GET", f"/in-force/{exception['revision']}")
    _print_line(f"changed a default and added exception {exception['id']}, in force everywhere: {force['in_force']}")
    revision = operators.call("DELETE", f"/keys/{key_id}")["revision"]
    operators.call("GET", f"/in-force/{revision}")
    for member in site.of_kind("entry"):
        refused = _expect(_send("GET", member.address, "/v1/models", key), 401, "withdrawn key")
        _print_line(f"withdrawn key at {member.name}: {json.loads(refused.body)['error']['message']}")


def _run_until_interrupted(site: LocalSite, key: str) -> None:
    entry = site.of_kind("entry")[0].address
    control = ",".join(member.address for member in site.of_kind("control"))
    _print_line(f"entry VMs:   {', '.join(member.address for member in site.of_kind('entry'))}")
    _print_line(f"control VMs: {control}")
    _print_line(f"key:         {key}")
    _print_line("commands to try:")
    _print_line(
        f"  curl -N http://{entry}/v1/chat/completions -H 'Authorization: Bearer {key}' -d '"
        '{"model": "route-writer", "stream": true, "messages": [{"role": "user", "content": "Hello"}]}\''
    )
    _print_line(f"  curl http://{entry}/services/seats/stops/9 -H 'Authorization: Bearer {key}'")
    _print_line(f"  ARBUTUSRILL_CONTROL={control} ARBUTUSRILL_TOKEN={site.operator_token} bin/arbutusrill status")
    _print_line("Ctrl-C ends the site.")
    while True:
        time.sleep(0.5)  # a signal that another thread takes is handled after it


def main(keep: Annotated[bool, typer.Option(help="keep the site running and print commands to try")] = False) -> None:
    """Starts three control VMs, three entry VMs and stand-ins, and demonstrates calls and configuration changes."""
    try:
        with LocalSite() as site:
            key, key_id = _set_up_site(site)
            _show_calls(site, key)
            if keep:
                _run_until_interrupted(site, key)
            _show_changes(site, key, key_id)
        _print_line("demo finished")
    except KeyboardInterrupt:
        _print_line("stopped")
    except SiteError as error:
        _print_line(f"demo failed: {error}")
        raise SystemExit(1) from None


if __name__ == "__main__":
    interrupt_on_stop_signals()
    typer.run(main)
