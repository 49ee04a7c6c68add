"""Retry budget: retries may only be a fixed part of recent requests."""

from __future__ import annotations

import random
import threading

__all__ = ["RetryBudget", "backoff_s"]


class RetryBudget:
    """Allows retries up to a fraction of the requests seen, with a small reserve for quiet times.

    >>> budget = RetryBudget(fraction=0.1, reserve=1)
    >>> budget.take(), budget.take()
    (True, False)
    >>> for _ in range(10):
    ...     budget.request()
    >>> budget.take()
    True
    """

    def __init__(self, fraction: float = 0.1, reserve: float = 10):
        self._lock = threading.Lock()
        self._fraction = fraction
        self._reserve = reserve
        self._tokens = reserve

    def request(self) -> None:
        """Counts a first attempt, which earns a fraction of a retry."""
        with self._lock:
            self._tokens = min(self._reserve, self._tokens + self._fraction)

    def set_fraction(self, fraction: float) -> None:
        """Changes how much of a retry each further request earns."""
        with self._lock:
            self._fraction = fraction

    def set_reserve(self, reserve: float) -> None:
        """Changes how many retries may be saved up; what is above it is lost."""
        with self._lock:
            self._reserve = reserve
            self._tokens = min(self._tokens, reserve)

    def take(self) -> bool:
        """Takes one retry from the budget; returns whether there was one."""
        with self._lock:
            if self._tokens < 1 - 1e-9:
                return False
            self._tokens -= 1
            return True


def backoff_s(attempt: int, base: float = 0.05, limit: float = 2.0) -> float:
    """Returns a random pause in seconds before retry number `attempt` (from 1), full jitter."""
    return random.uniform(0, min(limit, base * 2 ** (attempt - 1)))
