"""Raft consensus: the replicated log of the control group."""

from ._files import DiskFolder, Folder
from ._log import LocalLog, LogStatus, LogUnavailableError, NotLeaderError, ReplicatedLog, StateMachine
from ._membership import MembershipError, address_of
from ._replica import MemberStatus, Replica
from ._storage import StorageError
from ._timing import Bounds, Timing
from ._transport import RpcTransport, Transport

__all__ = [
    "Bounds",
    "DiskFolder",
    "Folder",
    "LocalLog",
    "LogStatus",
    "LogUnavailableError",
    "MemberStatus",
    "MembershipError",
    "NotLeaderError",
    "Replica",
    "ReplicatedLog",
    "RpcTransport",
    "StateMachine",
    "StorageError",
    "Timing",
    "Transport",
    "address_of",
]
