"""Guards against a shutdown that aborts running requests, keeps receiving new callers or never finishes."""

import json
import signal
import threading
import time

import pytest
from arbutusrill_bench import LocalSite
from arbutusrill_http import Transfer, fetch

MODEL = "route-writer"


class Caller:
    def __init__(self, site, key):
        self.site = site
        self.key = key

    def get(self, name, path):
        address = self.site.members_by_name[name].address
        return fetch(Transfer("GET", f"http://{address}{path}", [f"Authorization: Bearer {self.key}"], timeout_s=5))

    def stream(self, name, tokens, timeout_s=60):
        pieces = []
        body = json.dumps({"model": MODEL, "prompt": "x", "stream": True, "max_tokens": tokens}).encode()
        address = self.site.members_by_name[name].address
        headers = [f"Authorization: Bearer {self.key}", "Content-Type: application/json"]
        url = f"http://{address}/v1/completions"
        result = fetch(Transfer("POST", url, headers, body, timeout_s, on_data=pieces.append))
        return result.is_complete and b"".join(pieces).endswith(b"data: [DONE]\n\n")

    def stream_in_background(self, *arguments):
        results = []
        thread = threading.Thread(target=lambda: results.append(self.stream(*arguments)))
        thread.start()
        return thread, results

    def has_open_requests(self, name):
        lines = self.get(name, "/metrics").body.decode().splitlines()
        return sum(float(line.split()[-1]) for line in lines if line.startswith("arbutusrill_open_requests{")) > 0


@pytest.fixture
def caller():
    with LocalSite(controls=1, entries=2) as site:
        operators = site.operators
        operators.call("PUT", "/workspaces/dispatch", {"rate": 1_000_000, "burst": 100_000_000})
        operators.call("PUT", "/defaults/entries.max_age_s", {"value": 1})
        issued = operators.call("POST", "/keys", {"workspace": "dispatch"})
        site.add_engine("engine1", "--role", "both", "--models", MODEL)
        operators.call("GET", f"/in-force/{issued['revision']}")
        site.wait_for_pool(MODEL)
        caller = Caller(site, issued["key"])
        for name in ("entry1", "entry2"):
            site.wait_until(lambda name=name: caller.stream(name, 1), f"a stream through {name} is whole")
        yield caller
        site.kill_all()


def test_graceful_shutdown_finishes_running_requests_and_serves_late_callers(caller):
    site = caller.site
    thread, results = caller.stream_in_background("entry1", 600)
    site.wait_until(lambda: caller.has_open_requests("entry1"), "the stream runs")
    site.signal("entry1", signal.SIGTERM)
    site.wait_until(lambda: caller.get("entry1", "/readyz").status == 503, "readyz reports that the VM drains")
    assert caller.stream("entry1", 1), "a new caller is served while other VMs still list the address"
    address = site.members_by_name["entry1"].address

    def is_listed():
        rows = json.loads(caller.get("entry2", "/v1/entries").body)["entries"]
        return address in [row["address"] for row in rows]

    site.wait_until(lambda: not is_listed(), "the VM is no longer listed")
    thread.join(60)
    assert results == [True]
    assert site.members_by_name["entry1"].process.wait(30) == 0
    assert all(pool["owner"] == "entry2" for pool in site.operators.call("GET", "/status")["pools"])
    assert caller.stream("entry2", 5)
    assert "were cut" not in site.log("entry1")
    assert caller.key not in site.log("entry1")


def test_second_signal_aborts_running_requests(caller):
    site = caller.site
    thread, results = caller.stream_in_background("entry1", 20_000)
    site.wait_until(lambda: caller.has_open_requests("entry1"), "the stream runs")
    site.signal("entry1", signal.SIGTERM)
    site.wait_until(lambda: caller.get("entry1", "/readyz").status == 503, "readyz reports that the VM drains")
    started = time.monotonic()
    site.signal("entry1", signal.SIGTERM)
    assert site.members_by_name["entry1"].process.wait(30) == 0
    assert time.monotonic() - started < 20
    thread.join(60)
    assert results == [False]
    assert "ended early by a second signal" in site.log("entry1")


def test_burn_counts_are_shown_to_operators(caller):
    def reported_targets():
        rows = caller.site.operators.call("GET", "/burn")["burn"]
        return {row["target"] for row in rows if row["workspace"] == "dispatch" and row["route"] == "completions"}

    caller.site.wait_until(
        lambda: {"availability", "first_token"} <= reported_targets(), "burn counts are reported", 40
    )
