"""Reservations of backend servers: waiting for an assignment, reassignment, cancellation and release."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_base import Failure, FailureError, Verdict
from arbutusrill_http import AbortStreamError, Transfer, fetch, peer_closed
from arbutusrill_wire import RpcError, messages

from ._context import EntryContext
from ._guard import KeyGuard

__all__ = ["Requirements", "ServerReservation", "make_wait_check"]

_MAX_ACQUIRE_WAIT_MS = 300
_RETRY_PAUSE_S = 0.05
_RELEASE_TIMEOUT_S = 0.5
_CANCEL_TIMEOUT_S = 0.5  # of one attempt
_MAX_CANCEL_WAIT_S = 1.5  # then slots are released even if a server has not acknowledged the cancellation
_CLEANUP_TIMEOUT_S = 10.0
_MAX_CANCEL_ANSWER_BYTES = 16_384  # not read; bounded in sum by the threads of the clean-up


def make_wait_check(caller: socket.socket, guard: KeyGuard) -> Callable[[], bool]:
    """Returns a check to call periodically while a request waits.

    The check raises `AbortStreamError` if the caller has disconnected and `FailureError` if its key is no longer
    valid. Otherwise it returns False.
    """

    def check() -> bool:
        if peer_closed(caller):
            raise AbortStreamError
        failure = guard.check_key(Verdict.NOT_RUN)
        if failure is not None:
            raise FailureError(failure)
        return False

    return check


@dataclass(slots=True)
class Requirements:
    """What a request requires of a pool.

    `deadline` limits the wait for the first assignment, in seconds on the monotonic clock. A reassignment may wait
    for `reassign_wait_s` seconds, but not beyond `caller_deadline`, the deadline set by the caller, if any.
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
    reassign_wait_s: float = 5.0
    caller_deadline: float = float("inf")


class ServerReservation:
    """Context manager that holds servers of a pool for one request.

    Each assignment has its own ticket, which is also the request id at the engines, so that cancelling an attempt
    cannot cancel a later one. `mark_stage` records the engines that may hold the request. If the context ends with an
    exception, the cancellation is sent to them until they acknowledge it or `_CLEANUP_TIMEOUT_S` seconds have passed.
    """

    def __init__(self, context: EntryContext, requirements: Requirements, caller: socket.socket, guard: KeyGuard):
        self._context = context
        self._requirements = requirements
        self._caller = caller
        self._check_waiting = make_wait_check(caller, guard)
        self._engine_stages: list[tuple[str, str]] = []
        self._avoided_servers: list[str] = []
        self._failure = ("gone", "")
        self._attempt = 0
        self.ticket = ""
        self.assignment: Any = None
        self.release = messages.ReleaseRequest()

    def __enter__(self) -> ServerReservation:
        self._acquire(self._requirements.deadline)
        return self

    def __exit__(self, exception_type: object, *_: object) -> None:
        if exception_type is None:
            self._release_now("done")
        else:
            self._cancel_and_release(*self._failure)

    @property
    def caller(self) -> socket.socket:
        """Socket of the caller's connection."""
        return self._caller

    def mark_stage(self, address: str, stage: str) -> None:
        """Records that the engine at `address` may hold the request for `stage` from now on."""
        self._engine_stages.append((address, stage))
        self._context.held_tickets.set_stage(self.ticket, stage)

    def clear_stage(self, stage: str) -> None:
        """Records that no engine holds the request for `stage` any longer; it may still be held for the other stage."""
        self._engine_stages = [engine_stage for engine_stage in self._engine_stages if engine_stage[1] != stage]

    def set_failure(self, outcome: str, failed_server: str) -> None:
        """Sets the outcome and the failed server to report to the owner if the context ends with an exception."""
        self._failure = (outcome, failed_server)

    def reassign(self, outcome: str, failed_server: str) -> None:
        """Releases the current servers and reserves others, excluding `failed_server` from now on.

        Raises `FailureError` if no servers are assigned in time.
        """
        self._cancel_and_release(outcome, failed_server)
        if failed_server:
            self._avoided_servers.append(failed_server)
        self._acquire(min(time.monotonic() + self._requirements.reassign_wait_s, self._requirements.caller_deadline))

    def _acquire(self, deadline: float) -> None:
        self._failure = ("gone", "")
        suffix = f"-{self._attempt}" if self._attempt else ""
        self._attempt += 1
        self.ticket = self._requirements.request_id + suffix
        self.release = messages.ReleaseRequest(self._requirements.pool, self.ticket, "gone")
        try:
            with self._context.meters.waiting_requests.track_inprogress():
                self.assignment = self._wait_for_assignment(deadline)
        except BaseException:
            self._cancel_and_release("gone", "")
            raise
        self._context.held_tickets.add(
            self._requirements.pool, self.assignment, self._requirements.workspace, "assigned"
        )

    def _wait_for_assignment(self, deadline: float) -> Any:
        reason = "no answer from the pool's owner"
        while True:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                raise FailureError(Failure("queue_timeout", f"no place before the deadline ({reason})", retry_after=1))
            self._check_waiting()
            try:
                reply = self._context.pools.call(self._requirements.pool, "acquire", self._acquire_request(remaining_s))
            except (messages.Refused, RpcError) as error:
                reason = getattr(error, "message", "") or str(error)
                time.sleep(min(_RETRY_PAUSE_S, remaining_s))
                continue
            if reply.status == "assigned":
                return reply.assignment
            if reply.status == "refused":
                retry_s = reply.retry_after_ms / 1000 if reply.retry_after_ms >= 0 else 1.0
                raise FailureError(Failure(reply.code or "overloaded", reply.message, retry_after=retry_s))
            reason = "all servers are busy"

    def _acquire_request(self, remaining_s: float) -> Any:
        requirements = self._requirements
        identity = self._context.follower.identity
        return messages.AcquireRequest(
            requirements.pool,
            self.ticket,
            identity.vm,
            identity.incarnation,
            requirements.workspace,
            requirements.weight,
            requirements.latency_class,
            max(1, int(remaining_s * 1000)),
            requirements.prompt_tokens,
            requirements.output_tokens,
            requirements.prefix_blocks,
            identity.data_centre,
            max(1, int(min(_MAX_ACQUIRE_WAIT_MS, remaining_s * 1000))),
            list(self._avoided_servers),
        )

    def _release_now(self, outcome: str) -> None:
        self.release.outcome = outcome
        release = self.release
        # A renewal after the release would make the owner register the ticket again.
        self._context.held_tickets.remove(self.ticket)
        if not _try_release(self._context, release):
            description = f"{self.ticket} release"
            self._context.cleanup.add(description, lambda: _try_release(self._context, release), _CLEANUP_TIMEOUT_S)

    def _cancel_and_release(self, outcome: str, failed_server: str) -> None:
        self.release.outcome = outcome
        self.release.failed_server = failed_server
        job = _CancelAndRelease(
            self._context, self.release, dict.fromkeys(address for address, _ in self._engine_stages)
        )
        self._engine_stages = []
        held = self._context.held_tickets
        ticket = self.ticket
        self._context.cleanup.add(f"{ticket} cancellation", job.run, _CLEANUP_TIMEOUT_S, lambda: held.remove(ticket))


class _CancelAndRelease:
    """Cleanup job that cancels a request at the engines that may hold it and releases its ticket.

    The ticket is released once all engines have acknowledged the cancellation, or after `_MAX_CANCEL_WAIT_S` seconds.
    """

    def __init__(self, context: EntryContext, release: Any, addresses: dict[str, None]):
        self._context = context
        self._release = release
        self._addresses = list(addresses)
        self._release_at = time.monotonic() + _MAX_CANCEL_WAIT_S
        self._released = False

    def run(self) -> bool:
        """Makes one attempt; returns whether all cancellations and the release are acknowledged."""
        self._addresses = [address for address in self._addresses if not _try_cancel(address, self._release.ticket)]
        if not self._released and (not self._addresses or time.monotonic() >= self._release_at):
            self._context.held_tickets.remove(self._release.ticket)
            self._released = _try_release(self._context, self._release)
        return self._released and not self._addresses


def _try_release(context: EntryContext, release: Any) -> bool:
    try:
        context.pools.call(release.pool, "release", release, _RELEASE_TIMEOUT_S)
    except (messages.Refused, RpcError):
        return False
    return True


def _try_cancel(address: str, ticket: str) -> bool:
    body = json.dumps({"request_id": ticket}).encode()
    transfer = Transfer(
        "POST",
        f"{address}/engine/cancel",
        ["Content-Type: application/json"],
        body,
        _CANCEL_TIMEOUT_S,
        max_body_bytes=_MAX_CANCEL_ANSWER_BYTES,
    )
    result = fetch(transfer)
    return result.is_complete and result.status == 200
