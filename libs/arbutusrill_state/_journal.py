"""Journal of once-only calls: which attempt may send, and the recorded answers."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from arbutusrill_wire import encode, messages

__all__ = ["Journal", "JournalEntry"]


@dataclass(slots=True)
class JournalEntry:
    """State of one idempotency key of a workspace."""

    digest: str
    attempt: int
    status: str  # running, not_run, done, ran or unknown
    vm: str
    incarnation: int
    at_ms: int
    http_status: int = 0
    headers_json: str = ""
    body: str = ""  # latin-1 text of the recorded bytes


class Journal:
    """Decides, in log order, which attempt of a once-only call may be sent to a back end.

    Exactly one attempt of a key may be outstanding. Only an attempt that ended as ``not_run`` allows
    another one.
    """

    def __init__(self) -> None:
        self.entries_by_key: dict[tuple[str, str], JournalEntry] = {}

    def apply(self, kind: str, change: Any, made: Any) -> Any:
        """Applies one journal command and returns its `Outcome`."""
        if kind == "journal_begin":
            return messages.Outcome(True, 0, detail=encode(self._begin(change, made)))
        if kind == "journal_finish":
            return self._finish(change, made)
        self._sweep(change.before_ms)
        return messages.Outcome(True, 0)

    def _begin(self, change: Any, made: Any) -> Any:
        key = (change.workspace, change.key)
        digest = change.digest.hex() if isinstance(change.digest, bytes) else change.digest
        entry = self.entries_by_key.get(key)
        if entry is None:
            self.entries_by_key[key] = JournalEntry(digest, 1, "running", change.vm, change.incarnation, made.at_ms)
            return messages.BeginAnswer("started", 1)
        if entry.digest != digest:
            return messages.BeginAnswer("mismatch")
        if entry.status == "not_run":
            entry.attempt += 1
            entry.status = "running"
            entry.vm, entry.incarnation, entry.at_ms = change.vm, change.incarnation, made.at_ms
            return messages.BeginAnswer("started", entry.attempt)
        return messages.BeginAnswer(
            entry.status, entry.attempt, entry.http_status, entry.headers_json, entry.body.encode("latin-1")
        )

    def _finish(self, change: Any, made: Any) -> Any:
        entry = self.entries_by_key.get((change.workspace, change.key))
        if entry is None or entry.attempt != change.attempt or entry.status != "running":
            return messages.Outcome(False, 0, "conflict", "the attempt is not the one under way")
        entry.status = change.status
        entry.at_ms = made.at_ms
        entry.http_status = change.http_status
        entry.headers_json = change.headers_json or ""
        entry.body = (change.body or b"").decode("latin-1")
        return messages.Outcome(True, 0)

    def _sweep(self, before_ms: int) -> None:
        old = [
            key for key, entry in self.entries_by_key.items() if entry.at_ms < before_ms and entry.status != "running"
        ]
        for key in old:
            del self.entries_by_key[key]

    def snapshot(self) -> bytes:
        """Returns all entries as bytes."""
        rows = [
            [*key, *(getattr(entry, field) for field in JournalEntry.__slots__)]
            for key, entry in self.entries_by_key.items()
        ]
        return json.dumps(rows).encode()

    def restore(self, data: bytes) -> None:
        """Replaces all entries by what `snapshot` returned."""
        self.entries_by_key = {(row[0], row[1]): JournalEntry(*row[2:]) for row in json.loads(data)}
