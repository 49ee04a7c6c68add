"""Execution of orders: load or unload a model, adapter or version, or change the engine's role."""

from __future__ import annotations

import threading
import time
from typing import Any

__all__ = ["OrderExecutor"]

ACTIONS = ("load_model", "load_adapter", "load_version", "unload", "set_role")


class OrderExecutor:
    """Executes orders and holds the resulting role, pools and versions. Thread-safe.

    An order has an ``id``, an ``action``, an ``argument`` object and a ``fencing`` number. Orders are idempotent
    by ``id``. With `checks_fencing`, an order whose fencing number is lower than the highest received is refused.
    """

    def __init__(self, role: str, pools: list[str], checks_fencing: bool, load_duration_s: float):
        self._lock = threading.Lock()
        self._role = role
        self._pools = list(pools)
        self._versions: list[str] = []
        self._checks_fencing = checks_fencing
        self._load_duration_s = load_duration_s
        self._highest_fencing = 0
        self._response_by_id: dict[str, dict[str, Any]] = {}

    def serving_state(self) -> tuple[str, list[str], list[str]]:
        """Returns the role, the pools served, and the loaded versions and adapters."""
        with self._lock:
            return self._role, list(self._pools), list(self._versions)

    def execute(self, order: dict[str, Any]) -> tuple[dict[str, Any], int]:
        """Executes an order and returns the response object and the HTTP status; a repeat gets the first response."""
        order_id, fencing = str(order.get("id", "")), int(order.get("fencing", 0))
        with self._lock:
            if self._checks_fencing and fencing < self._highest_fencing:
                return {"id": order_id, "state": "refused", "error": "stale_fencing"}, 409
            self._highest_fencing = max(self._highest_fencing, fencing)
            previous_response = self._response_by_id.get(order_id)
        if previous_response is not None:
            return previous_response, 200
        if order.get("action") not in ACTIONS:
            return {"id": order_id, "state": "refused", "error": "unknown_action"}, 400
        if order["action"].startswith("load"):
            time.sleep(self._load_duration_s)
        with self._lock:
            self._apply(order["action"], order.get("argument") or {})
            response = {"id": order_id, "state": "done", "fencing": fencing}
            self._response_by_id[order_id] = response
        return response, 200

    def _apply(self, action: str, argument: dict[str, Any]) -> None:
        name = str(argument.get("name", ""))
        if action == "set_role":
            self._role = str(argument.get("role", self._role))
        elif action == "load_model" and name not in self._pools:
            self._pools.append(name)
        elif action in ("load_adapter", "load_version") and name not in self._versions:
            self._versions.append(name)
        elif action == "unload":
            self._pools = [pool for pool in self._pools if pool != name]
            self._versions = [version for version in self._versions if version != name]
