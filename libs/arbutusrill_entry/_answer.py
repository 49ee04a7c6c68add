"""Answers of plain services: buffered if small, streamed if large or an event stream."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from typing import Any

from arbutusrill_http import BodyReservation
from werkzeug.wrappers import Response

__all__ = ["Answer"]

_OUTSIDE_EVENT = re.compile(rb"(?:(?::[^\n]*)?\r?\n)*(?::[^\n]*|[ \t\r]*)")  # comments and empty lines
_SEPARATOR_BYTES = 3  # kept of a long event, in which a separator may begin
_MAX_BUFFERED_BYTES = 262_144  # larger answers are streamed to the caller
_FORWARDED_HEADERS = frozenset(
    """content-type content-encoding content-language content-disposition location etag last-modified
    cache-control expires vary allow retry-after accept-ranges content-range link""".split()
)


class _EventBuffer:
    """Holds back the incomplete event at the end of a stream, as far as it fits into `_MAX_BUFFERED_BYTES`.

    `has_room(size)` returns whether there is memory for `size` bytes of it.
    """

    def __init__(self, has_room: Callable[[int], bool]) -> None:
        self._has_room = has_room
        self.rest = b""
        self._part_forwarded = False  # of the event in `rest`

    def feed(self, data: bytes) -> bytes:
        """Adds data; returns what can be forwarded."""
        data = self.rest + data
        ends = [data.rfind(separator) + len(separator) for separator in (b"\n\n", b"\n\r\n") if separator in data]
        end = max(ends, default=0)
        if end:
            self._part_forwarded = False
        if len(data) - end > _MAX_BUFFERED_BYTES or not self._has_room(len(data) - end):
            end, self._part_forwarded = len(data) - _SEPARATOR_BYTES, True
        self.rest = data[end:]
        return data[:end]

    @property
    def is_inside_event(self) -> bool:
        """Whether anything but comments and empty lines follows the last complete event."""
        return self._part_forwarded or not _OUTSIDE_EVENT.fullmatch(self.rest)


class Answer:
    """Buffers an answer, or streams it to the caller if it is too large or an event stream.

    Bodies of at most `max_recorded_bytes` are kept in memory for the journal. With `read_after_disconnect`, the answer
    is read to its end even if the caller has disconnected. What is kept takes room in `memory`, whose owner releases
    it; without room the answer is streamed and not kept for the journal.
    """

    def __init__(
        self,
        start_response: Callable,
        request_id: str,
        max_recorded_bytes: int,
        read_after_disconnect: bool,
        memory: BodyReservation,
    ):
        self._start_response = start_response
        self._request_id = request_id
        self._buffer_limit_bytes = max(_MAX_BUFFERED_BYTES, max_recorded_bytes)
        self._max_recorded_bytes = max_recorded_bytes
        self._read_after_disconnect = read_after_disconnect
        self._memory = memory
        self._is_kept = True  # whether all of the body so far is in `_chunks`
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self._write: Callable[[bytes], Any] | None = None
        self._events: _EventBuffer | None = None  # of an event stream
        self._caller_left = False
        self.status = 0
        self.headers_by_name: dict[str, str] = {}

    @property
    def begun(self) -> bool:
        """Whether the response to the caller has begun."""
        return self._write is not None

    @property
    def body(self) -> bytes | None:
        """The whole body for the journal, or None if it exceeds `max_recorded_bytes` or had no room."""
        is_whole = self._is_kept and self._size_bytes <= self._max_recorded_bytes
        return b"".join(self._chunks) if is_whole else None

    def on_head(self, status: int, headers_by_name: dict[str, str]) -> None:
        """Handles the status and the headers, whose names are in lower case."""
        self.status = status
        self.headers_by_name = {name: value for name, value in headers_by_name.items() if name in _FORWARDED_HEADERS}
        if self.headers_by_name.get("content-type", "").startswith("text/event-stream"):
            self._events = _EventBuffer(lambda size: self._has_room(self._kept_bytes + size))
            self._start_forwarding()

    def on_data(self, data: bytes) -> None:
        """Handles the next chunk of the body."""
        self._size_bytes += len(data)
        if self._is_kept:
            self._keep(data)
        if self._events is not None:
            self._forward(self._events.feed(data))
        elif self.begun:
            self._forward(data)
        elif not self._is_kept:
            self._start_forwarding()
            self._forward(b"".join(self._chunks) + data)
        if not self._is_kept:
            self._chunks.clear()
        if self.begun:
            self._memory.shrink(self._kept_bytes + (len(self._events.rest) if self._events is not None else 0))

    def _keep(self, data: bytes) -> None:
        """Keeps the next chunk, as far as limit and memory allow, until it can be of no use any more."""
        limit_bytes = self._max_recorded_bytes if self.begun else self._buffer_limit_bytes
        self._is_kept = self._size_bytes <= limit_bytes and self._has_room(self._size_bytes)
        if self._is_kept:
            self._chunks.append(data)

    @property
    def _kept_bytes(self) -> int:
        return self._size_bytes if self._is_kept else 0

    def _has_room(self, size: int) -> bool:
        return self._memory.grow(size, 0.0)

    @property
    def ends_inside_event(self) -> bool:
        """Whether the answer is an event stream that has been broken off, although its framing is complete."""
        return self._events is not None and self._events.is_inside_event

    def finish(self, environ: dict) -> Iterable[bytes]:
        """Completes the response to the caller."""
        if self._events is not None:
            self._forward(self._events.rest)
        if self.begun:
            return []
        return self.response()(environ, self._start_response)

    def response(self) -> Response:
        """Returns the response for an answer that was buffered completely."""
        headers = {**self.headers_by_name, "X-Request-Id": self._request_id}
        return Response(b"".join(self._chunks), self.status, headers)

    def _start_forwarding(self) -> None:
        headers = [*self.headers_by_name.items(), ("X-Request-Id", self._request_id)]
        self._write = self._start_response(f"{self.status} Answer", headers)

    def _forward(self, data: bytes) -> None:
        if self._caller_left:
            return
        try:
            self._write(data)
        except OSError:
            if not self._read_after_disconnect:
                raise
            self._caller_left = True
