"""The owners of the pools, and what backend servers announce to them."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_base import PartLog
from arbutusrill_pool import PoolDirectory
from arbutusrill_state import ControlClient, ControlUnavailableError, Follower
from arbutusrill_wire import RpcClient, RpcError, messages

__all__ = ["PoolClients"]

_CALL_S = 1.0
_OPEN_S = 2.0
_KEPT_SERVERS = 10_000
_log = PartLog("pools")


class PoolClients:
    """Reaches the owner of each pool: this VM directly, another one by RPC."""

    def __init__(self, follower: Follower, control: ControlClient, directory: PoolDirectory):
        self._follower = follower
        self._control = control
        self._directory = directory
        self._lock = threading.Lock()
        self._client_by_address: dict[str, RpcClient] = {}
        self._pools_by_server: dict[str, list[str]] = {}

    def known(self, pool: str) -> Any | None:
        """Returns the assignment of a pool, or None for a pool that nobody has announced."""
        return self._follower.config.pools_by_name.get(pool)

    def owner_of(self, pool: str) -> str:
        """Returns the VM that owns a pool, empty when there is none."""
        assigned = self.known(pool)
        return assigned.owner if assigned is not None else ""

    def call(self, pool: str, name: str, message: Any, timeout: float = _CALL_S) -> Any:
        """Calls the owner of a pool; raises `messages.Refused` or `RpcError`."""
        owner = self.owner_of(pool)
        if not owner:
            raise messages.Refused("no_owner", f"pool {pool} has no owner yet")
        return self.call_vm(owner, name, message, timeout)

    def call_vm(self, owner: str, name: str, message: Any, timeout: float) -> Any:
        """Calls the pool service of a VM; raises `messages.Refused` or `RpcError`."""
        if owner == self._follower.identity.vm:
            return getattr(self._directory, name)(message)
        vm = self._follower.config.vms_by_id.get(owner)
        if vm is None or vm.state == "dead":
            raise messages.Refused("no_owner", f"VM {owner} is not reachable")
        return self._client(vm.rpc_address).call(messages.Pool, name, message, timeout=timeout)

    def announce(self, announcement: Any) -> None:
        """Passes an announcement on to the owner of each of its pools."""
        self._directory.saw(announcement)
        kind = "service" if announcement.role == "plain" else "model"
        with self._lock:
            self._pools_by_server.pop(announcement.id, None)
            self._pools_by_server[announcement.id] = announcement.pools
            while len(self._pools_by_server) > _KEPT_SERVERS:
                self._pools_by_server.pop(next(iter(self._pools_by_server)))
        for pool in announcement.pools:
            try:
                if not self.owner_of(pool):
                    self._control.call("open_pool", pool, kind, timeout=_OPEN_S)
                else:
                    self.call(pool, "announce", announcement)
            except (messages.Refused, RpcError, ControlUnavailableError) as error:
                _log.warning("announcement of %s for pool %s not passed on: %s", announcement.id, pool, error)

    def cache_events(self, events: Any, pools: list[str]) -> bool:
        """Passes changes of a runner's prefix cache on; returns False when the runner should resynchronise.

        `pools` may be empty for a runner that has announced itself to this VM.
        """
        with self._lock:
            pools = pools or self._pools_by_server.get(events.id, [])
        taken = bool(pools)
        for owner in {self.owner_of(pool) for pool in pools}:
            try:
                taken = bool(owner and self.call_vm(owner, "cache_events", events, _CALL_S)) and taken
            except (messages.Refused, RpcError):
                taken = False
        return taken

    def close(self) -> None:
        """Closes the connections to other VMs."""
        with self._lock:
            clients = list(self._client_by_address.values())
            self._client_by_address.clear()
        for client in clients:
            client.close()

    def _client(self, address: str) -> RpcClient:
        with self._lock:
            client = self._client_by_address.get(address)
            if client is not None:
                return client
            self._drop_unused()
            client = self._client_by_address[address] = RpcClient(address)
            return client

    def _drop_unused(self) -> None:
        known = {vm.rpc_address for vm in self._follower.config.vms_by_id.values() if vm.state != "dead"}
        for address in [address for address in self._client_by_address if address not in known]:
            self._client_by_address.pop(address).close()
