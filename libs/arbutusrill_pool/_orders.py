"""Orders to the servers of a pool: load or unload something, or change the role."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from arbutusrill_base import CLOCK_DRIFT_S, VM_LEASE_S, Clock, PartLog
from arbutusrill_wire import messages

from ._engines import LONGEST_ORDER_S, EngineCalls, OrderAnswer

__all__ = ["OrderRunner", "OrderTarget"]

FENCING_SHIFT = 20  # a fencing number is the pool's epoch x 2^20 + a sequence number
TRIES = 10
OWNER_ACTIONS = ("drain", "resume")  # carried out by the owner itself, the server is not told
RETRY_S = 1.0
GIVEN_STATES = ("released", "running")  # the control group releases orders as far as the weight store allows
_log = PartLog("pool orders")


class OrderTarget(Protocol):
    """What an order's execution needs of the pool's owner."""

    def server_address(self, server_id: str) -> tuple[str, bool] | None:
        """Returns a server's address and whether it checks fencing numbers, or None while it is not heard."""

    def hold_for_order(self, server_id: str, held: bool) -> bool:
        """Keeps new work from a server while an order changes its role; returns whether it is empty."""

    def set_drained(self, server_ids: frozenset[str]) -> None:
        """Keeps new work from these servers, and from no others that were drained before."""


@dataclass(slots=True)
class _Order:
    record: Any
    argument: dict[str, Any]
    tries: int = 0
    due_at: float = 0.0
    running: bool = False
    result: tuple[str, str] | None = None  # final state and detail, once known
    reported: bool = False


class OrderRunner:
    """Carries out the orders of one pool, one at a time for each server, in the order of their records.

    `report` records a new state of an order (a `PutOrder`) in the configuration; it raises or returns False when it
    could not. An order keeps its id, by which the engine recognises a repetition; a new owner repeats those that are
    not finished with a higher fencing number. Owners before this one may have had an order under way when they lost
    their lease, so that servers that do not check fencing get none before that is over.
    """

    def __init__(
        self,
        epoch: int,
        clock: Clock,
        target: OrderTarget,
        calls: EngineCalls,
        report: Callable[[Any], bool],
        submit: Callable[[Callable[[], None]], Any],
        holds_lease: Callable[[], bool],
    ):
        self._epoch = epoch
        self._clock = clock
        self._target = target
        self._calls = calls
        self._report = report
        self._submit = submit
        self._holds_lease = holds_lease
        self._lock = threading.Lock()
        self._order_by_id: dict[str, _Order] = {}
        self._sequence = 0
        delay = VM_LEASE_S + CLOCK_DRIFT_S + LONGEST_ORDER_S if epoch > 1 else 0.0
        self._unfenced_from = clock.monotonic() + delay

    def reconcile(self, records: list[Any]) -> None:
        """Takes the orders of this pool from the configuration."""
        self._target.set_drained(_drained(records))
        with self._lock:
            open_ids = {record.id for record in records if record.state in GIVEN_STATES}
            for record in records:
                if record.id in open_ids and record.id not in self._order_by_id:
                    self._order_by_id[record.id] = self._new(record)
            for order_id in [known for known in self._order_by_id if known not in open_ids]:
                if not self._order_by_id[order_id].running:
                    del self._order_by_id[order_id]

    def _new(self, record: Any) -> _Order:
        try:
            argument = json.loads(record.argument_json or "{}")
        except ValueError:
            return _Order(record, {}, result=("failed", "the argument is not JSON"))
        return _Order(record, argument)

    def tick(self) -> None:
        """Starts the orders that are due."""
        if not self._holds_lease():
            return
        now = self._clock.monotonic()
        due: list[_Order] = []
        with self._lock:
            busy: set[str] = set()
            for order in self._order_by_id.values():
                server_id = order.record.server
                if server_id in busy or order.reported:
                    continue
                busy.add(server_id)
                if not order.running and now >= order.due_at and self._may_start(order, now):
                    order.running = True
                    due.append(order)
        for order in due:
            self._start(order)

    def _may_start(self, order: _Order, now: float) -> bool:
        if order.result is not None or order.record.action in OWNER_ACTIONS:
            return True
        found = self._target.server_address(order.record.server)
        if found is None:
            return False
        if order.record.action == "set_role" and not self._target.hold_for_order(order.record.server, True):
            return False
        return found[1] or now >= self._unfenced_from

    def _start(self, order: _Order) -> None:
        if order.tries == 0 and order.result is None:
            self._sequence += 1
            assert self._sequence < 1 << FENCING_SHIFT, "an owner has used up the fencing numbers of its epoch"
            record = order.record
            order.record = messages.PutOrder(
                record.id, record.server, record.pool, record.action, record.argument_json, "running"
            )
            order.record.fencing = (self._epoch << FENCING_SHIFT) + self._sequence
        if self._submit(lambda: self._run(order)) is None:
            order.running = False

    def _run(self, order: _Order) -> None:
        try:
            if order.result is None:
                self._send(order)
            if order.result is not None:
                order.reported = self._tell(order.record, *order.result)
        finally:
            with self._lock:
                order.running = False
                order.due_at = self._clock.monotonic() + RETRY_S

    def _send(self, order: _Order) -> None:
        record = order.record
        order.tries += 1
        if order.tries == 1:
            self._tell(record, "running", "")
        if record.action in OWNER_ACTIONS:
            order.result = ("done", "")
            return
        found = self._target.server_address(record.server)
        if found is None or not self._holds_lease():
            order.tries -= 1
            return
        body = {"id": record.id, "action": record.action, "argument": order.argument, "fencing": record.fencing}
        order.result = self._outcome(order, self._calls.order(found[0], body))
        if order.result is not None and record.action == "set_role":
            self._target.hold_for_order(record.server, False)

    def _outcome(self, order: _Order, answer: OrderAnswer) -> tuple[str, str] | None:
        if answer.status == 200:
            return "done", answer.detail
        if answer.status == 409:
            # A newer owner has given orders: this one is no longer to judge how the order ended.
            _log.warning("order %s was refused for its fencing number", order.record.id)
            return None
        if 400 <= answer.status < 500:
            return "failed", answer.detail
        if order.tries >= TRIES:
            return "failed", f"no usable answer in {TRIES} tries: {answer.detail or answer.status}"
        return None

    def _tell(self, record: Any, state: str, detail: str) -> bool:
        told = messages.PutOrder(record.id, record.server, record.pool, record.action, record.argument_json, state)
        told.fencing, told.detail = record.fencing, detail
        try:
            return bool(self._report(told))
        except Exception as error:
            _log.warning("state %s of order %s not recorded yet: %r", state, record.id, error)
            return False


def _drained(records: list[Any]) -> frozenset[str]:
    """Returns the servers whose last order to drain or resume, in the order of the records, is to drain."""
    last_by_server = {
        record.server: record.action
        for record in records
        if record.action in OWNER_ACTIONS and record.state in (*GIVEN_STATES, "done")
    }
    return frozenset(server for server, action in last_by_server.items() if action == "drain")
