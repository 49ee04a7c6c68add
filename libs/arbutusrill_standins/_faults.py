"""Faults of a stand-in, switched on by a command over HTTP."""

from __future__ import annotations

import os
import socket
import threading
import time
import weakref
from typing import Any

from arbutusrill_http import AbortStreamError, caller_gone

__all__ = ["FAULT_KINDS", "FaultSwitch"]

FAULT_KINDS = ("stall", "silence", "crash", "slow", "late", "cross", "cut", "refuse", "drop_cache_events", "clear")
_LONGEST_S = 3600.0
_CHECK_S = 0.1


class FaultSwitch:
    """Decides what goes wrong, and when. Safe to use from many threads.

    Command ``{"kind": ..., "for_s": ..., "count": ..., "connections": ..., "factor": ..., "delay_s": ...}``:

    - ``stall``: no progress on any request for `for_s`; everything continues afterwards.
    - ``silence``: no byte is written any more, on the ``existing`` connections or on ``all`` that are open or
      opened within `for_s`; reading goes on.
    - ``crash``: the process ends without any clean-up.
    - ``slow``: everything takes `factor` times as long, for `for_s`.
    - ``late``: the next `count` answers come `delay_s` later.
    - ``cross``: the next `count` answers carry another request's id.
    - ``cut``: the next `count` streams, and with ``"running": true`` also the running ones, break without end mark.
    - ``refuse``: status 503 for every request for `for_s`.
    - ``drop_cache_events``: the next `count` messages with cache events are lost.
    - ``clear``: ends all faults.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._connections: weakref.WeakSet[socket.socket] = weakref.WeakSet()
        self._clear()

    def _clear(self) -> None:
        self._until_by_kind: dict[str, float] = {}
        self._count_by_kind: dict[str, int] = {}
        self._silenced: weakref.WeakSet[socket.socket] = weakref.WeakSet()
        self._factor = 1.0
        self._delay_s = 0.0
        self.cut_before = 0.0  # streams begun before this moment are cut

    def command(self, body: dict[str, Any]) -> None:
        """Switches a fault on; raises `ValueError` for an unknown kind."""
        kind = body.get("kind")
        if kind not in FAULT_KINDS:
            raise ValueError(f"kind must be one of {', '.join(FAULT_KINDS)}")
        if kind == "crash":
            os._exit(70)
        now = time.monotonic()
        with self._lock:
            if kind == "clear":
                self._clear()
            elif kind in ("late", "cross", "cut", "drop_cache_events"):
                self._count_by_kind[kind] = int(body.get("count", 1))
                self._delay_s = float(body.get("delay_s", 1.0))
                if kind == "cut" and body.get("running"):
                    self.cut_before = now
            elif kind == "silence" and body.get("connections", "all") == "existing":
                self._silenced.update(self._connections)
            else:
                self._until_by_kind[kind] = now + float(body.get("for_s", _LONGEST_S))
                self._factor = float(body.get("factor", self._factor))

    def note_connection(self, connection: socket.socket) -> None:
        """Remembers a connection, and silences it while all connections are silent."""
        with self._lock:
            self._connections.add(connection)
            if time.monotonic() < self._until_by_kind.get("silence", 0):
                self._silenced.add(connection)

    def silent(self, connection: socket.socket) -> bool:
        """Says whether nothing may be written to a connection."""
        with self._lock:
            if time.monotonic() < self._until_by_kind.get("silence", 0):
                self._silenced.update(self._connections)
            return connection in self._silenced

    def hold(self, connection: socket.socket) -> None:
        """Keeps a silent connection open until its peer closes it, then raises `AbortStreamError`."""
        deadline = time.monotonic() + _LONGEST_S
        while time.monotonic() < deadline and not caller_gone(connection):
            time.sleep(_CHECK_S)
        raise AbortStreamError

    def refusing(self) -> bool:
        """Says whether every request is refused."""
        with self._lock:
            return time.monotonic() < self._until_by_kind.get("refuse", 0)

    def slowdown(self) -> float:
        """Returns the factor by which everything takes longer at the moment."""
        with self._lock:
            return self._factor if time.monotonic() < self._until_by_kind.get("slow", 0) else 1.0

    def stalled_until(self) -> float:
        """Returns the end of the stall on the monotonic clock, or 0."""
        with self._lock:
            return self._until_by_kind.get("stall", 0.0)

    def take(self, kind: str) -> bool:
        """Uses up one of the faults that were ordered by number."""
        with self._lock:
            left = self._count_by_kind.get(kind, 0)
            self._count_by_kind[kind] = max(0, left - 1)
            return left > 0

    def answer_id(self, request_id: str) -> str:
        """Waits if the answer is to come late, and returns the id that it carries."""
        if self.take("late"):
            time.sleep(self._delay_s)
        return "req-" + "0" * 26 if self.take("cross") else request_id
