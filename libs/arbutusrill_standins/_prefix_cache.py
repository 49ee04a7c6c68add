"""LRU prefix cache of an engine, with numbered change events."""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["CacheChanges", "PrefixCache"]


@dataclass(slots=True)
class CacheChanges:
    """Block hashes added and removed, or the whole content if `full` is true.

    Each hash takes one sequence number, and `first_seq` is that of the first one. Additions apply before
    removals: a hash in both lists is no longer in the cache.
    """

    first_seq: int
    added: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    full: bool = False


class PrefixCache:
    """LRU cache of at most `max_blocks` block hashes. Thread-safe."""

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._lock = threading.Lock()
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._seq = 0
        self._pending = CacheChanges(0)

    def match(self, blocks: list[str]) -> int:
        """Returns how many leading blocks of a prompt are cached and marks them as recently used."""
        with self._lock:
            count = 0
            for block in blocks:
                if block not in self._blocks:
                    break
                self._blocks.move_to_end(block)
                count += 1
            return count

    def insert(self, blocks: list[str]) -> None:
        """Adds the blocks of a prompt and evicts the least recently used ones."""
        with self._lock:
            for block in reversed(blocks[: self._max_blocks]):  # leading blocks become the most recent
                if block not in self._blocks:
                    self._record_change(self._pending.added, self._pending.removed, block)
                self._blocks[block] = None
                self._blocks.move_to_end(block)
            while len(self._blocks) > self._max_blocks:
                evicted, _ = self._blocks.popitem(last=False)
                self._record_change(self._pending.removed, self._pending.added, evicted)

    def _record_change(self, changes: list[str], opposite_changes: list[str], block: str) -> None:
        if block in opposite_changes:
            opposite_changes.remove(block)
        else:
            changes.append(block)

    def clear(self) -> None:
        """Removes all blocks, as a restart of the engine does."""
        with self._lock:
            for block in self._blocks:
                self._record_change(self._pending.removed, self._pending.added, block)
            self._blocks.clear()

    def take_changes(self) -> CacheChanges | None:
        """Returns the changes since the last call, or None if there are none."""
        with self._lock:
            changes = self._pending
            size = len(changes.added) + len(changes.removed)
            if size == 0:
                return None
            self._seq += size
            self._pending = CacheChanges(self._seq)
            return changes

    def snapshot(self) -> CacheChanges:
        """Returns the whole content; the next changes start at its `first_seq`."""
        with self._lock:
            self._seq += len(self._pending.added) + len(self._pending.removed)
            self._pending = CacheChanges(self._seq)
            return CacheChanges(self._seq, added=list(self._blocks), full=True)
