"""Owner of one pool: knows its backend servers and gives out their slots."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

from arbutusrill_base import Clock, PartLog
from arbutusrill_wire import messages

from ._admission import INITIAL_VALUES
from ._dispatch import Dispatcher
from ._engines import EngineRequest, EngineWork
from ._holding import HoldingBook
from ._index import ServerIndex
from ._prefixes import PrefixIndex
from ._renewals import RenewalWatch
from ._server import SILENT_S, Server, Speed
from ._shares import FairQueue
from ._ticket import Band, Cost, Held, Ticket

__all__ = ["PoolOwner"]

RECOVERY_S = 1.0  # one announcement period of 0.5 s and one renewal period of 0.4 s
FORGET_SERVER_S = 60.0  # a server silent for this long is dropped with what was learnt of it
WATCH_S = 0.2  # looking through 10,000 held tickets takes some milliseconds
_SMALL_POOL = 32  # servers; averages of a larger pool wait for the next tick


class PoolOwner:
    """Assigns the requests of one pool to backend servers. Safe to call from many threads.

    `value` returns a default of the configuration by name, `holds_lease` says whether the lease of this VM is
    running, `is_dead` whether an incarnation of a VM has ended. With `work` the owner cancels and reads requests at
    the engines. An `epoch` above 1 means that an earlier owner may have given out slots: nothing is assigned until
    `RECOVERY_S` has passed.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        clock: Clock,
        value: Callable[[str], Any] = INITIAL_VALUES.__getitem__,
        holds_lease: Callable[[], bool] = lambda: True,
        work: EngineWork | None = None,
        is_dead: Callable[[str, int], bool] = lambda vm, incarnation: False,
        seed: int | None = None,
    ):
        self.name = name
        self.epoch = epoch
        self._clock = clock
        self._value = value
        self._holds_lease = holds_lease
        self._work = work
        self._lock = threading.Lock()
        self._log = PartLog(f"pool {name}")
        self._index = ServerIndex(epoch if seed is None else seed, value("targets.token_gap_s"))
        self._queue = FairQueue()
        self._book = HoldingBook(self._index, self._queue)
        self._prefixes = PrefixIndex()
        self._dispatcher = Dispatcher(self._index, self._queue, self._book, self._prefixes, value)
        self._opens_at = clock.monotonic() + (RECOVERY_S if epoch > 1 else 0.0)
        self._returning: dict[str, Server] = {}  # ejected or in their slow start
        self._watched_at = float("-inf")
        self._drained: frozenset[str] = frozenset()
        self._reporting: set[tuple[str, int]] = set()  # VMs that report the end of each prefill
        self._watch = RenewalWatch(self._book, self._index, work, is_dead, self._cancelled)

    # ---- requests

    def acquire(self, request: Any) -> Any:
        """Assigns servers to a request, waiting at most its `wait_ms`; safe to repeat with the same ticket.

        Raises `messages.Refused` with the code ``not_owner`` while this VM's lease is not running.
        """
        with self._lock:
            now = self._check_lease()
            held = self._book.held_by_ticket.get(request.ticket)
            if held is not None and held.cancelling:
                return messages.AcquireReply("refused", None, "cancelled", "the ticket was not renewed in time")
            if held is not None:
                return self._deliver(held, now)
            ticket = self._dispatcher.ticket_by_id.get(request.ticket)
            if ticket is None:
                ticket = self._new_ticket(request, now)
            ticket.polled_at = now
            if ticket.reply is None and request.wait_ms > 0:
                ticket.decided.wait_for(lambda: ticket.reply is not None, request.wait_ms / 1000)
            now = self._check_lease()
            ticket.polled_at = now
            return self._answer(ticket, now)

    def _new_ticket(self, request: Any, now: float) -> Ticket:
        ticket = Ticket(request, now, now, now, Band.URGENT, Cost(), threading.Condition(self._lock))
        if now >= self._opens_at:
            self._dispatcher.admit(ticket, now)
        else:
            self._dispatcher.wait_for_opening(ticket, now)
        return ticket

    def _answer(self, ticket: Ticket, now: float) -> Any:
        if ticket.reply is None:
            return messages.AcquireReply("pending")
        held = self._book.held_by_ticket.get(ticket.id)
        self._dispatcher.ticket_by_id.pop(ticket.id, None)
        if held is not None:
            return self._deliver(held, now)
        if ticket.reply.status == "assigned":  # released while this poll was waiting
            return messages.AcquireReply("refused", None, "released", "the ticket was released")
        return ticket.reply

    def _deliver(self, held: Held, now: float) -> Any:
        held.delivered = True
        held.renewed_at = now
        self._dispatcher.ticket_by_id.pop(held.ticket, None)
        return messages.AcquireReply("assigned", held.assignment)

    def _check_lease(self) -> float:
        if not self._holds_lease():
            raise messages.Refused("not_owner", f"the lease of this VM is not running; it does not act for {self.name}")
        return self._clock.monotonic()

    def release(self, request: Any) -> None:
        """Frees what a ticket held, and learns from its timings; safe to repeat.

        The outcome ``prefilled`` frees the prefill only: the entry VM reports it when the KV cache is ready.
        """
        with self._lock:
            now = self._clock.monotonic()
            held = self._book.held_by_ticket.get(request.ticket)
            if held is None:
                ticket = self._dispatcher.ticket_by_id.get(request.ticket)
                if ticket is not None and request.outcome != "prefilled":
                    self._dispatcher.drop(ticket)
                    ticket.reply = messages.AcquireReply("refused", None, "released", "the ticket was released")
                    ticket.decided.notify_all()
                return
            self._learn(held, request, now)
            if request.outcome == "prefilled":
                self._reporting.add((held.vm, held.incarnation))
                self._book.end_prefill(held, now)
            else:
                self._dispatcher.ticket_by_id.pop(held.ticket, None)
                self._book.free(held, now)
            self._dispatch(now)

    def _dispatch(self, now: float) -> None:
        if self._active(now):
            self._presume_prefilled(now)
            self._dispatcher.dispatch(now)

    def _active(self, now: float) -> bool:
        return now >= self._opens_at and self._holds_lease()

    def _presume_prefilled(self, now: float) -> None:
        # Without reports a prefill ends for the owner when it was predicted to.
        for held in self._book.due_prefills(now):
            if (held.vm, held.incarnation) not in self._reporting:
                self._book.end_prefill(held, now)

    # ---- upkeep

    def renew(self, request: Any) -> None:
        """Takes in the tickets that a VM still holds; those of an earlier owner are adopted."""
        with self._lock:
            now = self._clock.monotonic()
            self._watch.renew(self.name, request, now)
            self._dispatch(now)

    def tick(self) -> None:
        """Acts on the passing of time; to be called about every 0.1 s."""
        with self._lock:
            now = self._clock.monotonic()
            self._update_servers(now)
            self._book.forget_freed(now)
            if not self._holds_lease():
                return
            if now >= self._opens_at:
                self._presume_prefilled(now)
                if now - self._watched_at >= WATCH_S:
                    self._watched_at = now
                    self._watch.tick(now)
            self._dispatcher.tick(now, now >= self._opens_at)

    def _update_servers(self, now: float) -> None:
        gap_target_s = self._value("targets.token_gap_s")
        if gap_target_s != self._index.gap_target_s:
            self._index.gap_target_s = gap_target_s
            for server in self._index:
                self._index.update(server, now)
        for server in self._index.quiet(now - SILENT_S):
            if now - server.heard_at > FORGET_SERVER_S:
                self._index.remove(server)
                self._prefixes.forget(server.id)
            else:
                self._index.update(server, now)
        for server in [each for each in self._returning.values() if each.health.usable_part(now) >= 1.0]:
            del self._returning[server.id]
            self._index.update(server, now)
        for server in self._returning.values():
            self._index.update(server, now)

    def _cancelled(self, ticket: str, server_id: str) -> None:
        with self._lock:
            now = self._clock.monotonic()
            if server_id:
                self._watch.forget_orphan(ticket, server_id, now)
            else:
                held = self._book.held_by_ticket.get(ticket)
                if held is not None and held.cancelling:
                    self._book.free(held, now)
            self._dispatch(now)

    def _take_requests(self, server_id: str, rows: list[EngineRequest] | None) -> None:
        with self._lock:
            now = self._clock.monotonic()
            self._watch.take_requests(server_id, rows, now)
            self._dispatch(now)

    # ---- learning

    def _learn(self, held: Held, request: Any, now: float) -> None:
        assignment = held.assignment
        prefill = self._index.by_id.get(assignment.prefill_server)
        decode = self._index.by_id.get(assignment.decode_server)
        if request.prefill_s > 0 and held.prefill_s == 0:
            held.prefill_s = request.prefill_s
            if prefill is not None:
                prefill.speed.learn_prefill(held.predicted_prefill_s, request.prefill_s)
                prefill.health.succeeded(now)
        if request.outcome == "prefilled":
            return
        if request.outcome in ("prefill_failed", "decode_failed"):
            fallback = assignment.prefill_server if request.outcome == "prefill_failed" else assignment.decode_server
            self._failed(request.failed_server or fallback, held.ticket, now)
        elif request.outcome == "done" and decode is not None:
            decode.health.succeeded(now)
            if request.tokens > 1 and request.decode_s > 0:
                batch = (held.batch + decode.assigned) / 2
                decode.speed.learn_gap(request.decode_s / request.tokens, batch)
            averages = self._dispatcher.averages
            averages.learn(held.output_tokens, request.tokens, now - held.assigned_at, not assignment.prefill_server)
        self._settle(held, request, now)

    def _settle(self, held: Held, request: Any, now: float) -> None:
        if not held.reserves or not held.assignment.prefill_server:
            return
        share = self._queue.share_by_workspace.get(held.workspace)
        if share is not None:
            used = self._dispatcher.averages.used(0.0, request.tokens)
            used.prefill_s = held.cost.prefill_s if request.outcome != "not_sent" else 0.0
            self._queue.settle(share, held.cost, used)

    def _failed(self, server_id: str, ticket: str, now: float) -> None:
        server = self._index.by_id.get(server_id)
        if server is None or not server.health.failed(now, ticket):
            return
        peers = [other for other in self._index if other.announcement.role == server.announcement.role]
        out = sum(1 for other in peers if other is not server and other.health.ejected(now))
        if (out + 1) * 2 > len(peers):
            self._log.warning("%s keeps failing, but half of its role is ejected already", server_id)
            return
        until = server.health.eject(now)
        self._returning[server.id] = server
        self._log.warning("%s is ejected for %.0f s after repeated failures", server_id, until - now)
        self._index.update(server, now)

    # ---- servers

    def announce(self, announcement: Any) -> None:
        """Takes in what a backend server says of itself; another incarnation means that it restarted."""
        with self._lock:
            now = self._clock.monotonic()
            known = self._index.by_id.get(announcement.id)
            if known is not None and known.announcement.incarnation == announcement.incarnation:
                before = known.announcement
                if (before.role, before.data_centre) != (announcement.role, announcement.data_centre):
                    self._index.remove(known)
                known.report(announcement, now)
                self._index.heard(known)
                self._index.update(known, now)
            else:
                self._join(announcement, known, now)
            self._dispatch(now)

    def _join(self, announcement: Any, known: Server | None, now: float) -> None:
        server = Server(announcement, now, Speed.announced(announcement))
        server.report(announcement, now)
        if known is not None:
            self._index.remove(known)
            self._prefixes.forget(known.id)
            server.health.restart(now)
            self._returning[server.id] = server
        elif self.epoch > 1 and self._work is not None and announcement.role != "plain":
            server.checked = False
            self._work.read_requests(announcement.address, lambda rows: self._take_requests(server.id, rows))
        server.drained = server.id in self._drained
        self._dispatcher.plain = announcement.role == "plain"
        self._index.heard(server)
        self._index.update(server, now)
        if len(self._index.by_id) <= _SMALL_POOL:
            self._dispatcher.averages.refresh(self._index)

    def cache_events(self, events: Any) -> bool:
        """Takes in changes of a runner's prefix cache; False asks it for its full list."""
        with self._lock:
            server = self._index.by_id.get(events.id)
            if server is None or server.announcement.incarnation != events.incarnation:
                return False
            server.next_cache_seq = self._prefixes.apply(server.next_cache_seq, events)
            return server.next_cache_seq is not None

    def knows(self, server_id: str) -> bool:
        """Says whether a server has announced itself for this pool."""
        with self._lock:
            return server_id in self._index.by_id

    def close(self) -> None:
        """Ends the waiting of all queued requests; their VMs then ask the new owner."""
        with self._lock:
            self._holds_lease = lambda: False
            for ticket in self._dispatcher.ticket_by_id.values():
                self._queue.remove(ticket)
                if ticket.reply is None:
                    ticket.reply = messages.AcquireReply("refused", None, "not_owner", "the pool has another owner")
                    ticket.decided.notify_all()

    # ---- orders

    def server_address(self, server_id: str) -> tuple[str, bool] | None:
        """Returns a server's address and whether it checks fencing numbers, or None while it is not heard."""
        with self._lock:
            server = self._index.by_id.get(server_id)
            if server is None or self._clock.monotonic() - server.heard_at >= SILENT_S:
                return None
            return server.announcement.address, bool(server.announcement.checks_fencing)

    def hold_for_order(self, server_id: str, held: bool) -> bool:
        """Keeps new work from a server while an order changes its role; returns whether it is empty."""
        with self._lock:
            server = self._index.by_id.get(server_id)
            if server is None:
                return False
            server.order_running = held
            self._index.update(server, self._clock.monotonic())
            return server.assigned == 0 and server.foreign == 0

    def set_drained(self, server_ids: frozenset[str]) -> None:
        """Keeps new work from these servers, and from no others that were drained before."""
        with self._lock:
            now = self._clock.monotonic()
            changed = self._drained ^ server_ids
            self._drained = server_ids
            for server_id in changed & self._index.by_id.keys():
                server = self._index.by_id[server_id]
                server.drained = server_id in server_ids
                self._index.update(server, now)
            if changed:
                self._dispatch(now)

    def status(self) -> Any:
        """Returns the servers of the pool as this owner knows them."""
        with self._lock:
            now = self._clock.monotonic()
            servers = [
                messages.ServerStatus(
                    server.announcement,
                    server.assigned,
                    now - server.heard_at,
                    self._health_word(server, now),
                    self._prefixes.size(server.id),
                )
                for server in self._index
            ]
            return messages.PoolStatus(self.name, self.epoch, self._queue.length, servers)

    def _health_word(self, server: Server, now: float) -> str:
        if server.health.ejected(now):
            return "ejected"
        if now - server.heard_at >= SILENT_S:
            return "silent"
        if server.drained:
            return "drained"
        return "ok" if server.health.usable_part(now) >= 1.0 else "slow_start"
