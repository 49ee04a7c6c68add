"""Membership of the control group: VMs that are not members ask to join, and the leader fills the group."""

from __future__ import annotations

import threading
from collections.abc import Callable

from arbutusrill_base import Clock, EventLog
from arbutusrill_raft import LogUnavailableError, MembershipError, NotLeaderError, Replica, address_of
from arbutusrill_state import ControlClient, ControlUnavailableError
from arbutusrill_wire import messages

__all__ = ["GroupJoinClient", "MembershipManager"]

_VOTER_TIMEOUT_S = 3.0  # a voter silent for longer may be replaced by a VM that asks to join
_JOIN_REQUEST_TTL_S = 3.0  # validity of a request to join
_CHANGE_TIMEOUT_S = 3.0  # of one membership change
_JOIN_TIMEOUT_S = 1.0
_events = EventLog("group")


class MembershipManager:
    """On the leader, fills the group up to `size` voters from the VMs that ask to join, one change at a time.

    A VM that asks from the address of a member but has a new disk replaces that member. A silent voter is replaced only
    when another VM asks to join, so that the group never shrinks on its own.
    """

    def __init__(self, log: Replica, size: int, clock: Clock):
        self._log = log
        self._size = size
        self._clock = clock
        self._lock = threading.Lock()
        self._requested_at_by_member: dict[str, float] = {}
        self._leading_since: float | None = None

    def record_join_request(self, member: str) -> None:
        """Records a request to join by the VM with the member ID `member`."""
        with self._lock:
            self._requested_at_by_member[member] = self._clock.monotonic()

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
            recent = {
                member: at for member, at in self._requested_at_by_member.items() if now - at < _JOIN_REQUEST_TTL_S
            }
            self._requested_at_by_member = recent
            requesting = sorted(recent)
        try:
            for member in requesting:
                if self._admit(member):
                    break
        except (NotLeaderError, LogUnavailableError, MembershipError) as error:
            _events.emit("membership_change_failed", reason=str(error))

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
        if same_address:
            self._replace(same_address[0].id, address, "it has a new disk")
        elif len(voters) < self._size:
            new_member = self._log.add_learner(address, _CHANGE_TIMEOUT_S)
            self._log.promote(new_member, _CHANGE_TIMEOUT_S)
            _events.emit("voter_added", member=new_member, voters=len(voters) + 1)
        elif silent:
            self._replace(silent[0].id, address, f"it was silent for {silent[0].silent_s:.1f} s")
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

    def tick(self) -> None:
        """Asks once if this VM is not a voter or knows no leader."""
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
