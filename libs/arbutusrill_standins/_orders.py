"""Orders to an engine: load or unload a model, an adapter or a version, or change the role."""

from __future__ import annotations

import threading
import time
from typing import Any

__all__ = ["OrderBook"]

ACTIONS = ("load_model", "load_adapter", "load_version", "unload", "set_role")


class OrderBook:
    """What an engine serves, changed by orders. Safe to use from many threads.

    An order has an ``id``, an ``action``, an ``argument`` object and a ``fencing`` number. Repeating an order
    has no further effect. With `checks_fencing`, an order with a lower number than one seen before is refused.
    """

    def __init__(self, role: str, pools: list[str], checks_fencing: bool, load_s: float):
        self._lock = threading.Lock()
        self._role = role
        self._pools = list(pools)
        self._versions: list[str] = []
        self._checks_fencing = checks_fencing
        self._load_s = load_s
        self._highest_fencing = 0
        self._answer_by_id: dict[str, dict[str, Any]] = {}

    def state(self) -> tuple[str, list[str], list[str]]:
        """Returns the role, the pools and the versions and adapters loaded."""
        with self._lock:
            return self._role, list(self._pools), list(self._versions)

    def run(self, order: dict[str, Any]) -> tuple[dict[str, Any], int]:
        """Carries an order out; returns the answer and its HTTP status."""
        order_id, fencing = str(order.get("id", "")), int(order.get("fencing", 0))
        with self._lock:
            if self._checks_fencing and fencing < self._highest_fencing:
                return {"id": order_id, "state": "refused", "error": "stale_fencing"}, 409
            self._highest_fencing = max(self._highest_fencing, fencing)
            known = self._answer_by_id.get(order_id)
        if known is not None:
            return known, 200
        if order.get("action") not in ACTIONS:
            return {"id": order_id, "state": "refused", "error": "unknown_action"}, 400
        if order["action"].startswith("load"):
            time.sleep(self._load_s)
        with self._lock:
            self._apply(order["action"], order.get("argument") or {})
            answer = {"id": order_id, "state": "done", "fencing": fencing}
            self._answer_by_id[order_id] = answer
        return answer, 200

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
