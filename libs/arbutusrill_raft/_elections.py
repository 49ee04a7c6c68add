"""Leader election: group formation, pre-vote, vote and the leader's quorum check."""

from __future__ import annotations

import random

from arbutusrill_base import PartLog, new_request_id
from arbutusrill_wire import messages

from ._core import Core, Role
from ._entries import MEMBERSHIP
from ._membership import Membership
from ._transport import Transport

__all__ = ["Elections"]

_FORMATION_RETRY_S = 0.3
_log = PartLog("raft")


class Elections:
    """Starts elections on election timeout; a leader without contact to a quorum steps down.

    A group forms once, when all initial voters answer and none belongs to a group. The initial voter with the lowest
    address then appends the first membership, which holds the disk IDs of all of them. A replica that has lost its
    disk finds that the others belong to a group; it waits to be added as a new member and cannot vote under its
    old ID.
    """

    def __init__(self, core: Core, transport: Transport, initial: list[str], address: str):
        self._core = core
        self._transport = transport
        self._other_initial_voters = [other for other in initial if other != address]
        self._is_founder = bool(initial) and address == min(initial)

    def run(self) -> None:
        """Runs until the replica stops."""
        core = self._core
        while True:
            with core.lock:
                if core.stopping or core.fault:
                    return
                formed = core.membership is not None
                if formed or not self._is_founder:
                    self._check_timers()
                    continue
            self._form_group()

    def _check_timers(self) -> None:
        core = self._core
        now = core.clock.monotonic()
        try:
            if core.role is Role.LEADER:
                self._check_quorum(now)
            elif core.is_voter and now >= core.election_due_at:
                self._start_round(Role.PRE_CANDIDATE)
        except messages.Refused:
            return  # the disk has failed; `save_term_and_vote` has stopped the replica
        wait = core.timing.heartbeat_s
        if core.role is not Role.LEADER and core.is_voter:
            wait = max(0.001, core.election_due_at - core.clock.monotonic())
        core.elections_wakeup.wait(wait)

    def _check_quorum(self, now: float) -> None:
        core = self._core
        last_contact = max(core.quorum_acked_sent_at(), core.elected_at)
        if now - last_contact > core.timing.election_max_s:
            core.step_down(core.term, f"no quorum has answered for {now - last_contact:.1f} s")

    def _start_round(self, role: Role) -> None:
        core = self._core
        if role is Role.CANDIDATE:
            core.save_term_and_vote(core.term + 1, core.own_id)
        core.role = role
        core.leader = ""
        core.vote_round += 1
        core.votes = set()
        core.reset_election_timer()
        self.count_vote(core.own_id)
        core.peers_wakeup.notify_all()
        core.elections_wakeup.notify_all()

    def count_vote(self, voter: str) -> None:
        """Counts a vote granted in the current round; a majority ends it. `core.lock` must be held."""
        core = self._core
        core.votes.add(voter)
        if len(core.votes.intersection(core.membership.voters)) < core.membership.quorum:
            return
        if core.role is Role.PRE_CANDIDATE:
            self._start_round(Role.CANDIDATE)
        elif core.role is Role.CANDIDATE:
            core.become_leader()
            core.elections_wakeup.notify_all()

    def _form_group(self) -> None:
        """Appends the first membership if every initial voter answers and none belongs to a group."""
        core = self._core
        members = [core.own_id]
        for other in self._other_initial_voters:
            try:
                reply = self._transport.call(other, "hello", core.own_id, core.timing.call_timeout_s)
            except (OSError, messages.Refused):
                reply = None
            if reply is None or reply.group or reply.fault:
                break
            members.append(reply.member)
        with core.lock:
            complete = len(members) == len(self._other_initial_voters) + 1
            if not complete or core.membership is not None:
                wait = _FORMATION_RETRY_S * random.uniform(0.5, 1.5)
                if core.membership is None:
                    core.elections_wakeup.wait(wait)
                return
            try:
                core.save_term_and_vote(core.term + 1, core.own_id)
            except messages.Refused:
                return
            membership = Membership(new_request_id("group")[:16], tuple(sorted(members)))
            _log.info("%s forms group %s with voters %s", core.own_id, membership.group, ", ".join(membership.voters))
            core.append_as_leader(MEMBERSHIP, membership.encode())
            core.elections_wakeup.wait(core.timing.heartbeat_s)
