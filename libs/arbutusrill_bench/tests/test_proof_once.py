"""Guards against once-only calls that run twice or not at all, on a site without faults."""

from arbutusrill_bench.proof_once import prove


def test_bookings_run_once_and_are_answered():
    proof = prove(seed=3, seconds=2.0, faults=False, entries=2)
    assert proof.problems == []
    assert set(proof.outcomes) == {"answered"}
