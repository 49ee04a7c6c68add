"""Table of the tickets that hold slots on servers."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import Any

from arbutusrill_wire import messages

from ._fair_queue import FairQueue
from ._index import ServerIndex
from ._server import Server
from ._ticket import Allocation, Cost, Placement, Ticket

__all__ = ["AllocationTable"]

FREED_TICKET_TTL_S = 5.0  # a renewal in flight when its ticket was released arrives within this time
_PRIORITY_BY_CLASS = {"lookup": 2, "interactive": 1, "briefing": 0}


class AllocationTable:
    """Allocated tickets. Keeps the slot counts of servers and workspaces consistent with them."""

    def __init__(self, index: ServerIndex, queue: FairQueue):
        self._index = index
        self._queue = queue
        self.allocation_by_ticket: dict[str, Allocation] = {}
        self._servers_by_ticket: dict[str, list[Server]] = {}
        self._freed_at: OrderedDict[str, float] = OrderedDict()
        self._prefill_due_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self.allocation_by_ticket)

    def allocate(self, ticket: Ticket, placement: Placement, reserves: bool, now: float) -> Allocation:
        """Takes the slots of a placement for a ticket and returns the allocation with its assignment."""
        request = ticket.request
        assert ticket.id not in self.allocation_by_ticket, f"ticket {ticket.id} already has an assignment"
        prefill, decode = placement.prefill, placement.decode
        assignment = messages.Assignment(
            ticket.id,
            prefill.id if prefill else "",
            prefill.announcement.address if prefill else "",
            decode.id,
            decode.announcement.address,
            decode.announcement.incarnation,
            now - ticket.arrived_at + placement.first_token_s,
            _PRIORITY_BY_CLASS.get(request.latency_class, 1),
        )
        allocation = Allocation(
            ticket.id, request.vm, request.incarnation, request.workspace, assignment, now, now, ticket.cost
        )
        allocation.reserves = reserves
        allocation.prefilling = prefill is not None
        allocation.predicted_prefill_s = placement.wait_s + placement.prefill_s
        allocation.output_tokens = request.output_tokens
        allocation.batch = decode.assigned + 1
        if prefill is not None:
            prefill.enqueue_prefill(ticket.id, placement.prefill_s, now)
            heapq.heappush(self._prefill_due_heap, (now + allocation.predicted_prefill_s, ticket.id))
        self._record(allocation, [decode] if prefill in (None, decode) else [decode, prefill], reserves, now)
        return allocation

    def adopt(self, ticket: Any, vm: str, incarnation: int, now: float) -> Allocation | None:
        """Adds a ticket that an earlier owner assigned; returns None for one that was freed here.

        `ticket` is a `HeldTicket` of a renewal. Its slots are in use already, so the number of slots does not limit it.
        """
        if ticket.ticket in self._freed_at or ticket.assignment is None:
            return None
        allocation = Allocation(ticket.ticket, vm, incarnation, ticket.workspace, ticket.assignment, now, now, Cost())
        allocation.delivered = True
        allocation.prefilling = ticket.stage == "prefill"
        servers = []
        decode = self._index.by_id.get(ticket.assignment.decode_server)
        if decode is not None:
            servers.append(decode)
        prefill = self._index.by_id.get(ticket.assignment.prefill_server)
        if allocation.prefilling and prefill is not None:
            prefill.enqueue_prefill(allocation.ticket, 0.0, now)
            if prefill is not decode:
                servers.append(prefill)
        self._record(allocation, servers, False, now)
        return allocation

    def _record(self, allocation: Allocation, servers: list[Server], enforce_slots: bool, now: float) -> None:
        for server in servers:
            if enforce_slots:
                server.take_slot()
            else:
                server.count_slot()
        self.allocation_by_ticket[allocation.ticket] = allocation
        self._servers_by_ticket[allocation.ticket] = servers
        self._freed_at.pop(allocation.ticket, None)
        self._update_usage(allocation, now, 1, int(allocation.prefilling))
        for server in servers:
            self._reindex(server, now)

    def end_prefill(self, allocation: Allocation, now: float) -> None:
        """Frees the prefill server of a ticket; the decode slot stays taken."""
        if not allocation.prefilling:
            return
        allocation.prefilling = False
        self._update_usage(allocation, now, 0, -1)
        servers = self._servers_by_ticket[allocation.ticket]
        for server in list(servers):
            ended = server.end_prefill(allocation.ticket, now)
            if server.id != allocation.assignment.decode_server:
                servers.remove(server)
                server.release_slot()
            if ended:
                self._reindex(server, now)

    def pop_due_prefills(self, now: float) -> list[Allocation]:
        """Returns the allocations whose prefill was predicted to end by now, each of them once."""
        found = []
        while self._prefill_due_heap and self._prefill_due_heap[0][0] <= now:
            allocation = self.allocation_by_ticket.get(heapq.heappop(self._prefill_due_heap)[1])
            if allocation is not None and allocation.prefilling:
                found.append(allocation)
        return found

    def free(self, allocation: Allocation, now: float) -> None:
        """Frees all slots of a ticket."""
        self.end_prefill(allocation, now)
        del self.allocation_by_ticket[allocation.ticket]
        for server in self._servers_by_ticket.pop(allocation.ticket):
            server.release_slot()
            self._reindex(server, now)
        self._update_usage(allocation, now, -1, 0)
        self._freed_at[allocation.ticket] = now

    def expire_freed(self, now: float) -> None:
        """Forgets tickets freed more than `FREED_TICKET_TTL_S` ago."""
        while self._freed_at and now - next(iter(self._freed_at.values())) > FREED_TICKET_TTL_S:
            self._freed_at.popitem(last=False)

    def _update_usage(self, allocation: Allocation, now: float, slots: int, prefills: int) -> None:
        self._queue.add_usage(
            self._queue.get_or_create_share(allocation.workspace, self._weight(allocation.workspace), now),
            slots,
            prefills,
        )

    def _weight(self, workspace: str) -> float:
        share = self._queue.share_by_workspace.get(workspace)
        return share.weight if share is not None else 1.0

    def _reindex(self, server: Server, now: float) -> None:
        if self._index.by_id.get(server.id) is server:
            self._index.update(server, now)
