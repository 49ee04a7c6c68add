"""Length-prefixed frames on a TCP socket, with a bound on their size and a deadline on reading them."""

from __future__ import annotations

import socket
import struct
import time

__all__ = ["MAX_FRAME_BYTES", "FrameError", "read_frame", "write_frame"]

MAX_FRAME_BYTES = 16 * 1024 * 1024
_LENGTH = struct.Struct("!I")


class FrameError(ConnectionError):
    """The peer closed the connection inside a frame or announced a frame over the bound."""


def read_frame(connection: socket.socket, timeout: float | None) -> bytes | None:
    """Reads one frame; returns None when the peer closed the connection between frames.

    `timeout` in seconds covers the whole frame. Raises `TimeoutError`, `FrameError` or `OSError`.
    """
    deadline = None if timeout is None else time.monotonic() + timeout
    head = _read_exactly(connection, _LENGTH.size, deadline, at_start=True)
    if head is None:
        return None
    (size,) = _LENGTH.unpack(head)
    if size > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {size} bytes exceeds the bound of {MAX_FRAME_BYTES}")
    return _read_exactly(connection, size, deadline, at_start=False)


def write_frame(connection: socket.socket, data: bytes) -> None:
    """Sends one frame; raises `FrameError` when it exceeds the bound."""
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(data)} bytes exceeds the bound of {MAX_FRAME_BYTES}")
    connection.sendall(_LENGTH.pack(len(data)) + data)


def _read_exactly(connection: socket.socket, size: int, deadline: float | None, at_start: bool) -> bytes | None:
    parts = bytearray()
    while len(parts) < size:
        if deadline is not None:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                raise TimeoutError("no whole frame before the deadline")
            connection.settimeout(remaining)
        piece = connection.recv(min(size - len(parts), 262_144))
        if not piece:
            if at_start and not parts:
                return None
            raise FrameError("connection closed inside a frame")
        parts += piece
    return bytes(parts)
