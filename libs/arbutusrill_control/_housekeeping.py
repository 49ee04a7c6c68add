"""Periodic changes that the control group's leader proposes by itself."""

from __future__ import annotations

from typing import Any

from arbutusrill_base import Clock
from arbutusrill_state import FEATURE_LEVEL, SharedState
from arbutusrill_wire import messages

__all__ = ["Housekeeping"]

SWEEP_S = 10.0
FORGET_VM_S = 600.0  # long enough for operators to see in `status` that a VM has died
# Orders that read from the rate-limited weight store.
_WEIGHT_STORE_ACTIONS = ("load_model", "load_adapter", "load_version")


class Housekeeping:
    """Journal retention, dead VMs to forget and orders to release. Times are on the monotonic clock."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._swept_at = 0.0
        self._dead_since_by_vm: dict[tuple[str, int], float] = {}
        self._order_since_by_id: dict[str, float] = {}

    def begin_term(self) -> None:
        """Starts all times anew: those of an earlier leader are not known."""
        self._swept_at = self._clock.monotonic()
        self._dead_since_by_vm.clear()
        self._order_since_by_id.clear()

    def due(self, state: SharedState) -> list[Any]:
        """Returns the changes that are due now."""
        changes = []
        if state.config.revision == 0 and state.config.feature_level < FEATURE_LEVEL:
            # A new group has no replica of an older version; others are raised by an operator.
            changes.append(messages.SetFeatureLevel(FEATURE_LEVEL))
        changes += self._sweep(state)
        changes += self._forget_vms(state)
        changes += self._orders(state)
        return changes

    def _sweep(self, state: SharedState) -> list[Any]:
        now = self._clock.monotonic()
        if now - self._swept_at < SWEEP_S:
            return []
        elapsed_ms = int((now - self._swept_at) * 1000)
        self._swept_at = now
        return [messages.JournalSweep(0, elapsed_ms)] if state.journal.entries_by_key else []

    def _forget_vms(self, state: SharedState) -> list[Any]:
        now = self._clock.monotonic()
        dead = {(vm.id, vm.incarnation) for vm in list(state.config.vms_by_id.values()) if vm.state == "dead"}
        owners = {pool.owner for pool in list(state.config.pools_by_name.values())}
        self._dead_since_by_vm = {vm: self._dead_since_by_vm.get(vm, now) for vm in dead}
        if state.config.feature_level < 2:
            return []
        return [
            messages.ForgetVm(vm, incarnation)
            for (vm, incarnation), since in self._dead_since_by_vm.items()
            if now - since >= FORGET_VM_S and vm not in owners
        ]

    def _orders(self, state: SharedState) -> list[Any]:
        """Releases orders, those that load weights only while few others do, and ends those that take too long."""
        now = self._clock.monotonic()
        orders = list(state.config.orders_by_id.values())
        parallel = state.config.value("orders.parallel")
        timeout_s = state.config.value("orders.timeout_s")
        under_way = [order for order in orders if order.state in ("released", "running")]
        since_by_id = {}
        changes = []
        loads = 0
        for order in under_way:
            since_by_id[order.id] = self._order_since_by_id.get(order.id, now)
            if now - since_by_id[order.id] >= timeout_s:
                changes.append(_moved(order, "failed", f"not done within {timeout_s} s"))
            elif order.action in _WEIGHT_STORE_ACTIONS:
                loads += 1
        self._order_since_by_id = since_by_id
        for order in orders:
            if order.state != "requested":
                continue
            if order.action in _WEIGHT_STORE_ACTIONS:
                if loads >= parallel:
                    continue
                loads += 1
            changes.append(_moved(order, "released", ""))
        return changes


def _moved(order: Any, state: str, detail: str) -> Any:
    return messages.PutOrder(
        order.id, order.server, order.pool, order.action, order.argument_json, state, order.fencing, detail
    )
