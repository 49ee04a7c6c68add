"""The pools that this VM owns, as the configuration assigns them, and their RPC service."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_base import Clock, PartLog
from arbutusrill_wire import messages

from ._owner import PoolOwner

__all__ = ["PoolDirectory"]

_log = PartLog("pool")


class PoolDirectory:
    """Holds a `PoolOwner` for each pool that is assigned to this run of this VM."""

    def __init__(self, vm: str, incarnation: int, clock: Clock):
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._lock = threading.Lock()
        self._owner_by_pool: dict[str, PoolOwner] = {}

    def reconcile(self, pools: list[Any]) -> None:
        """Starts and stops owners so that they match the assignments in the configuration."""
        with self._lock:
            mine = {
                pool.name: pool
                for pool in pools
                if pool.owner == self._vm and pool.owner_incarnation == self._incarnation
            }
            for name in list(self._owner_by_pool):
                if name not in mine or mine[name].epoch != self._owner_by_pool[name].epoch:
                    _log.info("stops owning pool %s", name)
                    del self._owner_by_pool[name]
            for name, pool in mine.items():
                if name not in self._owner_by_pool:
                    _log.info("owns pool %s at epoch %d", name, pool.epoch)
                    self._owner_by_pool[name] = PoolOwner(name, pool.epoch, self._clock)

    def owner(self, pool: str) -> PoolOwner:
        """Returns the owner of a pool; raises `messages.Refused` when this VM does not own it."""
        with self._lock:
            owner = self._owner_by_pool.get(pool)
        if owner is None:
            raise messages.Refused("not_owner", f"this VM does not own pool {pool}")
        return owner

    # ---- RPC methods

    def acquire(self, request: Any) -> Any:
        """Assigns backend servers to a request."""
        return self.owner(request.pool).acquire(request)

    def release(self, request: Any) -> None:
        """Frees what a request held."""
        self.owner(request.pool).release(request)

    def renew(self, request: Any) -> None:
        """Takes the list of the tickets that a VM still holds."""

    def announce(self, announcement: Any) -> bool:
        """Takes an announcement for those of its pools that this VM owns."""
        with self._lock:
            owners = [owner for name, owner in self._owner_by_pool.items() if name in announcement.pools]
        for owner in owners:
            owner.announce(announcement)
        return True

    def cache_events(self, events: Any) -> bool:
        """Takes changes of a runner's prefix cache."""
        return True

    def pool_status(self) -> list[Any]:
        """Returns the state of the pools that this VM owns."""
        with self._lock:
            owners = list(self._owner_by_pool.values())
        return [owner.status() for owner in owners]
