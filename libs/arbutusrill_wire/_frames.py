"""Length-prefixed frames on a TCP socket, with a maximum size and a read deadline."""

from __future__ import annotations

import socket
import struct
import time

__all__ = ["MAX_FRAME_BYTES", "FrameError", "read_frame", "write_frame"]

MAX_FRAME_BYTES = 16 * 1024 * 1024
_LENGTH_PREFIX = struct.Struct("!I")


class FrameError(ConnectionError):
    """The peer closed the connection within a frame, or a frame is larger than `MAX_FRAME_BYTES`."""


def read_frame(connection: socket.socket, timeout: float | None) -> bytes | None:
    """Reads one frame; returns None if the peer closed the connection between frames.

    `timeout`, in seconds, covers the whole frame; None waits without limit. Raises `TimeoutError`, `FrameError` or
    `OSError`.
    """
    deadline = None if timeout is None else time.monotonic() + timeout
    header = _read_exactly(connection, _LENGTH_PREFIX.size, deadline, at_start=True)
    if header is None:
        return None
    (size,) = _LENGTH_PREFIX.unpack(header)
    if size > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {size} bytes exceeds the bound of {MAX_FRAME_BYTES}")
    return _read_exactly(connection, size, deadline, at_start=False)


def write_frame(connection: socket.socket, data: bytes) -> None:
    """Sends one frame; raises `FrameError` if it is larger than `MAX_FRAME_BYTES`."""
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(data)} bytes exceeds the bound of {MAX_FRAME_BYTES}")
    connection.sendall(_LENGTH_PREFIX.pack(len(data)) + data)


def _read_exactly(connection: socket.socket, size: int, deadline: float | None, at_start: bool) -> bytes | None:
    received = bytearray()
    while len(received) < size:
        if deadline is not None:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                raise TimeoutError("no whole frame before the deadline")
            connection.settimeout(remaining)
        chunk = connection.recv(min(size - len(received), 262_144))
        if not chunk:
            if at_start and not received:
                return None
            raise FrameError("connection closed inside a frame")
        received += chunk
    return bytes(received)
