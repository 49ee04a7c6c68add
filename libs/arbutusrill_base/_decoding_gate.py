"""Bound on the memory that JSON bodies take while they are decoded."""

from __future__ import annotations

import contextlib
import threading

__all__ = ["BodyTooLargeError", "DecodingGate"]

_SMALL_BYTES = 16 * 1024  # bodies up to this size, such as liveness reports, do not wait until others are decoded
_MAX_DECODED_BYTES = 96 * 1024 * 1024
_SLICE_BYTES = 64 * 1024
# Upper bounds of what CPython needs for a character of JSON text, for an object, a list and any further value.
_BYTES_PER_CHARACTER, _BYTES_BY_DELIMITER = 3, {b"{": 232, b"[": 64, b",": 60}


class BodyTooLargeError(ValueError):
    """A body that is larger than a valid one, or that would take too much memory when it is decoded."""


class DecodingGate:
    """Lets large bodies be decoded one at a time: their values take many times the size of their text.

    >>> with DecodingGate().decoding(b'{"version": 1}', max_bytes=100):
    ...     pass
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()

    def decoding(self, body: bytes, max_bytes: int | None = None) -> contextlib.AbstractContextManager:
        """Returns the context to decode a body in.

        Raises `BodyTooLargeError` if the body exceeds `max_bytes`, or its values 96 MB by an upper bound.
        """
        if max_bytes is not None and len(body) > max_bytes:
            raise BodyTooLargeError(f"the body exceeds {max_bytes} bytes")
        if len(body) <= _SMALL_BYTES:
            return contextlib.nullcontext()
        if _decoded_bytes(body, _MAX_DECODED_BYTES) > _MAX_DECODED_BYTES:
            raise BodyTooLargeError(f"the body would take more than {_MAX_DECODED_BYTES} bytes when decoded")
        return self._lock


def _decoded_bytes(body: bytes, maximum: int) -> int:
    """Returns an upper bound of the memory that the values in a JSON text take when they are decoded.

    Counting ends once the bound exceeds `maximum`, and goes by slices between which other threads can run.

    >>> _decoded_bytes(b'{"version":1}', 1000)
    271
    """
    size = len(body) * _BYTES_PER_CHARACTER
    for start in range(0, len(body), _SLICE_BYTES):
        end = start + _SLICE_BYTES
        size += sum(body.count(delimiter, start, end) * cost for delimiter, cost in _BYTES_BY_DELIMITER.items())
        if size > maximum:
            break
    return size
