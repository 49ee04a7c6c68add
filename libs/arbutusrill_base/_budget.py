"""Retry budget, which limits retries to a fraction of recent requests, and retry backoff."""

from __future__ import annotations

import random
import threading

__all__ = ["RetryBudget", "backoff_s"]


class RetryBudget:
    """Token bucket that limits retries to a fraction of the requests; it starts full, with `reserve` retries.

    >>> budget = RetryBudget(fraction=0.1, reserve=1)
    >>> budget.try_acquire(), budget.try_acquire()
    (True, False)
    >>> for _ in range(10):
    ...     budget.record_request()
    >>> budget.try_acquire()
    True
    """

    def __init__(self, fraction: float = 0.1, reserve: float = 10):
        self._lock = threading.Lock()
        self._fraction = fraction
        self._reserve = reserve
        self._tokens = reserve

    def record_request(self) -> None:
        """Counts a first attempt, which adds `fraction` of a retry to the budget."""
        with self._lock:
            self._tokens = min(self._reserve, self._tokens + self._fraction)

    def set_fraction(self, fraction: float) -> None:
        """Sets the fraction of a retry that each later request adds."""
        with self._lock:
            self._fraction = fraction

    def set_reserve(self, reserve: float) -> None:
        """Sets the capacity of the budget in retries and discards saved retries above it."""
        with self._lock:
            self._reserve = reserve
            self._tokens = min(self._tokens, reserve)

    @property
    def is_short(self) -> bool:
        """Whether less than half of the budget is left."""
        with self._lock:
            return self._tokens <= 0 or self._tokens < self._reserve / 2

    def try_acquire(self) -> bool:
        """Takes one retry from the budget; returns False if less than one is left."""
        with self._lock:
            if self._tokens < 1 - 1e-9:
                return False
            self._tokens -= 1
            return True


def backoff_s(attempt: int, base: float = 0.05, limit: float = 2.0) -> float:
    """Returns the delay in seconds before retry `attempt` (from 1): exponential backoff with full jitter.

    The delay is uniform between 0 and the smaller of `limit` and `base` times 2 to the power of `attempt` - 1.
    """
    return random.uniform(0, min(limit, base * 2 ** (attempt - 1)))
