"""A replica of a replicated log: its threads, proposals, reads and membership operations."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass

from arbutusrill_base import BootClock, Clock, PartLog

from ._core import Core, Progress, Role
from ._elections import Elections
from ._entries import COMMAND
from ._files import DiskFolder, Folder
from ._log import LogStatus, LogUnavailableError, ReplicatedLog, StateMachine
from ._log_threads import Applier, Writer
from ._membership import address_of
from ._membership_changes import MembershipChanges
from ._peer import Peer
from ._receiver import Receiver
from ._storage import Storage, StorageError
from ._timing import Bounds, Timing
from ._transport import RpcTransport, Transport

__all__ = ["MemberStatus", "Replica"]

_THREAD_JOIN_TIMEOUT_S = 10.0
_log = PartLog("raft")


def _open_folder(path: str) -> Folder:
    try:
        return DiskFolder(path)
    except OSError as error:
        raise StorageError(str(error)) from None


@dataclass(slots=True)
class MemberStatus:
    """A member as its leader sees it.

    `silent_s` is the seconds since the leader sent the latest message that the member acknowledged, -1 for none.
    """

    id: str
    address: str
    kind: str  # voter or learner
    is_leader: bool
    match_index: int
    silent_s: float


class Replica(ReplicatedLog):
    """A replica of the log, used as a context manager: its threads run while the context is entered.

    `address` is its RPC address, where `handler` must be served as the IDL's `Raft` service. `initial_voters` lists
    the RPC addresses of the group's first voters; it is used only until the group has formed, and empty for a replica
    that is to join one. `exclusive_since` is a time on `clock` (a `BootClock` by default) since which no other process
    has used `folder`, such as the start of this process; by default it is the current time. The replica grants no vote
    and starts no election until a lease that an earlier process may have extended before that time has expired. Raises
    `StorageError` when the files in `folder` cannot be used.
    """

    def __init__(
        self,
        address: str,
        initial_voters: list[str],
        folder: Folder | str,
        machine: StateMachine,
        transport: Transport | None = None,
        clock: Clock | None = None,
        timing: Timing | None = None,
        bounds: Bounds | None = None,
        exclusive_since: float | None = None,
    ):
        self._transport = transport or RpcTransport()
        folder = _open_folder(folder) if isinstance(folder, str) else folder
        try:
            self._storage = Storage(folder, address, initial_voters)
            clock = clock or BootClock()
            self._core = Core(
                self._storage,
                address,
                machine,
                clock,
                timing or Timing(),
                bounds or Bounds(),
                clock.monotonic() if exclusive_since is None else exclusive_since,
            )
        except BaseException:
            folder.close()
            raise
        self._elections = Elections(self._core, self._transport, self._storage.initial_voters, address)
        self._membership_changes = MembershipChanges(self._core, self._transport)
        self._peer_by_member: dict[str, Peer] = {}
        self._threads: list[threading.Thread] = []
        self._core.on_membership_change = self._update_peers
        self.handler = Receiver(self._core, address in self._storage.initial_voters)

    def __enter__(self) -> Replica:
        with self._core.lock:
            self._start_thread("elections", self._elections.run)
            self._start_thread("writer", Writer(self._core).run)
            self._start_thread("applier", Applier(self._core).run)
            self._update_peers()
        return self

    def __exit__(self, *_: object) -> None:
        core = self._core
        with core.lock:
            core.begin_shutdown()
        for thread in self._threads:
            thread.join(_THREAD_JOIN_TIMEOUT_S)
        self._transport.close()
        with core.snapshot_lock, core.log_files_lock:
            self._storage.close()

    def _start_thread(self, name: str, run: Callable[[], None]) -> None:
        def run_and_fail_on_error() -> None:
            try:
                run()
            except Exception as error:
                _log.exception("thread %s failed", name)
                self._core.fail(f"thread {name}: {error!r}")

        thread = threading.Thread(target=run_and_fail_on_error, name=f"raft-{name}", daemon=True)
        self._threads = [old for old in self._threads if old.is_alive()] + [thread]
        thread.start()

    def _update_peers(self) -> None:
        """Starts a thread for each new member and stops those of removed ones; `core.lock` must be held."""
        core = self._core
        members = core.membership.members if core.membership else ()
        for member in [known for known in self._peer_by_member if known not in members]:
            self._peer_by_member.pop(member).stopped = True
            del core.progress_by_peer[member]
        for member in members:
            if member != core.own_id and member not in self._peer_by_member:
                core.progress_by_peer[member] = Progress(core.log.last_index + 1)
                peer = self._peer_by_member[member] = Peer(core, self._elections, self._transport, member)
                self._start_thread(f"peer {member}", peer.run)
        core.peers_wakeup.notify_all()

    def propose(self, data: bytes, timeout: float) -> bytes:
        """Commits and applies `data` and returns the state machine's result.

        Raises `NotLeaderError`, `LogUnavailableError`, `ValueError` for an entry over `Bounds.entry_bytes`, or the
        exception that the state machine raised for the entry. `timeout` is in seconds.
        """
        core = self._core
        future: Future = Future()
        with core.lock:
            self._require_leader()
            if len(data) > core.bounds.entry_bytes:
                raise ValueError(f"an entry of {len(data)} bytes exceeds the bound of {core.bounds.entry_bytes}")
            if core.uncommitted_bytes + len(data) > core.bounds.pending_bytes:
                raise LogUnavailableError("too many proposals wait for a quorum", appended=False)
            entry = core.append_as_leader(COMMAND, data)
            core.proposal_by_index[entry.index] = (entry.term, future)
        try:
            return future.result(timeout)
        except TimeoutError:
            with core.lock:
                core.proposal_by_index.pop(entry.index, None)
            raise LogUnavailableError("no quorum has stored the change in time", appended=True) from None

    def confirm(self, timeout: float) -> None:
        """Returns once this replica has proven that it led during the call and has applied all entries committed then.

        Needs no further messages while the leader holds a lease, which lasts for `Timing.lease_s` seconds after the
        send time of messages that a majority has acknowledged.
        """
        core = self._core
        started_at = core.clock.monotonic()
        with core.lock:
            self._require_leader()
            term = core.term
            self._wait_until(lambda: self._is_leadership_proven(started_at, term), started_at + timeout)
            index = core.commit_index
            self._wait_until(lambda: core.applied_index >= index, started_at + timeout)

    def _is_leadership_proven(self, since: float, term: int) -> bool:
        """Returns whether this replica has proven that it leads `term`.

        The proof is a valid lease, or a majority's acknowledgement of messages sent at `since` or later. Raises
        `NotLeaderError` when this replica does not lead that term.
        """
        core = self._core
        if core.term != term or core.role is not Role.LEADER:
            self._require_leader()
            # This replica leads again, but in a later term.
            raise core.not_leader_error()
        sent_at = core.quorum_acked_sent_at()
        return core.is_ready_leader and (sent_at >= since or core.clock.monotonic() < sent_at + core.timing.lease_s)

    def _wait_until(self, condition: Callable[[], bool], deadline: float) -> None:
        core = self._core
        while not condition():
            remaining = deadline - core.clock.monotonic()
            if core.fault or core.stopping or remaining <= 0:
                raise LogUnavailableError(core.fault or "no quorum has answered in time", appended=False)
            core.state_changed.wait(remaining)

    def _require_leader(self) -> None:
        core = self._core
        if core.fault or core.stopping:
            raise LogUnavailableError(core.fault or "the replica stops", appended=False)
        if core.role is not Role.LEADER:
            raise core.not_leader_error()

    def is_leader(self) -> bool:
        """Returns whether this replica leads and has applied all entries committed in earlier terms."""
        with self._core.lock:
            return self._core.is_ready_leader

    def leading_term(self) -> int | None:
        """Returns the term that this replica leads with all earlier entries applied, None if it does not lead."""
        with self._core.lock:
            return self._core.term if self._core.is_ready_leader else None

    def status(self) -> LogStatus:
        """Returns this replica's view of the group; `leader` is an RPC address, the others are member IDs."""
        core = self._core
        with core.lock:
            members = core.membership
            return LogStatus(
                core.own_id,
                core.role.value,
                core.term,
                address_of(core.leader),
                core.commit_index,
                core.applied_index,
                list(members.voters) if members else [],
                list(members.learners) if members else [],
                core.fault,
                core.disk_error,
            )

    def members(self) -> list[MemberStatus]:
        """Returns the members and their progress; raises `NotLeaderError` on a replica that does not lead."""
        core = self._core
        with core.lock:
            self._require_leader()
            now = core.clock.monotonic()
            statuses = []
            for member in core.membership.members:
                progress = core.progress_by_peer.get(member)
                match_index = core.durable_index if progress is None else progress.match_index
                silent_s = 0.0 if progress is None else now - progress.acked_sent_at
                kind = "voter" if member in core.membership.voters else "learner"
                silent_s = -1.0 if silent_s == float("inf") else silent_s
                statuses.append(
                    MemberStatus(member, address_of(member), kind, member == core.own_id, match_index, silent_s)
                )
            return statuses

    def log_format(self) -> int:
        """Returns the highest format of log entries that all members are known to read, 0 if one does not answer.

        Blocks for at most `Timing.call_timeout_s` in all for members that have not answered before.
        """
        return self._membership_changes.log_format()

    def is_format_refused(self, log_format: int) -> bool:
        """Returns whether a member is known to read only older formats of log entries than `log_format`.

        Members that do not answer are passed over, after `Timing.call_timeout_s` in all.
        """
        return self._membership_changes.is_format_refused(log_format)

    def add_learner(self, address: str, timeout: float) -> str:
        """Adds the replica at an RPC address as a learner and returns its member ID.

        Like `promote`, `remove` and `replace`, it is idempotent and raises `MembershipError`, `NotLeaderError` or
        `LogUnavailableError`. `timeout` is in seconds.
        """
        return self._membership_changes.add_learner(address, timeout)

    def promote(self, member: str, timeout: float) -> None:
        """Makes a learner, given by ID or RPC address, a voter once it has caught up."""
        self._membership_changes.promote(member, timeout)

    def remove(self, member: str, timeout: float) -> None:
        """Removes a member, given by ID or RPC address; a leader that removes itself steps down."""
        self._membership_changes.remove(member, timeout)

    def replace(self, old: str, new: str, timeout: float) -> str:
        """Replaces member `old` (ID or RPC address) by the replica at RPC address `new`; returns the new ID.

        The new replica is added as a learner and promoted to a voter before the old one is removed, so that the
        group never has fewer live voters than before.
        """
        return self._membership_changes.replace(old, new, timeout)
