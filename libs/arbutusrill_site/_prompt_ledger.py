"""Suspected parts of prompts on the leader: reports of the entry VMs, the record in the log, and the replies."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

from arbutusrill_base import Clock
from arbutusrill_state import PromptTable
from arbutusrill_wire import messages

from ._prompt_suspects import PromptSuspects

__all__ = ["PromptLedger"]

_UNSUPPORTED = -1  # revision in the polls of an entry VM that does not know bars


class PromptLedger:
    """Shares one `PromptSuspects` among the calls of a control VM.

    `table` is part of the replicated state; `commit` commits a `PutPromptSuspects` message and returns whether that
    succeeded. `changed` is notified when the bars change.
    """

    def __init__(self, clock: Clock, changed: threading.Condition, table: PromptTable, commit: Callable[[Any], bool]):
        self._clock = clock
        self._changed = changed
        self._table = table
        self._commit = commit
        self._lock = threading.Lock()
        self._save_lock = threading.Lock()
        self._suspects = PromptSuspects()
        self._saved_revision = 0
        self.bars_revision = 0

    def is_behind(self, bars_revision: int) -> bool:
        """Returns whether an entry VM with this revision lacks a change of the bars."""
        return bars_revision not in (_UNSUPPORTED, self.bars_revision)

    @property
    def suspected_count(self) -> int:
        """Number of parts with a crash since their last success."""
        return len(self._suspects)

    @property
    def bar_count(self) -> int:
        """Number of sets of parts that are barred."""
        return len(self._suspects.bars())

    def begin_term(self) -> None:
        """Starts from what the last leader recorded."""
        with self._lock:
            self._suspects.restore(self._table.record(), self._clock.monotonic())
            self._saved_revision = self._suspects.save_revision
        self._notify()

    def report(self, report: Any) -> None:
        """Records the report of an entry VM; a new bar is in the log before this returns, unless that fails."""
        with self._lock:
            now = self._clock.monotonic()
            for crash in report.crashes or []:
                began, ended = now - crash.began_ago_ms / 1000, now - crash.ended_ago_ms / 1000
                self._suspects.record_answers(_times(crash.answered_parts, crash.answered_ago_ms, now), now)
                self._suspects.record_crash(
                    crash.backend,
                    crash.started_ms,
                    crash.parts or [],
                    began,
                    max(began, ended),
                    now,
                    crash.answered_parts or [],
                )
            ages_ms = report.sound_ago_ms or [0] * len(report.sound or [])
            self._suspects.record_answers(_times(report.sound, ages_ms, now), now)
        if self._notify() and not self.save():
            raise messages.Refused("unavailable", "the bar is not in the log yet", messages.Verdict.MAY_HAVE_RUN)

    def expire(self) -> None:
        """Ends the bars whose time has come and forgets old evidence."""
        with self._lock:
            self._suspects.expire(self._clock.monotonic())
        self._notify()

    def save(self) -> bool:
        """Commits the table if it has changed in a way that the next leader needs; returns whether it is in the log."""
        with self._save_lock:
            with self._lock:
                revision = self._suspects.save_revision
                record = self._suspects.record() if revision != self._saved_revision else None
            if record is not None and not self._commit(record):
                return False
            with self._lock:
                self._saved_revision = revision
            return True

    def add_to_reply(self, reply: Any, known_revision: int) -> None:
        """Adds the bars and suspected parts to a reply, unless the entry VM has them or does not support them."""
        with self._lock:
            suspects, now = self._suspects, self._clock.monotonic()
            reply.suspects_revision, reply.bars_revision = suspects.revision, suspects.bars_revision
            if known_revision in (_UNSUPPORTED, suspects.revision):
                return
            reply.barred = [
                messages.BarredParts(sorted(bar.parts), max(0, int((bar.until - now) * 1000)), bar.crashes)
                for bar in suspects.bars()
            ]
            reply.suspected = suspects.suspected()

    def _notify(self) -> bool:
        """Wakes the long polls if the bars have changed; returns whether they have."""
        with self._changed:
            if self.bars_revision == self._suspects.bars_revision:
                return False
            self.bars_revision = self._suspects.bars_revision
            self._changed.notify_all()
        return True


def _times(parts: list[str] | None, ages_ms: list[int] | None, now: float) -> dict[str, float]:
    """Returns the time of the latest answer of each part for which an age was sent."""
    return {part: now - age_ms / 1000 for part, age_ms in zip(parts or [], ages_ms or [], strict=False)}
