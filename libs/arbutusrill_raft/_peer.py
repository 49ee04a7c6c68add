"""One thread for each peer: votes, appends, heartbeats and snapshots."""

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
class _Job:
    """One call to the peer and what to do with its reply, under the lock."""

    name: str
    request: Any
    sent_at: float
    done: Callable[[Any, Any, float], None]


@dataclass(slots=True)
class _Transfer:
    """A snapshot file on its way to the peer."""

    name: str
    index: int
    size: int
    offset: int = 0


class Peer:
    """Talks to one peer, one call at a time, so that a slow peer holds back nobody else."""

    def __init__(self, core: Core, elections: Elections, transport: Transport, member: str):
        self.member = member
        self.stopped = False
        self._core = core
        self._elections = elections
        self._transport = transport
        self._asked_round = 0
        self._sent_at = float("-inf")
        self._not_before = float("-inf")
        self._term = 0
        self._transfer: _Transfer | None = None

    def run(self) -> None:
        """Runs until the peer is no longer a member or the replica stops."""
        core = self._core
        while True:
            with core.lock:
                try:
                    job = self._next()
                except OSError as error:
                    core.fail(f"disk: {error}")
                    return
            if job is None:
                return
            try:
                reply = self._transport.call(address_of(self.member), job.name, job.request, core.timing.call_s)
            except (OSError, messages.Refused):
                reply = None
            with core.lock:
                if reply is None:
                    self._failed(job)
                else:
                    self._take(job, reply)

    def _failed(self, job: _Job) -> None:
        # Counted from the sending: a call to a silent connection takes most of an election timeout itself.
        self._not_before = job.sent_at + self._core.timing.heartbeat_s
        if job.name == "vote":
            self._asked_round = 0  # asks again in this round

    def _take(self, job: _Job, reply: Any) -> None:
        core = self._core
        try:
            if reply.term > core.term:
                core.step_down(reply.term, f"{self.member} is in term {reply.term}")
            elif not core.fault:
                job.done(job.request, reply, job.sent_at)
        except messages.Refused:
            pass  # the disk has failed, the replica no longer takes part

    def _next(self) -> _Job | None:
        """Waits for the next thing to send; returns None at the end."""
        core = self._core
        while not (core.stopping or core.fault or self.stopped):
            now = core.clock.monotonic()
            wait = None
            if core.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
                wait = self._not_before - now
                if self._asked_round == core.round or self.member not in core.membership.voters:
                    wait = None
                elif wait <= 0:
                    return self._vote(now)
            elif core.role is Role.LEADER:
                wait = self._wait_to_append(now)
                if wait <= 0:
                    self._sent_at = now
                    return self._append(now)
            core.work.wait(wait)
        return None

    def _wait_to_append(self, now: float) -> float:
        core = self._core
        if self._term != core.term:
            self._term = core.term
            self._transfer = None
            return 0
        if now < self._not_before:
            return self._not_before - now
        progress = core.progress_by_peer[self.member]
        if progress.next_index <= core.log.last_index:
            return 0
        return self._sent_at + core.timing.heartbeat_s - now

    # ---- votes

    def _vote(self, now: float) -> _Job:
        core = self._core
        self._asked_round = core.round
        pre_vote = core.role is Role.PRE_CANDIDATE
        request = messages.VoteRequest(
            core.term + 1 if pre_vote else core.term,
            core.me,
            core.log.last_index,
            core.log.last_term,
            pre_vote,
            target=self.member,
        )
        asked = core.round
        return _Job("vote", request, now, lambda _, reply, __: self._voted(asked, reply))

    def _voted(self, asked: int, reply: Any) -> None:
        if asked == self._core.round and reply.granted:
            self._elections.count(self.member)

    # ---- log

    def _append(self, now: float) -> _Job:
        core = self._core
        progress = core.progress_by_peer[self.member]
        previous = progress.next_index - 1
        if previous < core.log.base_index:
            return self._snapshot(now)
        self._transfer = None
        entries = core.log.slice(progress.next_index, core.log.last_index, core.bounds.append_bytes)
        request = messages.AppendRequest(
            core.term,
            core.me,
            previous,
            core.log.term_at(previous),
            [messages.LogEntry(entry.index, entry.term, entry.kind, entry.data) for entry in entries],
            core.commit_index,
            target=self.member,
            previous_chain=core.log.chain_at(previous),
        )
        return _Job("append", request, now, self._appended)

    def _appended(self, request: Any, reply: Any, sent_at: float) -> None:
        progress = self._acknowledged(request, sent_at)
        if progress is None:
            return
        if reply.success:
            progress.match_index = max(progress.match_index, reply.match_index)
            sent = request.previous_index + len(request.entries)
            progress.next_index = max(progress.next_index, sent + 1, progress.match_index + 1)
            self._core.advance_commit()
        else:
            hinted = min(reply.match_index + 1, request.previous_index)
            progress.next_index = max(progress.match_index + 1, hinted)

    def _acknowledged(self, request: Any, sent_at: float) -> Progress | None:
        """Notes an answer in the term of the request; returns None when that leadership has ended."""
        core = self._core
        progress = core.progress_by_peer.get(self.member)
        if core.role is not Role.LEADER or core.term != request.term or progress is None:
            return None
        progress.acked_sent_at = max(progress.acked_sent_at, sent_at)
        core.changed.notify_all()
        return progress

    # ---- snapshots

    def _snapshot(self, now: float) -> _Job:
        core = self._core
        if self._transfer is None:
            name = core.storage.latest_snapshot()
            index = int(name.removeprefix("snapshot-"))
            self._transfer = _Transfer(name, index, core.storage.snapshot_size(name))
            _log.info("%s gets %s, %d bytes", self.member, name, self._transfer.size)
        transfer = self._transfer
        try:
            data = core.storage.read_snapshot(transfer.name, transfer.offset, core.bounds.chunk_bytes)
        except FileNotFoundError:  # a newer snapshot has replaced it
            self._transfer = None
            return self._snapshot(now)
        request = messages.SnapshotRequest(
            core.term,
            core.me,
            transfer.index,
            core.log.term_at(transfer.index),
            transfer.offset,
            data,
            transfer.offset + len(data) >= transfer.size,
            target=self.member,
        )
        return _Job("install_snapshot", request, now, self._sent_part)

    def _sent_part(self, request: Any, reply: Any, sent_at: float) -> None:
        progress = self._acknowledged(request, sent_at)
        if progress is None or self._transfer is None:
            return
        self._transfer.offset = reply.next_offset
        if request.done and reply.next_offset >= self._transfer.size:
            progress.match_index = max(progress.match_index, self._transfer.index)
            progress.next_index = max(progress.next_index, self._transfer.index + 1)
            self._transfer = None
            self._core.advance_commit()
