"""Prompts that decode engines read by themselves, and the pauses that this causes in the streams that they run."""

from __future__ import annotations

from collections.abc import Iterable

from ._speeds import EngineSpeeds

__all__ = ["OwnReads"]

_PAUSE_PART = 0.8  # part of the longest accepted pause that a prompt may take up; an event takes the rest
_SPACING_S = 0.1  # between two prompts, so that no event waits for both


class OwnReads:
    """Keeps account of the decode engines that read a prompt; the caller holds a lock around each call.

    A decode engine reads a prompt between the tokens of its streams, and each of them pauses meanwhile.

    >>> reads = OwnReads(EngineSpeeds())
    >>> reads.begin("engine-1", prompt_tokens=1000, now=5.0)
    >>> reads.disturbs("engine-1", 1000, event_gaps_s=[0.3], now=5.0)
    True
    >>> reads.disturbs("engine-2", 1000, event_gaps_s=[0.3], now=5.0)
    False
    """

    def __init__(self, speeds: EngineSpeeds):
        self._speeds = speeds
        self._busy_until_by_engine: dict[str, float] = {}

    def disturbs(self, backend: str, prompt_tokens: int, event_gaps_s: Iterable[float], now: float) -> bool:
        """Whether reading a prompt now makes a stream of the engine pause for longer than its caller accepts.

        `event_gaps_s` holds the longest accepted pause in seconds of each of its streams, 0 where none is known.
        """
        gaps_s = list(event_gaps_s)
        if not gaps_s:
            return False
        if self._busy_until_by_engine.get(backend, now) > now:
            return True
        shortest_s = min((gap_s for gap_s in gaps_s if gap_s > 0), default=float("inf"))
        return self._speeds.own_read_s(prompt_tokens, backend) > shortest_s * _PAUSE_PART

    def begin(self, backend: str, prompt_tokens: int, now: float) -> None:
        """Notes that an engine is given a prompt to read by itself."""
        ends_at = now + self._speeds.own_read_s(prompt_tokens, backend) + _SPACING_S
        self._busy_until_by_engine[backend] = max(ends_at, self._busy_until_by_engine.get(backend, ends_at))
