"""Replacement of an engine that falls silent in the middle of a stream."""

from __future__ import annotations

from collections.abc import Callable

from arbutusrill_base import EventLog

from ._backends import Candidate
from ._exchange import Exchange
from ._placement import Placement, PlacementRequest

__all__ = ["Replacement"]

_events = EventLog("replacement")


class Replacement:
    """A place on another engine for a stream whose engine is silent; an unused place is released on exit.

    Silence is no failure: a sound engine may pause for more than a second and go on. A stream that is given up without
    another engine to go on at ends without a complete answer, so the place comes first. `requirements` returns those of
    the stream as it stands, given a function that returns the ids of the engines to avoid.
    """

    __slots__ = ("_exchange", "_is_reported", "_placement", "_requirements", "is_reserved")

    def __init__(self, exchange: Exchange, requirements: Callable[[Callable[[], list[str]]], PlacementRequest]):
        self._exchange = exchange
        self._requirements = requirements
        self._placement: Placement | None = None
        self._is_reported = False
        self.is_reserved = False

    def __enter__(self) -> Replacement:
        return self

    def __exit__(self, *_: object) -> None:
        if self._placement is not None:
            self._exchange.placements.release(self._placement)

    def reserve(self, silent: Candidate) -> bool:
        """Reserves another engine than `silent`, with a retry from the budget; returns whether there is one now."""
        exchange = self._exchange
        excluded = {*exchange.tried, silent.id}
        placement, is_available = self._acquire(excluded)
        if is_available and not exchange.reserve_retry():
            is_available = False
            if placement is not None:
                exchange.placements.release(placement)
        if is_available or not self._is_reported:
            self._is_reported = True
            _events.emit(
                "engine_silent",
                request=exchange.request.id,
                backend=silent.id,
                replacement=placement.decode.id if is_available and placement is not None else "",
                replaced=is_available,
            )
        if is_available:
            self._placement, self.is_reserved = placement, True
        return is_available

    def _acquire(self, excluded: set[str]) -> tuple[Placement | None, bool]:
        """Returns a place, if the leader grants places, and whether the stream can go on at another engine."""
        exchange = self._exchange
        pool, service, request = exchange.pool, exchange.service, exchange.request
        if service.engine is not None:
            avoided = [*pool.avoided_ids(), *excluded]
            requirements = self._requirements(lambda: avoided)
            placement, retry_after_s = exchange.placements.acquire_now(requirements)
            if placement is not None and placement.decode.id in avoided:  # there is no other one
                exchange.placements.release(placement)
                return None, False
            if placement is not None or retry_after_s is not None:
                return placement, placement is not None
        stage = "decode" if service.engine is not None else ""
        candidate = pool.pick(service, stage, request.memory_tokens, request.model, excluded)
        return None, candidate is not None and candidate.id not in pool.avoided_ids()

    def take(self) -> Placement | None:
        """Returns the place that was reserved, None if the engine is to be chosen from this VM's view."""
        placement, self._placement, self.is_reserved = self._placement, None, False
        return placement
