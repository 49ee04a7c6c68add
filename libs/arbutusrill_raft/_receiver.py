"""The Raft service: what a replica answers to the others."""

from __future__ import annotations

from typing import Any

from arbutusrill_base import PartLog
from arbutusrill_wire import messages

from ._core import Core, InvariantError, Role
from ._entries import Entry
from ._frames import CorruptError, Snapshot

__all__ = ["Receiver"]

_log = PartLog("raft")


class Receiver:
    """Handler of the IDL's `Raft` service for one replica."""

    def __init__(self, core: Core):
        self._core = core
        self._incoming: tuple[str, int, int] | None = None  # leader, last index and term of a snapshot
        self._received = 0

    def hello(self, caller: str) -> Any:
        """Says which member this is and to which group it belongs."""
        core = self._core
        with core.lock:
            members = core.membership
            return messages.HelloReply(core.me, members.group if members else "", core.fault)

    # ---- votes

    def vote(self, request: Any) -> Any:
        """Grants or refuses a vote; a vote is durable before it is granted."""
        core = self._core
        with core.lock:
            core.require_target(request.target)
            if self._hears_leader():
                return messages.VoteReply(core.term, False)
            if request.pre_vote:
                return messages.VoteReply(core.term, request.term > core.term and self._is_current(request))
            if request.term > core.term:
                core.step_down(request.term, f"{request.candidate} stands in term {request.term}")
            granted = (
                request.term == core.term and core.storage.vote in ("", request.candidate) and self._is_current(request)
            )
            if granted:
                core.save_meta(core.term, request.candidate)
                core.postpone_election()
            return messages.VoteReply(core.term, granted)

    def _hears_leader(self) -> bool:
        """Says whether a leader may still hold its lease on this replica's promise not to vote."""
        core = self._core
        if core.role is Role.LEADER:
            return True
        return core.clock.monotonic() < core.no_vote_until

    def _is_current(self, request: Any) -> bool:
        log = self._core.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    # ---- log

    def append(self, request: Any) -> Any:
        """Adds entries; answers once they are durable, or how far the log is durable after a bounded wait."""
        core = self._core
        with core.lock:
            core.require_target(request.target)
            if request.term < core.term:
                return messages.AppendReply(core.term, False, 0)
            try:
                core.accept_leader(request.term, request.leader)
                if request.previous_index < core.log.base_index:
                    # What is committed equals the leader's log, so the leader can go on from there.
                    return messages.AppendReply(core.term, True, min(core.commit_index, core.durable_index))
                hint = self._mismatch(request)
                if hint is not None:
                    return messages.AppendReply(core.term, False, hint)
                rows = request.entries or []
                core.append_received([Entry(row.index, row.term, row.kind, row.data or b"") for row in rows])
            except InvariantError as error:
                raise messages.Refused("faulty", str(error)) from None
            matched = request.previous_index + len(rows)
            self._wait_durable(matched)
            core.require_sound()
            if core.term != request.term:
                return messages.AppendReply(core.term, False, 0)
            core.heard()
            durable = min(matched, core.durable_index)
            core.commit(max(core.commit_index, min(request.commit_index, durable)))
            return messages.AppendReply(core.term, True, durable)

    def _mismatch(self, request: Any) -> int | None:
        """Returns None when the log holds the previous entry, else the index after which to try next."""
        core = self._core
        previous = request.previous_index
        term = core.log.term_at(previous)
        if term is None:
            return core.log.last_index
        if term == request.previous_term:
            core.check(
                core.log.chain_at(previous) == request.previous_chain,
                f"equal applied prefix: the running hash at entry {previous} differs from that of {request.leader}",
            )
            return None
        while previous > core.commit_index and core.log.term_at(previous) == term:
            previous -= 1
        return previous

    def _wait_durable(self, index: int) -> None:
        core = self._core
        deadline = core.clock.monotonic() + core.timing.durable_wait_s
        while core.durable_index < index and not (core.fault or core.stopping):
            remaining = deadline - core.clock.monotonic()
            if remaining <= 0:
                return
            core.changed.wait(remaining)

    # ---- snapshots

    def install_snapshot(self, request: Any) -> Any:
        """Takes one part of the leader's snapshot; the last part replaces the log that it covers."""
        core = self._core
        with core.snapshots:
            with core.lock:
                core.require_target(request.target)
                if request.term < core.term:
                    return messages.SnapshotReply(core.term, 0)
                try:
                    core.accept_leader(request.term, request.leader)
                except InvariantError as error:
                    raise messages.Refused("faulty", str(error)) from None
                if request.last_index <= core.commit_index:
                    return messages.SnapshotReply(core.term, request.offset + len(request.data))
                if not self._expects(request):
                    return messages.SnapshotReply(core.term, self._received)
            try:
                self._keep(request)
            except OSError as error:
                core.fail(f"disk: {error}")
                raise messages.Refused("faulty", core.fault) from None
            with core.lock:
                if core.term == request.term:
                    core.heard()
                return messages.SnapshotReply(core.term, self._received)

    def _expects(self, request: Any) -> bool:
        key = (request.leader, request.last_index, request.last_term)
        if request.offset == 0:
            self._incoming, self._received = key, 0
        elif key != self._incoming:
            self._received = 0
        return request.offset == self._received

    def _keep(self, request: Any) -> None:
        core = self._core
        core.storage.receive(request.data, first=request.offset == 0)
        self._received += len(request.data)
        if not request.done:
            return
        with core.files:
            try:
                snapshot = core.storage.accept()
            except CorruptError as error:
                _log.warning("snapshot from %s refused: %s", request.leader, error)
                self._received = 0
                return
            with core.lock:
                self._install(snapshot)

    def _install(self, snapshot: Snapshot) -> None:
        core = self._core
        if snapshot.index <= core.commit_index:
            return
        if core.log.term_at(snapshot.index) == snapshot.term:
            core.check(
                core.log.chain_at(snapshot.index) == snapshot.chain,
                f"equal applied prefix: the running hash of the snapshot at entry {snapshot.index} differs",
            )
        else:
            core.storage.forget_log()
            core.pending.clear()
            core.log.reset(snapshot.index, snapshot.term, snapshot.chain, snapshot.membership)
            core.durable_index = snapshot.index
        core.durable_index = max(core.durable_index, snapshot.index)
        _log.info("%s takes over a snapshot at entry %d", core.me, snapshot.index)
        core.snapshot_index = snapshot.index
        core.to_restore = snapshot
        core.commit(snapshot.index)
        core.on_membership()
