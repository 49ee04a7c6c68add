"""Times and bounds of a replica."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Bounds", "Timing"]


@dataclass(slots=True, frozen=True)
class Timing:
    """Times in seconds. `lease_s` must stay below `election_min_s` by more than the drift of two clocks."""

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1.0
    lease_s: float = 0.4
    call_s: float = 0.4  # one call to a peer; below election_min_s, so that a silent connection is replaced in time
    durable_wait_s: float = 0.25  # a follower answers an append by then even if its disk has not finished


@dataclass(slots=True, frozen=True)
class Bounds:
    """Sizes in bytes. Memory for the log is at most `compact_bytes` + `keep_bytes` + `pending_bytes`."""

    compact_bytes: int = 8 * 1024 * 1024  # log since the last snapshot that triggers the next one
    compact_entries: int = 10_000
    keep_bytes: int = 2 * 1024 * 1024  # log before a snapshot that is kept for followers slightly behind
    pending_bytes: int = 16 * 1024 * 1024  # uncommitted proposals; further ones are refused
    entry_bytes: int = 1024 * 1024
    append_bytes: int = 1024 * 1024  # one append message or log frame
    chunk_bytes: int = 256 * 1024  # one part of a snapshot
