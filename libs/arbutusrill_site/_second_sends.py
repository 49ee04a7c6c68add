"""Limit and delay of second sends, on the leader: the copies of slow requests that may be repeated.

Nothing here has a thread, a lock or a clock of its own: events come in with their time, on the monotonic clock.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import AnswerTimes, EventLog

__all__ = ["SecondSendLimit", "SecondSends"]

_WINDOW_S = 10.0  # requests of this time can be followed by second sends
_BUDGET_SHARE = 0.3  # of the retry budget, the part that the retries of the entry VMs leave
# A request counts as slow after a high quantile of the answer times of its service, at the latest after a multiple of
# their median: while one of a few servers is slow, the quantile is that of the slow answers.
_DELAY_QUANTILE = 0.95
_MAX_DELAY_FACTOR = 3.0
_MIN_SAMPLES = 40  # answers from which the delay of a service counts as known
_LOG_INTERVAL_S = 1.0
_events = EventLog("second-sends")


@dataclass(slots=True, frozen=True)
class SecondSendLimit:
    """Limit of the second sends of a service in ten seconds.

    They are at most `fraction` of its requests that may be repeated, which the operators set, and at most
    `budget_fraction` of these requests and `budget_slack` more: the part of the retry budget that retries leave.

    >>> SecondSendLimit(fraction=0.1, budget_fraction=0.06, budget_slack=5).count(200)
    17.0
    """

    fraction: float
    budget_fraction: float = 0.0
    budget_slack: float = math.inf

    @classmethod
    def of(cls, fraction: float, bounds: Any) -> SecondSendLimit:
        """Returns the limit for a fraction of the requests within a budget of `retry_fraction` and `retry_slack`."""
        return cls(fraction, _BUDGET_SHARE * bounds.retry_fraction, _BUDGET_SHARE * bounds.retry_slack)

    def count(self, requests: int) -> float:
        """Returns the number of second sends that `requests` of the last ten seconds allow."""
        return min(self.fraction * requests, self.budget_fraction * requests + self.budget_slack)


class _ServiceSends:
    """Answer times, requests and second sends of one service."""

    __slots__ = ("_answer_times", "_granted_at", "_limit", "_request_count", "_requests", "granted", "refused")

    def __init__(self, limit: SecondSendLimit):
        self._limit = limit
        self._answer_times = AnswerTimes()
        self._requests: deque[tuple[float, int]] = deque()  # of the window
        self._request_count = 0
        self._granted_at: deque[float] = deque()  # second sends of the window
        self.granted = self.refused = 0

    def add_requests(self, count: int, now: float) -> None:
        """Adds requests, each of which allows for a fraction of a second send within the window."""
        if count > 0:
            self._requests.append((now, count))
            self._request_count += count
        self._bound(now)

    def _bound(self, now: float) -> None:
        while self._requests and now - self._requests[0][0] >= _WINDOW_S:
            self._request_count -= self._requests.popleft()[1]
        while self._granted_at and now - self._granted_at[0] > _WINDOW_S:
            self._granted_at.popleft()

    def rest(self, now: float) -> float:
        """Returns the number of second sends that may be made now."""
        self._bound(now)
        return self._limit.count(self._request_count) - len(self._granted_at)

    def add_answers(self, answer_ms: list[int], now: float) -> None:
        """Adds the times in milliseconds that good answers took."""
        for took_ms in answer_ms:
            self._answer_times.record(took_ms / 1000, now)

    def delay_ms(self) -> int | None:
        """Returns the time after which a request is slower than is usual; None while that is not known."""
        if self._answer_times.count < _MIN_SAMPLES:
            return None
        median_s, high_s = (self._answer_times.quantile(fraction) for fraction in (0.5, _DELAY_QUANTILE))
        return max(1, round(1000 * min(high_s, _MAX_DELAY_FACTOR * median_s)))

    def try_take(self, now: float) -> bool:
        """Takes one second send; returns False if the limit allows none now."""
        if self.rest(now) < 1 - 1e-9:
            self.refused += 1
            return False
        self._granted_at.append(now)
        self.granted += 1
        return True


class SecondSends:
    """Grants second sends for all VMs together: those of any ten seconds are within `limit`.

    A VM sees too few requests of a service to learn how long its answers usually take, and a limit for each VM would
    be less than one second send in the life of a burst. So the VMs report their requests and the times of their good
    answers, and ask before they send. What a VM has not reported yet allows for nothing: the limit errs on the side of
    too few. A new leader does not know what the one before it has granted, so it grants nothing for ten seconds.

    >>> sends = SecondSends(SecondSendLimit(fraction=0.1))
    >>> sends.report("vm-1", 7, "lookups", 0, [], now=0.0)
    >>> sends.report("vm-1", 7, "lookups", 400, [20] * 50, now=1.0)
    >>> sends.delay_ms_by_service()
    {'lookups': 23}
    >>> [sends.try_take("lookups", now=1.0) for _ in range(41)].count(True)
    40
    """

    def __init__(self, limit: SecondSendLimit):
        self.limit = limit
        self._grants_from = -math.inf
        self._by_service: dict[str, _ServiceSends] = {}
        self._reported_by_vm: dict[str, tuple[int, dict[str, int]]] = {}  # incarnation, total by service
        self._logged_at = float("-inf")

    def begin_term(self, now: float) -> None:
        """Forgets everything at the start of a term, and grants nothing until those of earlier terms are past."""
        self._grants_from = now + _WINDOW_S
        self._by_service.clear()
        self._reported_by_vm.clear()

    def report(self, vm: str, incarnation: int, service: str, total: int, answer_ms: list[int], now: float) -> None:
        """Adds what a VM has seen: `total` requests of a service since its start, and times of good answers.

        The first total of an incarnation only sets where counting begins: an earlier leader may have counted it.
        """
        if not self.limit.fraction:
            return
        known_incarnation, totals = self._reported_by_vm.get(vm, (incarnation, {}))
        if known_incarnation != incarnation:
            totals = {}
        sends = self._by_service.get(service)
        if sends is None:
            sends = self._by_service[service] = _ServiceSends(self.limit)
        sends.add_requests(total - totals.get(service, total), now)
        sends.add_answers(answer_ms, now)
        self._reported_by_vm[vm] = (incarnation, {**totals, service: total})

    def forget(self, vm: str) -> None:
        """Forgets a VM that has left."""
        self._reported_by_vm.pop(vm, None)

    def delay_ms_by_service(self) -> dict[str, int]:
        """Returns for each service the time in milliseconds after which a second send may be asked for."""
        delays = ((service, sends.delay_ms()) for service, sends in self._by_service.items())
        return {service: delay for service, delay in delays if delay is not None}

    def try_take(self, service: str, now: float) -> bool:
        """Grants one second send of a service if the limit allows it."""
        sends = self._by_service.get(service)
        is_granted = sends is not None and now > self._grants_from and sends.try_take(now)
        if sends is not None and now - self._logged_at >= _LOG_INTERVAL_S:
            self._logged_at = now
            _events.emit(
                "second_sends",
                service=service,
                granted=sends.granted,
                refused=sends.refused,
                rest=round(sends.rest(now), 2),
                delay_ms=sends.delay_ms(),
            )
        return is_granted
