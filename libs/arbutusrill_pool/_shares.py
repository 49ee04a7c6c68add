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

PEAK_S = 5.0  # use of the last 5 to 10 s is kept free for a workspace within its share
LOAD_S = 1.0
ACTIVE_S = 10.0  # a workspace seen within this time counts for the shares of the others
_LOAD_RATE = 0.2
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
    charged: Cost = field(default_factory=Cost)  # since the load was last computed
    offered: dict[Band, float | None] = field(default_factory=dict)  # virtual time in the heap of each band
    _slots_peaks: tuple[int, int] = (0, 0)
    _prefills_peaks: tuple[int, int] = (0, 0)

    def use(self, slots: int, prefills: int) -> None:
        """Changes the number of slots and prefills that the workspace holds."""
        self.slots += slots
        self.prefills += prefills
        assert self.slots >= 0 and self.prefills >= 0, f"workspace {self.workspace} gave back more than it held"
        self._slots_peaks = (max(self._slots_peaks[0], self.slots), self._slots_peaks[1])
        self._prefills_peaks = (max(self._prefills_peaks[0], self.prefills), self._prefills_peaks[1])

    def next_period(self) -> None:
        """Begins a new period of the recent peaks."""
        self._slots_peaks = (self.slots, self._slots_peaks[0])
        self._prefills_peaks = (self.prefills, self._prefills_peaks[0])

    def next_load(self, span_s: float) -> None:
        """Mixes the use of the last `span_s` seconds into `load`."""
        for name in ("prefill_s", "decode_s"):
            before = getattr(self.load, name)
            setattr(self.load, name, before + _LOAD_RATE * (getattr(self.charged, name) / span_s - before))
        self.charged = Cost()

    def spare_slots(self, limit: float) -> float:
        """Returns how many slots the workspace used lately, up to `limit`, and does not hold now."""
        return max(0.0, min(limit, max(self._slots_peaks)) - self.slots)

    def spare_prefills(self, limit: float) -> float:
        """Returns how many prefills the workspace ran at once lately, up to `limit`, and does not run now."""
        return max(0.0, min(limit, max(self._prefills_peaks)) - self.prefills)


class FairQueue:
    """Waiting tickets in the order in which they are to be placed."""

    def __init__(self) -> None:
        self.share_by_workspace: dict[str, Share] = {}
        self.length = 0
        self._virtual_now = 0.0
        self._heaps: dict[Band, list] = {band: [] for band in Band}
        self._number = itertools.count()
        self._period_at = float("-inf")
        self._load_at = float("-inf")
        self.active_weight = 0.0

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
                continue  # a newer entry exists
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

    def wait_s(self, share: Share, band: Band) -> float:
        """Returns how long a new ticket of `share` would wait for the tickets that are placed before it, in seconds.

        A workspace is counted with what it gets until its virtual time passes that of the new ticket. The pool
        works on them with what the recent load of the other workspaces leaves, at least with the share's part.
        """
        bands = [other for other in Band if other <= band]
        own = sum(share.backlog[other].price for other in bands)
        tag = max(share.virtual_time, self._virtual_now) + own / share.weight
        ahead, load = Cost(), Cost()
        for other in self.share_by_workspace.values():
            if other is not share:
                load.add(other.load)
            if not other.queued:
                continue
            for each in bands:
                cost = other.backlog[each]
                if other is share or band > each or not cost.price:
                    ahead.add(cost)
                    continue
                allowed = max(0.0, (tag - other.virtual_time) * other.weight)
                ahead.add(cost, min(1.0, allowed / cost.price))
        part = share.weight / max(share.weight, self.active_weight)
        return max(ahead.prefill_s / max(part, 1.0 - load.prefill_s), ahead.decode_s / max(part, 1.0 - load.decode_s))

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
                share.next_load(min(span, 10 * LOAD_S))
        if now - self._period_at < PEAK_S:
            return
        self._period_at = now
        for share in list(self.share_by_workspace.values()):
            share.next_period()
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
