"""Book of the tickets that hold places on servers."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import Any

from arbutusrill_wire import messages

from ._index import ServerIndex
from ._server import Server
from ._shares import FairQueue
from ._ticket import Cost, Held, Placement, Ticket

__all__ = ["HoldingBook"]

REMEMBERED_S = 5.0  # a renewal that was under way when its ticket was released arrives within this time
_PRIORITY_BY_CLASS = {"lookup": 2, "interactive": 1, "briefing": 0}


class HoldingBook:
    """Tickets that hold places, and the counts of those places on the servers and by workspace."""

    def __init__(self, index: ServerIndex, queue: FairQueue):
        self._index = index
        self._queue = queue
        self.held_by_ticket: dict[str, Held] = {}
        self._places: dict[str, list[Server]] = {}
        self._freed_at: OrderedDict[str, float] = OrderedDict()
        self._prefills_due: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self.held_by_ticket)

    def take(self, ticket: Ticket, placement: Placement, reserves: bool, now: float) -> Held:
        """Gives the places of a placement to a ticket and returns its entry with the assignment."""
        request = ticket.request
        assert ticket.id not in self.held_by_ticket, f"ticket {ticket.id} already has an assignment"
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
        held = Held(ticket.id, request.vm, request.incarnation, request.workspace, assignment, now, now, ticket.cost)
        held.reserves = reserves
        held.prefilling = prefill is not None
        held.predicted_prefill_s = placement.wait_s + placement.prefill_s
        held.output_tokens = request.output_tokens
        held.batch = decode.assigned + 1
        if prefill is not None:
            prefill.begin_prefill(ticket.id, placement.prefill_s, now)
            heapq.heappush(self._prefills_due, (now + held.predicted_prefill_s, ticket.id))
        self._count(held, [decode] if prefill in (None, decode) else [decode, prefill], reserves, now)
        return held

    def adopt(self, ticket: Any, vm: str, incarnation: int, now: float) -> Held | None:
        """Takes over a ticket that an earlier owner assigned; returns None for one that was freed here.

        `ticket` is a `HeldTicket` of a renewal. Its places exist whatever this owner thinks of them.
        """
        if ticket.ticket in self._freed_at or ticket.assignment is None:
            return None
        held = Held(ticket.ticket, vm, incarnation, ticket.workspace, ticket.assignment, now, now, Cost())
        held.delivered = True
        held.prefilling = ticket.stage == "prefill"
        places = []
        decode = self._index.by_id.get(ticket.assignment.decode_server)
        if decode is not None:
            places.append(decode)
        prefill = self._index.by_id.get(ticket.assignment.prefill_server)
        if held.prefilling and prefill is not None:
            prefill.begin_prefill(held.ticket, 0.0, now)
            if prefill is not decode:
                places.append(prefill)
        self._count(held, places, False, now)
        return held

    def _count(self, held: Held, places: list[Server], checked: bool, now: float) -> None:
        for server in places:
            if checked:
                server.join()
            else:
                server.adopt()
        self.held_by_ticket[held.ticket] = held
        self._places[held.ticket] = places
        self._freed_at.pop(held.ticket, None)
        self._use(held, now, 1, int(held.prefilling))
        for server in places:
            self._update(server, now)

    def end_prefill(self, held: Held, now: float) -> None:
        """Frees what the prefill held; the decode slot stays."""
        if not held.prefilling:
            return
        held.prefilling = False
        self._use(held, now, 0, -1)
        places = self._places[held.ticket]
        for server in list(places):
            ended = server.end_prefill(held.ticket, now)
            if server.id != held.assignment.decode_server:
                places.remove(server)
                server.leave()
            if ended:
                self._update(server, now)

    def due_prefills(self, now: float) -> list[Held]:
        """Returns, once each, the tickets whose prefill was predicted to end by now."""
        found = []
        while self._prefills_due and self._prefills_due[0][0] <= now:
            held = self.held_by_ticket.get(heapq.heappop(self._prefills_due)[1])
            if held is not None and held.prefilling:
                found.append(held)
        return found

    def free(self, held: Held, now: float) -> None:
        """Gives back all that a ticket holds."""
        self.end_prefill(held, now)
        del self.held_by_ticket[held.ticket]
        for server in self._places.pop(held.ticket):
            server.leave()
            self._update(server, now)
        self._use(held, now, -1, 0)
        self._freed_at[held.ticket] = now

    def forget_freed(self, now: float) -> None:
        """Drops the memory of tickets freed long ago."""
        while self._freed_at and now - next(iter(self._freed_at.values())) > REMEMBERED_S:
            self._freed_at.popitem(last=False)

    def _use(self, held: Held, now: float, slots: int, prefills: int) -> None:
        self._queue.use(self._queue.share(held.workspace, self._weight(held.workspace), now), slots, prefills)

    def _weight(self, workspace: str) -> float:
        share = self._queue.share_by_workspace.get(workspace)
        return share.weight if share is not None else 1.0

    def _update(self, server: Server, now: float) -> None:
        if self._index.by_id.get(server.id) is server:
            self._index.update(server, now)
