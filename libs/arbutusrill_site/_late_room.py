"""Room that is left for requests that can be in time when late ones ask for places."""

from __future__ import annotations

from typing import Any

from ._configuration import Engine
from ._engine_loads import EngineLoads
from ._waiting_queue import Ticket, WaitingQueue

__all__ = ["LateRoom"]

_COUNT_TTL_S = 0.05  # free places are counted again after this time; grants in between are subtracted


class LateRoom:
    """Decides whether a late request may take a place that is free now.

    Streams that failed on an engine always may. The others leave room for what is expected to arrive in time.
    """

    def __init__(self, loads: EngineLoads, queue: WaitingQueue):
        self._loads = loads
        self._queue = queue
        self._free_by_service: dict[str, tuple[float, int]] = {}  # time of the count, places left since then

    def allows(self, ticket: Ticket, capacity: Engine, now: float) -> bool:
        """Whether a place may be granted to a late request that is the first one waiting."""
        if ticket.continued:
            return True
        free = self._free_count(ticket.request, capacity, now)
        return free >= 1 and free - 1 >= self._queue.reserve_from_late(ticket, now)

    def record_grant(self, service: str) -> None:
        """Records that a place of a service was granted."""
        counted_at, free = self._free_by_service.get(service, (float("-inf"), 0))
        self._free_by_service[service] = counted_at, free - 1

    def _free_count(self, request: Any, capacity: Engine, now: float) -> int:
        service = request.service_name
        counted_at, free = self._free_by_service.get(service, (float("-inf"), 0))
        if now - counted_at >= _COUNT_TTL_S:
            free = self._loads.free_count(request, capacity)
            self._free_by_service[service] = now, free
        return free
