"""Cancellation of requests whose VM has ended or no longer renews them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import PartLog

from ._allocations import AllocationTable
from ._engine_calls import EngineCallQueue, EngineRequest
from ._index import ServerIndex
from ._ticket import Allocation

__all__ = ["RENEWAL_TIMEOUT_S", "RenewalMonitor"]

RENEWAL_TIMEOUT_S = 1.2  # three renewal periods of 0.4 s
_DECODE_STAGES = ("decode", "decoding")


@dataclass(slots=True)
class _Orphan:
    request: EngineRequest
    address: str
    found_at: float
    cancelling: bool = False


class RenewalMonitor:
    """Cancels the engine requests of tickets that their VM no longer renews. Guarded by the owner's lock.

    Missing renewals count only for VMs that have sent one before. `on_cancelled` is called without the lock once all
    engines have acknowledged the cancellation, or have not responded for so long that they no longer hold the request.
    Its arguments are the ticket and, for an orphan (a request on an engine without a ticket at this owner), the server
    ID, else an empty string.
    """

    def __init__(
        self,
        allocations: AllocationTable,
        index: ServerIndex,
        call_queue: EngineCallQueue | None,
        is_dead: Callable[[str, int], bool],
        on_cancelled: Callable[[str, str], None],
    ):
        self._allocations = allocations
        self._index = index
        self._call_queue = call_queue
        self._is_dead = is_dead
        self._on_cancelled = on_cancelled
        self._log = PartLog("pool renewals")
        self._renewed_at: dict[tuple[str, int], float] = {}  # by VM and incarnation
        self._orphan_by_key: dict[tuple[str, str], _Orphan] = {}  # by server ID and request ID
        self._unacknowledged: dict[str, set[str]] = {}  # engine addresses by ticket

    def renew(self, pool: str, request: Any, now: float) -> None:
        """Renews the tickets of `pool` that a VM still holds and adopts unknown ones."""
        self._renewed_at[(request.vm, request.incarnation)] = now
        for ticket in request.tickets or ():
            if ticket.pool != pool:
                continue
            allocation = self._allocations.allocation_by_ticket.get(ticket.ticket)
            if allocation is None:
                self._adopt(ticket, request, now)
            elif (allocation.vm, allocation.incarnation) == (
                request.vm,
                request.incarnation,
            ) and not allocation.cancelling:
                allocation.renewed_at = now
                allocation.delivered = True
                if ticket.stage in _DECODE_STAGES:
                    self._allocations.end_prefill(allocation, now)

    def _adopt(self, ticket: Any, request: Any, now: float) -> None:
        allocation = self._allocations.adopt(ticket, request.vm, request.incarnation, now)
        if allocation is None:
            return
        for key in [key for key in self._orphan_by_key if key[1] == ticket.ticket]:
            del self._orphan_by_key[key]
            server = self._index.by_id.get(key[0])
            if server is not None:
                server.orphans = max(0, server.orphans - 1)
                self._index.update(server, now)

    def record_engine_requests(self, server_id: str, engine_requests: list[EngineRequest] | None, now: float) -> None:
        """Records the requests on an engine that have no ticket as orphans, so that their slots stay taken."""
        server = self._index.by_id.get(server_id)
        if server is None:
            return
        server.requests_read = True
        for engine_request in engine_requests or ():
            if engine_request.request_id not in self._allocations.allocation_by_ticket:
                key = (server_id, engine_request.request_id)
                self._orphan_by_key[key] = _Orphan(engine_request, server.announcement.address, now)
        server.orphans = sum(1 for orphan_server_id, _ in self._orphan_by_key if orphan_server_id == server_id)
        self._index.update(server, now)

    def tick(self, now: float) -> None:
        """Cancels overdue tickets and orphans, and those of dead VMs; frees assignments that were never delivered."""
        for allocation in list(self._allocations.allocation_by_ticket.values()):
            if allocation.cancelling:
                continue
            overdue = now - allocation.renewed_at > RENEWAL_TIMEOUT_S
            if not allocation.delivered and overdue:
                self._log.info("freeing ticket %s: its assignment was never collected", allocation.ticket)
                self._allocations.free(allocation, now)
            elif self._is_dead(allocation.vm, allocation.incarnation) or (
                overdue and self._has_renewed(allocation.vm, allocation.incarnation)
            ):
                self._cancel(allocation, now)
        for key, orphan in list(self._orphan_by_key.items()):
            self._check_orphan(key, orphan, now)

    def _has_renewed(self, vm: str, incarnation: int) -> bool:
        return (vm, incarnation) in self._renewed_at

    def _cancel(self, allocation: Allocation, now: float) -> None:
        assignment = allocation.assignment
        self._log.warning(
            "cancelling ticket %s: VM %s has ended or does not renew it", allocation.ticket, allocation.vm
        )
        if self._call_queue is None or not assignment.prefill_server:
            self._allocations.free(allocation, now)  # plain services have no cancellation interface
            return
        allocation.cancelling = True
        addresses = {assignment.prefill_address, assignment.decode_address}
        self._unacknowledged[allocation.ticket] = set(addresses)
        for address in addresses:
            self._call_queue.cancel(
                address, allocation.ticket, lambda _, a=address: self._on_acknowledged(allocation.ticket, a)
            )

    def _on_acknowledged(self, ticket: str, address: str) -> None:
        unacknowledged = self._unacknowledged.get(ticket, set())
        unacknowledged.discard(address)
        if not unacknowledged and self._unacknowledged.pop(ticket, None) is not None:
            self._on_cancelled(ticket, "")

    def _check_orphan(self, key: tuple[str, str], orphan: _Orphan, now: float) -> None:
        server = self._index.by_id.get(key[0])
        if server is None or key[1] in self._allocations.allocation_by_ticket:
            del self._orphan_by_key[key]
            return
        engine_request = orphan.request
        # An engine of several pools may hold requests whose tickets are at another pool's owner.
        overdue = now - orphan.found_at > RENEWAL_TIMEOUT_S and len(server.announcement.pools) == 1
        if orphan.cancelling or not (
            self._is_dead(engine_request.vm, engine_request.incarnation)
            or (overdue and self._has_renewed(engine_request.vm, engine_request.incarnation))
        ):
            return
        orphan.cancelling = True
        self._log.warning(
            "cancelling request %s on server %s: its VM has ended or does not renew it",
            engine_request.request_id,
            key[0],
        )
        self._call_queue.cancel(
            orphan.address, engine_request.request_id, lambda _: self._on_cancelled(engine_request.request_id, key[0])
        )

    def forget_orphan(self, ticket: str, server_id: str, now: float) -> None:
        """Frees the slot of an orphan after its cancellation."""
        if self._orphan_by_key.pop((server_id, ticket), None) is None:
            return
        server = self._index.by_id.get(server_id)
        if server is not None:
            server.orphans = max(0, server.orphans - 1)
            self._index.update(server, now)
