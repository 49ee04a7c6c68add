"""Clocks, passed to whatever measures time so that tests can control it."""

from __future__ import annotations

import abc
import threading
import time

__all__ = ["BootClock", "Clock", "ManualClock", "SystemClock"]


class Clock(abc.ABC):
    """Source of time. Leases and timeouts use `monotonic`, records use `wall`."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns seconds since an arbitrary start; never goes back."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns seconds since 1970; can step in both directions."""

    def wall_ms(self) -> int:
        """Returns the wall clock in whole milliseconds."""
        return int(self.wall() * 1000)


class SystemClock(Clock):
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Returns `time.monotonic`."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns `time.time`."""
        return time.time()


class BootClock(SystemClock):
    """The operating system's clock whose `monotonic` goes on while the VM is suspended.

    Leases need it: a leader that was suspended for longer than its lease must not believe that it still holds it.
    """

    def monotonic(self) -> float:
        """Returns the seconds since the VM has booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock for tests that moves only when told to.

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
        """Returns the wall clock, steps included."""
        with self._lock:
            return self._wall

    def advance(self, seconds: float) -> None:
        """Moves both clocks forward."""
        with self._lock:
            self._monotonic += seconds
            self._wall += seconds

    def step_wall(self, seconds: float) -> None:
        """Moves only the wall clock, as a time service does when it corrects it."""
        with self._lock:
            self._wall += seconds
