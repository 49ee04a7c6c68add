"""Counters and latency histograms of the gateway."""

from __future__ import annotations

import threading
from collections import OrderedDict

from arbutusrill_http import BodyBudget, ConnectionEndings
from arbutusrill_site import SiteView
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from ._backends import BackendPool
from ._connections import BackendConnections

__all__ = ["GatewayMetrics"]

_MAX_ROUTES = 512  # with metrics of their own
_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.9, 1.5, 3.0, 6.0, 14.0)


class GatewayMetrics:
    """Prometheus metrics of one entry VM.

    Those with the label ``route`` are kept for the `_MAX_ROUTES` routes that were used last: routes come and go with
    the configuration, and each takes some kilobytes. A route that is used again afterwards starts from zero.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._lock = threading.Lock()
        self._statuses_by_route: OrderedDict[str, set[str]] = OrderedDict()  # the route used last comes last
        self._routes_dropped = Counter(
            "arbutusrill_route_metrics_dropped",
            "Routes whose metrics were dropped since others were used after them.",
            registry=self.registry,
        )
        self._requests = Counter(
            "arbutusrill_requests", "Requests by route and status.", ["route", "status"], registry=self.registry
        )
        self._duration = Histogram(
            "arbutusrill_request_seconds",
            "Time from the request to the end of its answer.",
            ["route"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._time_to_first_event = Histogram(
            "arbutusrill_first_event_seconds",
            "Time from the request to the first event of its stream.",
            ["route"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._view_age = Gauge("arbutusrill_view_age_seconds", "Age of the confirmed view.", registry=self.registry)
        self._barred_part_sets = Gauge(
            "arbutusrill_barred_part_sets", "Sets of parts of prompts that are barred.", registry=self.registry
        )
        self._suspected_parts = Gauge(
            "arbutusrill_suspected_parts", "Parts of prompts involved in crashes of engines.", registry=self.registry
        )
        self._version = Gauge("arbutusrill_config_version", "Version in force on this VM.", registry=self.registry)
        self._draining_backends = Gauge(
            "arbutusrill_backends_draining",
            "Backend servers that this VM sends nothing since they said in an answer that they drain.",
            registry=self.registry,
        )
        self._quiet_backends = Gauge(
            "arbutusrill_backends_quiet",
            "Backend servers that this VM sends nothing for the time that they asked for.",
            registry=self.registry,
        )
        self._evacuated_data_centres = Gauge(
            "arbutusrill_evacuated_data_centres",
            "Data centres to whose backend servers this VM sends nothing more.",
            registry=self.registry,
        )
        self._cold_skips = Gauge(
            "arbutusrill_cold_skips",
            "Choices since the start that passed over a backend server since it was cold.",
            registry=self.registry,
        )
        self._plain_decisions = Gauge(
            "arbutusrill_plain_decisions",
            "Decisions for plain services since the start: waits, refusals by code, trials, servers left out.",
            ["decision"],
            registry=self.registry,
        )
        self._out_backends = Gauge(
            "arbutusrill_backends_out",
            "Servers of plain services that are left out since sends to them fail.",
            registry=self.registry,
        )
        self._second_sends = Gauge(
            "arbutusrill_second_sends",
            "Second sends of slow requests since the start: sent, won, cancelled, failed, or why there was none.",
            ["outcome"],
            registry=self.registry,
        )
        self._add_http_gauges()
        self._add_connection_gauges()

    def _add_http_gauges(self) -> None:
        self._body_bytes = Gauge(
            "arbutusrill_body_bytes", "Memory reserved for bodies of requests and responses.", registry=self.registry
        )
        self._body_budget_bytes = Gauge(
            "arbutusrill_body_budget_bytes", "Memory that bodies may take.", registry=self.registry
        )
        self._bodies_refused = Gauge(
            "arbutusrill_bodies_refused", "Requests refused for want of memory since the start.", registry=self.registry
        )
        self._connections_ended = Gauge(
            "arbutusrill_connections_ended",
            "Connections of callers that have ended since the start, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self._requests_rejected = Gauge(
            "arbutusrill_requests_rejected",
            "Requests rejected since the start before they were routed, by code.",
            ["code"],
            registry=self.registry,
        )
        self._responses_without_memory = Gauge(
            "arbutusrill_responses_without_memory",
            "Responses that were not kept for want of memory since the start.",
            registry=self.registry,
        )

    def _add_connection_gauges(self) -> None:
        self._backend_connections = Gauge(
            "arbutusrill_backend_connections",
            "Connections to backend servers that were opened or used again since the start, and those idle now.",
            ["state"],
            registry=self.registry,
        )
        self._backend_connections_closed = Gauge(
            "arbutusrill_backend_connections_closed",
            "Connections to backend servers that this VM has closed since the start, by reason.",
            ["reason"],
            registry=self.registry,
        )

    def _record_connections(self, connections: BackendConnections) -> None:
        """Sets the gauges of the connections to backend servers."""
        pool = connections.pool
        for state, count in (
            ("opened", pool.opened_count),
            ("reused", pool.reused_count),
            ("idle", pool.idle_count()),
        ):
            self._backend_connections.labels(state).set(count)
        for reason, count in pool.closed_by_reason().items():
            self._backend_connections_closed.labels(reason).set(count)

    def _record_bodies(self, budget: BodyBudget) -> None:
        """Sets the gauges of the memory for bodies of requests and responses."""
        self._body_bytes.set(budget.held_bytes)
        self._body_budget_bytes.set(budget.total_bytes or 0)
        self._bodies_refused.set(budget.refused_count)
        self._responses_without_memory.set(budget.refused_response_count)

    def _record_endings(self, endings: ConnectionEndings) -> None:
        """Sets the gauges of callers' connections that have ended and of requests rejected before they were routed."""
        for reason, count in endings.by_reason().items():
            self._connections_ended.labels(reason).set(count)
        for code, count in endings.by_code().items():
            self._requests_rejected.labels(code).set(count)

    def _record_view(self, view: SiteView) -> None:
        """Sets the gauges of the configuration in force and of the parts of prompts that crash engines."""
        self._version.set(view.version)
        self._evacuated_data_centres.set(len(view.evacuated_data_centres))
        self._view_age.set(view.age_s() if view.version else -1)
        self._barred_part_sets.set(len(view.prompt_bars.barred))
        self._suspected_parts.set(len(view.prompt_bars.suspected))

    def _record_backends(self, pool: BackendPool) -> None:
        """Sets the gauges of the backend servers that this VM sends nothing."""
        draining_count, quiet_count = pool.restricted_counts()
        self._draining_backends.set(draining_count)
        self._quiet_backends.set(quiet_count)
        self._cold_skips.set(pool.cold_skip_count)
        self._out_backends.set(len(pool.plain.out_ids()))
        for decision, count in pool.plain.counts_by_decision().items():
            self._plain_decisions.labels(decision).set(count)

    def record_request(self, route: str, status: int, took_s: float, first_event_s: float | None) -> None:
        """Counts a finished request; `status` 0 means that its connection was closed without a response."""
        with self._lock:
            self._statuses_by_route.setdefault(route, set()).add(str(status))
            self._statuses_by_route.move_to_end(route)
            self._requests.labels(route, str(status)).inc()
            self._duration.labels(route).observe(took_s)
            if first_event_s is not None:
                self._time_to_first_event.labels(route).observe(first_event_s)
            if len(self._statuses_by_route) > _MAX_ROUTES:
                self._drop_route(*self._statuses_by_route.popitem(last=False))

    def _drop_route(self, route: str, statuses: set[str]) -> None:
        for status in statuses:
            self._requests.remove(route, status)
        self._duration.remove(route)
        self._time_to_first_event.remove(route)
        self._routes_dropped.inc()

    def expose(
        self,
        view: SiteView,
        pool: BackendPool,
        budget: BodyBudget,
        endings: ConnectionEndings,
        connections: BackendConnections | None = None,
        second_sends_by_outcome: dict[str, int] | None = None,
    ) -> bytes:
        """Returns the metrics in the Prometheus text format, with the gauges of the present state."""
        for outcome, count in (second_sends_by_outcome or {}).items():
            self._second_sends.labels(outcome).set(count)
        if connections is not None:
            self._record_connections(connections)
        self._record_view(view)
        self._record_backends(pool)
        self._record_bodies(budget)
        self._record_endings(endings)
        return generate_latest(self.registry)
