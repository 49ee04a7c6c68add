"""Block hashes of prompts, with which routers and engines find shared prefixes in prompt caches."""

from __future__ import annotations

import xxhash

__all__ = ["BLOCK_BYTES", "prefix_blocks"]

BLOCK_BYTES = 256  # 64 tokens of 4 bytes


def prefix_blocks(prompt: str, limit: int = 4096) -> list[str]:
    """Returns the prefix hashes of the first `limit` blocks of a prompt; an incomplete last block is ignored.

    The hash of a block also covers all blocks before it, so two prompts have the same first n hashes if and only if
    their first n blocks are equal.

    >>> first, second = prefix_blocks("a" * 600), prefix_blocks("a" * 256 + "b" * 256)
    >>> first[0] == second[0], first[1] == second[1], len(first)
    (True, False, 2)
    """
    data = prompt.encode("utf-8", "replace")
    hashes = []
    hasher = xxhash.xxh64()
    for start in range(0, min(len(data) // BLOCK_BYTES, limit) * BLOCK_BYTES, BLOCK_BYTES):
        hasher.update(data[start : start + BLOCK_BYTES])
        hashes.append(hasher.hexdigest())
    return hashes
