"""The replicated configuration as a deterministic state machine with a revision number."""

from __future__ import annotations

import json
import threading
from collections import OrderedDict
from typing import Any

from arbutusrill_wire import messages

from ._checks import ENDED_ORDER_STATES, MAX_ORDERS, RejectedError, check_change, check_envelope, check_order
from ._commands import change_of
from ._defaults import DEFAULT_SPEC_BY_NAME, MAX_NUMBER, SCOPE_KINDS, parse_value

__all__ = ["ConfigState"]

_MAX_FIRST_OUTCOMES = 10_000  # five days at the target of 2,000 changes per day


class ConfigState:
    """State machine of defaults, exceptions, workspaces, keys, services, VMs, pools and orders.

    An exception overrides a default in one scope; an order is an action for a server, such as loading a model.

    The same commands in the same order give the same state on every replica, because nothing here reads a clock or
    uses random numbers. Readers on other threads see each change atomically.
    """

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self._clear()

    def _clear(self) -> None:
        self.revision = 0
        self.feature_level = 1
        # Latest `at_ms` of the accepted changes; keeps the times of orders from decreasing.
        self.clock_ms = 0
        self.defaults_by_name: dict[str, str] = {}
        self.exceptions_by_id: dict[str, Any] = {}
        # Exception IDs by (default, scope kind, scope name); the inner dict is a set in order of addition.
        self._exception_ids_by_scope: dict[tuple[str, str, str], dict[str, None]] = {}
        self.workspaces_by_name: dict[str, Any] = {}
        self.keys_by_hash: dict[str, Any] = {}
        self.services_by_name: dict[str, Any] = {}
        self.vms_by_id: dict[str, Any] = {}
        self.pools_by_name: dict[str, Any] = {}
        self.orders_by_id: dict[str, Any] = {}
        self.first_outcomes_by_request_id: OrderedDict[str, Any] = OrderedDict()

    def apply(self, command: Any) -> Any:
        """Applies a `Command` and returns its `Outcome`.

        A command with a known request ID is not applied again and gets its first outcome.
        """
        problem = check_envelope(command)
        if problem is not None:
            return messages.Outcome(False, self.revision, "bad_command", problem)
        with self.lock:
            first_outcome = self.first_outcomes_by_request_id.get(command.request_id)
            if first_outcome is not None:
                return first_outcome
            outcome = self._apply_new(command)
            self.first_outcomes_by_request_id[command.request_id] = outcome
            while len(self.first_outcomes_by_request_id) > _MAX_FIRST_OUTCOMES:
                self.first_outcomes_by_request_id.popitem(last=False)
            return outcome

    def _apply_new(self, command: Any) -> Any:
        if command.if_revision >= 0 and command.if_revision != self.revision:
            message = f"the revision is {self.revision}, not {command.if_revision}; read it again and decide anew"
            return messages.Outcome(False, self.revision, "revision_conflict", message)
        kind, change = change_of(command)
        try:
            check_change(kind, change, self.feature_level)
            getattr(self, f"_{kind}")(change, command)
        except RejectedError as rejected:
            return messages.Outcome(False, self.revision, rejected.code, str(rejected))
        self.clock_ms = max(self.clock_ms, command.at_ms)
        self.revision += 1
        detail = change.key_id.encode() if kind == "issue_key" else None
        return messages.Outcome(True, self.revision, detail=detail)

    def _set_default(self, change: Any, _: Any) -> None:
        result = parse_value(change.name, change.value_json)
        if result.is_error():
            raise RejectedError("bad_value", result.error)
        self.defaults_by_name[change.name] = change.value_json

    def _unset_default(self, change: Any, _: Any) -> None:
        if change.name not in DEFAULT_SPEC_BY_NAME:
            raise RejectedError("not_found", f"unknown default {change.name!r}")
        self.defaults_by_name.pop(change.name, None)

    def _add_exception(self, change: Any, command: Any) -> None:
        result = parse_value(change.default_name, change.value_json)
        if result.is_error():
            raise RejectedError("bad_value", result.error)
        if change.scope_kind not in SCOPE_KINDS or not change.scope_name:
            raise RejectedError("bad_value", f"the scope must be one of {', '.join(SCOPE_KINDS)} and a name")
        if change.id in self.exceptions_by_id:
            raise RejectedError("conflict", f"exception {change.id} exists")
        record = messages.ExceptionRecord(
            change.id,
            change.default_name,
            change.scope_kind,
            change.scope_name,
            change.value_json,
            change.reason,
            command.actor,
            command.at_ms,
        )
        self._store_exception(record)

    def _store_exception(self, record: Any) -> None:
        self.exceptions_by_id[record.id] = record
        scope = (record.default_name, record.scope_kind, record.scope_name)
        self._exception_ids_by_scope.setdefault(scope, {})[record.id] = None

    def _remove_exception(self, change: Any, _: Any) -> None:
        record = self.exceptions_by_id.pop(change.id, None)
        if record is None:
            raise RejectedError("not_found", f"no exception {change.id}")
        scope = (record.default_name, record.scope_kind, record.scope_name)
        self._exception_ids_by_scope[scope].pop(record.id)
        if not self._exception_ids_by_scope[scope]:
            del self._exception_ids_by_scope[scope]

    def _put_workspace(self, change: Any, _: Any) -> None:
        for field, minimum in (("rate", 0.001), ("burst", 1.0)):
            value = getattr(change, field)
            if value != 0 and not minimum <= value <= MAX_NUMBER:
                raise RejectedError("bad_value", f"{field} must be from {minimum:g} to 1e15, or 0 for the default")
        if not 1e-3 <= change.weight <= 1e6:
            raise RejectedError("bad_value", "weight must be from 0.001 to 1e6")
        self.workspaces_by_name[change.name] = change

    def _remove_workspace(self, change: Any, _: Any) -> None:
        if self.workspaces_by_name.pop(change.name, None) is None:
            raise RejectedError("not_found", f"no workspace {change.name}")

    def _issue_key(self, change: Any, command: Any) -> None:
        if change.workspace not in self.workspaces_by_name:
            raise RejectedError("not_found", f"no workspace {change.workspace}")
        if change.key_hash in self.keys_by_hash or self._key_by_id(change.key_id) is not None:
            raise RejectedError("conflict", f"key {change.key_id} exists")
        self.keys_by_hash[change.key_hash] = messages.KeyRecord(
            change.key_id, change.key_hash, change.workspace, command.at_ms
        )

    def _withdraw_key(self, change: Any, command: Any) -> None:
        record = self._key_by_id(change.key_id)
        if record is None:
            raise RejectedError("not_found", f"no key {change.key_id}")
        if record.withdrawn_ms == 0:
            self.keys_by_hash[record.key_hash] = messages.KeyRecord(
                record.key_id, record.key_hash, record.workspace, record.issued_ms, max(1, command.at_ms)
            )

    def _put_service(self, change: Any, _: Any) -> None:
        self.services_by_name[change.name] = change

    def _remove_service(self, change: Any, _: Any) -> None:
        if self.services_by_name.pop(change.name, None) is None:
            raise RejectedError("not_found", f"no service {change.name}")

    def _put_vm(self, change: Any, _: Any) -> None:
        if change.state not in ("live", "draining", "dead"):
            raise RejectedError("bad_value", f"unknown VM state {change.state!r}")
        self.vms_by_id[change.id] = change

    def _assign_pool(self, change: Any, _: Any) -> None:
        current = self.pools_by_name.get(change.name)
        if current is not None and change.epoch != current.epoch + 1:
            raise RejectedError("conflict", f"pool {change.name} is at epoch {current.epoch}")
        if current is None and change.epoch != 1:
            raise RejectedError("conflict", f"pool {change.name} starts at epoch 1")
        self.pools_by_name[change.name] = change

    def _release_pool(self, change: Any, _: Any) -> None:
        current = self.pools_by_name.get(change.name)
        if current is None or current.owner != change.owner or current.epoch != change.epoch:
            raise RejectedError(
                "conflict", f"pool {change.name} is not owned by {change.owner} at epoch {change.epoch}"
            )
        self.pools_by_name[change.name] = messages.AssignPool(change.name, current.kind, "", 0, current.epoch + 1)

    def _forget_vm(self, change: Any, _: Any) -> None:
        recorded = self.vms_by_id.get(change.id)
        if recorded is None or recorded.state != "dead" or recorded.incarnation != change.incarnation:
            raise RejectedError("conflict", f"VM {change.id} is not dead or runs again")
        del self.vms_by_id[change.id]

    def _put_order(self, change: Any, command: Any) -> None:
        check_order(self.orders_by_id.get(change.id), change)
        if change.id not in self.orders_by_id and len(self.orders_by_id) >= MAX_ORDERS:
            dropped_id = next((id_ for id_, order in self.orders_by_id.items() if self._is_droppable(order)), None)
            if dropped_id is None:
                raise RejectedError("too_many", f"{MAX_ORDERS} orders are under way")
            del self.orders_by_id[dropped_id]
        # Kept in order of the last change, so that orders that ended first are dropped first.
        self.orders_by_id.pop(change.id, None)
        fields = {name: value for name, value in vars(change).items() if name != "at_ms"}
        self.orders_by_id[change.id] = messages.PutOrder(**fields, at_ms=max(self.clock_ms, command.at_ms))

    def _is_droppable(self, order: Any) -> bool:
        """Returns whether an order can be dropped: it has ended and does not keep a server drained."""
        if order.state not in ENDED_ORDER_STATES:
            return False
        if order.action != "drain" or order.state != "done":
            return True
        return any(
            other.action == "resume"
            and other.server == order.server
            and other.pool == order.pool
            and other.state == "done"
            for other in self.orders_by_id.values()
        )

    def _set_feature_level(self, change: Any, _: Any) -> None:
        if change.level < self.feature_level:
            raise RejectedError("bad_value", f"the feature level is {self.feature_level} and never goes back")
        self.feature_level = change.level

    def _key_by_id(self, key_id: str) -> Any | None:
        return next((record for record in self.keys_by_hash.values() if record.key_id == key_id), None)

    def workspace_of_key(self, key_hash: str) -> str | None:
        """Returns the workspace to which a key gives access, or None for an unknown or withdrawn key."""
        with self.lock:
            record = self.keys_by_hash.get(key_hash)
            if record is None or record.withdrawn_ms or record.workspace not in self.workspaces_by_name:
                return None
            return record.workspace

    def exception_for(self, name: str, **scope: str) -> Any | None:
        """Returns the exception record that overrides the default `name` in a scope, or None.

        Scope kinds take precedence in the order of `SCOPE_KINDS`; within one scope, the latest exception does.
        """
        with self.lock:
            for kind in SCOPE_KINDS:
                ids = self._exception_ids_by_scope.get((name, kind, scope.get(kind, "")))
                if ids:
                    return self.exceptions_by_id[next(reversed(ids))]
        return None

    def value(self, name: str, **scope: str) -> Any:
        """Returns the effective value of a default in a scope such as ``workspace="a", model="m"``."""
        with self.lock:
            record = self.exception_for(name, **scope)
            text = record.value_json if record is not None else self.defaults_by_name.get(name)
        spec = DEFAULT_SPEC_BY_NAME[name]
        return spec.initial if text is None else spec.kind(json.loads(text))

    def limits_of(self, workspace: str) -> tuple[float, float] | None:
        """Returns rate (tokens/s) and burst (tokens) of a workspace, or None if it is unknown.

        An exception for the workspace overrides the workspace's own values; an own value of 0 means the default.
        """
        with self.lock:
            record = self.workspaces_by_name.get(workspace)
            if record is None:
                return None
            values = []
            for name, own in (("limits.rate", record.rate), ("limits.burst", record.burst)):
                has_exception = self.exception_for(name, workspace=workspace) is not None
                values.append(own if own > 0 and not has_exception else self.value(name, workspace=workspace))
            return values[0], values[1]

    def share_weight(self, workspace: str) -> float:
        """Returns a workspace's weight in fair sharing: its configured weight times its rate in tokens/s.

        Without the rate, workspaces within their rates would get equal shares at a peak however different the rates
        are, and the largest workspace would be refused most. An unknown workspace has the default rate as its weight.
        """
        with self.lock:
            limits = self.limits_of(workspace)
            if limits is None:
                return self.value("limits.rate")
            return self.workspaces_by_name[workspace].weight * limits[0]

    def snapshot(self, with_first_answers: bool = True) -> Any:
        """Returns the state as a `ConfigSnapshot`."""
        with self.lock:
            answers = []
            if with_first_answers:
                answers = [messages.FirstAnswer(key, value) for key, value in self.first_outcomes_by_request_id.items()]
            return messages.ConfigSnapshot(
                self.revision,
                dict(self.defaults_by_name),
                list(self.exceptions_by_id.values()),
                list(self.workspaces_by_name.values()),
                list(self.keys_by_hash.values()),
                list(self.services_by_name.values()),
                list(self.vms_by_id.values()),
                list(self.pools_by_name.values()),
                list(self.orders_by_id.values()),
                self.feature_level,
                answers,
                self.clock_ms,
            )

    def restore(self, snapshot: Any) -> None:
        """Replaces the state by a snapshot."""
        with self.lock:
            self._clear()
            self.revision = snapshot.revision
            self.feature_level = snapshot.feature_level
            self.clock_ms = snapshot.clock_ms
            self.defaults_by_name.update(snapshot.defaults or {})
            for record in snapshot.exceptions:
                self._store_exception(record)
            self.workspaces_by_name.update((record.name, record) for record in snapshot.workspaces)
            self.keys_by_hash.update((record.key_hash, record) for record in snapshot.keys)
            self.services_by_name.update((record.name, record) for record in snapshot.services)
            self.vms_by_id.update((record.id, record) for record in snapshot.vms)
            self.pools_by_name.update((record.name, record) for record in snapshot.pools)
            self.orders_by_id.update((record.id, record) for record in snapshot.orders)
            self.first_outcomes_by_request_id.update(
                (answer.request_id, answer.outcome) for answer in snapshot.first_answers
            )
