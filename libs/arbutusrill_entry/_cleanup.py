"""Background jobs that are retried until they succeed or time out: cancellations and releases."""

from __future__ import annotations

import heapq
import itertools
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from arbutusrill_base import PartLog

__all__ = ["CleanupQueue"]

_THREAD_COUNT = 16
_MAX_QUEUED_JOBS = 10_000
_MAX_CLOSE_WAIT_S = 5.0
_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.5
_log = PartLog("cleanup")


@dataclass(slots=True, order=True)
class _Job:
    due_at: float
    sequence: int
    description: str = field(compare=False)
    run: Callable[[], bool] = field(compare=False)
    deadline: float = field(compare=False)
    on_end: Callable[[], None] | None = field(compare=False, default=None)
    backoff_s: float = field(compare=False, default=_INITIAL_BACKOFF_S)


class CleanupQueue:
    """Runs jobs on a thread pool and retries each with backoff until it returns True or times out.

    On exit, queued jobs get at most `_MAX_CLOSE_WAIT_S` more seconds. If `max_queued_jobs` jobs are queued already, or
    the queue is closing, a new job runs once in the caller's thread.
    """

    def __init__(self, threads: int = _THREAD_COUNT, max_queued_jobs: int = _MAX_QUEUED_JOBS):
        self._max_queued_jobs = max_queued_jobs
        self._changed = threading.Condition()
        self._jobs: list[_Job] = []
        self._running = 0
        self._sequence = itertools.count()
        self._closing = False
        self._executor = ThreadPoolExecutor(threads, thread_name_prefix="cleanup")
        self._threads = threads

    def __enter__(self) -> CleanupQueue:
        for _ in range(self._threads):
            self._executor.submit(self._run_jobs)
        return self

    def __exit__(self, *_: object) -> None:
        with self._changed:
            self._closing = True
            for job in self._jobs:
                job.deadline = min(job.deadline, time.monotonic() + _MAX_CLOSE_WAIT_S)
            self._changed.notify_all()
        self._executor.shutdown(wait=True)

    def add(
        self, description: str, run: Callable[[], bool], timeout_s: float, on_end: Callable[[], None] | None = None
    ) -> None:
        """Queues `run`, which is retried for `timeout_s` seconds until it returns True; then calls `on_end`.

        `description` names the job in the log lines about its failures.
        """
        now = time.monotonic()
        job = _Job(now, next(self._sequence), description, run, now + timeout_s, on_end)
        with self._changed:
            if not self._closing and len(self._jobs) < self._max_queued_jobs:
                heapq.heappush(self._jobs, job)
                self._changed.notify()
                return
        self._run_job(job, last_attempt=True)

    def pending_jobs(self) -> int:
        """Returns the number of jobs that are queued or running."""
        with self._changed:
            return len(self._jobs) + self._running

    def _run_jobs(self) -> None:
        while (job := self._next_job()) is not None:
            ended = self._run_job(job)
            with self._changed:
                self._running -= 1
                if not ended:
                    heapq.heappush(self._jobs, job)
                self._changed.notify_all()

    def _next_job(self) -> _Job | None:
        with self._changed:
            while True:
                now = time.monotonic()
                if self._jobs and self._jobs[0].due_at <= now:
                    self._running += 1
                    return heapq.heappop(self._jobs)
                if self._closing and not self._jobs and not self._running:
                    return None
                self._changed.wait(min(0.5, self._jobs[0].due_at - now) if self._jobs else 0.5)

    def _run_job(self, job: _Job, last_attempt: bool = False) -> bool:
        """Runs a job once; returns False, with the job's next start time set, if it is to be retried."""
        try:
            done = job.run()
        except Exception:
            _log.exception("cleanup job %s raised an exception", job.description)
            done = False
        now = time.monotonic()
        if not done and not last_attempt and now < job.deadline:
            job.due_at = now + job.backoff_s
            job.backoff_s = min(2 * job.backoff_s, _MAX_BACKOFF_S)
            return False
        if not done:
            _log.warning("cleanup job %s not acknowledged in time", job.description)
        if job.on_end is not None:
            job.on_end()
        return True
