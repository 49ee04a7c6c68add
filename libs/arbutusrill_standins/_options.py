"""Configuration of the engine stand-in."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["BYTES_PER_TOKEN", "EngineOptions"]

BYTES_PER_TOKEN = 4  # UTF-8 bytes of prompt text


@dataclass(slots=True, frozen=True)
class EngineOptions:
    """Simulated speed and capacity of an engine. Times are in seconds, rates per second.

    `speed` multiplies the prefill rate and divides the gap between tokens. With `prefill_chunk_tokens` of 0 a
    prefill is not preempted; otherwise a prefill of higher priority can run between two chunks. `slots` bounds
    the requests in the prefill stage and in the decode stage separately.
    """

    prefill_tokens_per_s: float = 20_000.0
    token_gap_s: float = 0.01
    batch_slowdown: float = 0.045  # fraction by which each further stream lengthens the token gap
    speed: float = 1.0
    slots: int = 20
    prefill_chunk_tokens: int = 0
    kv_ttl_s: float = 0.9
    kv_bytes_per_token: int = 100_000
    link_bytes_per_s: float = 4e9
    cache_tokens: int = 200_000
    resume_window_s: float = 1.0
    max_queue_wait_s: float = 1.0  # for a decode slot
    load_duration_s: float = 0.2  # simulated duration of an order that loads a model, adapter or version
    checks_fencing: bool = False
