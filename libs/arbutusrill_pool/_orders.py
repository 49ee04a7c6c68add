"""Execution of operators' orders to the servers of a pool, such as to load a model or to change the role."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from arbutusrill_base import CLOCK_DRIFT_S, VM_LEASE_S, Clock, PartLog
from arbutusrill_wire import messages

from ._engine_calls import ORDER_TIMEOUT_S, EngineClient, OrderAnswer

__all__ = ["OrderRunner", "OrderTarget"]

FENCING_SHIFT_BITS = 20  # fencing number = pool epoch x 2^20 + sequence number
MAX_TRIES = 10
OWNER_ACTIONS = ("drain", "resume")  # carried out by the pool's owner, not sent to the server
RETRY_INTERVAL_S = 1.0
ACTIVE_STATES = ("released", "running")  # the control group releases orders at the rate that the weight store can serve
_log = PartLog("pool orders")


class OrderTarget(Protocol):
    """Interface of the pool's owner to `OrderRunner`."""

    def server_address(self, server_id: str) -> tuple[str, bool] | None:
        """Returns a server's address and whether it checks fencing numbers, or None if the server is silent."""

    def hold_for_order(self, server_id: str, hold: bool) -> bool:
        """Stops (`hold`) or resumes new assignments to a server, so that an order can change its role.

        Returns whether the server has no requests.
        """

    def set_drained(self, server_ids: frozenset[str]) -> None:
        """Stops new assignments to exactly these servers; others drained before are resumed."""


@dataclass(slots=True)
class _Order:
    record: Any
    argument: dict[str, Any]
    tries: int = 0
    due_at: float = 0.0
    running: bool = False
    result: tuple[str, str] | None = None  # final state and detail
    reported: bool = False


class OrderRunner:
    """Carries out the orders of one pool, one at a time for each server, in the order of their records.

    `report` records a new state of an order (a `PutOrder`) in the configuration; it raises or returns False if that
    fails. `submit` runs a function in the background; it returns None if it rejects the function. Orders are retried
    under the same id, which engines use to deduplicate them; a new owner retries unfinished orders with a higher
    fencing number. An earlier owner may have had an order in flight when it lost its lease, so servers that do not
    check fencing numbers get no order until that one must have ended.
    """

    def __init__(
        self,
        epoch: int,
        clock: Clock,
        target: OrderTarget,
        client: EngineClient,
        report: Callable[[Any], bool],
        submit: Callable[[Callable[[], None]], Any],
        holds_lease: Callable[[], bool],
    ):
        self._epoch = epoch
        self._clock = clock
        self._target = target
        self._client = client
        self._report = report
        self._submit = submit
        self._holds_lease = holds_lease
        self._lock = threading.Lock()
        self._order_by_id: dict[str, _Order] = {}
        self._sequence = 0
        delay_s = VM_LEASE_S + CLOCK_DRIFT_S + ORDER_TIMEOUT_S if epoch > 1 else 0.0
        self._unfenced_allowed_at = clock.monotonic() + delay_s

    def reconcile(self, records: list[Any]) -> None:
        """Updates the drained servers and the active orders from the configuration."""
        self._target.set_drained(_drained_servers(records))
        with self._lock:
            active_ids = {record.id for record in records if record.state in ACTIVE_STATES}
            for record in records:
                if record.id in active_ids and record.id not in self._order_by_id:
                    self._order_by_id[record.id] = self._make_order(record)
            for order_id in [each for each in self._order_by_id if each not in active_ids]:
                if not self._order_by_id[order_id].running:
                    del self._order_by_id[order_id]

    def _make_order(self, record: Any) -> _Order:
        try:
            argument = json.loads(record.argument_json or "{}")
        except ValueError:
            return _Order(record, {}, result=("failed", "the argument is not JSON"))
        return _Order(record, argument)

    def tick(self) -> None:
        """Starts the orders that are due and not blocked."""
        if not self._holds_lease():
            return
        now = self._clock.monotonic()
        due: list[_Order] = []
        with self._lock:
            busy_servers: set[str] = set()
            for order in self._order_by_id.values():
                server_id = order.record.server
                if server_id in busy_servers or order.reported:
                    continue
                busy_servers.add(server_id)
                if not order.running and now >= order.due_at and self._may_start(order, now):
                    order.running = True
                    due.append(order)
        for order in due:
            self._start(order)

    def _may_start(self, order: _Order, now: float) -> bool:
        if order.result is not None or order.record.action in OWNER_ACTIONS:
            return True
        address_info = self._target.server_address(order.record.server)
        if address_info is None:
            return False
        if order.record.action == "set_role" and not self._target.hold_for_order(order.record.server, True):
            return False
        return address_info[1] or now >= self._unfenced_allowed_at

    def _start(self, order: _Order) -> None:
        if order.tries == 0 and order.result is None:
            self._sequence += 1
            assert self._sequence < 1 << FENCING_SHIFT_BITS, "the fencing sequence numbers of this epoch are exhausted"
            record = order.record
            order.record = messages.PutOrder(
                record.id, record.server, record.pool, record.action, record.argument_json, "running"
            )
            order.record.fencing = (self._epoch << FENCING_SHIFT_BITS) + self._sequence
        if self._submit(lambda: self._run(order)) is None:
            order.running = False

    def _run(self, order: _Order) -> None:
        try:
            if order.result is None:
                self._send(order)
            if order.result is not None:
                order.reported = self._report_state(order.record, *order.result)
        finally:
            with self._lock:
                order.running = False
                order.due_at = self._clock.monotonic() + RETRY_INTERVAL_S

    def _send(self, order: _Order) -> None:
        record = order.record
        order.tries += 1
        if order.tries == 1:
            self._report_state(record, "running", "")
        if record.action in OWNER_ACTIONS:
            order.result = ("done", "")
            return
        address_info = self._target.server_address(record.server)
        if address_info is None or not self._holds_lease():
            order.tries -= 1  # nothing was sent
            return
        body = {"id": record.id, "action": record.action, "argument": order.argument, "fencing": record.fencing}
        order.result = self._outcome(order, self._client.order(address_info[0], body))
        if order.result is not None and record.action == "set_role":
            self._target.hold_for_order(record.server, False)

    def _outcome(self, order: _Order, answer: OrderAnswer) -> tuple[str, str] | None:
        if answer.status == 200:
            return "done", answer.detail
        if answer.status == 409:
            # A newer owner has sent orders: only it may decide the outcome.
            _log.warning("order %s rejected by its server: the fencing number is stale", order.record.id)
            return None
        if 400 <= answer.status < 500:
            return "failed", answer.detail
        if order.tries >= MAX_TRIES:
            return "failed", f"no usable answer in {MAX_TRIES} tries: {answer.detail or answer.status}"
        return None

    def _report_state(self, record: Any, state: str, detail: str) -> bool:
        update = messages.PutOrder(record.id, record.server, record.pool, record.action, record.argument_json, state)
        update.fencing, update.detail = record.fencing, detail
        try:
            return bool(self._report(update))
        except Exception as error:
            _log.warning("could not record state %s of order %s: %r", state, record.id, error)
            return False


def _drained_servers(records: list[Any]) -> frozenset[str]:
    """Returns the servers whose last drain or resume order, by the order of the records, is a drain."""
    last_by_server = {
        record.server: record.action
        for record in records
        if record.action in OWNER_ACTIONS and record.state in (*ACTIVE_STATES, "done")
    }
    return frozenset(server for server, action in last_by_server.items() if action == "drain")
