"""Checksummed frames of the log files and snapshots."""

from __future__ import annotations

import struct

import xxhash

from ._entries import Entry
from ._membership import Membership

__all__ = ["FRAME_HEAD_BYTES", "CorruptError", "Snapshot", "pack_entries", "read_entries"]

_MAGIC = b"ARL1"
_SNAPSHOT_MAGIC = b"ARS1"
_HEAD = struct.Struct("!4sIQI")  # magic, payload length, payload checksum, checksum of these fields
_ENTRY = struct.Struct("!qqBI")  # index, term, kind, data length
_SNAPSHOT = struct.Struct("!4sQqqqII")  # magic, checksum of the rest, index, term, running hash, lengths
FRAME_HEAD_BYTES = _HEAD.size
_SECTOR_BYTES = 512  # unit in which a disk loses or keeps unsynced data


class CorruptError(Exception):
    """A file holds something else than what was once synced to it."""


def pack_entries(entries: list[Entry]) -> bytes:
    """Returns one frame; it is written and synced as a whole, so that only the last frame can be torn."""
    payload = b"".join(
        _ENTRY.pack(entry.index, entry.term, entry.kind, len(entry.data)) + entry.data for entry in entries
    )
    head = _HEAD.pack(_MAGIC, len(payload), xxhash.xxh64_intdigest(payload), 0)[:-4]
    return head + xxhash.xxh32_digest(head) + payload


def read_entries(data: bytes, name: str, may_be_torn: bool) -> tuple[list[Entry], int]:
    """Parses a log file and returns its entries and the length of its intact part.

    A torn last frame is left out when `may_be_torn`. Raises `CorruptError` for any other damage.
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
        entries += _parse(payload)
        offset += FRAME_HEAD_BYTES + len(payload)
    return entries, offset


def _payload_at(data: bytes, offset: int) -> bytes | None:
    head = data[offset : offset + FRAME_HEAD_BYTES]
    if len(head) < FRAME_HEAD_BYTES or head[:4] != _MAGIC or xxhash.xxh32_digest(head[:-4]) != head[-4:]:
        return None
    _, size, checksum, _ = _HEAD.unpack(head)
    payload = data[offset + FRAME_HEAD_BYTES : offset + FRAME_HEAD_BYTES + size]
    return payload if len(payload) == size and xxhash.xxh64_intdigest(payload) == checksum else None


def _looks_torn(data: bytes, offset: int) -> bool:
    """Says whether the frame ends early or lacks a sector, as after a crash during an unsynced write.

    A whole frame with a wrong checksum is damage to synced data instead.
    """
    head = data[offset : offset + FRAME_HEAD_BYTES]
    end = len(data)
    if len(head) == FRAME_HEAD_BYTES and xxhash.xxh32_digest(head[:-4]) == head[-4:]:
        end = offset + FRAME_HEAD_BYTES + _HEAD.unpack(head)[1]
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
    while (offset := data.find(_MAGIC, offset + 1)) >= 0:
        if _payload_at(data, offset) is not None:
            return True
    return False


def _parse(payload: bytes) -> list[Entry]:
    entries = []
    offset = 0
    while offset < len(payload):
        index, term, kind, size = _ENTRY.unpack_from(payload, offset)
        offset += _ENTRY.size
        entries.append(Entry(index, term, kind, payload[offset : offset + size]))
        offset += size
    return entries


class Snapshot:
    """The state after the entry `index`: its term, the running hash, the membership and the machine's bytes."""

    __slots__ = ("chain", "data", "index", "membership", "term")

    def __init__(self, index: int, term: int, chain: int, membership: Membership, data: bytes):
        self.index = index
        self.term = term
        self.chain = chain
        self.membership = membership
        self.data = data

    def encode(self) -> bytes:
        """Returns the content of a snapshot file, which also travels between replicas."""
        members = self.membership.encode()
        body = _SNAPSHOT.pack(b"", 0, self.index, self.term, self.chain, len(members), len(self.data))[12:]
        body += members + self.data
        return _SNAPSHOT_MAGIC + struct.pack("!Q", xxhash.xxh64_intdigest(body)) + body

    @classmethod
    def decode(cls, data: bytes, name: str) -> Snapshot:
        """Parses what `encode` returned; raises `CorruptError`.

        >>> Snapshot.decode(Snapshot(3, 1, 7, Membership("g", ("a/1",)), b"state").encode(), "s").index
        3
        """
        if len(data) < _SNAPSHOT.size or data[:4] != _SNAPSHOT_MAGIC:
            raise CorruptError(f"{name}: not a snapshot file")
        _, checksum, index, term, chain, members, size = _SNAPSHOT.unpack_from(data)
        body = data[_SNAPSHOT.size :]
        if len(body) != members + size or xxhash.xxh64_intdigest(data[12:]) != checksum:
            raise CorruptError(f"{name}: the checksum is wrong; replace the disk of this replica")
        return cls(index, term, chain, Membership.decode(body[:members]), body[members:])
