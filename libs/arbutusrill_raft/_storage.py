"""Durable state of a replica: identity, term and vote, log segments and snapshots."""

from __future__ import annotations

import json
import secrets
from dataclasses import dataclass

import xxhash
from arbutusrill_base import PartLog

from ._entries import Entry, EntryLog
from ._files import Folder
from ._frames import CorruptError, Snapshot, pack_entries, read_entries

__all__ = ["LoadedState", "Storage", "StorageError"]

_IDENTITY_FILE = "identity.json"
_META_FILE = "meta"
_INCOMING_SNAPSHOT_FILE = "incoming"
_MIN_SEGMENT_BYTES = 4 * 1024 * 1024  # a new segment begins after the frame that reaches this size
_log = PartLog("raft")


class StorageError(Exception):
    """A replica's files cannot be used; the message names the file and the problem."""


@dataclass(slots=True)
class LoadedState:
    """Log and latest snapshot as read from the disk."""

    log: EntryLog
    snapshot: Snapshot | None


class Storage:
    """Files of one replica. Unless noted, changes are durable on return; all methods may raise `OSError`.

    `append`, `install_received_snapshot`, `remove_segments_before` and `remove_all_segments` must be called by one
    thread at a time, and so must `save_term_and_vote`. `initial_voters` are remembered from the first start in an empty
    folder, since a process that is restarted before the group has formed may not be told them again.
    """

    def __init__(self, folder: Folder, address: str, initial_voters: list[str] | None = None):
        self._folder = folder
        self.initial_voters = list(initial_voters or [])
        self._segments: list[str] = []
        self._segment_size = 0  # durable bytes of the last segment
        self._is_tail_uncertain = False  # a failed write may have left bytes after `_segment_size`
        self._has_loaded_sync_failed = False
        self._are_segments_obsolete = False  # a removal of all segments has failed halfway
        self.term = 0
        self.vote = ""
        self.disk_id = self._load_or_create_identity(address)
        self._load_term_and_vote()

    def close(self) -> None:
        """Closes the files."""
        self._folder.close()

    def _load_or_create_identity(self, address: str) -> str:
        """Returns the disk ID; raises `StorageError` when the folder belongs to another address or lost its ID."""
        names = self._folder.names()
        if _IDENTITY_FILE in names:
            try:
                value = json.loads(self._folder.read(_IDENTITY_FILE))
                known, disk_id = value["address"], value["disk_id"]
                self.initial_voters = self.initial_voters or list(value.get("initial_voters") or [])
            except (ValueError, KeyError, TypeError):
                raise StorageError(f"{_IDENTITY_FILE}: damaged; replace the disk of this replica") from None
            if known != address:
                raise StorageError(
                    f"{_IDENTITY_FILE}: this data folder belongs to the replica at {known}, not {address}"
                )
            return disk_id
        if any(name == _META_FILE or name.startswith(("log-", "snapshot-")) for name in names):
            raise StorageError(f"{_IDENTITY_FILE}: missing beside log files; replace the disk of this replica")
        disk_id = secrets.token_hex(6)
        value = {"address": address, "disk_id": disk_id, "initial_voters": self.initial_voters}
        self._folder.replace(_IDENTITY_FILE, json.dumps(value).encode())
        return disk_id

    def _load_term_and_vote(self) -> None:
        if _META_FILE not in self._folder.names():
            return
        try:
            checksum, _, body = self._folder.read(_META_FILE).partition(b" ")
            if xxhash.xxh64_hexdigest(body).encode() != checksum:
                raise ValueError
            value = json.loads(body)
            self.term, self.vote = value["term"], value["vote"]
        except (ValueError, KeyError, TypeError):
            raise StorageError(f"{_META_FILE}: damaged, the vote is lost; replace the disk of this replica") from None

    def save_term_and_vote(self, term: int, vote: str) -> None:
        """Writes the current term and the member ID voted for in it, empty for none."""
        body = json.dumps({"term": term, "vote": vote}).encode()
        self._folder.replace(_META_FILE, xxhash.xxh64_hexdigest(body).encode() + b" " + body)
        self.term, self.vote = term, vote

    def load(self) -> LoadedState:
        """Reads the snapshot and the log; truncates a torn last write. Raises `StorageError` for other damage."""
        try:
            snapshot = self._load_snapshot()
            log = EntryLog()
            if snapshot is not None:
                log.reset(snapshot.index, snapshot.term, snapshot.chain, snapshot.membership)
            self._load_log(log)
        except CorruptError as error:
            raise StorageError(str(error)) from None
        if log.last_term > self.term:
            raise StorageError(f"{_META_FILE}: older than the log; replace the disk of this replica")
        return LoadedState(log, snapshot)

    def _load_snapshot(self) -> Snapshot | None:
        for name in self._folder.names():
            if name.startswith("new-") or name == _INCOMING_SNAPSHOT_FILE:
                self._folder.remove(name)
        names = self._snapshot_names()
        return Snapshot.decode(self._folder.read(names[-1]), names[-1]) if names else None

    def _load_log(self, log: EntryLog) -> None:
        self._segments = [name for name in self._folder.names() if name.startswith("log-")]
        conflicts_with_snapshot = False
        for name in self._segments:
            data = self._folder.read(name)
            entries, intact_bytes = read_entries(data, name, may_be_torn=name == self._segments[-1])
            if intact_bytes < len(data):
                _log.warning("%s: truncated %d bytes of a torn write", name, len(data) - intact_bytes)
                self._folder.truncate(name, intact_bytes)
            self._segment_size = intact_bytes
            for entry in entries:
                conflicts_with_snapshot = self._replay(log, entry, name, conflicts_with_snapshot)
        if conflicts_with_snapshot:
            log.truncate_from(log.base_index + 1)
            self.remove_all_segments()

    def _replay(self, log: EntryLog, entry: Entry, name: str, conflicts_with_snapshot: bool) -> bool:
        """Adds one entry read from a segment; returns whether the log conflicts with the snapshot.

        Only the entry at the snapshot's last index decides; for others, returns `conflicts_with_snapshot`. A
        conflicting log is dropped as a whole, because its entry at the snapshot's last index has another term.
        """
        if entry.index <= log.last_index:
            log.truncate_from(max(entry.index, log.base_index + 1))
        if entry.index == log.base_index:
            return entry.term != log.base_term
        if entry.index < log.base_index:
            return conflicts_with_snapshot
        if entry.index != log.last_index + 1:
            raise CorruptError(f"{name}: entry {entry.index} follows entry {log.last_index}, some are missing")
        log.append(entry)
        return conflicts_with_snapshot

    def sync_loaded(self) -> None:
        """Makes durable what `load` has read: it may have been written but not synced when the process was killed.

        After an error, a repeated call writes the last segment anew, since no sync is trusted for bytes whose first
        sync has failed.
        """
        if self._segments:
            name = self._segments[-1]
            if self._has_loaded_sync_failed:
                self._folder.replace(name, self._folder.read(name))
            self._has_loaded_sync_failed = True
            self._folder.sync(name)
        self._folder.sync_directory()
        self._has_loaded_sync_failed = False

    def append(self, entries: list[Entry]) -> None:
        """Writes `entries` as one frame. They replace entries written earlier from the first one's index on.

        After an error, none of them counts as written: the next call removes what the failed one may have left, so
        that no sync is trusted for bytes whose first sync has failed.
        """
        self._remove_remains_of_failed_changes()
        first = entries[0].index
        name = f"log-{first:020d}"
        if not self._segments or (self._segment_size >= _MIN_SEGMENT_BYTES and name > self._segments[-1]):
            self._segments.append(name)
            self._segment_size = 0
        data = pack_entries(entries)
        self._is_tail_uncertain = True
        self._folder.append(self._segments[-1], data)
        self._folder.sync(self._segments[-1])
        if self._segment_size == 0:
            self._folder.sync_directory()
        self._is_tail_uncertain = False
        self._segment_size += len(data)

    def _remove_remains_of_failed_changes(self) -> None:
        if self._are_segments_obsolete:
            self.remove_all_segments()
        if self._is_tail_uncertain:
            self._folder.truncate(self._segments[-1], self._segment_size)
            self._is_tail_uncertain = False

    def remove_segments_before(self, index: int) -> None:
        """Removes the segments that contain only entries before `index`."""
        while len(self._segments) > 1 and int(self._segments[1].removeprefix("log-")) <= index:
            self._folder.remove(self._segments[0])
            del self._segments[0]
        self._folder.sync_directory()

    def remove_all_segments(self) -> None:
        """Removes all segments, newest first, so that a crash in between leaves no gap in the log.

        After an error, the next `append` continues the removal before it writes.
        """
        self._are_segments_obsolete = True
        while self._segments:
            self._folder.remove(self._segments[-1])
            self._folder.sync_directory()
            self._segments.pop()
        self._are_segments_obsolete = self._is_tail_uncertain = False
        self._segment_size = 0

    def _snapshot_names(self) -> list[str]:
        return [name for name in self._folder.names() if name.startswith("snapshot-")]

    def save_snapshot(self, snapshot: Snapshot) -> str:
        """Writes a snapshot, removes older ones and returns the name of its file."""
        name = f"snapshot-{snapshot.index:020d}"
        self._folder.replace(name, snapshot.encode())
        self._remove_snapshots_before(name)
        return name

    def snapshot_size(self, name: str) -> int:
        """Returns the length of a snapshot file in bytes."""
        return self._folder.size(name)

    def read_snapshot(self, name: str, offset: int, size: int) -> bytes:
        """Returns at most `size` bytes of a snapshot file from `offset` on."""
        return self._folder.read(name, offset, size)

    def append_snapshot_chunk(self, data: bytes, first: bool) -> None:
        """Appends a chunk of the leader's snapshot; durable only after `install_received_snapshot`."""
        if first:
            self._folder.remove(_INCOMING_SNAPSHOT_FILE)
        self._folder.append(_INCOMING_SNAPSHOT_FILE, data)

    def install_received_snapshot(self) -> Snapshot:
        """Verifies the received snapshot, replaces older ones by it and returns it.

        Deletes it and raises `CorruptError` when its checksum is wrong.
        """
        try:
            snapshot = Snapshot.decode(self._folder.read(_INCOMING_SNAPSHOT_FILE), _INCOMING_SNAPSHOT_FILE)
        except CorruptError:
            self._folder.remove(_INCOMING_SNAPSHOT_FILE)
            raise
        name = f"snapshot-{snapshot.index:020d}"
        self._folder.sync(_INCOMING_SNAPSHOT_FILE)
        self._folder.rename(_INCOMING_SNAPSHOT_FILE, name)
        self._folder.sync_directory()
        self._remove_snapshots_before(name)
        return snapshot

    def latest_snapshot(self) -> str:
        """Returns the name of the latest snapshot file, empty when there is none."""
        return (self._snapshot_names() or [""])[-1]

    def _remove_snapshots_before(self, name: str) -> None:
        for old in self._snapshot_names():
            if old < name:
                self._folder.remove(old)
        self._folder.sync_directory()
