"""Resumable token streams, whose tokens become due at computed times independent of the connection."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from ._counters import Counters
from ._faults import FaultInjector
from ._request_table import ActiveRequest, RequestTable

__all__ = ["DecodeBatch", "TokenStream", "StreamTable"]

_POLL_INTERVAL_S = 0.1
_FILLER_WORDS = "the route stops at the school gate before eight and leaves when all children are seated".split()


class DecodeBatch:
    """Decode batch of an engine: the gap between tokens grows linearly with the number of streams."""

    def __init__(
        self, request_table: RequestTable, faults: FaultInjector, token_gap_s: float, slowdown_per_stream: float
    ):
        self._request_table = request_table
        self._faults = faults
        self._base_gap_s = token_gap_s
        self._slowdown_per_stream = slowdown_per_stream

    def token_gap_s(self) -> float:
        """Returns the current gap between two tokens of a stream, in seconds."""
        other_streams = max(0, self._request_table.count("decode") - 1)
        return self._base_gap_s * (1 + self._slowdown_per_stream * other_streams) * self._faults.slowdown_factor()

    def stalled_until(self) -> float:
        """Returns the end of the latest injected stall as monotonic time, or 0 without any."""
        return self._faults.stalled_until()


class TokenStream:
    """Output tokens of one request at the offsets from `first_offset` to `end_offset` (exclusive).

    `mark` holds the label that each token repeats and the difference between a token's number and its offset.

    Each token is due at an absolute time, so that a late wake-up does not delay the following tokens. Due times
    are computed on first use.
    """

    def __init__(
        self,
        request: ActiveRequest,
        batch: DecodeBatch,
        counters: Counters,
        mark: tuple[str, int],
        first_offset: int,
        end_offset: int,
    ):
        self.request = request
        self.started_at = time.monotonic()
        self.first_offset = first_offset
        self.end_offset = end_offset
        self._batch = batch
        self._counters = counters
        self._mark = mark
        self._lock = threading.Lock()
        self._due_times = [self.started_at + batch.token_gap_s()]
        self._earliest_due = 0.0
        self._attachment_number = 0

    def text(self, offset: int) -> str:
        """Returns the token at an offset: the mark with the token's number, or a filler word without a mark."""
        mark, number_shift = self._mark
        return f"{mark}.{offset + number_shift} " if mark else _FILLER_WORDS[offset % len(_FILLER_WORDS)] + " "

    def due_time(self, offset: int) -> float:
        """Returns the monotonic time at which a token is due."""
        with self._lock:
            while len(self._due_times) <= offset - self.first_offset:
                self._due_times.append(max(self._due_times[-1], self._earliest_due) + self._batch.token_gap_s())
                self._counters.add("tokens_decoded")
            return self._due_times[offset - self.first_offset]

    def wait(self, offset: int, should_stop: Callable[[], bool]) -> bool:
        """Waits until a token is due; returns False if the request is cancelled or `should_stop()` is true before."""
        while not should_stop() and not self.request.cancelled.is_set():
            now = time.monotonic()
            if self._batch.stalled_until() > now:
                self._earliest_due = now
                remaining_s = _POLL_INTERVAL_S
            else:
                remaining_s = self.due_time(offset) - now
            if remaining_s <= 0:
                return True
            self.request.cancelled.wait(min(remaining_s, _POLL_INTERVAL_S))
        return False

    def can_resume_at(self, offset: int) -> bool:
        """Returns whether the stream contains `offset` and the due times of all earlier tokens are known."""
        return self.first_offset <= offset <= self.first_offset + len(self._due_times)

    def attach(self) -> int:
        """Attaches the stream to a new connection, which detaches the previous one; returns the attachment number."""
        with self._lock:
            self._attachment_number += 1
            return self._attachment_number

    def is_attached(self, number: int) -> bool:
        """Returns whether attachment `number` is the latest one."""
        return self._attachment_number == number


class StreamTable:
    """Running streams, and those broken or ended less than `resume_window_s` ago, by request id. Thread-safe."""

    def __init__(self, request_table: RequestTable, counters: Counters, resume_window_s: float):
        self._request_table = request_table
        self._counters = counters
        self._resume_window_s = resume_window_s
        self._lock = threading.Lock()
        self._stream_by_id: dict[str, TokenStream] = {}
        self._detached_at_by_id: dict[str, float] = {}

    def add(self, stream: TokenStream) -> None:
        """Adds a stream; cancels and replaces an earlier stream of the same request."""
        request_id = stream.request.request_id
        with self._lock:
            previous = self._stream_by_id.get(request_id)
            self._stream_by_id[request_id] = stream
            self._detached_at_by_id.pop(request_id, None)
        if previous is not None:
            previous.request.cancelled.set()
            self._request_table.release(previous.request)

    def attach(self, request_id: str, offset: int) -> tuple[TokenStream | None, int]:
        """Attaches a stream for resumption at `offset`.

        Returns the stream and its attachment number, or None and the HTTP status.
        """
        with self._lock:
            stream = self._stream_by_id.get(request_id)
            if stream is None or stream.request.cancelled.is_set():
                return None, 404
            if not stream.can_resume_at(offset):
                return None, 416
            self._detached_at_by_id.pop(request_id, None)
            return stream, stream.attach()

    def detach(self, stream: TokenStream, attachment: int, counter: str) -> None:
        """Starts the resume window of a stream that has ended or lost its connection, and increments `counter`.

        Does nothing if the stream is attached to a later connection or was replaced.
        """
        with self._lock:
            request_id = stream.request.request_id
            if stream.is_attached(attachment) and self._stream_by_id.get(request_id) is stream:
                self._detached_at_by_id.setdefault(request_id, time.monotonic())
                self._counters.add(counter)

    def remove(self, stream: TokenStream) -> None:
        """Removes a stream and frees its decode slot."""
        with self._lock:
            if self._stream_by_id.get(stream.request.request_id) is stream:
                del self._stream_by_id[stream.request.request_id]
                self._detached_at_by_id.pop(stream.request.request_id, None)
        self._request_table.release(stream.request)

    def sweep(self) -> None:
        """Removes the streams that were cancelled or not resumed within the resume window."""
        now = time.monotonic()
        with self._lock:
            expired = [
                stream
                for key, stream in self._stream_by_id.items()
                if stream.request.cancelled.is_set()
                or now - self._detached_at_by_id.get(key, now) >= self._resume_window_s
            ]
        for stream in expired:
            stream.request.cancelled.set()
            self.remove(stream)
