"""Interfaces of a replicated log and of the state machine that it drives."""

from __future__ import annotations

import abc
import threading
from dataclasses import dataclass, field

__all__ = ["LocalLog", "LogStatus", "LogUnavailableError", "NotLeaderError", "ReplicatedLog", "StateMachine"]


class StateMachine(abc.ABC):
    """Deterministic state machine; called by one thread at a time, in log order."""

    @abc.abstractmethod
    def apply(self, data: bytes) -> bytes:
        """Applies one entry and returns the result for its proposer."""

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Returns the whole state, serialized."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replaces the whole state by one that `snapshot` has returned."""


class NotLeaderError(Exception):
    """The replica is not the leader; `leader` is the RPC address of the known leader, empty when unknown."""

    def __init__(self, leader: str = ""):
        super().__init__(f"not the leader, try {leader}" if leader else "not the leader, which is unknown")
        self.leader = leader


class LogUnavailableError(Exception):
    """The log cannot complete the request, for example because no quorum has answered in time.

    `appended` says whether the entry may still be committed later.
    """

    def __init__(self, message: str, appended: bool):
        super().__init__(message)
        self.appended = appended


@dataclass(slots=True)
class LogStatus:
    """One replica's view of its group; indexes count log entries from 1."""

    replica: str
    role: str
    term: int
    leader: str
    commit_index: int
    applied_index: int
    voters: list[str] = field(default_factory=list)
    learners: list[str] = field(default_factory=list)
    fault: str = ""
    disk_error: str = ""


class ReplicatedLog(abc.ABC):
    """A log that a group of replicas agrees on and applies to a state machine."""

    @abc.abstractmethod
    def propose(self, data: bytes, timeout: float) -> bytes:
        """Commits and applies `data` and returns the state machine's result.

        Raises `NotLeaderError` or `LogUnavailableError`. `timeout` is in seconds.
        """

    @abc.abstractmethod
    def confirm(self, timeout: float) -> None:
        """Returns once this replica has proven that it led at some time after the start of the call.

        The state machine then includes every entry committed before the call, as a linearizable read needs. Raises
        `NotLeaderError` or `LogUnavailableError`. `timeout` is in seconds.
        """

    @abc.abstractmethod
    def is_leader(self) -> bool:
        """Returns whether this replica considers itself the leader; only `confirm` proves it."""

    @abc.abstractmethod
    def status(self) -> LogStatus:
        """Returns this replica's view of the group."""


class LocalLog(ReplicatedLog):
    """A single replica in memory, for tests of code that uses a `ReplicatedLog`."""

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
        """Returns at once: a single replica is always the leader."""

    def is_leader(self) -> bool:
        """Returns True."""
        return True

    def status(self) -> LogStatus:
        """Returns the status of the single replica."""
        return LogStatus("local", "leader", 1, self._address, self._applied, self._applied, ["local"])
