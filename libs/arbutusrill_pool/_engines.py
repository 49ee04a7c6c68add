"""Calls of a pool's owner to the engines, run in the background and repeated until they are acknowledged."""

from __future__ import annotations

import abc
import json
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_base import Clock, PartLog
from arbutusrill_http import Transfer, TransferResult, fetch

__all__ = ["EngineCalls", "EngineRequest", "EngineWork", "HttpEngineCalls", "OrderAnswer"]

CALL_S = 0.5  # within the 2 s for freeing capacity there is time for three tries
LONGEST_ORDER_S = 10.0  # an order that takes longer is asked for again under the same id
REPEAT_S = 0.2
GIVE_UP_S = 10.0  # an engine that has answered nothing for this long holds no request any more
READ_TRIES = 3
_HEADERS = ["Content-Type: application/json"]
_log = PartLog("pool engines")


@dataclass(slots=True, frozen=True)
class EngineRequest:
    """A request that an engine holds memory for, with the entry VM that sent it."""

    request_id: str
    vm: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class OrderAnswer:
    """Answer to an order. `status` is the HTTP status, 0 without any answer."""

    status: int
    detail: str = ""


class EngineCalls(abc.ABC):
    """The calls that a pool's owner makes to engines. `address` is ``http://IP:port``."""

    @abc.abstractmethod
    def cancel(self, address: str, request_id: str) -> bool:
        """Cancels a request; returns whether the engine acknowledged it."""

    @abc.abstractmethod
    def requests(self, address: str) -> list[EngineRequest] | None:
        """Returns the requests that the engine holds, or None without an answer."""

    @abc.abstractmethod
    def order(self, address: str, order: dict[str, Any]) -> OrderAnswer:
        """Gives the engine an order."""


class HttpEngineCalls(EngineCalls):
    """The engine interface over HTTP. Each call has a connection of its own, since a kept one may have gone silent."""

    def cancel(self, address: str, request_id: str) -> bool:
        """Calls ``POST /engine/cancel``."""
        result = self._post(address, "/engine/cancel", {"request_id": request_id}, CALL_S)
        return result.whole and result.status in (200, 404)

    def requests(self, address: str) -> list[EngineRequest] | None:
        """Calls ``GET /engine/requests``."""
        result = fetch(Transfer("GET", address + "/engine/requests", timeout_s=CALL_S, fresh=True))
        if not result.whole or result.status != 200:
            return None
        try:
            rows = json.loads(result.body)["requests"]
            return [EngineRequest(str(row["request_id"]), str(row["vm"]), int(row["incarnation"])) for row in rows]
        except (ValueError, KeyError, TypeError) as error:
            _log.warning("%s answered no list of requests: %r", address, error)
            return None

    def order(self, address: str, order: dict[str, Any]) -> OrderAnswer:
        """Calls ``POST /engine/orders``."""
        result = self._post(address, "/engine/orders", order, LONGEST_ORDER_S)
        if not result.whole:
            return OrderAnswer(0, result.detail)
        return OrderAnswer(result.status, result.body[:200].decode("utf-8", "replace"))

    def _post(self, address: str, path: str, body: dict[str, Any], timeout_s: float) -> TransferResult:
        return fetch(
            Transfer("POST", address + path, _HEADERS, json.dumps(body).encode(), timeout_s=timeout_s, fresh=True)
        )


@dataclass(slots=True)
class _Job:
    run: Callable[[], Any]  # returns None to be repeated
    done: list[Callable[[Any], None]]
    give_up_at: float
    due_at: float = 0.0
    running: bool = False


@dataclass(slots=True)
class EngineWork:
    """Background calls to engines. `submit` starts a function on another thread.

    Nothing is called while a method runs, so that an owner may use it under its own lock; `tick` starts what
    is due.
    """

    calls: EngineCalls
    clock: Clock
    submit: Callable[[Callable[[], None]], Any]
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _job_by_key: dict[tuple[str, str, str], _Job] = field(default_factory=dict)

    def cancel(self, address: str, request_id: str, done: Callable[[bool], None]) -> None:
        """Cancels a request until the engine acknowledges it; `done` gets False when it never did."""
        self._add(
            ("cancel", address, request_id),
            lambda: self.calls.cancel(address, request_id) or None,
            lambda answer: done(bool(answer)),
            GIVE_UP_S,
        )

    def read_requests(self, address: str, done: Callable[[list[EngineRequest] | None], None]) -> None:
        """Reads the requests of an engine; `done` gets None when it did not answer in a few tries."""
        self._add(("requests", address, ""), lambda: self.calls.requests(address), done, READ_TRIES * REPEAT_S)

    def _add(self, key: tuple[str, str, str], run: Callable[[], Any], done: Callable[[Any], None], span: float) -> None:
        with self._lock:
            job = self._job_by_key.get(key)
            if job is None:
                self._job_by_key[key] = _Job(run, [done], self.clock.monotonic() + span)
            else:
                job.done.append(done)

    def pending(self) -> int:
        """Returns the number of calls that are not finished."""
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
                job.running = False  # all threads are taken; the next tick tries again

    def _run(self, key: tuple[str, str, str], job: _Job) -> None:
        answer = None
        try:
            answer = job.run()
        finally:
            now = self.clock.monotonic()
            finished = answer is not None or now >= job.give_up_at
            with self._lock:
                job.running = False
                job.due_at = now + REPEAT_S
                if finished:
                    del self._job_by_key[key]
        if finished:
            for done in job.done:
                done(answer)
