"""HTTP server on werkzeug: bounded connections, time limits on every read, keep-alive and aborted streams."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import PartLog, TaskGroup
from werkzeug.serving import BaseWSGIServer

from ._handler import Handler, refusal
from ._sockets import limit_sends, limit_silence

__all__ = ["HttpLimits", "HttpServer"]

_ACCEPT_S = 0.1
_UNACKNOWLEDGED_S = 10.0
_REFUSED_KEPT = 256  # refused connections that wait for their caller to read the answer
_REFUSED_S = 1.0
_CROWDED = 0.9  # part of the connections from which idle ones give way to new ones
_IDLE_KEPT_S = 0.2  # an idle connection younger than this is about to be used
_log = PartLog("http")


@dataclass(slots=True, frozen=True)
class HttpLimits:
    """Bounds of an HTTP server. Times are in seconds, sizes in bytes.

    `reserve` further connections are served when all `connections` are taken, but only for paths that
    start with one of `reserved_paths`.
    """

    connections: int = 256
    header_bytes: int = 32_768
    body_bytes: int = 8 * 1024 * 1024
    header_s: float = 10.0
    body_s: float = 30.0
    idle_s: float = 30.0
    write_s: float = 10.0
    reserve: int = 16
    reserved_paths: tuple[str, ...] = ()


class _Server(BaseWSGIServer):
    request_queue_size = 512
    multithread = True

    def __init__(self, host: str, port: int, app: Any, limits: HttpLimits):
        self.limits = limits
        self.tasks = TaskGroup("http", limits.connections + limits.reserve + 1)
        self._lock = threading.Lock()
        self._idle_since: dict[socket.socket, float] = {}
        self._open: dict[socket.socket, bool] = {}  # whether the connection is one of the reserve
        self._refused: deque[tuple[float, socket.socket]] = deque()
        self._closing = threading.Lock()
        super().__init__(host, port, app, handler=Handler)
        # Accepted connections inherit the options, which saves the calls for each of them.
        limit_silence(self.socket, _UNACKNOWLEDGED_S)
        limit_sends(self.socket, limits.write_s)

    def draining(self) -> bool:
        return self.tasks.stopping.is_set()

    def busy(self) -> int:
        """Returns the number of connections with a request under way."""
        with self._lock:
            return len(self._open) - len(self._idle_since)

    def is_reserved(self, connection: socket.socket) -> bool:
        """Says whether a connection came when all others were taken."""
        with self._lock:
            return self._open.get(connection, False)

    @contextlib.contextmanager
    def idle_connection(self, connection: socket.socket) -> Iterator[None]:
        """Marks a connection as waiting for its next request."""
        with self._lock:
            self._idle_since[connection] = time.monotonic()
        try:
            yield
        finally:
            with self._lock:
                self._idle_since.pop(connection, None)

    def drain(self) -> None:
        """Ends idle connections; those with a request under way close after its answer."""
        self.tasks.stopping.set()
        self.end_idle()

    def end_idle(self) -> None:
        """Ends the connections that wait for a request."""
        with self._lock:
            idle = list(self._idle_since)
        for connection in idle:
            _shut(connection, socket.SHUT_RD)

    def cut(self) -> int:
        """Ends all connections at once and returns how many had a request under way."""
        with self._lock:
            connections = list(self._open)
            busy = len(self._open) - len(self._idle_since)
        for connection in connections:
            _shut(connection, socket.SHUT_RDWR)
        return busy

    def process_request(self, request: Any, client_address: Any) -> None:
        with self._lock:
            reserved = len(self._open) >= self.limits.connections
            full = len(self._open) >= self.limits.connections + self.limits.reserve
            if not full:
                self._open[request] = reserved
            crowded = len(self._open) >= _CROWDED * self.limits.connections
        if crowded:
            self._end_idlest()
        if full or self.tasks.start(self._handle, request, client_address) is None:
            self._forget(request)
            self._refuse(request)

    def _end_idlest(self) -> None:
        """Ends the keep-alive connection that has waited longest, so that idle callers cannot keep others out."""
        now = time.monotonic()
        with self._lock:
            idlest = min(self._idle_since, key=self._idle_since.get, default=None)
            if idlest is None or now - self._idle_since[idlest] < _IDLE_KEPT_S:
                return
            # It is no longer found by the next call, although its task needs a moment to end.
            self._idle_since[idlest] = float("inf")
        _shut(idlest, socket.SHUT_RD)

    def _refuse(self, connection: socket.socket) -> None:
        """Answers without waiting; closing at once would reset the connection before the answer is read."""
        try:
            connection.setblocking(False)
            connection.send(refusal(503, "too_many_connections", "too many connections"))
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        self._refused.append((time.monotonic(), connection))
        self.service_actions()

    def service_actions(self) -> None:
        """Closes refused connections after a while; called by the accepting thread only."""
        now = time.monotonic()
        while self._refused and (len(self._refused) > _REFUSED_KEPT or now - self._refused[0][0] >= _REFUSED_S):
            self._refused.popleft()[1].close()

    def server_close(self) -> None:
        # The accepting thread closes the listener too when it ends. Whoever comes second has to wait for the first:
        # otherwise the port may still take connections, which are then reset.
        with self._closing:
            super().server_close()
        while self._refused:
            self._refused.popleft()[1].close()

    def _handle(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except OSError:
            pass
        finally:
            self._forget(request)
            self.shutdown_request(request)

    def _forget(self, connection: socket.socket) -> None:
        with self._lock:
            self._open.pop(connection, None)

    def log(self, type: str, message: str, *args: Any) -> None:
        _log.info(message.replace("%", "%%") if not args else message, *args)


def _shut(connection: socket.socket, how: int) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(how)


class HttpServer:
    """Serves a WSGI application on one address until the context ends.

    The application gets the whole request body in memory and the caller's socket as
    ``environ["werkzeug.socket"]``. It may raise `AbortStreamError` after the response has begun. Leaving
    the context lets the requests under way finish, unless `cut` is called.
    """

    def __init__(
        self,
        host: str,
        port: int,
        app: Callable[[dict, Callable], Iterable[bytes]],
        limits: HttpLimits | None = None,
    ):
        self._server = _Server(host, port, app, limits or HttpLimits())
        self.address = "{}:{}".format(*self._server.server_address[:2])

    def __enter__(self) -> HttpServer:
        self._server.tasks.start(self._server.serve_forever, _ACCEPT_S)
        return self

    def __exit__(self, *_: object) -> None:
        self.stop_listening()
        self._server.tasks.close()

    def stop_listening(self) -> None:
        """Refuses new connections, ends the idle ones, and the others after the request under way."""
        if not self._server.draining():
            self._server.drain()
            self._server.shutdown()
            self._server.server_close()

    def set_limits(self, limits: HttpLimits) -> None:
        """Changes sizes and times for the requests that follow; the number of threads stays as it is."""
        self._server.limits = limits

    def end_idle(self) -> None:
        """Ends the connections that wait for a request; new ones are still taken."""
        self._server.end_idle()

    def busy(self) -> int:
        """Returns the number of connections with a request under way."""
        return self._server.busy()

    def cut(self) -> int:
        """Ends all connections at once and returns how many had a request under way."""
        return self._server.cut()
