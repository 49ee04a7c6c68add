"""Guards against engine slots that are never freed after the client has disconnected or its entry VM has failed."""

from arbutusrill_bench.proof_gone import prove

# Five times the specified bound, so that only slots that are never freed fail this test, also on a busy machine.
# `bin/proof gone` checks the bound itself.
MAX_RELEASE_S = 10.0


def test_slots_are_freed_when_clients_disconnect_or_an_entry_vm_is_killed():
    proof = prove(seed=5, rounds=2, actions=("leave", "kill"), max_release_s=MAX_RELEASE_S)
    assert proof.problems == []
