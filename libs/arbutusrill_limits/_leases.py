"""The entry VM's side: charges for requests, paid from tokens that the owner has granted to this VM."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock, Failure, FailureError, PartLog, TaskGroup, Verdict
from arbutusrill_wire import messages

from ._account import HeldGrant, HeldTokens
from ._bucket import Limits

__all__ = ["Charge", "TokenLeases"]

_SLICE_S = 0.05  # how often a waiting charge looks whether its caller has left
_ASK_AGAIN_S = 0.1  # longest pause before the owner is asked again, refunds may have come in
_IDLE_STEP_S = 0.05  # how soon tokens go back that are not needed
_KNOWN_S = 2.0  # an answer of the owner that is older says nothing about the limit
_log = PartLog("limits")


@dataclass(slots=True)
class _Pending:
    request: Any
    sent_at: float


class TokenLeases:
    """Charges requests against the fleet-wide rate of their workspace.

    `send` passes a `GrantRequest` to the owner and raises on failure; `limits_of` returns the `Limits` of a
    workspace or None. One request to the owner is under way at a time. A request without an answer is sent
    again unchanged, so that neither its grants nor its returned tokens are lost or counted twice.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        send: Callable[[Any], Any],
        limits_of: Callable[[str], Limits | None],
        clock: Clock,
        slice_s: float = _SLICE_S,
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._send = send
        self._limits_of = limits_of
        self._clock = clock
        self._slice_s = slice_s
        self._exchange = threading.Lock()  # taken before `_lock`; draining may meet the exchange thread
        self._lock = threading.Lock()
        self._asked = threading.Condition(self._lock)
        self._held_by_workspace: dict[str, HeldTokens] = {}
        self._numbers = itertools.count(1)
        self._sequence = 0
        self._pending: _Pending | None = None
        self._draining = False

    # ---- charges

    def charge(self, workspace: str, tokens: float, deadline: float, gone: Callable[[], bool]) -> Charge:
        """Returns a charge of `tokens` that is paid when its context is entered.

        Entering waits until `deadline` (monotonic, seconds) and calls `gone` meanwhile, which says whether the
        caller has left or raises. It raises `FailureError`: 429 ``rate_limited`` or 400 ``above_burst``, or 503
        ``limits_unavailable`` when the owner does not answer.
        """
        return Charge(self, workspace, max(0.0, tokens), deadline, gone)

    def _pay(self, charge: Charge) -> list[tuple[HeldGrant, float]]:
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
        number = next(self._numbers)
        with self._lock:
            held = self._held(charge.workspace)
            held.waiting[number] = charge.tokens
        try:
            while (parts := self._try(held, number, charge, limits)) is None:
                if charge.gone():
                    raise FailureError(Failure("caller_gone", "the caller has left", status=499))
                with self._lock:
                    held.changed.wait(self._slice_s)
            return parts
        finally:
            with self._lock:
                held.waiting.pop(number, None)
                held.changed.notify_all()

    def _try(self, held: HeldTokens, number: int, charge: Charge, limits: Limits) -> list | None:
        with self._lock:
            now = self._clock.monotonic()
            if next(iter(held.waiting)) == number:
                parts = held.take(charge.tokens, now)
                if parts is not None:
                    if held.missing(now)[1] > 0:
                        self._asked.notify()
                    return parts
            self._asked.notify()
            remaining = charge.deadline - now
            expected = self._expected_wait(held, number, limits.rate, now)
            answered = now - held.answered_at < _KNOWN_S
        # Refunds can shorten the wait, so that only a hopeless charge is refused before its deadline.
        if remaining > 0 and expected <= 2 * remaining:
            return None
        if not answered:
            message = "the owner of the workspace's rate does not answer"
            raise FailureError(Failure("limits_unavailable", message, status=503, retry_after=1.0))
        message = f"the workspace has used its {limits.rate:g} tokens/s and its burst of {limits.burst:g} tokens"
        raise FailureError(Failure("rate_limited", message, status=429, retry_after=max(0.1, expected)))

    def _expected_wait(self, held: HeldTokens, number: int, rate: float, now: float) -> float:
        """Returns the seconds until a charge can be paid, as the owner's last answer predicts; 0 if it does not."""
        if held.blocked_until <= now:
            return 0.0
        behind = 0.0
        for index, (other, tokens) in enumerate(held.waiting.items()):
            if index > 0:
                behind += tokens
            if other == number:
                break
        return held.blocked_until - now + behind / rate

    def settle(self, charge: Charge, parts: list[tuple[HeldGrant, float]], unused: float) -> None:
        """Gives `unused` tokens of a charge back, to the grant while it lasts and otherwise to the owner."""
        if unused <= 0:
            return
        with self._lock:
            held = self._held(charge.workspace)
            now = self._clock.monotonic()
            held.unused(unused, now)
            for grant, tokens in reversed(parts):
                part = min(unused, tokens)
                unused -= part
                if now < grant.expires_at and not self._draining:
                    grant.tokens += part
                else:
                    held.give_back(grant.epoch, grant.issued_us, part)
            held.changed.notify_all()
            self._asked.notify()

    def _held(self, workspace: str) -> HeldTokens:
        held = self._held_by_workspace.get(workspace)
        if held is None:
            held = self._held_by_workspace[workspace] = HeldTokens(threading.Condition(self._lock))
        return held

    # ---- exchange with the owner

    def start(self, tasks: TaskGroup) -> None:
        """Exchanges tokens with the owner until `tasks` stops."""
        if tasks.start(self._run, tasks) is None:
            raise RuntimeError("task group has no thread left for the exchange of tokens")

    def _run(self, tasks: TaskGroup) -> None:
        while not tasks.stopping.is_set():
            try:
                sent = self.step()
            except Exception as error:
                _log.warning("no answer from the owner of the rates: %s", error)
                tasks.stopping.wait(_IDLE_STEP_S)
                continue
            if not sent:
                with self._lock:
                    # Charges notify; the timeout is for grants that end, for pauses and for the stop.
                    self._asked.wait(self._pause_s())

    def _pause_s(self) -> float:
        now = self._clock.monotonic()
        pause = 0.5
        for held in self._held_by_workspace.values():
            if held.waiting:
                pause = min(pause, max(0.002, held.ask_after - now))
            elif held.grants or held.returns:
                pause = min(pause, _IDLE_STEP_S)
        return pause

    def step(self) -> bool:
        """Does one exchange with the owner if there is a reason for one; returns whether there was.

        Raises whatever `send` raises; the same request is then sent again by the next step.
        """
        with self._exchange:
            return self._step()

    def _step(self) -> bool:
        with self._lock:
            if self._pending is None:
                items = self._items(self._clock.monotonic())
                if not items:
                    return False
                self._sequence += 1
                request = messages.GrantRequest(self._vm, self._incarnation, items, 0, self._sequence)
                self._pending = _Pending(request, self._clock.monotonic())
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
            self._receive(reply, pending.sent_at)
        return True

    def _items(self, now: float) -> list[Any]:
        items = []
        for workspace, held in self._held_by_workspace.items():
            held.return_idle(now)
            held.expire(now)
            needed, wanted = (0.0, 0.0) if self._draining and not held.waiting else held.missing(now)
            if now < held.ask_after:
                needed, wanted = 0.0, 0.0
            if wanted > 0 or held.returns:
                items.append(messages.GrantItem(workspace, wanted, 0.0, needed, held.take_returns(messages)))
        return items

    def _receive(self, reply: Any, sent_at: float) -> None:
        now = self._clock.monotonic()
        for grant in reply.grants:
            held = self._held(grant.workspace)
            lease_s = grant.lease_ms / 1000
            held.answered_at = now
            held.lease_s = lease_s or held.lease_s
            if grant.tokens > 0:
                made = HeldGrant(grant.tokens, reply.epoch, grant.issued_us, sent_at + lease_s, lease_s)
                held.add(made)
                held.expire(now)
            retry_s = (grant.retry_after_ms or 0) / 1000
            held.blocked_until = now + retry_s
            held.ask_after = now + min(retry_s, _ASK_AGAIN_S)
            held.changed.notify_all()

    def drain(self, deadline: float) -> None:
        """Returns all unspent tokens; tries until `deadline` (monotonic, seconds)."""
        with self._lock:
            self._draining = True
            for held in self._held_by_workspace.values():
                while held.grants:
                    grant = held.grants.popleft()
                    held.give_back(grant.epoch, grant.issued_us, grant.tokens)
        while self._clock.monotonic() < deadline:
            try:
                if not self.step():
                    return
            except Exception as error:
                _log.warning("unspent tokens not returned: %s", error)
                threading.Event().wait(_IDLE_STEP_S)


class Charge:
    """Tokens paid for one request, from entering the context on.

    `used` is what leaving the context settles, at first all tokens; after a failure that proves that nothing ran,
    everything is given back. `settle` does it earlier.
    """

    __slots__ = ("_leases", "_parts", "_settled", "deadline", "gone", "tokens", "used", "workspace")

    def __init__(self, leases: TokenLeases, workspace: str, tokens: float, deadline: float, gone: Callable[[], bool]):
        self._leases = leases
        self._parts: list[tuple[HeldGrant, float]] = []
        self._settled = False
        self.workspace = workspace
        self.tokens = tokens
        self.used = tokens
        self.deadline = deadline
        self.gone = gone

    def __enter__(self) -> Charge:
        self._parts = self._leases._pay(self)
        return self

    def settle(self, used: float) -> None:
        """Gives back what is above `used` tokens, once; the tokens used beyond the charge are not counted."""
        if not self._settled:
            self._settled = True
            self._leases.settle(self, self._parts, self.tokens - max(0.0, used))

    def __exit__(self, kind: object, error: object, _: object) -> None:
        not_run = isinstance(error, FailureError) and error.failure.verdict is Verdict.NOT_RUN
        self.settle(0.0 if not_run else self.used)
