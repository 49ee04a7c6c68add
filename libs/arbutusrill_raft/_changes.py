"""Changes of a group's membership, one at a time, on its leader."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future

from arbutusrill_base import PartLog
from arbutusrill_wire import messages

from ._core import Core, Role
from ._entries import MEMBERS
from ._log import LogUnavailableError
from ._membership import Membership, MembershipError, address_of
from ._transport import Transport

__all__ = ["Changes"]

_HEARD_WITHIN_S = 1.0  # a learner that has not answered for longer is not made a voter
_log = PartLog("raft")


class Changes:
    """Membership changes. Each is a log entry that counts from when a replica has it in its log.

    A change starts only when the previous one is committed and the leader has committed an entry of its term;
    otherwise two majorities without a common voter could exist.
    """

    def __init__(self, core: Core, transport: Transport):
        self._core = core
        self._transport = transport

    def add_learner(self, address: str, timeout: float) -> str:
        """Adds the replica at an RPC address as a learner and returns its member ID."""
        core = self._core
        deadline = core.clock.monotonic() + timeout
        member = self._identify(address)
        self._change(lambda members: members.with_learner(member), deadline)
        return member

    def promote(self, member: str, timeout: float) -> None:
        """Makes a learner a voter once it has caught up."""
        core = self._core
        deadline = core.clock.monotonic() + timeout
        with core.lock:
            self._wait(lambda: True, deadline, "")
            member = core.membership.find(member)
            if member in core.membership.voters:
                return
            goal = core.commit_index
            self._wait(lambda: self._caught_up(member, goal), deadline, f"{member} has not caught up")
        self._change(lambda members: members.with_voter(member), deadline)

    def remove(self, member: str, timeout: float) -> None:
        """Removes a member, given by ID or RPC address."""
        core = self._core
        with core.lock:
            self._wait(lambda: True, core.clock.monotonic() + timeout, "")
            member = core.membership.find(member)
        self._change(lambda members: members.without(member), core.clock.monotonic() + timeout)

    def replace(self, old: str, new: str, timeout: float) -> str:
        """Adds the replica at RPC address `new`, makes it a voter, then removes member `old`."""
        core = self._core
        deadline = core.clock.monotonic() + timeout
        member = self._identify(new)
        with core.lock:
            self._wait(lambda: True, deadline, "")
            leaving = self._leaving(core.membership, old, member)
        if leaving == member:
            raise MembershipError(f"{member} cannot replace itself; its disk is not lost")
        if leaving is None and member not in core.membership.members:
            raise MembershipError(f"{old!r} is no member; the members are {', '.join(core.membership.members)}")
        self._change(lambda members: members.with_learner(member), deadline)
        self.promote(member, deadline - core.clock.monotonic())
        if leaving is not None:
            self._change(lambda members: members.without(leaving), deadline)
        return member

    @staticmethod
    def _leaving(members: Membership, old: str, new: str) -> str | None:
        """Returns the member that `old` names, or None when an earlier attempt has removed it."""
        named = [member for member in members.members if old in (member, address_of(member))]
        others = [member for member in named if member != new]
        if len(others) > 1:
            raise MembershipError(f"{old!r} names several members: {', '.join(others)}; give the whole ID")
        if others:
            return others[0]
        return new if old == new else None

    def _identify(self, address: str) -> str:
        """Asks the replica at an address who it is; refuses one of another group or with a fault."""
        core = self._core
        with core.lock:
            self._wait(lambda: True, core.clock.monotonic(), "")
            group = core.membership.group
            me = core.me
        if address == address_of(me):
            return me
        try:
            reply = self._transport.call(address, "hello", me, core.timing.call_s)
        except (OSError, messages.Refused) as error:
            raise MembershipError(f"the replica at {address} does not answer: {error}") from None
        if reply.fault:
            raise MembershipError(f"the replica at {address} does not take part: {reply.fault}")
        if reply.group not in ("", group):
            raise MembershipError(f"the replica at {address} belongs to group {reply.group}, not {group}")
        return reply.member

    def _caught_up(self, member: str, goal: int) -> bool:
        core = self._core
        progress = core.progress_by_peer.get(member)
        if progress is None:
            raise MembershipError(f"{member} is no member any more")
        heard = core.clock.monotonic() - progress.acked_sent_at < _HEARD_WITHIN_S
        return heard and progress.match_index >= goal

    def _change(self, make: Callable[[Membership], Membership], deadline: float) -> None:
        """Commits the membership that `make` returns for the current one."""
        core = self._core
        future: Future = Future()
        with core.lock:
            self._wait(
                lambda: core.serves and core.log.membership_index <= core.commit_index,
                deadline,
                "an earlier membership change is not committed",
            )
            before = core.membership
            after = make(before)
            if after == before:
                return
            _log.info("members: voters %s, learners %s", ", ".join(after.voters), ", ".join(after.learners) or "none")
            entry = core.append_own(MEMBERS, after.encode())
            core.proposal_by_index[entry.index] = (entry.term, future)
            core.advance_commit()
        try:
            future.result(max(0.0, deadline - core.clock.monotonic()))
        except TimeoutError:
            raise LogUnavailableError("the membership change is not committed in time", appended=True) from None

    def _wait(self, condition: Callable[[], bool], deadline: float, problem: str) -> None:
        """Waits, with the lock held, while this replica leads; raises as `Replica.propose` does."""
        core = self._core
        while True:
            if core.fault or core.stopping:
                raise LogUnavailableError(core.fault or "the replica stops", appended=False)
            if core.role is not Role.LEADER:
                raise core.not_leader()
            if condition():
                return
            remaining = deadline - core.clock.monotonic()
            if remaining <= 0:
                raise LogUnavailableError(problem, appended=False)
            core.changed.wait(remaining)
