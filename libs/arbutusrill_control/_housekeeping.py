"""Maintenance changes that the leader of the control group proposes periodically."""

from __future__ import annotations

from typing import Any

from arbutusrill_base import Clock
from arbutusrill_state import FEATURE_LEVEL, SharedState
from arbutusrill_wire import messages

__all__ = ["Housekeeping"]

JOURNAL_SWEEP_INTERVAL_S = 10.0
DEAD_VM_RETENTION_S = 600.0  # keeps a dead VM visible to operators in `status`
# Actions that download weights from the rate-limited weight store.
_WEIGHT_STORE_ACTIONS = ("load_model", "load_adapter", "load_version")


class Housekeeping:
    """Schedules journal sweeps, the removal of dead VMs and the progress of orders.

    The orders are those of operators to model servers; they are released, and fail after a timeout. Times are on the
    leader's monotonic clock.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._last_swept_at = 0.0
        self._dead_since_by_vm: dict[tuple[str, int], float] = {}
        self._active_since_by_order_id: dict[str, float] = {}

    def begin_term(self) -> None:
        """Restarts all timers when this VM becomes leader, since it does not know those of the previous leader."""
        self._last_swept_at = self._clock.monotonic()
        self._dead_since_by_vm.clear()
        self._active_since_by_order_id.clear()

    def due_changes(self, state: SharedState) -> list[Any]:
        """Returns the changes that are due now."""
        changes = []
        if state.config.revision == 0 and state.config.feature_level < FEATURE_LEVEL:
            # A new group has no replicas of older versions. In an existing group an operator raises the level.
            changes.append(messages.SetFeatureLevel(FEATURE_LEVEL))
        changes += self._sweep_journal(state)
        changes += self._remove_dead_vms(state)
        changes += self._advance_orders(state)
        return changes

    def _sweep_journal(self, state: SharedState) -> list[Any]:
        now = self._clock.monotonic()
        if now - self._last_swept_at < JOURNAL_SWEEP_INTERVAL_S:
            return []
        elapsed_ms = int((now - self._last_swept_at) * 1000)
        self._last_swept_at = now
        return [messages.JournalSweep(0, elapsed_ms)] if state.journal.entries_by_key else []

    def _remove_dead_vms(self, state: SharedState) -> list[Any]:
        now = self._clock.monotonic()
        dead = {(vm.id, vm.incarnation) for vm in list(state.config.vms_by_id.values()) if vm.state == "dead"}
        owners = {pool.owner for pool in list(state.config.pools_by_name.values())}
        self._dead_since_by_vm = {vm: self._dead_since_by_vm.get(vm, now) for vm in dead}
        if state.config.feature_level < 2:
            return []
        return [
            messages.ForgetVm(vm, incarnation)
            for (vm, incarnation), since in self._dead_since_by_vm.items()
            if now - since >= DEAD_VM_RETENTION_S and vm not in owners
        ]

    def _advance_orders(self, state: SharedState) -> list[Any]:
        """Returns the changes that release requested orders and fail those that timed out.

        They set requested orders to ``released`` and active ones older than ``orders.timeout_s`` to ``failed``. At
        most ``orders.parallel`` orders that load weights are active at once.
        """
        now = self._clock.monotonic()
        orders = list(state.config.orders_by_id.values())
        max_parallel_loads = state.config.value("orders.parallel")
        timeout_s = state.config.value("orders.timeout_s")
        active_orders = [order for order in orders if order.state in ("released", "running")]
        since_by_id = {}
        changes = []
        active_loads = 0
        for order in active_orders:
            since_by_id[order.id] = self._active_since_by_order_id.get(order.id, now)
            if now - since_by_id[order.id] >= timeout_s:
                changes.append(_with_state(order, "failed", f"not done within {timeout_s} s"))
            elif order.action in _WEIGHT_STORE_ACTIONS:
                active_loads += 1
        self._active_since_by_order_id = since_by_id
        for order in orders:
            if order.state != "requested":
                continue
            if order.action in _WEIGHT_STORE_ACTIONS:
                if active_loads >= max_parallel_loads:
                    continue
                active_loads += 1
            changes.append(_with_state(order, "released", ""))
        return changes


def _with_state(order: Any, state: str, detail: str) -> Any:
    """Returns the change that sets the state and the detail of an order."""
    return messages.PutOrder(
        order.id, order.server, order.pool, order.action, order.argument_json, state, order.fencing, detail
    )
