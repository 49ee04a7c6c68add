"""Owner of one pool: knows its backend servers and gives out their slots."""

from __future__ import annotations

import itertools
import threading
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock
from arbutusrill_wire import messages

__all__ = ["PoolOwner"]

SILENT_S = 2.0  # a backend server not heard of for this long gets no new work


@dataclass(slots=True)
class _Server:
    announcement: Any
    heard_at: float
    assigned: int = 0


class PoolOwner:
    """Assigns the requests of one pool to backend servers. Safe to call from many threads."""

    def __init__(self, name: str, epoch: int, clock: Clock):
        self.name = name
        self.epoch = epoch
        self._clock = clock
        self._freed = threading.Condition()
        self._server_by_id: dict[str, _Server] = {}
        self._assignment_by_ticket: dict[str, Any] = {}
        self._turn = itertools.count()

    def announce(self, announcement: Any) -> None:
        """Takes in what a backend server says of itself."""
        with self._freed:
            known = self._server_by_id.get(announcement.id)
            assigned = known.assigned if known else 0
            self._server_by_id[announcement.id] = _Server(announcement, self._clock.monotonic(), assigned)
            self._freed.notify_all()

    def acquire(self, request: Any) -> Any:
        """Assigns servers to a request, waiting at most its `wait_ms`."""
        deadline = self._clock.monotonic() + request.wait_ms / 1000
        with self._freed:
            while True:
                known = self._assignment_by_ticket.get(request.ticket)
                assignment = known or self._place(request)
                if assignment is not None:
                    self._assignment_by_ticket[request.ticket] = assignment
                    return messages.AcquireReply("assigned", assignment)
                remaining = deadline - self._clock.monotonic()
                if remaining <= 0:
                    return messages.AcquireReply("pending")
                self._freed.wait(remaining)

    def release(self, request: Any) -> None:
        """Frees what a ticket held."""
        with self._freed:
            assignment = self._assignment_by_ticket.pop(request.ticket, None)
            if assignment is not None:
                for server_id in (assignment.prefill_server, assignment.decode_server):
                    if server_id in self._server_by_id:
                        self._server_by_id[server_id].assigned -= 1
                self._freed.notify_all()

    def status(self) -> Any:
        """Returns the servers of the pool as this owner knows them."""
        now = self._clock.monotonic()
        with self._freed:
            servers = [
                messages.ServerStatus(server.announcement, server.assigned, now - server.heard_at, "ok", 0)
                for server in self._server_by_id.values()
            ]
        return messages.PoolStatus(self.name, self.epoch, 0, servers)

    def _place(self, request: Any) -> Any | None:
        decode = self._pick(("decode", "both", "plain"), request.avoid or [])
        if decode is None:
            return None
        if decode.announcement.role == "plain":
            decode.assigned += 1
            return messages.Assignment(request.ticket, "", "", decode.announcement.id, decode.announcement.address)
        prefill = self._pick(("prefill", "both"), request.avoid or [])
        if prefill is None:
            return None
        decode.assigned += 1
        prefill.assigned += 1
        return messages.Assignment(
            request.ticket,
            prefill.announcement.id,
            prefill.announcement.address,
            decode.announcement.id,
            decode.announcement.address,
            decode.announcement.incarnation,
        )

    def _pick(self, roles: tuple[str, ...], avoid: list[str]) -> _Server | None:
        now = self._clock.monotonic()
        free = [
            server
            for server in self._server_by_id.values()
            if server.announcement.role in roles
            and server.announcement.state == "ready"
            and server.assigned < server.announcement.slots
            and server.announcement.id not in avoid
            and now - server.heard_at < SILENT_S
        ]
        return min(free, key=lambda server: server.assigned / server.announcement.slots, default=None)
