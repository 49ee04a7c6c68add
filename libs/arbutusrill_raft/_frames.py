"""Encoding of log files and snapshot files, with checksums."""

from __future__ import annotations

import struct

import xxhash

from ._entries import Entry
from ._membership import Membership

__all__ = ["FRAME_HEAD_BYTES", "CorruptError", "Snapshot", "pack_entries", "read_entries"]

_FRAME_MAGIC = b"ARL1"
_SNAPSHOT_MAGIC = b"ARS1"
_FRAME_HEAD = struct.Struct("!4sIQI")  # magic, payload length, payload checksum, checksum of these fields
_ENTRY_HEAD = struct.Struct("!qqBI")  # index, term, kind, data length
_SNAPSHOT_HEAD = struct.Struct("!4sQqqqII")  # magic, checksum of the rest, index, term, running hash, lengths
FRAME_HEAD_BYTES = _FRAME_HEAD.size
_SECTOR_BYTES = 512  # a disk writes each sector as a whole or not at all


class CorruptError(Exception):
    """The content of a file differs from what was synced to it."""


def pack_entries(entries: list[Entry]) -> bytes:
    """Returns `entries` as one frame. A frame is written and synced as a whole, so that only the last can be torn."""
    payload = b"".join(
        _ENTRY_HEAD.pack(entry.index, entry.term, entry.kind, len(entry.data)) + entry.data for entry in entries
    )
    head = _FRAME_HEAD.pack(_FRAME_MAGIC, len(payload), xxhash.xxh64_intdigest(payload), 0)[:-4]
    return head + xxhash.xxh32_digest(head) + payload


def read_entries(data: bytes, name: str, may_be_torn: bool) -> tuple[list[Entry], int]:
    """Parses a log file; returns its entries and the length in bytes of its intact part.

    With `may_be_torn`, a torn last frame is ignored. Raises `CorruptError` for any other damage.
    """
    entries: list[Entry] = []
    offset = 0
    while offset < len(data):
        payload = _payload_at(data, offset)
        if payload is None:
            if may_be_torn and _looks_torn(data, offset) and not _intact_frame_after(data, offset):
                return entries, offset
            raise CorruptError(
                f"{name}: damaged at byte {offset}, which was synced; restore the file or replace the disk"
            )
        entries += _parse_entries(payload)
        offset += FRAME_HEAD_BYTES + len(payload)
    return entries, offset


def _payload_at(data: bytes, offset: int) -> bytes | None:
    head = data[offset : offset + FRAME_HEAD_BYTES]
    if len(head) < FRAME_HEAD_BYTES or head[:4] != _FRAME_MAGIC or xxhash.xxh32_digest(head[:-4]) != head[-4:]:
        return None
    _, size, checksum, _ = _FRAME_HEAD.unpack(head)
    payload = data[offset + FRAME_HEAD_BYTES : offset + FRAME_HEAD_BYTES + size]
    return payload if len(payload) == size and xxhash.xxh64_intdigest(payload) == checksum else None


def _looks_torn(data: bytes, offset: int) -> bool:
    """Returns whether the frame is cut short or has a sector of zeros, as after a crash during an unsynced write.

    A complete frame with a wrong checksum is damage to synced data and not a torn write.
    """
    head = data[offset : offset + FRAME_HEAD_BYTES]
    end = len(data)
    if len(head) == FRAME_HEAD_BYTES and xxhash.xxh32_digest(head[:-4]) == head[-4:]:
        end = offset + FRAME_HEAD_BYTES + _FRAME_HEAD.unpack(head)[1]
    if end > len(data) or len(head) < FRAME_HEAD_BYTES:
        return True
    start = offset
    while start < end:
        stop = min(end, start - start % _SECTOR_BYTES + _SECTOR_BYTES)
        if not any(data[start:stop]):
            return True
        start = stop
    return False


def _intact_frame_after(data: bytes, offset: int) -> bool:
    while (offset := data.find(_FRAME_MAGIC, offset + 1)) >= 0:
        if _payload_at(data, offset) is not None:
            return True
    return False


def _parse_entries(payload: bytes) -> list[Entry]:
    entries = []
    offset = 0
    while offset < len(payload):
        index, term, kind, size = _ENTRY_HEAD.unpack_from(payload, offset)
        offset += _ENTRY_HEAD.size
        entries.append(Entry(index, term, kind, payload[offset : offset + size]))
        offset += size
    return entries


class Snapshot:
    """State after the entry `index`: that entry's term, running hash and membership, and the state machine's data."""

    __slots__ = ("chain", "data", "index", "membership", "term")

    def __init__(self, index: int, term: int, chain: int, membership: Membership, data: bytes):
        self.index = index
        self.term = term
        self.chain = chain
        self.membership = membership
        self.data = data

    def encode(self) -> bytes:
        """Returns the content of a snapshot file, which is also the form sent between replicas."""
        members = self.membership.encode()
        body = _SNAPSHOT_HEAD.pack(b"", 0, self.index, self.term, self.chain, len(members), len(self.data))[12:]
        body += members + self.data
        return _SNAPSHOT_MAGIC + struct.pack("!Q", xxhash.xxh64_intdigest(body)) + body

    @classmethod
    def decode(cls, data: bytes, name: str) -> Snapshot:
        """Parses the output of `encode`; raises `CorruptError`.

        >>> Snapshot.decode(Snapshot(3, 1, 7, Membership("g", ("a/1",)), b"state").encode(), "s").index
        3
        """
        if len(data) < _SNAPSHOT_HEAD.size or data[:4] != _SNAPSHOT_MAGIC:
            raise CorruptError(f"{name}: not a snapshot file")
        _, checksum, index, term, chain, members, size = _SNAPSHOT_HEAD.unpack_from(data)
        body = data[_SNAPSHOT_HEAD.size :]
        if len(body) != members + size or xxhash.xxh64_intdigest(data[12:]) != checksum:
            raise CorruptError(f"{name}: the checksum is wrong; replace the disk of this replica")
        return cls(index, term, chain, Membership.decode(body[:members]), body[members:])
