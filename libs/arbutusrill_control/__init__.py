"""Control role: the shared state's service, VM leases, pool assignment and the operators' interface."""

from ._leases import VmLeases, rendezvous
from ._operator import OperatorApp
from ._service import ControlService, SharedMachine

__all__ = ["ControlService", "OperatorApp", "SharedMachine", "VmLeases", "rendezvous"]
