"""Fault injection for the engine stand-in, controlled over HTTP."""

from __future__ import annotations

import os
import socket
import threading
import time
import weakref
from typing import Any

from arbutusrill_http import AbortStreamError, peer_closed

__all__ = ["FAULT_KINDS", "FaultInjector", "abort_connection"]

FAULT_KINDS = ("stall", "silence", "crash", "slow", "late", "cross", "cut", "refuse", "drop_cache_events", "clear")
_MAX_FAULT_S = 3600.0
_POLL_INTERVAL_S = 0.1


class FaultInjector:
    """Holds the injected faults and their expiry times or remaining counts. Thread-safe.

    A fault command is a JSON object with ``kind`` and, depending on the kind, ``for_s``, ``count``, ``connections``,
    ``running``, ``factor`` or ``delay_s``:

    - ``stall``: prefill and decode make no progress for `for_s`, then continue.
    - ``silence``: nothing is written to the ``existing`` connections, or to ``all`` connections that are open or
      opened within `for_s`; requests are still read. A silenced connection stays silenced until ``clear``.
    - ``crash``: the process exits at once, without cleanup.
    - ``slow``: prefill and decode take `factor` times as long for `for_s`.
    - ``late``: the next `count` responses are delayed by `delay_s`.
    - ``cross``: the next `count` responses carry a wrong request id.
    - ``cut``: the next `count` streams, and with ``"running": true`` also the running ones, are closed without the
      end event.
    - ``refuse``: every request gets status 503 for `for_s`.
    - ``drop_cache_events``: the next `count` messages with cache events are not sent.
    - ``clear``: removes all faults.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._connections: weakref.WeakSet[socket.socket] = weakref.WeakSet()
        self._reset()

    def _reset(self) -> None:
        self._until_by_kind: dict[str, float] = {}
        self._count_by_kind: dict[str, int] = {}
        self._silenced: weakref.WeakSet[socket.socket] = weakref.WeakSet()
        self._slowdown_factor = 1.0
        self._response_delay_s = 0.0
        self.cut_attached_before = 0.0  # monotonic time; streams attached to their connection earlier are cut

    def apply(self, body: dict[str, Any]) -> None:
        """Applies a fault command; raises `ValueError` for an unknown kind."""
        kind = body.get("kind")
        if kind not in FAULT_KINDS:
            raise ValueError(f"kind must be one of {', '.join(FAULT_KINDS)}")
        if kind == "crash":
            os._exit(70)
        now = time.monotonic()
        with self._lock:
            if kind == "clear":
                self._reset()
            elif kind in ("late", "cross", "cut", "drop_cache_events"):
                self._count_by_kind[kind] = int(body.get("count", 1))
                self._response_delay_s = float(body.get("delay_s", 1.0))
                if kind == "cut" and body.get("running"):
                    self.cut_attached_before = now
            elif kind == "silence" and body.get("connections", "all") == "existing":
                self._silenced.update(self._connections)
            else:
                self._until_by_kind[kind] = now + float(body.get("for_s", _MAX_FAULT_S))
                self._slowdown_factor = float(body.get("factor", self._slowdown_factor))

    def track_connection(self, connection: socket.socket) -> None:
        """Registers a connection and silences it if a ``silence`` fault covers all connections."""
        with self._lock:
            self._connections.add(connection)
            if time.monotonic() < self._until_by_kind.get("silence", 0):
                self._silenced.add(connection)

    def is_silenced(self, connection: socket.socket) -> bool:
        """Returns whether writes to a connection are suppressed."""
        with self._lock:
            if time.monotonic() < self._until_by_kind.get("silence", 0):
                self._silenced.update(self._connections)
            return connection in self._silenced

    def hold_open(self, connection: socket.socket) -> None:
        """Blocks until the peer closes a silenced connection, at most one hour, then raises `AbortStreamError`."""
        deadline = time.monotonic() + _MAX_FAULT_S
        while time.monotonic() < deadline and not peer_closed(connection):
            time.sleep(_POLL_INTERVAL_S)
        raise AbortStreamError

    def is_refusing(self) -> bool:
        """Returns whether a ``refuse`` fault is active."""
        with self._lock:
            return time.monotonic() < self._until_by_kind.get("refuse", 0)

    def slowdown_factor(self) -> float:
        """Returns the factor by which prefill and decode are slowed at present; 1 without a fault."""
        with self._lock:
            return self._slowdown_factor if time.monotonic() < self._until_by_kind.get("slow", 0) else 1.0

    def stalled_until(self) -> float:
        """Returns the end of the latest stall as monotonic time, or 0 without any."""
        with self._lock:
            return self._until_by_kind.get("stall", 0.0)

    def consume(self, kind: str) -> bool:
        """Consumes one use of a counted fault; returns False when none is left."""
        with self._lock:
            remaining = self._count_by_kind.get(kind, 0)
            self._count_by_kind[kind] = max(0, remaining - 1)
            return remaining > 0

    def apply_response_faults(self, request_id: str) -> str:
        """Delays a ``late`` response and returns the request id that the response must carry."""
        if self.consume("late"):
            time.sleep(self._response_delay_s)
        return "req-" + "0" * 26 if self.consume("cross") else request_id


def abort_connection(connection: socket.socket) -> None:
    """Closes a connection, so that its caller gets no response or an incomplete one; raises `AbortStreamError`.

    The server would answer a request that ends without a response.
    """
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    raise AbortStreamError
