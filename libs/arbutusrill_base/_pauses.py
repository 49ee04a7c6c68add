"""Detection of the times at which a process did not run."""

from __future__ import annotations

__all__ = ["PauseDetector"]

_PAUSE_FACTOR = 2  # intervals without an observation


class PauseDetector:
    """Tells how old something may be that is noticed after the process was suspended.

    It is observed about every `interval_s` seconds on a clock that includes suspended time, such as `BootClock`. A gap
    of more than twice that is a pause. Pauses that follow each other within an interval count as one, since a process
    that wakes up may be suspended again before it has looked at everything that arrived.

    >>> pauses = PauseDetector(0.25, 10.0)
    >>> pauses.earliest(10.2)
    10.2
    >>> pauses.earliest(14.0)
    10.2
    >>> pauses.earliest(14.5)
    14.5
    """

    __slots__ = ("_interval_s", "_observed_at", "_paused_from", "_paused_until")

    def __init__(self, interval_s: float, now: float):
        self._interval_s = interval_s
        self._observed_at = now
        self._paused_from = self._paused_until = float("-inf")

    def observe(self, now: float) -> None:
        """Records that the process runs."""
        if now - self._observed_at > _PAUSE_FACTOR * self._interval_s:
            if self._observed_at - self._paused_until > self._interval_s:
                self._paused_from = self._observed_at
            self._paused_until = now
        self._observed_at = max(self._observed_at, now)

    def earliest(self, now: float) -> float:
        """Returns the earliest time at which something may have happened that is noticed now.

        For one interval after a pause, that is the start of the pause; otherwise it is `now`.
        """
        self.observe(now)
        return self._paused_from if now - self._paused_until <= self._interval_s else now
