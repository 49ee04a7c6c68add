"""Admission, queueing and cancellation of the requests on an engine."""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ._counters import Counters

__all__ = ["ActiveRequest", "RequestTable", "RefusedError"]

_EARLY_CANCEL_TTL_S = 2.0  # for a cancel call that arrives before its request
_POLL_INTERVAL_S = 0.05


class RefusedError(Exception):
    """Raised when the engine refuses a request, with the HTTP `status` and error `code` of the response."""

    def __init__(self, status: int, code: str):
        super().__init__(code)
        self.status = status
        self.code = code


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """One stage of a request on this engine; `stage` is queued, prefill, kv or decode.

    In stage kv the prefill is complete and its KV cache is waiting for use.
    """

    request_id: str
    vm: str
    incarnation: int
    stage: str
    priority: int = 0
    arrival_number: int = 0
    created_at: float = field(default_factory=time.monotonic)
    cancelled: threading.Event = field(default_factory=threading.Event)


class RequestTable:
    """The active requests of an engine, one entry for each stage of a request. Thread-safe."""

    def __init__(self, counters: Counters):
        self._changed = threading.Condition()
        self._active: list[ActiveRequest] = []
        self._arrival_numbers = itertools.count()
        self._early_cancel_expiry_by_id: dict[str, float] = {}
        self._counters = counters

    def admit(self, body: dict[str, Any], stage: str, limit: int) -> ActiveRequest:
        """Adds a request; raises `RefusedError` if `limit` requests are in the stage or the request was cancelled."""
        request = self._new_request(body, stage)
        with self._changed:
            self._refuse_if_cancelled(request)
            if self._count(stage) >= limit:
                raise RefusedError(503, "full")
            self._activate(request)
        return request

    def admit_queued(
        self, body: dict[str, Any], stage: str, limit: int, max_wait_s: float, caller_gone: Callable[[], bool]
    ) -> ActiveRequest:
        """Like `admit`, but waits up to `max_wait_s` for a slot: highest priority first, then first come, first served.

        The wait also ends with `RefusedError` when `caller_gone()` is true.
        """
        request = self._new_request(body, "queued")
        deadline = time.monotonic() + max_wait_s
        with self._changed:
            self._refuse_if_cancelled(request)
            request.arrival_number = next(self._arrival_numbers)
            self._active.append(request)
            while not self._can_start(request, stage, limit):
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0 or request.cancelled.is_set() or caller_gone():
                    self._active.remove(request)
                    raise RefusedError(409, "cancelled") if request.cancelled.is_set() else RefusedError(503, "full")
                self._changed.wait(min(remaining_s, _POLL_INTERVAL_S))
            self._active.remove(request)
            request.stage = stage
            self._activate(request)
        return request

    def _new_request(self, body: dict[str, Any], stage: str) -> ActiveRequest:
        priority = int(body.get("priority", 0))
        return ActiveRequest(body["request_id"], body.get("vm", ""), body.get("incarnation", 0), stage, priority)

    def _refuse_if_cancelled(self, request: ActiveRequest) -> None:
        expires_at = self._early_cancel_expiry_by_id.get(request.request_id, 0)
        if time.monotonic() < expires_at:
            raise RefusedError(409, "cancelled")

    def _can_start(self, request: ActiveRequest, stage: str, limit: int) -> bool:
        next_queued = max(
            (active for active in self._active if active.stage == "queued"),
            key=lambda active: (active.priority, -active.arrival_number),
        )
        return next_queued is request and self._count(stage) < limit

    def _activate(self, request: ActiveRequest) -> None:
        request.arrival_number = next(self._arrival_numbers)
        self._active.append(request)
        self._counters.update_max("peak_held", len(self._active))
        self._counters.update_max(f"peak_{request.stage}", self._count(request.stage))
        self._changed.notify_all()

    def release(self, request: ActiveRequest) -> None:
        """Removes a request and frees its slot; does nothing if it was removed already."""
        with self._changed:
            if request in self._active:
                self._active.remove(request)
                self._changed.notify_all()

    def cancel(self, request_id: str) -> bool:
        """Cancels all stages of a request and returns whether there were any.

        Without any, a request with this id is refused for the next 2 s: its cancel call may have overtaken it.
        """
        now = time.monotonic()
        with self._changed:
            matching = [active for active in self._active if active.request_id == request_id]
            for active in matching:
                active.cancelled.set()
            if not matching:
                unexpired = {
                    key: expires_at for key, expires_at in self._early_cancel_expiry_by_id.items() if expires_at > now
                }
                self._early_cancel_expiry_by_id = {**unexpired, request_id: now + _EARLY_CANCEL_TTL_S}
            self._changed.notify_all()
        return bool(matching)

    def _count(self, stage: str) -> int:
        return sum(1 for active in self._active if active.stage == stage)

    def count(self, stage: str) -> int:
        """Returns the number of requests in a stage."""
        with self._changed:
            return self._count(stage)

    def snapshot(self) -> list[ActiveRequest]:
        """Returns the entries of all active requests."""
        with self._changed:
            return list(self._active)
