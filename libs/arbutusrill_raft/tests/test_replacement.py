"""Guards against lost entries, dead voters and needless refusals when members of a group are replaced."""

import time

import pytest
from arbutusrill_wire import messages

from arbutusrill_raft import LogUnavailableError, MembershipError, NotLeaderError

from .group import WAIT_TIMEOUT_S, Group, entries, propose_all, refusal_code, wait_until


def test_replica_that_lost_its_disk_rejoins_only_as_a_new_member():
    with Group() as group:
        propose_all(group, entries(5))
        lost = group.followers()[0]
        old = group.replicas[lost].status().replica
        group.lose_disk(lost)
        replica = group.start(lost)
        assert replica.status().replica != old
        vote = messages.VoteRequest(99, "10.0.0.9:1/x", 999, 999, target=old)
        assert refusal_code(replica.handler.vote, vote) == "wrong_member"
        time.sleep(2 * group.timing.election_max_s)
        assert replica.status().voters == []
        assert group.call_on_leader("replace", lost, lost) == replica.status().replica
        group.wait_equal(entries(5))
        assert old not in replica.status().voters
        assert len(group.replicas[group.leader()].status().voters) == 3


def test_second_disk_loss_right_after_a_repair_loses_no_entries():
    with Group() as group:
        propose_all(group, entries(5))
        first, second = group.followers()
        group.lose_disk(first)
        group.start(first)
        group.call_on_leader("replace", first, first)
        group.lose_disk(second)
        propose_all(group, entries(5, 5))
        group.kill(group.leader())
        group.start(second)
        time.sleep(2 * group.timing.election_max_s)
        assert not any(replica.is_leader() for replica in group.replicas.values())
        for address in set(group.initial_voters) - set(group.replicas):
            group.start(address)
        group.propose(b"later")
        assert group.machines[group.leader()].items == [*entries(10), b"later"]


def test_leader_can_be_replaced_by_another_vm():
    with Group() as group:
        group.propose(b"a")
        old = group.leader()
        new = "10.0.0.9:7400"
        group.start(new)
        group.call_on_leader("replace", old, new)
        wait_until(lambda: not group.replicas[old].is_leader(), "the removed leader steps down")
        group.stop(old)
        group.propose(b"b")
        group.wait_equal([b"a", b"b"])
        assert old not in " ".join(group.replicas[new].status().voters)


def test_replacement_of_an_unknown_member_adds_nobody():
    with Group() as group:
        group.propose(b"a")
        group.start("10.0.0.9:7400")
        with pytest.raises(MembershipError, match="is no member"):
            group.replicas[group.leader()].replace("10.0.0.8:7400", "10.0.0.9:7400", 5)
        assert group.replicas[group.leader()].status().learners == []


def test_learner_left_by_an_interrupted_replacement_can_be_removed():
    with Group() as group:
        group.propose(b"a")
        new = "10.0.0.9:7400"
        group.start(new)
        learner = group.call_on_leader("add_learner", new)
        group.lose_disk(new)
        follower = group.followers()[0]
        group.call_on_leader("replace", learner, follower)
        status = group.replicas[group.leader()].status()
        assert (len(status.voters), status.learners) == (3, [])


def test_interrupted_replacement_is_finished_by_the_next_leader():
    # The lost disk stayed a voter for good, so that the loss of one more VM ended the group.
    with Group() as group:
        propose_all(group, entries(5))
        leader = group.leader()
        lost, frozen = group.followers()
        old = group.replicas[lost].status().replica
        group.lose_disk(lost)
        replica = group.start(lost)
        group.call_on_leader("add_learner", lost)
        wait_until(lambda: replica.status().learners, "the new replica is a learner")
        group.cut(frozen)
        with pytest.raises((LogUnavailableError, NotLeaderError)):  # the promotion needs three of four voters
            group.replicas[leader].replace(old, lost, WAIT_TIMEOUT_S)
        wait_until(lambda: len(replica.status().voters) == 4, "the promotion reaches the new replica")
        group.heal()
        member = replica.status().replica

        def voters():
            return group.replicas[group.leader()].status().voters

        wait_until(lambda: len(voters()) == 3, "the old member is removed")
        assert member in voters() and old not in voters()
        group.wait_equal(entries(5))
        group.lose_disk(frozen)
        group.propose(b"later")
        assert group.machines[group.leader()].items == [*entries(5), b"later"]


def test_disk_that_is_lost_again_during_its_replacement_leaves_no_dead_voter():
    with Group() as group:
        propose_all(group, entries(5))
        lost = group.followers()[0]
        for _ in range(2):
            group.lose_disk(lost)
            group.start(lost)
            group.call_on_leader("add_learner", lost)
        replica = group.replicas[lost].status().replica
        group.call_on_leader("promote", replica)
        status = group.replicas[group.leader()].status
        wait_until(lambda: len(status().voters) == 3 and not status().learners, "the members of lost disks are removed")
        assert replica in status().voters


def test_learner_is_not_promoted_before_it_has_caught_up():
    with Group() as group:
        group.propose(b"a")
        new = "10.0.0.9:7400"
        group.start(new)
        group.call_on_leader("add_learner", new)
        group.kill(new)
        leader = group.replicas[group.leader()]
        with pytest.raises(LogUnavailableError):
            time.sleep(1.1)  # longer than `_MAX_LEARNER_ACK_AGE_S`
            leader.promote(new, 0.3)
        assert len(leader.status().voters) == 3


def test_replica_of_another_group_is_refused():
    with Group() as group, Group(1) as other:
        other.propose(b"b")
        group.replicas["10.0.0.9:7400"] = other.replicas[other.initial_voters[0]]
        try:
            with pytest.raises(MembershipError, match="belongs to group"):
                group.replicas[group.leader(group.initial_voters)].add_learner("10.0.0.9:7400", 5)
        finally:
            del group.replicas["10.0.0.9:7400"]


def test_last_voter_cannot_be_removed():
    with Group(1) as group, pytest.raises(MembershipError, match="last voter"):
        group.replicas[group.leader()].remove(group.initial_voters[0], 5)
