"""Timing parameters and size limits of a replica."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Bounds", "Timing"]


@dataclass(slots=True, frozen=True)
class Timing:
    """Times in seconds. `lease_s` must be below `election_min_s` by more than the clock drift between two VMs."""

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1.0
    lease_s: float = 0.4
    call_timeout_s: float = 0.4  # below election_min_s to replace a silent connection in time
    max_durable_wait_s: float = 0.25  # for the disk, before a follower answers an append


@dataclass(slots=True, frozen=True)
class Bounds:
    """Sizes in bytes. The log in memory takes at most `compact_bytes` + `keep_bytes` + `pending_bytes`."""

    compact_bytes: int = 8 * 1024 * 1024  # applied since the last snapshot; triggers the next one
    compact_entries: int = 10_000  # the same trigger as a number of entries
    keep_bytes: int = 2 * 1024 * 1024  # entries kept in memory after a snapshot, for followers slightly behind
    pending_bytes: int = 16 * 1024 * 1024  # uncommitted entries; proposals above the limit are refused
    entry_bytes: int = 1024 * 1024  # data of one proposal
    append_bytes: int = 1024 * 1024  # one append message or log frame
    chunk_bytes: int = 256 * 1024  # one message of a snapshot transfer
