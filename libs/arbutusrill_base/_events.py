"""Structured log: one JSON object a line on standard output, bounded and never blocking.

A line that finds the queue full or the rate spent is dropped and counted; the next line that is written says how many
were dropped. A thread of its own writes, so that a reader that stops reading never holds up a request.
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

_QUEUE_LINES = 2000
_RATE_LINES_S = 400.0
_BURST_LINES = 1000.0
_MAX_TEXT = 300  # characters of one value
_sink: EventWriter | None = None


class EventWriter:
    """Writes event lines to a stream from a thread of its own.

    At most `rate` lines a second are taken over time, and `burst` at once.
    """

    def __init__(self, stream: TextIO, vm: str, rate: float = _RATE_LINES_S, burst: float = _BURST_LINES):
        self._stream = stream
        self._vm = vm
        self._rate = rate
        self._burst = burst
        self._allowed = burst
        self._counted_at = time.monotonic()
        self._lock = threading.Lock()
        self._queue: queue.Queue[dict[str, Any] | None] = queue.Queue(_QUEUE_LINES)
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, name="events", daemon=True)
        self._thread.start()

    def put(self, event: dict[str, Any]) -> None:
        """Queues one event or drops it; never waits."""
        with self._lock:
            now = time.monotonic()
            self._allowed = min(self._burst, self._allowed + self._rate * (now - self._counted_at))
            self._counted_at = now
            if self._allowed < 1:
                self.dropped += 1
                return
            self._allowed -= 1
        event["time"] = round(time.time(), 4)
        try:
            self._queue.put_nowait(event)
        except queue.Full:
            self.dropped += 1

    def close(self, timeout: float = 1.0) -> None:
        """Writes what is queued, for at most `timeout` seconds."""
        try:
            self._queue.put(None, timeout=timeout)
        except queue.Full:
            return
        self._thread.join(timeout)

    def _run(self) -> None:
        reported = 0
        while (event := self._queue.get()) is not None:
            event["vm"] = self._vm
            if self.dropped != reported:
                event["lines_dropped"] = self.dropped - reported
                reported = self.dropped
            try:
                self._stream.write(json.dumps(event, default=str, ensure_ascii=True) + "\n")
                if self._queue.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                self.dropped += 1  # standard output is closed: there is nowhere left to say so


class EventLog:
    """Emits the events of one part of the program.

    Without a writer, as in tests and tools, events are discarded.

    >>> EventLog("doc").emit("started", version=1)
    """

    __slots__ = ("_part",)

    def __init__(self, part: str):
        self._part = part

    def emit(self, event: str, **fields: Any) -> None:
        """Writes an event with its fields; texts are cut at 300 characters."""
        if _sink is None:
            return
        line: dict[str, Any] = {"part": self._part, "event": event}
        for name, value in fields.items():
            if isinstance(value, float):
                value = round(value, 4) if math.isfinite(value) else None
            line[name] = value[:_MAX_TEXT] if isinstance(value, str) else value
        _sink.put(line)


class _Handler(logging.Handler):
    """Turns the records of the standard logging module into events."""

    def emit(self, record: logging.LogRecord) -> None:
        if _sink is not None:
            fields = {"part": "log", "event": record.levelname.lower(), "message": record.getMessage()}
            if record.exc_info and record.exc_info[1] is not None:
                fields["error"] = logging.Formatter().formatException(record.exc_info)[-2000:]
            _sink.put(fields)


def write_events(vm: str, stream: TextIO | None = None) -> EventWriter:
    """Sends all events, and all records of the standard logging module, to `stream` (standard output)."""
    global _sink
    _sink = EventWriter(stream or sys.stdout, vm)
    root = logging.getLogger()
    root.handlers[:] = [_Handler()]
    root.setLevel(logging.INFO)
    return _sink
