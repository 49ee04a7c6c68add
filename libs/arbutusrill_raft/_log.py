"""Interface between the control role and the log that replicates its state."""

from __future__ import annotations

import abc
import threading
from dataclasses import dataclass, field

__all__ = ["LocalLog", "LogStatus", "LogUnavailableError", "NotLeaderError", "ReplicatedLog", "StateMachine"]


class StateMachine(abc.ABC):
    """Deterministic state that the log is applied to; called by one thread at a time, in log order."""

    @abc.abstractmethod
    def apply(self, data: bytes) -> bytes:
        """Applies one entry and returns the answer for its proposer."""

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Returns the whole state."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replaces the whole state by an earlier `snapshot`."""


class NotLeaderError(Exception):
    """The replica does not lead; `leader` is the RPC address of the one that does, empty when unknown."""

    def __init__(self, leader: str = ""):
        super().__init__(f"not the leader, try {leader}" if leader else "not the leader, which is unknown")
        self.leader = leader


class LogUnavailableError(Exception):
    """No quorum answered in time. `appended` says whether the entry may still be committed later."""

    def __init__(self, message: str, appended: bool):
        super().__init__(message)
        self.appended = appended


@dataclass(slots=True)
class LogStatus:
    """What one replica knows of its group; indexes count log entries from 1."""

    replica: str
    role: str
    term: int
    leader: str
    commit_index: int
    applied_index: int
    voters: list[str] = field(default_factory=list)
    learners: list[str] = field(default_factory=list)
    fault: str = ""


class ReplicatedLog(abc.ABC):
    """Orders proposals over the replicas of a group and applies them to a state machine."""

    @abc.abstractmethod
    def propose(self, data: bytes, timeout: float) -> bytes:
        """Commits and applies `data` and returns the state machine's answer.

        Raises `NotLeaderError` or `LogUnavailableError`. `timeout` is in seconds.
        """

    @abc.abstractmethod
    def confirm(self, timeout: float) -> None:
        """Returns once this replica is known to have led at some moment after the call began.

        By then the state machine holds every entry committed before the call. Raises as `propose` does.
        """

    @abc.abstractmethod
    def is_leader(self) -> bool:
        """Says whether this replica believes that it leads; only `confirm` proves it."""

    @abc.abstractmethod
    def status(self) -> LogStatus:
        """Returns this replica's view of the group."""


class LocalLog(ReplicatedLog):
    """A log of one replica without a disk, for tests of what stands on a log."""

    def __init__(self, machine: StateMachine, address: str = ""):
        self._machine = machine
        self._address = address
        self._lock = threading.Lock()
        self._applied = 0

    def __enter__(self) -> LocalLog:
        return self

    def __exit__(self, *_: object) -> None:
        pass

    def propose(self, data: bytes, timeout: float) -> bytes:
        """Applies `data` at once."""
        with self._lock:
            self._applied += 1
            return self._machine.apply(data)

    def confirm(self, timeout: float) -> None:
        """Returns at once: the only replica always leads."""

    def is_leader(self) -> bool:
        """Returns True."""
        return True

    def status(self) -> LogStatus:
        """Returns the view of the only replica."""
        return LogStatus("local", "leader", 1, self._address, self._applied, self._applied, ["local"])
