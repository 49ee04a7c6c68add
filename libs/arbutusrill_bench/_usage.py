"""Measures the processor time and memory of processes from /proc, and fits lines to measurements."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from ._site import Member

__all__ = ["Fit", "Usage", "fit", "usage_over"]


@dataclass(slots=True, frozen=True)
class Usage:
    """Resource usage of a process: `core` as a fraction of one processor core, `rss_mb` in 2^20 bytes."""

    core: float
    rss_mb: float


@dataclass(slots=True, frozen=True)
class Fit:
    """Least-squares line value = `base` + `slope` x n; `deviation` is its largest absolute residual."""

    base: float
    slope: float
    deviation: float

    def at(self, count: float) -> float:
        """Returns the value of the line at `count`."""
        return self.base + self.slope * count


def fit(points: list[tuple[float, float]]) -> Fit:
    """Returns the least-squares line through at least two points.

    >>> line = fit([(0, 1.0), (10, 3.0)])
    >>> round(line.base, 6), round(line.slope, 6)
    (1.0, 0.2)
    """
    counts, values = np.array(points, dtype=float).T
    slope, base = np.polyfit(counts, values, 1)
    return Fit(float(base), float(slope), float(np.max(np.abs(values - base - slope * counts))))


def _cpu_s(pid: int) -> float:
    """Returns the processor time of the existing threads in seconds; schedstat is finer than the 10 ms of stat."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def _rss_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS:"))


def usage_over(members: list[Member], seconds: float) -> dict[str, Usage]:
    """Measures the usage of running members over the next `seconds`; returns it by member name."""
    before = {member.name: _cpu_s(member.process.pid) for member in members}
    started = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - started
    return {
        member.name: Usage((_cpu_s(member.process.pid) - before[member.name]) / elapsed_s, _rss_mb(member.process.pid))
        for member in members
    }
