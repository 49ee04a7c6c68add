"""Times of the leases between VMs, which the granting and the acting side must agree on."""

__all__ = ["CLOCK_DRIFT_S", "VM_LEASE_S"]

VM_LEASE_S = 1.2  # with drift, tick and cancellation, a frozen VM's slots are free within 2 s
CLOCK_DRIFT_S = 0.2  # added by the granting side to cover the drift between the monotonic clocks of two VMs
