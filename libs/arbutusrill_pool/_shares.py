"""Queue of a pool with fair shares between workspaces.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each workspace has a virtual time that rises by the price
of what it was given, divided by its weight; the workspace that is furthest behind is served next. A workspace
that comes back from idling starts at the present virtual time, so that unused shares are not saved up.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

from ._ticket import Band, Cost, Ticket

__all__ = ["FairQueue", "Share"]

LOAD_S = 0.5  # period in which loads and credits are brought up to date
SAVED_S = 10.0  # a workspace that used less than its share may use this much of it at once
OVERDRAWN_S = 1.0  # what it used beyond its share in idle times does not count against it for longer
COST_KINDS = ("prefill_s", "decode_s")
ACTIVE_S = 10.0  # a workspace seen within this time counts for the shares of the others
_LOAD_RATE = 0.1  # loads follow a change within 5 s
IDLE_S = 30.0  # a workspace without requests for this long is forgotten


@dataclass(slots=True, eq=False)
class Share:
    """Virtual time, queue and present use of one workspace."""

    workspace: str
    weight: float
    seen_at: float
    virtual_time: float = 0.0
    queued: int = 0
    backlog: dict[Band, Cost] = field(default_factory=lambda: {band: Cost() for band in Band})
    waiting: dict[Band, list] = field(default_factory=lambda: {band: [] for band in Band})
    slots: int = 0
    prefills: int = 0
    load: Cost = field(default_factory=Cost)  # recent use of the pool, seconds of it each second
    usual: dict[str, float] = field(default_factory=dict)  # recent mean of what is held, by kind of cost
    credit: dict[str, float] = field(default_factory=dict)  # seconds of the pool, by kind of cost
    charged: Cost = field(default_factory=Cost)  # since the load was last computed
    offered: dict[Band, float | None] = field(default_factory=dict)  # virtual time in the heap of each band

    def in_use(self, kind: str) -> int:
        """Returns the slots (``decode_s``) or prefills (``prefill_s``) that the workspace holds."""
        return self.slots if kind == "decode_s" else self.prefills

    def use(self, slots: int, prefills: int) -> None:
        """Changes the number of slots and prefills that the workspace holds."""
        self.slots += slots
        self.prefills += prefills
        assert self.slots >= 0 and self.prefills >= 0, f"workspace {self.workspace} gave back more than it held"

    def next_load(self, span_s: float, part: float) -> None:
        """Mixes the last `span_s` seconds into `load` and `usual` and grants the fair `part` of that time."""
        for name in COST_KINDS:
            before, used = getattr(self.load, name), getattr(self.charged, name)
            setattr(self.load, name, before + _LOAD_RATE * (used / span_s - before))
            self.usual[name] = self.usual.get(name, 0.0) + _LOAD_RATE * (self.in_use(name) - self.usual.get(name, 0.0))
            credit = self.credit.get(name, part * SAVED_S) + part * span_s - used
            self.credit[name] = min(part * SAVED_S, max(-part * OVERDRAWN_S, credit))
        self.charged = Cost()


class FairQueue:
    """Waiting tickets in the order in which they are to be placed."""

    def __init__(self) -> None:
        self.share_by_workspace: dict[str, Share] = {}
        self.length = 0
        self._virtual_now = 0.0
        self._heaps: dict[Band, list] = {band: [] for band in Band}
        self._number = itertools.count()
        self._forgot_at = float("-inf")
        self._load_at = float("-inf")
        self.active_weight = 0.0
        self.in_use = dict.fromkeys(COST_KINDS, 0)
        self._usual = dict.fromkeys(COST_KINDS, 0.0)
        self._load = dict.fromkeys(COST_KINDS, 0.0)

    def share(self, workspace: str, weight: float, now: float) -> Share:
        """Returns the share of a workspace, which counts as active from now."""
        share = self.share_by_workspace.get(workspace)
        if share is None:
            share = self.share_by_workspace[workspace] = Share(workspace, weight, now)
        share.weight = weight if weight > 0 else 1.0
        share.seen_at = now
        return share

    def push(self, ticket: Ticket, share: Share) -> None:
        """Adds a ticket to its workspace's queue, ordered by its `order_key`."""
        if share.queued == 0:
            share.virtual_time = max(share.virtual_time, self._virtual_now)
        ticket.in_queue = True
        share.queued += 1
        self.length += 1
        share.backlog[ticket.band].add(ticket.cost)
        heapq.heappush(share.waiting[ticket.band], (ticket.order_key, next(self._number), ticket))
        self._offer(share)

    def remove(self, ticket: Ticket) -> None:
        """Takes a ticket out; the heap entry is dropped when it comes up."""
        if not ticket.in_queue:
            return
        ticket.in_queue = False
        share = self.share_by_workspace[ticket.queue_name]
        share.queued -= 1
        self.length -= 1
        assert share.queued >= 0 and self.length >= 0, "the queue counts fewer than no tickets"
        share.backlog[ticket.band].add(ticket.cost, -1.0)
        if share.queued == 0:
            share.backlog = {band: Cost() for band in Band}

    def charge(self, share: Share, cost: Cost) -> None:
        """Charges what a workspace is given."""
        self._virtual_now = max(self._virtual_now, share.virtual_time)
        share.virtual_time += cost.price / share.weight
        share.charged.add(cost)
        if share.queued:
            self._offer(share)

    def settle(self, share: Share, charged: Cost, used: Cost) -> None:
        """Corrects an earlier charge by what was really used."""
        share.virtual_time += (used.price - charged.price) / share.weight
        share.charged.add(used)
        share.charged.add(charged, -1.0)
        if share.queued:
            self._offer(share)

    def head(self, band: Band, passed_over: set[str]) -> Ticket | None:
        """Returns the next ticket of a band from a workspace that is not in `passed_over`."""
        heap = self._heaps[band]
        set_aside = []
        found = None
        while heap and found is None:
            entry = heapq.heappop(heap)
            virtual_time, _, share = entry
            ticket = self._first(share, band)
            if virtual_time != share.virtual_time:
                if share.offered.get(band) == virtual_time:
                    share.offered[band] = None  # the virtual time can come back to this value after a refund
                continue
            if ticket is None:
                share.offered[band] = None
                continue
            set_aside.append(entry)
            if share.workspace not in passed_over:
                found = ticket
        for entry in set_aside:
            heapq.heappush(heap, entry)
        return found

    def promote(self, ticket: Ticket) -> None:
        """Moves a deferred ticket to the urgent ones."""
        share = self.share_by_workspace[ticket.queue_name]
        self.remove(ticket)
        ticket.band = Band.URGENT
        self.push(ticket, share)

    def due(self, before: float) -> list[Ticket]:
        """Returns the first deferred ticket of each workspace whose first token is due before `before`."""
        found = []
        for share in self.share_by_workspace.values():
            ticket = self._first(share, Band.DEFERRED)
            if ticket is not None and ticket.first_by < before:
                found.append(ticket)
        return found

    def wait_s(self, share: Share, band: Band, now: float) -> float:
        """Returns how long a new ticket of `share` would wait for the tickets that are placed before it, in seconds.

        A workspace is counted with what it gets until its virtual time passes that of the new ticket. One that has
        used more than its share yields to the others, and gets what their recent load leaves or its share.
        """
        held_back = self.over_any(share, now)
        bands = [other for other in Band if other <= band]
        own = sum(share.backlog[other].price for other in bands)
        tag = max(share.virtual_time, self._virtual_now) + own / share.weight
        ahead, load = Cost(), Cost()
        for other in self.share_by_workspace.values():
            if other is not share:
                load.add(other.load)
            if not other.queued or (not held_back and other is not share and self.over_any(other, now)):
                continue
            for each in bands:
                cost = other.backlog[each]
                if other is share or band > each or not cost.price:
                    ahead.add(cost)
                    continue
                allowed = max(0.0, (tag - other.virtual_time) * other.weight)
                ahead.add(cost, min(1.0, allowed / cost.price))
        if not held_back:
            return max(ahead.prefill_s, ahead.decode_s)
        part = share.weight / max(share.weight, self.active_weight)
        return max(ahead.prefill_s / max(part, 1.0 - load.prefill_s), ahead.decode_s / max(part, 1.0 - load.decode_s))

    def credit_part(self, share: Share, kind: str, now: float) -> float:
        """Returns what a workspace may still use of its share, of ``prefill_s`` or ``decode_s``.

        1 is the most that it can save up; below 0 it has used more than its share.
        """
        part = share.weight / max(share.weight, self.active_weight)
        earned = (now - self._load_at) * part
        credit = share.credit.get(kind, part * SAVED_S) + earned - getattr(share.charged, kind)
        return credit / (part * SAVED_S)

    def usual_of_others(self, share: Share, kind: str, total: int) -> float:
        """Returns how many of `total` slots or prefill servers the other workspaces are expected to need.

        The charges of their recent requests predict it; what they really held lately bounds the prediction, since an
        overestimated cost would otherwise keep free what nobody uses.
        """
        held = max(0.0, self._usual[kind] - share.usual.get(kind, 0.0))
        predicted = total * max(0.0, self._load[kind] - getattr(share.load, kind))
        return min(predicted, 1.5 * held + 2)

    def use(self, share: Share, slots: int, prefills: int) -> None:
        """Changes what a workspace holds."""
        share.use(slots, prefills)
        self.in_use["decode_s"] += slots
        self.in_use["prefill_s"] += prefills

    def over_any(self, share: Share, now: float) -> bool:
        """Says whether a workspace has used more than its share of prefill or of decode."""
        return any(self.credit_part(share, kind, now) < 0 for kind in COST_KINDS)

    def pass_over(self, share: Share) -> None:
        """Notes that a workspace beyond its share was not served, so that it does not save up virtual time."""
        if share.virtual_time < self._virtual_now:
            share.virtual_time = self._virtual_now
            self._offer(share)

    def tickets(self) -> list[Ticket]:
        """Returns all waiting tickets."""
        return [
            ticket
            for share in self.share_by_workspace.values()
            for heap in share.waiting.values()
            for _, _, ticket in heap
            if ticket.in_queue
        ]

    def refresh(self, now: float) -> None:
        """Brings loads and the weight of the active workspaces up to date; forgets those that have been idle."""
        span = now - self._load_at
        if span >= LOAD_S:
            self._load_at = now
            shares = self.share_by_workspace.values()
            self.active_weight = sum(share.weight for share in shares if now - share.seen_at < ACTIVE_S)
            for share in shares:
                share.next_load(min(span, 10 * LOAD_S), share.weight / max(self.active_weight, share.weight))
            self._load = {kind: sum(getattr(share.load, kind) for share in shares) for kind in COST_KINDS}
            self._usual = {kind: sum(share.usual[kind] for share in shares) for kind in COST_KINDS}
        if now - self._forgot_at < IDLE_S:
            return
        self._forgot_at = now
        for share in list(self.share_by_workspace.values()):
            if not share.queued and not share.slots and not share.prefills and now - share.seen_at > IDLE_S:
                del self.share_by_workspace[share.workspace]

    def _offer(self, share: Share) -> None:
        for band, heap in self._heaps.items():
            if share.waiting[band] and share.offered.get(band) != share.virtual_time:
                share.offered[band] = share.virtual_time
                heapq.heappush(heap, (share.virtual_time, next(self._number), share))

    def _first(self, share: Share, band: Band) -> Ticket | None:
        heap = share.waiting[band]
        while heap and not (heap[0][2].in_queue and heap[0][2].band == band):
            heapq.heappop(heap)
        return heap[0][2] if heap else None
