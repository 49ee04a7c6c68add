"""Choice of the connection to close when connections run out: the one without progress for the longest time."""

from __future__ import annotations

import enum
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

__all__ = ["SlowConnections", "Stage"]

# A caller inside the limits reads or sends faster than `PROGRESS_BYTES` in `_MIN_SLOW_S`, or is done by then.
_MIN_SLOW_S = 3.0
_MIN_DISCARD_S = 0.2  # the response of a rejected request has been sent
PROGRESS_BYTES = 16 * 1024


class Stage(enum.Enum):
    """What a connection waits for its caller for."""

    HEAD = "head"
    BODY = "body"
    RESPONSE = "response"
    DISCARD = "discard"


class _Entry:
    """Since when a connection has made no progress, and the bytes since then."""

    __slots__ = ("acknowledged", "byte_count", "holds_memory", "since", "stage")

    def __init__(self, stage: Stage, holds_memory: Callable[[], bool], since: float):
        self.stage = stage
        self.holds_memory = holds_memory
        self.acknowledged: int | None = None  # bytes of responses, once the connection has looked slow
        self.since = since
        self.byte_count = 0


class SlowConnections:
    """The connections whose callers have to send or to read, with their progress.

    A connection makes progress with each `PROGRESS_BYTES`, not with each byte: a caller that sends or reads a few bytes
    now and then counts as slow. `clock` returns seconds. A blocked send returns only once a large part of the send
    buffer is free, however steadily the caller reads: `acknowledged_bytes` tells how many bytes of a connection have
    arrived. `has_input` tells whether bytes of the caller wait to be read, so that it is this VM that is slow.

    >>> now = [0.0]
    >>> slow = SlowConnections(lambda: now[0])
    >>> with slow.waiting("a", Stage.BODY):
    ...     now[0] = 5.0
    ...     slow.take_slowest(lambda connection: None)
    ('a', <Stage.BODY: 'body'>)
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        acknowledged_bytes: Callable[[Any], int] = lambda connection: 0,
        has_input: Callable[[Any], bool] = lambda connection: False,
    ):
        self._clock = clock
        self._acknowledged_bytes = acknowledged_bytes
        self._has_input = has_input
        self._lock = threading.Lock()
        self._entry_by_connection: dict[Any, _Entry] = {}

    @contextmanager
    def waiting(
        self, connection: Any, stage: Stage, holds_memory: Callable[[], bool] = lambda: False
    ) -> Iterator[None]:
        """Marks a connection as waiting for its caller until the context ends.

        `holds_memory` returns whether it holds memory for which others may wait.
        """
        with self._lock:
            self._entry_by_connection[connection] = _Entry(stage, holds_memory, self._clock())
        try:
            yield
        finally:
            with self._lock:
                self._entry_by_connection.pop(connection, None)

    def record_progress(self, connection: Any, byte_count: int) -> None:
        """Counts bytes that the caller has sent or read."""
        entry = self._entry_by_connection.get(connection)
        if entry is None:
            return
        entry.byte_count += byte_count
        if entry.byte_count >= PROGRESS_BYTES:
            entry.byte_count = 0
            entry.since = self._clock()

    def take_slowest(self, close: Callable[[Any], None], holding_memory: bool = False) -> tuple[Any, Stage] | None:
        """Calls `close` with the slowest connection, and returns it and its stage; None if no connection is slow.

        With `holding_memory`, only those that hold memory are considered.
        A connection that makes progress or ends meanwhile waits until `close` has returned.
        """
        with self._lock:
            now = self._clock()
            waits = {
                connection: now - entry.since
                for connection, entry in self._entry_by_connection.items()
                if (not holding_memory or entry.holds_memory()) and self._is_slow(connection, entry, now)
            }
            if not waits:
                return None
            slowest = max(waits, key=waits.get)
            stage = self._entry_by_connection.pop(slowest).stage
            close(slowest)
            return slowest, stage

    def _is_slow(self, connection: Any, entry: _Entry, now: float) -> bool:
        """Whether a connection has made no progress for long; a reader is looked at twice."""
        if now - entry.since < (_MIN_DISCARD_S if entry.stage is Stage.DISCARD else _MIN_SLOW_S):
            return False
        if entry.stage in (Stage.HEAD, Stage.BODY):
            return not self._has_input(connection)
        if entry.stage is Stage.RESPONSE:
            acknowledged, before = self._acknowledged_bytes(connection), entry.acknowledged
            if before is None or acknowledged - before >= PROGRESS_BYTES:
                entry.acknowledged, entry.since = acknowledged, now
                return False
        return True
