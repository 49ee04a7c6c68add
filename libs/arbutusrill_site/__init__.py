"""Shared state of a site: its configuration, backend servers and entry VMs, and the allocation of model engines.

`SiteMetrics` is imported on first use, so that the imports of a starting control VM do not delay the election.
"""

from __future__ import annotations

from typing import Any

from ._backends import BackendRegistry, is_newer
from ._configuration import (
    ClientLimits,
    ConfigurationError,
    Engine,
    Route,
    RouteKind,
    Service,
    SiteConfiguration,
    Target,
    Workspace,
)
from ._directory import EntryDirectory
from ._entries import EntryRegistry
from ._follower import SiteFollower, SiteView
from ._membership import GroupKeeper, Joiner
from ._places import PlaceLedger
from ._rates import LeaderRates
from ._service import SiteLimits, SiteService
from ._stages import EngineRegistry, EngineStatistics, OrderAnswer, StageKeeper, StageOrders

__all__ = [  # noqa: F822
    "BackendRegistry",
    "ClientLimits",
    "ConfigurationError",
    "Engine",
    "EngineRegistry",
    "EngineStatistics",
    "EntryDirectory",
    "EntryRegistry",
    "GroupKeeper",
    "Joiner",
    "LeaderRates",
    "OrderAnswer",
    "PlaceLedger",
    "Route",
    "RouteKind",
    "Service",
    "SiteConfiguration",
    "SiteFollower",
    "SiteLimits",
    "SiteMetrics",
    "SiteService",
    "SiteView",
    "StageKeeper",
    "StageOrders",
    "Target",
    "Workspace",
    "is_newer",
]


def __getattr__(name: str) -> Any:
    if name != "SiteMetrics":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from ._metrics import SiteMetrics

    return SiteMetrics
