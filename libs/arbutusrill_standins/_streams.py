"""Streams of tokens: produced by the clock, written to whichever connection is attached."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from ._counters import Counters
from ._faults import FaultSwitch
from ._held import Held, HeldTable

__all__ = ["Batch", "Stream", "StreamTable"]

_CHECK_S = 0.1
_WORDS = "the route stops at the school gate before eight and leaves when all children are seated".split()


class Batch:
    """The requests that an engine decodes together: the more there are, the longer the gap between tokens."""

    def __init__(self, table: HeldTable, faults: FaultSwitch, gap_s: float, slowdown: float):
        self._table = table
        self._faults = faults
        self._gap_s = gap_s
        self._slowdown = slowdown

    def gap_s(self) -> float:
        """Returns the present gap between two tokens of a stream, in seconds."""
        others = max(0, self._table.count("decode") - 1)
        return self._gap_s * (1 + self._slowdown * others) * self._faults.slowdown()

    def stalled_until(self) -> float:
        """Returns the end of a stall on the monotonic clock, or 0."""
        return self._faults.stalled_until()


class Stream:
    """The output of one request, from `first` up to `end` (exclusive), both offsets of tokens.

    `mark` is the text that each token repeats, and what to add to a token's offset to get its number.

    Token n is due at an absolute time, so that a late wake-up does not delay the tokens after it. Times
    are computed when they are first asked for.
    """

    def __init__(self, held: Held, batch: Batch, counters: Counters, mark: tuple[str, int], first: int, end: int):
        self.held = held
        self.begun = time.monotonic()
        self.first = first
        self.end = end
        self._batch = batch
        self._counters = counters
        self._mark = mark
        self._lock = threading.Lock()
        self._due = [self.begun + batch.gap_s()]
        self._not_before = 0.0
        self._attachment = 0

    def text(self, offset: int) -> str:
        """Returns the token at an offset: the prompt's mark with its number, or a word without a mark."""
        mark, shift = self._mark
        return f"{mark}.{offset + shift} " if mark else _WORDS[offset % len(_WORDS)] + " "

    def due(self, offset: int) -> float:
        """Returns when a token is due, on the monotonic clock."""
        with self._lock:
            while len(self._due) <= offset - self.first:
                self._due.append(max(self._due[-1], self._not_before) + self._batch.gap_s())
                self._counters.add("tokens_decoded")
            return self._due[offset - self.first]

    def wait(self, offset: int, stopped: Callable[[], bool]) -> bool:
        """Waits until a token is due; returns False when the request is cancelled or `stopped()` is true."""
        while not stopped() and not self.held.cancelled.is_set():
            now = time.monotonic()
            if self._batch.stalled_until() > now:
                self._not_before = now
                remaining = _CHECK_S
            else:
                remaining = self.due(offset) - now
            if remaining <= 0:
                return True
            self.held.cancelled.wait(min(remaining, _CHECK_S))
        return False

    def has_produced(self, offset: int) -> bool:
        """Says whether a stream can be resumed at an offset: no token before it is still to come."""
        return self.first <= offset <= self.first + len(self._due)

    def attach(self) -> int:
        """Gives the stream to a new connection and returns the attachment's number."""
        with self._lock:
            self._attachment += 1
            return self._attachment

    def attached(self, number: int) -> bool:
        """Says whether no later connection has taken the stream over."""
        return self._attachment == number


class StreamTable:
    """Streams that run, were cut or have ended less than `resume_s` ago, by request id."""

    def __init__(self, table: HeldTable, counters: Counters, resume_s: float):
        self._table = table
        self._counters = counters
        self._resume_s = resume_s
        self._lock = threading.Lock()
        self._stream_by_id: dict[str, Stream] = {}
        self._left_at_by_id: dict[str, float] = {}

    def add(self, stream: Stream) -> None:
        """Adds a stream; one of the same request that has no connection any more gives way."""
        request_id = stream.held.request_id
        with self._lock:
            old = self._stream_by_id.get(request_id)
            self._stream_by_id[request_id] = stream
            self._left_at_by_id.pop(request_id, None)
        if old is not None:
            old.held.cancelled.set()
            self._table.leave(old.held)

    def attach(self, request_id: str, offset: int) -> tuple[Stream | None, int]:
        """Returns a stream that can go on at `offset` with its new attachment, or None and a status."""
        with self._lock:
            stream = self._stream_by_id.get(request_id)
            if stream is None or stream.held.cancelled.is_set():
                return None, 404
            if not stream.has_produced(offset):
                return None, 416
            self._left_at_by_id.pop(request_id, None)
            return stream, stream.attach()

    def detach(self, stream: Stream, attachment: int, counter: str) -> None:
        """Notes that a stream has lost its connection or has ended; it can be resumed for a while."""
        with self._lock:
            request_id = stream.held.request_id
            if stream.attached(attachment) and self._stream_by_id.get(request_id) is stream:
                self._left_at_by_id.setdefault(request_id, time.monotonic())
                self._counters.add(counter)

    def drop(self, stream: Stream) -> None:
        """Forgets a stream and frees its place."""
        with self._lock:
            if self._stream_by_id.get(stream.held.request_id) is stream:
                del self._stream_by_id[stream.held.request_id]
                self._left_at_by_id.pop(stream.held.request_id, None)
        self._table.leave(stream.held)

    def sweep(self) -> None:
        """Frees the streams that were not resumed in time or were cancelled."""
        now = time.monotonic()
        with self._lock:
            over = [
                stream
                for key, stream in self._stream_by_id.items()
                if stream.held.cancelled.is_set() or now - self._left_at_by_id.get(key, now) >= self._resume_s
            ]
        for stream in over:
            stream.held.cancelled.set()
            self.drop(stream)
