"""Announcements of backend servers, passed on to the owners of their pools."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_base import PartLog
from arbutusrill_pool import PoolDirectory
from arbutusrill_state import ControlClient, ControlUnavailableError, Follower
from arbutusrill_wire import RpcClient, RpcError, messages

__all__ = ["PoolClients"]

_CALL_S = 2.0
_log = PartLog("pools")


class PoolClients:
    """Reaches the owner of each pool: this VM directly, another one by RPC."""

    def __init__(self, follower: Follower, control: ControlClient, directory: PoolDirectory):
        self._follower = follower
        self._control = control
        self._directory = directory
        self._lock = threading.Lock()
        self._client_by_address: dict[str, RpcClient] = {}

    def known(self, pool: str) -> Any | None:
        """Returns the assignment of a pool, or None for a pool that nobody has announced."""
        return self._follower.config.pools_by_name.get(pool)

    def call(self, pool: str, name: str, message: Any, timeout: float = _CALL_S) -> Any:
        """Calls the owner of a pool; raises `messages.Refused` or `RpcError`."""
        assigned = self.known(pool)
        if assigned is None or not assigned.owner:
            raise messages.Refused("no_owner", f"pool {pool} has no owner yet")
        if assigned.owner == self._follower.identity.vm:
            return getattr(self._directory, name)(message)
        vm = self._follower.config.vms_by_id.get(assigned.owner)
        if vm is None:
            raise messages.Refused("no_owner", f"pool {pool} has no reachable owner")
        return self._client(vm.rpc_address).call(messages.Pool, name, message, timeout=timeout)

    def announce(self, announcement: Any) -> None:
        """Passes an announcement on to the owner of each of its pools."""
        self._directory.saw(announcement)
        kind = "service" if announcement.role == "plain" else "model"
        for pool in announcement.pools:
            assigned = self.known(pool)
            try:
                if assigned is None or not assigned.owner:
                    self._control.call("open_pool", pool, kind, timeout=_CALL_S)
                else:
                    self.call(pool, "announce", announcement)
            except (messages.Refused, RpcError, ControlUnavailableError) as error:
                _log.warning("announcement of %s for pool %s not passed on: %s", announcement.id, pool, error)

    def _client(self, address: str) -> RpcClient:
        with self._lock:
            if address not in self._client_by_address:
                self._client_by_address[address] = RpcClient(address)
            return self._client_by_address[address]
