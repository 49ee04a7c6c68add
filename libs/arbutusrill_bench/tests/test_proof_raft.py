"""Runs the fault-injection test of the control group briefly, and checks that it detects lost or reverted changes."""

from arbutusrill_bench import LocalSite
from arbutusrill_bench.proof_raft import Accepted, RaftProof, prove


def test_short_run_violates_no_invariant():
    proof = prove(seed=2, seconds=8)
    assert proof.problems == []
    assert proof.reads > 0
    assert len(proof.accepted) > 50


def test_lost_and_reordered_changes_are_detected():
    with LocalSite(controls=1, entries=0) as site:
        site.operators.call("PUT", "/workspaces/kept", {"rate": 1, "burst": 1})
        proof = RaftProof(site, 1)
        proof.accepted = [
            Accepted(0.0, 1.0, "kept", 1),
            Accepted(2.0, 3.0, "lost", 1),
            Accepted(4.0, 5.0, "late", 9),
            Accepted(6.0, 7.0, "early", 8),
        ]
        proof._check_state(proof.leader())
        proof._check_order()
    found = "\n".join(proof.problems)
    assert "lacks 3 accepted changes" in found
    assert "9 was accepted" in found
    assert "revisions given twice: [1]" in found
    assert "early got revision 8" in found
