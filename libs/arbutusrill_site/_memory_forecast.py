"""Forecast of the KV cache memory that the streams of one engine fill."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StreamLoad", "peak_tokens"]

_OVERDUE_FRACTION = 0.25  # of its age, the expected remaining time of a stream that outlasts its forecast
_MIN_REMAINING_S = 0.2  # lower bound on that remaining time


@dataclass(slots=True, frozen=True)
class StreamLoad:
    """Memory of one stream: grows linearly from `prompt_tokens` by `output_tokens` over `duration_s`, then is released.

    `duration_s` is None while it cannot be estimated; the stream then counts with its full memory and has no end.
    """

    prompt_tokens: int
    output_tokens: int
    started_at: float
    duration_s: float | None

    def ends_at(self, now: float) -> float:
        """Returns the expected end of the stream, infinity when its duration is unknown."""
        if self.duration_s is None:
            return float("inf")
        end = self.started_at + self.duration_s
        age = now - self.started_at
        return end if end > now else now + max(_MIN_REMAINING_S, age * _OVERDUE_FRACTION)

    def tokens_at(self, moment: float) -> float:
        """Returns the tokens in memory at a moment before the end."""
        if self.duration_s is None:
            return self.prompt_tokens + self.output_tokens
        progress = max(0.0, moment - self.started_at) / self.duration_s
        return self.prompt_tokens + self.output_tokens * progress


def peak_tokens(loads: list[StreamLoad], now: float) -> float:
    """Returns the peak of the tokens that the streams are expected to hold together.

    The sum grows until a stream ends, so that only the ends of streams are examined.

    >>> early, late = StreamLoad(100, 100, 0.0, 10.0), StreamLoad(100, 100, 9.0, 10.0)
    >>> peak_tokens([early, late], 9.0)
    310.0
    """
    ends = [(load.ends_at(now), load) for load in loads]
    moments = {end for end, _ in ends if end < float("inf")} or {now}
    return max(sum(load.tokens_at(moment) for end, load in ends if end >= moment) for moment in moments)
