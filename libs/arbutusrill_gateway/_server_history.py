"""Time of work and share of failures of one server of a plain service, learned from the counts of all VMs."""

from __future__ import annotations

import math

from ._observations import ServerCounts

__all__ = ["MIN_WORK_S", "ServerHistory"]

MIN_WORK_S = 0.0005
_WORK_S = 1.0  # time constant of the time of work
_FAILURES_S = 2.0  # and of the share of failures
_MIN_WORKED = 4  # answers from which the time of work is learned
_PRIOR_ENDED = 4.0  # weight of the assumption that a server fails nothing


class ServerHistory:
    """Estimates for one server, updated with each report. `work_s` is 0 before the first answer.

    >>> history = ServerHistory(now=0.0)
    >>> history.learn(ServerCounts(answered=6, worked=6, work_s=0.6), slots=8, window_s=0.5, now=0.5)
    >>> round(history.work_s, 3), history.failure_share(ServerCounts(), usual_error_share=0.0)
    (0.1, 0.0)
    """

    __slots__ = ("_answered", "_ended", "_errors", "_failed", "_learned_at", "work_s")

    def __init__(self, now: float):
        self.work_s = 0.0
        self._learned_at = now
        self._ended = self._failed = self._answered = self._errors = 0.0

    def learn(self, counts: ServerCounts, slots: int, window_s: float, now: float) -> None:
        """Takes in the counts of the last `window_s` seconds; earlier ones lose weight with time.

        The time of work cannot exceed what the number of answers shows: estimates from single answers are too long
        while more requests wait at a server than the reports show.
        """
        elapsed_s = min(window_s, max(0.0, now - self._learned_at))
        self._learned_at = now
        decay, part = math.exp(-elapsed_s / _FAILURES_S), elapsed_s / window_s
        self._ended = self._ended * decay + counts.ended * part
        self._failed = self._failed * decay + counts.failed * part
        self._answered = self._answered * decay + counts.answered * part
        self._errors = self._errors * decay + counts.errors * part
        if counts.worked >= _MIN_WORKED:
            mean_s = min(counts.work_s / counts.worked, slots * window_s / counts.answered)
            known_s = self.work_s or mean_s
            self.work_s = max(MIN_WORK_S, mean_s + (known_s - mean_s) * math.exp(-elapsed_s / _WORK_S))

    @property
    def error_share(self) -> float:
        """Fraction of the answers that are errors."""
        return self._errors / (self._answered + _PRIOR_ENDED)

    def failure_share(self, recent: ServerCounts, usual_error_share: float) -> float:
        """Returns the fraction of the sends that fail, with the errors above the usual share of the service.

        It is the higher one of `recent` counts and of those that were learned, so that it rises at once.
        """
        unusual_errors = max(0.0, self._errors - usual_error_share * self._answered)
        learned = (self._failed + unusual_errors) / (self._ended + _PRIOR_ENDED)
        return max(learned, recent.failed / (recent.ended + _PRIOR_ENDED))
