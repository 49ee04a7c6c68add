"""Randomised fault-injection test: the control group neither loses, reverts nor reapplies an accepted change.

Run as ``bin/proof raft --seed N --seconds S``. Operators change the configuration through three control VMs in separate
processes, which are killed, suspended for longer than their leases, or lose their disks; a second disk is lost right
after the first is replaced. The seed determines the order of faults, not the interleaving of processes.
"""

from __future__ import annotations

import random
import shutil
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Annotated, Any

import typer
from arbutusrill_base import new_request_id
from arbutusrill_cli import OperatorError
from arbutusrill_state import ControlClient, ControlUnavailableError, make_command
from arbutusrill_wire import RpcClient, RpcError, messages

from ._site import LocalSite, Member, SiteError, interrupt_on_stop_signals

__all__ = ["Accepted", "RaftProof", "main", "prove"]

_OPERATOR_COUNT = 4
_OPERATOR_PAUSE_S = 0.01  # between two changes of one operator
_WAIT_TIMEOUT_S = 60.0
_CALL_TIMEOUT_S = 2.0


@dataclass(slots=True, frozen=True)
class Accepted:
    """A change acknowledged to an operator; `started` and `ended` are in seconds of the monotonic clock."""

    started: float
    ended: float
    name: str
    revision: int


class RaftProof:
    """Sends changes and reads under faults, and checks the acknowledgements against the replicated state."""

    def __init__(self, site: LocalSite, seed: int):
        self._site = site
        self._seed = seed
        self._controls = site.of_kind("control")
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.accepted: list[Accepted] = []
        self.reads = 0
        self.faults: Counter[str] = Counter()
        self.failover_times_s: list[float] = []  # from the kill of a leader until a change sent after it is accepted
        self.problems: list[str] = []

    def run(self, seconds: float) -> None:
        """Runs operators, a reader and fault injection for `seconds`, then checks the invariants."""
        with ThreadPoolExecutor(_OPERATOR_COUNT + 1) as pool:
            futures = [pool.submit(self._run_operator, number) for number in range(_OPERATOR_COUNT)]
            futures.append(pool.submit(self._run_reader))
            try:
                self._inject_faults(seconds)
            finally:
                self._stopping.set()
            for future in futures:
                future.result()
        self._check_invariants()

    def _run_operator(self, number: int) -> None:
        """Creates workspaces one after the other; each change is retried under its request ID until it is answered."""
        count = 0
        with ControlClient([member.rpc for member in self._controls]) as client:
            while not self._stopping.wait(_OPERATOR_PAUSE_S):
                count += 1
                name = f"w{number}-{count}"
                proposal = make_command(messages.PutWorkspace(name, 1.0, 1.0), "proof", 0, new_request_id("proof"))
                started = time.monotonic()
                outcome = self._propose(client, proposal)
                if outcome is None:
                    return
                if not outcome.accepted:
                    self._add_problem(f"{name} was refused: {outcome.code} {outcome.message}")
                with self._lock:
                    self.accepted.append(Accepted(started, time.monotonic(), name, outcome.revision))

    def _propose(self, client: ControlClient, proposal: Any) -> Any | None:
        while True:
            try:
                return client.call("propose", proposal, timeout=_CALL_TIMEOUT_S)
            except ControlUnavailableError:
                if self._stopping.is_set():
                    return None  # not acknowledged, so it may be applied or not

    def _run_reader(self) -> None:
        """Reads from random control VMs; a response must include all changes accepted before the read started."""
        rng = random.Random(self._seed)
        clients = [RpcClient(member.rpc) for member in self._controls]
        while not self._stopping.wait(0.02):
            with self._lock:
                min_revision = max((change.revision for change in self.accepted), default=0)
            try:
                reply = confirmed_read(rng.choice(clients), min_revision)
            except (RpcError, messages.Refused):
                continue
            self.reads += 1
            if reply.confirmed_revision < min_revision:
                self._add_problem(f"a read after revision {min_revision} was answered at {reply.confirmed_revision}")
        for client in clients:
            client.close()

    def _add_problem(self, text: str) -> None:
        with self._lock:
            self.problems.append(text)

    def _inject_faults(self, seconds: float) -> None:
        """Injects all kinds of faults, in rounds that each shuffle their order."""
        rng = random.Random(self._seed)
        deadline = time.monotonic() + seconds
        kinds: list[str] = []
        while time.monotonic() < deadline:
            self._stopping.wait(rng.uniform(0.2, 1.5))
            if not kinds:
                kinds = rng.sample(["kill_leader", "stop_leader", "kill_follower", "stop_follower", "lose_disks"], 5)
            kind = kinds.pop()
            self.faults[kind] += 1
            action, _, target = kind.partition("_")
            leader = self.leader()
            member = leader if target == "leader" else rng.choice([m for m in self._controls if m is not leader])
            getattr(self, f"_{action}")(member, rng)

    def leader(self) -> Member:
        """Waits until a leader is known and returns it."""
        leaders: list[Member] = []

        def leader_is_known() -> bool:
            try:
                rows = self._site.operators.call("GET", "/replicas")["replicas"]
            except OperatorError:
                return False
            leader_address = next(row["address"] for row in rows if row["leads"])
            leaders.extend(member for member in self._controls if member.rpc == leader_address)
            return bool(leaders)

        self._site.wait_until(leader_is_known, "a control VM leads", _WAIT_TIMEOUT_S)
        return leaders[0]

    def _kill(self, member: Member, rng: random.Random) -> None:
        was_leader = self.leader() is member
        killed = time.monotonic()
        self._site.kill(member.name)
        if was_leader:
            self._site.wait_until(
                lambda: self._first_accepted_after(killed) is not None, "a change is accepted", _WAIT_TIMEOUT_S
            )
            self.failover_times_s.append(self._first_accepted_after(killed) - killed)
        self._stopping.wait(rng.uniform(0.0, 2.0))
        self._site.start(member.name)

    def _first_accepted_after(self, moment: float) -> float | None:
        with self._lock:
            return min((change.ended for change in self.accepted if change.started >= moment), default=None)

    def _stop(self, member: Member, rng: random.Random) -> None:
        """Suspends a process for longer than its leases and an election, then resumes it."""
        self._site.suspend(member.name)
        self._stopping.wait(rng.uniform(1.2, 4.0))
        self._site.resume(member.name)

    def _lose(self, member: Member, rng: random.Random) -> None:
        """Deletes and replaces one disk, then immediately that of another VM, which may be the leader."""
        self.replace_disk(member)
        self.replace_disk(rng.choice([other for other in self._controls if other is not member]))

    def replace_disk(self, member: Member) -> float:
        """Kills a VM, deletes its data folder and restarts it as a new replica that replaces the old one.

        Returns the time in seconds from the start of the process until all three replicas are voters.
        """
        self._site.kill(member.name)
        shutil.rmtree(self._site.folder / member.name)
        old_replica_id = next(row["id"] for row in self._replica_rows() if row["address"] == member.rpc)
        started = time.monotonic()
        self._site.start(member.name)

        def replaced() -> bool:
            try:
                self._site.operators.call("POST", "/replicas/replace", {"old": old_replica_id, "new": member.rpc})
            except OperatorError:
                return False
            rows = self._replica_rows()
            return old_replica_id not in [row["id"] for row in rows] and [row["kind"] for row in rows] == ["voter"] * 3

        self._site.wait_until(replaced, f"{member.name} is replaced", _WAIT_TIMEOUT_S)
        return time.monotonic() - started

    def _replica_rows(self) -> list[dict[str, Any]]:
        self.leader()
        return self._site.operators.call("GET", "/replicas")["replicas"]

    def _check_invariants(self) -> None:
        """Checks the invariants; kills two leaders in turn to check the state of their successors too."""
        for _ in range(2):
            self._wait_until_replicas_agree()
            self._check_state(self.leader())
            member = self.leader()
            self._site.kill(member.name)
            self._check_state(self.leader())
            self._site.start(member.name)
        self._wait_until_replicas_agree()
        self._check_order()

    def _wait_until_replicas_agree(self) -> None:
        clients = [RpcClient(member.rpc) for member in self._controls]

        def replicas_agree() -> bool:
            try:
                rows = [client.call(messages.Control, "replica_status", timeout=_CALL_TIMEOUT_S) for client in clients]
            except RpcError:
                return False
            faults = [row.fault for row in rows if row.fault]
            if faults:
                raise SiteError(f"a replica reports a fault: {faults}")
            return len({(row.applied_index, row.revision) for row in rows}) == 1

        self._site.wait_until(replicas_agree, "all replicas have applied the same entries", _WAIT_TIMEOUT_S)
        for client in clients:
            client.close()

    def _check_state(self, leader: Member) -> None:
        with RpcClient(leader.rpc) as client:
            snapshot = confirmed_read(client, 1 << 60).snapshot
        present = {workspace.name for workspace in snapshot.workspaces}
        lost = [change.name for change in self.accepted if change.name not in present]
        if lost:
            self.problems.append(f"{leader.name} lacks {len(lost)} accepted changes, such as {lost[:3]}")
        highest = max((change.revision for change in self.accepted), default=0)
        if snapshot.revision < highest:
            self.problems.append(f"{leader.name} is at revision {snapshot.revision}, {highest} was accepted")

    def _check_order(self) -> None:
        repeated = [revision for revision, count in Counter(c.revision for c in self.accepted).items() if count > 1]
        if repeated:
            self.problems.append(f"revisions given twice: {repeated[:5]}")
        by_end = sorted(self.accepted, key=lambda change: change.ended)
        latest = done = 0
        for change in sorted(self.accepted, key=lambda change: change.started):
            while by_end[done].ended < change.started:
                latest = max(latest, by_end[done].revision)
                done += 1
            if change.revision <= latest:
                self.problems.append(f"{change.name} got revision {change.revision}, {latest} was accepted before")


def confirmed_read(client: RpcClient, revision: int) -> Any:
    """Performs a linearizable read of the changes after `revision`; a snapshot if the leader lacks them."""
    request = messages.FollowRequest("", 0, "", "", "", "live", revision, 0)
    return client.call(messages.Control, "follow", request, timeout=_CALL_TIMEOUT_S)


def prove(seed: int, seconds: float) -> RaftProof:
    """Runs the test on a new site of three control VMs and returns it with its counts and problems."""
    with LocalSite(controls=3, entries=0) as site:
        proof = RaftProof(site, seed)
        proof.run(seconds)
    return proof


def main(seed: int = 1, seconds: Annotated[float, typer.Option(help="length of the run in seconds")] = 60.0) -> None:
    """Runs the test; exits with status 1 if an invariant was violated or the site failed."""
    try:
        proof = prove(seed, seconds)
    except SiteError as error:
        print(f"proof failed: {error}")
        raise SystemExit(1) from None
    print(f"seed {seed}, {seconds:g} s: {len(proof.accepted)} changes accepted, {proof.reads} reads")
    print(f"faults: {dict(proof.faults)}")
    print(f"failover after a leader kill, s: {[round(value, 2) for value in proof.failover_times_s]}")
    for problem in proof.problems:
        print(f"BROKEN: {problem}")
    print("raft: no invariant broken" if not proof.problems else f"raft: {len(proof.problems)} problems")
    raise SystemExit(1 if proof.problems else 0)


if __name__ == "__main__":
    interrupt_on_stop_signals()
    typer.run(main)
