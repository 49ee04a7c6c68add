"""Speed and limits of an engine stand-in."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["BYTES_PER_TOKEN", "EngineOptions"]

BYTES_PER_TOKEN = 4  # of prompt text


@dataclass(slots=True, frozen=True)
class EngineOptions:
    """Speed and limits of an engine. Times are in seconds, rates per second.

    `speed` multiplies the prefill rate and divides the gap between tokens. `prefill_chunk_tokens` of 0 runs
    each prefill whole; otherwise a prefill of higher priority can run between two chunks.
    """

    prefill_tokens_per_s: float = 20_000.0
    token_gap_s: float = 0.01
    batch_slowdown: float = 0.045  # part by which each further stream lengthens the gap
    speed: float = 1.0
    slots: int = 20
    prefill_chunk_tokens: int = 0
    kv_life_s: float = 0.9
    kv_bytes_per_token: int = 100_000
    link_bytes_per_s: float = 4e9
    cache_tokens: int = 200_000
    resume_s: float = 1.0
    queue_s: float = 1.0  # longest wait for a decode slot
    load_s: float = 0.2  # time that an order to load takes
    checks_fencing: bool = False
