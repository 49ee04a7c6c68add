"""Admission control and dispatch: which waiting ticket is placed next, and which one is refused."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from arbutusrill_base import PartLog
from arbutusrill_wire import messages

from ._admission import PoolAverages, wait_limit_of
from ._allocations import AllocationTable
from ._fair_queue import FairQueue, Share
from ._index import ServerIndex
from ._policy import PlacementPolicy, PlacementRequest, create_policy
from ._prefixes import PrefixIndex
from ._ticket import Band, Placement, Ticket

__all__ = ["Dispatcher"]

# Four polling periods of 300 ms; a caller that does not poll for longer is assumed to have disconnected.
POLL_TIMEOUT_S = 1.2
# About 40 MB of memory, and more than half a minute of arrivals at a peak of 540 requests/s.
MAX_QUEUED_TICKETS = 20_000
URGENT_RESERVED_FRACTION = 0.1  # of the slots, left free for urgent tickets by deferred ones
DEFERRED_PROMOTION_S = 4.0  # a deferred ticket due within this time becomes urgent
AVERAGES_INTERVAL_S = 1.0  # a refresh over 1,400 servers takes some milliseconds
LOW_CREDIT_FRACTION = 0.25  # of the maximum credit; a workspace below it has almost used up its share
# Headroom that a workspace beyond its share leaves free, in standard deviations of the use of the others. Slots are
# held many times longer than prefill servers and need more headroom: with 0.5 for both, 5 times the load of one
# workspace raised the 95th percentile of the others' time to first token by 40% to 85%.
HEADROOM_STD_DEVS_BY_KIND = {"prefill_s": 0.5, "decode_s": 2.0}
LOW_CREDIT_STD_DEVS_BY_KIND = {"prefill_s": 0.0, "decode_s": 0.5}  # for a workspace that has almost used up its share
_MAX_FAILED_PLACEMENTS = 4  # per band and dispatch; when one ticket has no room, others rarely have
_MIN_RETRY_MS = 100


class Dispatcher:
    """Queueing, admission and placement of one pool's tickets. Not thread-safe; the owner's lock must be held."""

    def __init__(
        self,
        index: ServerIndex,
        queue: FairQueue,
        allocations: AllocationTable,
        prefixes: PrefixIndex,
        config_value: Callable[[str], Any],
    ):
        self.averages = PoolAverages()
        self.ticket_by_id: dict[str, Ticket] = {}
        self.is_single_stage = False  # whether the pool's servers have no prefill and decode stages
        self.policy: PlacementPolicy = create_policy(config_value("policy.name"))
        self._index = index
        self._queue = queue
        self._allocations = allocations
        self._prefixes = prefixes
        self._config_value = config_value
        self._log = PartLog("pool")
        self._averages_updated_at = float("-inf")

    def admit(self, ticket: Ticket, now: float) -> None:
        """Places or queues a new ticket, or refuses it if the queue is full or its first token would be late."""
        request = ticket.request
        self.ticket_by_id[ticket.id] = ticket
        idle_first_token_s = (
            self.averages.prefill_duration_s(request) + self.averages.gap_s if not self.is_single_stage else 0.0
        )
        limit = wait_limit_of(
            request,
            self.is_single_stage,
            idle_first_token_s,
            self.averages.decode_duration_s(request),
            self._config_value,
        )
        ticket.first_token_due_at, ticket.band = now + limit.first_token_s, limit.band
        ticket.cost = self.averages.predicted_cost(request, self.is_single_stage)
        if self._queue.length >= MAX_QUEUED_TICKETS:
            self.refuse(ticket, "queue_full", f"{MAX_QUEUED_TICKETS} requests are waiting for this pool", 1.0)
            return
        self._enqueue(ticket, now)
        self.dispatch(now)
        if not ticket.in_queue or not self.policy.reserves or not self._has_servers():
            return
        # The ticket is taken out so that its own cost does not count in its predicted wait.
        self._queue.remove(ticket)
        share = self._share(ticket, now)
        predicted = self._queue.predicted_wait_s(share, ticket.band, now) + idle_first_token_s
        if predicted > limit.first_token_s:
            message = f"the first token is predicted after {predicted:.2f} s, the limit is {limit.first_token_s:.2f} s"
            self.refuse(ticket, "overloaded", message, predicted - limit.first_token_s)
        else:
            self._queue.push(ticket, share)

    def enqueue_during_recovery(self, ticket: Ticket, now: float) -> None:
        """Queues a new ticket while the owner still recovers the assignments of an earlier owner."""
        self.ticket_by_id[ticket.id] = ticket
        decode_s = self.averages.decode_duration_s(ticket.request)
        limit = wait_limit_of(ticket.request, self.is_single_stage, 0.0, decode_s, self._config_value)
        ticket.first_token_due_at, ticket.band = now + limit.first_token_s, limit.band
        ticket.cost = self.averages.predicted_cost(ticket.request, self.is_single_stage)
        self._enqueue(ticket, now)

    def _enqueue(self, ticket: Ticket, now: float) -> None:
        if self.policy.reserves:
            ticket.queue_name, ticket.order_key = ticket.request.workspace, ticket.first_token_due_at
        else:
            ticket.queue_name, ticket.order_key, ticket.band = "", ticket.arrived_at, Band.URGENT
        self._queue.push(ticket, self._share(ticket, now))

    def _share(self, ticket: Ticket, now: float) -> Share:
        return self._queue.get_or_create_share(ticket.queue_name, ticket.request.weight, now)

    def refuse(self, ticket: Ticket, code: str, message: str, retry_after_s: float | None) -> None:
        """Removes a ticket from the queue and refuses it. `retry_after_s` is None if a retry is pointless."""
        self._queue.remove(ticket)
        retry_ms = -1 if retry_after_s is None else max(_MIN_RETRY_MS, round(retry_after_s * 1000))
        ticket.reply = messages.AcquireReply("refused", None, code, message, retry_ms)
        ticket.reply_ready.notify_all()

    def drop(self, ticket: Ticket) -> None:
        """Removes a ticket whose caller no longer waits."""
        self._queue.remove(ticket)
        self.ticket_by_id.pop(ticket.id, None)

    def dispatch(self, now: float) -> None:
        """Places waiting tickets, urgent ones first, until the servers have no room.

        A band ends early when `_MAX_FAILED_PLACEMENTS` of its tickets could not be placed.
        """
        for band in Band:
            skipped_workspaces: set[str] = set()
            failures_left = _MAX_FAILED_PLACEMENTS
            while failures_left and self._can_dispatch():
                ticket = self._queue.head(band, skipped_workspaces)
                if ticket is None:
                    break
                if not self._try_placing(ticket, now):
                    skipped_workspaces.add(ticket.queue_name)
                    failures_left -= 1

    def _has_servers(self) -> bool:
        stages = ("plain",) if self.is_single_stage else ("prefill", "decode")
        return all(self._index.stage(stage).ready.members for stage in stages)

    def _can_dispatch(self) -> bool:
        """Whether tickets wait and each stage has a server, one with room if the policy reserves slots."""
        if self._queue.length == 0:
            return False
        if not self.policy.reserves:
            return self._has_servers()
        stages = ("plain",) if self.is_single_stage else ("prefill", "decode")
        return all(self._index.stage(stage).open.members for stage in stages)

    def _try_placing(self, ticket: Ticket, now: float) -> bool:
        """Places or refuses a ticket; returns False if it must wait."""
        if self.policy.reserves and self._must_yield(ticket, now):
            self._queue.advance_skipped(self._share(ticket, now))
            return False
        placement = self.policy.place(self._placement_request(ticket), self._index, now)
        if placement is None:
            return False
        late_s = now + placement.first_token_s - ticket.first_token_due_at
        if self.policy.reserves and late_s > 0:
            message = f"the first token is predicted {late_s:.2f} s after it is due"
            self.refuse(ticket, "overloaded", message, late_s)
            return True
        self._assign(ticket, placement, now)
        return True

    def _assign(self, ticket: Ticket, placement: Placement, now: float) -> None:
        if placement.prefill is not None:
            pool_prefill_s = placement.prefill_s / max(1, self.averages.prefill_servers)
            ticket.cost.prefill_s = (
                min(ticket.cost.prefill_s, pool_prefill_s) if placement.uncached_tokens else pool_prefill_s
            )
        self._queue.remove(ticket)
        share = self._share(ticket, now)
        allocation = self._allocations.allocate(ticket, placement, self.policy.reserves, now)
        self._queue.charge(share, ticket.cost)
        ticket.reply = messages.AcquireReply("assigned", allocation.assignment)
        ticket.reply_ready.notify_all()

    def _placement_request(self, ticket: Ticket) -> PlacementRequest:
        request = ticket.request
        placement_request = PlacementRequest(
            request.prompt_tokens, self.is_single_stage, request.data_centre, frozenset(request.avoid or ())
        )
        if request.prefix_blocks:
            blocks = request.prefix_blocks
            tokens = request.prompt_tokens / len(blocks)
            matches = self._prefixes.longest_matches(blocks)
            placement_request.cached_by_server = {server: count * tokens for server, count in matches.items()}
        return placement_request

    def _must_yield(self, ticket: Ticket, now: float) -> bool:
        """Returns whether a ticket must leave the free slots or prefill servers to others.

        Deferred tickets leave `URGENT_RESERVED_FRACTION` of the slots free, and workspaces that have used up their
        share, or almost, leave headroom for the others. A retry after a failure never yields.
        """
        if ticket.request.avoid:  # a retry names the servers to avoid
            return False
        stage = self._index.stage("plain" if self.is_single_stage else "decode")
        several_servers = len(stage.ready.members) > 1
        if (
            ticket.band is Band.DEFERRED
            and several_servers
            and stage.free <= max(1.0, URGENT_RESERVED_FRACTION * stage.slots)
        ):
            return True
        share = self._queue.share_by_workspace[ticket.queue_name]
        if self._queue.active_weight <= share.weight:  # no other workspace is active
            return False
        if self._must_leave_free(share, "decode_s", stage.free, stage.slots, now):
            return True
        prefill = self._index.stage("prefill")
        return not self.is_single_stage and self._must_leave_free(
            share, "prefill_s", prefill.idle, len(prefill.ready.members), now
        )

    def _must_leave_free(self, share: Share, kind: str, free: int, total: int, now: float) -> bool:
        """Returns whether a workspace may not take any of the `free` of `total` slots or prefill servers.

        A workspace that has used up its share leaves free what the others are expected to take soon: their expected use
        plus some standard deviations (its square root, as in a Poisson process), less their current use. One that has
        almost used up its share leaves less headroom, and takes a prefill server only while one is idle, so that it
        does not queue behind the prefills of others.
        """
        credit = self._queue.credit_fraction(share, kind, now)
        if credit >= LOW_CREDIT_FRACTION:
            return False
        expected_use = self._queue.expected_use_of_others(share, kind, total)
        if credit >= 0:
            return free < 1 + LOW_CREDIT_STD_DEVS_BY_KIND[kind] * math.sqrt(expected_use)
        in_use = self._queue.in_use[kind] - share.in_use(kind)
        return free < 1 + max(0.0, expected_use + HEADROOM_STD_DEVS_BY_KIND[kind] * math.sqrt(expected_use) - in_use)

    def tick(self, now: float, may_dispatch: bool) -> None:
        """Drops tickets that are no longer polled, refuses overdue ones, promotes deferred ones that are due soon.

        Places tickets only if `may_dispatch`.
        """
        self._switch_policy(now)
        self._queue.refresh(now)
        if now - self._averages_updated_at >= AVERAGES_INTERVAL_S:
            self._averages_updated_at = now
            self.averages.refresh(self._index)
        for ticket in list(self.ticket_by_id.values()):
            if now - ticket.polled_at > POLL_TIMEOUT_S:
                self.drop(ticket)
            elif ticket.in_queue and now > ticket.first_token_due_at:
                self.refuse(ticket, "overloaded", "no server was free in time", self._retry_after_s(ticket, now))
        for ticket in self._queue.due_deferred(now + DEFERRED_PROMOTION_S):
            self._queue.promote(ticket)
        if may_dispatch:
            self.dispatch(now)

    def _retry_after_s(self, ticket: Ticket, now: float) -> float:
        return self._queue.predicted_wait_s(self._share(ticket, now), ticket.band, now)

    def _switch_policy(self, now: float) -> None:
        name = self._config_value("policy.name")
        if name == self.policy.name:
            return
        waiting = sorted(self._queue.waiting_tickets(), key=lambda ticket: ticket.arrived_at)
        for ticket in waiting:
            self._queue.remove(ticket)
        self._log.info("placement policy changed from %s to %s", self.policy.name, name)
        self.policy = create_policy(name)
        for ticket in waiting:
            self._enqueue(ticket, now)
