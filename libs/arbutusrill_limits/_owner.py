"""The owner's side: token buckets of all workspaces, kept by the control group's leader in memory."""

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

_NEED_S = 1.0  # a VM that has not asked again for this long no longer waits
_KEPT_VMS = 4096  # incarnations whose last answer is kept; the target has 390 nodes and 110 restarts a day
_US = 1_000_000


@dataclass(slots=True)
class _Need:
    tokens: float
    until: float


@dataclass(slots=True)
class _Account:
    """A bucket and the VMs that wait for it, first come first served."""

    bucket: Bucket
    need_by_vm: OrderedDict[str, _Need] = field(default_factory=OrderedDict)


@dataclass(slots=True)
class _Last:
    sequence: int
    reply: Any


class GrantOwner:
    """Grants tokens of workspaces to entry VMs so that all VMs together stay within rate and burst.

    `limits_of` returns the `Limits` of a workspace, or None for an unknown one. The epoch is the term of the
    leader: each new term begins with empty buckets that fill from one lease and the clock drift after its start,
    when every grant of an earlier leader has expired.
    """

    def __init__(self, limits_of: Callable[[str], Limits | None], clock: Clock):
        self._limits_of = limits_of
        self._clock = clock
        self._lock = threading.Lock()
        self._epoch: int | None = None
        self._filling_from = 0.0
        self._account_by_workspace: dict[str, _Account] = {}
        self._last_by_vm: OrderedDict[tuple[str, int], _Last] = OrderedDict()

    def enter_epoch(self, epoch: int) -> None:
        """Begins a new epoch unless `epoch` is the current one."""
        with self._lock:
            if epoch == self._epoch:
                return
            self._epoch = epoch
            self._filling_from = self._clock.monotonic() + MAX_LEASE_S + CLOCK_DRIFT_S
            self._account_by_workspace.clear()
            self._last_by_vm.clear()

    def grant(self, request: Any, epoch: int) -> Any:
        """Answers a `GrantRequest` as the leader of term `epoch`.

        A request that is sent again with the same sequence number gets the first answer again, so that its
        returned tokens are credited once and its grants are made once. Raises `messages.Refused` with
        ``stale_request`` for a number that was passed already.
        """
        self.enter_epoch(epoch)
        with self._lock:
            if epoch != self._epoch:
                raise messages.Refused("not_leader", f"the grant epoch is {self._epoch}, not {epoch}")
            vm = (request.vm, request.incarnation)
            last = self._last_by_vm.get(vm)
            if last is not None and request.sequence <= last.sequence:
                if request.sequence == last.sequence:
                    return last.reply
                message = f"grant request {request.sequence} was overtaken by {last.sequence}"
                raise messages.Refused("stale_request", message)
            now = int(self._clock.monotonic() * _US) / _US  # grants name their time in whole microseconds
            reply = messages.GrantReply([self._item(request.vm, item, now) for item in request.items or []], epoch)
            self._last_by_vm[vm] = _Last(request.sequence, reply)
            self._last_by_vm.move_to_end(vm)
            while len(self._last_by_vm) > _KEPT_VMS:
                self._last_by_vm.popitem(last=False)
            return reply

    def _item(self, vm: str, item: Any, now: float) -> Any:
        limits = self._limits_of(item.workspace)
        if limits is None:
            # The account stays: a workspace that is removed and created again must not get a second burst.
            return messages.Grant(item.workspace, 0.0, 0, 0.0)
        account = self._account(item.workspace, limits, now)
        bucket = account.bucket
        for returned in item.returns or []:
            if returned.epoch == self._epoch and returned.tokens > 0:
                bucket.credit(returned.tokens, returned.issued_us / _US, now)
        tokens, retry_s = self._share(account, vm, item, now)
        issued_us = round(now * _US)
        lease_ms = int(limits.lease_s * 1000)
        retry_ms = int(retry_s * 1000) + 1 if retry_s > 0 else 0
        return messages.Grant(item.workspace, tokens, lease_ms, limits.capacity, min(retry_ms, 2**31 - 1), issued_us)

    def _account(self, workspace: str, limits: Limits, now: float) -> _Account:
        account = self._account_by_workspace.get(workspace)
        if account is None:
            account = _Account(Bucket(limits, self._filling_from))
            self._account_by_workspace[workspace] = account
        account.bucket.change(limits, now)
        return account

    def _share(self, account: _Account, vm: str, item: Any, now: float) -> tuple[float, float]:
        """Returns the tokens granted and, when that is none, the seconds until there may be enough."""
        bucket = account.bucket
        needs = account.need_by_vm
        for name in [name for name, need in needs.items() if need.until < now]:
            del needs[name]
        ahead = 0.0
        for name, need in needs.items():
            if name == vm:
                break
            ahead += need.tokens
        needed = min(max(item.needed, 0.0), bucket.limits.capacity)
        others = sum(need.tokens for name, need in needs.items() if name != vm)
        if needed > 0 and bucket.level - ahead < needed:
            needs[vm] = _Need(needed, now + _NEED_S)
            return 0.0, (ahead + needed - bucket.level) / bucket.limits.rate
        needs.pop(vm, None)
        # What goes beyond the need is only taken from what no other VM waits for.
        spare = max(0.0, bucket.level - others - needed)
        tokens = needed + min(max(0.0, item.wanted - needed), spare)
        if tokens > 0:
            bucket.take(tokens, now)
        return tokens, 0.0
