"""When a request that may be repeated is sent once more to another server, and which of the two answers counts.

Nothing here has a thread or a clock of its own; calls from several threads may overlap.
"""

from __future__ import annotations

import enum
import math
import threading
from typing import Any

from ._attempt import AttemptResult, Outcome

__all__ = ["Race", "RepeatableRequests", "SecondSendPolicy", "Sender"]

_MAX_KEPT_ANSWERS = 50  # times of answers by service between two reports
_VERY_SLOW_FACTOR = 2.0  # of the objective, from which a copy is sent though it is late
_REFUSAL_MEMORY_S = 1.0  # after a server has turned a request of a service away, none of it is sent twice
# Multiples of the usual time of an answer: what is left for a copy before the objective, the least with which a copy
# can be in time, and the time before which no copy is sent for the sake of the objective.
_COPY_FACTOR = 2.0
_MIN_COPY_FACTOR = 1.5
_MIN_DELAY_FACTOR = 1.5
_SLOW_FACTOR = 3.0  # of the usual time, after which an answer is slow whatever the other requests of its service take
_MIN_REMAINING_FACTOR = 2.0  # of the usual time: with less left, a second answer would come too late


class RepeatableRequests:
    """Counts the requests of each service that may be repeated, and keeps the times of their good answers.

    >>> requests = RepeatableRequests()
    >>> requests.record_request("lookups")
    >>> requests.record_answer("lookups", 0.021)
    >>> requests.take_report()
    {'lookups': (1, [21])}
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._total_by_service: dict[str, int] = {}
        self._answer_ms_by_service: dict[str, list[int]] = {}

    def record_request(self, service: str) -> None:
        """Counts a request."""
        with self._lock:
            self._total_by_service[service] = self._total_by_service.get(service, 0) + 1

    def record_answer(self, service: str, took_s: float) -> None:
        """Keeps the time from a send to its good answer, in seconds."""
        with self._lock:
            kept = self._answer_ms_by_service.setdefault(service, [])
            if len(kept) < _MAX_KEPT_ANSWERS:
                kept.append(max(1, round(took_s * 1000)))

    def take_report(self) -> dict[str, tuple[int, list[int]]]:
        """Returns totals and new answer times in milliseconds by service, and forgets the times."""
        with self._lock:
            answers, self._answer_ms_by_service = self._answer_ms_by_service, {}
            return {service: (total, answers.get(service, [])) for service, total in self._total_by_service.items()}


class SecondSendPolicy:
    """Decides whether a slow request may be sent once more, and after which time. Times are on the monotonic clock.

    None is sent while servers of the service turn work away: a copy would take the place of a request.

    >>> policy = SecondSendPolicy()
    >>> policy.set_delays({"lookups": 80})
    >>> policy.delay_s("lookups", remaining_s=2.0, now=5.0)
    0.08
    >>> policy.record_refusal("lookups", now=5.0)
    >>> policy.delay_s("lookups", remaining_s=2.0, now=5.5) is None
    True
    """

    __slots__ = ("_delay_ms_by_service", "_refused_at_by_service")

    def __init__(self):
        self._delay_ms_by_service: dict[str, int] = {}
        self._refused_at_by_service: dict[str, float] = {}

    def set_delays(self, delay_ms_by_service: dict[str, int]) -> None:
        """Sets what the leader has learned from all VMs; services without a delay have no second sends."""
        self._delay_ms_by_service = dict(delay_ms_by_service)

    def record_refusal(self, service: str, now: float) -> None:
        """Records that a server has turned a request away."""
        self._refused_at_by_service[service] = now

    def delay_s(
        self, service: str, remaining_s: float, now: float, objective_s: float = math.inf, usual_s: float = 0.0
    ) -> float | None:
        """Returns the time without an answer after which a second send is due, None if there is to be none.

        `objective_s` is what is left of the objective, and `usual_s` the expected time of an answer of another server.
        A copy is most useful at the last moment at which it is still likely to be in time: an earlier one often
        replaces an answer that would have been in time too, a later one is late as well.
        """
        delay_ms = self._delay_ms_by_service.get(service)
        if delay_ms is None or self.is_short(service, now):
            return None
        delay_s = delay_ms / 1000
        if objective_s >= (_MIN_DELAY_FACTOR + _MIN_COPY_FACTOR) * usual_s:
            in_time_s = max(_MIN_DELAY_FACTOR * usual_s, objective_s - _COPY_FACTOR * usual_s)
            delay_s = min(in_time_s, max(delay_s, _SLOW_FACTOR * usual_s))
        return delay_s if remaining_s > _MIN_REMAINING_FACTOR * delay_s else None

    def is_sooner(self, expected_s: float, took_s: float) -> bool:
        """Whether another server is expected to answer in less time than the first one has had.

        While all servers have long queues, a copy waits as long as its request and makes others wait longer.
        """
        return expected_s < took_s

    def is_in_time(self, expected_s: float, took_s: float, objective_s: float) -> bool:
        """Whether a copy is expected within the objective, or the request, which arrived `took_s` ago, is very slow.

        Between the two, a copy would use up the limit for an answer that is late in any case.
        """
        return expected_s <= objective_s - took_s or took_s >= _VERY_SLOW_FACTOR * objective_s

    def is_short(self, service: str, now: float) -> bool:
        """Whether servers of a service have turned work away lately."""
        return now - self._refused_at_by_service.get(service, float("-inf")) < _REFUSAL_MEMORY_S


class Sender(enum.Enum):
    """Which of the two sends of a request."""

    FIRST = "first"
    SECOND = "second"


class Race:
    """Decides between the answers of two sends of one request: the first good one counts, and only that one.

    A good answer is a complete one that is no error of the server. While the other send goes on, an answer that is not
    good waits for it. What a send that has lost brings is dropped, so that no two answers are mixed.

    >>> race = Race()
    >>> race.start_second()
    True
    >>> failed = AttemptResult(Outcome.BROKEN, None, b"", "reset", 0.1)
    >>> race.finish(Sender.FIRST, None, failed), race.winner
    (False, None)
    """

    __slots__ = ("_has_started", "_lock", "_result_by_sender", "has_second", "winner")

    def __init__(self):
        self._lock = threading.Lock()
        self._has_started = False
        self._result_by_sender: dict[Sender, tuple[Any, AttemptResult]] = {}
        self.has_second = False
        self.winner: Sender | None = None

    @property
    def may_start_second(self) -> bool:
        """Whether a second send may begin: the request has no answer yet and was not sent twice."""
        return not self._has_started and self.winner is None and Sender.FIRST not in self._result_by_sender

    def start_second(self) -> bool:
        """Begins the second send; returns False if the request has an answer or was sent twice already."""
        with self._lock:
            if not self.may_start_second:
                return False
            self._has_started = self.has_second = True
            return True

    def withdraw_second(self) -> None:
        """Takes the second send back before it was sent; the first one is alone again."""
        with self._lock:
            self.has_second = False
            if self.winner is None and Sender.FIRST in self._result_by_sender:
                self.winner = Sender.FIRST

    def claim(self, sender: Sender) -> bool:
        """Decides for a send whose answer is about to be forwarded while it arrives; returns whether it may be."""
        with self._lock:
            if self.winner is None:
                self.winner = sender
            return self.winner is sender

    def finish(self, sender: Sender, candidate: Any, result: AttemptResult) -> bool:
        """Records the end of a send; returns whether the race is decided."""
        with self._lock:
            self._result_by_sender[sender] = (candidate, result)
            if self.winner is None and _is_good(result):
                self.winner = sender
            if self.winner is None and (not self.has_second or len(self._result_by_sender) == len(Sender)):
                self.winner = Sender.FIRST  # neither is good: what the first server said counts
            return self.winner is not None

    def has_lost(self, sender: Sender) -> bool:
        """Whether the other send has won, so that this one is to be cancelled."""
        return self.winner is not None and self.winner is not sender

    def outcome(self) -> tuple[Any, AttemptResult]:
        """Returns the server and the result of the send that counts."""
        with self._lock:
            return self._result_by_sender[self.winner]


def _is_good(result: AttemptResult) -> bool:
    return result.outcome is Outcome.ANSWERED and result.response.status < 500
