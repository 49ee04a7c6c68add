"""Follower of the configuration on an entry VM: pushed changes, freshness and the VM's lease."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from arbutusrill_base import Clock, PartLog, TaskGroup
from arbutusrill_wire import messages

from ._client import ControlClient, ControlUnavailableError
from ._commands import command
from ._config import ConfigState

__all__ = ["Follower", "VmIdentity"]

FRESH_S = 3.0  # a state not confirmed for this long may miss a withdrawn key
WAIT_MS = 400  # long poll; also the heartbeat of the VM's lease
_log = PartLog("follower")


@dataclass(slots=True, frozen=True)
class VmIdentity:
    """Name, addresses, data centre and incarnation of an entry VM."""

    vm: str
    incarnation: int
    http_address: str
    rpc_address: str
    data_centre: str


class Follower:
    """Keeps `config` up to date and knows how fresh it is. Times are on the monotonic clock."""

    def __init__(self, identity: VmIdentity, control: ControlClient, clock: Clock):
        self.identity = identity
        self.config = ConfigState()
        self._control = control
        self._clock = clock
        self._confirmed_at = float("-inf")
        self._lease_until = float("-inf")
        self._draining = False
        self._listeners: list[Callable[[], None]] = []
        self._first = threading.Event()

    def start(self, tasks: TaskGroup) -> None:
        """Follows the control group until `tasks` stops."""
        tasks.start(self._run, tasks)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change, on the follower's thread."""
        self._listeners.append(listener)

    def wait_first(self, timeout: float) -> bool:
        """Waits until a first confirmed state is there."""
        return self._first.wait(timeout)

    def fresh(self) -> bool:
        """Says whether the state was confirmed by a quorum in the last `FRESH_S` seconds."""
        return self._clock.monotonic() - self._confirmed_at < FRESH_S

    def age_s(self) -> float:
        """Returns how long ago the last confirmed poll was sent, in seconds; infinite before the first."""
        return self._clock.monotonic() - self._confirmed_at

    def holds_lease(self) -> bool:
        """Says whether this VM's lease is still running, so that it may act as an owner."""
        return self._clock.monotonic() < self._lease_until

    def drain(self) -> None:
        """Announces from the next poll on that this VM takes no new callers."""
        self._draining = True

    def _run(self, tasks: TaskGroup) -> None:
        while not tasks.stopping.is_set():
            try:
                self.poll()
            except ControlUnavailableError as error:
                _log.warning("state not confirmed: %s", error)
            except messages.Refused as refused:
                _log.warning("control group refused to be followed: %s", refused.message)
                tasks.stopping.wait(0.2)
            except Exception:
                _log.exception("following the control group failed")
                tasks.stopping.wait(0.5)

    def poll(self, wait_ms: int = WAIT_MS) -> None:
        """Asks once for changes and applies them."""
        me = self.identity
        state = "draining" if self._draining else "live"
        request = messages.FollowRequest(
            me.vm,
            me.incarnation,
            me.http_address,
            me.rpc_address,
            me.data_centre,
            state,
            self.config.revision,
            wait_ms,
        )
        sent_at = self._clock.monotonic()
        reply = self._control.call("follow", request, timeout=2.0, try_timeout=1.0 + wait_ms / 1000)
        changed = self._apply(reply)
        if reply.confirmed_revision < request.revision:
            # Only a group that has lost its disks can answer so; its keys may differ from the ones known here.
            _log.error("the control group is at revision %d, behind %d", reply.confirmed_revision, request.revision)
        elif self.config.revision >= reply.confirmed_revision:
            self._confirmed_at = max(self._confirmed_at, sent_at)
            self._lease_until = max(self._lease_until, sent_at + reply.lease_ms / 1000)
            self._first.set()
        if changed:
            for listener in self._listeners:
                listener()

    def release_pools(self, timeout: float) -> bool:
        """Proposes the release of every pool that this run of the VM owns; returns whether none is left.

        To be called by a draining VM after it has stopped giving out slots. Once the release is in the log,
        another VM owns the pool, even if the answer was lost. `timeout` is in seconds, for each pool.
        """
        me = self.identity
        done = True
        for pool in list(self.config.pools_by_name.values()):
            if pool.owner != me.vm or pool.owner_incarnation != me.incarnation:
                continue
            made = command(messages.ReleasePool(pool.name, me.vm, pool.epoch), me.vm, self._clock.wall_ms())
            try:
                outcome = self._control.call("propose", made, timeout=timeout)
                done = done and (outcome.accepted or outcome.code == "conflict")
            except (ControlUnavailableError, messages.Refused) as error:
                _log.warning("pool %s not released: %s", pool.name, error)
                done = False
        return done

    def _apply(self, reply: object) -> bool:
        before = self.config.revision
        if reply.snapshot is not None and reply.snapshot.revision > before:
            self.config.restore(reply.snapshot)
        for item in reply.commands or []:
            if item.revision == self.config.revision + 1:
                self.config.apply(item.command)
                assert self.config.revision == item.revision, "a change of the log was refused by a follower"
        assert self.config.revision >= before, "the revision of a follower went back"
        return self.config.revision > before
