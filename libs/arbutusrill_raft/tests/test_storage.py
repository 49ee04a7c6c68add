"""Guards against damaged files that are accepted, and intact files that are refused."""

import random

import pytest

from arbutusrill_raft import DiskFolder, Replica, StorageError
from arbutusrill_raft._entries import COMMAND, Entry
from arbutusrill_raft._frames import Snapshot
from arbutusrill_raft._membership import Membership
from arbutusrill_raft._storage import Storage

from .group import MemoryDisk

ADDRESS = "10.0.0.1:7400"
MEMBERSHIP = Membership("g", (f"{ADDRESS}/x",))


def entry(index, term=1, size=20):
    return Entry(index, term, COMMAND, bytes([index % 255 + 1]) * size)


def write_batches(disk, batches):
    storage = Storage(disk, ADDRESS)
    storage.load()
    storage.save_term_and_vote(9, "someone")
    for batch in batches:
        storage.append(batch)
    return storage


def reload_log(disk):
    return Storage(disk, ADDRESS).load().log


def entry_tuples(log):
    return [
        (index, log.term_at(index), log.entry_at(index).data) for index in range(log.base_index + 1, log.last_index + 1)
    ]


def first_segment(disk):
    return next(name for name in disk.names() if name.startswith("log-"))


def test_log_term_vote_and_identity_survive():
    disk = MemoryDisk()
    storage = write_batches(disk, [[entry(1), entry(2)], [entry(3)]])
    again = Storage(disk.crash(random.Random(1)), ADDRESS)
    assert (again.term, again.vote, again.disk_id) == (9, "someone", storage.disk_id)
    assert entry_tuples(again.load().log) == [(number, 1, entry(number).data) for number in (1, 2, 3)]


@pytest.mark.parametrize("seed", range(40))
def test_torn_write_loses_only_the_unsynced_batch(seed):
    disk = MemoryDisk()
    storage = write_batches(disk, [[entry(1)], [entry(2)]])
    disk.sync_error = OSError("power fails")
    with pytest.raises(OSError, match="power fails"):
        storage.append([entry(3, size=900), entry(4, size=900)])
    disk.sync_error = None
    after = disk.crash(random.Random(seed))
    assert reload_log(after).last_index in (2, 4)
    storage = Storage(after, ADDRESS)
    last = storage.load().log.last_index
    storage.append([entry(last + 1)])
    assert reload_log(after).last_index == last + 1


@pytest.mark.parametrize("kind", ["write_error", "sync_error"])
@pytest.mark.parametrize("seed", range(20))
def test_write_after_a_failed_one_leaves_a_log_that_can_be_read(kind, seed):
    # The remains of the failed write would be damage in the middle of a file, or count as synced by the next sync.
    disk = MemoryDisk()
    storage = write_batches(disk, [[entry(1)], [entry(2)]])
    setattr(disk, kind, OSError("refused"))
    for _ in range(3):
        with pytest.raises(OSError, match="refused"):
            storage.append([entry(3, size=600), entry(4)])
    setattr(disk, kind, None)
    storage.append([entry(3), entry(4)])
    storage.append([entry(5)])
    log = reload_log(disk.crash(random.Random(seed)))
    assert entry_tuples(log) == [(index, 1, entry(index).data) for index in range(1, 6)]


@pytest.mark.parametrize("position", range(0, 300, 7))
def test_damage_to_synced_bytes_is_refused(position):
    # Truncating the log here would lose acknowledged entries.
    disk = MemoryDisk()
    write_batches(disk, [[entry(number, size=40)] for number in range(1, 6)])
    disk.files[first_segment(disk)].data[position] ^= 0xFF
    with pytest.raises(StorageError, match="damaged at byte"):
        reload_log(disk)


def test_lost_sector_in_the_middle_is_refused():
    disk = MemoryDisk()
    write_batches(disk, [[entry(number, size=600)] for number in range(1, 6)])
    disk.files[first_segment(disk)].data[1024:1536] = bytes(512)
    with pytest.raises(StorageError, match="damaged"):
        reload_log(disk)


def test_entry_replaces_earlier_ones_from_its_index():
    disk = MemoryDisk()
    write_batches(disk, [[entry(1), entry(2), entry(3)], [entry(2, term=4)]])
    assert [item[:2] for item in entry_tuples(reload_log(disk))] == [(1, 1), (2, 4)]


def test_snapshot_and_compaction_keep_the_tail(monkeypatch):
    monkeypatch.setattr("arbutusrill_raft._storage._MIN_SEGMENT_BYTES", 100)
    disk = MemoryDisk()
    storage = write_batches(disk, [[entry(number, size=40)] for number in range(1, 21)])
    storage.save_snapshot(Snapshot(15, 1, 77, MEMBERSHIP, b"state"))
    storage.remove_segments_before(16)
    assert len([name for name in disk.names() if name.startswith("log-")]) < 8
    stored = Storage(disk, ADDRESS).load()
    assert (stored.snapshot.data, stored.log.chain_at(15)) == (b"state", 77)
    assert [item[0] for item in entry_tuples(stored.log)] == list(range(16, 21))


def test_log_that_conflicts_with_a_received_snapshot_is_dropped():
    # A crash after the snapshot is installed and before the old log is removed leaves both.
    disk = MemoryDisk()
    storage = write_batches(disk, [[entry(number) for number in range(1, 11)]])
    storage.append_snapshot_chunk(Snapshot(5, 7, 77, MEMBERSHIP, b"state").encode(), first=True)
    storage.install_received_snapshot()
    stored = Storage(disk, ADDRESS).load()
    assert (stored.log.last_index, stored.log.last_term) == (5, 7)


def test_missing_segment_is_refused(monkeypatch):
    monkeypatch.setattr("arbutusrill_raft._storage._MIN_SEGMENT_BYTES", 100)
    disk = MemoryDisk()
    write_batches(disk, [[entry(number, size=40)] for number in range(1, 21)])
    disk.remove([name for name in disk.names() if name.startswith("log-")][2])
    with pytest.raises(StorageError, match="some are missing"):
        reload_log(disk)


@pytest.mark.parametrize("name", ["meta", "identity.json"])
@pytest.mark.parametrize("change", ["remove", "damage"])
def test_lost_vote_or_identity_is_refused(name, change):
    # A replica that has lost its vote could vote twice in one term.
    disk = MemoryDisk()
    write_batches(disk, [[entry(1, term=9)]])
    if change == "remove":
        disk.remove(name)
    else:
        disk.files[name].data[3] ^= 0xFF
    with pytest.raises(StorageError, match=name):
        reload_log(disk)


def test_damaged_snapshot_is_refused():
    disk = MemoryDisk()
    write_batches(disk, [[entry(1)]]).save_snapshot(Snapshot(1, 1, 0, MEMBERSHIP, b"state"))
    name = next(name for name in disk.names() if name.startswith("snapshot-"))
    disk.files[name].data[-1] ^= 0xFF
    with pytest.raises(StorageError, match="checksum"):
        reload_log(disk)


def test_folder_of_another_address_is_refused():
    disk = MemoryDisk()
    write_batches(disk, [[entry(1)]])
    with pytest.raises(StorageError, match="belongs to the replica at 10.0.0.1:7400"):
        Storage(disk, "10.0.0.2:7400")


def test_error_names_a_folder_that_cannot_be_created(tmp_path):
    (tmp_path / "file").write_text("")
    with pytest.raises(StorageError, match="file/data"):
        Replica(ADDRESS, [ADDRESS], str(tmp_path / "file" / "data"), None)


def test_real_folder_keeps_files_and_refuses_a_second_process(tmp_path):
    folder = DiskFolder(tmp_path / "data")
    write_batches(folder, [[entry(1)], [entry(2)]])
    with pytest.raises(BlockingIOError, match="in use"):
        DiskFolder(tmp_path / "data")
    folder.close()
    assert reload_log(DiskFolder(tmp_path / "data")).last_index == 2
