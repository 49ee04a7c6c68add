"""Guards against loss, reordering and reversal of accepted entries, and against needless unavailability."""

import dataclasses
import threading
import time

import pytest
from arbutusrill_base import BootClock
from arbutusrill_wire import messages

from arbutusrill_raft import Bounds, LogUnavailableError, NotLeaderError
from arbutusrill_raft._peer import Peer, _Call

from .group import QUICK_TIMING, SMALL_BOUNDS, WAIT_TIMEOUT_S, Group, entries, propose_all, wait_until


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


@pytest.mark.parametrize("restarted", [[0], [1], [0, 1], [0, 1, 2]])
@pytest.mark.parametrize("disks_are_empty", [False, True])
def test_group_forms_though_replicas_are_restarted_before_it(restarted, disks_are_empty):
    # Only the first initial voter formed the group, and a restarted one did not know that it is one.
    group = Group()
    addresses = [group.initial_voters[number] for number in restarted]
    for address in addresses:
        group.start(address)
        group.kill(address)
        if disks_are_empty:
            group.disks.pop(address)
    try:
        for address in group.initial_voters:
            group.start(address, is_first_start=address not in addresses)
        if disks_are_empty and len(restarted) == 3:
            time.sleep(1.0)
            assert not any(replica.status().voters for replica in group.replicas.values())
        else:
            assert group.propose(b"a") == b"1"
            group.wait_equal([b"a"])
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


def test_exception_of_the_state_machine_does_not_stop_the_replicas():
    with Group() as group:
        for machine in group.machines.values():
            apply = machine.apply
            machine.apply = lambda data, apply=apply: apply(data) if data != b"bad" else int("bad")
        with pytest.raises(ValueError, match="invalid literal"):
            group.propose(b"bad")
        group.propose(b"good")
        group.wait_equal([b"good"])
