"""Groups of long-running tasks on one bounded executor."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from ._logs import PartLog

__all__ = ["TaskGroup"]


class TaskGroup:
    """Runs tasks on a `ThreadPoolExecutor` and refuses more than its bound instead of queueing them.

    Used as a context manager: leaving it sets `stopping` and waits for the tasks, which are expected to
    watch that event.

    >>> with TaskGroup("doc", 2) as group:
    ...     future = group.start(lambda: 40 + 2)
    >>> future.result()
    42
    """

    def __init__(self, name: str, limit: int):
        self.stopping = threading.Event()
        self._log = PartLog(name)
        self._executor = ThreadPoolExecutor(limit, thread_name_prefix=name)
        self._places = threading.BoundedSemaphore(limit)

    def __enter__(self) -> TaskGroup:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def start(self, function: Callable[..., Any], *args: Any) -> Future | None:
        """Starts `function` in a thread of its own; returns None when all threads are taken."""
        if self.stopping.is_set() or not self._places.acquire(blocking=False):
            return None
        try:
            return self._executor.submit(self._run, function, args)
        except RuntimeError:
            self._places.release()
            return None

    def every(self, period: float, function: Callable[[], Any]) -> None:
        """Calls `function` every `period` seconds until the group stops; failures are logged."""

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
            self._places.release()

    def close(self, wait: bool = True) -> None:
        """Asks the tasks to stop and, by default, waits for them."""
        self.stopping.set()
        self._executor.shutdown(wait=wait, cancel_futures=True)
