"""Durable part of a replica: identity, term and vote, log segments and snapshots."""

from __future__ import annotations

import json
import secrets
from dataclasses import dataclass

import xxhash
from arbutusrill_base import PartLog

from ._entries import Entry, EntryLog
from ._files import Folder
from ._frames import CorruptError, Snapshot, pack_entries, read_entries

__all__ = ["Storage", "StorageError", "Stored"]

_IDENTITY = "identity.json"
_META = "meta"
_INCOMING = "incoming"
_SEGMENT_BYTES = 4 * 1024 * 1024
_log = PartLog("raft")


class StorageError(Exception):
    """The files cannot be used; the message names the file and the problem."""


@dataclass(slots=True)
class Stored:
    """What a replica had made durable before it stopped."""

    log: EntryLog
    snapshot: Snapshot | None


class Storage:
    """Files of one replica. Methods that write return when the change is durable and may raise `OSError`.

    `append`, `install` and `drop_before` are called by one thread at a time; `save_meta` by any one at a time.
    """

    def __init__(self, folder: Folder, address: str):
        self._folder = folder
        self._segments: list[str] = []
        self._segment_size = 0
        self.term = 0
        self.vote = ""
        self.disk_id = self._identify(address)
        self._load_meta()

    def close(self) -> None:
        """Closes the files."""
        self._folder.close()

    # ---- identity, term and vote

    def _identify(self, address: str) -> str:
        names = self._folder.names()
        if _IDENTITY in names:
            try:
                value = json.loads(self._folder.read(_IDENTITY))
                known, disk_id = value["address"], value["disk_id"]
            except (ValueError, KeyError, TypeError):
                raise StorageError(f"{_IDENTITY}: damaged; replace the disk of this replica") from None
            if known != address:
                raise StorageError(f"{_IDENTITY}: this data folder belongs to the replica at {known}, not {address}")
            return disk_id
        if any(name == _META or name.startswith(("log-", "snapshot-")) for name in names):
            raise StorageError(f"{_IDENTITY}: missing beside log files; replace the disk of this replica")
        disk_id = secrets.token_hex(6)
        self._folder.replace(_IDENTITY, json.dumps({"address": address, "disk_id": disk_id}).encode())
        return disk_id

    def _load_meta(self) -> None:
        if _META not in self._folder.names():
            return
        try:
            checksum, _, body = self._folder.read(_META).partition(b" ")
            if xxhash.xxh64_hexdigest(body).encode() != checksum:
                raise ValueError
            value = json.loads(body)
            self.term, self.vote = value["term"], value["vote"]
        except (ValueError, KeyError, TypeError):
            raise StorageError(f"{_META}: damaged, the vote is lost; replace the disk of this replica") from None

    def save_meta(self, term: int, vote: str) -> None:
        """Writes the term and the vote given in it."""
        body = json.dumps({"term": term, "vote": vote}).encode()
        self._folder.replace(_META, xxhash.xxh64_hexdigest(body).encode() + b" " + body)
        self.term, self.vote = term, vote

    # ---- start

    def load(self) -> Stored:
        """Reads the snapshot and the log; truncates a torn tail. Raises `StorageError` for other damage."""
        try:
            snapshot = self._load_snapshot()
            log = EntryLog()
            if snapshot is not None:
                log.reset(snapshot.index, snapshot.term, snapshot.chain, snapshot.membership)
            self._load_log(log)
        except CorruptError as error:
            raise StorageError(str(error)) from None
        if log.last_term > self.term:
            raise StorageError(f"{_META}: older than the log; replace the disk of this replica")
        return Stored(log, snapshot)

    def _load_snapshot(self) -> Snapshot | None:
        for name in self._folder.names():
            if name.startswith("new-") or name == _INCOMING:
                self._folder.remove(name)
        names = self._snapshot_names()
        return Snapshot.decode(self._folder.read(names[-1]), names[-1]) if names else None

    def _load_log(self, log: EntryLog) -> None:
        self._segments = [name for name in self._folder.names() if name.startswith("log-")]
        conflict = False
        for name in self._segments:
            data = self._folder.read(name)
            entries, intact = read_entries(data, name, may_be_torn=name == self._segments[-1])
            if intact < len(data):
                _log.warning("%s: %d bytes of a torn write are truncated", name, len(data) - intact)
                self._folder.truncate(name, intact)
            self._segment_size = intact
            for entry in entries:
                conflict = self._replay(log, entry, name, conflict)
        if conflict:
            log.truncate_from(log.base_index + 1)
            self.forget_log()

    def _replay(self, log: EntryLog, entry: Entry, name: str, conflict: bool) -> bool:
        """Adds one entry; returns whether the log contradicts the snapshot, which then replaces it all."""
        if entry.index <= log.last_index:
            log.truncate_from(max(entry.index, log.base_index + 1))
        if entry.index == log.base_index:
            return entry.term != log.base_term
        if entry.index < log.base_index:
            return conflict
        if entry.index != log.last_index + 1:
            raise CorruptError(f"{name}: entry {entry.index} follows entry {log.last_index}, some are missing")
        log.append(entry)
        return conflict

    # ---- log

    def append(self, entries: list[Entry]) -> None:
        """Writes entries as one frame. An entry replaces earlier ones from its index on."""
        first = entries[0].index
        name = f"log-{first:020d}"
        if not self._segments or (self._segment_size >= _SEGMENT_BYTES and name > self._segments[-1]):
            self._segments.append(name)
            self._segment_size = 0
        data = pack_entries(entries)
        self._folder.append(self._segments[-1], data)
        self._folder.sync(self._segments[-1])
        if self._segment_size == 0:
            self._folder.sync_names()
        self._segment_size += len(data)

    def drop_before(self, index: int) -> None:
        """Removes the segments that hold only entries before `index`."""
        while len(self._segments) > 1 and int(self._segments[1].removeprefix("log-")) <= index:
            self._folder.remove(self._segments.pop(0))
        self._folder.sync_names()

    def forget_log(self) -> None:
        """Removes all segments, the newest first, so that a crash on the way leaves no gap."""
        while self._segments:
            self._folder.remove(self._segments.pop())
            self._folder.sync_names()
        self._segment_size = 0

    # ---- snapshots

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
        """Returns a part of a snapshot file."""
        return self._folder.read(name, offset, size)

    def receive(self, data: bytes, first: bool) -> None:
        """Adds a part of a snapshot from the leader; not durable before `accept`."""
        if first:
            self._folder.remove(_INCOMING)
        self._folder.append(_INCOMING, data)

    def accept(self) -> Snapshot:
        """Checks the received snapshot, keeps it in place of older ones and returns it.

        Raises `CorruptError` and drops it when its checksum is wrong.
        """
        try:
            snapshot = Snapshot.decode(self._folder.read(_INCOMING), _INCOMING)
        except CorruptError:
            self._folder.remove(_INCOMING)
            raise
        name = f"snapshot-{snapshot.index:020d}"
        self._folder.sync(_INCOMING)
        self._folder.rename(_INCOMING, name)
        self._folder.sync_names()
        self._remove_snapshots_before(name)
        return snapshot

    def latest_snapshot(self) -> str:
        """Returns the name of the newest snapshot file, empty without any."""
        return (self._snapshot_names() or [""])[-1]

    def _remove_snapshots_before(self, name: str) -> None:
        for old in self._snapshot_names():
            if old < name:
                self._folder.remove(old)
        self._folder.sync_names()
