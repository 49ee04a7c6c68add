"""Entry role: the HTTP interface for callers, at-most-once calls, and the endpoint for server announcements."""

from ._app import RESERVED_PATHS, EntryApp
from ._cleanup import CleanupQueue
from ._context import EntryContext
from ._drain import Drain
from ._held_tickets import HeldTickets
from ._meters import Meters
from ._pool_clients import PoolClients
from ._reports import BURN_REPORT_INTERVAL_S, report_burn

__all__ = [
    "BURN_REPORT_INTERVAL_S",
    "RESERVED_PATHS",
    "CleanupQueue",
    "Drain",
    "EntryApp",
    "EntryContext",
    "HeldTickets",
    "Meters",
    "PoolClients",
    "report_burn",
]
