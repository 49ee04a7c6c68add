"""Circuit breaker of a backend server, with slow start after an ejection."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["Health"]

RESULT_WINDOW_S = 10.0  # older results do not show the server's current state
MIN_FAILURES = 3  # one or two failed connections also occur on healthy servers
MIN_FAILED_FRACTION = 0.5  # of the results in the window
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
SLOW_START_S = 5.0
_MAX_RESULTS = 20


@dataclass(slots=True)
class Health:
    """Recent request results of one server, and its ejection state. Times are monotonic, in seconds.

    A server is ejected after `MIN_FAILURES` failed requests if they are at least `MIN_FAILED_FRACTION` of its recent
    results. The first ejection lasts `FIRST_EJECTION_S`, each consecutive one twice as long, up to `MAX_EJECTION_S`.
    Afterwards the usable slots grow over `SLOW_START_S`.
    """

    returned_at: float = float("-inf")
    ejected_until: float = float("-inf")
    ejections: int = 0
    _results: deque[tuple[float, str, bool]] = field(default_factory=lambda: deque(maxlen=_MAX_RESULTS))

    def record_success(self, now: float) -> None:
        """Records a successful request; after slow start the next ejection is a first one again."""
        self._results.append((now, "", True))
        if now - self.returned_at > SLOW_START_S:
            self.ejections = 0

    def record_failure(self, now: float, ticket: str) -> bool:
        """Records a failed request and returns whether the server should be ejected.

        Failures of the same ticket count once: one broken connection can fail both its prefill and its decode.
        """
        if any(ticket == known for _, known, ok in self._results if not ok):
            return False
        self._results.append((now, ticket, False))
        recent = [ok for at, _, ok in self._results if now - at < RESULT_WINDOW_S]
        failures = recent.count(False)
        return failures >= MIN_FAILURES and failures >= MIN_FAILED_FRACTION * len(recent)

    def eject(self, now: float) -> float:
        """Ejects the server and returns when the ejection ends."""
        duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = self.returned_at = now + duration_s
        self._results.clear()
        return self.ejected_until

    def is_ejected(self, now: float) -> bool:
        """Returns whether the server is ejected."""
        return now < self.ejected_until

    def begin_slow_start(self, now: float) -> None:
        """Starts a slow start, as after a restart of the server."""
        self._results.clear()
        self.ejected_until = float("-inf")
        self.returned_at = now

    def usable_fraction(self, now: float) -> float:
        """Returns the fraction of the slots that may be used, from 0 to 1.

        >>> health = Health()
        >>> health.begin_slow_start(10.0)
        >>> health.usable_fraction(12.5)
        0.5
        """
        if now < self.ejected_until:
            return 0.0
        return min(1.0, max(0.1, (now - self.returned_at) / SLOW_START_S))
