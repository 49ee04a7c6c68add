"""Guards against an operator who cannot see or replace the replica on a lost disk."""

import shutil

import pytest
from arbutusrill_bench import LocalSite
from arbutusrill_cli import OperatorError


def test_operator_replaces_the_replica_on_a_lost_disk():
    with LocalSite(controls=3, entries=0) as site:
        call = site.operators.call
        before = call("GET", "/replicas")["replicas"]
        assert [row["kind"] for row in before] == ["voter"] * 3
        lost = next(row for row in before if not row["leads"])
        member = next(member for member in site.of_kind("control") if member.rpc == lost["address"])
        revision = call("PUT", "/workspaces/dispatch", {"rate": 1, "burst": 1})["revision"]
        site.kill(member.name)
        shutil.rmtree(site.folder / member.name)
        site.start(member.name)
        new = {}

        def replaced():
            try:
                new.update(call("POST", "/replicas/replace", {"old": lost["id"], "new": lost["address"]}))
            except OperatorError:
                return False
            return True

        site.wait_until(replaced, "the replica is replaced", timeout=60)
        after = {row["id"]: row["kind"] for row in call("GET", "/replicas")["replicas"]}
        assert lost["id"] not in after
        assert after[new["member"]] == "voter"
        assert call("POST", "/replicas/replace", {"old": lost["id"], "new": lost["address"]}) == new
        assert call("PUT", "/workspaces/dispatch", {"rate": 2, "burst": 1})["revision"] > revision


def test_mistaken_replacements_name_the_problem():
    with LocalSite(controls=1, entries=0) as site:
        for body, problem in (
            ({"old": "10.9.9.9:1", "new": "127.0.0.1:9"}, "does not answer"),
            ({"old": "a"}, "new must be"),
        ):
            with pytest.raises(OperatorError, match=problem):
                site.operators.call("POST", "/replicas/replace", body)
