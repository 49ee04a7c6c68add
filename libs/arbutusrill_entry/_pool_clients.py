"""Calls to pool owners, and forwarding of announcements from backend servers to them."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_base import PartLog
from arbutusrill_pool import PoolDirectory
from arbutusrill_state import ControlClient, ControlUnavailableError, Follower
from arbutusrill_wire import RpcClient, RpcError, messages

__all__ = ["PoolClients"]

_CALL_TIMEOUT_S = 1.0
_OPEN_POOL_TIMEOUT_S = 2.0
_MAX_REMEMBERED_SERVERS = 10_000
_log = PartLog("pools")


class PoolClients:
    """Calls the owner of each pool, in process if it is this VM and by RPC otherwise."""

    def __init__(self, follower: Follower, control: ControlClient, directory: PoolDirectory):
        self._follower = follower
        self._control = control
        self._directory = directory
        self._lock = threading.Lock()
        self._client_by_address: dict[str, RpcClient] = {}
        self._pools_by_server: dict[str, list[str]] = {}

    def find_pool(self, pool: str) -> Any | None:
        """Returns the assignment of a pool to its owner, or None for an unknown pool."""
        return self._follower.config.pools_by_name.get(pool)

    def owner_of(self, pool: str) -> str:
        """Returns the id of the VM that owns a pool, or an empty string if there is none."""
        assigned = self.find_pool(pool)
        return assigned.owner if assigned is not None else ""

    def call(self, pool: str, name: str, message: Any, timeout: float = _CALL_TIMEOUT_S) -> Any:
        """Calls the pool service of the owner of a pool; raises `messages.Refused` or `RpcError`."""
        owner = self.owner_of(pool)
        if not owner:
            raise messages.Refused("no_owner", f"pool {pool} has no owner yet")
        return self.call_vm(owner, name, message, timeout)

    def call_vm(self, owner: str, name: str, message: Any, timeout: float) -> Any:
        """Calls the pool service of the VM `owner`; raises `messages.Refused` or `RpcError`."""
        if owner == self._follower.identity.vm:
            return getattr(self._directory, name)(message)
        vm = self._follower.config.vms_by_id.get(owner)
        if vm is None or vm.state == "dead":
            raise messages.Refused("no_owner", f"VM {owner} is not reachable")
        return self._client(vm.rpc_address).call(messages.Pool, name, message, timeout=timeout)

    def announce(self, announcement: Any) -> None:
        """Forwards an announcement to the owner of each of its pools, and opens pools that have no owner."""
        self._directory.record_announcement(announcement)
        kind = "service" if announcement.role == "plain" else "model"
        with self._lock:
            self._pools_by_server.pop(announcement.id, None)
            self._pools_by_server[announcement.id] = announcement.pools
            while len(self._pools_by_server) > _MAX_REMEMBERED_SERVERS:
                self._pools_by_server.pop(next(iter(self._pools_by_server)))
        for pool in announcement.pools:
            try:
                if not self.owner_of(pool):
                    self._control.call("open_pool", pool, kind, timeout=_OPEN_POOL_TIMEOUT_S)
                else:
                    self.call(pool, "announce", announcement)
            except (messages.Refused, RpcError, ControlUnavailableError) as error:
                _log.warning(
                    "announcement of backend server %s for pool %s not forwarded: %s", announcement.id, pool, error
                )

    def cache_events(self, events: Any, pools: list[str]) -> bool:
        """Forwards changes of an engine's prefix cache to the pool owners.

        Returns False if the engine must resynchronise. If `pools` is empty, the pools of the engine's last announcement
        to this VM are used.
        """
        with self._lock:
            pools = pools or self._pools_by_server.get(events.id, [])
        accepted = bool(pools)
        for owner in {self.owner_of(pool) for pool in pools}:
            try:
                accepted = bool(owner and self.call_vm(owner, "cache_events", events, _CALL_TIMEOUT_S)) and accepted
            except (messages.Refused, RpcError):
                accepted = False
        return accepted

    def close(self) -> None:
        """Closes the RPC connections to other VMs."""
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
            self._close_unused_clients()
            client = self._client_by_address[address] = RpcClient(address)
            return client

    def _close_unused_clients(self) -> None:
        live_addresses = {vm.rpc_address for vm in self._follower.config.vms_by_id.values() if vm.state != "dead"}
        for address in [address for address in self._client_by_address if address not in live_addresses]:
            self._client_by_address.pop(address).close()
