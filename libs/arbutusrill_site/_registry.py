"""Base class of the leader's registries of backend servers and entry VMs."""

from __future__ import annotations

import abc
import threading
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock

__all__ = ["Registry", "RegistryChanges"]

_MAX_REMOVALS = 4096  # followers whose revision is older than the oldest kept one get the whole list


@dataclass(slots=True, frozen=True)
class RegistryChanges:
    """What a follower lacks: the whole list, or only the records that were changed or removed since its revision."""

    revision: int
    records: list[Any]
    removed: list[Any]  # the last record of each server or VM that was removed; beside a whole list, in this term
    is_delta: bool


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
        self._changed_revision_by_id: dict[str, int] = {}
        self._removed_by_id: dict[str, tuple[int, Any]] = {}  # revision and last record, in order of removal
        self._delta_from_revision = 0  # the oldest revision from which a delta is possible
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
            self._changed_revision_by_id.clear()
            self._removed_by_id.clear()
            self._increment_revision()
            self._delta_from_revision = self.revision

    @property
    def complete(self) -> bool:
        """Whether all running servers or VMs have had time to report in this term."""
        return self._complete

    def records(self) -> list[Any]:
        """Returns the latest record of each server or VM."""
        with self._changed:
            return list(self._record_by_id.values())

    def data_centres(self) -> set[str]:
        """Returns the data centres of the servers or VMs."""
        with self._changed:
            return {record.data_centre for record in self._record_by_id.values()}

    def changes_since(self, revision: int | None) -> RegistryChanges | None:
        """Returns what changed after a revision of this term, the whole list for None; None if nothing changed."""
        with self._changed:
            if revision == self.revision:
                return None
            if revision is None or not self._delta_from_revision <= revision < self.revision:
                removed = [record for _, record in self._removed_by_id.values()]
                return RegistryChanges(self.revision, list(self._record_by_id.values()), removed, False)
            records = [
                self._record_by_id[id_] for id_, changed in self._changed_revision_by_id.items() if changed > revision
            ]
            removed = [record for removed_at, record in self._removed_by_id.values() if removed_at > revision]
            return RegistryChanges(self.revision, records, removed, True)

    def _record_change(self, id_: str) -> None:
        """Increments the revision for a changed or new record."""
        self._increment_revision()
        self._changed_revision_by_id[id_] = self.revision
        self._removed_by_id.pop(id_, None)

    def _record_removal(self, id_: str, record: Any) -> None:
        """Increments the revision for a removed record."""
        self._increment_revision()
        self._changed_revision_by_id.pop(id_, None)
        self._removed_by_id.pop(id_, None)
        self._removed_by_id[id_] = (self.revision, record)
        if len(self._removed_by_id) > _MAX_REMOVALS:
            oldest = next(iter(self._removed_by_id))
            self._delta_from_revision = self._removed_by_id.pop(oldest)[0]

    def _silent_ids(self) -> list[str]:
        """Returns the IDs that have timed out; marks the registry complete one timeout after the start of the term."""
        now = self._clock.monotonic()
        if not self._complete and now - self._collecting_since >= self._silence_timeout_s:
            self._complete = True
            self._increment_revision()
            # Followers need the whole list once, to drop what they know from earlier terms only.
            self._delta_from_revision = self.revision
        return [
            id_
            for id_, last_heard_at in self._last_heard_by_id.items()
            if now - last_heard_at > self._silence_timeout_s
        ]

    def _increment_revision(self) -> None:
        self.revision += 1
        self._changed.notify_all()
