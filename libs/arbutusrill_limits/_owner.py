"""Token buckets of all workspaces, kept in memory by the control group's leader, which grants tokens to entry VMs."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_base import CLOCK_DRIFT_S, Clock
from arbutusrill_wire import messages

from ._bucket import MAX_LEASE_S, Bucket, Limits

__all__ = ["GrantOwner"]

_NEED_TTL_S = 1.0  # a VM that does not repeat its request for this long loses its position in the queue
_MAX_CACHED_REPLIES = 4096  # one for each VM incarnation; the target deployment has 390 nodes and 110 restarts a day
_US_PER_S = 1_000_000


@dataclass(slots=True)
class _QueuedNeed:
    """Tokens that a waiting VM lacks for its first charge; dropped at `expires_at` unless repeated."""

    tokens: float
    expires_at: float


@dataclass(slots=True)
class _Account:
    """Bucket of a workspace and the VMs that wait for tokens, in first-come, first-served order."""

    bucket: Bucket
    need_by_vm: OrderedDict[str, _QueuedNeed] = field(default_factory=OrderedDict)


@dataclass(slots=True)
class _LastReply:
    sequence: int
    reply: Any


class GrantOwner:
    """Grants tokens to entry VMs so that all VMs together stay within each workspace's rate and burst.

    `limits_of` returns the `Limits` of a workspace, or None for an unknown one. The epoch is the leader's term. Each
    term begins with empty buckets, which start to fill `MAX_LEASE_S` plus the clock drift later, when every grant of an
    earlier leader has expired.
    """

    def __init__(self, limits_of: Callable[[str], Limits | None], clock: Clock):
        self._limits_of = limits_of
        self._clock = clock
        self._lock = threading.Lock()
        self._epoch: int | None = None
        self._refill_starts_at = 0.0
        self._account_by_workspace: dict[str, _Account] = {}
        self._last_reply_by_vm: OrderedDict[tuple[str, int], _LastReply] = OrderedDict()

    def begin_epoch(self, epoch: int) -> None:
        """Starts an epoch with empty buckets and without cached replies; does nothing if `epoch` is the current one."""
        with self._lock:
            if epoch == self._epoch:
                return
            self._epoch = epoch
            self._refill_starts_at = self._clock.monotonic() + MAX_LEASE_S + CLOCK_DRIFT_S
            self._account_by_workspace.clear()
            self._last_reply_by_vm.clear()

    def grant(self, request: Any, epoch: int) -> Any:
        """Answers a `GrantRequest` as the leader of term `epoch`.

        A request resent with the same sequence number gets the cached reply, so that its returned tokens are credited
        once and its grants are made once. Raises `messages.Refused` with ``stale_request`` for a sequence number lower
        than the last one, and with ``not_leader`` for another epoch.
        """
        self.begin_epoch(epoch)
        with self._lock:
            if epoch != self._epoch:
                raise messages.Refused("not_leader", f"the grant epoch is {self._epoch}, not {epoch}")
            vm = (request.vm, request.incarnation)
            last = self._last_reply_by_vm.get(vm)
            if last is not None and request.sequence <= last.sequence:
                if request.sequence == last.sequence:
                    return last.reply
                message = f"grant request {request.sequence} was overtaken by {last.sequence}"
                raise messages.Refused("stale_request", message)
            now = int(self._clock.monotonic() * _US_PER_S) / _US_PER_S  # grants carry their time in whole microseconds
            reply = messages.GrantReply(
                [self._grant_for_item(request.vm, item, now) for item in request.items or []], epoch
            )
            self._last_reply_by_vm[vm] = _LastReply(request.sequence, reply)
            self._last_reply_by_vm.move_to_end(vm)
            while len(self._last_reply_by_vm) > _MAX_CACHED_REPLIES:
                self._last_reply_by_vm.popitem(last=False)
            return reply

    def _grant_for_item(self, vm: str, item: Any, now: float) -> Any:
        limits = self._limits_of(item.workspace)
        if limits is None:
            # Its account is not deleted: a workspace that is removed and created again must not get a second burst.
            return messages.Grant(item.workspace, 0.0, 0, 0.0)
        account = self._account(item.workspace, limits, now)
        bucket = account.bucket
        for returned in item.returns or []:
            if returned.epoch == self._epoch and returned.tokens > 0:
                bucket.credit(returned.tokens, returned.issued_us / _US_PER_S, now)
        tokens, retry_s = self._allocate(account, vm, item, now)
        issued_us = round(now * _US_PER_S)
        lease_ms = int(limits.lease_s * 1000)
        retry_ms = int(retry_s * 1000) + 1 if retry_s > 0 else 0
        return messages.Grant(item.workspace, tokens, lease_ms, limits.capacity, min(retry_ms, 2**31 - 1), issued_us)

    def _account(self, workspace: str, limits: Limits, now: float) -> _Account:
        account = self._account_by_workspace.get(workspace)
        if account is None:
            account = _Account(Bucket(limits, self._refill_starts_at))
            self._account_by_workspace[workspace] = account
        account.bucket.set_limits(limits, now)
        return account

    def _allocate(self, account: _Account, vm: str, item: Any, now: float) -> tuple[float, float]:
        """Returns the tokens granted, and the expected seconds until `item.needed` are available, 0 if they are."""
        bucket = account.bucket
        needs = account.need_by_vm
        for name in [name for name, need in needs.items() if need.expires_at < now]:
            del needs[name]
        preceding_tokens = 0.0
        for name, need in needs.items():
            if name == vm:
                break
            preceding_tokens += need.tokens
        needed = min(max(item.needed, 0.0), bucket.limits.capacity)
        others_needed = sum(need.tokens for name, need in needs.items() if name != vm)
        if needed > 0 and bucket.level - preceding_tokens < needed:
            needs[vm] = _QueuedNeed(needed, now + _NEED_TTL_S)
            return 0.0, (preceding_tokens + needed - bucket.level) / bucket.limits.rate
        needs.pop(vm, None)
        # The tokens beyond `needed` are a prefetch: only tokens that no other VM waits for go into it.
        spare = max(0.0, bucket.level - others_needed - needed)
        tokens = needed + min(max(0.0, item.wanted - needed), spare)
        if tokens > 0:
            bucket.withdraw(tokens, now)
        return tokens, 0.0
