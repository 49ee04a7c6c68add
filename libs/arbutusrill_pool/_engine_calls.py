"""Calls to engines: HTTP client and background queue with retries."""

from __future__ import annotations

import abc
import json
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_base import Clock, PartLog, load_json
from arbutusrill_http import Transfer, TransferResult, fetch

__all__ = ["EngineClient", "EngineRequest", "EngineCallQueue", "HttpEngineClient", "OrderAnswer"]

CALL_TIMEOUT_S = 0.5  # allows three tries within the 2 s in which capacity must be freed
ORDER_TIMEOUT_S = 10.0  # an order that takes longer is retried under the same id
RETRY_INTERVAL_S = 0.2
CANCEL_TIMEOUT_S = 10.0  # an engine that has not responded for this long no longer holds the request
MAX_READ_TRIES = 3
_MAX_LIST_BYTES = 256 * 1024  # of the requests in an engine, about 100 bytes each
_MAX_ANSWER_BYTES = 16 * 1024  # of a cancellation or an order
_HEADERS = ["Content-Type: application/json"]
_log = PartLog("pool engines")


@dataclass(slots=True, frozen=True)
class EngineRequest:
    """A request in an engine's memory and the incarnation of the entry VM that sent it."""

    request_id: str
    vm: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class OrderAnswer:
    """Response to an order. `status` is the HTTP status, 0 without a response."""

    status: int
    detail: str = ""


class EngineClient(abc.ABC):
    """Interface for calls to engines. `address` is ``http://IP:port``."""

    @abc.abstractmethod
    def cancel(self, address: str, request_id: str) -> bool:
        """Cancels a request; returns whether the engine acknowledged it."""

    @abc.abstractmethod
    def requests(self, address: str) -> list[EngineRequest] | None:
        """Returns the requests that the engine holds, or None without a valid response."""

    @abc.abstractmethod
    def order(self, address: str, order: dict[str, Any]) -> OrderAnswer:
        """Sends an order to the engine."""


class HttpEngineClient(EngineClient):
    """Engine calls over HTTP. Each call opens a new connection, since a pooled one may be dead without notice."""

    def cancel(self, address: str, request_id: str) -> bool:
        """Calls ``POST /engine/cancel``."""
        result = self._post(address, "/engine/cancel", {"request_id": request_id}, CALL_TIMEOUT_S)
        return result.is_complete and result.status in (200, 404)

    def requests(self, address: str) -> list[EngineRequest] | None:
        """Calls ``GET /engine/requests``."""
        url = address + "/engine/requests"
        result = fetch(Transfer("GET", url, timeout_s=CALL_TIMEOUT_S, max_body_bytes=_MAX_LIST_BYTES))
        if not result.is_complete or result.status != 200:
            return None
        try:
            rows = load_json(result.body)["requests"]
            return [EngineRequest(str(row["request_id"]), str(row["vm"]), int(row["incarnation"])) for row in rows]
        except (ValueError, KeyError, TypeError) as error:
            _log.warning("engine at %s returned no valid list of requests: %r", address, error)
            return None

    def order(self, address: str, order: dict[str, Any]) -> OrderAnswer:
        """Calls ``POST /engine/orders``."""
        result = self._post(address, "/engine/orders", order, ORDER_TIMEOUT_S)
        if not result.is_complete:
            return OrderAnswer(0, result.detail)
        return OrderAnswer(result.status, result.body[:200].decode("utf-8", "replace"))

    def _post(self, address: str, path: str, body: dict[str, Any], timeout_s: float) -> TransferResult:
        data = json.dumps(body).encode()
        return fetch(
            Transfer("POST", address + path, _HEADERS, data, timeout_s=timeout_s, max_body_bytes=_MAX_ANSWER_BYTES)
        )


@dataclass(slots=True)
class _Job:
    run: Callable[[], Any]  # returns None if it must be retried
    on_done: list[Callable[[Any], None]]
    deadline: float
    due_at: float = 0.0
    running: bool = False


@dataclass(slots=True)
class EngineCallQueue:
    """Background calls to engines with retries. `submit` starts a function on another thread, or returns None.

    Calls with the same key share one job. `cancel` and `read_requests` only enqueue, so they may be called under the
    owner's lock; `tick` starts the calls that are due.
    """

    client: EngineClient
    clock: Clock
    submit: Callable[[Callable[[], None]], Any]
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _job_by_key: dict[tuple[str, str, str], _Job] = field(default_factory=dict)

    def cancel(self, address: str, request_id: str, on_done: Callable[[bool], None]) -> None:
        """Cancels a request, with retries for `CANCEL_TIMEOUT_S`; `on_done` gets whether the engine acknowledged."""
        self._add(
            ("cancel", address, request_id),
            lambda: self.client.cancel(address, request_id) or None,
            lambda answer: on_done(bool(answer)),
            CANCEL_TIMEOUT_S,
        )

    def read_requests(self, address: str, on_done: Callable[[list[EngineRequest] | None], None]) -> None:
        """Reads the requests of an engine with retries; `on_done` gets None if all tries failed."""
        self._add(
            ("requests", address, ""), lambda: self.client.requests(address), on_done, MAX_READ_TRIES * RETRY_INTERVAL_S
        )

    def _add(
        self, key: tuple[str, str, str], run: Callable[[], Any], on_done: Callable[[Any], None], retry_for_s: float
    ) -> None:
        with self._lock:
            job = self._job_by_key.get(key)
            if job is None:
                self._job_by_key[key] = _Job(run, [on_done], self.clock.monotonic() + retry_for_s)
            else:
                job.on_done.append(on_done)

    def pending(self) -> int:
        """Returns the number of unfinished calls."""
        with self._lock:
            return len(self._job_by_key)

    def tick(self) -> None:
        """Starts the calls that are due."""
        now = self.clock.monotonic()
        with self._lock:
            due = [(key, job) for key, job in self._job_by_key.items() if not job.running and now >= job.due_at]
            for _, job in due:
                job.running = True
        for key, job in due:
            if self.submit(lambda key=key, job=job: self._run(key, job)) is None:
                job.running = False  # not accepted by `submit`; the next tick tries again

    def _run(self, key: tuple[str, str, str], job: _Job) -> None:
        answer = None
        try:
            answer = job.run()
        except Exception:
            _log.exception("call %s of the engine at %s failed", key[0], key[1])
        finally:
            now = self.clock.monotonic()
            finished = answer is not None or now >= job.deadline
            with self._lock:
                job.running = False
                job.due_at = now + RETRY_INTERVAL_S
                if finished:
                    del self._job_by_key[key]
        if finished:
            for on_done in job.on_done:
                on_done(answer)
