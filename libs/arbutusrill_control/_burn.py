"""Counts of good and bad requests that entry VMs report, summed over VMs."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock

__all__ = ["BurnBoard"]

KEPT_S = 120.0  # the last report of a VM that is gone counts no longer
_MAX_VMS = 1000
_MAX_ROWS = 20_000  # per VM: 1,100 workspaces with a few routes, targets and windows


@dataclass(slots=True)
class _Report:
    at: float
    incarnation: int
    rows: list[Any]


class BurnBoard:
    """Keeps the last report of each VM in memory; a new leader knows all again after one report each."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._report_by_vm: dict[str, _Report] = {}

    def report(self, vm: str, incarnation: int, rows: list[Any]) -> None:
        """Replaces the rows of a VM."""
        now = self._clock.monotonic()
        with self._lock:
            for name in [name for name, report in self._report_by_vm.items() if now - report.at > KEPT_S]:
                del self._report_by_vm[name]
            if vm in self._report_by_vm or len(self._report_by_vm) < _MAX_VMS:
                self._report_by_vm[vm] = _Report(now, incarnation, list(rows or [])[:_MAX_ROWS])

    def totals(self) -> list[dict[str, Any]]:
        """Returns rows summed over VMs: workspace, route, target, window_s, good, bad and bad_fraction (0 to 1)."""
        now = self._clock.monotonic()
        sums: dict[tuple, list[int]] = {}
        with self._lock:
            for report in self._report_by_vm.values():
                if now - report.at <= KEPT_S:
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

    def vms(self) -> int:
        """Returns the number of VMs whose reports count."""
        now = self._clock.monotonic()
        with self._lock:
            return sum(now - report.at <= KEPT_S for report in self._report_by_vm.values())
