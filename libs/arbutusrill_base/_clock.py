"""Clocks that are injected wherever time is read, so that tests can control it."""

from __future__ import annotations

import abc
import threading
import time

__all__ = ["BootClock", "Clock", "ManualClock", "SystemClock"]


class Clock(abc.ABC):
    """Source of time: `monotonic` for leases and timeouts, `wall` for timestamps in records."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns seconds since an arbitrary start; never decreases."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns seconds since the Unix epoch; can step in both directions."""

    def wall_ms(self) -> int:
        """Returns the wall clock in whole milliseconds."""
        return int(self.wall() * 1000)


class SystemClock(Clock):
    """Clocks of the operating system."""

    def monotonic(self) -> float:
        """Returns `time.monotonic`."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns `time.time`."""
        return time.time()


class BootClock(SystemClock):
    """Clocks of the operating system, whose `monotonic` includes the time that the VM was suspended.

    Leases need it: a leader that was suspended for longer than its lease must see that the lease has expired.
    """

    def monotonic(self) -> float:
        """Returns the seconds since the VM booted, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Clock for tests that moves only on `advance` and `step_wall`.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic()
    1.5
    """

    def __init__(self, start: float = 0.0, wall: float = 1_000_000.0):
        self._lock = threading.Lock()
        self._monotonic = start
        self._wall = wall

    def monotonic(self) -> float:
        """Returns the seconds advanced so far."""
        with self._lock:
            return self._monotonic

    def wall(self) -> float:
        """Returns the start value plus all advances and steps."""
        with self._lock:
            return self._wall

    def advance(self, seconds: float) -> None:
        """Moves both clocks forward by `seconds`."""
        with self._lock:
            self._monotonic += seconds
            self._wall += seconds

    def step_wall(self, seconds: float) -> None:
        """Moves only the wall clock, like a correction by a time service; `seconds` may be negative."""
        with self._lock:
            self._wall += seconds
