"""Prefills that run on a decode engine, and the pauses that they cause in its streams."""

from __future__ import annotations

from collections.abc import Iterable

from ._speeds import EngineSpeeds

__all__ = ["LocalPrefills"]

_MAX_GAP_FRACTION = 0.9  # of the longest accepted pause between events; the rest is left for the network
_PROMPT_SPACING_S = 0.1  # between two prefills, so that no event is delayed by both


class LocalPrefills:
    """Tracks which decode engines run a prefill; not thread-safe, the caller holds a lock around each call.

    A decode engine reads a prompt in chunks between its decoding steps. An event takes several steps, so that one event
    of each of its streams may take as long as the whole prefill, in addition to its usual time.

    >>> prefills = LocalPrefills(EngineSpeeds())
    >>> prefills.record_start("engine-1", prompt_tokens=1000, now=5.0)
    >>> prefills.exceeds_event_gap("engine-1", 1000, event_gaps_s=[0.3], now=5.0)
    True
    >>> prefills.exceeds_event_gap("engine-2", 1000, event_gaps_s=[0.3], now=5.0)
    False
    >>> prefills.exceeds_event_gap("engine-2", 2600, event_gaps_s=[0.3], now=5.0)
    True
    """

    def __init__(self, speeds: EngineSpeeds):
        self._speeds = speeds
        self._busy_until_by_backend: dict[str, float] = {}

    def exceeds_event_gap(self, backend: str, prompt_tokens: int, event_gaps_s: Iterable[float], now: float) -> bool:
        """Whether a prefill started now would pause a stream of the engine for longer than its caller accepts.

        `event_gaps_s` holds the longest accepted pause in seconds of each stream of the engine, 0 if unknown.
        """
        gaps_s = list(event_gaps_s)
        if not gaps_s:
            return False
        if self._busy_until_by_backend.get(backend, now) > now:
            return True
        shortest_s = min((gap_s for gap_s in gaps_s if gap_s > 0), default=float("inf"))
        pause_s = self._speeds.local_prefill_s(prompt_tokens, backend) + self._speeds.event_s(backend)
        return pause_s > shortest_s * _MAX_GAP_FRACTION

    def is_busy(self, backend: str, now: float) -> bool:
        """Whether a decode engine reads a prompt."""
        return self._busy_until_by_backend.get(backend, now) > now

    def record_start(self, backend: str, prompt_tokens: int, now: float) -> None:
        """Records that a prefill is assigned to a decode engine; `_PROMPT_SPACING_S` is added to its expected end."""
        ends_at = now + self._speeds.local_prefill_s(prompt_tokens, backend) + _PROMPT_SPACING_S
        self._busy_until_by_backend[backend] = max(ends_at, self._busy_until_by_backend.get(backend, ends_at))
