"""Options of TCP sockets by which silent connections end."""

from __future__ import annotations

import select
import socket
import struct

__all__ = ["caller_gone", "limit_silence", "limit_sends"]

_IDLE_S = 10
_INTERVAL_S = 5
_PROBES = 3


def limit_silence(connection: socket.socket, unacknowledged_s: float) -> None:
    """Ends a connection whose peer no longer acknowledges: sent data after `unacknowledged_s`, idle ones by probes.

    An idle connection is probed after 10 s and ends 15 s later at the latest.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(unacknowledged_s * 1000))


def limit_sends(connection: socket.socket, seconds: float) -> None:
    """Lets the kernel end a send after `seconds`, so that a blocking socket needs no poll before each send.

    A send that is ended raises `BlockingIOError`.
    """
    whole = int(seconds)
    limit = struct.pack("ll", whole, int((seconds - whole) * 1_000_000))
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit)


def caller_gone(connection: socket.socket) -> bool:
    """Says whether the peer of `connection` has closed or reset it."""
    poller = select.poll()
    poller.register(connection, select.POLLRDHUP)
    return bool(poller.poll(0))
