"""Follower of the configuration on an entry VM, with the state's freshness and the VM's lease."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from arbutusrill_base import Clock, PartLog, TaskGroup
from arbutusrill_wire import messages

from ._client import ControlClient, ControlUnavailableError
from ._commands import make_command
from ._config import ConfigState

__all__ = ["Follower", "VmIdentity"]

MAX_FRESH_AGE_S = 3.0  # an older state may lack the withdrawal of a key
POLL_WAIT_MS = 400  # longest wait of a long poll; each poll also renews the VM's lease
_log = PartLog("follower")


@dataclass(slots=True, frozen=True)
class VmIdentity:
    """Name, addresses and data centre of an entry VM; `incarnation` identifies one start of its process."""

    vm: str
    incarnation: int
    http_address: str
    rpc_address: str
    data_centre: str


class Follower:
    """Keeps `config` up to date and tracks when it was last confirmed. Times are on the monotonic clock."""

    def __init__(self, identity: VmIdentity, control: ControlClient, clock: Clock):
        self.identity = identity
        self.config = ConfigState()
        self._control = control
        self._clock = clock
        self._confirmed_at = float("-inf")
        self._lease_until = float("-inf")
        self._draining = False
        self._listeners: list[Callable[[], None]] = []
        self._first_confirmed = threading.Event()

    def start(self, tasks: TaskGroup) -> None:
        """Starts a thread that follows the control group until `tasks` stops."""
        tasks.start(self._run, tasks)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change, on the follower's thread."""
        self._listeners.append(listener)

    def wait_first(self, timeout: float) -> bool:
        """Waits up to `timeout` seconds for the first confirmed state; returns whether there is one."""
        return self._first_confirmed.wait(timeout)

    def is_fresh(self) -> bool:
        """Returns whether the state was confirmed by a quorum in the last `MAX_FRESH_AGE_S` seconds."""
        return self._clock.monotonic() - self._confirmed_at < MAX_FRESH_AGE_S

    def age_s(self) -> float:
        """Returns the seconds since the last confirmed poll was sent; infinite before the first."""
        return self._clock.monotonic() - self._confirmed_at

    def holds_lease(self) -> bool:
        """Returns whether this VM's lease is valid, so that it may act as a pool owner."""
        return self._clock.monotonic() < self._lease_until

    def drain(self) -> None:
        """Reports this VM as draining from the next poll on, so that it gets no new callers."""
        self._draining = True

    def _run(self, tasks: TaskGroup) -> None:
        while not tasks.stopping.is_set():
            try:
                self.poll()
            except ControlUnavailableError as error:
                _log.warning("configuration not confirmed by the control group: %s", error)
            except messages.Refused as refused:
                _log.warning("control group refused the follow request: %s", refused.message)
                tasks.stopping.wait(0.2)
            except Exception:
                _log.exception("following the control group failed")
                tasks.stopping.wait(0.5)

    def poll(self, wait_ms: int = POLL_WAIT_MS) -> None:
        """Requests changes once with a long poll of at most `wait_ms` and applies them."""
        identity = self.identity
        state = "draining" if self._draining else "live"
        request = messages.FollowRequest(
            identity.vm,
            identity.incarnation,
            identity.http_address,
            identity.rpc_address,
            identity.data_centre,
            state,
            self.config.revision,
            wait_ms,
        )
        sent_at = self._clock.monotonic()
        reply = self._control.call("follow", request, timeout=2.0, try_timeout=1.0 + wait_ms / 1000)
        changed = self._apply(reply)
        if reply.confirmed_revision < request.revision:
            # Happens only if the group has lost its disks. Its keys may differ from those in `config`, which is not
            # confirmed then.
            _log.error(
                "the control group is at revision %d, behind revision %d of this follower",
                reply.confirmed_revision,
                request.revision,
            )
        elif self.config.revision >= reply.confirmed_revision:
            # Otherwise the reply did not hold all changes, and a later poll confirms the state.
            self._confirmed_at = max(self._confirmed_at, sent_at)
            self._lease_until = max(self._lease_until, sent_at + reply.lease_ms / 1000)
            self._first_confirmed.set()
        if changed:
            for listener in self._listeners:
                listener()

    def release_pools(self, timeout: float) -> bool:
        """Proposes the release of every pool that this incarnation of the VM owns; returns whether none is left.

        Must be called only after a draining VM has stopped assigning slots: once the release is in the log, another VM
        may own the pool, even if the reply was lost. `timeout` is in seconds per pool.
        """
        identity = self.identity
        all_released = True
        for pool in list(self.config.pools_by_name.values()):
            if pool.owner != identity.vm or pool.owner_incarnation != identity.incarnation:
                continue
            proposal = make_command(
                messages.ReleasePool(pool.name, identity.vm, pool.epoch), identity.vm, self._clock.wall_ms()
            )
            try:
                outcome = self._control.call("propose", proposal, timeout=timeout)
                # A conflict means that this VM no longer owns the pool at this epoch.
                all_released = all_released and (outcome.accepted or outcome.code == "conflict")
            except (ControlUnavailableError, messages.Refused) as error:
                _log.warning("pool %s not released: %s", pool.name, error)
                all_released = False
        return all_released

    def _apply(self, reply: object) -> bool:
        before = self.config.revision
        if reply.snapshot is not None and reply.snapshot.revision > before:
            self.config.restore(reply.snapshot)
        for revisioned in reply.commands or []:
            if revisioned.revision == self.config.revision + 1:
                self.config.apply(revisioned.command)
                assert self.config.revision == revisioned.revision, (
                    "the follower rejected a change that the control group accepted"
                )
        assert self.config.revision >= before, "the revision of a follower decreased"
        return self.config.revision > before
