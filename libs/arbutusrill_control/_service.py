"""RPC service of the control role and the periodic work of its leader."""

from __future__ import annotations

import time
from typing import Any

from arbutusrill_base import Clock, PartLog
from arbutusrill_limits import GrantOwner, Limits
from arbutusrill_raft import LogUnavailableError, NotLeaderError, ReplicatedLog
from arbutusrill_state import FEATURE_LEVEL, make_command
from arbutusrill_wire import decode, encode, messages

from ._burn import BurnAggregator
from ._housekeeping import Housekeeping
from ._leases import VmLeases, rendezvous
from ._replicas import ReplicaMethods
from ._shared_state_machine import SharedStateMachine

__all__ = ["ControlService"]

_COMMIT_TIMEOUT_S = 3.0
_MAX_POLL_MS = 5000
# Delay between a change and the response to a long poll, so that one response carries all changes of this time. Without
# it, 400 VMs that registered at once caused up to 400 x 400 responses.
_BATCH_DELAY_S = 0.02
_log = PartLog("control")


class ControlService(ReplicaMethods):
    """Serves entry VMs and operators on a control VM.

    Only the leader answers calls that change the state or whose answer must be current.
    """

    def __init__(self, log: ReplicatedLog, state_machine: SharedStateMachine, clock: Clock):
        self.log = log
        self.state_machine = state_machine
        self.leases = VmLeases(clock)
        self.grants = GrantOwner(self._limits_of, clock)
        self.housekeeping = Housekeeping(clock)
        self.burn = BurnAggregator(clock)
        self._clock = clock
        self._term: int | None = None

    def propose(self, proposal: Any) -> Any:
        """Commits a command and returns its outcome; raises `Refused` without leadership or quorum."""
        if proposal.set_feature_level is not None and proposal.set_feature_level.level > FEATURE_LEVEL:
            # Once committed, it would stop every replica that runs this version.
            raise messages.Refused("feature_level", f"this version supports feature levels up to {FEATURE_LEVEL}")
        try:
            return decode(messages.Outcome, self.log.propose(encode(proposal), _COMMIT_TIMEOUT_S))
        except NotLeaderError as error:
            raise messages.Refused("not_leader", str(error), leader=error.leader) from None
        except LogUnavailableError as error:
            verdict = messages.Verdict.MAY_HAVE_RUN if error.appended else messages.Verdict.NOT_RUN
            raise messages.Refused("unavailable", str(error), verdict) from None

    def follow(self, request: Any) -> Any:
        """Long poll of an entry VM: returns the changes after its revision and renews its lease.

        The reply is read after a quorum has confirmed the leadership. It holds a snapshot if the changes
        since that revision are no longer in memory.
        """
        received_at = self._clock.monotonic()
        self._require_leadership()
        self._register_vm(request)
        if self.state_machine.wait_for_change(request.revision, min(request.wait_ms, _MAX_POLL_MS) / 1000):
            time.sleep(_BATCH_DELAY_S)
        self._confirm_leadership()
        # Read after the confirmation: the reply then holds every change that was committed before the call.
        commands, revision = self.state_machine.state.commands_after(request.revision)
        snapshot = None
        if commands is None:
            snapshot = self.state_machine.state.config.snapshot(with_first_answers=False)
            revision = snapshot.revision
        lease_s = 0.0
        if request.vm:
            lease_s = self.leases.renew(request.vm, request.incarnation, request.revision, received_at)
            registered = self.state_machine.state.config.vms_by_id.get(request.vm)
            if registered is None or registered.incarnation != request.incarnation or registered.state == "dead":
                lease_s = 0.0
        return messages.FollowReply(commands or [], snapshot, revision, int(lease_s * 1000), "")

    def begin_call(self, proposal: Any) -> Any:
        """Records the start of a once-only call in the journal; the `BeginAnswer` tells whether the caller may send."""
        outcome = self.propose(proposal)
        if not outcome.accepted:
            raise messages.Refused(outcome.code, outcome.message)
        return decode(messages.BeginAnswer, outcome.detail)

    def finish_call(self, proposal: Any) -> Any:
        """Records the outcome of a once-only call in the journal."""
        return self.propose(proposal)

    def grant(self, request: Any) -> Any:
        """Grants rate-limit tokens of workspaces to an entry VM."""
        term = self.log.status().term
        self._confirm_leadership()
        if self.log.status().term != term:
            raise messages.Refused("not_leader", "the leadership changed during the call")
        return self.grants.grant(request, term)

    def _limits_of(self, workspace: str) -> Limits | None:
        found = self.state_machine.state.config.limits_of(workspace)
        return None if found is None else Limits(*found)

    def open_pool(self, name: str, kind: str) -> None:
        """Assigns a pool that is new or has no owner to a live VM; does nothing without a live VM."""
        self._confirm_leadership()
        current = self.state_machine.state.config.pools_by_name.get(name)
        if current is None or not current.owner:
            self._assign_pool(name, kind, 1 if current is None else current.epoch + 1)

    def report_burn(self, vm: str, incarnation: int, rows: list[Any]) -> None:
        """Stores an entry VM's counts of good and bad requests, from which burn rates are computed."""
        self._require_leadership()
        self.burn.store_report(vm, incarnation, rows)

    def replica_status(self) -> Any:
        """Returns the status of this control VM's replica; needs no leadership."""
        status = self.log.status()
        return messages.ReplicaStatus(
            status.replica,
            status.role,
            status.term,
            status.leader,
            status.commit_index,
            status.applied_index,
            self.state_machine.state.config.revision,
            status.voters,
            status.learners,
            status.fault,
        )

    def tick(self) -> None:
        """Does the periodic work of the leader; does nothing on other replicas.

        Declares VMs with an expired lease dead, reassigns their pools and proposes the housekeeping changes.
        """
        status = self.log.status()
        if not self.log.is_leader():
            self._term = None
            return
        if status.term != self._term:
            self._term = status.term
            self.leases.begin_term()
            self.housekeeping.begin_term()
        self.grants.begin_epoch(status.term)
        config = self.state_machine.state.config
        for vm in list(config.vms_by_id.values()):
            if vm.state != "dead" and self.leases.block_renewal_if_expired(vm.id, vm.incarnation):
                _log.warning("VM %s declared dead: its lease has expired", vm.id)
                self._try_propose(
                    messages.PutVm(vm.id, vm.http_address, vm.rpc_address, vm.data_centre, vm.incarnation, "dead")
                )
        for pool in list(config.pools_by_name.values()):
            if not self._owner_is_current(pool):
                self._assign_pool(pool.name, pool.kind, pool.epoch + 1)
        for vm in list(config.vms_by_id.values()):
            if vm.state == "dead":
                self.leases.drop_blocked(vm.id, vm.incarnation)
        for change in self.housekeeping.due_changes(self.state_machine.state):
            self._try_propose(change)

    def _owner_is_current(self, pool: Any) -> bool:
        vm = self.state_machine.state.config.vms_by_id.get(pool.owner)
        return vm is not None and vm.state != "dead" and vm.incarnation == pool.owner_incarnation

    def _assign_pool(self, name: str, kind: str, epoch: int) -> None:
        live = [vm for vm in self.state_machine.state.config.vms_by_id.values() if vm.state == "live"]
        vm = rendezvous(name, live)
        if vm is not None:
            self._try_propose(messages.AssignPool(name, kind, vm.id, vm.incarnation, epoch))

    def _register_vm(self, request: Any) -> None:
        if not request.vm:
            return
        registered = self.state_machine.state.config.vms_by_id.get(request.vm)
        wanted = messages.PutVm(
            request.vm,
            request.http_address,
            request.rpc_address,
            request.data_centre,
            request.incarnation,
            request.state,
        )
        if registered != wanted:
            self.propose(make_command(wanted, "control", self._clock.wall_ms()))

    def _try_propose(self, change: Any) -> None:
        """Proposes a change; a refusal is only logged."""
        try:
            self.propose(make_command(change, "control", self._clock.wall_ms()))
        except messages.Refused as refused:
            _log.warning("change proposed by the control role was not committed: %s", refused.message)

    def _require_leadership(self) -> None:
        """Refuses a call on a follower at once, without first waiting for changes."""
        if not self.log.is_leader():
            leader = self.log.status().leader
            raise messages.Refused("not_leader", f"not the leader, try {leader or 'another'}", leader=leader)

    def _confirm_leadership(self) -> None:
        """Waits until a quorum confirms the leadership; refuses the call otherwise."""
        try:
            self.log.confirm(1.0)
        except NotLeaderError as error:
            raise messages.Refused("not_leader", str(error), leader=error.leader) from None
        except LogUnavailableError as error:
            raise messages.Refused("unavailable", str(error)) from None
