"""Membership of the control group: VMs that are not members ask to join, and the leader fills the group."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from arbutusrill_base import Clock, EventLog
from arbutusrill_raft import LogUnavailableError, MembershipError, NotLeaderError, Replica, address_of
from arbutusrill_state import ControlClient, ControlUnavailableError
from arbutusrill_wire import messages

__all__ = ["GroupJoinClient", "MembershipManager", "leave_in_time"]

_VOTER_TIMEOUT_S = 3.0  # a voter silent for longer may be replaced by a VM that asks to join
_JOIN_REQUEST_TTL_S = 3.0  # validity of a request to join
_CHANGE_TIMEOUT_S = 3.0  # of one membership change
_JOIN_TIMEOUT_S = 1.0
_LEAVE_REQUEST_TTL_S = 1.0  # a voter that stops repeats its request more often than that
_LEAVE_INTERVAL_S = 0.1
# Of a planned stop, at most, and of the time until the process is killed.
_LEAVE_S, _LEAVE_FRACTION = 3.0, 0.4
_FINISH_S, _FINISH_FRACTION = 1.5, 0.2
_events = EventLog("group")


class MembershipManager:
    """On the leader, fills the group up to `size` voters from the VMs that ask to join, one change at a time.

    A VM that asks from the address of a member but has a new disk replaces that member. A voter that is silent, or has
    announced that it stops, is replaced only when another VM asks to join, so that the group never shrinks on its own.
    """

    def __init__(self, log: Replica, size: int, clock: Clock):
        self._log = log
        self._size = size
        self._clock = clock
        self._lock = threading.Lock()
        self._requested_at_by_member: dict[str, float] = {}
        self._leave_requested_at_by_member: dict[str, float] = {}
        self._leading_since: float | None = None
        self._admitted = ""  # the member that is being made a voter

    def record_join_request(self, member: str) -> None:
        """Records a request to join by the VM with the member ID `member`.

        One that was sent before a request to leave may arrive after it and is passed over.
        """
        with self._lock:
            if member not in self._recent(self._leave_requested_at_by_member, _LEAVE_REQUEST_TTL_S):
                self._requested_at_by_member[member] = self._clock.monotonic()

    def record_leave_request(self, member: str) -> bool:
        """Records that the VM with the member ID `member` stops, and drops its request to join.

        Returns whether it has to wait: a VM asks to join that may replace it as a voter, or it is being admitted.
        """
        with self._lock:
            self._requested_at_by_member.pop(member, None)
            self._leave_requested_at_by_member[member] = self._clock.monotonic()
            is_requested = any(self._recent(self._requested_at_by_member, _JOIN_REQUEST_TTL_S))
            is_admitted = member == self._admitted
        return is_admitted or (is_requested and member in self._log.status().voters)

    def _recent(self, requested_at_by_member: dict[str, float], ttl_s: float) -> dict[str, float]:
        now = self._clock.monotonic()
        return {member: at for member, at in requested_at_by_member.items() if now - at < ttl_s}

    def addresses(self) -> list[str]:
        """Returns the RPC addresses of the voters and learners."""
        status = self._log.status()
        return [address_of(member) for member in [*status.voters, *status.learners]]

    def tick(self) -> None:
        """Makes at most one membership change."""
        if not self._log.is_leader():
            self._leading_since = None
            return
        now = self._clock.monotonic()
        if self._leading_since is None:
            self._leading_since = now
        with self._lock:
            self._requested_at_by_member = self._recent(self._requested_at_by_member, _JOIN_REQUEST_TTL_S)
            self._leave_requested_at_by_member = self._recent(self._leave_requested_at_by_member, _LEAVE_REQUEST_TTL_S)
            requesting = sorted(self._requested_at_by_member)
        for member in requesting:
            with self._lock:
                if member not in self._requested_at_by_member:
                    continue  # it has begun to stop meanwhile
                self._admitted = member
            try:
                if self._admit(member):
                    return
            except (NotLeaderError, LogUnavailableError, MembershipError) as error:
                _events.emit("membership_change_failed", member=member, reason=str(error))
            finally:
                with self._lock:
                    self._admitted = ""

    def _admit(self, requesting: str) -> bool:
        """Makes the VM with the ID `requesting` a voter if there is room or a voter to replace.

        Returns whether it became a voter.
        """
        members = self._log.members()
        voters = [member for member in members if member.kind == "voter"]
        if any(member.id == requesting for member in voters):
            return False  # a member that lost contact with the leader for a moment
        address = address_of(requesting)
        same_address = [member for member in voters if member.address == address]
        # `silent_s` is -1 for a voter that has not replied to this leader, which may have been elected just now.
        led_s = self._clock.monotonic() - self._leading_since
        silent = [member for member in voters if (led_s if member.silent_s < 0 else member.silent_s) > _VOTER_TIMEOUT_S]
        stopping = [member for member in voters if member.id in self._leave_requested_at_by_member]
        if same_address:
            self._replace(same_address[0].id, address, "it has a new disk")
        elif len(voters) < self._size:
            new_member = self._log.add_learner(address, _CHANGE_TIMEOUT_S)
            self._log.promote(new_member, _CHANGE_TIMEOUT_S)
            _events.emit("voter_added", member=new_member, voters=len(voters) + 1)
        elif silent:
            self._replace(silent[0].id, address, f"it was silent for {silent[0].silent_s:.1f} s")
        elif stopping:
            self._replace(stopping[0].id, address, "it stops")
        else:
            return False
        with self._lock:
            self._requested_at_by_member.pop(requesting, None)
        return True

    def _replace(self, old: str, address: str, reason: str) -> None:
        new_member = self._log.replace(old, address, _CHANGE_TIMEOUT_S)
        _events.emit("voter_replaced", old=old, new=new_member, reason=reason)


class GroupJoinClient:
    """On each control VM, asks to join the group while the VM is not a member."""

    def __init__(self, log: Replica, address: str, client: ControlClient, seeds: Callable[[], list[str]]):
        self._log = log
        self._address = address
        self._client = client
        self._seeds = seeds
        self._is_stopping = False

    def leave(self, timeout: float) -> None:
        """Lets another VM that asks to join replace this one if it is a voter; asks to join no more.

        Returns once this VM is replaced, after `timeout` seconds, or at once if no other VM asks to join: the group
        does not shrink. Until then it votes and stores entries as before, so that a planned stop takes nothing from
        what the group tolerates. A VM that is no voter withdraws its request to join, and waits only while it is being
        made a voter.
        """
        self._is_stopping = True
        started = time.monotonic()
        was_voter = self._is_voter()
        waits, reason = True, ""
        call_timeout = timeout if was_voter else _JOIN_TIMEOUT_S
        while waits and (remaining := started + timeout - time.monotonic()) > 0:
            try:
                member, call_s = self._log.status().replica, min(remaining, call_timeout)
                waits = self._client.call("leave", member, timeout=call_s, try_timeout=0.5)
            except (ControlUnavailableError, messages.Refused) as error:
                reason = str(error)
                break
            if waits:
                time.sleep(_LEAVE_INTERVAL_S)
                waits = self._is_voter() or not was_voter
        took_ms = round((time.monotonic() - started) * 1000, 1)
        _events.emit("left", was_voter=was_voter, waits=waits, reason=reason, took_ms=took_ms)

    def _is_voter(self) -> bool:
        status = self._log.status()
        return status.replica in status.voters

    def tick(self) -> None:
        """Asks once if this VM is not a voter or knows no leader."""
        if self._is_stopping:
            return
        status = self._log.status()
        if status.replica in status.voters and status.leader:
            self._client.set_addresses([address_of(member) for member in [*status.voters, *status.learners]])
            return
        try:
            members = self._client.call("join", status.replica, timeout=_JOIN_TIMEOUT_S, try_timeout=0.5)
        except (ControlUnavailableError, messages.Refused) as error:
            _events.emit("join_unanswered", reason=str(error))
            # All known members may have been replaced: the seeds are tried as well.
            known = [address_of(member) for member in [*status.voters, *status.learners]]
            self._client.set_addresses(sorted({*self._seeds(), *known, self._address}))
            return
        self._client.set_addresses([*members, self._address] if self._address not in members else members)


def leave_in_time(join_client: GroupJoinClient, finish: Callable[[float], int], left_s: float) -> None:
    """Leaves the group and ends the requests in progress before `left_s` seconds are over.

    `finish` is called with the seconds for the requests and returns how many it has cut.
    """
    join_client.leave(min(_LEAVE_S, _LEAVE_FRACTION * left_s))
    cut = finish(min(_FINISH_S, _FINISH_FRACTION * left_s))
    _events.emit("drained", cut=cut, left_s=round(left_s, 2))
