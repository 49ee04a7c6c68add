"""Owner of one pool: tracks its backend servers and assigns requests to their slots."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

from arbutusrill_base import Clock, PartLog
from arbutusrill_wire import messages

from ._admission import DEFAULT_VALUES
from ._allocations import AllocationTable
from ._dispatch import Dispatcher
from ._engine_calls import EngineCallQueue, EngineRequest
from ._fair_queue import FairQueue
from ._index import ServerIndex
from ._prefixes import PrefixIndex
from ._renewals import RenewalMonitor
from ._server import ANNOUNCEMENT_TIMEOUT_S, Server, SpeedEstimate
from ._ticket import Allocation, Band, Cost, Ticket

__all__ = ["PoolOwner"]

RECOVERY_S = 1.0  # one announcement period of 0.5 s and one renewal period of 0.4 s
SERVER_EXPIRY_S = 60.0  # without announcements for this long, a server and its estimates are removed
RENEWAL_CHECK_INTERVAL_S = 0.2  # a check of 10,000 allocations takes some milliseconds
_SMALL_POOL_SERVERS = 32  # averages of a larger pool are refreshed only by `tick`


class PoolOwner:
    """Assigns the requests of one pool to backend servers. Thread-safe.

    `config_value` returns a default of the configuration by name, `holds_lease` returns whether this VM's lease is
    valid, `is_dead` whether an incarnation of a VM has ended. `call_queue` is used to cancel and list requests at the
    engines. An `epoch` above 1 means that an earlier owner may have assigned slots, so nothing is assigned during the
    first `RECOVERY_S` seconds.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        clock: Clock,
        config_value: Callable[[str], Any] = DEFAULT_VALUES.__getitem__,
        holds_lease: Callable[[], bool] = lambda: True,
        call_queue: EngineCallQueue | None = None,
        is_dead: Callable[[str, int], bool] = lambda vm, incarnation: False,
        seed: int | None = None,
    ):
        self.name = name
        self.epoch = epoch
        self._clock = clock
        self._config_value = config_value
        self._holds_lease = holds_lease
        self._call_queue = call_queue
        self._lock = threading.Lock()
        self._log = PartLog(f"pool {name}")
        self._index = ServerIndex(epoch if seed is None else seed, config_value("targets.token_gap_s"))
        self._queue = FairQueue()
        self._allocations = AllocationTable(self._index, self._queue)
        self._prefixes = PrefixIndex()
        self._dispatcher = Dispatcher(self._index, self._queue, self._allocations, self._prefixes, config_value)
        self._recovery_ends_at = clock.monotonic() + (RECOVERY_S if epoch > 1 else 0.0)
        self._unhealthy: dict[str, Server] = {}  # ejected or in slow start
        self._renewals_checked_at = float("-inf")
        self._drained_ids: frozenset[str] = frozenset()
        self._vms_reporting_prefills: set[tuple[str, int]] = set()  # (VM, incarnation)
        self._renewal_monitor = RenewalMonitor(self._allocations, self._index, call_queue, is_dead, self._on_cancelled)

    def acquire(self, request: Any) -> Any:
        """Assigns servers to a request, waiting up to its `wait_ms`. Idempotent for each ticket.

        Raises `messages.Refused` with the code ``not_owner`` while this VM's lease is not valid.
        """
        with self._lock:
            now = self._check_lease()
            allocation = self._allocations.allocation_by_ticket.get(request.ticket)
            if allocation is not None and allocation.cancelling:
                return messages.AcquireReply("refused", None, "cancelled", "the ticket was not renewed in time")
            if allocation is not None:
                return self._deliver_assignment(allocation, now)
            ticket = self._dispatcher.ticket_by_id.get(request.ticket)
            if ticket is None:
                ticket = self._new_ticket(request, now)
            ticket.polled_at = now
            if ticket.reply is None and request.wait_ms > 0:
                ticket.reply_ready.wait_for(lambda: ticket.reply is not None, request.wait_ms / 1000)
            now = self._check_lease()
            ticket.polled_at = now
            return self._reply_to(ticket, now)

    def _new_ticket(self, request: Any, now: float) -> Ticket:
        ticket = Ticket(request, now, now, now, Band.URGENT, Cost(), threading.Condition(self._lock))
        if now >= self._recovery_ends_at:
            self._dispatcher.admit(ticket, now)
        else:
            self._dispatcher.enqueue_during_recovery(ticket, now)
        return ticket

    def _reply_to(self, ticket: Ticket, now: float) -> Any:
        if ticket.reply is None:
            return messages.AcquireReply("pending")
        allocation = self._allocations.allocation_by_ticket.get(ticket.id)
        self._dispatcher.ticket_by_id.pop(ticket.id, None)
        if allocation is not None:
            return self._deliver_assignment(allocation, now)
        if ticket.reply.status == "assigned":  # released during this poll
            return messages.AcquireReply("refused", None, "released", "the ticket was released")
        return ticket.reply

    def _deliver_assignment(self, allocation: Allocation, now: float) -> Any:
        allocation.delivered = True
        allocation.renewed_at = now
        self._dispatcher.ticket_by_id.pop(allocation.ticket, None)
        return messages.AcquireReply("assigned", allocation.assignment)

    def _check_lease(self) -> float:
        """Returns the current time; raises `messages.Refused` while this VM's lease is not valid."""
        if not self._holds_lease():
            raise messages.Refused("not_owner", f"the lease of this VM is not running; it does not act for {self.name}")
        return self._clock.monotonic()

    def release(self, request: Any) -> None:
        """Frees the slots of a ticket and updates the estimates from its timings. Idempotent.

        The outcome ``prefilled``, which the entry VM reports once the KV cache is ready, frees only the prefill server.
        """
        with self._lock:
            now = self._clock.monotonic()
            allocation = self._allocations.allocation_by_ticket.get(request.ticket)
            if allocation is None:
                ticket = self._dispatcher.ticket_by_id.get(request.ticket)
                if ticket is not None and request.outcome != "prefilled":
                    self._dispatcher.drop(ticket)
                    ticket.reply = messages.AcquireReply("refused", None, "released", "the ticket was released")
                    ticket.reply_ready.notify_all()
                return
            self._update_estimates(allocation, request, now)
            if request.outcome == "prefilled":
                self._vms_reporting_prefills.add((allocation.vm, allocation.incarnation))
                self._allocations.end_prefill(allocation, now)
            else:
                self._dispatcher.ticket_by_id.pop(allocation.ticket, None)
                self._allocations.free(allocation, now)
            self._dispatch(now)

    def _dispatch(self, now: float) -> None:
        if self._may_dispatch(now):
            self._end_unreported_prefills(now)
            self._dispatcher.dispatch(now)

    def _may_dispatch(self, now: float) -> bool:
        return now >= self._recovery_ends_at and self._holds_lease()

    def _end_unreported_prefills(self, now: float) -> None:
        # Prefills of VMs that do not report their end count as ended at the predicted time.
        for allocation in self._allocations.pop_due_prefills(now):
            if (allocation.vm, allocation.incarnation) not in self._vms_reporting_prefills:
                self._allocations.end_prefill(allocation, now)

    def renew(self, request: Any) -> None:
        """Renews the tickets that a VM still holds and adopts those assigned by an earlier owner."""
        with self._lock:
            now = self._clock.monotonic()
            self._renewal_monitor.renew(self.name, request, now)
            self._dispatch(now)

    def tick(self) -> None:
        """Handles timeouts and dispatches waiting tickets. Call about every 0.1 s."""
        with self._lock:
            now = self._clock.monotonic()
            self._update_servers(now)
            self._allocations.expire_freed(now)
            if not self._holds_lease():
                return
            if now >= self._recovery_ends_at:
                self._end_unreported_prefills(now)
                if now - self._renewals_checked_at >= RENEWAL_CHECK_INTERVAL_S:
                    self._renewals_checked_at = now
                    self._renewal_monitor.tick(now)
            self._dispatcher.tick(now, now >= self._recovery_ends_at)

    def _update_servers(self, now: float) -> None:
        gap_target_s = self._config_value("targets.token_gap_s")
        if gap_target_s != self._index.gap_target_s:
            self._index.gap_target_s = gap_target_s
            for server in self._index:
                self._index.update(server, now)
        for server in self._index.silent_since(now - ANNOUNCEMENT_TIMEOUT_S):
            if now - server.announced_at > SERVER_EXPIRY_S:
                self._index.remove(server)
                self._prefixes.remove_server(server.id)
            else:
                self._index.update(server, now)
        for server in [each for each in self._unhealthy.values() if each.health.usable_fraction(now) >= 1.0]:
            del self._unhealthy[server.id]
            self._index.update(server, now)
        for server in self._unhealthy.values():
            self._index.update(server, now)

    def _on_cancelled(self, ticket: str, server_id: str) -> None:
        with self._lock:
            now = self._clock.monotonic()
            if server_id:
                self._renewal_monitor.forget_orphan(ticket, server_id, now)
            else:
                allocation = self._allocations.allocation_by_ticket.get(ticket)
                if allocation is not None and allocation.cancelling:
                    self._allocations.free(allocation, now)
            self._dispatch(now)

    def _on_requests_read(self, server_id: str, engine_requests: list[EngineRequest] | None) -> None:
        with self._lock:
            now = self._clock.monotonic()
            self._renewal_monitor.record_engine_requests(server_id, engine_requests, now)
            self._dispatch(now)

    def _update_estimates(self, allocation: Allocation, request: Any, now: float) -> None:
        assignment = allocation.assignment
        prefill_server = self._index.by_id.get(assignment.prefill_server)
        decode_server = self._index.by_id.get(assignment.decode_server)
        if request.prefill_s > 0 and allocation.prefill_s == 0:
            allocation.prefill_s = request.prefill_s
            if prefill_server is not None:
                prefill_server.speed.observe_prefill(allocation.predicted_prefill_s, request.prefill_s)
                prefill_server.health.record_success(now)
        if request.outcome == "prefilled":
            return
        if request.outcome in ("prefill_failed", "decode_failed"):
            server_id = assignment.prefill_server if request.outcome == "prefill_failed" else assignment.decode_server
            self._record_failure(request.failed_server or server_id, allocation.ticket, now)
        elif request.outcome == "done" and decode_server is not None:
            decode_server.health.record_success(now)
            if request.tokens > 1 and request.decode_s > 0:
                # mean of the batch sizes at the start and at the end
                batch = (allocation.batch + decode_server.assigned) / 2
                decode_server.speed.observe_token_gap(request.decode_s / request.tokens, batch)
            averages = self._dispatcher.averages
            averages.observe(
                allocation.output_tokens, request.tokens, now - allocation.assigned_at, not assignment.prefill_server
            )
        self._correct_charge(allocation, request, now)

    def _correct_charge(self, allocation: Allocation, request: Any, now: float) -> None:
        if not allocation.reserves or not allocation.assignment.prefill_server:
            return
        share = self._queue.share_by_workspace.get(allocation.workspace)
        if share is not None:
            used = self._dispatcher.averages.actual_cost(0.0, request.tokens)
            used.prefill_s = allocation.cost.prefill_s if request.outcome != "not_sent" else 0.0
            self._queue.correct_charge(share, allocation.cost, used)

    def _record_failure(self, server_id: str, ticket: str, now: float) -> None:
        server = self._index.by_id.get(server_id)
        if server is None or not server.health.record_failure(now, ticket):
            return
        peers = [other for other in self._index if other.announcement.role == server.announcement.role]
        ejected_count = sum(1 for other in peers if other is not server and other.health.is_ejected(now))
        if (ejected_count + 1) * 2 > len(peers):
            self._log.warning(
                "server %s fails repeatedly but is not ejected: less than half of the servers of its role would remain",
                server_id,
            )
            return
        until = server.health.eject(now)
        self._unhealthy[server.id] = server
        self._log.warning("server %s ejected for %.0f s after repeated failures", server_id, until - now)
        self._index.update(server, now)

    def announce(self, announcement: Any) -> None:
        """Adds or updates a backend server from its announcement. A new incarnation replaces the server's state."""
        with self._lock:
            now = self._clock.monotonic()
            server = self._index.by_id.get(announcement.id)
            if server is not None and server.announcement.incarnation == announcement.incarnation:
                previous = server.announcement
                if (previous.role, previous.data_centre) != (announcement.role, announcement.data_centre):
                    self._index.remove(server)
                server.update_announcement(announcement, now)
                self._index.record_announcement(server)
                self._index.update(server, now)
            else:
                self._add_server(announcement, server, now)
            self._dispatch(now)

    def _add_server(self, announcement: Any, replaced: Server | None, now: float) -> None:
        server = Server(announcement, now, SpeedEstimate.from_announcement(announcement))
        server.update_announcement(announcement, now)
        if replaced is not None:
            self._index.remove(replaced)
            self._prefixes.remove_server(replaced.id)
            server.health.begin_slow_start(now)
            self._unhealthy[server.id] = server
        elif self.epoch > 1 and self._call_queue is not None and announcement.role != "plain":
            server.requests_read = False
            self._call_queue.read_requests(
                announcement.address, lambda engine_requests: self._on_requests_read(server.id, engine_requests)
            )
        server.drained = server.id in self._drained_ids
        self._dispatcher.is_single_stage = announcement.role == "plain"
        self._index.record_announcement(server)
        self._index.update(server, now)
        if len(self._index.by_id) <= _SMALL_POOL_SERVERS:
            self._dispatcher.averages.refresh(self._index)

    def cache_events(self, events: Any) -> bool:
        """Applies changes of a runner's prefix cache. Returns False if the runner must send its full list."""
        with self._lock:
            server = self._index.by_id.get(events.id)
            if server is None or server.announcement.incarnation != events.incarnation:
                return False
            server.next_cache_seq = self._prefixes.apply_events(server.next_cache_seq, events)
            return server.next_cache_seq is not None

    def has_server(self, server_id: str) -> bool:
        """Returns whether a server has announced itself to this pool."""
        with self._lock:
            return server_id in self._index.by_id

    def close(self) -> None:
        """Gives up ownership: all waiting `acquire` calls raise ``not_owner``, so that their VMs ask the new owner."""
        with self._lock:
            self._holds_lease = lambda: False
            for ticket in self._dispatcher.ticket_by_id.values():
                self._queue.remove(ticket)
                if ticket.reply is None:
                    ticket.reply = messages.AcquireReply("refused", None, "not_owner", "the pool has another owner")
                    ticket.reply_ready.notify_all()

    def server_address(self, server_id: str) -> tuple[str, bool] | None:
        """Returns a server's address and whether it checks fencing numbers, or None if the server is silent."""
        with self._lock:
            server = self._index.by_id.get(server_id)
            if server is None or self._clock.monotonic() - server.announced_at >= ANNOUNCEMENT_TIMEOUT_S:
                return None
            return server.announcement.address, bool(server.announcement.checks_fencing)

    def hold_for_order(self, server_id: str, hold: bool) -> bool:
        """Stops (`hold`) or resumes new assignments to a server, so that an order can change its role.

        Returns whether the server has no requests.
        """
        with self._lock:
            server = self._index.by_id.get(server_id)
            if server is None:
                return False
            server.held_for_order = hold
            self._index.update(server, self._clock.monotonic())
            return server.assigned == 0 and server.untracked == 0

    def set_drained(self, server_ids: frozenset[str]) -> None:
        """Stops new assignments to exactly these servers; others drained before are resumed."""
        with self._lock:
            now = self._clock.monotonic()
            changed_ids = self._drained_ids ^ server_ids
            self._drained_ids = server_ids
            for server_id in changed_ids & self._index.by_id.keys():
                server = self._index.by_id[server_id]
                server.drained = server_id in server_ids
                self._index.update(server, now)
            if changed_ids:
                self._dispatch(now)

    def status(self) -> Any:
        """Returns the queue length and the state of each server."""
        with self._lock:
            now = self._clock.monotonic()
            servers = [
                messages.ServerStatus(
                    server.announcement,
                    server.assigned,
                    now - server.announced_at,
                    self._health_label(server, now),
                    self._prefixes.block_count(server.id),
                )
                for server in self._index
            ]
            return messages.PoolStatus(self.name, self.epoch, self._queue.length, servers)

    def _health_label(self, server: Server, now: float) -> str:
        if server.health.is_ejected(now):
            return "ejected"
        if now - server.announced_at >= ANNOUNCEMENT_TIMEOUT_S:
            return "silent"
        if server.drained:
            return "drained"
        return "ok" if server.health.usable_fraction(now) >= 1.0 else "slow_start"
