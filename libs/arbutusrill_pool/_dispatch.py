"""Admission and dispatch: which waiting ticket gets servers next, and which is refused."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from arbutusrill_base import PartLog
from arbutusrill_wire import messages

from ._admission import PoolAverages, terms_of
from ._holding import HoldingBook
from ._index import ServerIndex
from ._policy import PlacementPolicy, PlacementRequest, policy_named
from ._prefixes import PrefixIndex
from ._shares import FairQueue, Share
from ._ticket import Band, Placement, Ticket

__all__ = ["Dispatcher"]

POLL_LIMIT_S = 1.2  # four polls of 300 ms; a ticket not polled for this long has lost its caller
MAX_QUEUED = 20_000  # about 40 MB; at the peak of 540 requests/s this is more than half a minute
BRIEFING_HEADROOM = 0.1  # part of the slots that briefings leave for requests that cannot wait
BRIEFING_SLACK_S = 4.0  # a briefing due within this time waits no longer for idle servers
AVERAGE_S = 1.0  # averages over 1,400 servers take some milliseconds
LOW_CREDIT = 0.25  # part of the savings of a workspace below which it is close to its share
# Standard deviations of the others' use that a workspace beyond its share leaves free. Slots are held for many times
# longer than a prefill server: with 0.5 for both, 5x of one workspace moved the others' 95% quantile by 40% to 85%.
VARIATION_BY_KIND = {"prefill_s": 0.5, "decode_s": 2.0}
NEAR_VARIATION_BY_KIND = {"prefill_s": 0.0, "decode_s": 0.5}  # the same for one that is close to its share
_TRIES = 4  # tickets tried in one dispatch after finding no room; only unusual ones differ
_MIN_RETRY_MS = 100


class Dispatcher:
    """Queue, admission and placement of one pool. The owner's lock protects it."""

    def __init__(
        self,
        index: ServerIndex,
        queue: FairQueue,
        book: HoldingBook,
        prefixes: PrefixIndex,
        value: Callable[[str], Any],
    ):
        self.averages = PoolAverages()
        self.ticket_by_id: dict[str, Ticket] = {}
        self.plain = False
        self.policy: PlacementPolicy = policy_named(value("policy.name"))
        self._index = index
        self._queue = queue
        self._book = book
        self._prefixes = prefixes
        self._value = value
        self._log = PartLog("pool")
        self._averaged_at = float("-inf")

    # ---- queue

    def admit(self, ticket: Ticket, now: float) -> None:
        """Queues a new ticket, or refuses it at once when its first token is predicted to come too late."""
        request = ticket.request
        self.ticket_by_id[ticket.id] = ticket
        idle_s = self.averages.prefill_s(request) + self.averages.gap_s if not self.plain else 0.0
        terms = terms_of(request, self.plain, idle_s, self.averages.decode_s(request), self._value)
        ticket.first_by, ticket.band = now + terms.first_token_s, terms.band
        ticket.cost = self.averages.cost(request, self.plain)
        if self._queue.length >= MAX_QUEUED:
            self.refuse(ticket, "queue_full", f"{MAX_QUEUED} requests are waiting for this pool", 1.0)
            return
        self._enqueue(ticket, now)
        self.dispatch(now)
        if not ticket.in_queue or not self.policy.reserves or not self._has_servers():
            return
        self._queue.remove(ticket)
        share = self._share(ticket, now)
        predicted = self._queue.wait_s(share, ticket.band, now) + idle_s
        if predicted > terms.first_token_s:
            message = f"the first token is predicted after {predicted:.2f} s, the limit is {terms.first_token_s:.2f} s"
            self.refuse(ticket, "overloaded", message, predicted - terms.first_token_s)
        else:
            self._queue.push(ticket, share)

    def wait_for_opening(self, ticket: Ticket, now: float) -> None:
        """Queues a ticket while the owner still learns what an earlier owner gave out."""
        self.ticket_by_id[ticket.id] = ticket
        decode_s = self.averages.decode_s(ticket.request)
        terms = terms_of(ticket.request, self.plain, 0.0, decode_s, self._value)
        ticket.first_by, ticket.band = now + terms.first_token_s, terms.band
        ticket.cost = self.averages.cost(ticket.request, self.plain)
        self._enqueue(ticket, now)

    def _enqueue(self, ticket: Ticket, now: float) -> None:
        if self.policy.reserves:
            ticket.queue_name, ticket.order_key = ticket.request.workspace, ticket.first_by
        else:
            ticket.queue_name, ticket.order_key, ticket.band = "", ticket.arrived_at, Band.URGENT
        self._queue.push(ticket, self._share(ticket, now))

    def _share(self, ticket: Ticket, now: float) -> Share:
        return self._queue.share(ticket.queue_name, ticket.request.weight, now)

    def refuse(self, ticket: Ticket, code: str, message: str, retry_after_s: float | None) -> None:
        """Takes a ticket out of the queue with a refusal; `retry_after_s` of None: a retry does not help."""
        self._queue.remove(ticket)
        retry_ms = -1 if retry_after_s is None else max(_MIN_RETRY_MS, round(retry_after_s * 1000))
        ticket.reply = messages.AcquireReply("refused", None, code, message, retry_ms)
        ticket.decided.notify_all()

    def drop(self, ticket: Ticket) -> None:
        """Forgets a ticket that nobody waits for any more."""
        self._queue.remove(ticket)
        self.ticket_by_id.pop(ticket.id, None)

    # ---- placement

    def dispatch(self, now: float) -> None:
        """Places waiting tickets until there is no room."""
        for band in Band:
            passed_over: set[str] = set()
            tries = _TRIES
            while tries and self._has_room():
                ticket = self._queue.head(band, passed_over)
                if ticket is None:
                    break
                if not self._try(ticket, now):
                    passed_over.add(ticket.queue_name)
                    tries -= 1

    def _has_servers(self) -> bool:
        stages = ("plain",) if self.plain else ("prefill", "decode")
        return all(self._index.stage(stage).ready.members for stage in stages)

    def _has_room(self) -> bool:
        if self._queue.length == 0:
            return False
        if not self.policy.reserves:
            return self._has_servers()
        stages = ("plain",) if self.plain else ("prefill", "decode")
        return all(self._index.stage(stage).open.members for stage in stages)

    def _try(self, ticket: Ticket, now: float) -> bool:
        """Places or refuses a ticket; returns False when it has to wait."""
        if self.policy.reserves and self._held_back(ticket, now):
            self._queue.pass_over(self._share(ticket, now))
            return False
        placement = self.policy.place(self._wanted(ticket), self._index, now)
        if placement is None:
            return False
        late = now + placement.first_token_s - ticket.first_by
        if self.policy.reserves and late > 0:
            message = f"the first token is predicted {late:.2f} s after it is due"
            self.refuse(ticket, "overloaded", message, late)
            return True
        self._assign(ticket, placement, now)
        return True

    def _assign(self, ticket: Ticket, placement: Placement, now: float) -> None:
        if placement.prefill is not None:
            prefill_s = placement.prefill_s / max(1, self.averages.prefill_servers)
            ticket.cost.prefill_s = min(ticket.cost.prefill_s, prefill_s) if placement.missed_tokens else prefill_s
        self._queue.remove(ticket)
        share = self._share(ticket, now)
        held = self._book.take(ticket, placement, self.policy.reserves, now)
        self._queue.charge(share, ticket.cost)
        ticket.reply = messages.AcquireReply("assigned", held.assignment)
        ticket.decided.notify_all()

    def _wanted(self, ticket: Ticket) -> PlacementRequest:
        request = ticket.request
        wanted = PlacementRequest(
            request.prompt_tokens, self.plain, request.data_centre, frozenset(request.avoid or ())
        )
        if request.prefix_blocks:
            blocks = request.prefix_blocks
            tokens = request.prompt_tokens / len(blocks)
            matches = self._prefixes.matches(blocks)
            wanted.cached_by_server = {server: count * tokens for server, count in matches.items()}
        return wanted

    def _held_back(self, ticket: Ticket, now: float) -> bool:
        """Says whether a ticket has to leave the free servers to others.

        Briefings leave a part of the slots for requests that cannot wait. A retry after a failure may take any.
        """
        if ticket.request.avoid:
            return False
        stage = self._index.stage("plain" if self.plain else "decode")
        several = len(stage.ready.members) > 1
        if ticket.band is Band.DEFERRED and several and stage.free <= max(1.0, BRIEFING_HEADROOM * stage.slots):
            return True
        share = self._queue.share_by_workspace[ticket.queue_name]
        if self._queue.active_weight <= share.weight:
            return False
        if self._beyond_share(share, "decode_s", stage.free, stage.slots, now):
            return True
        prefill = self._index.stage("prefill")
        return not self.plain and self._beyond_share(share, "prefill_s", prefill.idle, len(prefill.ready.members), now)

    def _beyond_share(self, share: Share, kind: str, free: int, total: int, now: float) -> bool:
        """Says whether a workspace may not use one of the `free` of `total` slots or prefill servers.

        A workspace that has used up its share leaves free what the others are expected to need in the next
        moment: their recent mean use, with some variation, less what they use now. One that is close to its share
        does not queue behind the prefills of others.
        """
        credit = self._queue.credit_part(share, kind, now)
        if credit >= LOW_CREDIT:
            return False
        usual = self._queue.usual_of_others(share, kind, total)
        if credit >= 0:
            return free < 1 + NEAR_VARIATION_BY_KIND[kind] * math.sqrt(usual)
        in_use = self._queue.in_use[kind] - share.in_use(kind)
        return free < 1 + max(0.0, usual + VARIATION_BY_KIND[kind] * math.sqrt(usual) - in_use)

    # ---- upkeep

    def tick(self, now: float, active: bool) -> None:
        """Drops tickets that nobody polls, refuses those that have become late, moves due briefings forward.

        Places tickets only when `active`.
        """
        self._switch_policy(now)
        self._queue.refresh(now)
        if now - self._averaged_at >= AVERAGE_S:
            self._averaged_at = now
            self.averages.refresh(self._index)
        for ticket in list(self.ticket_by_id.values()):
            if now - ticket.polled_at > POLL_LIMIT_S:
                self.drop(ticket)
            elif ticket.in_queue and now > ticket.first_by:
                self.refuse(ticket, "overloaded", "no server was free in time", self._retry_s(ticket, now))
        for ticket in self._queue.due(now + BRIEFING_SLACK_S):
            self._queue.promote(ticket)
        if active:
            self.dispatch(now)

    def _retry_s(self, ticket: Ticket, now: float) -> float:
        return self._queue.wait_s(self._share(ticket, now), ticket.band, now)

    def _switch_policy(self, now: float) -> None:
        name = self._value("policy.name")
        if name == self.policy.name:
            return
        waiting = sorted(self._queue.tickets(), key=lambda ticket: ticket.arrived_at)
        for ticket in waiting:
            self._queue.remove(ticket)
        self._log.info("placement policy changes from %s to %s", self.policy.name, name)
        self.policy = policy_named(name)
        for ticket in waiting:
            self._enqueue(ticket, now)
