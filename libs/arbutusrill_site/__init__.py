"""Shared knowledge of a site: its configuration document, its backend servers and its entry VMs."""

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
from ._stages import EngineRegister, EngineWork, OrderAnswer, StageKeeper, StageOrders

__all__ = [
    "BackendRegistry",
    "ClientLimits",
    "ConfigurationError",
    "Engine",
    "EngineRegister",
    "EngineWork",
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
    "SiteService",
    "SiteView",
    "StageKeeper",
    "StageOrders",
    "Target",
    "Workspace",
    "is_newer",
]
