"""Guards against changes that are lost, late or reverted, and against accepting both of two conflicting changes."""

from arbutusrill_bench.proof_config import prove


def test_races_have_one_winner_and_changes_reach_every_entry_vm():
    proof = prove(seed=4, seconds=5.0, entries=2)
    assert proof.problems == []
    assert set(proof.races) == {"1 accepted"}
