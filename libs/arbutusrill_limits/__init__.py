"""Fleet-wide token rates of workspaces: the owner's buckets and the charges on entry VMs."""

from ._bucket import Bucket, GrantBoundError, Limits, WindowBound
from ._fleet import FleetBuckets, FleetMeter, SpendReport
from ._leases import Charge, TokenLeases
from ._owner import GrantOwner

__all__ = [
    "Bucket",
    "Charge",
    "FleetBuckets",
    "FleetMeter",
    "GrantBoundError",
    "GrantOwner",
    "Limits",
    "SpendReport",
    "TokenLeases",
    "WindowBound",
]
