"""Renewal of the tickets that this VM holds at pool owners."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_base import PartLog, TaskGroup
from arbutusrill_wire import RpcError, messages

from ._pool_clients import PoolClients

__all__ = ["RENEW_INTERVAL_S", "HeldTickets"]

RENEW_INTERVAL_S = 0.4
_CALL_TIMEOUT_S = 0.6  # owners drop a ticket after 1.2 s without a renewal
_MAX_PARALLEL_OWNERS = 64
_log = PartLog("renewals")


class HeldTickets:
    """Renews every held ticket at the current owner of its pool, every `RENEW_INTERVAL_S` seconds.

    An owner that does not answer delays only its own renewals. A new owner rebuilds its list of the requests in
    progress on its servers from the renewals.
    """

    def __init__(self, pools: PoolClients, vm: str, incarnation: int):
        self._pools = pools
        self._vm = vm
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._ticket_by_id: dict[str, Any] = {}
        self._busy_owners: set[str] = set()
        self._tasks = TaskGroup("renewals", _MAX_PARALLEL_OWNERS)

    def __enter__(self) -> HeldTickets:
        self._tasks.run_periodically(RENEW_INTERVAL_S, self.renew)
        return self

    def __exit__(self, *_: object) -> None:
        self._tasks.close()

    def __len__(self) -> int:
        return len(self._ticket_by_id)

    def add(self, pool: str, assignment: Any, workspace: str, stage: str) -> None:
        """Starts renewing the ticket of an assignment."""
        held_ticket = messages.HeldTicket(assignment.ticket, pool, assignment, workspace, stage)
        with self._lock:
            self._ticket_by_id[held_ticket.ticket] = held_ticket

    def set_stage(self, ticket: str, stage: str) -> None:
        """Sets the stage of a request that later renewals report, such as ``prefill`` or ``decode``."""
        with self._lock:
            held_ticket = self._ticket_by_id.get(ticket)
            if held_ticket is not None:
                held_ticket.stage = stage

    def remove(self, ticket: str) -> None:
        """Stops renewing a ticket."""
        with self._lock:
            self._ticket_by_id.pop(ticket, None)

    def renew(self) -> None:
        """Sends one renewal to each owner in parallel, except to those whose previous renewal is still running."""
        tickets_by_owner: dict[str, list[Any]] = {}
        with self._lock:
            held_tickets = list(self._ticket_by_id.values())
        for ticket in held_tickets:
            owner = self._pools.owner_of(ticket.pool)
            if owner:
                tickets_by_owner.setdefault(owner, []).append(ticket)
        for owner, tickets in tickets_by_owner.items():
            with self._lock:
                if owner in self._busy_owners:
                    continue
                self._busy_owners.add(owner)
            if self._tasks.start(self._renew_at, owner, tickets) is None:
                self._mark_idle(owner)

    def _renew_at(self, owner: str, tickets: list[Any]) -> None:
        try:
            request = messages.RenewRequest(self._vm, self._incarnation, tickets)
            self._pools.call_vm(owner, "renew", request, _CALL_TIMEOUT_S)
        except (messages.Refused, RpcError) as error:
            _log.warning("renewal of %d tickets at owner %s failed: %s", len(tickets), owner, error)
        finally:
            self._mark_idle(owner)

    def _mark_idle(self, owner: str) -> None:
        with self._lock:
            self._busy_owners.discard(owner)
