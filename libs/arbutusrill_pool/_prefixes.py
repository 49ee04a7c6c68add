"""Bounded index of the prompt prefixes that runners have cached, used as a hint for placement."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

__all__ = ["PrefixIndex"]

MAX_BLOCKS = 100_000  # about 30 MB
MAX_BLOCKS_PER_SERVER = 4096
MAX_SERVERS_PER_BLOCK = 8  # more holders add nothing to the choice of a server


class PrefixIndex:
    """Maps prefix blocks to the servers that hold them, according to cache events.

    Block hashes are chained, so a server that holds a block of a prompt is assumed to hold all earlier ones. The oldest
    blocks of a server are evicted first; a missing block costs speed, not correctness.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS):
        self._max_blocks = max_blocks
        self._blocks_by_server: dict[str, OrderedDict[int, None]] = {}
        self._servers_by_block: dict[int, list[str]] = {}
        self._count = 0

    def block_count(self, server: str) -> int:
        """Returns the number of known blocks of a server."""
        return len(self._blocks_by_server.get(server, ()))

    def apply_events(self, next_seq: int | None, events: Any) -> int | None:
        """Applies events and returns the next expected sequence number, or None if events are missing.

        Each hash has a sequence number, added ones before removed ones. `first_seq` of a full list is the number of the
        first event after it.
        """
        size = len(events.added or ()) + len(events.removed or ())
        if events.full:
            self.remove_server(events.id)
            next_expected = events.first_seq
        elif events.first_seq != (next_seq or 0):
            return None
        else:
            next_expected = events.first_seq + size
        for block in events.added or ():
            self._add(events.id, hash(block))
        for block in events.removed or ():
            self._remove(events.id, hash(block))
        return next_expected

    def longest_matches(self, blocks: list[str]) -> dict[str, int]:
        """Returns the number of leading `blocks` held, by server.

        Covers the servers that hold the longest known prefix, and those that hold at least half of it.
        """
        blocks_held_by_server: dict[str, int] = {}
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
                    blocks_held_by_server.setdefault(server, length)
        return blocks_held_by_server

    def remove_server(self, server: str) -> None:
        """Removes all blocks of a server."""
        for block in list(self._blocks_by_server.get(server, ())):
            self._remove(server, block)
        self._blocks_by_server.pop(server, None)

    def _add(self, server: str, block: int) -> None:
        server_blocks = self._blocks_by_server.setdefault(server, OrderedDict())
        holders = self._servers_by_block.setdefault(block, [])
        if block in server_blocks or len(holders) >= MAX_SERVERS_PER_BLOCK:
            return
        server_blocks[block] = None
        holders.append(server)
        self._count += 1
        blocks_per_server = max(64, self._max_blocks // max(1, len(self._blocks_by_server)))
        while len(server_blocks) > min(MAX_BLOCKS_PER_SERVER, blocks_per_server) or (
            self._count > self._max_blocks and len(server_blocks) > 1
        ):
            self._remove(server, next(iter(server_blocks)))

    def _remove(self, server: str, block: int) -> None:
        server_blocks = self._blocks_by_server.get(server)
        if server_blocks is None or block not in server_blocks:
            return
        del server_blocks[block]
        self._count -= 1
        holders = self._servers_by_block[block]
        holders.remove(server)
        if not holders:
            del self._servers_by_block[block]
