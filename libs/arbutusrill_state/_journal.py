"""Replicated journal of once-only calls, which are deduplicated by idempotency key."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_wire import decode, encode, messages

from ._config import ConfigState

__all__ = ["MAX_IDEMPOTENCY_KEY_CHARACTERS", "Journal", "JournalEntry"]

MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
_MAX_WORKSPACE_CHARACTERS = 128
_MAX_DIGEST_BYTES = 64
_MAX_HEADERS_CHARACTERS = 8192
_MAX_ENTRIES = 500_000  # about 1 kB each, which keeps a replica below half a gigabyte
_MAX_BEGIN_IDS = 16  # per entry; a resent begin arrives within seconds of the first
_MAX_ENTRIES_PER_SWEEP = 5_000  # bounds the time for which one sweep delays the log
_FINISH_STATUSES = ("done", "not_run", "ran", "unknown")


@dataclass(slots=True)
class JournalEntry:
    """State of one idempotency key of a workspace.

    `status` is running, not_run, done, ran or unknown; `at_ms` is the time of the last change, on the journal's clock.
    `begin_ids` holds the request IDs of the latest begins that started attempts, oldest first. `outstanding` counts
    the attempts that were allowed to send and are not known to have ended. The fields are those of
    `messages.JournalRecord` after the workspace and the key, in the same order.
    """

    digest: str
    attempt: int = 0
    status: str = "not_run"
    vm: str = ""
    incarnation: int = 0
    at_ms: int = 0
    http_status: int = 0
    headers_json: str = ""
    body: bytes = b""
    begin_ids: list[str] = field(default_factory=list)
    outstanding: int = 0


class Journal:
    """Decides, in log order, which attempt of a once-only call may be sent to a backend server.

    At most one attempt of a key may be outstanding. Another attempt is allowed only after one that ended as
    ``not_run``. `clock_ms` is the journal's own clock, which advances by the time that leaders measure on their
    monotonic clocks, so that a step of a wall clock cannot end the retention of an answer. Time without a leader is not
    counted, which keeps answers longer.
    """

    def __init__(self, config: ConfigState) -> None:
        self._config = config
        self.clock_ms = 0
        # Ordered by `at_ms`, so that a sweep visits only entries that it changes.
        self.entries_by_key: OrderedDict[tuple[str, str], JournalEntry] = OrderedDict()

    def apply(self, kind: str, change: Any, command: Any) -> Any:
        """Applies one journal command and returns its `Outcome`."""
        if kind == "journal_begin":
            return self._begin(change, command.request_id)
        if kind == "journal_finish":
            return self._finish(change)
        self._sweep(change.elapsed_ms)  # journal_sweep
        return messages.Outcome(True, 0)

    def _begin(self, change: Any, begin_id: str) -> Any:
        problem = self._begin_error(change, begin_id)
        if problem is not None:
            return messages.Outcome(False, 0, *problem)
        key = (change.workspace, change.key)
        digest = change.digest.hex()
        entry = self.entries_by_key.get(key)
        if entry is None:
            if len(self.entries_by_key) >= _MAX_ENTRIES:
                return messages.Outcome(False, 0, "journal_full", "the journal of once-only calls is full")
            entry = self.entries_by_key[key] = JournalEntry(digest)
        return messages.Outcome(True, 0, detail=encode(self._answer_begin(key, entry, digest, change, begin_id)))

    def _begin_error(self, change: Any, begin_id: str) -> tuple[str, str] | None:
        if not 0 < len(change.key or "") <= MAX_IDEMPOTENCY_KEY_CHARACTERS:
            return "bad_value", f"an idempotency key has 1 to {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
        if (
            len(change.workspace or "") > _MAX_WORKSPACE_CHARACTERS
            or not 0 < len(change.digest or b"") <= _MAX_DIGEST_BYTES
            or not begin_id
        ):
            return "bad_value", "a begin needs a workspace, a digest and a request id of the usual lengths"
        return None

    def _answer_begin(self, key: tuple[str, str], entry: JournalEntry, digest: str, change: Any, begin_id: str) -> Any:
        if entry.digest != digest:
            return messages.BeginAnswer("mismatch")
        if begin_id in entry.begin_ids:
            # A resent begin: only the current attempt may send, and only while it has not ended.
            if begin_id == entry.begin_ids[-1] and entry.status in ("running", "unknown") and entry.outstanding:
                return messages.BeginAnswer("started", entry.attempt)
            # This begin's attempt has ended; the begin must not start another one.
            if entry.status == "not_run":
                return messages.BeginAnswer("running", entry.attempt)
        elif entry.status == "not_run":
            self._start_attempt(key, entry, change, begin_id)
            return messages.BeginAnswer("started", entry.attempt)
        if entry.status == "running" and not self._is_vm_live(entry):
            entry.status = "unknown"
            self._record_change_time(key, entry)
        return messages.BeginAnswer(entry.status, entry.attempt, entry.http_status, entry.headers_json, entry.body)

    def _start_attempt(self, key: tuple[str, str], entry: JournalEntry, change: Any, begin_id: str) -> None:
        assert entry.outstanding == 0, f"attempt {entry.attempt} of {key} may still be sent"
        entry.outstanding += 1
        entry.attempt += 1
        entry.status = "running"
        entry.vm, entry.incarnation = change.vm, change.incarnation
        entry.begin_ids = [*entry.begin_ids[1 - _MAX_BEGIN_IDS :], begin_id]
        self._record_change_time(key, entry)

    def _is_vm_live(self, entry: JournalEntry) -> bool:
        vm = self._config.vms_by_id.get(entry.vm)
        return vm is not None and vm.state != "dead" and vm.incarnation == entry.incarnation

    def _record_change_time(self, key: tuple[str, str], entry: JournalEntry) -> None:
        entry.at_ms = self.clock_ms
        self.entries_by_key.move_to_end(key)

    def _finish(self, change: Any) -> Any:
        key = (change.workspace, change.key)
        entry = self.entries_by_key.get(key)
        if change.status not in _FINISH_STATUSES:
            return messages.Outcome(False, 0, "bad_value", f"unknown status {change.status!r}")
        if entry is None or not self._is_current(entry, change):
            return messages.Outcome(False, 0, "conflict", "the attempt is not the one under way")
        status = change.status
        body = change.body or b""
        headers = change.headers_json or ""
        if status == "done" and (
            len(body) > self._config.value("journal.answer_bytes") or len(headers) > _MAX_HEADERS_CHARACTERS
        ):
            status = "ran"
        if entry.status not in ("running", "unknown"):
            if entry.status == status:
                return messages.Outcome(True, 0)
            return messages.Outcome(False, 0, "conflict", f"the attempt has ended as {entry.status}")
        entry.status = status
        if status != "unknown":
            entry.outstanding = 0
        if status == "done":
            entry.http_status, entry.headers_json, entry.body = change.http_status, headers, body
        self._record_change_time(key, entry)
        return messages.Outcome(True, 0)

    def _is_current(self, entry: JournalEntry, change: Any) -> bool:
        if change.begin_id:
            return bool(entry.begin_ids) and entry.begin_ids[-1] == change.begin_id
        return entry.attempt == change.attempt

    def _sweep(self, elapsed_ms: int) -> None:
        self.clock_ms += max(0, elapsed_ms)
        cutoff_ms = self.clock_ms - self._config.value("journal.retention_s") * 1000
        expired = []
        for key, entry in self.entries_by_key.items():
            if entry.at_ms >= cutoff_ms or len(expired) >= _MAX_ENTRIES_PER_SWEEP:
                break
            expired.append((key, entry))
        for key, entry in expired:
            if entry.status == "running":
                # Its VM never reported an end; callers get this status for one more retention time.
                entry.status = "unknown"
                self._record_change_time(key, entry)
            else:
                del self.entries_by_key[key]

    def snapshot(self) -> bytes:
        """Returns all entries and the clock as a serialised `JournalSnapshot`."""
        records = [
            messages.JournalRecord(*key, *(getattr(entry, name) for name in JournalEntry.__slots__))
            for key, entry in self.entries_by_key.items()
        ]
        return encode(messages.JournalSnapshot(records, self.clock_ms))

    def restore(self, data: bytes) -> None:
        """Replaces all entries and the clock by those of a snapshot."""
        snapshot = decode(messages.JournalSnapshot, data)
        self.clock_ms = snapshot.clock_ms
        self.entries_by_key = OrderedDict(
            (
                (record.workspace, record.key),
                JournalEntry(*(getattr(record, name) for name in JournalEntry.__slots__)),
            )
            for record in snapshot.records
        )
