"""Guards against replicas that acknowledge what is not on their disk, or stay out after their disk has failed."""

import errno
import random

import pytest
from arbutusrill_wire import messages

from arbutusrill_raft import LogUnavailableError, NotLeaderError, Replica
from arbutusrill_raft._entries import COMMAND, Entry
from arbutusrill_raft._frames import pack_entries
from arbutusrill_raft._storage import Storage

from .group import (
    SMALL_BOUNDS,
    WAIT_TIMEOUT_S,
    FaultyTransport,
    Group,
    ListMachine,
    MemoryDisk,
    entries,
    propose_all,
    refusal_code,
    wait_until,
)


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
        propose_all(group, entries(100))
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
