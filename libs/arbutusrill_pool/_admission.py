"""Predictions for a pool as a whole: what a request costs and how long it waits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ._index import ServerIndex
from ._server import DEFAULT_PREFILL_TOKENS_PER_S, DEFAULT_TOKEN_GAP_S
from ._ticket import Band, Cost

__all__ = ["INITIAL_VALUES", "PoolAverages", "Terms", "terms_of"]

INITIAL_VALUES: dict[str, Any] = {
    "policy.name": "reserving",
    "targets.first_token_s": 2.0,
    "targets.token_gap_s": 0.031,
    "queue.max_wait_s.lookup": 1.0,
    "queue.max_wait_s.interactive": 5.0,
    "queue.max_wait_s.briefing": 120.0,
}
DEFAULT_HOLD_S = 0.05  # of a call to a plain service, until one has been seen
_LEARNING_RATE = 0.05
_MIN_OUTPUT_PART = 0.05


@dataclass(slots=True)
class PoolAverages:
    """Figures of the whole pool, refreshed with each tick. Times are in seconds."""

    prefill_servers: int = 0
    prefill_s_per_token: float = 1 / DEFAULT_PREFILL_TOKENS_PER_S
    slots: int = 0
    gap_s: float = DEFAULT_TOKEN_GAP_S
    output_part: float = 1.0  # of the requested output tokens that are really made
    hold_s: float = DEFAULT_HOLD_S

    def refresh(self, index: ServerIndex) -> None:
        """Takes the figures of the servers that are ready."""
        prefills = index.stage("prefill").ready.members
        self.prefill_servers = len(prefills)
        if prefills:
            rate = sum(server.speed.prefill_tokens_per_s / server.speed.prefill_ratio for server in prefills)
            self.prefill_s_per_token = len(prefills) / rate
        decodes = index.stage("decode").ready.members
        self.slots = index.stage("decode").slots or index.stage("plain").slots
        if decodes:
            self.gap_s = sum(server.speed.gap_s(server.assigned + 1) for server in decodes) / len(decodes)

    def learn(self, requested: int, tokens: int, hold_s: float, plain: bool) -> None:
        """Takes in a finished request: its output tokens, or how long a call to a plain service took."""
        if plain:
            self.hold_s += _LEARNING_RATE * (hold_s - self.hold_s)
        elif requested > 0 and tokens > 0:
            part = min(1.0, tokens / requested)
            self.output_part += _LEARNING_RATE * (max(_MIN_OUTPUT_PART, part) - self.output_part)

    def prefill_s(self, request: Any) -> float:
        """Returns the mean duration of a request's prefill without a cached prefix."""
        return request.prompt_tokens * self.prefill_s_per_token

    def decode_s(self, request: Any) -> float:
        """Returns the expected time from a request's first token to its last."""
        return request.output_tokens * self.output_part * self.gap_s

    def cost(self, request: Any, plain: bool) -> Cost:
        """Returns the expected use of the pool by a request."""
        slots = max(1, self.slots)
        if plain:
            return Cost(0.0, self.hold_s / slots)
        prefill = self.prefill_s(request)
        decode = prefill + self.decode_s(request)
        return Cost(prefill / max(1, self.prefill_servers), decode / slots)

    def used(self, prompt_s: float, tokens: int) -> Cost:
        """Returns the use of the pool by a finished request: prefill seconds and output tokens."""
        decode = prompt_s + tokens * self.gap_s
        return Cost(prompt_s / max(1, self.prefill_servers), decode / max(1, self.slots))


@dataclass(slots=True, frozen=True)
class Terms:
    """How long a request may wait for its first token, in seconds from its arrival, and its band."""

    first_token_s: float
    band: Band


def terms_of(request: Any, plain: bool, idle_s: float, decode_s: float, value: Callable[[str], Any]) -> Terms:
    """Returns the terms of a request by its class.

    `idle_s` is its predicted first token in an idle pool. An interactive request that is too long for the target
    in any case is held to its own deadline instead: refusing it would mean that it can never run. A briefing has to be
    whole by its deadline, so that its first token is due `decode_s`, the predicted time of its output, before that.
    """
    deadline = request.deadline_ms / 1000
    if request.latency_class == "briefing":
        return Terms(max(0.0, deadline - decode_s), Band.DEFERRED)
    if request.latency_class == "lookup":
        return Terms(min(deadline, value("queue.max_wait_s.lookup") + idle_s), Band.URGENT)
    if plain:
        return Terms(min(deadline, value("queue.max_wait_s.interactive")), Band.URGENT)
    target = value("targets.first_token_s")
    return Terms(deadline if idle_s >= target else min(deadline, target), Band.URGENT)
