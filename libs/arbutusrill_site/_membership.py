"""Members of the control group: VMs without a place in it ask for one, and its leader keeps it at its size."""

from __future__ import annotations

import threading
from collections.abc import Callable

from arbutusrill_base import Clock, EventLog
from arbutusrill_raft import LogUnavailableError, MembershipError, NotLeaderError, Replica, address_of
from arbutusrill_state import ControlClient, ControlUnavailableError
from arbutusrill_wire import messages

__all__ = ["GroupKeeper", "Joiner"]

_SILENT_S = 3.0  # a voter silent for longer gives its place to a VM that asks for one
_ASKED_S = 3.0  # how long the call of a VM without a place counts
_CHANGE_S = 3.0
_JOIN_CALL_S = 1.0
_events = EventLog("group")


class GroupKeeper:
    """On the leader, fills the group up to `size` voters from the VMs that ask, one change at a time.

    A VM that asks from the address of a member with another disk replaces that member. A voter that is silent is
    replaced only when another VM asks for a place, so that a group never shrinks by itself.
    """

    def __init__(self, log: Replica, size: int, clock: Clock):
        self._log = log
        self._size = size
        self._clock = clock
        self._lock = threading.Lock()
        self._asked_at_by_member: dict[str, float] = {}

    def ask(self, member: str) -> None:
        """Notes that the VM with the member ID `member` has no place in the group."""
        with self._lock:
            self._asked_at_by_member[member] = self._clock.monotonic()

    def addresses(self) -> list[str]:
        """Returns the members' RPC addresses."""
        status = self._log.status()
        return [address_of(member) for member in [*status.voters, *status.learners]]

    def tick(self) -> None:
        """Makes at most one change."""
        if not self._log.is_leader():
            return
        now = self._clock.monotonic()
        with self._lock:
            recent = {member: at for member, at in self._asked_at_by_member.items() if now - at < _ASKED_S}
            self._asked_at_by_member = recent
            asking = sorted(recent)
        try:
            for member in asking:
                if self._place(member):
                    break
        except (NotLeaderError, LogUnavailableError, MembershipError) as error:
            _events.emit("membership_change_failed", reason=str(error))

    def _place(self, asking: str) -> bool:
        """Gives the VM with the member ID `asking` a place when there is one; returns whether the group was changed."""
        members = self._log.members()
        voters = [member for member in members if member.kind == "voter"]
        if any(member.id == asking for member in voters):
            return False  # it only has not heard the leader for a moment
        address = address_of(asking)
        same_address = [member for member in voters if member.address == address]
        silent = [member for member in voters if member.silent_s < 0 or member.silent_s > _SILENT_S]
        if same_address:
            self._replace(same_address[0].id, address, "its disk is another one")
        elif len(voters) < self._size:
            added = self._log.add_learner(address, _CHANGE_S)
            self._log.promote(added, _CHANGE_S)
            _events.emit("voter_added", member=added, voters=len(voters) + 1)
        elif silent:
            self._replace(silent[0].id, address, f"it is silent for {silent[0].silent_s:.1f} s")
        else:
            return False
        with self._lock:
            self._asked_at_by_member.pop(asking, None)
        return True

    def _replace(self, old: str, address: str, reason: str) -> None:
        added = self._log.replace(old, address, _CHANGE_S)
        _events.emit("voter_replaced", old=old, new=added, reason=reason)


class Joiner:
    """On each control VM, asks the group for a place while the VM has none."""

    def __init__(self, log: Replica, address: str, client: ControlClient, seeds: Callable[[], list[str]]):
        self._log = log
        self._address = address
        self._client = client
        self._seeds = seeds

    def tick(self) -> None:
        """Asks once when this VM is not a member, or hears no leader."""
        status = self._log.status()
        if status.replica in status.voters and status.leader:
            self._client.learn([address_of(member) for member in [*status.voters, *status.learners]])
            return
        try:
            members = self._client.call("join", status.replica, timeout=_JOIN_CALL_S, try_timeout=0.5)
        except (ControlUnavailableError, messages.Refused) as error:
            _events.emit("join_unanswered", reason=str(error))
            # The members that this VM remembers may all be gone: the seeds are the way back.
            known = [address_of(member) for member in [*status.voters, *status.learners]]
            self._client.learn(sorted({*self._seeds(), *known, self._address}))
            return
        self._client.learn([*members, self._address] if self._address not in members else members)
