"""Readers for the head and the chunked body of a request, which bound what they read."""

from __future__ import annotations

import re
from io import BufferedReader
from typing import BinaryIO

__all__ = ["ChunkedReader", "HeadReader", "HeadTooLargeError", "end_of_input_error"]

_MAX_CHUNK_LINE_BYTES = 4096  # size and extensions of a chunk
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;.*)?\r?\n", re.DOTALL)
_EMPTY_LINES = (b"\r\n", b"\n")
# Of all chunks of a body: each costs the time to read it, and a body may have as many chunks as bytes.
_MAX_EXTENSION_BYTES = 64 * 1024
_SMALL_CHUNK = re.compile(rb"0*([0-9A-Fa-f]{1,4})\r\n")
_MAX_RUN_CHUNK_BYTES = 64  # larger chunks are few enough to be decoded one by one


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

    Chunk extensions and trailer fields are ignored; the former may take 64 KiB, the latter `max_trailer_bytes`. Whole
    small chunks in the buffer of `stream` are decoded together: one at a time, the chunks of some callers would take
    the time in which all others are read.

    >>> import io
    >>> stream = io.BufferedReader(io.BytesIO(b"3;a=b\r\nabc\r\n1\r\nd\r\n1\r\ne\r\n0\r\nX-Sum: 1\r\n\r\n"))
    >>> reader = ChunkedReader(stream, 100)
    >>> reader.read(10), reader.read_buffered(10), reader.read(10)
    (b'abc', b'de', b'')
    """

    def __init__(self, stream: BufferedReader, max_trailer_bytes: int):
        self._stream = stream
        self._max_trailer_bytes = max_trailer_bytes
        self._extension_bytes = 0
        self._remaining_bytes = 0  # of the current chunk
        self._is_at_end = False

    def wait(self) -> None:
        """Waits until the buffer of the stream holds input, so that `read` can decode it."""
        if not self._is_at_end:
            self._stream.peek(1)

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

    def read_buffered(self, size: int) -> bytes:
        """Returns the content of whole chunks in the buffer, at most `size` bytes; none if `read` has to wait for more.

        Chunks with extensions are left to `read`.
        """
        if self._remaining_bytes or self._is_at_end:
            return b""
        buffered = self._stream.peek(1)
        position, parts = 0, []
        while match := _SMALL_CHUNK.match(buffered, position):
            length = int(match[1], 16)
            start, end = match.end(), match.end() + length
            if not length or length > size or buffered[end : end + 2] != b"\r\n":
                break
            stride = end + 2 - position
            count = 1
            if length <= _MAX_RUN_CHUNK_BYTES and buffered.startswith(match[0], end + 2):
                count = min(_count_equal(buffered, position, match[0], stride), size // length)
            parts.append(buffered[start:end] if count == 1 else _join_equal(buffered, start, length, stride, count))
            size -= count * length
            position += count * stride
        self._stream.read(position)
        return b"".join(parts)

    def _read_size(self) -> int:
        line = self._read_line(_MAX_CHUNK_LINE_BYTES)
        match = _CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise ValueError("the size of a chunk is invalid")
        self._extension_bytes += len(match[2] or b"")
        if self._extension_bytes > _MAX_EXTENSION_BYTES:
            raise ValueError("the extensions of the chunks are too long")
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


def _count_equal(data: bytes, position: int, head: bytes, stride: int) -> int:
    """Returns how many chunks of `stride` bytes with the same head follow each other at `position`."""
    count = (len(data) - position) // stride
    columns = [*enumerate(head), (stride - 2, ord("\r")), (stride - 1, ord("\n"))]
    for offset, value in columns:
        column = data[position + offset : position + count * stride : stride]
        count -= len(column.lstrip(bytes((value,))))
    return count


def _join_equal(data: bytes, start: int, length: int, stride: int, count: int) -> bytes:
    """Returns the content of `count` chunks of `length` bytes, the first of which begins at `start`."""
    joined = bytearray(count * length)
    for offset in range(length):
        first = start + offset
        joined[offset::length] = data[first : first + (count - 1) * stride + 1 : stride]
    return bytes(joined)
