"""Prometheus metrics of an entry VM."""

from __future__ import annotations

from collections.abc import Callable

from arbutusrill_base import Clock
from arbutusrill_burn import BurnCounter
from prometheus_client import REGISTRY, CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["Meters"]

_LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64)
_TOKEN_GAP_BUCKETS_S = (0.002, 0.005, 0.01, 0.015, 0.02, 0.025, 0.031, 0.04, 0.06, 0.1, 0.25, 1)


class Meters:
    """Prometheus metrics of one entry VM, and its counts of good and bad calls for error-budget burn rates."""

    def __init__(self, clock: Clock):
        self.registry = CollectorRegistry()
        self.burn = BurnCounter(clock)
        self.requests = Counter(
            "arbutusrill_requests", "Requests by route and verdict.", ["route", "verdict"], registry=self.registry
        )
        self.tokens = Counter("arbutusrill_tokens_relayed", "Output tokens relayed.", registry=self.registry)
        self.request_s = self._histogram(
            "arbutusrill_request_seconds", "Time to the end of a request.", _LATENCY_BUCKETS_S
        )
        self.first_token_s = self._histogram(
            "arbutusrill_first_token_seconds", "Time to the first token.", _LATENCY_BUCKETS_S
        )
        self.token_gap_s = self._histogram(
            "arbutusrill_token_gap_seconds", "Mean time between the tokens of a request.", _TOKEN_GAP_BUCKETS_S
        )
        self.open_requests = Gauge(
            "arbutusrill_open_requests", "Requests under way by route.", ["route"], registry=self.registry
        )

        self.waiting_requests = Gauge(
            "arbutusrill_waiting_requests", "Requests that wait for a place on servers.", registry=self.registry
        )

    def add_gauge(self, name: str, documentation: str, read: Callable[[], float]) -> None:
        """Registers a gauge whose value is read at each scrape."""
        Gauge(name, documentation, registry=self.registry).set_function(read)

    def render(self) -> bytes:
        """Returns all metrics of the process in the Prometheus text format."""
        return generate_latest(REGISTRY) + generate_latest(self.registry)

    def _histogram(self, name: str, documentation: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(name, documentation, ["route"], registry=self.registry, buckets=buckets)
