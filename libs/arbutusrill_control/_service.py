"""RPC service of the control role."""

from __future__ import annotations

import time
from typing import Any

from arbutusrill_base import Clock, PartLog
from arbutusrill_limits import GrantOwner, Limits
from arbutusrill_raft import LogUnavailableError, NotLeaderError, ReplicatedLog
from arbutusrill_state import FEATURE_LEVEL, command
from arbutusrill_wire import decode, encode, messages

from ._burn import BurnBoard
from ._housekeeping import Housekeeping
from ._leases import VmLeases, rendezvous
from ._replicas import ReplicaCalls
from ._shared_machine import SharedMachine

__all__ = ["ControlService"]

_COMMIT_S = 3.0
_MAX_WAIT_MS = 5000
# Changes that come together go out in one answer: without the pause, 400 VMs that register at once caused up to
# 400 x 400 answers.
_GATHER_S = 0.02
_log = PartLog("control")


class ControlService(ReplicaCalls):
    """Answers entry VMs and operators on a control VM. Only the leader answers calls that change or prove."""

    def __init__(self, log: ReplicatedLog, machine: SharedMachine, clock: Clock):
        self.log = log
        self.machine = machine
        self.leases = VmLeases(clock)
        self.grants = GrantOwner(self._limits_of, clock)
        self.housekeeping = Housekeeping(clock)
        self.burn = BurnBoard(clock)
        self._clock = clock
        self._term: int | None = None

    # ---- RPC methods

    def propose(self, made: Any) -> Any:
        """Commits a change and returns its outcome."""
        if made.set_feature_level is not None and made.set_feature_level.level > FEATURE_LEVEL:
            # In the log it would stop every replica of this version.
            raise messages.Refused("feature_level", f"this version supports feature levels up to {FEATURE_LEVEL}")
        try:
            return decode(messages.Outcome, self.log.propose(encode(made), _COMMIT_S))
        except NotLeaderError as error:
            raise messages.Refused("not_leader", str(error), leader=error.leader) from None
        except LogUnavailableError as error:
            verdict = messages.Verdict.MAY_HAVE_RUN if error.appended else messages.Verdict.NOT_RUN
            raise messages.Refused("unavailable", str(error), verdict) from None

    def follow(self, request: Any) -> Any:
        """Waits for changes after the caller's revision, renews its lease and proves freshness."""
        asked_at = self._clock.monotonic()
        self._check_leads()
        self._note_vm(request)
        if self.machine.wait_beyond(request.revision, min(request.wait_ms, _MAX_WAIT_MS) / 1000):
            time.sleep(_GATHER_S)
        self._confirm()
        # Read after the confirmation: the caller is fresh once it has applied this revision.
        commands, revision = self.machine.state.commands_after(request.revision)
        snapshot = None
        if commands is None:
            snapshot = self.machine.state.config.snapshot(with_first_answers=False)
            revision = snapshot.revision
        lease_s = 0.0
        if request.vm:
            lease_s = self.leases.renew(request.vm, request.incarnation, request.revision, asked_at)
            known = self.machine.state.config.vms_by_id.get(request.vm)
            if known is None or known.incarnation != request.incarnation or known.state == "dead":
                lease_s = 0.0
        return messages.FollowReply(commands or [], snapshot, revision, int(lease_s * 1000), "")

    def begin_call(self, made: Any) -> Any:
        """Writes the intent of a once-only call and returns whether it may be sent."""
        outcome = self.propose(made)
        if not outcome.accepted:
            raise messages.Refused(outcome.code, outcome.message)
        return decode(messages.BeginAnswer, outcome.detail)

    def finish_call(self, made: Any) -> Any:
        """Records how a once-only call ended."""
        return self.propose(made)

    def grant(self, request: Any) -> Any:
        """Grants tokens of workspaces to an entry VM."""
        term = self.log.status().term
        self._confirm()
        if self.log.status().term != term:
            raise messages.Refused("not_leader", "the leadership changed during the call")
        return self.grants.grant(request, term)

    def _limits_of(self, workspace: str) -> Limits | None:
        found = self.machine.state.config.limits_of(workspace)
        return None if found is None else Limits(*found)

    def open_pool(self, name: str, kind: str) -> None:
        """Makes sure that a pool has an owner."""
        self._confirm()
        current = self.machine.state.config.pools_by_name.get(name)
        if current is None or not current.owner:
            self._assign(name, kind, 1 if current is None else current.epoch + 1)

    def report_burn(self, vm: str, incarnation: int, rows: list[Any]) -> None:
        """Takes the counts of good and bad requests of an entry VM."""
        self._check_leads()
        self.burn.report(vm, incarnation, rows)

    def replica_status(self) -> Any:
        """Returns the state of this control VM's replica."""
        status = self.log.status()
        return messages.ReplicaStatus(
            status.replica,
            status.role,
            status.term,
            status.leader,
            status.commit_index,
            status.applied_index,
            self.machine.state.config.revision,
            status.voters,
            status.learners,
            status.fault,
        )

    # ---- periodic work of the leader

    def tick(self) -> None:
        """Declares VMs dead whose lease has ended, gives their pools to others and cleans up."""
        status = self.log.status()
        if not self.log.is_leader():
            self._term = None
            return
        if status.term != self._term:
            self._term = status.term
            self.leases.begin_term()
            self.housekeeping.begin_term()
        self.grants.enter_epoch(status.term)
        config = self.machine.state.config
        for vm in list(config.vms_by_id.values()):
            if vm.state != "dead" and self.leases.end(vm.id, vm.incarnation):
                _log.warning("VM %s is dead, its lease has ended", vm.id)
                self._change(
                    messages.PutVm(vm.id, vm.http_address, vm.rpc_address, vm.data_centre, vm.incarnation, "dead")
                )
        for pool in list(config.pools_by_name.values()):
            if not self._owner_is_live(pool):
                self._assign(pool.name, pool.kind, pool.epoch + 1)
        for vm in list(config.vms_by_id.values()):
            if vm.state == "dead":
                self.leases.forget(vm.id, vm.incarnation)
        for change in self.housekeeping.due(self.machine.state):
            self._change(change)

    def _owner_is_live(self, pool: Any) -> bool:
        vm = self.machine.state.config.vms_by_id.get(pool.owner)
        return vm is not None and vm.state != "dead" and vm.incarnation == pool.owner_incarnation

    def _assign(self, name: str, kind: str, epoch: int) -> None:
        live = [vm for vm in self.machine.state.config.vms_by_id.values() if vm.state == "live"]
        vm = rendezvous(name, live)
        if vm is not None:
            self._change(messages.AssignPool(name, kind, vm.id, vm.incarnation, epoch))

    def _note_vm(self, request: Any) -> None:
        if not request.vm:
            return
        known = self.machine.state.config.vms_by_id.get(request.vm)
        wanted = messages.PutVm(
            request.vm,
            request.http_address,
            request.rpc_address,
            request.data_centre,
            request.incarnation,
            request.state,
        )
        if known != wanted:
            self.propose(command(wanted, "control", self._clock.wall_ms()))

    def _change(self, change: Any) -> None:
        try:
            self.propose(command(change, "control", self._clock.wall_ms()))
        except messages.Refused as refused:
            _log.warning("change by the control role not committed: %s", refused.message)

    def _check_leads(self) -> None:
        """Refuses at once where the wait for changes would only end in a refusal."""
        if not self.log.is_leader():
            leader = self.log.status().leader
            raise messages.Refused("not_leader", f"not the leader, try {leader or 'another'}", leader=leader)

    def _confirm(self) -> None:
        try:
            self.log.confirm(1.0)
        except NotLeaderError as error:
            raise messages.Refused("not_leader", str(error), leader=error.leader) from None
        except LogUnavailableError as error:
            raise messages.Refused("unavailable", str(error)) from None
