"""Guards against assertions of the program that never fire: each rule is broken on purpose."""

import pytest
from arbutusrill_wire import messages

from arbutusrill_raft._core import InvariantError

from .group import Group, refused, wait_until


def append(group, follower, **changes):
    """Builds the message that the leader would send next to a follower."""
    core = group.replicas[group.leader()]._core
    last = core.log.last_index
    request = messages.AppendRequest(
        core.term, core.me, last, core.log.term_at(last), [], core.commit_index, target=follower.status().replica
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
    assert refused(follower.handler.append, append(group, follower, leader="10.0.0.9:7400/x")) == "faulty"
    assert "one leader per term" in follower.status().fault


def test_leader_that_hears_another_one_in_its_term_stops(group):
    leader = group.replicas[group.leader()]
    assert refused(leader.handler.append, append(group, leader, leader="10.0.0.9:7400/x")) == "faulty"
    assert "one leader per term" in leader.status().fault


def test_other_log_with_the_same_terms_stops_the_replica(group):
    follower = group.replicas[group.followers()[0]]
    assert refused(follower.handler.append, append(group, follower, previous_chain=12345)) == "faulty"
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
    assert refused(follower.handler.append, request) == "faulty"
    assert "is committed" in follower.status().fault


def test_commit_index_that_goes_back_stops_the_replica(group):
    replica = group.replicas[group.leader()]
    with pytest.raises(InvariantError, match="never goes back"), replica._core.lock:
        replica._core.commit(replica._core.commit_index - 1)
    assert replica.status().fault


def test_diverged_replica_stops_and_the_others_carry_on(group):
    address = group.followers()[0]
    core = group.replicas[address]._core
    with core.lock:
        core.log.at(core.log.last_index).chain ^= 1
    wait_until(lambda: group.replicas[address].status().fault, "the hash differs")
    assert group.propose(b"d") == b"4"
