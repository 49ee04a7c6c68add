"""Handler of the Raft messages that a replica receives."""

from __future__ import annotations

from typing import Any

from arbutusrill_base import PartLog
from arbutusrill_wire import messages

from ._core import Core, InvariantError, Role
from ._entries import LOG_FORMAT, Entry
from ._frames import CorruptError, Snapshot

__all__ = ["Receiver"]

_log = PartLog("raft")


class Receiver:
    """Implements the IDL's `Raft` service for one replica; its methods raise `messages.Refused`."""

    def __init__(self, core: Core, is_initial_voter: bool):
        self._core = core
        self._is_initial_voter = is_initial_voter
        self._incoming_snapshot: tuple[str, int, int] | None = None  # leader, last index and last term
        self._received_bytes = 0

    def hello(self, caller: str) -> Any:
        """Returns this replica's member ID, its group and fault, empty without one, and whether it may form one."""
        core = self._core
        with core.lock:
            members = core.membership
            group = members.group if members else ""
            return messages.HelloReply(core.own_id, group, core.fault, LOG_FORMAT, not self._is_initial_voter)

    def vote(self, request: Any) -> Any:
        """Grants or refuses a vote or pre-vote; a vote is made durable before the reply."""
        core = self._core
        with core.lock:
            core.require_target(request.target)
            if self._leader_lease_may_hold():
                return messages.VoteReply(core.term, False)
            if request.pre_vote:
                return messages.VoteReply(core.term, request.term > core.term and self._is_log_up_to_date(request))
            if request.term > core.term:
                core.step_down(request.term, f"{request.candidate} stands in term {request.term}")
            granted = (
                request.term == core.term
                and core.storage.vote in ("", request.candidate)
                and self._is_log_up_to_date(request)
            )
            if granted:
                core.save_term_and_vote(core.term, request.candidate)
                core.reset_election_timer()
            return messages.VoteReply(core.term, granted)

    def _leader_lease_may_hold(self) -> bool:
        """Returns whether a leader may hold a lease that depends on this replica granting no vote."""
        core = self._core
        if core.role is Role.LEADER:
            return True
        return core.clock.monotonic() < core.no_vote_until

    def _is_log_up_to_date(self, request: Any) -> bool:
        """Returns whether the candidate's log is at least as up to date as this replica's, by last term and index."""
        log = self._core.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    def append(self, request: Any) -> Any:
        """Appends entries; replies once they are durable, or after `max_durable_wait_s` with the last durable index."""
        core = self._core
        with core.lock:
            core.require_target(request.target)
            if request.term < core.term:
                return messages.AppendReply(core.term, False, 0)
            try:
                core.accept_leader(request.term, request.leader)
                if request.previous_index < core.log.base_index:
                    # Committed entries equal those of the leader, which can continue after them.
                    return messages.AppendReply(core.term, True, min(core.commit_index, core.durable_index))
                retry_after_index = self._retry_after_index(request)
                if retry_after_index is not None:
                    return messages.AppendReply(core.term, False, retry_after_index)
                received_entries = request.entries or []
                if received_entries and core.is_disk_backlog_full():
                    raise messages.Refused("disk", core.disk_error)
                core.append_received(
                    [Entry(entry.index, entry.term, entry.kind, entry.data or b"") for entry in received_entries]
                )
            except InvariantError as error:
                raise messages.Refused("faulty", str(error)) from None
            matched = request.previous_index + len(received_entries)
            self._wait_durable(matched)
            core.require_running()
            if core.term != request.term:
                return messages.AppendReply(core.term, False, 0)
            core.record_leader_contact()
            durable = min(matched, core.durable_index)
            core.commit_up_to(max(core.commit_index, min(request.commit_index, durable)))
            return messages.AppendReply(core.term, True, durable)

    def _retry_after_index(self, request: Any) -> int | None:
        """Returns None when the log has the previous entry, else the index after which the leader should retry.

        Raises `InvariantError` when both logs have that entry in the same term, but their running hashes differ.
        """
        core = self._core
        previous = request.previous_index
        term = core.log.term_at(previous)
        if term is None:
            return core.log.last_index
        if term == request.previous_term:
            core.check_invariant(
                core.log.chain_at(previous) == request.previous_chain,
                f"equal applied prefix: the running hash at entry {previous} differs from that of {request.leader}",
            )
            return None
        while previous > core.commit_index and core.log.term_at(previous) == term:
            previous -= 1
        return previous

    def _wait_durable(self, index: int) -> None:
        core = self._core
        deadline = core.clock.monotonic() + core.timing.max_durable_wait_s
        while core.durable_index < index and not (core.fault or core.stopping):
            remaining = deadline - core.clock.monotonic()
            if remaining <= 0:
                return
            core.state_changed.wait(remaining)

    def install_snapshot(self, request: Any) -> Any:
        """Stores one chunk of the leader's snapshot; after the last one, installs the snapshot."""
        core = self._core
        with core.snapshot_lock:
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
                if not self._is_next_chunk(request):
                    return messages.SnapshotReply(core.term, self._received_bytes)
            try:
                self._store_chunk(request)
            except OSError as error:
                self._incoming_snapshot, self._received_bytes = None, 0  # the leader sends it from the start
                core.record_disk_error("storing a received snapshot", error)
                raise messages.Refused("disk", core.disk_error) from None
            with core.lock:
                core.record_disk_success()
                if core.term == request.term:
                    core.record_leader_contact()
                return messages.SnapshotReply(core.term, self._received_bytes)

    def _is_next_chunk(self, request: Any) -> bool:
        """Returns whether the chunk continues the transfer; a chunk at offset 0 starts a new one."""
        snapshot_id = (request.leader, request.last_index, request.last_term)
        if request.offset == 0:
            self._incoming_snapshot, self._received_bytes = snapshot_id, 0
        elif snapshot_id != self._incoming_snapshot:
            self._received_bytes = 0
        return request.offset == self._received_bytes

    def _store_chunk(self, request: Any) -> None:
        core = self._core
        core.storage.append_snapshot_chunk(request.data, first=request.offset == 0)
        self._received_bytes += len(request.data)
        if not request.done:
            return
        with core.log_files_lock:
            try:
                snapshot = core.storage.install_received_snapshot()
            except CorruptError as error:
                _log.warning("received snapshot from %s discarded: %s", request.leader, error)
                self._received_bytes = 0
                return
            with core.lock:
                self._install_snapshot(snapshot)

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Hands the snapshot to the applier; replaces the whole log unless it contains the snapshot's last entry."""
        core = self._core
        if snapshot.index <= core.commit_index:
            return
        is_log_replaced = core.log.term_at(snapshot.index) != snapshot.term
        if not is_log_replaced:
            core.check_invariant(
                core.log.chain_at(snapshot.index) == snapshot.chain,
                f"equal applied prefix: the running hash of the snapshot at entry {snapshot.index} differs",
            )
        else:
            core.unwritten_entries.clear()
            core.log.reset(snapshot.index, snapshot.term, snapshot.chain, snapshot.membership)
            core.durable_index = snapshot.index
        core.durable_index = max(core.durable_index, snapshot.index)
        _log.info("%s installs a snapshot up to entry %d", core.own_id, snapshot.index)
        core.snapshot_index = snapshot.index
        core.snapshot_to_restore = snapshot
        core.commit_up_to(snapshot.index)
        core.on_membership_change()
        if is_log_replaced:
            # Last, because a disk error may interrupt it; no entry is written before all segments are removed.
            core.storage.remove_all_segments()
