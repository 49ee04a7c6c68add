"""Places on backend servers: waiting for them, changing them and giving them back."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_base import Failure, FailureError, Verdict
from arbutusrill_http import AbortStreamError, Transfer, caller_gone, fetch
from arbutusrill_wire import RpcError, messages

from ._context import EntryContext
from ._guard import KeyGuard

__all__ = ["Place", "Wanted", "leave_check"]

_SLICE_MS = 300
_PAUSE_S = 0.05
_RELEASE_S = 0.5
_CANCEL_S = 0.5  # one attempt to cancel
_CANCEL_WAIT_S = 1.5  # a slot is given back after this time even if its server does not acknowledge the cancel
_GIVE_UP_S = 10.0


def leave_check(caller: socket.socket, guard: KeyGuard) -> Callable[[], bool]:
    """Returns a function for use while a request waits.

    It raises `AbortStreamError` once the caller has left and `FailureError` once the key is refused, and
    otherwise returns False.
    """

    def check() -> bool:
        if caller_gone(caller):
            raise AbortStreamError
        failure = guard.failure(Verdict.NOT_RUN)
        if failure is not None:
            raise FailureError(failure)
        return False

    return check


@dataclass(slots=True)
class Wanted:
    """What a request needs of a pool.

    `deadline` is on the monotonic clock, in seconds. A change of servers may wait for `move_wait_s`, but not
    beyond `last_moment`, the deadline that the caller has set itself.
    """

    pool: str
    request_id: str
    workspace: str
    latency_class: str
    deadline: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    weight: float = 1.0
    prefix_blocks: list[str] = field(default_factory=list)
    move_wait_s: float = 5.0
    last_moment: float = float("inf")


class Place:
    """Servers of a pool, held from entering the context until leaving it.

    Each assignment has a ticket of its own, which is also the request id at the engines: cancelling an
    attempt can then never end a later one. `visit` names the engines that may hold the request; when the
    context ends with an exception, they are told to cancel it until they acknowledge.
    """

    def __init__(self, context: EntryContext, wanted: Wanted, caller: socket.socket, guard: KeyGuard):
        self._context = context
        self._wanted = wanted
        self._caller = caller
        self._check = leave_check(caller, guard)
        self._visited: list[tuple[str, str]] = []
        self._avoid: list[str] = []
        self._blame = ("gone", "")
        self._attempt = 0
        self.ticket = ""
        self.assignment: Any = None
        self.release = messages.ReleaseRequest()

    def __enter__(self) -> Place:
        self._acquire(self._wanted.deadline)
        return self

    def __exit__(self, kind: object, *_: object) -> None:
        if kind is None:
            self._give_back("done")
        else:
            self._abandon(*self._blame)

    @property
    def caller(self) -> socket.socket:
        """The connection of the caller."""
        return self._caller

    def visit(self, address: str, stage: str) -> None:
        """Notes that the engine at `address` may hold the request from now on."""
        self._visited.append((address, stage))
        self._context.held.set_stage(self.ticket, stage)

    def left(self, stage: str) -> None:
        """Notes that no engine holds the request for `stage` any more; one engine may hold it for both."""
        self._visited = [visited for visited in self._visited if visited[1] != stage]

    def blame(self, outcome: str, failed_server: str) -> None:
        """Names what the owner is told when the context ends with an exception."""
        self._blame = (outcome, failed_server)

    def move(self, outcome: str, failed_server: str) -> None:
        """Gives the present servers up and takes others; `failed_server` is avoided from now on.

        Raises `FailureError` when there is no place in time.
        """
        self._abandon(outcome, failed_server)
        if failed_server:
            self._avoid.append(failed_server)
        self._acquire(min(time.monotonic() + self._wanted.move_wait_s, self._wanted.last_moment))

    def _acquire(self, deadline: float) -> None:
        self._blame = ("gone", "")
        suffix = f"-{self._attempt}" if self._attempt else ""
        self._attempt += 1
        self.ticket = self._wanted.request_id + suffix
        self.release = messages.ReleaseRequest(self._wanted.pool, self.ticket, "gone")
        try:
            with self._context.meters.waiting.track_inprogress():
                self.assignment = self._wait(deadline)
        except BaseException:
            self._abandon("gone", "")
            raise
        self._context.held.add(self._wanted.pool, self.assignment, self._wanted.workspace, "assigned")

    def _wait(self, deadline: float) -> Any:
        problem = "no answer from the pool's owner"
        while True:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                raise FailureError(Failure("queue_timeout", f"no place before the deadline ({problem})", retry_after=1))
            self._check()
            try:
                reply = self._context.pools.call(self._wanted.pool, "acquire", self._request(remaining))
            except (messages.Refused, RpcError) as error:
                problem = getattr(error, "message", "") or str(error)
                time.sleep(min(_PAUSE_S, remaining))
                continue
            if reply.status == "assigned":
                return reply.assignment
            if reply.status == "refused":
                retry_s = reply.retry_after_ms / 1000 if reply.retry_after_ms >= 0 else 1.0
                raise FailureError(Failure(reply.code or "overloaded", reply.message, retry_after=retry_s))
            problem = "all servers are busy"

    def _request(self, remaining: float) -> Any:
        wanted = self._wanted
        me = self._context.follower.identity
        return messages.AcquireRequest(
            wanted.pool,
            self.ticket,
            me.vm,
            me.incarnation,
            wanted.workspace,
            wanted.weight,
            wanted.latency_class,
            max(1, int(remaining * 1000)),
            wanted.prompt_tokens,
            wanted.output_tokens,
            wanted.prefix_blocks,
            me.data_centre,
            max(1, int(min(_SLICE_MS, remaining * 1000))),
            list(self._avoid),
        )

    def _give_back(self, outcome: str) -> None:
        self.release.outcome = outcome
        release = self.release
        # A renewal after the release would make the owner take the ticket in again.
        self._context.held.remove(self.ticket)
        if not _release(self._context, release):
            what = f"{self.ticket} release of its place"
            self._context.cleanup.add(what, lambda: _release(self._context, release), _GIVE_UP_S)

    def _abandon(self, outcome: str, failed_server: str) -> None:
        self.release.outcome = outcome
        self.release.failed_server = failed_server
        job = _Abandon(self._context, self.release, dict.fromkeys(address for address, _ in self._visited))
        self._visited = []
        held = self._context.held
        ticket = self.ticket
        self._context.cleanup.add(f"{ticket} cancellation", job.run, _GIVE_UP_S, lambda: held.remove(ticket))


class _Abandon:
    """Cancels a request at the engines that may hold it, then gives its place back."""

    def __init__(self, context: EntryContext, release: Any, addresses: dict[str, None]):
        self._context = context
        self._release = release
        self._addresses = list(addresses)
        self._release_at = time.monotonic() + _CANCEL_WAIT_S
        self._released = False

    def run(self) -> bool:
        """Makes one attempt; returns whether everything is acknowledged."""
        self._addresses = [address for address in self._addresses if not _cancel(address, self._release.ticket)]
        if not self._released and (not self._addresses or time.monotonic() >= self._release_at):
            self._context.held.remove(self._release.ticket)
            self._released = _release(self._context, self._release)
        return self._released and not self._addresses


def _release(context: EntryContext, release: Any) -> bool:
    try:
        context.pools.call(release.pool, "release", release, _RELEASE_S)
    except (messages.Refused, RpcError):
        return False
    return True


def _cancel(address: str, ticket: str) -> bool:
    body = json.dumps({"request_id": ticket}).encode()
    transfer = Transfer("POST", f"{address}/engine/cancel", ["Content-Type: application/json"], body, _CANCEL_S)
    result = fetch(transfer)
    return result.whole and result.status == 200
