"""Guards against a control group in which a replica with a lost disk cannot be listed or replaced."""

import shutil

import pytest
from arbutusrill_bench import LocalSite
from arbutusrill_cli import OperatorError


def test_operator_replaces_the_replica_on_a_lost_disk():
    with LocalSite(controls=3, entries=0) as site:
        call = site.operators.call
        members_before = call("GET", "/replicas")["replicas"]
        assert [row["kind"] for row in members_before] == ["voter"] * 3
        lost_replica = next(row for row in members_before if not row["leads"])
        member = next(member for member in site.of_kind("control") if member.rpc == lost_replica["address"])
        revision = call("PUT", "/workspaces/dispatch", {"rate": 1, "burst": 1})["revision"]
        site.kill(member.name)
        shutil.rmtree(site.folder / member.name)
        site.start(member.name)
        result = {}

        def try_replace():
            try:
                result.update(
                    call("POST", "/replicas/replace", {"old": lost_replica["id"], "new": lost_replica["address"]})
                )
            except OperatorError:
                return False
            return True

        site.wait_until(try_replace, "the replica is replaced", timeout=60)
        kind_by_member_after = {row["id"]: row["kind"] for row in call("GET", "/replicas")["replicas"]}
        assert lost_replica["id"] not in kind_by_member_after
        assert kind_by_member_after[result["member"]] == "voter"
        assert call("POST", "/replicas/replace", {"old": lost_replica["id"], "new": lost_replica["address"]}) == result
        assert call("PUT", "/workspaces/dispatch", {"rate": 2, "burst": 1})["revision"] > revision


def test_invalid_replacement_requests_name_the_cause():
    with LocalSite(controls=1, entries=0) as site:
        for body, problem in (
            ({"old": "10.9.9.9:1", "new": "127.0.0.1:9"}, "does not answer"),
            ({"old": "a"}, "new must be"),
        ):
            with pytest.raises(OperatorError, match=problem):
                site.operators.call("POST", "/replicas/replace", body)
