"""Structured log that never blocks: one JSON object per line on standard output.

Lines above the rate limit, or while the queue is full, are dropped and counted; the next line written reports the
count. A separate thread writes the lines, so that a blocked standard output does not delay requests.
"""

from __future__ import annotations

import json
import logging
import math
import queue
import sys
import threading
import time
from typing import Any, TextIO

__all__ = ["EventLog", "EventWriter", "write_events"]

_MAX_QUEUED_LINES = 2000
_MAX_LINES_PER_S = 400.0
_MAX_BURST_LINES = 1000.0
_MAX_TEXT_CHARS = 300  # per field
_writer: EventWriter | None = None


class EventWriter:
    """Writes events to a stream from a background thread.

    A token bucket limits the lines to `rate` per second, with bursts of up to `burst`.
    """

    def __init__(self, stream: TextIO, vm: str, rate: float = _MAX_LINES_PER_S, burst: float = _MAX_BURST_LINES):
        self._stream = stream
        self._vm = vm
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()
        self._queue: queue.Queue[dict[str, Any] | None] = queue.Queue(_MAX_QUEUED_LINES)
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, name="events", daemon=True)
        self._thread.start()

    def put(self, event: dict[str, Any]) -> None:
        """Queues an event, or drops it when the rate limit is reached or the queue is full; never blocks."""
        with self._lock:
            now = time.monotonic()
            self._tokens = min(self._burst, self._tokens + self._rate * (now - self._refilled_at))
            self._refilled_at = now
            if self._tokens < 1:
                self.dropped += 1
                return
            self._tokens -= 1
        event["time"] = round(time.time(), 4)
        try:
            self._queue.put_nowait(event)
        except queue.Full:
            self.dropped += 1

    def close(self, timeout: float = 1.0) -> None:
        """Flushes the queue and stops the thread.

        Waits at most `timeout` seconds for room in the queue, and again for the thread to end.
        """
        try:
            self._queue.put(None, timeout=timeout)
        except queue.Full:
            return
        self._thread.join(timeout)

    def _run(self) -> None:
        reported_dropped = 0
        while (event := self._queue.get()) is not None:
            event["vm"] = self._vm
            if self.dropped != reported_dropped:
                event["lines_dropped"] = self.dropped - reported_dropped
                reported_dropped = self.dropped
            try:
                self._stream.write(json.dumps(event, default=str, ensure_ascii=True) + "\n")
                if self._queue.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                self.dropped += 1  # the stream is closed, so the error cannot be reported


class EventLog:
    """Emits the events of one part of the program.

    Events are discarded until `write_events` is called, so tests and tools print none.

    >>> EventLog("doc").emit("started", version=1)
    """

    __slots__ = ("_part",)

    def __init__(self, part: str):
        self._part = part

    def emit(self, event: str, **fields: Any) -> None:
        """Queues an event with its fields.

        Strings are cut at 300 characters, floats are rounded to 4 decimals and become null when they are not finite.
        """
        if _writer is None:
            return
        line: dict[str, Any] = {"part": self._part, "event": event}
        for name, value in fields.items():
            if isinstance(value, float):
                value = round(value, 4) if math.isfinite(value) else None
            line[name] = value[:_MAX_TEXT_CHARS] if isinstance(value, str) else value
        _writer.put(line)


class _EventHandler(logging.Handler):
    """Forwards records of the standard logging module as events."""

    def emit(self, record: logging.LogRecord) -> None:
        if _writer is not None:
            fields = {"part": "log", "event": record.levelname.lower(), "message": record.getMessage()}
            if record.exc_info and record.exc_info[1] is not None:
                fields["error"] = logging.Formatter().formatException(record.exc_info)[-2000:]
            _writer.put(fields)


def write_events(vm: str, stream: TextIO | None = None) -> EventWriter:
    """Sends events and the records of the standard logging module to `stream` (default: standard output).

    Replaces all handlers of the root logger and sets its level to INFO.
    """
    global _writer
    _writer = EventWriter(stream or sys.stdout, vm)
    root = logging.getLogger()
    root.handlers[:] = [_EventHandler()]
    root.setLevel(logging.INFO)
    return _writer
