"""Reader for the head of a request, which bounds what it reads."""

from __future__ import annotations

from typing import BinaryIO

__all__ = ["HeadReader", "HeadTooLargeError"]


class HeadTooLargeError(Exception):
    """The header fields of a request exceed their limit."""


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
        """Returns the next line; raises `HeadTooLargeError` if it exceeds the rest of the limit."""
        largest = self._remaining_bytes + 1
        line = self._stream.readline(largest if size < 0 else min(size, largest))
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadTooLargeError(f"the headers exceed {self._limit_bytes} bytes")
        return line
