"""Objects shared by all request handlers of the entry role."""

from __future__ import annotations

from dataclasses import dataclass

from arbutusrill_base import Clock, RetryBudget
from arbutusrill_limits import TokenLeases
from arbutusrill_state import ControlClient, Follower, JournalClient

from ._cleanup import CleanupQueue
from ._held_tickets import HeldTickets
from ._meters import Meters
from ._pool_clients import PoolClients

__all__ = ["EntryContext"]


@dataclass(slots=True, frozen=True)
class EntryContext:
    """Replicated configuration, clients, limits and background jobs of one entry VM."""

    follower: Follower
    control: ControlClient
    pools: PoolClients
    limits: TokenLeases
    journal: JournalClient
    clock: Clock
    cleanup: CleanupQueue
    held_tickets: HeldTickets
    retry_budget: RetryBudget
    meters: Meters

    def try_acquire_retry(self) -> bool:
        """Takes one retry from the retry budget; returns False if none is left.

        The setting ``retry.budget`` limits retries to a fraction of the requests.
        """
        self.retry_budget.set_fraction(self.follower.config.value("retry.budget"))
        return self.retry_budget.try_acquire()
