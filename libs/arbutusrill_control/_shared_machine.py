"""State machine of the control group's log."""

from __future__ import annotations

import threading

from arbutusrill_raft import StateMachine
from arbutusrill_state import SharedState

__all__ = ["SharedMachine"]


class SharedMachine(StateMachine):
    """The shared state as the state machine of a log; wakes the followers after each change."""

    def __init__(self) -> None:
        self.state = SharedState()
        self.changed = threading.Condition()

    def apply(self, data: bytes) -> bytes:
        """Applies one command."""
        before = self.state.config.revision
        answer = self.state.apply(data)
        # The journal's commands do not move the revision and must not wake hundreds of followers.
        if self.state.config.revision != before:
            with self.changed:
                self.changed.notify_all()
        return answer

    def wait_beyond(self, revision: int, timeout: float) -> bool:
        """Waits until the configuration's revision differs from `revision`, at most `timeout` seconds.

        Returns whether it does.
        """
        with self.changed:
            return self.changed.wait_for(lambda: self.state.config.revision != revision, timeout)

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the whole state."""
        self.state.restore(data)
        with self.changed:
            self.changed.notify_all()
