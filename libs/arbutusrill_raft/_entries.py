"""The log in memory: recent entries, their running hash and the memberships that they set."""

from __future__ import annotations

import struct
from dataclasses import dataclass

import xxhash

from ._membership import Membership

__all__ = ["COMMAND", "MEMBERS", "NOTHING", "Entry", "EntryLog", "chain_hash"]

COMMAND, NOTHING, MEMBERS = 0, 1, 2  # kinds of entries
_HASHED = struct.Struct("!qqqB")
_OVERHEAD_BYTES = 64  # size in memory of an entry beside its data


@dataclass(slots=True)
class Entry:
    """One log entry. `chain` is the running hash of the log up to and including it."""

    index: int
    term: int
    kind: int
    data: bytes
    chain: int = 0

    @property
    def cost(self) -> int:
        """Bytes that the entry is counted with in memory bounds."""
        return len(self.data) + _OVERHEAD_BYTES


def chain_hash(before: int, entry: Entry) -> int:
    """Returns the running hash after `entry` as a signed 64-bit number, given the one before it."""
    head = _HASHED.pack(before, entry.index, entry.term, entry.kind)
    return xxhash.xxh64_intdigest(head + entry.data) - (1 << 63)


class EntryLog:
    """Entries after `base_index`; what came before is only in a snapshot. Not thread-safe.

    >>> log = EntryLog()
    >>> log.append(Entry(1, 1, COMMAND, b"a")).index, log.last_index, log.term_at(2)
    (1, 1, None)
    """

    def __init__(self) -> None:
        self.reset(0, 0, 0, None)

    def reset(self, index: int, term: int, chain: int, membership: Membership | None) -> None:
        """Drops all entries and continues after a snapshot that ends at `index`."""
        self.base_index = index
        self.base_term = term
        self.base_chain = chain
        self.cost = 0
        self._entries: list[Entry] = []
        self._memberships: list[tuple[int, Membership]] = [] if membership is None else [(index, membership)]

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> Membership | None:
        """The latest membership, committed or not; None in a log that no group has formed."""
        return self._memberships[-1][1] if self._memberships else None

    @property
    def membership_index(self) -> int:
        """Index of the entry that set the latest membership."""
        return self._memberships[-1][0] if self._memberships else 0

    def membership_at(self, index: int) -> Membership | None:
        """Returns the membership that entries up to `index` have set."""
        return next((members for at, members in reversed(self._memberships) if at <= index), None)

    def at(self, index: int) -> Entry:
        """Returns the entry at an index after `base_index`."""
        return self._entries[index - self.base_index - 1]

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None when the index is not in memory."""
        if index == self.base_index:
            return self.base_term
        return self.at(index).term if self.base_index < index <= self.last_index else None

    def chain_at(self, index: int) -> int | None:
        """Returns the running hash up to an index, or None when the index is not in memory."""
        if index == self.base_index:
            return self.base_chain
        return self.at(index).chain if self.base_index < index <= self.last_index else None

    def append(self, entry: Entry) -> Entry:
        """Adds the next entry and sets its running hash."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow entry {self.last_index}")
        entry.chain = chain_hash(self._entries[-1].chain if self._entries else self.base_chain, entry)
        self._entries.append(entry)
        self.cost += entry.cost
        if entry.kind == MEMBERS:
            self._memberships.append((entry.index, Membership.decode(entry.data)))
        return entry

    def truncate_from(self, index: int) -> None:
        """Drops the entries from `index` on."""
        dropped = self._entries[index - self.base_index - 1 :]
        del self._entries[index - self.base_index - 1 :]
        self.cost -= sum(entry.cost for entry in dropped)
        self._memberships = [pair for pair in self._memberships if pair[0] < index]

    def slice(self, first: int, limit: int, max_cost: int) -> list[Entry]:
        """Returns entries from `first` up to `limit`, at least one if there is any, at most `max_cost` bytes."""
        found: list[Entry] = []
        cost = 0
        for index in range(first, min(limit, self.last_index) + 1):
            entry = self.at(index)
            cost += entry.cost
            if found and cost > max_cost:
                break
            found.append(entry)
        return found

    def compact(self, index: int, keep_cost: int) -> None:
        """Drops entries up to `index`, which a snapshot covers, but for the last `keep_cost` bytes of them."""
        kept = 0
        while index > self.base_index and kept + self.at(index).cost <= keep_cost:
            kept += self.at(index).cost
            index -= 1
        if index <= self.base_index:
            return
        last = self.at(index)
        members = self.membership_at(index)
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term, self.base_chain = last.index, last.term, last.chain
        self.cost = sum(entry.cost for entry in self._entries)
        later = [pair for pair in self._memberships if pair[0] > index]
        self._memberships = ([] if members is None else [(index, members)]) + later
