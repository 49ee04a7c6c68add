"""State machine of the control group: the configuration and the journal of once-only calls."""

from __future__ import annotations

from collections import deque
from typing import Any

from arbutusrill_wire import decode, encode, messages

from ._commands import change_of
from ._config import ConfigState
from ._journal import Journal

__all__ = ["SharedState"]

_KEPT_COMMANDS = 2000  # one day of changes at the target; followers further behind get a snapshot


class SharedState:
    """What the replicated log is applied to on each control replica.

    `apply`, `snapshot` and `restore` are called by one thread at a time, in log order.
    """

    def __init__(self) -> None:
        self.config = ConfigState()
        self.journal = Journal()
        self._recent: deque[Any] = deque(maxlen=_KEPT_COMMANDS)

    def apply(self, data: bytes) -> bytes:
        """Applies one serialised `Command` and returns its serialised `Outcome`."""
        made = decode(messages.Command, data)
        kind, change = change_of(made)
        if kind.startswith("journal_"):
            return encode(self.journal.apply(kind, change, made))
        with self.config.lock:
            before = self.config.revision
            outcome = self.config.apply(made)
            if self.config.revision > before:
                self._recent.append(messages.RevisionedCommand(self.config.revision, made))
        return encode(outcome)

    def commands_after(self, revision: int) -> list[Any] | None:
        """Returns the changes after `revision`, or None when they are no longer kept."""
        with self.config.lock:
            if revision > self.config.revision:
                return None
            missing = self.config.revision - revision
            if missing > len(self._recent):
                return None
            return list(self._recent)[len(self._recent) - missing :]

    def snapshot(self) -> bytes:
        """Returns the whole state as bytes."""
        config = encode(self.config.snapshot())
        return len(config).to_bytes(8, "big") + config + self.journal.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the state by what `snapshot` returned."""
        size = int.from_bytes(data[:8], "big")
        self.config.restore(decode(messages.ConfigSnapshot, data[8 : 8 + size]))
        self.journal.restore(data[8 + size :])
        self._recent.clear()
