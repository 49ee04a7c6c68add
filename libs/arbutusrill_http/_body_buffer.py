"""Buffer for a body that arrives in parts, which holds it once."""

from __future__ import annotations

import io

__all__ = ["BodyBuffer"]

_SMALL_BYTES = 64 * 1024  # bodies up to this size are kept in their parts and joined


class BodyBuffer:
    """Parts of a body, which `take` returns as one object.

    A body that is not small is written into address space of `capacity` bytes, of which only the pages that are written
    take memory; a larger one is copied. Parts that are joined would take their size twice, and leave gaps in the heap
    when they are freed.

    >>> buffer = BodyBuffer(1024 * 1024)
    >>> buffer.add(b"ab")
    >>> buffer.add(b"c")
    >>> buffer.take(), buffer.take()
    (b'abc', b'')
    """

    __slots__ = ("_capacity", "_parts", "_size", "_stream")

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._parts: list[bytes] = []
        self._size = 0  # of `_parts`
        self._stream: io.BytesIO | None = None

    def add(self, data: bytes) -> None:
        """Adds a part."""
        if self._stream is not None:
            self._stream.write(data)
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > _SMALL_BYTES:
            # These zeros are pages that the operating system provides once something is written.
            self._stream = io.BytesIO(bytes(self._capacity))
            self._stream.writelines(self._parts)
            self._parts.clear()

    def take(self) -> bytes:
        """Returns the body and empties the buffer."""
        stream, self._stream = self._stream, None
        parts, self._parts, self._size = self._parts, [], 0
        if stream is None:
            return parts[0] if len(parts) == 1 else b"".join(parts)
        with stream:
            stream.truncate()
            return stream.getvalue()
