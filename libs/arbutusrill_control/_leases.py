"""Leases of entry VMs, tracked by the leader of the control group, and the choice of a VM for a pool."""

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
    expires_at: float  # includes the clock drift, so never earlier than the VM assumes
    revision: int  # that the VM had applied at its last poll
    renewal_blocked: bool = False  # until the VM's state "dead" is committed


class VmLeases:
    """Tracks when the lease expires under which an entry VM may own pools. Times are on the monotonic clock."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._lease_by_vm: dict[str, _Lease] = {}
        self._term_started_at: float | None = None

    def begin_term(self) -> None:
        """Drops all leases when this VM becomes leader.

        The previous leader's leases are unknown, so every VM counts as holding one until `VM_LEASE_S` +
        `CLOCK_DRIFT_S` after this call.
        """
        with self._lock:
            self._term_started_at = self._clock.monotonic()
            self._lease_by_vm.clear()

    def renew(self, vm: str, incarnation: int, revision: int, received_at: float) -> float:
        """Renews a lease and returns its duration in seconds, which the VM counts from sending its request.

        The lease runs from `received_at`, when the request arrived. If it ran from the response, the pools of a VM
        that freezes during its long poll would be reassigned later, by the duration of the poll.

        Returns 0 while the VM is being declared dead: it gets a lease again only after it has registered again,
        when its pools have been reassigned.
        """
        with self._lock:
            lease = self._lease_by_vm.get(vm)
            if lease is not None and lease.incarnation == incarnation and lease.renewal_blocked:
                return 0.0
            expires_at = received_at + VM_LEASE_S + CLOCK_DRIFT_S
            if lease is not None and lease.incarnation == incarnation:
                expires_at = max(expires_at, lease.expires_at)
            self._lease_by_vm[vm] = _Lease(incarnation, expires_at, revision)
        return VM_LEASE_S

    def block_renewal_if_expired(self, vm: str, incarnation: int) -> bool:
        """Blocks renewal of an expired lease and returns True, so that the VM can be declared dead; else False."""
        with self._lock:
            if self._may_be_valid(vm, incarnation):
                return False
            lease = self._lease_by_vm.get(vm)
            if lease is None or lease.incarnation == incarnation:
                self._lease_by_vm[vm] = _Lease(incarnation, float("-inf"), 0, renewal_blocked=True)
            return True

    def drop_blocked(self, vm: str, incarnation: int) -> None:
        """Removes a blocked lease once the VM's state "dead" is committed, so that the VM can register again."""
        with self._lock:
            lease = self._lease_by_vm.get(vm)
            if lease is not None and lease.incarnation == incarnation and lease.renewal_blocked:
                del self._lease_by_vm[vm]

    def may_be_valid(self, vm: str, incarnation: int) -> bool:
        """Returns whether a VM may still hold a valid lease, from this leader or the previous one."""
        with self._lock:
            return self._may_be_valid(vm, incarnation)

    def _may_be_valid(self, vm: str, incarnation: int) -> bool:
        now = self._clock.monotonic()
        lease = self._lease_by_vm.get(vm)
        if lease is not None and lease.incarnation == incarnation and now < lease.expires_at:
            return True
        return self._term_started_at is None or now < self._term_started_at + VM_LEASE_S + CLOCK_DRIFT_S

    def revision_by_vm(self) -> dict[str, int]:
        """Returns the revision that each VM with a valid lease had applied at its last poll."""
        now = self._clock.monotonic()
        with self._lock:
            return {vm: lease.revision for vm, lease in self._lease_by_vm.items() if now < lease.expires_at}


def rendezvous(name: str, vms: list[Any]) -> Any | None:
    """Selects a VM for `name` by rendezvous hashing; returns None if `vms` is empty.

    When a VM joins or leaves, only the names that are assigned to it move.
    """
    return max(vms, key=lambda vm: xxhash.xxh64_intdigest(f"{name}/{vm.id}".encode()), default=None)
