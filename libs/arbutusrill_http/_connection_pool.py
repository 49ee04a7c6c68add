"""Connections to servers that are kept after a response and used again."""

from __future__ import annotations

import dataclasses
import re
import select
import socket
import threading
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from arbutusrill_base import BootClock, Clock, EventLog

__all__ = ["ConnectionPool", "KeptConnection", "Server", "ServerConnections", "idle_limit_s", "stated_idle_s"]

_MAX_IDLE = 64  # connections of one process, beside those of its callers
# A server closes an idle connection at its timeout; bytes that are under way by then are lost. The margin covers the
# delay of the link and of a busy process. A server whose timeout is shorter than a second states none.
_IDLE_MARGIN_S = 0.5
_MAX_STATED_IDLE_S = 15.0
_UNSTATED_IDLE_S = 0.2
# A request that may not run twice is lost if its connection ends before the response. It uses a connection only within
# half of the stated time, and only if the server has answered on it within the last 3 s: a server that lost its
# power since then does not accept a new connection, which proves that nothing was sent, but a kept one tells nothing.
_ONCE_IDLE_FRACTION = 0.5
_MAX_ONCE_IDLE_S = 3.0
_LOG_INTERVAL_S = 1.0  # for connections that ended without a response
_KEEP_ALIVE_TIMEOUT = re.compile(r"(?:^|[,;\s])timeout\s*=\s*([0-9]{1,9})(?![0-9.])", re.IGNORECASE)
_events = EventLog("connections")


@dataclass(slots=True, frozen=True)
class Server:
    """One incarnation of a server: its id, its address (IP:port) and its start."""

    id: str
    address: str
    started_ms: int


@dataclass(slots=True, eq=False)
class KeptConnection:
    """An open connection to a server; `used_at` is when its last response was complete, `last_id` its request."""

    socket: socket.socket
    server: Server
    used_at: float = 0.0
    stated_s: float | None = None
    last_id: str = ""
    use_count: int = 0


def stated_idle_s(headers_by_name: Mapping[str, str]) -> float | None:
    """Returns the time in seconds after which a server closes the idle connection, None if it states none.

    >>> stated_idle_s({"keep-alive": "timeout=5, max=100"})
    5.0
    """
    match = _KEEP_ALIVE_TIMEOUT.search(headers_by_name.get("keep-alive", ""))
    return float(match.group(1)) if match else None


def idle_limit_s(stated_s: float | None, is_once: bool) -> float:
    """Returns the idle time up to which a connection is used again, for a request that may run once if `is_once`.

    >>> idle_limit_s(5.0, False), idle_limit_s(5.0, True), idle_limit_s(1.0, True)
    (4.5, 2.5, 0.5)
    """
    if stated_s is None:
        return _UNSTATED_IDLE_S / 2 if is_once else _UNSTATED_IDLE_S
    limit_s = min(_MAX_STATED_IDLE_S, stated_s - _IDLE_MARGIN_S)
    return min(limit_s, _ONCE_IDLE_FRACTION * stated_s, _MAX_ONCE_IDLE_S) if is_once else limit_s


class ConnectionPool:
    """Idle connections of a process by server, and the counts of all that it opened.

    A connection is kept only to servers that `retain` names, up to the number that it states for each, those in use
    included. The clock must include the time for which the VM was suspended, since servers close connections then.
    """

    def __init__(self, clock: Clock | None = None):
        self._clock = clock or BootClock()
        self._lock = threading.Lock()
        self._idle_by_server: dict[Server, list[KeptConnection]] = {}
        self._in_use: Counter[Server] = Counter()
        self._limit_by_server: dict[Server, int] = {}
        self._closed_by_reason: Counter[str] = Counter()
        self._idle_count = 0
        self._logged_at = float("-inf")
        self._unlogged_count = 0
        self.opened_count = 0
        self.reused_count = 0

    def take(self, server: Server, is_once: bool, request_id: str = "") -> KeptConnection | None:
        """Returns the connection that was used last and may be used again, None if there is none.

        One that was used for the same request is closed: a late second response to it could not be told apart.
        """
        now = self._clock.monotonic()
        closed: list[tuple[KeptConnection, str]] = []
        found = None
        with self._lock:
            idle = self._idle_by_server.get(server, [])
            while idle and found is None:
                connection = idle[-1]
                idle_s = now - connection.used_at
                if idle_s > idle_limit_s(connection.stated_s, False):
                    closed += [(older, "idle") for older in idle]  # the others were used earlier
                    self._remove(server, len(idle))
                    break
                if is_once and idle_s > idle_limit_s(connection.stated_s, True):
                    break
                self._remove(server, 1)
                if _has_input(connection.socket):
                    closed.append((connection, "input"))
                    continue
                if request_id and connection.last_id == request_id:
                    closed.append((connection, "same_request"))
                    continue
                found = connection
                self._in_use[server] += 1
                self.reused_count += 1
        self._close(closed)
        return found

    def _remove(self, server: Server, count: int) -> None:
        """Removes the connections of a server that were used last; the caller holds the lock."""
        idle = self._idle_by_server[server]
        del idle[len(idle) - count :]
        self._idle_count -= count
        if not idle:
            del self._idle_by_server[server]

    def add(self, server: Server, connected: socket.socket) -> KeptConnection:
        """Counts a new connection, which is in use."""
        with self._lock:
            self.opened_count += 1
            self._in_use[server] += 1
        return KeptConnection(connected, server)

    def give_back(self, connection: KeptConnection, stated_s: float | None, last_id: str) -> None:
        """Keeps a connection after a complete response, or closes it if there are enough or bytes have arrived."""
        server = connection.server
        connection.used_at, connection.stated_s, connection.last_id = self._clock.monotonic(), stated_s, last_id
        connection.use_count += 1
        reason = "input" if _has_input(connection.socket) else ""
        if idle_limit_s(stated_s, False) <= 0:
            reason = "idle"
        closed = []
        with self._lock:
            self._leave(server)
            idle_here = len(self._idle_by_server.get(server, ()))
            if not reason and self._in_use[server] + idle_here >= self._limit_by_server.get(server, 0):
                reason = "limit"
            if not reason:
                if self._idle_count >= _MAX_IDLE:
                    closed.append((self._pop_oldest(), "limit"))
                self._idle_by_server.setdefault(server, []).append(connection)
                self._idle_count += 1
        if reason:
            closed.append((connection, reason))
        self._close(closed)

    def _pop_oldest(self) -> KeptConnection:
        server, idle = min(self._idle_by_server.items(), key=lambda item: item[1][0].used_at)
        oldest = idle.pop(0)
        self._idle_count -= 1
        if not idle:
            del self._idle_by_server[server]
        return oldest

    def _leave(self, server: Server) -> None:
        self._in_use[server] -= 1
        if not self._in_use[server]:
            del self._in_use[server]

    def discard(self, connection: KeptConnection, reason: str) -> None:
        """Closes a connection that was in use."""
        with self._lock:
            self._leave(connection.server)
        self._close([(connection, reason)])

    def distrust(self, silent_s: float) -> None:
        """Closes the idle connections that were not used in the last `silent_s` seconds.

        A connection that was used again was silent for so long: what caused it may have made others silent.
        """
        now = self._clock.monotonic()
        self._close_if(lambda idle: idle.used_at <= now - silent_s, "silent")

    def report_lost(self, connection: KeptConnection) -> None:
        """Logs that a connection that was used again ended without a response, at most once a second."""
        now = self._clock.monotonic()
        with self._lock:
            self._unlogged_count += 1
            if now < self._logged_at + _LOG_INTERVAL_S:
                return
            self._logged_at, count, self._unlogged_count = now, self._unlogged_count, 0
        _events.emit(
            "kept_connection_lost",
            backend=connection.server.id,
            address=connection.server.address,
            idle_ms=round((now - connection.used_at) * 1000),
            stated_s=connection.stated_s,
            uses=connection.use_count,
            count=count,
        )

    def retain(self, limit_by_server: Mapping[Server, int]) -> None:
        """Sets the number of connections to each server, and closes the idle ones beyond it and to other servers."""
        closed = []
        with self._lock:
            self._limit_by_server = dict(limit_by_server)
            for server in list(self._idle_by_server):
                limit = self._limit_by_server.get(server)
                reason = "server_left" if limit is None else "limit"
                idle = self._idle_by_server[server]
                surplus = len(idle) + self._in_use[server] - (limit or 0)
                for _ in range(min(len(idle), max(0, surplus))):
                    closed.append((idle.pop(0), reason))
                    self._idle_count -= 1
                if not idle:
                    del self._idle_by_server[server]
        self._close(closed)

    def close_expired(self) -> None:
        """Closes the connections that are idle for too long to be used again."""
        now = self._clock.monotonic()
        self._close_if(lambda idle: now - idle.used_at > idle_limit_s(idle.stated_s, False), "idle")

    def _close_if(self, condition: Callable[[KeptConnection], bool], reason: str) -> None:
        closed = []
        with self._lock:
            for server, idle in list(self._idle_by_server.items()):
                while idle and condition(idle[0]):
                    closed.append((idle.pop(0), reason))
                    self._idle_count -= 1
                if not idle:
                    del self._idle_by_server[server]
        self._close(closed)

    def close_all(self) -> None:
        """Closes all idle connections and keeps no more."""
        self.retain({})

    def ready_servers(self, is_once: bool) -> list[Server]:
        """Returns the servers with an idle connection that may be used now, the one used last first."""
        now = self._clock.monotonic()
        with self._lock:
            ready = [
                (idle[-1].used_at, server)
                for server, idle in self._idle_by_server.items()
                if now - idle[-1].used_at <= idle_limit_s(idle[-1].stated_s, is_once)
            ]
        return [server for _, server in sorted(ready, key=lambda entry: -entry[0])]

    def is_ready(self, server: Server, is_once: bool) -> bool:
        """Whether there is an idle connection to a server that may be used now."""
        now = self._clock.monotonic()
        with self._lock:
            idle = self._idle_by_server.get(server)
            return bool(idle) and now - idle[-1].used_at <= idle_limit_s(idle[-1].stated_s, is_once)

    def idle_count(self) -> int:
        """Returns the number of idle connections."""
        with self._lock:
            return self._idle_count

    def closed_by_reason(self) -> dict[str, int]:
        """Returns the number of connections that were closed, by reason."""
        with self._lock:
            return dict(self._closed_by_reason)

    def _close(self, closed: list[tuple[KeptConnection, str]]) -> None:
        if not closed:
            return
        with self._lock:
            self._closed_by_reason.update(reason for _, reason in closed)
        for connection, _ in closed:
            connection.socket.close()


@dataclass(slots=True, frozen=True)
class ServerConnections:
    """Connections of a pool to one server, for a request that may run only once if `is_once`.

    `request_id` is the id that the response names. `may_repeat` takes the permission to send a request once more on a
    new connection, after a kept one ended without a response. `only_new` leaves kept connections alone.
    """

    pool: ConnectionPool
    server: Server
    is_once: bool
    request_id: str = ""
    may_repeat: Callable[[], bool] | None = None
    only_new: bool = False

    def for_repeat(self) -> ServerConnections | None:
        """Returns those for sending the request once more, None if it may not be repeated."""
        if self.is_once or self.may_repeat is None or not self.may_repeat():
            return None
        return dataclasses.replace(self, only_new=True)

    def take(self) -> KeptConnection | None:
        """Returns a kept connection that may be used now, or None."""
        return None if self.only_new else self.pool.take(self.server, self.is_once, self.request_id)


def _has_input(connection: socket.socket) -> bool:
    """Whether bytes, the end of the input or an error have arrived on an idle connection."""
    poller = select.poll()
    poller.register(connection, select.POLLIN | select.POLLRDHUP)
    return bool(poller.poll(0))
