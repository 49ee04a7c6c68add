"""Answers of plain services: small ones whole, large and endless ones as they arrive."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from werkzeug.wrappers import Response

__all__ = ["Answer"]

_BUFFER_BYTES = 262_144  # above it, an answer is passed on piece by piece
_PASSED_BACK = frozenset(
    """content-type content-encoding content-language content-disposition location etag last-modified
    cache-control expires vary allow retry-after accept-ranges content-range link""".split()
)


class Answer:
    """Collects an answer, or passes it on once it is too large or is an event stream.

    At most `kept_bytes` of a body stay in memory for a record; `body` is None when it was larger. With
    `outlives_caller` the answer is read to its end although its caller has left.
    """

    def __init__(self, start_response: Callable, request_id: str, kept_bytes: int, outlives_caller: bool):
        self._start_response = start_response
        self._request_id = request_id
        self._limit = max(_BUFFER_BYTES, kept_bytes)
        self._kept_bytes = kept_bytes
        self._outlives_caller = outlives_caller
        self._pieces: list[bytes] = []
        self._size = 0
        self._write: Callable[[bytes], Any] | None = None
        self._caller_left = False
        self.status = 0
        self.headers_by_name: dict[str, str] = {}

    @property
    def begun(self) -> bool:
        """Whether the caller has got a part of the answer."""
        return self._write is not None

    @property
    def body(self) -> bytes | None:
        """The whole body for a record, None when it exceeds `kept_bytes`."""
        return b"".join(self._pieces) if self._size <= self._kept_bytes else None

    def on_head(self, status: int, headers_by_name: dict[str, str]) -> None:
        """Takes the head of an answer."""
        self.status = status
        self.headers_by_name = {name: value for name, value in headers_by_name.items() if name in _PASSED_BACK}
        if self.headers_by_name.get("content-type", "").startswith("text/event-stream"):
            self._begin()

    def on_data(self, data: bytes) -> None:
        """Takes a piece of the body."""
        self._size += len(data)
        if self._size <= self._limit:
            self._pieces.append(data)
        if self.begun:
            self._pass_on(data)
        elif self._size > self._limit:
            self._begin()
            self._pass_on(b"".join(self._pieces) + data)
        if self.begun and self._size > self._kept_bytes:
            self._pieces.clear()

    def finish(self, environ: dict) -> Iterable[bytes]:
        """Completes the response to the caller."""
        if self.begun:
            return []
        return self.response()(environ, self._start_response)

    def response(self) -> Response:
        """Returns an answer that was collected whole."""
        headers = {**self.headers_by_name, "X-Request-Id": self._request_id}
        return Response(b"".join(self._pieces), self.status, headers)

    def _begin(self) -> None:
        headers = [*self.headers_by_name.items(), ("X-Request-Id", self._request_id)]
        self._write = self._start_response(f"{self.status} Answer", headers)

    def _pass_on(self, data: bytes) -> None:
        if self._caller_left:
            return
        try:
            self._write(data)
        except OSError:
            if not self._outlives_caller:
                raise
            self._caller_left = True
