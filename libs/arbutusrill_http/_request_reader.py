"""Readers for the head and the chunked body of a request, which bound what they read."""

from __future__ import annotations

import re
from typing import BinaryIO

__all__ = ["ChunkedReader", "HeadReader", "HeadTooLargeError", "end_of_input_error"]

_MAX_CHUNK_LINE_BYTES = 4096  # size and extensions of a chunk
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;.*)?\r?\n", re.DOTALL)
_EMPTY_LINES = (b"\r\n", b"\n")


class HeadTooLargeError(Exception):
    """The header fields of a request exceed their limit."""


def end_of_input_error() -> ConnectionResetError:
    """Returns the error for a request that breaks off: the rest of it is missing, which says nothing of its form."""
    return ConnectionResetError("the connection ended before the end of the request")


class HeadReader:
    r"""Reads the lines of header fields, at most `limit_bytes` in all.

    >>> import io
    >>> reader = HeadReader(io.BytesIO(b"Host: a\r\nX-Long: bbbbbbbb\r\n"), 12)
    >>> reader.readline()
    b'Host: a\r\n'
    >>> reader.readline()
    Traceback (most recent call last):
    ...
    arbutusrill_http._request_reader.HeadTooLargeError: the headers exceed 12 bytes
    """

    def __init__(self, stream: BinaryIO, limit_bytes: int):
        self._stream = stream
        self._limit_bytes = self._remaining_bytes = limit_bytes

    def readline(self, size: int = -1) -> bytes:
        """Returns the next line; raises `HeadTooLargeError` if it exceeds the rest of the limit.

        Raises `ConnectionResetError` at the end of the input, which `http.client` takes for the end of the fields.
        """
        largest = self._remaining_bytes + 1
        line = self._stream.readline(largest if size < 0 else min(size, largest))
        if not line:
            raise end_of_input_error()
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadTooLargeError(f"the headers exceed {self._limit_bytes} bytes")
        return line


class ChunkedReader:
    r"""Decodes a body with the transfer coding ``chunked`` (RFC 9112, 7.1).

    Chunk extensions and trailer fields are ignored; the latter may take `max_trailer_bytes`.

    >>> import io
    >>> ChunkedReader(io.BytesIO(b"3;a=b\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n"), 100).read(10)
    b'abc'
    """

    def __init__(self, stream: BinaryIO, max_trailer_bytes: int):
        self._stream = stream
        self._max_trailer_bytes = max_trailer_bytes
        self._remaining_bytes = 0  # of the current chunk
        self._is_at_end = False

    def read(self, size: int) -> bytes:
        """Returns at most `size` bytes of the body, none at its end.

        Raises `ValueError` if it is malformed, and `ConnectionResetError` if the input ends before it.
        """
        if not self._remaining_bytes and not self._is_at_end:
            self._remaining_bytes = self._read_size()
            if not self._remaining_bytes:
                self._is_at_end = True
                self._skip_trailer()
        if self._is_at_end:
            return b""
        data = self._stream.read(min(size, self._remaining_bytes))
        if not data:
            raise end_of_input_error()
        self._remaining_bytes -= len(data)
        if not self._remaining_bytes and self._read_line(2) not in _EMPTY_LINES:
            raise ValueError("a chunk is longer than stated")
        return data

    def _read_size(self) -> int:
        match = _CHUNK_SIZE.fullmatch(self._read_line(_MAX_CHUNK_LINE_BYTES))
        if match is None:
            raise ValueError("the size of a chunk is invalid")
        return int(match[1], 16)

    def _read_line(self, max_bytes: int) -> bytes:
        line = self._stream.readline(max_bytes)
        if len(line) < max_bytes and not line.endswith(b"\n"):
            raise end_of_input_error()
        return line

    def _skip_trailer(self) -> None:
        reader = HeadReader(self._stream, self._max_trailer_bytes)
        try:
            while reader.readline() not in _EMPTY_LINES:
                pass
        except HeadTooLargeError:
            raise ValueError("the trailer is too long") from None
