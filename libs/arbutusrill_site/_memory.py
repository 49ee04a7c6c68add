"""Memory that the streams of one engine are expected to fill."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StreamLoad", "peak_tokens"]

_OVERDUE_PART = 0.25  # a stream that lasts longer than expected goes on for this part of its age
_LEAST_LEFT_S = 0.2


@dataclass(slots=True, frozen=True)
class StreamLoad:
    """One stream: its memory grows from its prompt by its output over `length_s` seconds, then it is free.

    `length_s` is None while nothing is known of the engine; the stream then counts with its whole memory.
    """

    prompt_tokens: int
    output_tokens: int
    began_at: float
    length_s: float | None

    def ends_at(self, now: float) -> float:
        """Returns when the stream is expected to end."""
        if self.length_s is None:
            return float("inf")
        end = self.began_at + self.length_s
        age = now - self.began_at
        return end if end > now else now + max(_LEAST_LEFT_S, age * _OVERDUE_PART)

    def tokens_at(self, moment: float) -> float:
        """Returns the memory at a moment before the end."""
        if self.length_s is None:
            return self.prompt_tokens + self.output_tokens
        progress = max(0.0, moment - self.began_at) / self.length_s
        return self.prompt_tokens + self.output_tokens * progress


def peak_tokens(loads: list[StreamLoad], now: float) -> float:
    """Returns the most memory that the streams are expected to fill at one time.

    >>> early, late = StreamLoad(100, 100, 0.0, 10.0), StreamLoad(100, 100, 9.0, 10.0)
    >>> peak_tokens([early, late], 9.0)
    310.0
    """
    ends = [(load.ends_at(now), load) for load in loads]
    moments = {end for end, _ in ends if end < float("inf")} or {now}
    return max(sum(load.tokens_at(moment) for end, load in ends if end >= moment) for moment in moments)
