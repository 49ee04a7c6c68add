"""Second sends on the leader: what entry VMs report and ask for, one call at a time."""

from __future__ import annotations

import threading
from typing import Any

from arbutusrill_base import Clock

from ._second_sends import SecondSendLimit, SecondSends

__all__ = ["SecondSendLedger"]


class SecondSendLedger:
    """Limit of the second sends of all entry VMs, see `SecondSends`; a fraction of 0 allows none."""

    def __init__(self, clock: Clock, limit: SecondSendLimit):
        self._clock = clock
        self._lock = threading.Lock()
        self._sends = SecondSends(limit)

    def begin_term(self) -> None:
        """Forgets everything at the start of a term."""
        with self._lock:
            self._sends.begin_term(self._clock.monotonic())

    def forget(self, vm: str) -> None:
        """Forgets an entry VM that has left."""
        with self._lock:
            self._sends.forget(vm)

    def add_to_reply(self, reply: Any, request: Any) -> None:
        """Learns from what an entry VM reports with its poll, and adds the delays of second sends to the reply."""
        if not (self._sends.limit.fraction and request.repeatable_uses):
            return
        now, entry = self._clock.monotonic(), request.entry.id
        with self._lock:
            for use in request.repeatable_uses:
                self._sends.report(entry, request.incarnation, use.service_name, use.total, use.answer_ms or [], now)
            reply.second_send_after_ms = self._sends.delay_ms_by_service()

    def try_take(self, service: str) -> bool:
        """Grants one second send of a request of a service if the limit allows it."""
        with self._lock:
            return self._sends.try_take(service, self._clock.monotonic())
