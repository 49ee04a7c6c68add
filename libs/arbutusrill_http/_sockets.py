"""TCP socket options and checks that detect unresponsive and disconnected peers."""

from __future__ import annotations

import select
import socket
import struct

__all__ = ["acknowledged_bytes", "has_input", "peer_closed", "set_dead_peer_timeouts", "set_send_timeout"]

_KEEPALIVE_IDLE_S = 10
_KEEPALIVE_INTERVAL_S = 5
_KEEPALIVE_PROBES = 3
_TCP_INFO_BYTES, _BYTES_ACKED_OFFSET = 128, 120  # `tcpi_bytes_acked` of `struct tcp_info` in linux/tcp.h


def set_dead_peer_timeouts(connection: socket.socket, unacknowledged_s: float) -> None:
    """Makes the kernel close a connection whose peer does not respond, and turns off Nagle's algorithm.

    Sent data must be acknowledged within `unacknowledged_s`. Keep-alive probes start after 10 s without traffic and
    close the connection 15 s later at the latest.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(unacknowledged_s * 1000))


def set_send_timeout(connection: socket.socket, seconds: float) -> None:
    """Sets a kernel timeout for sends, so that a blocking socket needs no poll before each send.

    A send that times out raises `BlockingIOError`.
    """
    whole_s = int(seconds)
    timeval = struct.pack("ll", whole_s, int((seconds - whole_s) * 1_000_000))
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval)


def peer_closed(connection: socket.socket) -> bool:
    """Returns whether the peer of `connection` has closed or reset it."""
    poller = select.poll()
    poller.register(connection, select.POLLRDHUP)
    return bool(poller.poll(0))


def acknowledged_bytes(connection: socket.socket) -> int:
    """Returns how many of the bytes that were sent the peer has acknowledged; 0 for a closed connection."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return 0
    return struct.unpack_from("Q", info, _BYTES_ACKED_OFFSET)[0] if len(info) == _TCP_INFO_BYTES else 0


def has_input(connection: socket.socket) -> bool:
    """Returns whether bytes of the peer have arrived that were not read yet."""
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    return bool(poller.poll(0))
