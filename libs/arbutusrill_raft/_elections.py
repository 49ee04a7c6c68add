"""Leader election: group formation, pre-vote, vote and the leader's quorum check."""

from __future__ import annotations

import random

from arbutusrill_base import EventLog, PartLog, new_request_id
from arbutusrill_wire import messages

from ._core import Core, Role
from ._entries import MEMBERSHIP
from ._membership import Membership
from ._transport import Transport

__all__ = ["Elections"]

_FORMATION_RETRY_S = 0.3
_log = PartLog("raft")
_events = EventLog("raft")


class Elections:
    """Starts elections on election timeout; a leader that no quorum has acknowledged for `election_max_s` steps down.

    A group forms once, when all initial voters answer and none belongs to a group. One of them then appends the first
    membership, which holds the member IDs of all: the one whose address sorts first as a string among those that know
    the initial voters. A replica that is restarted before that with an empty disk may not know them. It does not learn
    them later, so that two replicas never form a group at the same time. A replica that has lost its disk has a new
    member ID. It forms no second group, since others already belong to one, and has no vote until it is added as a new
    member.
    """

    def __init__(self, core: Core, transport: Transport, initial_addresses: list[str], own_address: str):
        self._core = core
        self._transport = transport
        self._own_address = own_address
        self._other_initial_addresses = sorted(address for address in initial_addresses if address != own_address)
        self._is_initial_voter = own_address in initial_addresses

    def run(self) -> None:
        """Runs until the replica stops."""
        core = self._core
        while True:
            with core.lock:
                if core.stopping or core.fault:
                    return
                formed = core.membership is not None
                if formed or not self._is_initial_voter:
                    self._check_timers_and_wait()
                    continue
            self._form_group()

    def _check_timers_and_wait(self) -> None:
        """Checks the quorum or the election timeout, then waits for the next check. `core.lock` must be held."""
        core = self._core
        now = core.clock.monotonic()
        try:
            if core.role is Role.LEADER:
                self._check_quorum(now)
                self._remove_leaving_member()
            elif core.is_voter and now >= self._election_due_at():
                self._start_vote_round(Role.PRE_CANDIDATE)
        except messages.Refused:
            core.reset_election_timer()  # the disk has refused the new term
        wait_s = core.timing.heartbeat_s
        if core.role is not Role.LEADER and core.is_voter:
            wait_s = max(0.001, self._election_due_at() - core.clock.monotonic())
        core.elections_wakeup.wait(wait_s)

    def _election_due_at(self) -> float:
        """Returns when this replica may start an election: not before its disk, if it is failing, is tried again."""
        core = self._core
        return max(core.election_due_at, core.disk_retry_at) if core.disk_error else core.election_due_at

    def _check_quorum(self, now: float) -> None:
        core = self._core
        last_quorum_contact_at = max(core.quorum_acked_sent_at(), core.elected_at)
        if now - last_quorum_contact_at > core.timing.election_max_s:
            core.step_down(core.term, f"no quorum has answered for {now - last_quorum_contact_at:.1f} s")

    def _remove_leaving_member(self) -> None:
        """On the leader, finishes a replacement that may have been begun by an earlier leader."""
        core = self._core
        members = core.membership
        is_previous_change_committed = core.log.membership_index <= core.commit_index
        if not (members.leaving and core.is_ready_leader and is_previous_change_committed):
            return
        after = members.without(members.leaving[0])
        _log.info("%s removes %s, which was replaced", core.own_id, members.leaving[0])
        _events.emit("replaced_member_removed", member=members.leaving[0], voters=len(after.voters), term=core.term)
        core.append_as_leader(MEMBERSHIP, after.encode())
        core.advance_commit()

    def _start_vote_round(self, role: Role) -> None:
        core = self._core
        if role is Role.CANDIDATE:
            core.save_term_and_vote(core.term + 1, core.own_id)
        if role is Role.PRE_CANDIDATE and core.leader:
            _events.emit("leader_silent", replica=core.own_id, term=core.term, leader=core.leader)
        core.role = role
        core.leader = ""
        core.vote_round += 1
        core.votes = set()
        core.reset_election_timer()
        self.count_vote(core.own_id)
        core.peers_wakeup.notify_all()
        core.elections_wakeup.notify_all()

    def count_vote(self, voter: str) -> None:
        """Counts a vote granted in the current round. `core.lock` must be held.

        A majority starts the vote after a pre-vote, and makes this replica leader after a vote.
        """
        core = self._core
        core.votes.add(voter)
        if len(core.votes.intersection(core.membership.voters)) < core.membership.quorum:
            return
        if core.role is Role.PRE_CANDIDATE:
            self._start_vote_round(Role.CANDIDATE)
        elif core.role is Role.CANDIDATE:
            core.become_leader()
            core.elections_wakeup.notify_all()

    def _form_group(self) -> None:
        """Appends the first membership if every initial voter answers, none belongs to a group and none goes first."""
        core = self._core
        member_ids = [core.own_id]
        for address in self._other_initial_addresses:
            try:
                reply = self._transport.call(address, "hello", core.own_id, core.timing.call_timeout_s)
            except (OSError, messages.Refused):
                reply = None
            if reply is None or reply.group or reply.fault:
                break
            if address < self._own_address and not reply.forms_no_group:
                break
            member_ids.append(reply.member)
        with core.lock:
            all_can_join = len(member_ids) == len(self._other_initial_addresses) + 1
            if not all_can_join or core.membership is not None:
                wait_s = _FORMATION_RETRY_S * random.uniform(0.5, 1.5)
                if core.membership is None:
                    core.elections_wakeup.wait(wait_s)
                return
            try:
                core.save_term_and_vote(core.term + 1, core.own_id)
            except messages.Refused:
                core.elections_wakeup.wait(core.timing.heartbeat_s)
                return
            membership = Membership(new_request_id("group")[:16], tuple(sorted(member_ids)))
            _log.info("%s forms group %s with voters %s", core.own_id, membership.group, ", ".join(membership.voters))
            _events.emit("group_formed", replica=core.own_id, group=membership.group, voters=len(membership.voters))
            # This replica is not leader yet; the entry commits after it has won an election by the usual rules.
            core.append_as_leader(MEMBERSHIP, membership.encode())
            core.elections_wakeup.wait(core.timing.heartbeat_s)
