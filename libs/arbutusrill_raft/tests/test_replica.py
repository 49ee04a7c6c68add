"""Guards against loss, reordering and reversal of accepted entries, and against needless unavailability."""

import dataclasses
import errno
import random
import threading
import time

import pytest
from arbutusrill_base import BootClock
from arbutusrill_wire import messages

from arbutusrill_raft import Bounds, LogUnavailableError, MembershipError, NotLeaderError, Replica
from arbutusrill_raft._entries import COMMAND, Entry
from arbutusrill_raft._frames import pack_entries
from arbutusrill_raft._peer import Peer, _Call
from arbutusrill_raft._storage import Storage

from .group import (
    QUICK_TIMING,
    SMALL_BOUNDS,
    WAIT_TIMEOUT_S,
    FaultyTransport,
    Group,
    ListMachine,
    MemoryDisk,
    refusal_code,
    wait_until,
)


def entries(count, first=0):
    return [f"entry {number}".encode() for number in range(first, first + count)]


def propose_all(group, items):
    for item in items:
        group.propose(item)


def test_accepted_entries_reach_every_replica_in_order():
    with Group() as group:
        items = entries(20)
        assert [group.propose(item) for item in items] == [str(number + 1).encode() for number in range(20)]
        group.wait_equal(items)


def test_group_of_one_serves():
    with Group(1) as group:
        assert group.propose(b"a") == b"1"


def test_group_does_not_form_before_all_initial_voters_answer():
    # If a majority sufficed, a second group could form without the entries of the first one.
    group = Group()
    group.start(group.initial_voters[0])
    group.start(group.initial_voters[1])
    try:
        time.sleep(1.0)
        assert not any(replica.status().voters for replica in group.replicas.values())
        group.start(group.initial_voters[2])
        assert group.propose(b"a") == b"1"
    finally:
        group.__exit__()


def test_restart_of_all_keeps_everything():
    with Group() as group:
        items = entries(10)
        propose_all(group, items)
        for address in group.initial_voters:
            group.kill(address)
        for address in group.initial_voters:
            group.start(address)
        group.propose(b"later")
        group.wait_equal([*items, b"later"])


def test_killed_leader_is_replaced_and_nothing_is_lost():
    with Group() as group:
        propose_all(group, entries(5))
        leader = group.leader()
        group.kill(leader)
        propose_all(group, entries(5, 5))
        group.start(leader)
        group.wait_equal(entries(10))


def test_partitioned_leader_steps_down_and_its_uncommitted_entries_are_replaced():
    with Group() as group:
        group.propose(b"a")
        old = group.leader()
        group.cut(old)
        with pytest.raises(LogUnavailableError) as caught:
            group.replicas[old].propose(b"lost", WAIT_TIMEOUT_S)
        assert caught.value.appended
        with pytest.raises((NotLeaderError, LogUnavailableError)):
            group.replicas[old].confirm(0.1)
        rest = [address for address in group.initial_voters if address != old]
        group.replicas[group.leader(rest)].propose(b"b", WAIT_TIMEOUT_S)
        group.heal()
        group.wait_equal([b"a", b"b"])


def test_partitioned_follower_does_not_depose_the_leader_on_return():
    # Without pre-vote, the follower would return with a higher term and depose a working leader.
    with Group() as group:
        leader = group.leader()
        term = group.replicas[leader].status().term
        follower = group.followers()[0]
        # The leader needs the vote of only one follower, so the other may still be in an older term.
        wait_until(lambda: group.replicas[follower].status().term == term, "the follower in the leader's term")
        group.cut(follower)
        time.sleep(3 * group.timing.election_max_s)
        assert group.replicas[follower].status().term == term
        group.heal()
        group.propose(b"a")
        group.wait_equal([b"a"])


def test_follower_with_only_outbound_messages_does_not_become_leader():
    with Group() as group:
        follower = group.followers()[0]
        group.cut(follower, inward=True, outward=False)
        time.sleep(3 * group.timing.election_max_s)
        assert group.propose(b"a") == b"1"
        assert group.replicas[follower].status().role != "leader"


def test_old_leader_cannot_prove_leadership_after_its_lease():
    # Otherwise a VM that was suspended would answer reads with stale state.
    with Group() as group:
        old = group.leader()
        group.cut(old)
        group.leader([address for address in group.initial_voters if address != old])
        with pytest.raises((NotLeaderError, LogUnavailableError)):
            group.replicas[old].confirm(0.2)


def test_recently_started_replica_gives_no_vote():
    # Before its restart, it may have acknowledged a message that extends a leader's lease.
    with Group() as group:
        follower = group.followers()[0]
        group.kill(follower)
        replica = group.start(follower)
        status = replica.status()
        request = messages.VoteRequest(status.term + 1, "10.0.0.9:1/x", 999, 999, True, target=status.replica)
        assert not replica.handler.vote(request).granted


def test_replica_whose_process_has_run_for_longer_than_any_lease_votes_at_once():
    with Group() as group:
        follower = group.followers()[0]
        group.kill(follower)
        for other in list(group.replicas):
            group.kill(other)
        replica = group.start(follower, exclusive_since=BootClock().monotonic() - QUICK_TIMING.election_min_s)
        status = replica.status()
        request = messages.VoteRequest(status.term + 1, "10.0.0.9:1/x", 999, 999, True, target=status.replica)
        assert replica.handler.vote(request).granted


def test_restarted_replica_votes_as_soon_as_no_lease_can_depend_on_it():
    # After a restart of all VMs, a replica that refuses votes for a whole election timeout delays recovery.
    with Group() as group:
        follower = group.followers()[0]
        for other in list(group.replicas):
            group.kill(other)
        started_at = BootClock().monotonic()
        replica = group.start(follower, exclusive_since=started_at)
        core, status = replica._core, replica.status()
        assert started_at + QUICK_TIMING.lease_s < core.no_vote_until < started_at + QUICK_TIMING.election_min_s
        request = messages.VoteRequest(status.term + 1, "10.0.0.9:1/x", 999, 999, True, target=status.replica)
        time.sleep(max(0.0, core.no_vote_until - BootClock().monotonic()))
        assert replica.handler.vote(request).granted


def test_first_election_after_a_restart_is_early():
    with Group() as group:
        address = group.followers()[0]
        group.kill(address)
        replica = group.start(address, exclusive_since=BootClock().monotonic() - QUICK_TIMING.election_min_s)
        assert replica._core.election_due_at <= BootClock().monotonic() + QUICK_TIMING.election_min_s


def test_first_pre_vote_is_repeated_early():
    # After a restart of all VMs, peers that start slightly later cannot vote yet at the first request.
    with Group() as group:
        address = group.followers()[0]
        for other in list(group.replicas):
            group.kill(other)
        replica = group.start(address, exclusive_since=BootClock().monotonic() - QUICK_TIMING.election_min_s)
        core = replica._core
        wait_until(lambda: core.vote_round > 0, "the first pre-vote")
        with core.lock:
            assert core.election_due_at <= BootClock().monotonic() + 2 * QUICK_TIMING.heartbeat_s


def test_vote_is_kept_through_a_power_failure():
    # A second vote in the same term could elect two leaders.
    with Group() as group:
        address = group.followers()[0]
        group.kill(group.leader())
        for other in set(group.replicas) - {address}:
            group.kill(other)
        replica = group.replicas[address]
        time.sleep(group.timing.election_max_s)
        status = replica.status()
        request = messages.VoteRequest(status.term + 5, "10.0.0.9:1/x", 999, 999, target=status.replica)
        assert replica.handler.vote(request).granted
        group.kill(address)
        replica = group.start(address)
        time.sleep(group.timing.election_max_s)
        request.candidate = "10.0.0.8:1/y"
        assert not replica.handler.vote(request).granted
        request.candidate = "10.0.0.9:1/x"
        assert replica.handler.vote(request).granted


def test_vote_is_refused_to_a_candidate_with_an_older_log():
    with Group() as group:
        propose_all(group, entries(3))
        group.wait_equal()
        address = group.followers()[0]
        for other in set(group.replicas) - {address}:
            group.kill(other)
        replica = group.replicas[address]
        time.sleep(group.timing.election_max_s)
        log = replica._core.log
        for term, index in ((log.last_term, log.last_index - 1), (log.last_term - 1, log.last_index + 9)):
            request = messages.VoteRequest(99, "10.0.0.9:1/x", index, term, target=replica.status().replica)
            assert not replica.handler.vote(request).granted


def test_entry_of_an_older_term_is_not_committed_by_counting_replicas():
    # Another leader may still replace such an entry until an entry of the current term is committed (Raft, 5.4.2).
    with Group() as group:
        group.propose(b"a")
        leader = group.leader()
        core = group.replicas[leader]._core
        with core.lock:
            last = core.log.last_index
            core.append_as_leader(0, b"older")
            core.storage.save_term_and_vote(core.term + 1, core.own_id)
            for progress in core.progress_by_peer.values():
                progress.match_index = last + 1
            core.durable_index = last + 1
            core.advance_commit()
            assert core.commit_index <= last


def test_membership_change_waits_for_the_previous_one():
    # With two uncommitted changes, two majorities without a common voter could exist.
    with Group() as group:
        group.propose(b"a")
        leader = group.leader()
        replica = group.replicas[leader]
        replica._core.timing = dataclasses.replace(
            QUICK_TIMING, election_max_s=WAIT_TIMEOUT_S
        )  # no step-down meanwhile
        for number in (8, 9):
            group.start(f"10.0.0.{number}:7400")
        group.blocked_links = {(leader, other) for other in group.initial_voters}
        with pytest.raises(LogUnavailableError) as caught:
            replica.add_learner("10.0.0.8:7400", 0.05)
        assert caught.value.appended
        with pytest.raises(LogUnavailableError, match="earlier membership change") as caught:
            replica.add_learner("10.0.0.9:7400", 0.05)
        assert not caught.value.appended


def test_entry_is_accepted_only_after_a_majority_has_synced_it():
    with Group() as group:
        group.propose(b"a")
        group.wait_equal()
        for address in group.followers():
            group.disks[address].sync_allowed.clear()
        with pytest.raises(LogUnavailableError) as caught:
            group.replicas[group.leader()].propose(b"b", 2 * group.timing.election_max_s)
        assert caught.value.appended
        for disk in group.disks.values():
            disk.sync_allowed.set()
        group.propose(b"c")
        group.wait_equal([b"a", b"b", b"c"])


def test_leader_without_a_quorum_steps_down():
    # Otherwise its clients would wait for replies until their timeouts.
    with Group() as group:
        leader = group.leader()
        for follower in group.followers():
            group.kill(follower)
        wait_until(lambda: group.replicas[leader].status().role == "follower", "the leader steps down")


def test_follower_behind_the_compacted_log_gets_a_snapshot_in_chunks():
    with Group(bounds=SMALL_BOUNDS) as group:
        follower = group.followers()[0]
        group.kill(follower)
        items = entries(300)
        propose_all(group, items)
        group.start(follower)
        group.wait_equal(items)
        assert any(name.startswith("snapshot-") for name in group.disks[follower].names())


def test_append_below_the_compacted_log_is_answered_with_the_commit_index():
    # Told to go further back, the leader would send a snapshot that the follower does not need, again and again.
    with Group(bounds=SMALL_BOUNDS) as group:
        propose_all(group, entries(100))
        group.wait_equal()
        follower = group.replicas[group.followers()[0]]
        core = follower._core
        assert core.log.base_index > 5
        target = follower.status().replica
        request = messages.AppendRequest(core.term, core.leader, 3, 1, [], 3, target=target, previous_chain=0)
        reply = follower.handler.append(request)
        assert reply.success
        assert reply.match_index >= core.log.base_index
        assert not follower.status().fault


def test_call_that_times_out_is_repeated_at_once():
    # With a delay on top of the call's timeout, the follower's election timeout would expire.
    with Group(1) as group:
        core = group.replicas[group.leader()]._core
        peer = Peer(core, None, None, "10.0.0.9:1/x")
        now = core.clock.monotonic()
        peer._handle_failure(_Call("append", None, now - core.timing.call_timeout_s, None))
        assert peer._retry_not_before < now
        peer._handle_failure(_Call("append", None, now, None))
        assert peer._retry_not_before > now


def test_log_in_memory_and_on_disk_stays_bounded_while_a_follower_is_down():
    with Group(bounds=SMALL_BOUNDS) as group:
        group.kill(group.followers()[0])
        propose_all(group, entries(300))
        leader = group.leader()
        core = group.replicas[leader]._core
        wait_until(lambda: core.log.last_index - core.log.base_index < 120, "compaction")
        assert len([name for name in group.disks[leader].names() if name.startswith("snapshot-")]) == 1


def test_proposals_without_a_quorum_are_bounded():
    with Group(bounds=Bounds(pending_bytes=5000)) as group:
        leader = group.leader()
        for follower in group.followers():
            group.kill(follower)
        replica = group.replicas[leader]
        appended = []

        def propose():
            try:
                replica.propose(bytes(1000), 0.2)
            except LogUnavailableError as error:
                appended.append(error.appended)
            except NotLeaderError:
                appended.append(False)

        threads = [threading.Thread(target=propose) for _ in range(10)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert appended.count(True) <= 5


@pytest.mark.parametrize("kind", ["write_error", "sync_error"])
def test_replica_with_a_failing_disk_acknowledges_nothing_and_takes_part_again(kind):
    # After a failed sync, the replica could acknowledge entries that are not on the disk, or stay out for good.
    with Group() as group:
        propose_all(group, entries(3))
        group.wait_equal()
        leader = group.leader()
        first, second = group.followers()
        setattr(group.disks[leader], kind, OSError(errno.ENOSPC, "no space left on device"))
        group.replicas[leader].propose(b"x", WAIT_TIMEOUT_S)  # the followers alone are a majority
        wait_until(lambda: group.replicas[leader].status().disk_error, "the disk error is reported")
        status = group.replicas[leader].status()
        assert "no space left" in status.disk_error and not status.fault
        follower = group.replicas[first].status().replica
        setattr(group.disks[first], kind, OSError(errno.EIO, "input/output error"))
        vote = messages.VoteRequest(99, "a/b", 999, 999, target=follower)
        group.cut(first)  # while it hears a leader, it grants no vote in any case
        wait_until(lambda: refusal_code(group.replicas[first].handler.vote, vote) == "disk", "no vote is granted")
        group.heal()
        with pytest.raises((LogUnavailableError, NotLeaderError)):
            group.replicas[leader].propose(b"y", 2 * group.timing.election_max_s)
        setattr(group.disks[leader], kind, None)
        group.propose(b"z")
        setattr(group.disks[first], kind, None)
        group.wait_equal()
        assert not any(replica.status().disk_error for replica in group.replicas.values())
        items = list(group.machines[second].items)
        assert items[:4] == [*entries(3), b"x"] and items[-1] == b"z"
        for address in group.initial_voters:
            group.kill(address)
        for address in (leader, first):
            group.start(address)
        group.wait_equal(items)


def test_disks_that_fail_one_after_another_leave_a_group_that_accepts_changes():
    # Each replica whose disk had failed stayed out, so that the second one ended the group for good.
    with Group() as group:
        group.propose(b"before")
        for number in range(6):
            address = group.leader() if number % 2 else group.initial_voters[number // 2]
            group.disks[address].write_error = OSError(errno.ENOSPC, "no space left on device")
            group.propose(b"during %d" % number)
            group.disks[address].write_error = None
            group.propose(b"after %d" % number)
            group.wait_equal()
        assert len(group.machines[group.leader()].items) == 13


@pytest.mark.parametrize("kind", ["write_error", "sync_error"])
def test_snapshot_that_the_disk_refuses_is_saved_later(kind):
    # A full disk is most likely to be noticed by the largest write.
    with Group(bounds=SMALL_BOUNDS) as group:
        propose_all(group, entries(30))
        lagging, failing = group.followers()
        group.kill(lagging)
        setattr(group.disks[failing], kind, OSError(errno.ENOSPC, "no space left on device"))
        group.start(lagging)
        propose_all(group, entries(60, 30))
        setattr(group.disks[failing], kind, None)
        propose_all(group, entries(60, 90))
        group.wait_equal(entries(150))
        core = group.replicas[failing]._core
        wait_until(lambda: core.snapshot_index > 100 or group.propose(b"more") is None, "a snapshot is saved")


def test_snapshot_that_is_replaced_while_it_is_sent_does_not_stop_the_leader():
    # The file that had just been looked up was gone when its size was read.
    with Group(bounds=SMALL_BOUNDS) as group:
        follower = group.followers()[0]
        group.kill(follower)
        propose_all(group, entries(100))
        missing = [1, 1]

        def fail_at_first(size):
            def replaced(name):
                if missing:
                    missing.pop()
                    raise FileNotFoundError(name)
                return size(name)

            return replaced

        for replica in group.replicas.values():
            replica._core.storage.snapshot_size = fail_at_first(replica._core.storage.snapshot_size)
        group.start(follower)
        group.wait_equal(entries(100))
        assert not missing
        assert not any(replica.status().fault for replica in group.replicas.values())


def test_log_that_was_not_synced_before_a_restart_is_durable_before_it_counts():
    # A replica that was killed during a sync acknowledged the entries after its restart, and power loss took them.
    disk, address = MemoryDisk(), "10.0.0.1:7400"
    storage = Storage(disk, address)
    storage.load()
    storage.save_term_and_vote(3, "")
    storage.append([Entry(1, 1, COMMAND, b"synced")])
    segment = next(name for name in disk.names() if name.startswith("log-"))
    disk.append(segment, pack_entries([Entry(2, 1, COMMAND, b"written")]))
    disk.sync_error = OSError(errno.EIO, "input/output error")
    with Replica(address, [], disk, ListMachine(), FaultyTransport(Group(), address)) as replica:
        wait_until(lambda: replica.status().disk_error, "the disk error is reported")
        assert replica._core.durable_index < 2
        disk.sync_error = None
        wait_until(lambda: replica._core.durable_index == 2, "the log is synced")
        disk = disk.crash(random.Random(1))
    log = Storage(disk, address).load().log
    assert log.last_index == 2


@pytest.mark.parametrize("kind", ["write_error", "sync_error"])
def test_snapshot_of_the_leader_is_received_again_after_a_disk_error(kind):
    with Group(bounds=SMALL_BOUNDS) as group:
        follower = group.followers()[0]
        group.kill(follower)
        propose_all(group, entries(100))
        setattr(group.disks[follower], kind, OSError(errno.ENOSPC, "no space left on device"))
        replica = group.start(follower)
        wait_until(lambda: replica.status().disk_error, "the disk error is reported")
        setattr(group.disks[follower], kind, None)
        group.wait_equal(entries(100))


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


def test_exception_of_the_state_machine_does_not_stop_the_replicas():
    with Group() as group:
        for machine in group.machines.values():
            apply = machine.apply
            machine.apply = lambda data, apply=apply: apply(data) if data != b"bad" else int("bad")
        with pytest.raises(ValueError, match="invalid literal"):
            group.propose(b"bad")
        group.propose(b"good")
        group.wait_equal([b"good"])
