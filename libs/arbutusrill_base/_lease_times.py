"""Lease durations that the granting and the holding VM must agree on."""

__all__ = ["CLOCK_DRIFT_S", "VM_LEASE_S"]

VM_LEASE_S = 1.2  # frees the slots of a frozen VM within 2 s, with clock drift, tick and cancellation included
CLOCK_DRIFT_S = 0.2  # added by the granting VM for drift between the monotonic clocks of the two VMs
