"""Prometheus metrics of a control VM."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from ._service import ControlService

__all__ = ["control_metrics"]


class _ServiceCollector(Collector):
    def __init__(self, service: ControlService):
        self._service = service

    def collect(self) -> Iterable[GaugeMetricFamily]:
        status = self._service.log.status()
        state = self._service.state_machine.state
        values = {
            "leader": (float(self._service.log.is_leader()), "1 when this control VM leads"),
            "term": (status.term, "term of the replicated log"),
            "commit_index": (status.commit_index, "highest committed entry"),
            "applied_index": (status.applied_index, "highest applied entry"),
            "fault": (float(bool(status.fault)), "1 when the replica has stopped for a fault"),
            "disk_failing": (float(bool(status.disk_error)), "1 while the replica's disk refuses writes"),
            "revision": (state.config.revision, "revision of the configuration"),
            "feature_level": (state.config.feature_level, "feature level of the group"),
            "workspaces": (len(state.config.workspaces_by_name), "workspaces"),
            "keys": (len(state.config.keys_by_hash), "keys, withdrawn ones included"),
            "journal_entries": (len(state.journal.entries_by_key), "entries of the journal of once-only calls"),
            "burn_reporters": (self._service.burn.count_reporting_vms(), "VMs whose burn reports count"),
        }
        for name, (value, text) in values.items():
            yield GaugeMetricFamily(f"arbutusrill_control_{name}", text, value=value)
        vms = GaugeMetricFamily("arbutusrill_control_vms", "entry VMs by state", labels=["state"])
        with state.config.lock:
            counts = Counter(vm.state for vm in state.config.vms_by_id.values())
        for name in ("live", "draining", "dead"):
            vms.add_metric([name], counts[name])
        yield vms
        orders = GaugeMetricFamily("arbutusrill_control_orders", "orders by state", labels=["state"])
        with state.config.lock:
            counts = Counter(order.state for order in state.config.orders_by_id.values())
        for name, count in sorted(counts.items()):
            orders.add_metric([name], count)
        yield orders


def control_metrics(service: ControlService) -> bytes:
    """Returns the metrics of `service` in the Prometheus text format."""
    # Not the global registry, which an entry role in the same process uses.
    registry = CollectorRegistry()
    registry.register(_ServiceCollector(service))
    return generate_latest(registry)
