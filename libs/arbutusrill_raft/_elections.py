"""Elections: formation of a group, pre-vote, vote and the leader's check of its quorum."""

from __future__ import annotations

import random

from arbutusrill_base import PartLog, new_request_id
from arbutusrill_wire import messages

from ._core import Core, Role
from ._entries import MEMBERS
from ._membership import Membership
from ._transport import Transport

__all__ = ["Elections"]

_FORM_RETRY_S = 0.3
_log = PartLog("raft")


class Elections:
    """Starts elections when no leader is heard and ends a leadership that has lost its quorum.

    A group forms once, when all its initial voters answer and none belongs to a group: the one with the lowest
    address then writes the first membership with everyone's disk ID. A replica that lost its disk finds others
    that belong to the group, so it waits to be added as a new member and cannot vote under its old ID.
    """

    def __init__(self, core: Core, transport: Transport, initial: list[str], address: str):
        self._core = core
        self._transport = transport
        self._others = [other for other in initial if other != address]
        self._founds = bool(initial) and address == min(initial)

    def run(self) -> None:
        """Runs until the replica stops."""
        core = self._core
        while True:
            with core.lock:
                if core.stopping or core.fault:
                    return
                formed = core.membership is not None
                if formed or not self._founds:
                    self._step()
                    continue
            self._form()

    def _step(self) -> None:
        core = self._core
        now = core.clock.monotonic()
        try:
            if core.role is Role.LEADER:
                self._check_quorum(now)
            elif core.is_voter and now >= core.election_at:
                self._start(Role.PRE_CANDIDATE)
        except messages.Refused:
            return  # the disk has failed, the replica no longer takes part
        wait = core.timing.heartbeat_s
        if core.role is not Role.LEADER and core.is_voter:
            wait = max(0.001, core.election_at - core.clock.monotonic())
        core.to_elect.wait(wait)

    def _check_quorum(self, now: float) -> None:
        core = self._core
        heard = max(core.quorum_sent_at(), core.elected_at)
        if now - heard > core.timing.election_max_s:
            core.step_down(core.term, f"no quorum has answered for {now - heard:.1f} s")

    def _start(self, role: Role) -> None:
        core = self._core
        if role is Role.CANDIDATE:
            core.save_meta(core.term + 1, core.me)
        core.role = role
        core.leader = ""
        core.round += 1
        core.votes = set()
        core.postpone_election()
        self.count(core.me)
        core.work.notify_all()
        core.to_elect.notify_all()

    def count(self, voter: str) -> None:
        """Counts a vote granted in the current round; called with the lock held."""
        core = self._core
        core.votes.add(voter)
        if len(core.votes.intersection(core.membership.voters)) < core.membership.quorum:
            return
        if core.role is Role.PRE_CANDIDATE:
            self._start(Role.CANDIDATE)
        elif core.role is Role.CANDIDATE:
            core.lead()
            core.to_elect.notify_all()

    def _form(self) -> None:
        """Writes the first membership if every initial voter is there and none belongs to a group."""
        core = self._core
        members = [core.me]
        for other in self._others:
            try:
                reply = self._transport.call(other, "hello", core.me, core.timing.call_s)
            except (OSError, messages.Refused):
                reply = None
            if reply is None or reply.group or reply.fault:
                break
            members.append(reply.member)
        with core.lock:
            complete = len(members) == len(self._others) + 1
            if not complete or core.membership is not None:
                wait = _FORM_RETRY_S * random.uniform(0.5, 1.5)
                if core.membership is None:
                    core.to_elect.wait(wait)
                return
            try:
                core.save_meta(core.term + 1, core.me)
            except messages.Refused:
                return
            membership = Membership(new_request_id("group")[:16], tuple(sorted(members)))
            _log.info("%s forms group %s of %s", core.me, membership.group, ", ".join(membership.voters))
            core.append_own(MEMBERS, membership.encode())
            core.to_elect.wait(core.timing.heartbeat_s)
