"""Control role: the shared state's service, VM leases, pool assignment and the operators' interface."""

from ._leases import VM_LEASE_S, VmLeases, rendezvous
from ._operator import OperatorApp
from ._service import ControlService, SharedMachine

__all__ = ["VM_LEASE_S", "ControlService", "OperatorApp", "SharedMachine", "VmLeases", "rendezvous"]
