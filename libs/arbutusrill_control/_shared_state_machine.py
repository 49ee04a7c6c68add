"""State machine that the control group's log replicates."""

from __future__ import annotations

import threading

from arbutusrill_raft import StateMachine
from arbutusrill_state import SharedState

__all__ = ["SharedStateMachine"]


class SharedStateMachine(StateMachine):
    """Adapts `SharedState` to the log and notifies `revision_changed` after each change of the configuration.

    `revision_changed` wakes the long polls that wait for a new revision.
    """

    def __init__(self) -> None:
        self.state = SharedState()
        self.revision_changed = threading.Condition()

    def apply(self, data: bytes) -> bytes:
        """Applies one encoded command and returns its encoded outcome."""
        before = self.state.config.revision
        result = self.state.apply(data)
        # Journal commands leave the revision unchanged and must not wake hundreds of waiting followers.
        if self.state.config.revision != before:
            with self.revision_changed:
                self.revision_changed.notify_all()
        return result

    def wait_for_change(self, revision: int, timeout: float) -> bool:
        """Waits at most `timeout` seconds for a revision other than `revision`; returns whether there is one."""
        with self.revision_changed:
            return self.revision_changed.wait_for(lambda: self.state.config.revision != revision, timeout)

    def snapshot(self) -> bytes:
        """Returns the whole state, encoded."""
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by an earlier `snapshot`."""
        self.state.restore(data)
        with self.revision_changed:
            self.revision_changed.notify_all()
