"""Background jobs that must succeed in the end: cancelling, releasing and recording."""

from __future__ import annotations

import heapq
import itertools
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from arbutusrill_base import PartLog

__all__ = ["Cleanup"]

_THREADS = 16
_BOUND = 10_000
_CLOSE_S = 5.0
_FIRST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 0.5
_log = PartLog("cleanup")


@dataclass(slots=True, order=True)
class _Job:
    due: float
    number: int
    what: str = field(compare=False)
    run: Callable[[], bool] = field(compare=False)
    give_up_at: float = field(compare=False)
    on_end: Callable[[], None] | None = field(compare=False, default=None)
    pause: float = field(compare=False, default=_FIRST_PAUSE_S)


class Cleanup:
    """Repeats jobs on a few threads until each returns True or its time has passed.

    Leaving the context waits at most `_CLOSE_S` seconds for the jobs that are left. At most `bound` jobs
    wait; a job above that runs once in the caller's thread.
    """

    def __init__(self, threads: int = _THREADS, bound: int = _BOUND):
        self._bound = bound
        self._wake = threading.Condition()
        self._jobs: list[_Job] = []
        self._running = 0
        self._numbers = itertools.count()
        self._closing = False
        self._executor = ThreadPoolExecutor(threads, thread_name_prefix="cleanup")
        self._threads = threads

    def __enter__(self) -> Cleanup:
        for _ in range(self._threads):
            self._executor.submit(self._work)
        return self

    def __exit__(self, *_: object) -> None:
        with self._wake:
            self._closing = True
            for job in self._jobs:
                job.give_up_at = min(job.give_up_at, time.monotonic() + _CLOSE_S)
            self._wake.notify_all()
        self._executor.shutdown(wait=True)

    def add(self, what: str, run: Callable[[], bool], for_s: float, on_end: Callable[[], None] | None = None) -> None:
        """Runs `run` at once and again until it returns True, for `for_s` seconds, then calls `on_end`.

        `what` names the job in the log line that is written when it does not succeed in time.
        """
        now = time.monotonic()
        job = _Job(now, next(self._numbers), what, run, now + for_s, on_end)
        with self._wake:
            if not self._closing and len(self._jobs) < self._bound:
                heapq.heappush(self._jobs, job)
                self._wake.notify()
                return
        self._attempt(job, last=True)

    def pending(self) -> int:
        """Returns the number of jobs that have not ended."""
        with self._wake:
            return len(self._jobs) + self._running

    def _work(self) -> None:
        while (job := self._next()) is not None:
            ended = self._attempt(job)
            with self._wake:
                self._running -= 1
                if not ended:
                    heapq.heappush(self._jobs, job)
                self._wake.notify_all()

    def _next(self) -> _Job | None:
        with self._wake:
            while True:
                now = time.monotonic()
                if self._jobs and self._jobs[0].due <= now:
                    self._running += 1
                    return heapq.heappop(self._jobs)
                if self._closing and not self._jobs and not self._running:
                    return None
                self._wake.wait(min(0.5, self._jobs[0].due - now) if self._jobs else 0.5)

    def _attempt(self, job: _Job, last: bool = False) -> bool:
        try:
            done = job.run()
        except Exception:
            _log.exception("%s failed", job.what)
            done = False
        now = time.monotonic()
        if not done and not last and now < job.give_up_at:
            job.due = now + job.pause
            job.pause = min(2 * job.pause, _LONGEST_PAUSE_S)
            return False
        if not done:
            _log.warning("%s not confirmed", job.what)
        if job.on_end is not None:
            job.on_end()
        return True
