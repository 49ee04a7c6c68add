"""Pool-wide averages, and the predictions of cost and limits on waiting time that admission control uses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ._index import ServerIndex
from ._server import DEFAULT_PREFILL_TOKENS_PER_S, DEFAULT_TOKEN_GAP_S
from ._ticket import Band, Cost

__all__ = ["DEFAULT_VALUES", "PoolAverages", "WaitLimit", "wait_limit_of"]

DEFAULT_VALUES: dict[str, Any] = {
    "policy.name": "reserving",
    "targets.first_token_s": 2.0,
    "targets.token_gap_s": 0.031,
    "queue.max_wait_s.lookup": 1.0,
    "queue.max_wait_s.interactive": 5.0,
    "queue.max_wait_s.briefing": 120.0,
}
DEFAULT_CALL_DURATION_S = 0.05  # of a call to a plain service, before the first measurement
_SMOOTHING_FACTOR = 0.05
_MIN_OUTPUT_FRACTION = 0.05


@dataclass(slots=True)
class PoolAverages:
    """Averages over the servers and requests of a pool. Times are in seconds."""

    prefill_servers: int = 0
    prefill_s_per_token: float = 1 / DEFAULT_PREFILL_TOKENS_PER_S
    slots: int = 0  # of all decode servers, or of all servers of a plain service
    gap_s: float = DEFAULT_TOKEN_GAP_S
    output_fraction: float = 1.0  # generated output tokens / requested ones
    call_duration_s: float = DEFAULT_CALL_DURATION_S

    def refresh(self, index: ServerIndex) -> None:
        """Recomputes the averages over the ready servers."""
        prefills = index.stage("prefill").ready.members
        self.prefill_servers = len(prefills)
        if prefills:
            tokens_per_s = sum(server.speed.prefill_tokens_per_s / server.speed.prefill_ratio for server in prefills)
            self.prefill_s_per_token = len(prefills) / tokens_per_s
        decodes = index.stage("decode").ready.members
        self.slots = index.stage("decode").slots or index.stage("plain").slots
        if decodes:
            self.gap_s = sum(server.speed.token_gap_at(server.assigned + 1) for server in decodes) / len(decodes)

    def observe(self, requested_tokens: int, generated_tokens: int, call_duration_s: float, plain: bool) -> None:
        """Updates `output_fraction` from a finished request, or `call_duration_s` from a call to a plain service."""
        if plain:
            self.call_duration_s += _SMOOTHING_FACTOR * (call_duration_s - self.call_duration_s)
        elif requested_tokens > 0 and generated_tokens > 0:
            fraction = min(1.0, generated_tokens / requested_tokens)
            self.output_fraction += _SMOOTHING_FACTOR * (max(_MIN_OUTPUT_FRACTION, fraction) - self.output_fraction)

    def prefill_duration_s(self, request: Any) -> float:
        """Returns the mean duration of a request's prefill if no prefix is cached."""
        return request.prompt_tokens * self.prefill_s_per_token

    def decode_duration_s(self, request: Any) -> float:
        """Returns the expected time from the first to the last token of a request."""
        return request.output_tokens * self.output_fraction * self.gap_s

    def predicted_cost(self, request: Any, plain: bool) -> Cost:
        """Returns the expected cost of a request."""
        slots = max(1, self.slots)
        if plain:
            return Cost(0.0, self.call_duration_s / slots)
        prefill_s = self.prefill_duration_s(request)
        # The decode slot is reserved before the prefill starts.
        decode_s = prefill_s + self.decode_duration_s(request)
        return Cost(prefill_s / max(1, self.prefill_servers), decode_s / slots)

    def actual_cost(self, prefill_s: float, tokens: int) -> Cost:
        """Returns the cost of a finished request from its prefill time and its number of output tokens."""
        decode_s = prefill_s + tokens * self.gap_s
        return Cost(prefill_s / max(1, self.prefill_servers), decode_s / max(1, self.slots))


@dataclass(slots=True, frozen=True)
class WaitLimit:
    """Time limit for the first token of a request, in seconds from its arrival, and the request's priority band."""

    first_token_s: float
    band: Band


def wait_limit_of(
    request: Any, plain: bool, idle_first_token_s: float, decode_s: float, config_value: Callable[[str], Any]
) -> WaitLimit:
    """Returns the limit of a request by its latency class.

    `idle_first_token_s` is the predicted time to its first token in an idle pool. An interactive request that would
    miss the target even there is limited by its own deadline instead, since it could otherwise never run. A briefing
    must be complete by its deadline, so its first token is due `decode_s`, the predicted duration of its output,
    before that.
    """
    deadline_s = request.deadline_ms / 1000
    if request.latency_class == "briefing":
        return WaitLimit(max(0.0, deadline_s - decode_s), Band.DEFERRED)
    if request.latency_class == "lookup":
        return WaitLimit(min(deadline_s, config_value("queue.max_wait_s.lookup") + idle_first_token_s), Band.URGENT)
    if plain:
        return WaitLimit(min(deadline_s, config_value("queue.max_wait_s.interactive")), Band.URGENT)
    target_s = config_value("targets.first_token_s")
    return WaitLimit(deadline_s if idle_first_token_s >= target_s else min(deadline_s, target_s), Band.URGENT)
