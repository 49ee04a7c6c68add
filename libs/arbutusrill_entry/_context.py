"""Objects shared by all request handlers of the entry role."""

from __future__ import annotations

import threading
from collections.abc import Iterable
from contextlib import ExitStack
from dataclasses import dataclass, field

from arbutusrill_base import Clock, RetryBudget
from arbutusrill_http import BodyBudget
from arbutusrill_limits import TokenLeases
from arbutusrill_state import ControlClient, Follower, JournalClient
from werkzeug.wsgi import ClosingIterator

from ._cleanup import CleanupQueue
from ._held_tickets import HeldTickets
from ._meters import Meters
from ._pool_clients import PoolClients

__all__ = ["EntryContext", "close_after"]


@dataclass(slots=True, frozen=True)
class EntryContext:
    """Replicated configuration, clients, limits and background jobs of one entry VM.

    `drain_over` is set when the requests in progress end because the VM stops.
    """

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
    body_budget: BodyBudget
    drain_over: threading.Event = field(default_factory=threading.Event)

    def try_acquire_retry(self) -> bool:
        """Takes one retry from the retry budget; returns False if none is left.

        The setting ``retry.budget`` limits retries to a fraction of the requests.
        """
        self.retry_budget.set_fraction(self.follower.config.value("retry.budget"))
        return self.retry_budget.try_acquire()


def close_after(chunks: Iterable[bytes], stack: ExitStack) -> Iterable[bytes]:
    """Returns the chunks of a response; the contexts in `stack` end once they are written."""
    return ClosingIterator(chunks, stack.pop_all().close)
