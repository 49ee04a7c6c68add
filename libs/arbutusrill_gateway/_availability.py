"""Decision on which backend servers may be used, without input, output or a clock of its own."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["BackendAvailability"]

MAX_QUIET_S = 60.0  # bounds how long one answer can take a backend server out of use
_MAX_RESTRICTIONS = 4096
_UNLISTED_TTL_S = 600.0  # a new leader may list a server again that is missing for a while
_SKIP_REPORT_INTERVAL_S = 1.0


@dataclass(slots=True)
class _Restriction:
    """What is known against the use of one incarnation of a backend server. Times are on the caller's clock."""

    updated_at: float
    draining: bool = False
    quiet_until: float = float("-inf")
    avoid_until: float = float("-inf")
    skipped_count: int = 0
    skips_reported_at: float = float("-inf")

    def in_force(self, now: float) -> bool:
        """Returns whether the restriction still affects a choice."""
        return self.draining or max(self.quiet_until, self.avoid_until) > now


class BackendAvailability:
    """Restrictions on the use of backend servers, by incarnation.

    A server that drains is barred for good, one that asked for quiet until its quiet time ends, and one in a data
    centre that `evacuated` returns as long as it does; none of them is ever chosen. One that is avoided after a failure
    is chosen if there is no other. Every method takes the present time in seconds, so that decisions can be replayed.
    Calls must not overlap.

    >>> from types import SimpleNamespace
    >>> record, restarted = (SimpleNamespace(id="b", started_ms=ms) for ms in (1, 2))
    >>> availability = BackendAvailability()
    >>> availability.set_draining(record, now=0.0)
    True
    >>> availability.is_permitted(record, now=9.0), availability.is_permitted(restarted, now=9.0)
    (False, True)
    """

    __slots__ = ("_evacuated", "_restriction_by_incarnation")

    def __init__(self, evacuated: Callable[[], frozenset[str]] = frozenset) -> None:
        self._evacuated = evacuated
        self._restriction_by_incarnation: dict[tuple[str, int], _Restriction] = {}

    def set_draining(self, record: Any, now: float) -> bool:
        """Bars a server that says it drains; returns whether this is new."""
        restriction = self._restriction_for_update(record, now)
        is_new, restriction.draining = not restriction.draining, True
        return is_new

    def set_quiet(self, record: Any, quiet_s: float, now: float) -> float | None:
        """Bars a server for `quiet_s` seconds, at most `MAX_QUIET_S`.

        Returns the end of the quiet time, or None if the server was quiet already. Several requests to stay quiet end
        with the last.
        """
        restriction = self._restriction_for_update(record, now)
        was_quiet = restriction.quiet_until > now
        restriction.quiet_until = max(restriction.quiet_until, now + min(quiet_s, MAX_QUIET_S))
        return None if was_quiet else restriction.quiet_until

    def set_avoided(self, record: Any, until: float, now: float) -> None:
        """Avoids a server until a time; a time in the past ends its avoidance."""
        if until > now or self._restriction_of(record) is not None:
            self._restriction_for_update(record, now).avoid_until = until

    def is_permitted(self, record: Any, now: float) -> bool:
        """Returns whether anything may be sent to a server."""
        if self.is_evacuated(record):
            return False
        restriction = self._restriction_of(record)
        return restriction is None or not (restriction.draining or restriction.quiet_until > now)

    def is_evacuated(self, record: Any) -> bool:
        """Returns whether a server is in an evacuated data centre."""
        evacuated = self._evacuated()
        return bool(evacuated) and record.data_centre in evacuated

    def is_avoided(self, record: Any, now: float) -> bool:
        """Returns whether a server is to be used only if there is no other."""
        restriction = self._restriction_of(record)
        return restriction is not None and restriction.avoid_until > now

    def quiet_end(self, record: Any, now: float) -> float | None:
        """Returns the end of a server's quiet time; None if it is not quiet or drains as well."""
        restriction = self._restriction_of(record)
        if restriction is None or restriction.draining or restriction.quiet_until <= now:
            return None
        return restriction.quiet_until

    def retry_in_s(self, records: Collection[Any], now: float) -> float | None:
        """Returns the seconds until one of `records` is neither quiet nor avoided, None if that is so now.

        None also if none of them is quiet: a failed server alone says nothing about the time after which to retry.
        """
        restrictions = [self._restriction_of(record) for record in records if not self.is_evacuated(record)]
        if not any(each is not None and each.quiet_until > now for each in restrictions):
            return None
        ends = [
            now if each is None else max(each.quiet_until, each.avoid_until)
            for each in restrictions
            if each is None or not each.draining
        ]
        return min(ends) - now if ends and min(ends) > now else None

    def restricted_ids(self, now: float) -> set[str]:
        """Returns the ids of servers that are barred, quiet or avoided."""
        return {id_ for (id_, _), restriction in self._restriction_by_incarnation.items() if restriction.in_force(now)}

    def permitted_in_s(self, records: Collection[Any], now: float) -> float | None:
        """Returns the seconds until anything may be sent to one of `records`, None if that is so now.

        Infinite if all of them drain or are evacuated, and None if there are none.
        """
        if not (self._restriction_by_incarnation or self._evacuated()):
            return None
        if any(self.is_permitted(record, now) for record in records):
            return None
        ends = [None if self.is_evacuated(record) else self.quiet_end(record, now) for record in records]
        return min((math.inf if end is None else end - now for end in ends), default=None)

    def counts(self, now: float) -> tuple[int, int]:
        """Returns the number of servers that drain, and of those that are quiet."""
        restrictions = self._restriction_by_incarnation.values()
        return sum(each.draining for each in restrictions), sum(each.quiet_until > now for each in restrictions)

    def record_skip(self, record: Any, now: float) -> int | None:
        """Counts a choice that passed over a server; returns the count to report, once a second at most."""
        restriction = self._restriction_of(record)
        if restriction is None:
            return None
        restriction.skipped_count += 1
        if now - restriction.skips_reported_at < _SKIP_REPORT_INTERVAL_S:
            return None
        restriction.skips_reported_at = now
        count, restriction.skipped_count = restriction.skipped_count, 0
        return count

    def prune(self, record_by_id: Mapping[str, Any], now: float) -> None:
        """Forgets restrictions that are over and those of incarnations that were replaced or are long gone."""
        for incarnation, restriction in list(self._restriction_by_incarnation.items()):
            id_, started_ms = incarnation
            record = record_by_id.get(id_)
            is_gone = (
                now - restriction.updated_at > _UNLISTED_TTL_S if record is None else record.started_ms > started_ms
            )
            if is_gone or not restriction.in_force(now):
                del self._restriction_by_incarnation[incarnation]

    def _restriction_of(self, record: Any) -> _Restriction | None:
        if not self._restriction_by_incarnation:
            return None
        return self._restriction_by_incarnation.get((record.id, record.started_ms))

    def _restriction_for_update(self, record: Any, now: float) -> _Restriction:
        """Returns the restriction of a server, a new one if there is none; the oldest ones yield to the limit."""
        incarnation = (record.id, record.started_ms)
        restriction = self._restriction_by_incarnation.pop(incarnation, None) or _Restriction(now)
        restriction.updated_at = now
        self._restriction_by_incarnation[incarnation] = restriction
        if len(self._restriction_by_incarnation) > _MAX_RESTRICTIONS:
            del self._restriction_by_incarnation[next(iter(self._restriction_by_incarnation))]
        return restriction
