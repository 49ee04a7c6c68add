"""Threads that write log entries to the disk and apply committed ones."""

from __future__ import annotations

from arbutusrill_base import PartLog

from ._core import Core, Role
from ._entries import COMMAND, MEMBERSHIP, Entry
from ._frames import Snapshot

__all__ = ["Applier", "Writer"]

_MAX_APPLY_BATCH_BYTES = 256 * 1024  # applied before the loop checks for a stop, a received snapshot or a due snapshot
_SNAPSHOT_RETRY_S = 1.0  # after a disk error; a snapshot costs far more than a write to the log
_log = PartLog("raft")


class Writer:
    """Writes appended entries to the disk; those that arrive during a write share the next sync (group commit).

    Entries that the disk has refused are written again until it accepts them.
    """

    def __init__(self, core: Core):
        self._core = core

    def run(self) -> None:
        """Runs until the replica stops."""
        core = self._core
        self._sync_loaded()
        while True:
            with core.lock:
                while not (core.unwritten_entries or core.stopping or core.fault):
                    core.writer_wakeup.wait()
                if core.stopping or core.fault:
                    return
            with core.log_files_lock:
                batch = self._next_batch()
                if not batch:
                    continue
                is_written = self._write(batch)
            with core.lock:
                if is_written:
                    core.record_durable(batch[-1])
                    core.record_disk_success()
                else:
                    self._wait_for_disk()

    def _sync_loaded(self) -> None:
        """Syncs the log that was loaded, which counts as durable from then on; repeats it after disk errors."""
        core = self._core
        while core.loaded_entry is not None and not (core.stopping or core.fault):
            try:
                with core.log_files_lock:
                    core.storage.sync_loaded()
            except OSError as error:
                core.record_disk_error("syncing the loaded log", error)
                with core.lock:
                    self._wait_for_disk()
                continue
            with core.lock:
                core.record_durable(core.loaded_entry)
                core.loaded_entry = None
                core.record_disk_success()

    def _write(self, batch: list[Entry]) -> bool:
        """Writes `batch`; after a disk error, queues it again and returns False. `log_files_lock` must be held."""
        core = self._core
        try:
            core.storage.append(batch)
        except OSError as error:
            with core.lock:
                core.unwritten_entries[:0] = batch
                core.record_disk_error("writing the log", error)
            return False
        return True

    def _wait_for_disk(self) -> None:
        """Waits until the disk is to be tried again. `core.lock` must be held."""
        core = self._core
        retry_at = core.disk_retry_at
        while not (core.stopping or core.fault) and (remaining := retry_at - core.clock.monotonic()) > 0:
            core.writer_wakeup.wait(remaining)

    def _next_batch(self) -> list[Entry]:
        """Removes and returns unwritten entries, at most `Bounds.append_bytes` but at least one if there is any."""
        core = self._core
        with core.lock:
            memory_bytes = count = 0
            for entry in core.unwritten_entries:
                memory_bytes += entry.memory_bytes
                if count and memory_bytes > core.bounds.append_bytes:
                    break
                count += 1
            batch, core.unwritten_entries = core.unwritten_entries[:count], core.unwritten_entries[count:]
            return batch


class Applier:
    """Applies committed entries to the state machine, completes their proposals and takes snapshots."""

    def __init__(self, core: Core):
        self._core = core
        self._applied_bytes = 0
        self._applied_count = 0
        self._snapshot_not_before = float("-inf")  # after a disk error

    def run(self) -> None:
        """Runs until the replica stops."""
        core = self._core
        while True:
            with core.lock:
                while not (self._has_work() or core.stopping or core.fault):
                    core.applier_wakeup.wait()
                if core.stopping or core.fault:
                    return
                snapshot, core.snapshot_to_restore = core.snapshot_to_restore, None
                entries = []
                if snapshot is None:
                    entries = core.log.slice(core.applied_index + 1, core.commit_index, _MAX_APPLY_BATCH_BYTES)
            try:
                if snapshot is not None:
                    self._restore(snapshot)
                for entry in entries:
                    self._apply(entry)
                self._snapshot_if_due()
            except Exception as error:
                _log.exception("restoring, applying or snapshotting the state machine failed")
                core.fail(f"state machine: {error!r}")

    def _has_work(self) -> bool:
        core = self._core
        return core.snapshot_to_restore is not None or core.commit_index > core.applied_index

    def _restore(self, snapshot: Snapshot) -> None:
        core = self._core
        core.state_machine.restore(snapshot.data)
        self._applied_bytes = self._applied_count = 0
        with core.lock:
            core.applied_index = snapshot.index
            core.state_changed.notify_all()

    def _apply(self, entry: Entry) -> None:
        core = self._core
        result: bytes | Exception = b""
        if entry.kind == COMMAND:
            try:
                result = core.state_machine.apply(entry.data)
            except Exception as error:  # `apply` is deterministic, so every replica skips this entry
                _log.exception("the state machine raised an exception for entry %d; the entry is skipped", entry.index)
                result = error
        with core.lock:
            core.applied_index = entry.index
            self._applied_bytes += entry.memory_bytes
            self._applied_count += 1
            if entry.kind == MEMBERSHIP and core.role is Role.LEADER and not core.is_voter:
                # Before `step_down`, which fails all pending proposals.
                core.complete_proposal(entry, result)
                core.step_down(core.term, "it was removed from the group")
            core.complete_proposal(entry, result)
            core.state_changed.notify_all()

    def _snapshot_if_due(self) -> None:
        """Saves a snapshot and drops the log that it covers.

        Does so once `Bounds.compact_bytes` or `Bounds.compact_entries` have been applied since the latest one. A
        snapshot that the disk refuses is taken again with a later entry; the log keeps what it would have covered.
        """
        core = self._core
        if self._applied_bytes < core.bounds.compact_bytes and self._applied_count < core.bounds.compact_entries:
            return
        if core.clock.monotonic() < self._snapshot_not_before:
            return
        try:
            self._save_snapshot(core.state_machine.snapshot())
        except OSError as error:
            core.record_disk_error("saving a snapshot", error)
            self._snapshot_not_before = core.clock.monotonic() + _SNAPSHOT_RETRY_S
        else:
            core.record_disk_success()

    def _save_snapshot(self, data: bytes) -> None:
        core = self._core
        with core.snapshot_lock:
            with core.lock:
                index = core.applied_index
                if core.snapshot_to_restore is not None or index <= core.snapshot_index:
                    return
                log = core.log
                snapshot = Snapshot(index, log.term_at(index), log.chain_at(index), log.membership_at(index), data)
            core.storage.save_snapshot(snapshot)
            with core.log_files_lock:
                core.storage.remove_segments_before(index + 1)
            with core.lock:
                core.snapshot_index = index
                core.log.compact(index, core.bounds.keep_bytes)
        self._applied_bytes = self._applied_count = 0
