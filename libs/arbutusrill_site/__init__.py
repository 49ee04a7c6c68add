"""Shared state of a site: its configuration, backend servers and entry VMs, and the allocation of model engines.

`SiteMetrics` and the check of a document are imported on first use, so that the imports of a starting control VM do not
delay the election.
"""

from __future__ import annotations

import importlib
from typing import Any

from ._announcement_fields import (
    AnnouncementError,
    announced_address,
    announced_number,
    announced_text,
    backend_id,
)
from ._backends import BackendRegistry, is_newer
from ._cold_limits import ColdRules, ColdServers, LocalLimit
from ._configuration import (
    ClientLimits,
    ConfigurationError,
    Engine,
    HostRoutes,
    Route,
    RouteKind,
    Service,
    SiteConfiguration,
    Target,
    Workspace,
)
from ._configuration_decoder import ConfigurationDecoder, ConfigurationFormat
from ._departure_writer import DepartureWriter
from ._directory import EntryDirectory
from ._document_fields import (
    MAX_DURATION_S,
    duration_field_s,
    flag_field,
    integer_field,
    number_field,
    require,
    text_field,
    texts_field,
)
from ._document_writer import DocumentWriter
from ._entries import EntryRegistry
from ._evacuation_writer import EvacuationWriter
from ._follower import FleetReport, SiteFollower, SiteView
from ._membership import GroupJoinClient, MembershipManager, leave_in_time
from ._placement import PlacementScheduler
from ._places import PlaceLedger
from ._prompt_bars import BarredSet, PromptBars
from ._prompt_suspects import PromptSuspects
from ._rates import LeaderRateAuthority
from ._second_sends import SecondSendLimit, SecondSends
from ._service import SilenceTimeouts, SiteService
from ._stages import EngineRegistry, EngineStatistics, OrderAnswer, StageBalancer, StageOrderTransport
from ._use_totals import UseTotals

__all__ = [  # noqa: F822
    "MAX_DURATION_S",
    "duration_field_s",
    "flag_field",
    "integer_field",
    "number_field",
    "require",
    "text_field",
    "texts_field",
    "AnnouncementError",
    "BackendRegistry",
    "announced_address",
    "announced_number",
    "announced_text",
    "backend_id",
    "BarredSet",
    "ClientLimits",
    "ColdRules",
    "ColdServers",
    "ConfigurationDecoder",
    "ConfigurationError",
    "ConfigurationFormat",
    "Engine",
    "EngineRegistry",
    "EngineStatistics",
    "DocumentReport",
    "DepartureWriter",
    "DocumentWriter",
    "EntryDirectory",
    "EntryRegistry",
    "EvacuationWriter",
    "FleetReport",
    "GroupJoinClient",
    "HostRoutes",
    "LeaderRateAuthority",
    "LocalLimit",
    "MembershipManager",
    "OrderAnswer",
    "PlaceLedger",
    "PlacementScheduler",
    "PromptBars",
    "PromptSuspects",
    "Route",
    "RouteKind",
    "Service",
    "SecondSendLimit",
    "SecondSends",
    "SilenceTimeouts",
    "SiteConfiguration",
    "SiteFollower",
    "SiteMetrics",
    "SiteService",
    "SiteView",
    "StageBalancer",
    "StageOrderTransport",
    "Target",
    "UseTotals",
    "Workspace",
    "check_document",
    "is_newer",
    "leave_in_time",
    "printable",
]


_MODULE_BY_LAZY_NAME = {
    "DocumentReport": "._document_check",
    "SiteMetrics": "._metrics",
    "check_document": "._document_check",
    "printable": "._configuration_findings",
}


def __getattr__(name: str) -> Any:
    if name not in _MODULE_BY_LAZY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_LAZY_NAME[name], __name__), name)
