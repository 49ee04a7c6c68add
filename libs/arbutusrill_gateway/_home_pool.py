"""Backend servers in the home regions of a request."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from arbutusrill_site import Service

from ._backends import BackendPool, Candidate
from ._plain_load import ServiceState

__all__ = ["HomePool", "pool_within"]


def pool_within(pool: BackendPool, homes: frozenset[str] | None, region_by_data_centre: Mapping[str, str]) -> Any:
    """Returns the pool for a request with `homes`, regions outside of which it may not run; None for anywhere.

    A data centre whose region is not known is in no home.
    """
    if homes is None:
        return pool
    return HomePool(pool, frozenset(place for place, region in region_by_data_centre.items() if region in homes))


class HomePool:
    """A `BackendPool` whose choices are limited to some data centres; what is learned goes to the whole pool."""

    __slots__ = ("_data_centres", "_pool")

    def __init__(self, pool: BackendPool, data_centres: frozenset[str]):
        self._pool = pool
        self._data_centres = data_centres

    def __getattr__(self, name: str) -> Any:
        return getattr(self._pool, name)

    def pick(self, service: Service, *arguments: Any, **options: Any) -> Candidate | None:
        """Like `BackendPool.pick`, within the data centres."""
        return self._pool.pick(service, *arguments, **options, data_centres=self._data_centres)

    def plain_state(self, service: Service, exclude: set[str]) -> ServiceState:
        """Like `BackendPool.plain_state`, within the data centres."""
        return self._pool.plain_state(service, exclude, self._data_centres)

    def is_usable(self, record: Any) -> bool:
        """Like `BackendPool.is_usable`, within the data centres."""
        return record.data_centre in self._data_centres and self._pool.is_usable(record)

    def avoided_ids(self) -> list[str]:
        """Like `BackendPool.avoided_ids`, with the servers outside the data centres."""
        return sorted({*self._pool.avoided_ids(), *self._pool.ids_outside(self._data_centres)})

    def permitted_in_s(
        self, service: Service, stage: str, model: str, exclude: frozenset[str] | set[str] = frozenset()
    ) -> float | None:
        """Like `BackendPool.permitted_in_s`; infinite as well if all servers are outside the data centres."""
        return self._pool.permitted_in_s(service, stage, model, exclude, self._data_centres)

    def retry_in_s(self, service: Service, stage: str, model: str) -> float | None:
        """Like `BackendPool.retry_in_s`, within the data centres."""
        return self._pool.retry_in_s(service, stage, model, self._data_centres)
