"""Guards against a rate limit that applies per entry VM instead of to the whole site, with real processes."""

import threading
import time

import pytest
from arbutusrill_http import Transfer, fetch

from arbutusrill_bench import LocalSite

RATE, BURST, COST = 400.0, 800.0, 20.0


@pytest.fixture(scope="module")
def site():
    with LocalSite(entries=5) as site:
        operators = site.operators
        operators.call("PUT", "/defaults/limits.plain_call_tokens", {"value": COST})
        operators.call("PUT", "/services/seats", {"routes": [{"method": "*", "prefix": "/", "repeatable": True}]})
        site.keys = {}
        for name in ("flood", "calm"):
            operators.call("PUT", f"/workspaces/{name}", {"rate": RATE, "burst": BURST})
            answer = operators.call("POST", "/keys", {"workspace": name})
            site.keys[name] = answer["key"]
        operators.call("GET", f"/in-force/{answer['revision']}")
        site.add_service("seats1", "--service", "seats")
        site.wait_for_pool("seats")
        yield site


def status(site, entry, workspace, deadline_ms=1500):
    headers = [f"Authorization: Bearer {site.keys[workspace]}", f"X-Deadline-Ms: {deadline_ms}"]
    result = fetch(Transfer("GET", f"http://{entry.address}/services/seats/stops/1", headers, timeout_s=10.0))
    return result.status if result.is_complete else 0


def wait_for_service(site):
    for entry in site.of_kind("entry"):
        site.wait_until(lambda entry=entry: status(site, entry, "calm") == 200, f"{entry.name} reaches the service")


def test_five_entry_vms_together_admit_one_rate_and_burst(site):
    wait_for_service(site)
    counts = []
    started = time.monotonic()

    def flood(entry):
        while time.monotonic() < started + 4:
            counts.append(status(site, entry, "flood", 400))

    threads = [threading.Thread(target=flood, args=(entry,)) for entry in site.of_kind("entry") for _ in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    admitted = counts.count(200) * COST
    allowed = RATE * (time.monotonic() - started) + BURST
    assert 429 in counts
    assert allowed / 4 < admitted <= allowed


def test_workspace_inside_its_rate_on_one_vm_is_not_refused(site):
    wait_for_service(site)
    entry = site.of_kind("entry")[0]
    time.sleep(1)
    started = time.monotonic()
    for number in range(60):
        time.sleep(max(0.0, started + number * COST / (0.9 * RATE) - time.monotonic()))
        assert status(site, entry, "calm") == 200
