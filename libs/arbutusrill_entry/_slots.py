"""Waiting for a place on backend servers while the caller's connection is watched."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_base import Failure, FailureError, PartLog
from arbutusrill_http import AbortStreamError, caller_gone
from arbutusrill_wire import RpcError, messages

from ._backends import PoolClients

__all__ = ["Place", "Wanted", "leave_check"]

_SLICE_MS = 300
_PAUSE_S = 0.05
_log = PartLog("slots")


def leave_check(caller: socket.socket) -> Callable[[], bool]:
    """Returns a function that raises `AbortStreamError` once the caller has left, and otherwise returns False."""

    def check() -> bool:
        if caller_gone(caller):
            raise AbortStreamError
        return False

    return check


@dataclass(slots=True)
class Wanted:
    """What a request needs of a pool. `deadline` is on the monotonic clock, in seconds."""

    pool: str
    request_id: str
    workspace: str
    latency_class: str
    deadline: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    avoid: list[str] = field(default_factory=list)


class Place:
    """A place on the servers of a pool, held from entering the context until leaving it."""

    def __init__(self, pools: PoolClients, wanted: Wanted, vm: str, incarnation: int, caller: socket.socket):
        self._pools = pools
        self._wanted = wanted
        self._vm = vm
        self._incarnation = incarnation
        self._caller = caller
        self.outcome = "done"
        self.assignment: Any = None

    def __enter__(self) -> Place:
        try:
            self.assignment = self._acquire()
        except BaseException:
            self._release("gone")
            raise
        return self

    def __exit__(self, kind: object, *_: object) -> None:
        self._release("gone" if kind is not None and self.outcome == "done" else self.outcome)

    def _acquire(self) -> Any:
        wanted = self._wanted
        problem = "no answer from the pool's owner"
        while True:
            remaining = wanted.deadline - time.monotonic()
            if remaining <= 0:
                raise FailureError(Failure("queue_timeout", f"no place before the deadline ({problem})", retry_after=1))
            if caller_gone(self._caller):
                raise AbortStreamError
            request = messages.AcquireRequest(
                wanted.pool,
                wanted.request_id,
                self._vm,
                self._incarnation,
                wanted.workspace,
                1.0,
                wanted.latency_class,
                int(remaining * 1000),
                wanted.prompt_tokens,
                wanted.output_tokens,
                wait_ms=int(min(_SLICE_MS, remaining * 1000)),
                avoid=wanted.avoid,
            )
            try:
                reply = self._pools.call(wanted.pool, "acquire", request)
            except (messages.Refused, RpcError) as error:
                problem = str(error)
                time.sleep(_PAUSE_S)
                continue
            if reply.status == "assigned":
                return reply.assignment
            if reply.status == "refused":
                retry = reply.retry_after_ms / 1000 if reply.retry_after_ms >= 0 else None
                raise FailureError(Failure(reply.code, reply.message, retry_after=retry))
            problem = "all servers are busy"

    def _release(self, outcome: str) -> None:
        release = messages.ReleaseRequest(self._wanted.pool, self._wanted.request_id, outcome)
        try:
            self._pools.call(self._wanted.pool, "release", release)
        except (messages.Refused, RpcError) as error:
            _log.warning("%s place not released: %s", self._wanted.request_id, error)
