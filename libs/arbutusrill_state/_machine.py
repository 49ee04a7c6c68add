"""State machine that the control group replicates: configuration, journal and backend server lists."""

from __future__ import annotations

import itertools
from collections import deque
from typing import Any

from arbutusrill_wire import decode, encode, messages

from ._checks import RejectedError, check_change
from ._commands import change_of
from ._config import ConfigState
from ._departures import Departures
from ._document import Document, DocumentPatch
from ._evacuations import EvacuationOrders
from ._journal import Journal
from ._prompt_table import PromptTable
from ._roster import BackendRoster

__all__ = ["SharedState"]

MAX_COMMANDS = 200  # per reply to a follower; each takes at most a few kilobytes
_MAX_MESSAGE_CHARACTERS = 300
_MAX_RECENT_COMMANDS = 2000  # one day at the target rate of changes; followers that lag further get a snapshot


class SharedState:
    """State machine to which each control replica applies the replicated log.

    `apply`, `snapshot` and `restore` are called by one thread at a time, in log order.
    """

    def __init__(self) -> None:
        self.config = ConfigState()
        self.journal = Journal(self.config)
        self.document = Document()
        self.departures = Departures()
        self.evacuations = EvacuationOrders()
        self.roster = BackendRoster()
        self.prompt_table = PromptTable()
        self._recent_commands: deque[Any] = deque(maxlen=_MAX_RECENT_COMMANDS)

    def apply(self, data: bytes) -> bytes:
        """Applies one serialised `Command` and returns its serialised `Outcome`."""
        try:
            command = decode(messages.Command, data)
            kind, change = change_of(command)
        except Exception as error:  # thriftpy2 raises many types; every replica fails on the same bytes
            problem = f"not a command that this version knows: {error}"
            return encode(
                messages.Outcome(False, self.config.revision, "bad_command", problem[:_MAX_MESSAGE_CHARACTERS])
            )
        if kind.startswith("journal_"):
            return encode(self.journal.apply(kind, change, command))
        if kind == "put_document":
            held_version = self.document.put_packed(change.version, change.body or b"", change.layout or b"")
            return encode(messages.Outcome(held_version == change.version, held_version))
        if kind == "patch_document":
            held_version = self.document.patch(DocumentPatch(change.base_version, change.version, change.patch or b""))
            return encode(messages.Outcome(held_version == change.version, held_version))
        if kind == "put_evacuation":
            return encode(self._put_evacuation(kind, change))
        if kind in ("put_departure", "put_backends", "put_prompt_suspects"):
            if kind == "put_departure":
                self.departures.put(change)
            elif kind == "put_backends":
                self.roster.put(change.backends or [])
            else:
                self.prompt_table.put(change)
            return encode(messages.Outcome(True, self.config.revision))
        with self.config.lock:
            before = self.config.revision
            outcome = self.config.apply(command)
            assert self.config.revision in (before, before + 1), "a change moved the revision by more than one"
            if self.config.revision > before:
                self._recent_commands.append(messages.RevisionedCommand(self.config.revision, command))
        return encode(outcome)

    def _put_evacuation(self, kind: str, change: Any) -> Any:
        revision = self.config.revision
        try:
            check_change(kind, change, self.config.feature_level)
        except RejectedError as error:
            return messages.Outcome(False, revision, error.code, str(error))
        if not self.evacuations.put(change.data_centre, bool(change.evacuated)):
            return messages.Outcome(False, revision, "too_many", "too many data centres are evacuated")
        return messages.Outcome(True, revision)

    def commands_after(self, revision: int, limit: int = MAX_COMMANDS) -> tuple[list[Any] | None, int]:
        """Returns at most `limit` commands after `revision`, and the current revision.

        The commands are None if they are no longer kept or if `revision` is above the current revision.
        """
        with self.config.lock:
            current = self.config.revision
            missing = current - revision
            if missing == 0:
                return [], current
            if missing < 0 or missing > len(self._recent_commands):
                return None, current
            start = len(self._recent_commands) - missing
            return list(itertools.islice(self._recent_commands, start, start + limit)), current

    def snapshot(self) -> bytes:
        """Returns the serialised state."""
        state = self.config.snapshot()
        packed = self.document.packed()
        state.document = messages.PutDocument(packed.version, packed.body, packed.layout)
        state.departures = self.departures.records()
        state.backends = self.roster.records()
        state.evacuations = self.evacuations.record()
        state.prompt_suspects = self.prompt_table.record()
        config = encode(state)
        return len(config).to_bytes(8, "big") + config + self.journal.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the state by a serialised one."""
        config_bytes = int.from_bytes(data[:8], "big")
        state = decode(messages.ConfigSnapshot, data[8 : 8 + config_bytes])
        self.config.restore(state)
        if state.document is not None:
            document = state.document
            self.document.put_packed(document.version, document.body or b"", document.layout or b"")
        for record in state.departures or []:
            self.departures.put(record)
        self.roster.put(state.backends or [])
        self.evacuations.restore(state.evacuations)
        self.prompt_table.put(state.prompt_suspects)
        self.journal.restore(data[8 + config_bytes :])
        self._recent_commands.clear()
