"""Tickets: requests that wait for servers and requests that hold them."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from threading import Condition
from typing import Any

from ._server import Server

__all__ = ["Band", "Cost", "Held", "Placement", "Ticket"]


class Band(enum.IntEnum):
    """Order of dispatch: deferred tickets are placed when no urgent one can use the room."""

    URGENT = 0
    DEFERRED = 1


@dataclass(slots=True)
class Cost:
    """What a request uses, in seconds of the whole pool: its prefill servers and its decode slots."""

    prefill_s: float = 0.0
    decode_s: float = 0.0

    @property
    def price(self) -> float:
        """Sum by which the request's workspace is charged."""
        return self.prefill_s + self.decode_s

    def add(self, other: Cost, factor: float = 1.0) -> None:
        """Adds another cost, or subtracts it with a factor of -1. Rounding never leaves a negative rest."""
        self.prefill_s = max(0.0, self.prefill_s + factor * other.prefill_s)
        self.decode_s = max(0.0, self.decode_s + factor * other.decode_s)


@dataclass(slots=True, eq=False)
class Ticket:
    """A request in the queue. Times are monotonic, in seconds.

    `first_by` is when its first token is due; `reply` is set once it is assigned or refused.
    """

    request: Any
    arrived_at: float
    polled_at: float
    first_by: float
    band: Band
    cost: Cost
    decided: Condition
    queue_name: str = ""  # the workspace, or one name for all where arrival order rules
    order_key: float = 0.0
    reply: Any = None
    in_queue: bool = False

    @property
    def id(self) -> str:
        """Name of the ticket, which is the request ID."""
        return self.request.ticket


@dataclass(slots=True)
class Placement:
    """Servers chosen for a ticket. `prefill` is None in a pool of a plain service."""

    prefill: Server | None
    decode: Server
    first_token_s: float = 0.0
    prefill_s: float = 0.0
    wait_s: float = 0.0
    missed_tokens: float = 0.0


@dataclass(slots=True, eq=False)
class Held:
    """What a ticket holds on servers until it is released or its VM stops renewing it."""

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
    prefill_s: float = 0.0  # measured, once it has been reported
    output_tokens: int = 0
    batch: int = 1
    delivered: bool = False
    cancelling: bool = False
