"""The threads that write the log and apply it."""

from __future__ import annotations

from arbutusrill_base import PartLog

from ._core import Core, Role
from ._entries import COMMAND, MEMBERS, Entry
from ._frames import Snapshot

__all__ = ["Applier", "Writer"]

_APPLY_BYTES = 256 * 1024  # applied before the loop looks for other work
_log = PartLog("raft")


class Writer:
    """Writes pending entries, all that have gathered during the previous write with one sync."""

    def __init__(self, core: Core):
        self._core = core

    def run(self) -> None:
        """Runs until the replica stops."""
        core = self._core
        while True:
            with core.lock:
                while not (core.pending or core.stopping or core.fault):
                    core.to_write.wait()
                if core.stopping or core.fault:
                    return
            with core.files:
                batch = self._take()
                if not batch:
                    continue
                try:
                    core.storage.append(batch)
                except OSError as error:
                    core.fail(f"disk: {error}")
                    return
            with core.lock:
                core.written(batch[-1])

    def _take(self) -> list[Entry]:
        core = self._core
        with core.lock:
            cost = count = 0
            for entry in core.pending:
                cost += entry.cost
                if count and cost > core.bounds.append_bytes:
                    break
                count += 1
            batch, core.pending = core.pending[:count], core.pending[count:]
            return batch


class Applier:
    """Applies committed entries to the state machine, answers proposers and takes snapshots."""

    def __init__(self, core: Core):
        self._core = core
        self._bytes = 0
        self._count = 0

    def run(self) -> None:
        """Runs until the replica stops."""
        core = self._core
        while True:
            with core.lock:
                while not (self._has_work() or core.stopping or core.fault):
                    core.to_apply.wait()
                if core.stopping or core.fault:
                    return
                snapshot, core.to_restore = core.to_restore, None
                entries = []
                if snapshot is None:
                    entries = core.log.slice(core.applied_index + 1, core.commit_index, _APPLY_BYTES)
            try:
                if snapshot is not None:
                    self._restore(snapshot)
                for entry in entries:
                    self._apply(entry)
                self._compact_if_due()
            except OSError as error:
                core.fail(f"disk: {error}")
            except Exception as error:
                _log.exception("the state machine failed")
                core.fail(f"state machine: {error!r}")

    def _has_work(self) -> bool:
        core = self._core
        return core.to_restore is not None or core.commit_index > core.applied_index

    def _restore(self, snapshot: Snapshot) -> None:
        core = self._core
        core.machine.restore(snapshot.data)
        self._bytes = self._count = 0
        with core.lock:
            core.applied_index = snapshot.index
            core.changed.notify_all()

    def _apply(self, entry: Entry) -> None:
        core = self._core
        answer: bytes | Exception = b""
        if entry.kind == COMMAND:
            try:
                answer = core.machine.apply(entry.data)
            except Exception as error:  # deterministic, so that every replica skips the same entry
                _log.exception("entry %d cannot be applied", entry.index)
                answer = error
        with core.lock:
            core.applied_index = entry.index
            self._bytes += entry.cost
            self._count += 1
            if entry.kind == MEMBERS and core.role is Role.LEADER and not core.is_voter:
                core.resolve(entry, answer)
                core.step_down(core.term, "it was removed from the group")
            core.resolve(entry, answer)
            core.changed.notify_all()

    def _compact_if_due(self) -> None:
        core = self._core
        if self._bytes < core.bounds.compact_bytes and self._count < core.bounds.compact_entries:
            return
        data = core.machine.snapshot()
        with core.snapshots:
            with core.lock:
                index = core.applied_index
                if core.to_restore is not None or index <= core.snapshot_index:
                    return
                log = core.log
                snapshot = Snapshot(index, log.term_at(index), log.chain_at(index), log.membership_at(index), data)
            core.storage.save_snapshot(snapshot)
            with core.files:
                core.storage.drop_before(index + 1)
            with core.lock:
                core.snapshot_index = index
                core.log.compact(index, core.bounds.keep_bytes)
        self._bytes = self._count = 0
