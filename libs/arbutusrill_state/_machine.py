"""State machine of the control group: the configuration, its document form and the journal of once-only calls."""

from __future__ import annotations

import itertools
from collections import deque
from typing import Any

from arbutusrill_wire import decode, encode, messages

from ._commands import change_of
from ._config import ConfigState
from ._departures import Departures
from ._document import Document
from ._journal import Journal
from ._roster import Roster

__all__ = ["SharedState"]

MAX_COMMANDS = 200  # per answer to a follower; each holds at most some kilobytes
_MAX_MESSAGE = 300  # characters
_KEPT_COMMANDS = 2000  # one day of changes at the target; followers further behind get a snapshot


class SharedState:
    """What the replicated log is applied to on each control replica.

    `apply`, `snapshot` and `restore` are called by one thread at a time, in log order.
    """

    def __init__(self) -> None:
        self.config = ConfigState()
        self.journal = Journal(self.config)
        self.document = Document()
        self.departures = Departures()
        self.roster = Roster()
        self._recent: deque[Any] = deque(maxlen=_KEPT_COMMANDS)

    def apply(self, data: bytes) -> bytes:
        """Applies one serialised `Command` and returns its serialised `Outcome`."""
        try:
            made = decode(messages.Command, data)
            kind, change = change_of(made)
        except Exception as error:  # thriftpy2 raises many kinds; every replica sees the same bytes
            problem = f"not a command that this version knows: {error}"
            return encode(messages.Outcome(False, self.config.revision, "bad_command", problem[:_MAX_MESSAGE]))
        if kind.startswith("journal_"):
            return encode(self.journal.apply(kind, change, made))
        if kind == "put_document":
            held = self.document.put(change.version, change.body)
            return encode(messages.Outcome(held == change.version, held))
        if kind in ("put_departure", "put_backends"):
            if kind == "put_departure":
                self.departures.put(change)
            else:
                self.roster.put(change.backends or [])
            return encode(messages.Outcome(True, self.config.revision))
        with self.config.lock:
            before = self.config.revision
            outcome = self.config.apply(made)
            assert self.config.revision in (before, before + 1), "a change moved the revision by more than one"
            if self.config.revision > before:
                self._recent.append(messages.RevisionedCommand(self.config.revision, made))
        return encode(outcome)

    def commands_after(self, revision: int, limit: int = MAX_COMMANDS) -> tuple[list[Any] | None, int]:
        """Returns at most `limit` changes after `revision` and the current revision.

        The changes are None when they are no longer kept, and when `revision` is in the future of this replica.
        """
        with self.config.lock:
            current = self.config.revision
            missing = current - revision
            if missing == 0:
                return [], current
            if missing < 0 or missing > len(self._recent):
                return None, current
            start = len(self._recent) - missing
            return list(itertools.islice(self._recent, start, start + limit)), current

    def snapshot(self) -> bytes:
        """Returns the whole state as bytes."""
        state = self.config.snapshot()
        state.document = messages.PutDocument(*self.document.held())
        state.departures = self.departures.records()
        state.backends = self.roster.records()
        config = encode(state)
        return len(config).to_bytes(8, "big") + config + self.journal.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the state by what `snapshot` returned."""
        size = int.from_bytes(data[:8], "big")
        state = decode(messages.ConfigSnapshot, data[8 : 8 + size])
        self.config.restore(state)
        if state.document is not None:
            self.document.put(state.document.version, state.document.body or b"")
        for record in state.departures or []:
            self.departures.put(record)
        self.roster.put(state.backends or [])
        self.journal.restore(data[8 + size :])
        self._recent.clear()
