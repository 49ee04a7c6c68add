"""The pools that this VM owns, as the configuration assigns them, and their RPC service."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from arbutusrill_base import Clock, PartLog
from arbutusrill_wire import messages

from ._admission import INITIAL_VALUES
from ._engines import EngineCalls, EngineRequest, EngineWork, HttpEngineCalls
from ._orders import OrderRunner
from ._owner import PoolOwner
from ._server import SILENT_S

__all__ = ["PoolDirectory"]

ENGINE_THREADS = 8
ORDER_THREADS = 4  # of their own: an order can take 10 s, in which cancels must not wait
RECENT_DEATH_S = 30.0  # longer than any repetition of announcements and cancellations takes
ABSENT_S = 1.0  # a runner announces itself every 0.5 s to one VM
_KEPT_DEAD = 1000  # incarnations; at 142 restarts a day this is a week
_log = PartLog("pool")


class PoolDirectory:
    """Holds a `PoolOwner` for each pool that is assigned to this run of this VM.

    `value` returns a default of the configuration as `ConfigState.value` does, `report_order` proposes a `PutOrder`
    and returns whether it was accepted. `tick` must be called about every 0.1 s. Calls to engines run on a few
    threads of the directory, which `close` ends.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        clock: Clock,
        holds_lease: Callable[[], bool] = lambda: True,
        value: Callable[..., Any] | None = None,
        calls: EngineCalls | None = None,
        report_order: Callable[[Any], bool] = lambda record: False,
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._holds_lease = holds_lease
        self._value = value
        self._calls = calls or HttpEngineCalls()
        self._report_order = report_order
        self._executor = ThreadPoolExecutor(ENGINE_THREADS, thread_name_prefix="pool-engines")
        self._order_executor = ThreadPoolExecutor(ORDER_THREADS, thread_name_prefix="pool-orders")
        self._work = EngineWork(self._calls, clock, lambda function: _submit(self._executor, function))
        self._lock = threading.Lock()
        self._owner_by_pool: dict[str, PoolOwner] = {}
        self._orders_by_pool: dict[str, OrderRunner] = {}
        self._incarnation_by_vm: dict[str, int] = {}
        self._dead: OrderedDict[tuple[str, int], float] = OrderedDict()  # when this VM learnt of it
        self._seen: dict[str, tuple[str, float]] = {}

    def close(self) -> None:
        """Ends the threads for calls to engines."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        self._order_executor.shutdown(wait=False, cancel_futures=True)

    # ---- configuration

    def reconcile(self, pools: list[Any], vms: Iterable[Any] = (), orders: Iterable[Any] = ()) -> None:
        """Makes owners, live VMs and orders match the configuration."""
        self._take_vms(vms)
        with self._lock:
            mine = {
                pool.name: pool
                for pool in pools
                if pool.owner == self._vm and pool.owner_incarnation == self._incarnation
            }
            for name in list(self._owner_by_pool):
                if name not in mine or mine[name].epoch != self._owner_by_pool[name].epoch:
                    _log.info("stops owning pool %s", name)
                    self._owner_by_pool.pop(name).close()
                    del self._orders_by_pool[name]
            for name, pool in mine.items():
                if name not in self._owner_by_pool:
                    _log.info("owns pool %s at epoch %d", name, pool.epoch)
                    self._add(name, pool.epoch)
            runners = list(self._orders_by_pool.items())
        records = list(orders)
        for name, runner in runners:
            runner.reconcile([record for record in records if record.pool == name])

    def _add(self, name: str, epoch: int) -> None:
        def value(default: str) -> Any:
            return INITIAL_VALUES[default] if self._value is None else self._value(default, model=name)

        owner = PoolOwner(name, epoch, self._clock, value, self._holds_lease, self._work, self._is_dead)
        self._owner_by_pool[name] = owner
        self._orders_by_pool[name] = OrderRunner(
            epoch,
            self._clock,
            owner,
            self._calls,
            self._report_order,
            lambda function: _submit(self._order_executor, function),
            self._holds_lease,
        )

    def _take_vms(self, vms: Iterable[Any]) -> None:
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
                    self._dead.pop((vm.id, vm.incarnation), None)
            ended = [run for run in ended if run not in self._dead]
            now = self._clock.monotonic()
            self._dead.update((run, now) for run in ended)
            while len(self._dead) > _KEPT_DEAD:
                self._dead.popitem(last=False)
        if ended:
            self._cancel_all_of(set(ended))

    def _is_dead(self, vm: str, incarnation: int) -> bool:
        return (vm, incarnation) in self._dead

    # ---- engine requests of VMs that have ended

    def saw(self, announcement: Any) -> None:
        """Remembers a runner whose announcement came to this VM, whoever owns its pools.

        When a VM ends, each VM asks the runners that announce to it for that VM's requests and cancels them. This
        covers the case that the VM owned the pool itself, without waiting for the next owner.
        """
        if announcement.role == "plain":
            return
        now = self._clock.monotonic()
        with self._lock:
            _, before = self._seen.get(announcement.id, ("", float("-inf")))
            self._seen[announcement.id] = (announcement.address, now)
            ended = {run for run, died_at in self._dead.items() if now - died_at < RECENT_DEATH_S}
        # A runner that announced itself to the ended VM comes here only after that VM has ended.
        if ended and now - before > ABSENT_S:
            self._read_and_cancel(announcement.address, ended)

    def _cancel_all_of(self, ended: set[tuple[str, int]]) -> None:
        now = self._clock.monotonic()
        with self._lock:
            self._seen = {name: seen for name, seen in self._seen.items() if now - seen[1] < SILENT_S}
            addresses = [address for address, _ in self._seen.values()]
        for address in addresses:
            self._read_and_cancel(address, ended)

    def _read_and_cancel(self, address: str, ended: set[tuple[str, int]]) -> None:
        self._work.read_requests(address, lambda rows: self._cancel_rows(address, rows, ended))
        self._work.tick()

    def _cancel_rows(self, address: str, rows: list[EngineRequest] | None, ended: set[tuple[str, int]]) -> None:
        for row in rows or ():
            if (row.vm, row.incarnation) in ended:
                _log.warning("%s at %s is cancelled: VM %s has ended", row.request_id, address, row.vm)
                self._work.cancel(address, row.request_id, lambda _: None)
        self._work.tick()

    def tick(self) -> None:
        """Acts on the passing of time in all pools."""
        with self._lock:
            owners = list(self._owner_by_pool.values())
            runners = list(self._orders_by_pool.values())
        for owner in owners:
            owner.tick()
        for runner in runners:
            runner.tick()
        self._work.tick()

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
        """Takes the list of the tickets that a VM still holds, of all pools."""
        with self._lock:
            owners = list(self._owner_by_pool.values())
        for owner in owners:
            owner.renew(request)

    def announce(self, announcement: Any) -> bool:
        """Takes an announcement for those of its pools that this VM owns."""
        with self._lock:
            owners = [owner for name, owner in self._owner_by_pool.items() if name in announcement.pools]
        for owner in owners:
            owner.announce(announcement)
        return True

    def cache_events(self, events: Any) -> bool:
        """Takes changes of a runner's prefix cache; False asks the runner for its full list."""
        with self._lock:
            owners = list(self._owner_by_pool.values())
        answers = [owner.cache_events(events) for owner in owners if owner.knows(events.id)]
        return all(answers)

    def pool_status(self) -> list[Any]:
        """Returns the state of the pools that this VM owns."""
        with self._lock:
            owners = list(self._owner_by_pool.values())
        return [owner.status() for owner in owners]


def _submit(executor: ThreadPoolExecutor, function: Callable[[], None]) -> Future | None:
    try:
        return executor.submit(_logged, function)
    except RuntimeError:  # the directory is closed
        return None


def _logged(function: Callable[[], None]) -> None:
    try:
        function()
    except Exception:
        _log.exception("a call to an engine failed")
