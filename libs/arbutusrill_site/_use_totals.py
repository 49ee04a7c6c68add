"""Sums over the entry VMs of what they report about backend servers and services."""

from __future__ import annotations

from collections import Counter
from typing import Any

from arbutusrill_wire import messages

__all__ = ["UseTotals"]

_OBSERVED_FIELDS = ("sent", "answered", "failed", "refused", "errors", "worked", "work_s")
_MIN_SUM = 1e-9  # rounding errors of sums that are kept as they change


class UseTotals:
    """Sums of reported `BackendUse` messages by backend server and of `ServiceLoad` messages by plain service.

    Calls must not overlap.
    """

    __slots__ = ("_loads_by_vm", "_offered_by_service", "_totals_by_backend", "_uses_by_vm", "_waiting_by_service")

    def __init__(self) -> None:
        self._uses_by_vm: dict[str, list[Any]] = {}
        self._totals_by_backend: dict[str, Counter[str]] = {}
        self._loads_by_vm: dict[str, list[Any]] = {}
        self._offered_by_service: Counter[str] = Counter()
        self._waiting_by_service: Counter[str] = Counter()

    def clear(self) -> None:
        """Forgets all reports."""
        self._uses_by_vm.clear()
        self._totals_by_backend.clear()
        self._loads_by_vm.clear()
        self._offered_by_service.clear()
        self._waiting_by_service.clear()

    def replace(self, vm: str, uses: list[Any], loads: list[Any]) -> None:
        """Replaces the report of an entry VM about servers and services; an empty one forgets the VM."""
        for sign, counted in ((-1, self._uses_by_vm.pop(vm, ())), (1, uses)):
            for use in counted:
                self._add(sign, use)
        for sign, counted in ((-1, self._loads_by_vm.pop(vm, ())), (1, loads)):
            for load in counted:
                self._offered_by_service[load.name] += sign * load.offered
                self._waiting_by_service[load.name] += sign * load.waiting
                if not (self._offered_by_service[load.name] or self._waiting_by_service[load.name]):
                    del self._offered_by_service[load.name], self._waiting_by_service[load.name]
        if uses:
            self._uses_by_vm[vm] = uses
        if loads:
            self._loads_by_vm[vm] = loads

    def _add(self, sign: int, use: Any) -> None:
        totals = self._totals_by_backend.setdefault(use.id, Counter())
        totals["requests"] += sign * use.requests
        totals["tokens"] += sign * use.tokens
        if _observes(use):
            for name in _OBSERVED_FIELDS:
                totals[name] += sign * getattr(use, name)
            totals["observing_vms"] += sign
            totals["failing_vms"] += sign * _sees_failures(use)
        if not any(value > _MIN_SUM for value in totals.values()):
            del self._totals_by_backend[use.id]

    def of_others(self, vm: str) -> list[Any]:
        """Returns the sums by backend server over all entry VMs except `vm`."""
        own = {use.id: use for use in self._uses_by_vm.get(vm, ())}
        others = []
        for id_, totals in self._totals_by_backend.items():
            reported = own.get(id_)
            requests, tokens = totals["requests"], totals["tokens"]
            if reported is not None:
                requests, tokens = requests - reported.requests, tokens - reported.tokens
            # Engines, which are most of the servers, have no observations.
            observing_vms = totals["observing_vms"]
            if observing_vms and reported is not None:
                observing_vms -= _observes(reported)
            if not (requests or observing_vms):
                continue
            use = messages.BackendUse(id_, requests, tokens)
            if observing_vms:
                _add_observations(use, totals, reported)
            others.append(use)
        return others

    def loads_of_others(self, vm: str) -> list[Any]:
        """Returns the sums by plain service over all entry VMs except `vm`."""
        own = {load.name: load for load in self._loads_by_vm.get(vm, ())}
        others = []
        for name, offered in self._offered_by_service.items():
            load = messages.ServiceLoad(name, offered, self._waiting_by_service[name])
            if name in own:
                load.offered -= own[name].offered
                load.waiting -= own[name].waiting
            if load.offered or load.waiting:
                others.append(load)
        return others


def _add_observations(use: Any, totals: Counter[str], reported: Any | None) -> None:
    """Sets the observations of `use` to the sums without those that its receiver has `reported`."""
    for name in _OBSERVED_FIELDS:
        setattr(use, name, totals[name] - (getattr(reported, name) if reported is not None else 0))
    use.observing_vms = totals["observing_vms"] - (reported is not None and _observes(reported))
    use.failing_vms = totals["failing_vms"] - (reported is not None and _sees_failures(reported))


def _observes(use: Any) -> bool:
    return bool(use.sent or use.answered or use.failed or use.refused)


def _sees_failures(use: Any) -> bool:
    return bool(use.failed)
