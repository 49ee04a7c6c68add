"""A replica of the control group's log."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass

from arbutusrill_base import BootClock, Clock, PartLog

from ._changes import Changes
from ._core import Core, Progress, Role
from ._elections import Elections
from ._entries import COMMAND
from ._files import DiskFolder, Folder
from ._log import LogStatus, LogUnavailableError, ReplicatedLog, StateMachine
from ._loops import Applier, Writer
from ._membership import address_of
from ._peer import Peer
from ._receiver import Receiver
from ._storage import Storage, StorageError
from ._timing import Bounds, Timing
from ._transport import RpcTransport, Transport

__all__ = ["MemberStatus", "Replica"]

_JOIN_S = 10.0
_log = PartLog("raft")


def _opened(path: str) -> Folder:
    try:
        return DiskFolder(path)
    except OSError as error:
        raise StorageError(str(error)) from None


@dataclass(slots=True)
class MemberStatus:
    """A member as its leader sees it; `silent_s` is the time in seconds since it last answered, -1 for never."""

    id: str
    address: str
    kind: str  # voter or learner
    leads: bool
    match_index: int
    silent_s: float


class Replica(ReplicatedLog):
    """One replica: serves while its context is entered.

    `address` is its RPC address, where `handler` must be served as the IDL's `Raft` service. `initial` lists the
    RPC addresses of the group's first voters; it matters only until the group has formed. Raises `StorageError`
    when the files in `folder` cannot be used. `alone_since` is a time on `clock`, a `BootClock` unless given, at which
    no other process used `folder` any more, such as the start of this process; the first election waits for it.
    """

    def __init__(
        self,
        address: str,
        initial: list[str],
        folder: Folder | str,
        machine: StateMachine,
        transport: Transport | None = None,
        clock: Clock | None = None,
        timing: Timing | None = None,
        bounds: Bounds | None = None,
        alone_since: float | None = None,
    ):
        self._transport = transport or RpcTransport()
        folder = _opened(folder) if isinstance(folder, str) else folder
        try:
            self._storage = Storage(folder, address)
            clock = clock or BootClock()
            self._core = Core(
                self._storage,
                address,
                machine,
                clock,
                timing or Timing(),
                bounds or Bounds(),
                clock.monotonic() if alone_since is None else alone_since,
            )
        except BaseException:
            folder.close()
            raise
        self._elections = Elections(self._core, self._transport, initial, address)
        self._changes = Changes(self._core, self._transport)
        self._peer_by_member: dict[str, Peer] = {}
        self._threads: list[threading.Thread] = []
        self._core.on_membership = self._sync_peers
        self.handler = Receiver(self._core)

    def __enter__(self) -> Replica:
        with self._core.lock:
            self._start("elections", self._elections.run)
            self._start("writer", Writer(self._core).run)
            self._start("applier", Applier(self._core).run)
            self._sync_peers()
        return self

    def __exit__(self, *_: object) -> None:
        core = self._core
        with core.lock:
            core.step_aside()
        for thread in self._threads:
            thread.join(_JOIN_S)
        self._transport.close()
        with core.snapshots, core.files:
            self._storage.close()

    def _start(self, name: str, run: Callable[[], None]) -> None:
        def guarded() -> None:
            try:
                run()
            except Exception as error:
                _log.exception("thread %s failed", name)
                self._core.fail(f"thread {name}: {error!r}")

        thread = threading.Thread(target=guarded, name=f"raft-{name}", daemon=True)
        self._threads = [old for old in self._threads if old.is_alive()] + [thread]
        thread.start()

    def _sync_peers(self) -> None:
        """Starts a thread for each new member and ends those of former ones; called with the lock held."""
        core = self._core
        members = core.membership.members if core.membership else ()
        for member in [known for known in self._peer_by_member if known not in members]:
            self._peer_by_member.pop(member).stopped = True
            del core.progress_by_peer[member]
        for member in members:
            if member != core.me and member not in self._peer_by_member:
                core.progress_by_peer[member] = Progress(core.log.last_index + 1)
                peer = self._peer_by_member[member] = Peer(core, self._elections, self._transport, member)
                self._start(f"peer {member}", peer.run)
        core.work.notify_all()

    # ---- log

    def propose(self, data: bytes, timeout: float) -> bytes:
        """Commits and applies `data` and returns the state machine's answer.

        Raises `NotLeaderError`, `LogUnavailableError`, `ValueError` for an entry over the size bound, or the
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
            entry = core.append_own(COMMAND, data)
            core.proposal_by_index[entry.index] = (entry.term, future)
        try:
            return future.result(timeout)
        except TimeoutError:
            with core.lock:
                core.proposal_by_index.pop(entry.index, None)
            raise LogUnavailableError("no quorum has stored the change in time", appended=True) from None

    def confirm(self, timeout: float) -> None:
        """Returns once this replica is known to have led at some moment after the call began.

        A lease from a quorum round in the last `Timing.lease_s` seconds proves it at once.
        """
        core = self._core
        started = core.clock.monotonic()
        with core.lock:
            self._require_leader()
            term = core.term
            self._wait(lambda: self._proven_since(started, term), started + timeout)
            index = core.commit_index
            self._wait(lambda: core.applied_index >= index, started + timeout)

    def _proven_since(self, started: float, term: int) -> bool:
        core = self._core
        if core.term != term or core.role is not Role.LEADER:
            self._require_leader()
            raise core.not_leader()
        sent_at = core.quorum_sent_at()
        return core.serves and (sent_at >= started or core.clock.monotonic() < sent_at + core.timing.lease_s)

    def _wait(self, condition: Callable[[], bool], deadline: float) -> None:
        core = self._core
        while not condition():
            remaining = deadline - core.clock.monotonic()
            if core.fault or core.stopping or remaining <= 0:
                raise LogUnavailableError(core.fault or "no quorum has answered in time", appended=False)
            core.changed.wait(remaining)

    def _require_leader(self) -> None:
        core = self._core
        if core.fault or core.stopping:
            raise LogUnavailableError(core.fault or "the replica stops", appended=False)
        if core.role is not Role.LEADER:
            raise core.not_leader()

    def is_leader(self) -> bool:
        """Says whether this replica leads and has applied all that was committed before its term."""
        with self._core.lock:
            return self._core.serves

    def status(self) -> LogStatus:
        """Returns this replica's view of the group; `leader` is an RPC address, members are member IDs."""
        core = self._core
        with core.lock:
            members = core.membership
            return LogStatus(
                core.me,
                core.role.value,
                core.term,
                address_of(core.leader),
                core.commit_index,
                core.applied_index,
                list(members.voters) if members else [],
                list(members.learners) if members else [],
                core.fault,
            )

    # ---- members

    def members(self) -> list[MemberStatus]:
        """Returns the members with the leader's knowledge of them; raises `NotLeaderError` elsewhere."""
        core = self._core
        with core.lock:
            self._require_leader()
            now = core.clock.monotonic()
            rows = []
            for member in core.membership.members:
                progress = core.progress_by_peer.get(member)
                match = core.durable_index if progress is None else progress.match_index
                silent = 0.0 if progress is None else now - progress.acked_sent_at
                kind = "voter" if member in core.membership.voters else "learner"
                silent = -1.0 if silent == float("inf") else silent
                rows.append(MemberStatus(member, address_of(member), kind, member == core.me, match, silent))
            return rows

    def add_learner(self, address: str, timeout: float) -> str:
        """Adds the replica at an RPC address as a learner and returns its member ID.

        Like `promote`, `remove` and `replace`: repeating it is harmless; raises `MembershipError`, or as `propose`.
        """
        return self._changes.add_learner(address, timeout)

    def promote(self, member: str, timeout: float) -> None:
        """Makes a learner a voter once it has caught up."""
        self._changes.promote(member, timeout)

    def remove(self, member: str, timeout: float) -> None:
        """Removes a member, given by ID or RPC address; a leader that removes itself stops leading."""
        self._changes.remove(member, timeout)

    def replace(self, old: str, new: str, timeout: float) -> str:
        """Replaces member `old` (ID or RPC address) by the replica at RPC address `new`; returns the new ID.

        The new replica is first a learner, then a voter, and only then the old one is removed, so that the
        group never has fewer live voters than before.
        """
        return self._changes.replace(old, new, timeout)
