"""Prometheus metrics of the site service of a control VM."""

from __future__ import annotations

from collections.abc import Iterable

from arbutusrill_raft import Replica
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from ._service import SiteService

__all__ = ["SiteMetrics"]

_BUCKET_BOUNDS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


class SiteMetrics(Collector):
    """Metrics of one control VM: calls by method and outcome, and the state of its replica at the time of a scrape."""

    def __init__(self, service: SiteService, log: Replica):
        self._service = service
        self._log = log
        self._registry = CollectorRegistry()
        self._calls = Counter(
            "arbutusrill_control_calls", "Calls by method and outcome.", ["method", "outcome"], registry=self._registry
        )
        self._call_seconds = Histogram(
            "arbutusrill_control_call_seconds",
            "Time in which a call was answered; long polls and places include their wait.",
            ["method"],
            buckets=_BUCKET_BOUNDS_S,
            registry=self._registry,
        )
        self._registry.register(self)

    def record_call(self, method: str, outcome: str, took_s: float) -> None:
        """Records a call and its duration; `outcome` is ``ok``, ``refused`` or ``failed``."""
        self._calls.labels(method, outcome).inc()
        self._call_seconds.labels(method).observe(took_s)

    def collect(self) -> Iterable[GaugeMetricFamily]:
        """Yields the gauges with their current values."""
        status, service = self._log.status(), self._service
        values = {
            "leader": (float(self._log.is_leader()), "1 when this control VM leads"),
            "term": (status.term, "term of the replicated log"),
            "commit_index": (status.commit_index, "highest committed entry"),
            "applied_index": (status.applied_index, "highest applied entry"),
            "voters": (len(status.voters), "voters of the control group"),
            "fault": (float(bool(status.fault)), "1 when the replica has stopped for a fault"),
            "disk_failing": (float(bool(status.disk_error)), "1 while the replica's disk refuses writes"),
            "config_version": (service.document_version, "version of the latest configuration"),
            "backends": (len(service.backends.records()), "backend servers that the leader knows"),
            "entries": (len(service.entries.records()), "entry VMs that the leader knows"),
            "evacuated_data_centres": (
                len(service.evacuations.record().data_centres),
                "data centres to whose backend servers nothing more is sent",
            ),
            "barred_part_sets": (service.prompts.bar_count, "sets of parts of prompts that are barred"),
            "suspected_parts": (service.prompts.suspected_count, "parts of prompts involved in crashes of engines"),
            "places_waiting": (service.places.waiting, "requests in line for a place on an engine"),
            "places_late": (service.places.counts.late_places, "places granted to late requests since the start"),
            "local_prefills_refused": (
                service.places.counts.local_prefills_refused,
                "requests that waited since the start because no engine could read their prompt",
            ),
        }
        for name, (value, text) in values.items():
            yield GaugeMetricFamily(f"arbutusrill_control_{name}", text, value=value)
        refused = GaugeMetricFamily(
            "arbutusrill_control_places_refused", "requests refused a place since the start", labels=["rank"]
        )
        for rank, count in sorted(service.places.counts.refused_by_rank.copy().items()):
            refused.add_metric([str(rank)], count)
        yield refused

    def expose(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return generate_latest(self._registry)
