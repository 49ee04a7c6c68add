"""Journal of once-only calls: which attempt may send, and the recorded answers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_wire import decode, encode, messages

from ._config import ConfigState

__all__ = ["MAX_IDEMPOTENCY_KEY", "Journal", "JournalEntry"]

MAX_IDEMPOTENCY_KEY = 255  # characters
_MAX_WORKSPACE = 128
_MAX_DIGEST = 64  # bytes
_MAX_HEADERS = 8192  # characters of the recorded headers
_MAX_ENTRIES = 500_000  # at about 1 kB each, a replica stays under half a gigabyte
_KEPT_BEGINS = 16  # request ids of begins per entry; a resend arrives within seconds of the first
_SWEPT_AT_ONCE = 5_000  # bounds the time for which one sweep holds up the log
_FINISHED = ("done", "not_run", "ran", "unknown")


@dataclass(slots=True)
class JournalEntry:
    """State of one idempotency key of a workspace.

    `status` is running, not_run, done, ran or unknown; `at_ms` is on the journal's clock. `outstanding` counts
    the attempts that were allowed to send and are not known to have ended.
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

    At most one attempt of a key may be outstanding. Only an attempt that ended as ``not_run`` allows another one.
    Time is a clock of its own, which advances by what leaders measured on their monotonic clocks: a step of a wall
    clock must not end the retention of an answer. Time without a leader is not counted, so answers are kept longer.
    """

    def __init__(self, config: ConfigState) -> None:
        self._config = config
        self.clock_ms = 0
        # Ordered by `at_ms`, so that a sweep looks only at entries that it changes.
        self.entries_by_key: OrderedDict[tuple[str, str], JournalEntry] = OrderedDict()

    def apply(self, kind: str, change: Any, made: Any) -> Any:
        """Applies one journal command and returns its `Outcome`."""
        if kind == "journal_begin":
            return self._begin(change, made.request_id)
        if kind == "journal_finish":
            return self._finish(change)
        self._sweep(change.elapsed_ms)
        return messages.Outcome(True, 0)

    # ---- begin

    def _begin(self, change: Any, begin_id: str) -> Any:
        problem = self._problem(change, begin_id)
        if problem is not None:
            return messages.Outcome(False, 0, *problem)
        key = (change.workspace, change.key)
        digest = change.digest.hex()
        entry = self.entries_by_key.get(key)
        if entry is None:
            if len(self.entries_by_key) >= _MAX_ENTRIES:
                return messages.Outcome(False, 0, "journal_full", "the journal of once-only calls is full")
            entry = self.entries_by_key[key] = JournalEntry(digest)
        return messages.Outcome(True, 0, detail=encode(self._answer(key, entry, digest, change, begin_id)))

    def _problem(self, change: Any, begin_id: str) -> tuple[str, str] | None:
        if not 0 < len(change.key or "") <= MAX_IDEMPOTENCY_KEY:
            return "bad_value", f"an idempotency key has 1 to {MAX_IDEMPOTENCY_KEY} characters"
        if (
            len(change.workspace or "") > _MAX_WORKSPACE
            or not 0 < len(change.digest or b"") <= _MAX_DIGEST
            or not begin_id
        ):
            return "bad_value", "a begin needs a workspace, a digest and a request id of the usual lengths"
        return None

    def _answer(self, key: tuple[str, str], entry: JournalEntry, digest: str, change: Any, begin_id: str) -> Any:
        if entry.digest != digest:
            return messages.BeginAnswer("mismatch")
        if begin_id in entry.begin_ids:
            # A resent begin: the same attempt may send, no other one; an attempt that has ended may not.
            if begin_id == entry.begin_ids[-1] and entry.status in ("running", "unknown") and entry.outstanding:
                return messages.BeginAnswer("started", entry.attempt)
            if entry.status == "not_run":
                return messages.BeginAnswer("running", entry.attempt)
        elif entry.status == "not_run":
            self._start(key, entry, change, begin_id)
            return messages.BeginAnswer("started", entry.attempt)
        if entry.status == "running" and not self._is_live(entry):
            entry.status = "unknown"
            self._touch(key, entry)
        return messages.BeginAnswer(entry.status, entry.attempt, entry.http_status, entry.headers_json, entry.body)

    def _start(self, key: tuple[str, str], entry: JournalEntry, change: Any, begin_id: str) -> None:
        assert entry.outstanding == 0, f"attempt {entry.attempt} of {key} may still be sent"
        entry.outstanding += 1
        entry.attempt += 1
        entry.status = "running"
        entry.vm, entry.incarnation = change.vm, change.incarnation
        entry.begin_ids = [*entry.begin_ids[1 - _KEPT_BEGINS :], begin_id]
        self._touch(key, entry)

    def _is_live(self, entry: JournalEntry) -> bool:
        vm = self._config.vms_by_id.get(entry.vm)
        return vm is not None and vm.state != "dead" and vm.incarnation == entry.incarnation

    def _touch(self, key: tuple[str, str], entry: JournalEntry) -> None:
        entry.at_ms = self.clock_ms
        self.entries_by_key.move_to_end(key)

    # ---- finish

    def _finish(self, change: Any) -> Any:
        key = (change.workspace, change.key)
        entry = self.entries_by_key.get(key)
        if change.status not in _FINISHED:
            return messages.Outcome(False, 0, "bad_value", f"unknown status {change.status!r}")
        if entry is None or not self._is_current(entry, change):
            return messages.Outcome(False, 0, "conflict", "the attempt is not the one under way")
        status = change.status
        body = change.body or b""
        headers = change.headers_json or ""
        if status == "done" and (len(body) > self._config.value("journal.answer_bytes") or len(headers) > _MAX_HEADERS):
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
        self._touch(key, entry)
        return messages.Outcome(True, 0)

    def _is_current(self, entry: JournalEntry, change: Any) -> bool:
        if change.begin_id:
            return bool(entry.begin_ids) and entry.begin_ids[-1] == change.begin_id
        return entry.attempt == change.attempt

    # ---- retention

    def _sweep(self, elapsed_ms: int) -> None:
        self.clock_ms += max(0, elapsed_ms)
        before = self.clock_ms - self._config.value("journal.retention_s") * 1000
        old = []
        for key, entry in self.entries_by_key.items():
            if entry.at_ms >= before or len(old) >= _SWEPT_AT_ONCE:
                break
            old.append((key, entry))
        for key, entry in old:
            if entry.status == "running":
                # Its VM never reported an end; the caller is told so for one more retention time.
                entry.status = "unknown"
                self._touch(key, entry)
            else:
                del self.entries_by_key[key]

    # ---- snapshots

    def snapshot(self) -> bytes:
        """Returns all entries as bytes."""
        records = [
            messages.JournalRecord(*key, *(getattr(entry, name) for name in JournalEntry.__slots__))
            for key, entry in self.entries_by_key.items()
        ]
        return encode(messages.JournalSnapshot(records, self.clock_ms))

    def restore(self, data: bytes) -> None:
        """Replaces all entries by what `snapshot` returned."""
        snapshot = decode(messages.JournalSnapshot, data)
        self.clock_ms = snapshot.clock_ms
        self.entries_by_key = OrderedDict(
            (
                (record.workspace, record.key),
                JournalEntry(*(getattr(record, name) for name in JournalEntry.__slots__)),
            )
            for record in snapshot.records
        )
