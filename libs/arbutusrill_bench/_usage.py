"""Processor time and memory of processes, read from /proc, and straight-line fits."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from ._site import Member

__all__ = ["Fit", "Usage", "fit", "usage_over"]


@dataclass(slots=True, frozen=True)
class Usage:
    """What a process used: `core` in parts of one processor core, `rss_mb` in 2^20 bytes."""

    core: float
    rss_mb: float


@dataclass(slots=True, frozen=True)
class Fit:
    """A straight line through measured points: value = `base` + `slope` x n, with its largest deviation."""

    base: float
    slope: float
    deviation: float

    def at(self, count: float) -> float:
        """Returns the line's value."""
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
    """Returns the processor time of the threads that run, in seconds; /proc/PID/stat counts whole 10 ms only."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def _rss_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS:"))


def usage_over(members: list[Member], seconds: float) -> dict[str, Usage]:
    """Returns the usage of running members over the next `seconds`."""
    before = {member.name: _cpu_s(member.process.pid) for member in members}
    began = time.monotonic()
    time.sleep(seconds)
    passed = time.monotonic() - began
    return {
        member.name: Usage((_cpu_s(member.process.pid) - before[member.name]) / passed, _rss_mb(member.process.pid))
        for member in members
    }
