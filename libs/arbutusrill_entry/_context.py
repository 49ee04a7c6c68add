"""What every part of the entry role shares."""

from __future__ import annotations

from dataclasses import dataclass

from arbutusrill_base import Clock, RetryBudget
from arbutusrill_limits import TokenLeases
from arbutusrill_state import ControlClient, Follower, JournalClient

from ._backends import PoolClients
from ._cleanup import Cleanup
from ._held import HeldTickets
from ._meters import Meters

__all__ = ["EntryContext"]


@dataclass(slots=True, frozen=True)
class EntryContext:
    """Followed state, pool owners and background work of one entry VM."""

    follower: Follower
    control: ControlClient
    pools: PoolClients
    limits: TokenLeases
    journal: JournalClient
    clock: Clock
    cleanup: Cleanup
    held: HeldTickets
    budget: RetryBudget
    meters: Meters

    def take_retry(self) -> bool:
        """Takes one retry from the budget, whose fraction is the default ``retry.budget``."""
        self.budget.set_fraction(self.follower.config.value("retry.budget"))
        return self.budget.take()
