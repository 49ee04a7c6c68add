"""What this VM has seen of the servers of plain services in the last moments, without a clock of its own."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, fields
from typing import Any

__all__ = ["ServerCounts", "ServerObservations"]

_BUCKET_S = 0.125
_MAX_REPORTED = 256  # servers in one report


@dataclass(slots=True)
class ServerCounts:
    """Requests at one server within a span of time.

    `failed` counts sends without a whole answer, `errors` the answers with a status of 500 or more, which `answered`
    includes, `refused` the statements that a request has not run. `work_s` is the sum of the times of work of `worked`
    answers, without their wait in the queue of the server.

    >>> ServerCounts(failed=1).plus(ServerCounts(answered=3)).failure_share
    0.25
    """

    sent: int = 0
    answered: int = 0
    failed: int = 0
    refused: int = 0
    errors: int = 0
    worked: int = 0
    work_s: float = 0.0

    def add(self, other: Any) -> None:
        """Adds the counts of `other`, which has the same fields."""
        self.sent += other.sent
        self.answered += other.answered
        self.failed += other.failed
        self.refused += other.refused
        self.errors += other.errors
        self.worked += other.worked
        self.work_s += other.work_s

    def plus(self, other: Any) -> ServerCounts:
        """Returns the sum of these counts and those of `other`."""
        total = ServerCounts()
        total.add(self)
        total.add(other)
        return total

    @property
    def ended(self) -> int:
        """Number of sends that have ended."""
        return self.answered + self.refused + self.failed

    @property
    def failure_share(self) -> float:
        """Fraction of the sends that ended without a whole answer."""
        return self.failed / self.ended if self.ended else 0.0

    def is_empty(self) -> bool:
        """Returns whether nothing was counted."""
        return not any(getattr(self, field.name) for field in fields(self))


class ServerObservations:
    """Counts by server over the last `window_s` seconds. Every method takes the present time; calls must not overlap.

    >>> observations = ServerObservations(window_s=1.0)
    >>> observations.record("a", 0.0, failed=1)
    >>> observations.recent("a", 0.9).failed, observations.recent("a", 1.2).failed
    (1, 0)
    """

    __slots__ = ("_bucket_count", "_buckets_by_id")

    def __init__(self, window_s: float) -> None:
        self._bucket_count = round(window_s / _BUCKET_S)
        self._buckets_by_id: dict[str, deque[tuple[int, ServerCounts]]] = {}

    def record(self, backend: str, now: float, **counts: Any) -> None:
        """Adds `counts`, fields of `ServerCounts`, to those of a server."""
        number = int(now / _BUCKET_S)
        buckets = self._buckets_by_id.setdefault(backend, deque(maxlen=self._bucket_count))
        if not buckets or buckets[-1][0] != number:
            buckets.append((number, ServerCounts()))
        buckets[-1][1].add(ServerCounts(**counts))

    def recent(self, backend: str, now: float) -> ServerCounts:
        """Returns the counts of a server within the window."""
        total = ServerCounts()
        oldest = int(now / _BUCKET_S) - self._bucket_count
        for number, counts in self._buckets_by_id.get(backend, ()):
            if number > oldest:
                total.add(counts)
        return total

    def report(self, now: float) -> dict[str, ServerCounts]:
        """Returns the counts by id of the servers that were used within the window."""
        recent = {id_: self.recent(id_, now) for id_ in self._buckets_by_id}
        return dict([(id_, counts) for id_, counts in recent.items() if not counts.is_empty()][:_MAX_REPORTED])

    def prune(self, listed: Collection[str]) -> None:
        """Forgets the servers that are not `listed` any more."""
        for backend in [id_ for id_ in self._buckets_by_id if id_ not in listed]:
            del self._buckets_by_id[backend]
