"""Bounded index of the prompt prefixes that runners have cached. A hint for placement only."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

__all__ = ["PrefixIndex"]

MAX_BLOCKS = 100_000  # about 30 MB in this process
MAX_BLOCKS_OF_SERVER = 4096
MAX_SERVERS_OF_BLOCK = 8  # a prefix that more servers hold needs no search


class PrefixIndex:
    """Which servers hold which prefix blocks, as their cache events say.

    Blocks are chained hashes: a server that holds the block number i of a prompt is taken to hold those
    before it. The oldest blocks of a server are forgotten first; forgetting costs speed, never correctness.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS):
        self._max_blocks = max_blocks
        self._blocks_by_server: dict[str, OrderedDict[int, None]] = {}
        self._servers_by_block: dict[int, list[str]] = {}
        self._count = 0

    def size(self, server: str) -> int:
        """Returns the number of blocks known of a server."""
        return len(self._blocks_by_server.get(server, ()))

    def apply(self, next_seq: int | None, events: Any) -> int | None:
        """Takes in events and returns the next sequence number, or None when some are missing.

        Each hash has a number; `first_seq` of a full list is the number of the first event after it. Added
        hashes come before removed ones.
        """
        size = len(events.added or ()) + len(events.removed or ())
        if events.full:
            self.forget(events.id)
            following = events.first_seq
        elif events.first_seq != (next_seq or 0):
            return None
        else:
            following = events.first_seq + size
        for block in events.added or ():
            self._add(events.id, hash(block))
        for block in events.removed or ():
            self._remove(events.id, hash(block))
        return following

    def matches(self, blocks: list[str]) -> dict[str, int]:
        """Returns, for the servers that hold the longest known prefix, how many blocks of it they hold."""
        found: dict[str, int] = {}
        low, high = 0, len(blocks)
        while low < high:
            middle = (low + high) // 2
            if hash(blocks[middle]) in self._servers_by_block:
                low = middle + 1
            else:
                high = middle
        for length in (low, low // 2):
            if length:
                for server in self._servers_by_block.get(hash(blocks[length - 1]), ()):
                    found.setdefault(server, length)
        return found

    def forget(self, server: str) -> None:
        """Drops all blocks of a server."""
        for block in list(self._blocks_by_server.get(server, ())):
            self._remove(server, block)
        self._blocks_by_server.pop(server, None)

    def _add(self, server: str, block: int) -> None:
        own = self._blocks_by_server.setdefault(server, OrderedDict())
        holders = self._servers_by_block.setdefault(block, [])
        if block in own or len(holders) >= MAX_SERVERS_OF_BLOCK:
            return
        own[block] = None
        holders.append(server)
        self._count += 1
        share = max(64, self._max_blocks // max(1, len(self._blocks_by_server)))
        while len(own) > min(MAX_BLOCKS_OF_SERVER, share) or (self._count > self._max_blocks and len(own) > 1):
            self._remove(server, next(iter(own)))

    def _remove(self, server: str, block: int) -> None:
        own = self._blocks_by_server.get(server)
        if own is None or block not in own:
            return
        del own[block]
        self._count -= 1
        holders = self._servers_by_block[block]
        holders.remove(server)
        if not holders:
            del self._servers_by_block[block]
