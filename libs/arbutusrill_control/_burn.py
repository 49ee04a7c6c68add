"""Aggregation of the good and bad request counts that entry VMs report."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock

__all__ = ["BurnAggregator"]

REPORT_TTL_S = 120.0  # reports of VMs that have stopped reporting expire
_MAX_VMS = 1000
_MAX_ROWS_PER_VM = 20_000  # 1,100 workspaces with a few routes, targets and windows each


@dataclass(slots=True)
class _Report:
    received_at: float
    incarnation: int
    rows: list[Any]


class BurnAggregator:
    """Sums the latest report of each VM.

    Reports are kept in memory only: after a leader change the sums are complete once every VM has reported again.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._report_by_vm: dict[str, _Report] = {}

    def store_report(self, vm: str, incarnation: int, rows: list[Any]) -> None:
        """Replaces the report of a VM; a new VM is ignored when `_MAX_VMS` have unexpired reports."""
        now = self._clock.monotonic()
        with self._lock:
            for name in [
                name for name, report in self._report_by_vm.items() if now - report.received_at > REPORT_TTL_S
            ]:
                del self._report_by_vm[name]
            if vm in self._report_by_vm or len(self._report_by_vm) < _MAX_VMS:
                self._report_by_vm[vm] = _Report(now, incarnation, list(rows or [])[:_MAX_ROWS_PER_VM])

    def totals(self) -> list[dict[str, Any]]:
        """Returns rows summed over VMs: workspace, route, target, window_s, good, bad and bad_fraction (0 to 1)."""
        now = self._clock.monotonic()
        sums: dict[tuple, list[int]] = {}
        with self._lock:
            for report in self._report_by_vm.values():
                if now - report.received_at <= REPORT_TTL_S:
                    for row in report.rows:
                        total = sums.setdefault((row.workspace, row.route, row.target, row.window_s), [0, 0])
                        total[0] += row.good
                        total[1] += row.bad
        return [
            {
                "workspace": workspace,
                "route": route,
                "target": target,
                "window_s": window_s,
                "good": good,
                "bad": bad,
                "bad_fraction": round(bad / (good + bad), 6) if good + bad else 0.0,
            }
            for (workspace, route, target, window_s), (good, bad) in sorted(sums.items())
        ]

    def count_reporting_vms(self) -> int:
        """Returns the number of VMs with an unexpired report."""
        now = self._clock.monotonic()
        with self._lock:
            return sum(now - report.received_at <= REPORT_TTL_S for report in self._report_by_vm.values())
