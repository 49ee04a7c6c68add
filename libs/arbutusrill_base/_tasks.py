"""Groups of long-running tasks on a thread pool without a queue."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from ._logs import PartLog

__all__ = ["TaskGroup"]


class TaskGroup:
    """Runs at most `limit` tasks at a time, each in a thread, and rejects further ones instead of queueing them.

    As a context manager it sets `stopping` on exit and waits for the tasks, which must return once that event is set.

    >>> with TaskGroup("doc", 2) as group:
    ...     future = group.start(lambda: 40 + 2)
    >>> future.result()
    42
    """

    def __init__(self, name: str, limit: int):
        self.stopping = threading.Event()
        self._log = PartLog(name)
        self._executor = ThreadPoolExecutor(limit, thread_name_prefix=name)
        self._free_threads = threading.BoundedSemaphore(limit)

    def __enter__(self) -> TaskGroup:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def start(self, function: Callable[..., Any], *args: Any) -> Future | None:
        """Runs `function` in a thread; returns None if all threads are in use or the group is stopping."""
        if self.stopping.is_set() or not self._free_threads.acquire(blocking=False):
            return None
        try:
            return self._executor.submit(self._run, function, args)
        except RuntimeError:
            self._free_threads.release()
            return None

    def run_periodically(self, period: float, function: Callable[[], Any]) -> None:
        """Calls `function` every `period` seconds until the group stops; its exceptions are logged.

        The calls occupy one thread of the group. Raises `RuntimeError` if none is free.
        """

        def loop() -> None:
            while not self.stopping.wait(period):
                try:
                    function()
                except Exception:
                    self._log.exception("periodic task %s failed", getattr(function, "__name__", function))

        if self.start(loop) is None:
            raise RuntimeError("task group has no thread left for a periodic task")

    def _run(self, function: Callable[..., Any], args: tuple) -> Any:
        try:
            return function(*args)
        except Exception:
            self._log.exception("task %s failed", getattr(function, "__name__", function))
            raise
        finally:
            self._free_threads.release()

    def close(self, wait: bool = True) -> None:
        """Sets `stopping`, cancels tasks that have not started and, by default, waits for the others."""
        self.stopping.set()
        self._executor.shutdown(wait=wait, cancel_futures=True)
