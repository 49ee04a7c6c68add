"""Guards against invariant checks that never fail: each test violates one invariant on purpose."""

import pytest
from arbutusrill_wire import messages

from arbutusrill_raft._core import InvariantError

from .group import Group, refusal_code, wait_until


def append(group, follower, **changes):
    """Returns the leader's next append request to `follower`, with the fields in `changes` replaced."""
    core = group.replicas[group.leader()]._core
    last = core.log.last_index
    request = messages.AppendRequest(
        core.term, core.own_id, last, core.log.term_at(last), [], core.commit_index, target=follower.status().replica
    )
    request.previous_chain = core.log.chain_at(last)
    for name, value in changes.items():
        setattr(request, name, value)
    return request


@pytest.fixture
def group():
    with Group() as group:
        for item in (b"a", b"b", b"c"):
            group.propose(item)
        group.wait_equal()
        yield group


def test_second_leader_in_a_term_stops_the_replica(group):
    follower = group.replicas[group.followers()[0]]
    assert refusal_code(follower.handler.append, append(group, follower, leader="10.0.0.9:7400/x")) == "faulty"
    assert "one leader per term" in follower.status().fault


def test_leader_that_gets_an_append_of_its_own_term_stops(group):
    leader = group.replicas[group.leader()]
    assert refusal_code(leader.handler.append, append(group, leader, leader="10.0.0.9:7400/x")) == "faulty"
    assert "one leader per term" in leader.status().fault


def test_log_with_equal_terms_and_another_hash_stops_the_replica(group):
    follower = group.replicas[group.followers()[0]]
    assert refusal_code(follower.handler.append, append(group, follower, previous_chain=12345)) == "faulty"
    assert "running hash" in follower.status().fault


def test_append_over_a_committed_entry_stops_the_replica(group):
    follower = group.replicas[group.followers()[0]]
    core = follower._core
    entry = messages.LogEntry(core.commit_index, core.term + 1, 0, b"other")
    before = core.commit_index - 1
    request = append(
        group,
        follower,
        term=core.term + 1,
        leader="10.0.0.9:7400/x",
        previous_index=before,
        previous_term=core.log.term_at(before),
        previous_chain=core.log.chain_at(before),
        entries=[entry],
    )
    assert refusal_code(follower.handler.append, request) == "faulty"
    assert "is committed" in follower.status().fault


def test_commit_index_that_goes_back_stops_the_replica(group):
    replica = group.replicas[group.leader()]
    with pytest.raises(InvariantError, match="never goes back"), replica._core.lock:
        replica._core.commit_up_to(replica._core.commit_index - 1)
    assert replica.status().fault


def test_diverged_replica_stops_and_the_others_keep_working(group):
    address = group.followers()[0]
    core = group.replicas[address]._core
    with core.lock:
        core.log.entry_at(core.log.last_index).chain ^= 1
    wait_until(lambda: group.replicas[address].status().fault, "the hash differs")
    assert group.propose(b"d") == b"4"
