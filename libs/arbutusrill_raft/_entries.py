"""In-memory log: recent entries, their running hash and the memberships that they set."""

from __future__ import annotations

import struct
from dataclasses import dataclass

import xxhash

from ._membership import Membership

__all__ = ["COMMAND", "LOG_FORMAT", "MEMBERSHIP", "NO_OP", "Entry", "EntryLog", "chain_hash"]

COMMAND, NO_OP, MEMBERSHIP = 0, 1, 2  # kinds of entries
LOG_FORMAT = 2  # 1: entries may change the document by patches; 2: they may be orders to evacuate data centres
_HASHED_FIELDS = struct.Struct("!qqqB")
_ENTRY_OVERHEAD_BYTES = 64  # memory that an entry takes in addition to its data


@dataclass(slots=True)
class Entry:
    """One log entry. `chain` is the running hash of the log up to and including this entry."""

    index: int
    term: int
    kind: int
    data: bytes
    chain: int = 0

    @property
    def memory_bytes(self) -> int:
        """Memory in bytes that the entry counts towards the limits of `Bounds`."""
        return len(self.data) + _ENTRY_OVERHEAD_BYTES


def chain_hash(before: int, entry: Entry) -> int:
    """Returns the running hash after `entry` as a signed 64-bit number; `before` is the hash of the entry before."""
    head = _HASHED_FIELDS.pack(before, entry.index, entry.term, entry.kind)
    return xxhash.xxh64_intdigest(head + entry.data) - (1 << 63)


class EntryLog:
    """Entries after `base_index`; earlier entries are only in a snapshot. Not thread-safe.

    >>> log = EntryLog()
    >>> log.append(Entry(1, 1, COMMAND, b"a")).index, log.last_index, log.term_at(2)
    (1, 1, None)
    """

    def __init__(self) -> None:
        self.reset(0, 0, 0, None)

    def reset(self, index: int, term: int, chain: int, membership: Membership | None) -> None:
        """Drops all entries; the next entry follows a snapshot whose last entry is `index`."""
        self.base_index = index
        self.base_term = term
        self.base_chain = chain
        self.memory_bytes = 0
        self._entries: list[Entry] = []
        self._memberships: list[tuple[int, Membership]] = [] if membership is None else [(index, membership)]

    @property
    def last_index(self) -> int:
        """Index of the last entry, `base_index` when there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, `base_term` when there is none."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> Membership | None:
        """The latest membership, committed or not; None before the group has formed."""
        return self._memberships[-1][1] if self._memberships else None

    @property
    def membership_index(self) -> int:
        """Index of the entry that set the latest membership, 0 before the group has formed."""
        return self._memberships[-1][0] if self._memberships else 0

    def membership_at(self, index: int) -> Membership | None:
        """Returns the latest membership set by the entries up to `index`, or None."""
        return next((members for at, members in reversed(self._memberships) if at <= index), None)

    def entry_at(self, index: int) -> Entry:
        """Returns the entry at `index`, which must be above `base_index` and at most `last_index`."""
        return self._entries[index - self.base_index - 1]

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at `index`, or None when the index is not in memory."""
        if index == self.base_index:
            return self.base_term
        return self.entry_at(index).term if self.base_index < index <= self.last_index else None

    def chain_at(self, index: int) -> int | None:
        """Returns the running hash up to `index`, or None when the index is not in memory."""
        if index == self.base_index:
            return self.base_chain
        return self.entry_at(index).chain if self.base_index < index <= self.last_index else None

    def append(self, entry: Entry) -> Entry:
        """Appends the next entry and sets its running hash; raises `ValueError` for any other index."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow entry {self.last_index}")
        entry.chain = chain_hash(self._entries[-1].chain if self._entries else self.base_chain, entry)
        self._entries.append(entry)
        self.memory_bytes += entry.memory_bytes
        if entry.kind == MEMBERSHIP:
            self._memberships.append((entry.index, Membership.decode(entry.data)))
        return entry

    def truncate_from(self, index: int) -> None:
        """Drops the entries from `index` on, and the memberships that they set."""
        dropped = self._entries[index - self.base_index - 1 :]
        del self._entries[index - self.base_index - 1 :]
        self.memory_bytes -= sum(entry.memory_bytes for entry in dropped)
        self._memberships = [pair for pair in self._memberships if pair[0] < index]

    def slice(self, first: int, limit: int, max_bytes: int) -> list[Entry]:
        """Returns the entries from `first` to `limit`, at most `max_bytes` in total but at least one if any."""
        found: list[Entry] = []
        memory_bytes = 0
        for index in range(first, min(limit, self.last_index) + 1):
            entry = self.entry_at(index)
            memory_bytes += entry.memory_bytes
            if found and memory_bytes > max_bytes:
                break
            found.append(entry)
        return found

    def compact(self, index: int, keep_bytes: int) -> None:
        """Drops the entries up to `index`, which a snapshot covers, except the last `keep_bytes` bytes of them."""
        kept_bytes = 0
        while index > self.base_index and kept_bytes + self.entry_at(index).memory_bytes <= keep_bytes:
            kept_bytes += self.entry_at(index).memory_bytes
            index -= 1
        if index <= self.base_index:
            return
        last = self.entry_at(index)
        members = self.membership_at(index)
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term, self.base_chain = last.index, last.term, last.chain
        self.memory_bytes = sum(entry.memory_bytes for entry in self._entries)
        later = [pair for pair in self._memberships if pair[0] > index]
        self._memberships = ([] if members is None else [(index, members)]) + later
