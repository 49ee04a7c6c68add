"""Fleet-wide rate limiting of workspaces with token buckets, token grants and charges on entry VMs."""

from ._bucket import Bucket, GrantBoundError, Limits, WindowBound
from ._fleet_buckets import FleetBuckets, FleetLevels, SpendReport
from ._fleet_rate_limiter import FleetRateLimiter, RateAuthority, RateAuthorityUnavailableError, RateDecision
from ._leases import Charge, TokenLeases
from ._owner import GrantOwner

__all__ = [
    "Bucket",
    "Charge",
    "FleetBuckets",
    "FleetLevels",
    "FleetRateLimiter",
    "GrantBoundError",
    "GrantOwner",
    "Limits",
    "RateAuthority",
    "RateAuthorityUnavailableError",
    "RateDecision",
    "SpendReport",
    "TokenLeases",
    "WindowBound",
]
