"""Calls to one peer: votes, appends, heartbeats and snapshots."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import PartLog
from arbutusrill_wire import messages

from ._core import Core, Progress, Role
from ._elections import Elections
from ._membership import address_of
from ._transport import Transport

__all__ = ["Peer"]

_log = PartLog("raft")


@dataclass(slots=True)
class _Call:
    """A call to the peer.

    `name` is the RPC method; `on_reply` is called with request, reply and send time while `core.lock` is held.
    """

    name: str
    request: Any
    sent_at: float
    on_reply: Callable[[Any, Any, float], None]


@dataclass(slots=True)
class _SnapshotTransfer:
    """A snapshot file that is being sent to the peer.

    `index` is the last entry that it covers; `size` and `offset` are in bytes.
    """

    name: str
    index: int
    size: int
    offset: int = 0


class Peer:
    """Sends messages to one peer, one at a time, in a thread of its own, so that a slow peer delays no other."""

    def __init__(self, core: Core, elections: Elections, transport: Transport, member: str):
        self.member = member
        self.stopped = False
        self._core = core
        self._elections = elections
        self._transport = transport
        self._requested_round = 0  # vote round of the latest request, 0 to send one again
        self._append_sent_at = float("-inf")
        self._retry_not_before = float("-inf")
        self._append_term = 0  # term of the latest append, to which `_snapshot_transfer` belongs
        self._snapshot_transfer: _SnapshotTransfer | None = None

    def run(self) -> None:
        """Runs until the peer is no longer a member or the replica stops."""
        core = self._core
        while True:
            with core.lock:
                try:
                    call = self._next_call()
                except OSError as error:
                    core.record_disk_error("reading a snapshot", error)
                    self._snapshot_transfer = None
                    self._retry_not_before = core.clock.monotonic() + core.timing.heartbeat_s
                    continue
            if call is None:
                return
            try:
                reply = self._transport.call(
                    address_of(self.member), call.name, call.request, core.timing.call_timeout_s
                )
            except (OSError, messages.Refused):
                reply = None
            with core.lock:
                if reply is None:
                    self._handle_failure(call)
                else:
                    self._handle_reply(call, reply)

    def _handle_failure(self, call: _Call) -> None:
        # The retry delay counts from the send time: a call that times out takes most of an election timeout already.
        self._retry_not_before = call.sent_at + self._core.timing.heartbeat_s
        if call.name == "vote":
            self._requested_round = 0  # repeats the request in the same round

    def _handle_reply(self, call: _Call, reply: Any) -> None:
        core = self._core
        try:
            if reply.term > core.term:
                core.step_down(reply.term, f"{self.member} is in term {reply.term}")
            elif not core.fault:
                call.on_reply(call.request, reply, call.sent_at)
        except messages.Refused:
            pass  # the disk has refused the new term or vote

    def _next_call(self) -> _Call | None:
        """Waits until a call is due and returns it; None when the peer is removed or the replica stops."""
        core = self._core
        while not (core.stopping or core.fault or self.stopped):
            now = core.clock.monotonic()
            wait = None
            if core.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
                wait = self._retry_not_before - now
                if self._requested_round == core.vote_round or self.member not in core.membership.voters:
                    wait = None
                elif wait <= 0:
                    return self._vote_call(now)
            elif core.role is Role.LEADER:
                wait = self._append_delay_s(now)
                if wait <= 0:
                    self._append_sent_at = now
                    return self._append_call(now)
            core.peers_wakeup.wait(wait)
        return None

    def _append_delay_s(self, now: float) -> float:
        """Returns the seconds until the next append or heartbeat, 0 or less if it is due.

        Discards the snapshot transfer in a new term.
        """
        core = self._core
        if self._append_term != core.term:
            self._append_term = core.term
            self._snapshot_transfer = None
            return 0
        if now < self._retry_not_before:
            return self._retry_not_before - now
        progress = core.progress_by_peer[self.member]
        if progress.next_index <= core.log.last_index:
            return 0
        return self._append_sent_at + core.timing.heartbeat_s - now

    def _vote_call(self, now: float) -> _Call:
        core = self._core
        self._requested_round = core.vote_round
        pre_vote = core.role is Role.PRE_CANDIDATE
        request = messages.VoteRequest(
            core.term + 1 if pre_vote else core.term,
            core.own_id,
            core.log.last_index,
            core.log.last_term,
            pre_vote,
            target=self.member,
        )
        requested_round = core.vote_round
        return _Call("vote", request, now, lambda _, reply, __: self._handle_vote_reply(requested_round, reply))

    def _handle_vote_reply(self, requested_round: int, reply: Any) -> None:
        if requested_round == self._core.vote_round and reply.granted:
            self._elections.count_vote(self.member)

    def _append_call(self, now: float) -> _Call:
        core = self._core
        progress = core.progress_by_peer[self.member]
        previous = progress.next_index - 1
        if previous < core.log.base_index:
            return self._snapshot_call(now)
        self._snapshot_transfer = None
        entries = core.log.slice(progress.next_index, core.log.last_index, core.bounds.append_bytes)
        request = messages.AppendRequest(
            core.term,
            core.own_id,
            previous,
            core.log.term_at(previous),
            [messages.LogEntry(entry.index, entry.term, entry.kind, entry.data) for entry in entries],
            core.commit_index,
            target=self.member,
            previous_chain=core.log.chain_at(previous),
        )
        return _Call("append", request, now, self._handle_append_reply)

    def _handle_append_reply(self, request: Any, reply: Any, sent_at: float) -> None:
        progress = self._record_ack(request, sent_at)
        if progress is None:
            return
        if reply.success:
            progress.match_index = max(progress.match_index, reply.match_index)
            sent = request.previous_index + len(request.entries)
            progress.next_index = max(progress.next_index, sent + 1, progress.match_index + 1)
            self._core.advance_commit()
        else:
            retry_index = min(reply.match_index + 1, request.previous_index)
            progress.next_index = max(progress.match_index + 1, retry_index)

    def _record_ack(self, request: Any, sent_at: float) -> Progress | None:
        """Records that the peer has acknowledged `request` and returns its progress.

        Returns None if this replica no longer leads the term of the request or the peer is no longer a member.
        """
        core = self._core
        progress = core.progress_by_peer.get(self.member)
        if core.role is not Role.LEADER or core.term != request.term or progress is None:
            return None
        progress.acked_sent_at = max(progress.acked_sent_at, sent_at)
        core.state_changed.notify_all()
        return progress

    def _snapshot_call(self, now: float) -> _Call:
        core = self._core
        try:
            if self._snapshot_transfer is None:
                name = core.storage.latest_snapshot()
                index = int(name.removeprefix("snapshot-"))
                self._snapshot_transfer = _SnapshotTransfer(name, index, core.storage.snapshot_size(name))
                _log.info("snapshot transfer to %s: %s, %d bytes", self.member, name, self._snapshot_transfer.size)
            transfer = self._snapshot_transfer
            data = core.storage.read_snapshot(transfer.name, transfer.offset, core.bounds.chunk_bytes)
        except FileNotFoundError:  # replaced by a newer snapshot
            self._snapshot_transfer = None
            return self._snapshot_call(now)
        request = messages.SnapshotRequest(
            core.term,
            core.own_id,
            transfer.index,
            core.log.term_at(transfer.index),
            transfer.offset,
            data,
            transfer.offset + len(data) >= transfer.size,
            target=self.member,
        )
        return _Call("install_snapshot", request, now, self._handle_snapshot_reply)

    def _handle_snapshot_reply(self, request: Any, reply: Any, sent_at: float) -> None:
        progress = self._record_ack(request, sent_at)
        if progress is None or self._snapshot_transfer is None:
            return
        self._snapshot_transfer.offset = reply.next_offset
        if request.done and reply.next_offset >= self._snapshot_transfer.size:
            progress.match_index = max(progress.match_index, self._snapshot_transfer.index)
            progress.next_index = max(progress.next_index, self._snapshot_transfer.index + 1)
            self._snapshot_transfer = None
            self._core.advance_commit()
