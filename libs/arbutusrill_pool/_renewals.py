"""Tickets whose VM is gone: renewals, dead incarnations, and requests that nobody accounts for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import PartLog

from ._engines import EngineRequest, EngineWork
from ._holding import HoldingBook
from ._index import ServerIndex
from ._ticket import Held

__all__ = ["RENEWAL_LIMIT_S", "RenewalWatch"]

RENEWAL_LIMIT_S = 1.2  # three renewals of 0.4 s
_PAST_PREFILL = ("decode", "decoding")


@dataclass(slots=True)
class _Orphan:
    request: EngineRequest
    address: str
    seen_at: float
    cancelling: bool = False


class RenewalWatch:
    """Cancels the engine requests of tickets that their VM no longer renews. The owner's lock protects it.

    A VM is held to its renewals once it has sent one. `on_cancelled` is called without the lock when the engines
    have acknowledged, or have not answered for so long that they hold nothing. It gets the ticket and, for an
    orphan (a request on an engine that no ticket accounts for), the name of the server, else an empty string.
    """

    def __init__(
        self,
        book: HoldingBook,
        index: ServerIndex,
        work: EngineWork | None,
        is_dead: Callable[[str, int], bool],
        on_cancelled: Callable[[str, str], None],
    ):
        self._book = book
        self._index = index
        self._work = work
        self._is_dead = is_dead
        self._on_cancelled = on_cancelled
        self._log = PartLog("pool renewals")
        self._renewed_at: dict[tuple[str, int], float] = {}
        self._orphan_by_key: dict[tuple[str, str], _Orphan] = {}
        self._left: dict[str, set[str]] = {}  # addresses that have yet to acknowledge, by ticket

    def renew(self, pool: str, request: Any, now: float) -> None:
        """Takes in the tickets of `pool` that a VM still holds; those that are unknown are adopted."""
        self._renewed_at[(request.vm, request.incarnation)] = now
        for ticket in request.tickets or ():
            if ticket.pool != pool:
                continue
            held = self._book.held_by_ticket.get(ticket.ticket)
            if held is None:
                self._adopt(ticket, request, now)
            elif (held.vm, held.incarnation) == (request.vm, request.incarnation) and not held.cancelling:
                held.renewed_at = now
                held.delivered = True
                if ticket.stage in _PAST_PREFILL:
                    self._book.end_prefill(held, now)

    def _adopt(self, ticket: Any, request: Any, now: float) -> None:
        held = self._book.adopt(ticket, request.vm, request.incarnation, now)
        if held is None:
            return
        for key in [key for key in self._orphan_by_key if key[1] == ticket.ticket]:
            del self._orphan_by_key[key]
            server = self._index.by_id.get(key[0])
            if server is not None:
                server.orphans = max(0, server.orphans - 1)
                self._index.update(server, now)

    def take_requests(self, server_id: str, rows: list[EngineRequest] | None, now: float) -> None:
        """Takes in the requests that an engine holds, so that its slots are not given out a second time."""
        server = self._index.by_id.get(server_id)
        if server is None:
            return
        server.checked = True
        for row in rows or ():
            if row.request_id not in self._book.held_by_ticket:
                key = (server_id, row.request_id)
                self._orphan_by_key[key] = _Orphan(row, server.announcement.address, now)
        server.orphans = sum(1 for name, _ in self._orphan_by_key if name == server_id)
        self._index.update(server, now)

    def tick(self, now: float) -> None:
        """Cancels what is due."""
        for held in list(self._book.held_by_ticket.values()):
            if held.cancelling:
                continue
            overdue = now - held.renewed_at > RENEWAL_LIMIT_S
            if not held.delivered and overdue:
                self._log.info("%s was assigned but never collected", held.ticket)
                self._book.free(held, now)
            elif self._is_dead(held.vm, held.incarnation) or (overdue and self._renews(held.vm, held.incarnation)):
                self._cancel(held, now)
        for key, orphan in list(self._orphan_by_key.items()):
            self._check_orphan(key, orphan, now)

    def _renews(self, vm: str, incarnation: int) -> bool:
        return (vm, incarnation) in self._renewed_at

    def _cancel(self, held: Held, now: float) -> None:
        assignment = held.assignment
        self._log.warning("%s is cancelled: VM %s does not renew it", held.ticket, held.vm)
        if self._work is None or not assignment.prefill_server:
            self._book.free(held, now)  # plain services have no interface to cancel
            return
        held.cancelling = True
        addresses = {assignment.prefill_address, assignment.decode_address}
        self._left[held.ticket] = set(addresses)
        for address in addresses:
            self._work.cancel(address, held.ticket, lambda _, a=address: self._acknowledged(held.ticket, a))

    def _acknowledged(self, ticket: str, address: str) -> None:
        left = self._left.get(ticket, set())
        left.discard(address)
        if not left and self._left.pop(ticket, None) is not None:
            self._on_cancelled(ticket, "")

    def _check_orphan(self, key: tuple[str, str], orphan: _Orphan, now: float) -> None:
        server = self._index.by_id.get(key[0])
        if server is None or key[1] in self._book.held_by_ticket:
            del self._orphan_by_key[key]
            return
        row = orphan.request
        overdue = now - orphan.seen_at > RENEWAL_LIMIT_S and len(server.announcement.pools) == 1
        if orphan.cancelling or not (
            self._is_dead(row.vm, row.incarnation) or (overdue and self._renews(row.vm, row.incarnation))
        ):
            return
        orphan.cancelling = True
        self._log.warning("%s on %s belongs to no VM that runs and is cancelled", row.request_id, key[0])
        self._work.cancel(orphan.address, row.request_id, lambda _: self._on_cancelled(row.request_id, key[0]))

    def forget_orphan(self, ticket: str, server_id: str, now: float) -> None:
        """Frees the place of an orphan after its cancellation."""
        if self._orphan_by_key.pop((server_id, ticket), None) is None:
            return
        server = self._index.by_id.get(server_id)
        if server is not None:
            server.orphans = max(0, server.orphans - 1)
            self._index.update(server, now)
