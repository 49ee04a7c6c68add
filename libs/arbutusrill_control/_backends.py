"""Inventory of the backend servers of all pools, queried from the VMs that own the pools."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from arbutusrill_state import ConfigState
from arbutusrill_wire import RpcClient, RpcError, messages

__all__ = ["BackendInventory"]

_CALL_TIMEOUT_S = 1.5
_MAX_PARALLEL_CALLS = 8


class BackendInventory:
    """Queries the pool owners for their backend servers. A context manager that closes its connections on exit."""

    def __init__(self, config: ConfigState):
        self._config = config
        self._lock = threading.Lock()
        self._client_by_address: dict[str, RpcClient] = {}
        self._executor = ThreadPoolExecutor(_MAX_PARALLEL_CALLS, thread_name_prefix="backends")

    def __enter__(self) -> BackendInventory:
        return self

    def __exit__(self, *_: object) -> None:
        self._executor.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            for client in self._client_by_address.values():
                client.close()

    def list_servers(self) -> tuple[list[dict[str, Any]], list[str]]:
        """Returns rows per pool and server, sorted by both, and the sorted IDs of owner VMs that did not answer."""
        with self._config.lock:
            owners = {pool.owner for pool in self._config.pools_by_name.values() if pool.owner}
            vms = [vm for vm in self._config.vms_by_id.values() if vm.id in owners]
        rows: list[dict[str, Any]] = []
        unreachable = sorted(owners - {vm.id for vm in vms})
        for vm, pools in self._executor.map(self._query_owner, vms):
            if pools is None:
                unreachable.append(vm.id)
            for pool in pools or []:
                rows += [_server_row(pool, server) for server in pool.servers or []]
        return sorted(rows, key=lambda row: (row["pool"], row["id"])), sorted(unreachable)

    def find_pool(self, server: str) -> str | None:
        """Returns the alphabetically first pool with a server of this ID, or None if no owner lists it."""
        return next((row["pool"] for row in self.list_servers()[0] if row["id"] == server), None)

    def _query_owner(self, vm: Any) -> tuple[Any, list[Any] | None]:
        with self._lock:
            client = self._client_by_address.setdefault(vm.rpc_address, RpcClient(vm.rpc_address))
        try:
            return vm, client.call(messages.Pool, "pool_status", timeout=_CALL_TIMEOUT_S)
        except (messages.Refused, RpcError):
            return vm, None


def _server_row(pool: Any, server: Any) -> dict[str, Any]:
    announcement = server.announcement
    return {
        "id": announcement.id,
        "pool": pool.pool,
        "role": announcement.role,
        "state": announcement.state,
        "health": server.health or "",
        "address": announcement.address,
        "data_centre": announcement.data_centre or "",
        "slots": announcement.slots,
        "assigned": server.assigned or 0,
        "heard_s": round(server.heard_s or 0.0, 2),
        "versions": list(announcement.versions or []),
        "checks_fencing": bool(announcement.checks_fencing),
    }
