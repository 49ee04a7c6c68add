"""Weighted fair queue of a pool's waiting tickets, with one flow for each workspace.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): the virtual time of a workspace advances by the price of each
assigned request divided by the workspace's weight, and the workspace with the lowest virtual time is served next. A
workspace that was idle restarts at the current virtual time, so idle time earns no virtual time credit.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

from ._ticket import Band, Cost, Ticket

__all__ = ["FairQueue", "Share"]

LOAD_INTERVAL_S = 0.5  # update interval of loads and credits
MAX_CREDIT_S = 10.0  # unused seconds of its share that a workspace can save up
MAX_DEBT_S = 1.0  # in seconds of its share; limits how long past use of idle capacity counts against a workspace
COST_KINDS = ("prefill_s", "decode_s")
ACTIVE_WINDOW_S = 10.0  # a workspace active within this time reduces the shares of the others
_LOAD_SMOOTHING_FACTOR = 0.1  # per `LOAD_INTERVAL_S`; a time constant of about 5 s
IDLE_TIMEOUT_S = 30.0  # a workspace without requests for this long is removed


@dataclass(slots=True, eq=False)
class Share:
    """Virtual time, waiting tickets and resource use of one workspace."""

    workspace: str
    weight: float
    last_active_at: float
    virtual_time: float = 0.0
    queued: int = 0  # number of waiting tickets
    backlog: dict[Band, Cost] = field(default_factory=lambda: {band: Cost() for band in Band})
    waiting: dict[Band, list] = field(default_factory=lambda: {band: [] for band in Band})
    slots: int = 0  # number of slots in use
    prefills: int = 0  # number of prefills in progress or queued at a server
    load: Cost = field(default_factory=Cost)  # smoothed use, in seconds of the whole pool per second
    mean_in_use: dict[str, float] = field(default_factory=dict)  # smoothed `in_use` by kind
    credit: dict[str, float] = field(default_factory=dict)  # seconds of the whole pool, by kind of cost
    charged: Cost = field(default_factory=Cost)  # since the last `update_load`
    heap_virtual_times: dict[Band, float | None] = field(default_factory=dict)  # of the current heap entries

    def in_use(self, kind: str) -> int:
        """Returns the number of slots (``decode_s``) or prefills (``prefill_s``) that the workspace holds."""
        return self.slots if kind == "decode_s" else self.prefills

    def add_usage(self, slots: int, prefills: int) -> None:
        """Adds to the numbers of slots and prefills that the workspace holds; negative values release them."""
        self.slots += slots
        self.prefills += prefills
        assert self.slots >= 0 and self.prefills >= 0, (
            f"workspace {self.workspace} released more slots or prefills than it holds"
        )

    def update_load(self, elapsed_s: float, fraction: float) -> None:
        """Updates `load`, `mean_in_use` and `credit` after `elapsed_s` seconds.

        `fraction` is the workspace's fair share of the pool, by which its credit grows.
        """
        for kind in COST_KINDS:
            load, used = getattr(self.load, kind), getattr(self.charged, kind)
            setattr(self.load, kind, load + _LOAD_SMOOTHING_FACTOR * (used / elapsed_s - load))
            self.mean_in_use[kind] = self.mean_in_use.get(kind, 0.0) + _LOAD_SMOOTHING_FACTOR * (
                self.in_use(kind) - self.mean_in_use.get(kind, 0.0)
            )
            credit = self.credit.get(kind, fraction * MAX_CREDIT_S) + fraction * elapsed_s - used
            self.credit[kind] = min(fraction * MAX_CREDIT_S, max(-fraction * MAX_DEBT_S, credit))
        self.charged = Cost()


class FairQueue:
    """Waiting tickets by priority band, then by the virtual time of their workspace, then by `order_key`."""

    def __init__(self) -> None:
        self.share_by_workspace: dict[str, Share] = {}
        self.length = 0
        self._virtual_now = 0.0
        self._heaps: dict[Band, list] = {band: [] for band in Band}
        self._sequence = itertools.count()
        self._idle_checked_at = float("-inf")
        self._load_updated_at = float("-inf")
        self.active_weight = 0.0
        self.in_use = dict.fromkeys(COST_KINDS, 0)
        self._mean_in_use = dict.fromkeys(COST_KINDS, 0.0)
        self._load = dict.fromkeys(COST_KINDS, 0.0)

    def get_or_create_share(self, workspace: str, weight: float, now: float) -> Share:
        """Returns the share of a workspace and marks it as active."""
        share = self.share_by_workspace.get(workspace)
        if share is None:
            share = self.share_by_workspace[workspace] = Share(workspace, weight, now)
        share.weight = weight if weight > 0 else 1.0
        share.last_active_at = now
        return share

    def push(self, ticket: Ticket, share: Share) -> None:
        """Adds a ticket to its workspace's queue, ordered by its `order_key`."""
        if share.queued == 0:
            share.virtual_time = max(share.virtual_time, self._virtual_now)
        ticket.in_queue = True
        share.queued += 1
        self.length += 1
        share.backlog[ticket.band].add(ticket.cost)
        heapq.heappush(share.waiting[ticket.band], (ticket.order_key, next(self._sequence), ticket))
        self._push_share(share)

    def remove(self, ticket: Ticket) -> None:
        """Removes a ticket. Its heap entry is dropped later, once it reaches the top."""
        if not ticket.in_queue:
            return
        ticket.in_queue = False
        share = self.share_by_workspace[ticket.queue_name]
        share.queued -= 1
        self.length -= 1
        assert share.queued >= 0 and self.length >= 0, "the queue length is negative"
        share.backlog[ticket.band].add(ticket.cost, -1.0)
        if share.queued == 0:
            share.backlog = {band: Cost() for band in Band}  # removes rounding errors of the subtractions

    def charge(self, share: Share, cost: Cost) -> None:
        """Charges a workspace for an assigned request."""
        self._virtual_now = max(self._virtual_now, share.virtual_time)
        share.virtual_time += cost.price / share.weight
        share.charged.add(cost)
        if share.queued:
            self._push_share(share)

    def correct_charge(self, share: Share, charged: Cost, used: Cost) -> None:
        """Replaces an earlier charge by the measured use."""
        share.virtual_time += (used.price - charged.price) / share.weight
        share.charged.add(used)
        share.charged.add(charged, -1.0)
        if share.queued:
            self._push_share(share)

    def head(self, band: Band, skipped_workspaces: set[str]) -> Ticket | None:
        """Returns the next ticket of a band from a workspace that is not in `skipped_workspaces`."""
        heap = self._heaps[band]
        popped_entries = []
        head_ticket = None
        while heap and head_ticket is None:
            entry = heapq.heappop(heap)
            virtual_time, _, share = entry
            ticket = self._first_waiting(share, band)
            if virtual_time != share.virtual_time:
                if share.heap_virtual_times.get(band) == virtual_time:
                    share.heap_virtual_times[band] = None  # a refund can restore this virtual time
                continue
            if ticket is None:
                share.heap_virtual_times[band] = None
                continue
            popped_entries.append(entry)
            if share.workspace not in skipped_workspaces:
                head_ticket = ticket
        for entry in popped_entries:
            heapq.heappush(heap, entry)
        return head_ticket

    def promote(self, ticket: Ticket) -> None:
        """Moves a deferred ticket to the urgent band."""
        share = self.share_by_workspace[ticket.queue_name]
        self.remove(ticket)
        ticket.band = Band.URGENT
        self.push(ticket, share)

    def due_deferred(self, before: float) -> list[Ticket]:
        """Returns each workspace's first deferred ticket if its first token is due before `before`."""
        due_tickets = []
        for share in self.share_by_workspace.values():
            ticket = self._first_waiting(share, Band.DEFERRED)
            if ticket is not None and ticket.first_token_due_at < before:
                due_tickets.append(ticket)
        return due_tickets

    def predicted_wait_s(self, share: Share, band: Band, now: float) -> float:
        """Returns the predicted queueing time of a new ticket of `share`, in seconds.

        Counts the part of each workspace's backlog that is served before its virtual time passes the start tag of the
        new ticket. A workspace that has exceeded its share yields to all others; its backlog is served with the
        capacity that their recent load leaves, but at least with its share.
        """
        over_share = self.exceeds_share(share, now)
        bands = [other for other in Band if other <= band]
        backlog_price = sum(share.backlog[other].price for other in bands)
        start_tag = max(share.virtual_time, self._virtual_now) + backlog_price / share.weight
        ahead, load = Cost(), Cost()
        for other in self.share_by_workspace.values():
            if other is not share:
                load.add(other.load)
            if not other.queued or (not over_share and other is not share and self.exceeds_share(other, now)):
                continue
            for other_band in bands:
                cost = other.backlog[other_band]
                if other is share or band > other_band or not cost.price:
                    ahead.add(cost)
                    continue
                price_ahead = max(0.0, (start_tag - other.virtual_time) * other.weight)
                ahead.add(cost, min(1.0, price_ahead / cost.price))
        if not over_share:
            return max(ahead.prefill_s, ahead.decode_s)
        fraction = share.weight / max(share.weight, self.active_weight)
        return max(
            ahead.prefill_s / max(fraction, 1.0 - load.prefill_s), ahead.decode_s / max(fraction, 1.0 - load.decode_s)
        )

    def credit_fraction(self, share: Share, kind: str, now: float) -> float:
        """Returns the credit of a workspace for a kind of cost, as a fraction of the maximum credit.

        Below 0 the workspace has used more than its share.
        """
        fraction = share.weight / max(share.weight, self.active_weight)
        earned = (now - self._load_updated_at) * fraction
        credit = share.credit.get(kind, fraction * MAX_CREDIT_S) + earned - getattr(share.charged, kind)
        return credit / (fraction * MAX_CREDIT_S)

    def expected_use_of_others(self, share: Share, kind: str, total: int) -> float:
        """Returns how many of `total` slots or prefill servers the other workspaces are expected to use.

        The prediction from their recent charges is bounded by 1.5 times their recent mean use plus 2, since
        overestimated costs would otherwise leave capacity idle.
        """
        mean_use = max(0.0, self._mean_in_use[kind] - share.mean_in_use.get(kind, 0.0))
        predicted = total * max(0.0, self._load[kind] - getattr(share.load, kind))
        return min(predicted, 1.5 * mean_use + 2)

    def add_usage(self, share: Share, slots: int, prefills: int) -> None:
        """Adds to the numbers of slots and prefills that a workspace holds; negative values release them."""
        share.add_usage(slots, prefills)
        self.in_use["decode_s"] += slots
        self.in_use["prefill_s"] += prefills

    def exceeds_share(self, share: Share, now: float) -> bool:
        """Returns whether a workspace has used more than its share of prefill or of decode."""
        return any(self.credit_fraction(share, kind, now) < 0 for kind in COST_KINDS)

    def advance_skipped(self, share: Share) -> None:
        """Advances a skipped workspace to the current virtual time.

        Otherwise a workspace that waits because it has exceeded its share would be preferred later for that wait.
        """
        if share.virtual_time < self._virtual_now:
            share.virtual_time = self._virtual_now
            self._push_share(share)

    def waiting_tickets(self) -> list[Ticket]:
        """Returns all waiting tickets, in no particular order."""
        return [
            ticket
            for share in self.share_by_workspace.values()
            for heap in share.waiting.values()
            for _, _, ticket in heap
            if ticket.in_queue
        ]

    def refresh(self, now: float) -> None:
        """Updates loads, credits and the active weight every `LOAD_INTERVAL_S`; removes idle workspaces."""
        elapsed_s = now - self._load_updated_at
        if elapsed_s >= LOAD_INTERVAL_S:
            self._load_updated_at = now
            shares = self.share_by_workspace.values()
            self.active_weight = sum(share.weight for share in shares if now - share.last_active_at < ACTIVE_WINDOW_S)
            for share in shares:
                share.update_load(
                    min(elapsed_s, 10 * LOAD_INTERVAL_S), share.weight / max(self.active_weight, share.weight)
                )
            self._load = {kind: sum(getattr(share.load, kind) for share in shares) for kind in COST_KINDS}
            self._mean_in_use = {kind: sum(share.mean_in_use[kind] for share in shares) for kind in COST_KINDS}
        if now - self._idle_checked_at < IDLE_TIMEOUT_S:
            return
        self._idle_checked_at = now
        for share in list(self.share_by_workspace.values()):
            if (
                not share.queued
                and not share.slots
                and not share.prefills
                and now - share.last_active_at > IDLE_TIMEOUT_S
            ):
                del self.share_by_workspace[share.workspace]

    def _push_share(self, share: Share) -> None:
        for band, heap in self._heaps.items():
            if share.waiting[band] and share.heap_virtual_times.get(band) != share.virtual_time:
                share.heap_virtual_times[band] = share.virtual_time
                heapq.heappush(heap, (share.virtual_time, next(self._sequence), share))

    def _first_waiting(self, share: Share, band: Band) -> Ticket | None:
        heap = share.waiting[band]
        while heap and not (heap[0][2].in_queue and heap[0][2].band == band):
            heapq.heappop(heap)
        return heap[0][2] if heap else None
