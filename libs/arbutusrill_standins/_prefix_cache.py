"""Prefix cache of an engine: block hashes in limited memory, with a numbered list of its changes."""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["CacheChanges", "PrefixCache"]


@dataclass(slots=True)
class CacheChanges:
    """Changes of a cache; `first_seq` is the number of the first of them, one number for each hash.

    `added` comes before `removed`: a hash that is in both is no longer in the cache.
    """

    first_seq: int
    added: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    full: bool = False


class PrefixCache:
    """Keeps the blocks used last. Safe to use from many threads."""

    def __init__(self, blocks: int):
        self._limit = blocks
        self._lock = threading.Lock()
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._seq = 0
        self._pending = CacheChanges(0)

    def match(self, blocks: list[str]) -> int:
        """Returns how many leading blocks of a prompt are cached, and marks them as used."""
        with self._lock:
            count = 0
            for block in blocks:
                if block not in self._blocks:
                    break
                self._blocks.move_to_end(block)
                count += 1
            return count

    def insert(self, blocks: list[str]) -> None:
        """Adds the blocks of a prompt and drops the blocks unused for longest."""
        with self._lock:
            for block in reversed(blocks[: self._limit]):  # the first blocks are the ones used last
                if block not in self._blocks:
                    self._note(self._pending.added, self._pending.removed, block)
                self._blocks[block] = None
                self._blocks.move_to_end(block)
            while len(self._blocks) > self._limit:
                dropped, _ = self._blocks.popitem(last=False)
                self._note(self._pending.removed, self._pending.added, dropped)

    def _note(self, side: list[str], other: list[str], block: str) -> None:
        if block in other:
            other.remove(block)
        else:
            side.append(block)

    def clear(self) -> None:
        """Drops all blocks, as a restarted engine does."""
        with self._lock:
            for block in self._blocks:
                self._note(self._pending.removed, self._pending.added, block)
            self._blocks.clear()

    def take_changes(self) -> CacheChanges | None:
        """Returns the changes since the last call, or None without any."""
        with self._lock:
            changes = self._pending
            size = len(changes.added) + len(changes.removed)
            if size == 0:
                return None
            self._seq += size
            self._pending = CacheChanges(self._seq)
            return changes

    def full(self) -> CacheChanges:
        """Returns the whole content; events of later changes follow `first_seq` of this list."""
        with self._lock:
            self._seq += len(self._pending.added) + len(self._pending.removed)
            self._pending = CacheChanges(self._seq)
            return CacheChanges(self._seq, added=list(self._blocks), full=True)
