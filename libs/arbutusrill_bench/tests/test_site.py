"""Tests of the operations on site members that fault injection relies on."""

import types
from functools import partial

import pytest
from arbutusrill_http import Transfer, fetch

from arbutusrill_bench import LocalSite


@pytest.fixture(scope="module")
def site():
    with LocalSite(controls=1, entries=1) as site:
        yield site


def responds(member):
    result = fetch(Transfer("GET", f"http://{member.address}/healthz", timeout_s=1.0))
    return result.is_complete and result.status == 200


def test_suspended_member_does_not_respond_until_resumed(site):
    entry = site.members_by_name["entry1"]
    process = entry.process
    site.suspend("entry1")
    assert not responds(entry)
    site.resume("entry1")
    site.wait_until(lambda: responds(entry), "the entry VM answers again")
    assert process.poll() is None


def test_restart_kills_a_suspended_member(site):
    entry = site.members_by_name["entry1"]
    old = entry.process
    site.suspend("entry1")
    site.restart("entry1")
    site.wait_until(lambda: responds(entry), "the entry VM answers again")
    assert old.poll() is not None and entry.process is not old


def test_restart_with_empty_folder_drops_the_data(site):
    folder = site.folder / "control1"
    folder.mkdir(exist_ok=True)
    (folder / "marker").write_text("x")
    site.restart("control1")
    assert (folder / "marker").exists()
    site.restart("control1", empty=True)
    assert not (folder / "marker").exists()


class StubOperatorClient:
    """Stub of `OperatorClient`: the pool has an owner, but revision 7 is not in force for `pending_calls` calls."""

    def __init__(self, pending_calls):
        self.pending_calls = pending_calls

    def call(self, _method, path):
        if path == "/status":
            return {"revision": 7, "pools": [{"name": "seats", "owner": "entry1"}]}
        assert path == "/in-force/7"
        self.pending_calls -= 1
        return {"in_force": self.pending_calls < 0}


def test_wait_for_pool_waits_for_the_slowest_entry_vm():
    operators = StubOperatorClient(pending_calls=2)
    site = types.SimpleNamespace(operators=operators, wait_until=partial(LocalSite.wait_until, None))
    LocalSite.wait_for_pool(site, "seats")
    assert operators.pending_calls == -1
