"""Circuit breaking of a backend server, with slow start on its return."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["Health"]

WINDOW_S = 10.0  # results older than this say nothing about the server's present state
MIN_FAILURES = 3  # one or two failed connections happen to healthy servers
FAILED_PART = 0.5  # part of the results in the window that must have failed
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
SLOW_START_S = 5.0
_KEPT_RESULTS = 20


@dataclass(slots=True)
class Health:
    """Results of one server's recent requests. Times are monotonic, in seconds.

    A server is ejected after `MIN_FAILURES` failed requests that are at least half of its recent results.
    It returns after 1 s, doubled for each ejection in a row, and then takes up its slots over `SLOW_START_S`.
    """

    returned_at: float = float("-inf")
    ejected_until: float = float("-inf")
    ejections: int = 0
    _results: deque[tuple[float, str, bool]] = field(default_factory=lambda: deque(maxlen=_KEPT_RESULTS))

    def succeeded(self, now: float) -> None:
        """Records a request that the server served."""
        self._results.append((now, "", True))
        if now - self.returned_at > SLOW_START_S:
            self.ejections = 0

    def failed(self, now: float, ticket: str) -> bool:
        """Records a failed request and returns whether the server should be ejected.

        Several failures of one request count once: one silent connection can break its prefill and its decode.
        """
        if any(ticket == known for _, known, ok in self._results if not ok):
            return False
        self._results.append((now, ticket, False))
        recent = [ok for at, _, ok in self._results if now - at < WINDOW_S]
        failures = recent.count(False)
        return failures >= MIN_FAILURES and failures >= FAILED_PART * len(recent)

    def eject(self, now: float) -> float:
        """Takes the server out and returns when it is due back."""
        span = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = self.returned_at = now + span
        self._results.clear()
        return self.ejected_until

    def ejected(self, now: float) -> bool:
        """Says whether the server is out at present."""
        return now < self.ejected_until

    def restart(self, now: float) -> None:
        """Begins a slow start, as for a new run of a known server."""
        self._results.clear()
        self.ejected_until = float("-inf")
        self.returned_at = now

    def usable_part(self, now: float) -> float:
        """Returns the part of its slots that the server may use, from 0 to 1.

        >>> health = Health()
        >>> health.restart(10.0)
        >>> health.usable_part(12.5)
        0.5
        """
        if now < self.ejected_until:
            return 0.0
        return min(1.0, max(0.1, (now - self.returned_at) / SLOW_START_S))
