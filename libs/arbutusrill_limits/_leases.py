"""Charges requests on an entry VM against tokens granted to it by the `GrantOwner` on the control group's leader."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock, Failure, FailureError, PartLog, TaskGroup, Verdict
from arbutusrill_wire import messages

from ._bucket import Limits
from ._held_tokens import HeldGrant, HeldTokens

__all__ = ["Charge", "TokenLeases"]

_POLL_INTERVAL_S = 0.05  # at which a waiting charge checks whether its caller has disconnected
_MAX_REQUEST_PAUSE_S = 0.1  # between requests to the owner; refunds can make tokens available earlier than predicted
_RETURN_INTERVAL_S = 0.05  # at which idle tokens are returned; also the pause after a failed exchange
_MAX_REPLY_AGE_S = 2.0  # older replies do not show that the rate is used up: 503 instead of 429
_log = PartLog("limits")


@dataclass(slots=True)
class _PendingRequest:
    """Request without a reply so far; `sent_at` is its first sending, from which the leases of its grants count."""

    request: Any
    sent_at: float


class TokenLeases:
    """Charges requests against the fleet-wide rate of their workspace.

    `send` passes a `GrantRequest` to the owner and raises on failure; `limits_of` returns the `Limits` of a
    workspace or None. One request to the owner is in flight at a time. A request without a reply is resent
    unchanged, so that neither its grants nor its returned tokens are lost or counted twice.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        send: Callable[[Any], Any],
        limits_of: Callable[[str], Limits | None],
        clock: Clock,
        poll_interval_s: float = _POLL_INTERVAL_S,
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._send = send
        self._limits_of = limits_of
        self._clock = clock
        self._poll_interval_s = poll_interval_s
        self._exchange_lock = threading.Lock()  # acquired before `_lock`; `drain` runs beside the exchange thread
        self._lock = threading.Lock()
        self._exchange_wanted = threading.Condition(self._lock)
        self._held_by_workspace: dict[str, HeldTokens] = {}
        self._charge_ids = itertools.count(1)
        self._sequence = 0
        self._pending: _PendingRequest | None = None
        self._draining = False

    def charge(self, workspace: str, tokens: float, deadline: float, is_caller_gone: Callable[[], bool]) -> Charge:
        """Returns a charge that takes `tokens` from the grants when its context is entered.

        Entering waits until `deadline` (monotonic, seconds) and meanwhile polls `is_caller_gone`, which returns whether
        the caller has disconnected and may raise. Entering raises `FailureError`: 429 ``rate_limited``, 400
        ``above_burst``, 503 ``limits_unavailable`` when the owner does not reply, 401 ``unknown_workspace`` or 499
        ``caller_gone``.
        """
        return Charge(self, workspace, max(0.0, tokens), deadline, is_caller_gone)

    def _acquire_tokens(self, charge: Charge) -> list[tuple[HeldGrant, float]]:
        if charge.tokens == 0:
            return []
        limits = self._limits_of(charge.workspace)
        if limits is None:
            raise FailureError(Failure("unknown_workspace", "the workspace no longer exists", status=401))
        if charge.tokens > limits.capacity:
            message = (
                f"the request needs {charge.tokens:g} tokens, of the burst of {limits.burst:g} tokens "
                f"at most {limits.capacity:g} can go to one request"
            )
            raise FailureError(Failure("above_burst", message, status=400))
        charge_id = next(self._charge_ids)
        with self._lock:
            held = self._held_tokens(charge.workspace)
            held.waiting_tokens_by_charge[charge_id] = charge.tokens
        try:
            while (taken_by_grant := self._try_acquire_tokens(held, charge_id, charge, limits)) is None:
                if charge.is_caller_gone():
                    raise FailureError(Failure("caller_gone", "the caller has left", status=499))
                with self._lock:
                    held.changed.wait(self._poll_interval_s)
            return taken_by_grant
        finally:
            with self._lock:
                held.waiting_tokens_by_charge.pop(charge_id, None)
                held.changed.notify_all()

    def _try_acquire_tokens(self, held: HeldTokens, charge_id: int, charge: Charge, limits: Limits) -> list | None:
        with self._lock:
            now = self._clock.monotonic()
            if next(iter(held.waiting_tokens_by_charge)) == charge_id:
                taken_by_grant = held.spend(charge.tokens, now)
                if taken_by_grant is not None:
                    if held.demand(now)[1] > 0:
                        self._exchange_wanted.notify()
                    return taken_by_grant
            self._exchange_wanted.notify()
            remaining = charge.deadline - now
            expected_wait_s = self._expected_wait_s(held, charge_id, limits.rate, now)
            owner_responsive = now - held.last_reply_at < _MAX_REPLY_AGE_S
        # Refunds can shorten the wait, so a charge is refused early only if the wait is over twice the remaining time.
        if remaining > 0 and expected_wait_s <= 2 * remaining:
            return None
        if not owner_responsive:
            message = "the owner of the workspace's rate does not answer"
            raise FailureError(Failure("limits_unavailable", message, status=503, retry_after=1.0))
        message = f"the workspace has used its {limits.rate:g} tokens/s and its burst of {limits.burst:g} tokens"
        raise FailureError(Failure("rate_limited", message, status=429, retry_after=max(0.1, expected_wait_s)))

    def _expected_wait_s(self, held: HeldTokens, charge_id: int, rate: float, now: float) -> float:
        """Returns the seconds until a charge gets its tokens, predicted from the owner's last reply; 0 if none."""
        if held.blocked_until <= now:
            return 0.0
        tokens_after_first = 0.0
        for index, (other, tokens) in enumerate(held.waiting_tokens_by_charge.items()):
            if index > 0:
                tokens_after_first += tokens
            if other == charge_id:
                break
        return held.blocked_until - now + tokens_after_first / rate

    def refund_unused(self, charge: Charge, taken_by_grant: list[tuple[HeldGrant, float]], unused: float) -> None:
        """Returns `unused` tokens of a charge to their grants, or to the owner if a grant has expired."""
        if unused <= 0:
            return
        with self._lock:
            held = self._held_tokens(charge.workspace)
            now = self._clock.monotonic()
            held.subtract_usage(unused, now)
            for grant, tokens in reversed(taken_by_grant):
                refunded = min(unused, tokens)
                unused -= refunded
                if now < grant.expires_at and not self._draining:
                    grant.tokens += refunded
                else:
                    held.add_return(grant.epoch, grant.issued_us, refunded)
            held.changed.notify_all()
            self._exchange_wanted.notify()

    def _held_tokens(self, workspace: str) -> HeldTokens:
        held = self._held_by_workspace.get(workspace)
        if held is None:
            held = self._held_by_workspace[workspace] = HeldTokens(threading.Condition(self._lock))
        return held

    def start(self, tasks: TaskGroup) -> None:
        """Starts a thread that exchanges tokens with the owner until `tasks` stops."""
        if tasks.start(self._run_exchanges, tasks) is None:
            raise RuntimeError("task group has no free thread for the token exchange")

    def _run_exchanges(self, tasks: TaskGroup) -> None:
        while not tasks.stopping.is_set():
            try:
                sent = self.exchange_once()
            except Exception as error:
                _log.warning("token exchange with the rate owner failed: %s", error)
                tasks.stopping.wait(_RETURN_INTERVAL_S)
                continue
            if not sent:
                with self._lock:
                    # Charges notify; the timeout covers expiring grants, the pause between requests and the stop.
                    self._exchange_wanted.wait(self._pause_s())

    def _pause_s(self) -> float:
        """Returns the longest time to wait for a notification before the next exchange."""
        now = self._clock.monotonic()
        pause = 0.5
        for held in self._held_by_workspace.values():
            if held.waiting_tokens_by_charge:
                pause = min(pause, max(0.002, held.next_request_at - now))
            elif held.grants or held.pending_returns:
                pause = min(pause, _RETURN_INTERVAL_S)
        return pause

    def exchange_once(self) -> bool:
        """Does one exchange with the owner if tokens are wanted or to be returned; returns whether it did.

        Propagates exceptions of `send`; the next call then resends the same request.
        """
        with self._exchange_lock:
            return self._exchange_once()

    def _exchange_once(self) -> bool:
        with self._lock:
            if self._pending is None:
                items = self._grant_items(self._clock.monotonic())
                if not items:
                    return False
                self._sequence += 1
                request = messages.GrantRequest(self._vm, self._incarnation, items, 0, self._sequence)
                self._pending = _PendingRequest(request, self._clock.monotonic())
            pending = self._pending
        try:
            reply = self._send(pending.request)
        except messages.Refused as refused:
            if refused.code == "stale_request":
                with self._lock:
                    self._pending = None
            raise
        with self._lock:
            self._pending = None
            self._apply_reply(reply, pending.sent_at)
        return True

    def _grant_items(self, now: float) -> list[Any]:
        items = []
        for workspace, held in self._held_by_workspace.items():
            held.return_idle(now)
            held.expire(now)
            # While draining, tokens are requested only when charges wait.
            needed, wanted = (0.0, 0.0) if self._draining and not held.waiting_tokens_by_charge else held.demand(now)
            if now < held.next_request_at:
                needed, wanted = 0.0, 0.0
            if wanted > 0 or held.pending_returns:
                items.append(messages.GrantItem(workspace, wanted, 0.0, needed, held.pop_returns(messages)))
        return items

    def _apply_reply(self, reply: Any, sent_at: float) -> None:
        now = self._clock.monotonic()
        for grant in reply.grants:
            held = self._held_tokens(grant.workspace)
            lease_s = grant.lease_ms / 1000
            held.last_reply_at = now
            held.lease_s = lease_s or held.lease_s
            if grant.tokens > 0:
                new_grant = HeldGrant(grant.tokens, reply.epoch, grant.issued_us, sent_at + lease_s, lease_s)
                held.add_grant(new_grant)
                held.expire(now)
            retry_s = (grant.retry_after_ms or 0) / 1000
            held.blocked_until = now + retry_s
            held.next_request_at = now + min(retry_s, _MAX_REQUEST_PAUSE_S)
            held.changed.notify_all()

    def drain(self, deadline: float) -> None:
        """Returns all unspent tokens to the owner, retrying until `deadline` (monotonic, seconds)."""
        with self._lock:
            self._draining = True
            for held in self._held_by_workspace.values():
                while held.grants:
                    grant = held.grants.popleft()
                    held.add_return(grant.epoch, grant.issued_us, grant.tokens)
        while self._clock.monotonic() < deadline:
            try:
                if not self.exchange_once():
                    return
            except Exception as error:
                _log.warning("cannot return unspent tokens to the rate owner: %s", error)
                threading.Event().wait(_RETURN_INTERVAL_S)


class Charge:
    """Context manager that takes tokens for one request from the grants on entry and refunds the unused ones on exit.

    `used` is the number of tokens kept on exit, initially all. If the context exits with a `FailureError` whose verdict
    is ``NOT_RUN``, everything is refunded. `refund_unused` refunds before the exit.
    """

    __slots__ = ("_leases", "_taken_by_grant", "_refunded", "deadline", "is_caller_gone", "tokens", "used", "workspace")

    def __init__(
        self, leases: TokenLeases, workspace: str, tokens: float, deadline: float, is_caller_gone: Callable[[], bool]
    ):
        self._leases = leases
        self._taken_by_grant: list[tuple[HeldGrant, float]] = []
        self._refunded = False
        self.workspace = workspace
        self.tokens = tokens
        self.used = tokens
        self.deadline = deadline
        self.is_caller_gone = is_caller_gone

    def __enter__(self) -> Charge:
        self._taken_by_grant = self._leases._acquire_tokens(self)
        return self

    def refund_unused(self, used: float) -> None:
        """Refunds the tokens above `used`, once; use beyond the charged tokens is not charged."""
        if not self._refunded:
            self._refunded = True
            self._leases.refund_unused(self, self._taken_by_grant, self.tokens - max(0.0, used))

    def __exit__(self, kind: object, error: object, _: object) -> None:
        not_run = isinstance(error, FailureError) and error.failure.verdict is Verdict.NOT_RUN
        self.refund_unused(0.0 if not_run else self.used)
