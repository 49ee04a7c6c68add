"""Base class of the leader's registries of backend servers and entry VMs."""

from __future__ import annotations

import abc
import threading
from typing import Any

from arbutusrill_base import Clock

__all__ = ["Registry"]


class Registry(abc.ABC):
    """Soft state that is rebuilt after each change of leader; silent entries expire after `silence_timeout_s` seconds.

    `revision` increases with each change that followers need. `changed` guards the state and notifies the followers.
    """

    def __init__(self, clock: Clock, silence_timeout_s: float, changed: threading.Condition):
        self._clock = clock
        self._silence_timeout_s = silence_timeout_s
        self._changed = changed
        self._record_by_id: dict[str, Any] = {}
        self._last_heard_by_id: dict[str, float] = {}
        self._collecting_since = clock.monotonic()
        self._complete = False  # changes together with `revision`
        self.revision = 0

    @abc.abstractmethod
    def _clear(self) -> None:
        """Clears the state that a subclass keeps beside the records."""

    def begin_term(self) -> None:
        """Clears the registry at the start of a term."""
        with self._changed:
            self._record_by_id.clear()
            self._last_heard_by_id.clear()
            self._clear()
            self._collecting_since = self._clock.monotonic()
            self._complete = False
            self._increment_revision()

    @property
    def complete(self) -> bool:
        """Whether all running servers or VMs have had time to report in this term."""
        return self._complete

    def records(self) -> list[Any]:
        """Returns the latest record of each server or VM."""
        with self._changed:
            return list(self._record_by_id.values())

    def _silent_ids(self) -> list[str]:
        """Returns the IDs that have timed out; marks the registry complete one timeout after the start of the term."""
        now = self._clock.monotonic()
        if not self._complete and now - self._collecting_since >= self._silence_timeout_s:
            self._complete = True
            self._increment_revision()
        return [
            id_
            for id_, last_heard_at in self._last_heard_by_id.items()
            if now - last_heard_at > self._silence_timeout_s
        ]

    def _increment_revision(self) -> None:
        self.revision += 1
        self._changed.notify_all()
