"""Readers for the head and the chunked body of a request, which bound what they read."""

from __future__ import annotations

import re
from io import BufferedReader
from typing import BinaryIO

__all__ = [
    "ChunkedReader",
    "HeadReader",
    "HeadTooLargeError",
    "MalformedHeadError",
    "check_head_line",
    "end_of_input_error",
]

_MAX_CHUNK_LINE_BYTES = 4096  # size and extensions of a chunk
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;.*)?\r?\n", re.DOTALL)
_EMPTY_LINES = (b"\r\n", b"\n")
_SINGLE_LINES = 64
_BLOCK_BYTES = 16 * 1024  # of lines that are returned together
_HEAD_LINE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\r?\n?")
# Of all chunks of a body: each costs the time to read it, and a body may have as many chunks as bytes.
_MAX_EXTENSION_BYTES = 64 * 1024
_WHOLE_CHUNK = re.compile(rb"0{0,11}([0-9A-Fa-f]{1,4})\r\n")
# Chunks of 1 to 15 bytes, for which the size is one digit.
_TINY_PATTERN = rb"|".join(rb"(?i:%x)\r\n.{%d}\r\n" % (size, size) for size in range(1, 16))
_TINY_CHUNKS = re.compile(rb"(?:%b)+" % _TINY_PATTERN, re.DOTALL)
_MAX_RUN_BYTES = 1024  # of tiny chunks that are decoded at a time: each of them takes 40 bytes meanwhile
_TINY_CHUNK = re.compile(_TINY_PATTERN, re.DOTALL)


class HeadTooLargeError(Exception):
    """The header fields of a request exceed their limit."""


class MalformedHeadError(ValueError):
    """A line of the head or trailer of a request holds control characters, with which its readers could differ."""


def end_of_input_error() -> ConnectionResetError:
    """Returns the error for a request that breaks off: the rest of it is missing, which says nothing of its form."""
    return ConnectionResetError("the connection ended before the end of the request")


def check_head_line(line: bytes) -> None:
    """Raises `MalformedHeadError` if a line of the head of a request holds control characters."""
    if not _HEAD_LINE.fullmatch(line):
        raise MalformedHeadError("a line of the head holds control characters")


class HeadReader:
    r"""Reads the lines of header fields, at most `limit_bytes` in all.

    Many short lines are returned together, since `http.client` accepts no more than 100 lines, and parses them all the
    same. The empty line at the end is returned alone.

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
        self._count = 0
        self._end = b""  # the empty line, if it has been read

    def readline(self, size: int = -1) -> bytes:
        """Returns the next line, or from the `_SINGLE_LINES`th on a block of lines of `_BLOCK_BYTES`."""
        if self._end:
            return self._end
        self._count += 1
        block = line = self._read_line(size)
        while self._count >= _SINGLE_LINES and line not in _EMPTY_LINES and len(block) < _BLOCK_BYTES:
            line = self._read_line(_BLOCK_BYTES)
            if line in _EMPTY_LINES:
                self._end = line
                break
            block += line
        return block

    def _read_line(self, size: int) -> bytes:
        """Returns the next line; raises `HeadTooLargeError` if it exceeds the rest of the limit.

        Raises `MalformedHeadError` if it holds control characters, since `http.client` takes a single CR for the end of
        a line, and `ConnectionResetError` at the end of the input, which it takes for the end of the fields.
        """
        largest = self._remaining_bytes + 1
        line = self._stream.readline(largest if size < 0 else min(size, largest))
        if not line:
            raise end_of_input_error()
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadTooLargeError(f"the headers exceed {self._limit_bytes} bytes")
        check_head_line(line)
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
        position, joined = 0, bytearray()
        while len(joined) < size:
            run_end = position + min(size - len(joined), _MAX_RUN_BYTES)
            if tiny := _TINY_CHUNKS.match(buffered, position, run_end):
                joined += b"".join([chunk[3:-2] for chunk in _TINY_CHUNK.findall(buffered, position, tiny.end())])
                position = tiny.end()
                continue
            match = _WHOLE_CHUNK.match(buffered, position)
            length = int(match[1], 16) if match else 0
            if not 0 < length <= size - len(joined):
                break
            end = match.end() + length
            if buffered[end : end + 2] != b"\r\n":
                break
            joined += buffered[match.end() : end]
            position = end + 2
        self._stream.read(position)
        return bytes(joined)

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
