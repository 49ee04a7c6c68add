"""Leases of entry VMs and the assignment of pools to them, on the control group's leader."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import Any

import xxhash
from arbutusrill_base import CLOCK_DRIFT_S, VM_LEASE_S, Clock

__all__ = ["VmLeases", "rendezvous"]


@dataclass(slots=True)
class _Lease:
    incarnation: int
    until: float
    revision: int
    ended: bool = False  # the VM is being declared dead, no renewal until that is in the log


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

    def renew(self, vm: str, incarnation: int, revision: int, asked_at: float) -> float:
        """Renews a lease and returns its length in seconds, counted by the VM from its request.

        `asked_at` is when the request arrived: counted from the answer, a VM that freezes during its long poll would
        keep its pools for the length of the poll longer.

        Returns 0 while the VM is being declared dead: it may act again only after it has registered anew, with
        its pools given to others.
        """
        with self._lock:
            lease = self._lease_by_vm.get(vm)
            if lease is not None and lease.incarnation == incarnation and lease.ended:
                return 0.0
            until = asked_at + VM_LEASE_S + CLOCK_DRIFT_S
            if lease is not None and lease.incarnation == incarnation:
                until = max(until, lease.until)
            self._lease_by_vm[vm] = _Lease(incarnation, until, revision)
        return VM_LEASE_S

    def end(self, vm: str, incarnation: int) -> bool:
        """Ends the lease of a VM for good if it has run out; returns whether the VM can be declared dead."""
        with self._lock:
            if self._alive(vm, incarnation):
                return False
            lease = self._lease_by_vm.get(vm)
            if lease is None or lease.incarnation == incarnation:
                self._lease_by_vm[vm] = _Lease(incarnation, float("-inf"), 0, ended=True)
            return True

    def forget(self, vm: str, incarnation: int) -> None:
        """Drops an ended lease once the log says that the VM is dead, so that it may register anew."""
        with self._lock:
            lease = self._lease_by_vm.get(vm)
            if lease is not None and lease.incarnation == incarnation and lease.ended:
                del self._lease_by_vm[vm]

    def alive(self, vm: str, incarnation: int) -> bool:
        """Says whether a VM's lease may still be running."""
        with self._lock:
            return self._alive(vm, incarnation)

    def _alive(self, vm: str, incarnation: int) -> bool:
        now = self._clock.monotonic()
        lease = self._lease_by_vm.get(vm)
        if lease is not None and lease.incarnation == incarnation and now < lease.until:
            return True
        return self._led_since is None or now < self._led_since + VM_LEASE_S + CLOCK_DRIFT_S

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
