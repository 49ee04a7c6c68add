"""Hashes of the blocks of a prompt, by which routers and engines recognise a shared prefix."""

from __future__ import annotations

import xxhash

__all__ = ["BLOCK_BYTES", "prefix_blocks"]

BLOCK_BYTES = 256  # 64 tokens of 4 bytes


def prefix_blocks(prompt: str, limit: int = 4096) -> list[str]:
    """Returns one hash for each whole block of a prompt, at most `limit`.

    Each hash covers all blocks before it, so two prompts share their first n hashes when, and only when,
    they share their first n blocks.

    >>> first, second = prefix_blocks("a" * 600), prefix_blocks("a" * 256 + "b" * 256)
    >>> first[0] == second[0], first[1] == second[1], len(first)
    (True, False, 2)
    """
    data = prompt.encode("utf-8", "replace")
    hashes = []
    running = xxhash.xxh64()
    for start in range(0, min(len(data) // BLOCK_BYTES, limit) * BLOCK_BYTES, BLOCK_BYTES):
        running.update(data[start : start + BLOCK_BYTES])
        hashes.append(running.hexdigest())
    return hashes
