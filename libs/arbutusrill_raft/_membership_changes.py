"""Membership changes of a group, made one at a time by its leader."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from arbutusrill_base import PartLog
from arbutusrill_wire import messages

from ._core import Core, Role
from ._entries import LOG_FORMAT, MEMBERSHIP
from ._log import LogUnavailableError
from ._membership import Membership, MembershipError, address_of
from ._transport import Transport

__all__ = ["MembershipChanges"]

_MAX_LEARNER_ACK_AGE_S = 1.0  # a learner whose latest acknowledged message was sent earlier is not promoted
_log = PartLog("raft")


class MembershipChanges:
    """Membership changes. Each is a log entry, in force on a replica as soon as it is appended to that replica's log.

    A change starts only when the previous one is committed and the leader has applied an entry of its term;
    otherwise two majorities without a common voter could exist.
    """

    def __init__(self, core: Core, transport: Transport):
        self._core = core
        self._transport = transport
        self._log_format_by_member: dict[str, int] = {}

    def log_format(self) -> int:
        """Returns the highest format of log entries that all members are known to read; asks those not asked before."""
        others, known = self._ask_formats()
        return min((known.get(member, 0) for member in others), default=LOG_FORMAT)

    def is_format_refused(self, log_format: int) -> bool:
        """Returns whether a member that has answered reads only older formats of log entries than `log_format`."""
        _, known = self._ask_formats()
        return any(at < log_format for at in known.values())

    def _ask_formats(self) -> tuple[list[str], dict[str, int]]:
        """Returns the other members, and the formats of those that have answered.

        Those not asked before are asked at the same time, so that silent ones cost `Timing.call_timeout_s` in all.
        """
        core = self._core
        with core.lock:
            others = [member for member in core.membership.members if member != core.own_id] if core.membership else ()
        known = {member: at for member, at in self._log_format_by_member.items() if member in others}
        if unknown := [member for member in others if member not in known]:
            with ThreadPoolExecutor(len(unknown), "raft-formats") as pool:
                formats = zip(unknown, pool.map(self._ask_format, unknown), strict=True)
                known |= {member: at for member, at in formats if at is not None}
        self._log_format_by_member = known
        return list(others), known

    def _ask_format(self, member: str) -> int | None:
        """Returns the highest format of log entries that a member reads, None if it does not answer."""
        core = self._core
        try:
            reply = self._transport.call(address_of(member), "hello", core.own_id, core.timing.call_timeout_s)
        except (OSError, messages.Refused):
            return None
        return reply.log_format if reply.member == member else None

    def add_learner(self, address: str, timeout: float) -> str:
        """Adds the replica at an RPC address as a learner and returns its member ID."""
        core = self._core
        deadline = core.clock.monotonic() + timeout
        member = self._fetch_member_id(address)
        self._commit_change(lambda members: members.with_learner(member), deadline)
        return member

    def promote(self, member: str, timeout: float) -> None:
        """Makes a learner a voter once it holds all entries that are committed at the time of the call."""
        self._promote(member, None, self._core.clock.monotonic() + timeout)

    def _promote(self, member: str, replaced: str | None, deadline: float) -> None:
        core = self._core
        with core.lock:
            self._wait_as_leader(lambda: True, deadline, "")
            member = core.membership.find(member)
            if member in core.membership.voters:
                return
            target_index = core.commit_index
            self._wait_as_leader(
                lambda: self._has_caught_up(member, target_index), deadline, f"{member} has not caught up"
            )
        self._commit_change(lambda members: members.with_voter(member, replaced), deadline)

    def remove(self, member: str, timeout: float) -> None:
        """Removes a member, given by ID or RPC address."""
        core = self._core
        with core.lock:
            self._wait_as_leader(lambda: True, core.clock.monotonic() + timeout, "")
            member = core.membership.find(member)
        self._commit_change(lambda members: members.without(member), core.clock.monotonic() + timeout)

    def replace(self, old: str, new: str, timeout: float) -> str:
        """Adds the replica at RPC address `new`, makes it a voter, then removes member `old`; returns the new ID.

        Once `new` is a voter, the membership says that `old` leaves, and each later leader removes it. Until then, a
        repeated call continues an interrupted replacement.
        """
        core = self._core
        deadline = core.clock.monotonic() + timeout
        member = self._fetch_member_id(new)
        with core.lock:
            self._wait_as_leader(lambda: True, deadline, "")
            removed = self._member_to_remove(core.membership, old, member)
        if removed == member:
            raise MembershipError(f"{member} cannot replace itself; its disk is not lost")
        if removed is None and member not in core.membership.members:
            raise MembershipError(f"{old!r} is no member; the members are {', '.join(core.membership.members)}")
        self._commit_change(lambda members: members.with_learner(member), deadline)
        self._promote(member, removed, deadline)
        if removed is not None:
            self._commit_change(lambda members: members.without(removed), deadline)
        return member

    @staticmethod
    def _member_to_remove(members: Membership, old: str, new_member: str) -> str | None:
        """Returns the member other than `new_member` that `old` (ID or RPC address) names, or None if there is none.

        None may mean that an earlier attempt has removed it. `new_member` is returned if `old` is its ID.
        """
        named = [member for member in members.members if old in (member, address_of(member))]
        others = [member for member in named if member != new_member]
        if len(others) > 1:
            raise MembershipError(f"{old!r} names several members: {', '.join(others)}; give the whole ID")
        if others:
            return others[0]
        return new_member if old == new_member else None

    def _fetch_member_id(self, address: str) -> str:
        """Asks the replica at `address` for its member ID.

        Raises `MembershipError` when it does not answer, has a fault or belongs to another group.
        """
        core = self._core
        with core.lock:
            self._wait_as_leader(lambda: True, core.clock.monotonic(), "")
            group = core.membership.group
            own_id = core.own_id
        if address == address_of(own_id):
            return own_id
        try:
            reply = self._transport.call(address, "hello", own_id, core.timing.call_timeout_s)
        except (OSError, messages.Refused) as error:
            raise MembershipError(f"the replica at {address} does not answer: {error}") from None
        if reply.fault:
            raise MembershipError(f"the replica at {address} does not take part: {reply.fault}")
        if reply.group not in ("", group):
            raise MembershipError(f"the replica at {address} belongs to group {reply.group}, not {group}")
        return reply.member

    def _has_caught_up(self, member: str, target_index: int) -> bool:
        core = self._core
        progress = core.progress_by_peer.get(member)
        if progress is None:
            raise MembershipError(f"{member} is no member any more")
        is_responsive = core.clock.monotonic() - progress.acked_sent_at < _MAX_LEARNER_ACK_AGE_S
        return is_responsive and progress.match_index >= target_index

    def _commit_change(self, transform: Callable[[Membership], Membership], deadline: float) -> None:
        """Commits the membership that `transform` returns for the current one; does nothing when they are equal."""
        core = self._core
        future: Future = Future()
        with core.lock:
            self._wait_as_leader(
                lambda: core.is_ready_leader and core.log.membership_index <= core.commit_index,
                deadline,
                "an earlier membership change is not committed",
            )
            before = core.membership
            after = transform(before)
            if after == before:
                return
            _log.info(
                "membership change: voters %s, learners %s",
                ", ".join(after.voters),
                ", ".join(after.learners) or "none",
            )
            entry = core.append_as_leader(MEMBERSHIP, after.encode())
            core.proposal_by_index[entry.index] = (entry.term, future)
            core.advance_commit()
        try:
            future.result(max(0.0, deadline - core.clock.monotonic()))
        except TimeoutError:
            raise LogUnavailableError("the membership change is not committed in time", appended=True) from None

    def _wait_as_leader(self, condition: Callable[[], bool], deadline: float, problem: str) -> None:
        """Waits until `condition` holds; `core.lock` must be held.

        With a condition that always holds, only checks that this replica leads. Raises `NotLeaderError` when it does
        not lead, and `LogUnavailableError` when it stops, or with `problem` at the deadline.
        """
        core = self._core
        while True:
            if core.fault or core.stopping:
                raise LogUnavailableError(core.fault or "the replica stops", appended=False)
            if core.role is not Role.LEADER:
                raise core.not_leader_error()
            if condition():
                return
            remaining = deadline - core.clock.monotonic()
            if remaining <= 0:
                raise LogUnavailableError(problem, appended=False)
            core.state_changed.wait(remaining)
