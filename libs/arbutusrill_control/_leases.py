"""Leases of entry VMs and the assignment of pools to them, on the control group's leader."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import Any

import xxhash
from arbutusrill_base import Clock, PartLog

__all__ = ["VM_LEASE_S", "VmLeases", "rendezvous"]

VM_LEASE_S = 1.5
DRIFT_S = 0.2  # added by the granting side to cover clock drift between VMs
_log = PartLog("leases")


@dataclass(slots=True)
class _Lease:
    incarnation: int
    until: float
    revision: int


class VmLeases:
    """Remembers until when each entry VM may act as an owner. Times are on the monotonic clock."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._lease_by_vm: dict[str, _Lease] = {}
        self._led_since: float | None = None

    def begin_term(self) -> None:
        """Starts the wait of a new leader, which does not know the leases that the old one has given."""
        with self._lock:
            self._led_since = self._clock.monotonic()
            self._lease_by_vm.clear()

    def renew(self, vm: str, incarnation: int, revision: int) -> float:
        """Renews a lease and returns its length in seconds, counted by the VM from its request."""
        with self._lock:
            self._lease_by_vm[vm] = _Lease(incarnation, self._clock.monotonic() + VM_LEASE_S + DRIFT_S, revision)
        return VM_LEASE_S

    def alive(self, vm: str, incarnation: int) -> bool:
        """Says whether a VM's lease may still be running."""
        now = self._clock.monotonic()
        with self._lock:
            lease = self._lease_by_vm.get(vm)
            if lease is not None and lease.incarnation == incarnation and now < lease.until:
                return True
            return self._led_since is None or now < self._led_since + VM_LEASE_S + DRIFT_S

    def revision_by_vm(self) -> dict[str, int]:
        """Returns the revision that each VM with a running lease had applied at its last poll."""
        now = self._clock.monotonic()
        with self._lock:
            return {vm: lease.revision for vm, lease in self._lease_by_vm.items() if now < lease.until}


def rendezvous(name: str, vms: list[Any]) -> Any | None:
    """Returns the VM with the highest hash for `name`, or None without any.

    A VM that joins or leaves moves only the names that it wins or had won.
    """
    return max(vms, key=lambda vm: xxhash.xxh64_intdigest(f"{name}/{vm.id}".encode()), default=None)
