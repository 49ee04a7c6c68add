"""What the leader's registries of backend servers and entry VMs have in common."""

from __future__ import annotations

import abc
import threading
from typing import Any

from arbutusrill_base import Clock

__all__ = ["Registry"]


class Registry(abc.ABC):
    """Soft state that is collected anew after each change of leader; what is silent for `silent_s` seconds is dropped.

    `revision` increases with each change that followers have to know. `changed` guards the state and wakes the
    followers.
    """

    def __init__(self, clock: Clock, silent_s: float, changed: threading.Condition):
        self._clock = clock
        self._silent_s = silent_s
        self._changed = changed
        self._record_by_id: dict[str, Any] = {}
        self._heard_by_id: dict[str, float] = {}
        self._since = clock.monotonic()
        self._complete = False  # as last told to the followers
        self.revision = 0

    @abc.abstractmethod
    def _clear(self) -> None:
        """Forgets what a subclass holds beside the records."""

    def begin_term(self) -> None:
        """Forgets everything at the start of a leadership."""
        with self._changed:
            self._record_by_id.clear()
            self._heard_by_id.clear()
            self._clear()
            self._since = self._clock.monotonic()
            self._complete = False
            self._bump()

    @property
    def complete(self) -> bool:
        """Whether everyone who runs has had the time to be heard in this term."""
        return self._complete

    def records(self) -> list[Any]:
        """Returns the latest record of each."""
        with self._changed:
            return list(self._record_by_id.values())

    def _silent(self) -> list[str]:
        """Returns the ids of those to drop, and notes when the registry has become complete."""
        now = self._clock.monotonic()
        if not self._complete and now - self._since >= self._silent_s:
            self._complete = True
            self._bump()
        return [id_ for id_, heard in self._heard_by_id.items() if now - heard > self._silent_s]

    def _bump(self) -> None:
        self.revision += 1
        self._changed.notify_all()
