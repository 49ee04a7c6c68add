"""RPC service of the pools that the configuration assigns to this VM."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from arbutusrill_base import Clock, PartLog
from arbutusrill_wire import messages

from ._admission import DEFAULT_VALUES
from ._engine_calls import EngineCallQueue, EngineClient, EngineRequest, HttpEngineClient
from ._orders import OrderRunner
from ._owner import PoolOwner
from ._server import ANNOUNCEMENT_TIMEOUT_S

__all__ = ["PoolDirectory"]

ENGINE_THREADS = 8
ORDER_THREADS = 4  # separate, since an order can take 10 s and must not delay cancellations
DEAD_VM_CHECK_S = 30.0  # longer than the retries of announcements and cancellations
ANNOUNCEMENT_GAP_S = 1.0  # two announcement periods; after a longer gap a runner had announced itself to another VM
_MAX_DEAD_INCARNATIONS = 1000  # a week at 142 restarts a day
_log = PartLog("pool")


class PoolDirectory:
    """Holds a `PoolOwner` for each pool that is assigned to this incarnation of this VM.

    `config_value` returns a default of the configuration as `ConfigState.value` does; `report_order` proposes a
    `PutOrder` and returns whether it was accepted. `tick` must be called about every 0.1 s. Calls to engines run on
    threads that `close` shuts down.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        clock: Clock,
        holds_lease: Callable[[], bool] = lambda: True,
        config_value: Callable[..., Any] | None = None,
        client: EngineClient | None = None,
        report_order: Callable[[Any], bool] = lambda record: False,
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._holds_lease = holds_lease
        self._config_value = config_value
        self._client = client or HttpEngineClient()
        self._report_order = report_order
        self._executor = ThreadPoolExecutor(ENGINE_THREADS, thread_name_prefix="pool-engines")
        self._order_executor = ThreadPoolExecutor(ORDER_THREADS, thread_name_prefix="pool-orders")
        self._call_queue = EngineCallQueue(self._client, clock, lambda function: _submit(self._executor, function))
        self._lock = threading.Lock()
        self._owner_by_pool: dict[str, PoolOwner] = {}
        self._order_runner_by_pool: dict[str, OrderRunner] = {}
        self._incarnation_by_vm: dict[str, int] = {}
        self._died_at: OrderedDict[tuple[str, int], float] = OrderedDict()  # when this VM learnt of the end
        self._announced_runners: dict[str, tuple[str, float]] = {}  # address and time of the last announcement

    def close(self) -> None:
        """Shuts down the threads for calls to engines, without waiting for them."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        self._order_executor.shutdown(wait=False, cancel_futures=True)

    def reconcile(self, pools: list[Any], vms: Iterable[Any] = (), orders: Iterable[Any] = ()) -> None:
        """Applies the pools, VMs and orders of the configuration."""
        self._update_vms(vms)
        with self._lock:
            owned = {
                pool.name: pool
                for pool in pools
                if pool.owner == self._vm and pool.owner_incarnation == self._incarnation
            }
            for name in list(self._owner_by_pool):
                if name not in owned or owned[name].epoch != self._owner_by_pool[name].epoch:
                    _log.info("pool %s is no longer owned by this VM", name)
                    self._owner_by_pool.pop(name).close()
                    del self._order_runner_by_pool[name]
            for name, pool in owned.items():
                if name not in self._owner_by_pool:
                    _log.info("pool %s is owned by this VM from epoch %d", name, pool.epoch)
                    self._add_owner(name, pool.epoch)
            runners = list(self._order_runner_by_pool.items())
        records = list(orders)
        for name, runner in runners:
            runner.reconcile([record for record in records if record.pool == name])

    def _add_owner(self, name: str, epoch: int) -> None:
        def config_value(default: str) -> Any:
            return DEFAULT_VALUES[default] if self._config_value is None else self._config_value(default, model=name)

        owner = PoolOwner(name, epoch, self._clock, config_value, self._holds_lease, self._call_queue, self._is_dead)
        self._owner_by_pool[name] = owner
        self._order_runner_by_pool[name] = OrderRunner(
            epoch,
            self._clock,
            owner,
            self._client,
            self._report_order,
            lambda function: _submit(self._order_executor, function),
            self._holds_lease,
        )

    def _update_vms(self, vms: Iterable[Any]) -> None:
        ended = []
        with self._lock:
            for vm in vms:
                before = self._incarnation_by_vm.get(vm.id, vm.incarnation)
                self._incarnation_by_vm[vm.id] = vm.incarnation
                if before != vm.incarnation:
                    ended.append((vm.id, before))
                if vm.state == "dead":
                    ended.append((vm.id, vm.incarnation))
                else:
                    self._died_at.pop((vm.id, vm.incarnation), None)
            ended = [vm_incarnation for vm_incarnation in ended if vm_incarnation not in self._died_at]
            now = self._clock.monotonic()
            self._died_at.update((vm_incarnation, now) for vm_incarnation in ended)
            while len(self._died_at) > _MAX_DEAD_INCARNATIONS:
                self._died_at.popitem(last=False)
        if ended:
            self._cancel_requests_of(set(ended))

    def _is_dead(self, vm: str, incarnation: int) -> bool:
        return (vm, incarnation) in self._died_at

    def record_announcement(self, announcement: Any) -> None:
        """Records the announcement of a runner to this VM, whoever owns the runner's pools.

        When a VM ends, each VM cancels that VM's requests on the runners that announce themselves to it. That frees
        their slots even if the ended VM was the pool's owner and the next owner has not started yet.
        """
        if announcement.role == "plain":
            return
        now = self._clock.monotonic()
        with self._lock:
            _, before = self._announced_runners.get(announcement.id, ("", float("-inf")))
            self._announced_runners[announcement.id] = (announcement.address, now)
            ended = {
                vm_incarnation for vm_incarnation, died_at in self._died_at.items() if now - died_at < DEAD_VM_CHECK_S
            }
        # This runner may have announced itself to a VM that has ended, and turned to this one only after that.
        if ended and now - before > ANNOUNCEMENT_GAP_S:
            self._read_and_cancel(announcement.address, ended)

    def _cancel_requests_of(self, ended: set[tuple[str, int]]) -> None:
        now = self._clock.monotonic()
        with self._lock:
            self._announced_runners = {
                name: seen for name, seen in self._announced_runners.items() if now - seen[1] < ANNOUNCEMENT_TIMEOUT_S
            }
            addresses = [address for address, _ in self._announced_runners.values()]
        for address in addresses:
            self._read_and_cancel(address, ended)

    def _read_and_cancel(self, address: str, ended: set[tuple[str, int]]) -> None:
        self._call_queue.read_requests(
            address, lambda engine_requests: self._cancel_engine_requests(address, engine_requests, ended)
        )
        self._call_queue.tick()

    def _cancel_engine_requests(
        self, address: str, engine_requests: list[EngineRequest] | None, ended: set[tuple[str, int]]
    ) -> None:
        for engine_request in engine_requests or ():
            if (engine_request.vm, engine_request.incarnation) in ended:
                _log.warning(
                    "cancelling request %s at %s: VM %s has ended",
                    engine_request.request_id,
                    address,
                    engine_request.vm,
                )
                self._call_queue.cancel(address, engine_request.request_id, lambda _: None)
        self._call_queue.tick()

    def tick(self) -> None:
        """Runs the periodic work of all pools. Call about every 0.1 s."""
        with self._lock:
            owners = list(self._owner_by_pool.values())
            runners = list(self._order_runner_by_pool.values())
        for owner in owners:
            owner.tick()
        for runner in runners:
            runner.tick()
        self._call_queue.tick()

    def owner(self, pool: str) -> PoolOwner:
        """Returns the owner of a pool. Raises `messages.Refused` (``not_owner``) if it is not this VM."""
        with self._lock:
            owner = self._owner_by_pool.get(pool)
        if owner is None:
            raise messages.Refused("not_owner", f"this VM does not own pool {pool}")
        return owner

    def acquire(self, request: Any) -> Any:
        """Assigns backend servers to a request of a pool; see `PoolOwner.acquire`."""
        return self.owner(request.pool).acquire(request)

    def release(self, request: Any) -> None:
        """Frees the slots of a request; see `PoolOwner.release`."""
        self.owner(request.pool).release(request)

    def renew(self, request: Any) -> None:
        """Renews the tickets of all pools that a VM still holds."""
        with self._lock:
            owners = list(self._owner_by_pool.values())
        for owner in owners:
            owner.renew(request)

    def announce(self, announcement: Any) -> bool:
        """Passes an announcement to the owners of its pools that are on this VM."""
        with self._lock:
            owners = [owner for name, owner in self._owner_by_pool.items() if name in announcement.pools]
        for owner in owners:
            owner.announce(announcement)
        return True

    def cache_events(self, events: Any) -> bool:
        """Applies changes of a runner's prefix cache. Returns False if the runner must send its full list."""
        with self._lock:
            owners = list(self._owner_by_pool.values())
        answers = [owner.cache_events(events) for owner in owners if owner.has_server(events.id)]
        return all(answers)

    def pool_status(self) -> list[Any]:
        """Returns the state of the pools that this VM owns."""
        with self._lock:
            owners = list(self._owner_by_pool.values())
        return [owner.status() for owner in owners]


def _submit(executor: ThreadPoolExecutor, function: Callable[[], None]) -> Future | None:
    try:
        return executor.submit(_run_logged, function)
    except RuntimeError:  # the directory is closed
        return None


def _run_logged(function: Callable[[], None]) -> None:
    try:
        function()
    except Exception:
        _log.exception("background call to an engine failed")
