"""Backend servers of all pools, as the pools' owners know them."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from arbutusrill_state import ConfigState
from arbutusrill_wire import RpcClient, RpcError, messages

__all__ = ["BackendViews"]

_ASK_S = 1.5
_THREADS = 8


class BackendViews:
    """Asks the owners of pools for their servers. Used as a context manager, which closes its connections."""

    def __init__(self, config: ConfigState):
        self._config = config
        self._lock = threading.Lock()
        self._client_by_address: dict[str, RpcClient] = {}
        self._executor = ThreadPoolExecutor(_THREADS, thread_name_prefix="backends")

    def __enter__(self) -> BackendViews:
        return self

    def __exit__(self, *_: object) -> None:
        self._executor.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            for client in self._client_by_address.values():
                client.close()

    def rows(self) -> tuple[list[dict[str, Any]], list[str]]:
        """Returns one row per pool and server, and the names of the owner VMs that did not answer."""
        with self._config.lock:
            owners = {pool.owner for pool in self._config.pools_by_name.values() if pool.owner}
            vms = [vm for vm in self._config.vms_by_id.values() if vm.id in owners]
        rows: list[dict[str, Any]] = []
        silent = sorted(owners - {vm.id for vm in vms})
        for vm, pools in self._executor.map(self._ask, vms):
            if pools is None:
                silent.append(vm.id)
            for pool in pools or []:
                rows += [_row(pool, server) for server in pool.servers or []]
        return sorted(rows, key=lambda row: (row["pool"], row["id"])), sorted(silent)

    def pool_of(self, server: str) -> str | None:
        """Returns the first pool that a server belongs to, or None for a server that no owner knows."""
        return next((row["pool"] for row in self.rows()[0] if row["id"] == server), None)

    def _ask(self, vm: Any) -> tuple[Any, list[Any] | None]:
        with self._lock:
            client = self._client_by_address.setdefault(vm.rpc_address, RpcClient(vm.rpc_address))
        try:
            return vm, client.call(messages.Pool, "pool_status", timeout=_ASK_S)
        except (messages.Refused, RpcError):
            return vm, None


def _row(pool: Any, server: Any) -> dict[str, Any]:
    announced = server.announcement
    return {
        "id": announced.id,
        "pool": pool.pool,
        "role": announced.role,
        "state": announced.state,
        "health": server.health or "",
        "address": announced.address,
        "data_centre": announced.data_centre or "",
        "slots": announced.slots,
        "assigned": server.assigned or 0,
        "heard_s": round(server.heard_s or 0.0, 2),
        "versions": list(announced.versions or []),
        "checks_fencing": bool(announced.checks_fencing),
    }
