"""Tickets: requests that wait for servers, and their placements and allocations."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from threading import Condition
from typing import Any

from ._server import Server

__all__ = ["Band", "Cost", "Allocation", "Placement", "Ticket"]


class Band(enum.IntEnum):
    """Priority band: deferred tickets are placed only when no urgent ticket can be."""

    URGENT = 0
    DEFERRED = 1


@dataclass(slots=True)
class Cost:
    """Resource use of a request, in seconds of all prefill servers and of all decode slots of the pool."""

    prefill_s: float = 0.0
    decode_s: float = 0.0

    @property
    def price(self) -> float:
        """Amount charged to the virtual time of the request's workspace."""
        return self.prefill_s + self.decode_s

    def add(self, other: Cost, factor: float = 1.0) -> None:
        """Adds `factor` times another cost. Clamped at 0, since rounding errors of a subtraction could leave less."""
        self.prefill_s = max(0.0, self.prefill_s + factor * other.prefill_s)
        self.decode_s = max(0.0, self.decode_s + factor * other.decode_s)


@dataclass(slots=True, eq=False)
class Ticket:
    """A request in the queue. Times are monotonic, in seconds.

    `reply` is set, and `reply_ready` notified, once the ticket is assigned or refused.
    """

    request: Any
    arrived_at: float
    polled_at: float
    first_token_due_at: float
    band: Band
    cost: Cost
    reply_ready: Condition
    queue_name: str = ""  # the workspace; empty for all tickets if the policy does not reserve
    order_key: float = 0.0
    reply: Any = None
    in_queue: bool = False

    @property
    def id(self) -> str:
        """ID of the ticket, which is the request ID."""
        return self.request.ticket


@dataclass(slots=True)
class Placement:
    """Servers chosen for a ticket, with the predicted times in seconds. `prefill` is None for a plain service."""

    prefill: Server | None
    decode: Server
    first_token_s: float = 0.0
    prefill_s: float = 0.0
    wait_s: float = 0.0
    uncached_tokens: float = 0.0


@dataclass(slots=True, eq=False)
class Allocation:
    """Slots that a ticket holds on servers until it is released or cancelled. Times are monotonic, in seconds."""

    ticket: str
    vm: str
    incarnation: int
    workspace: str
    assignment: Any
    assigned_at: float
    renewed_at: float
    cost: Cost
    reserves: bool = True
    prefilling: bool = False
    predicted_prefill_s: float = 0.0
    prefill_s: float = 0.0  # measured; 0 until reported
    output_tokens: int = 0
    batch: int = 1
    delivered: bool = False
    cancelling: bool = False
