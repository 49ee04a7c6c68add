"""Randomised proof that no accepted change of the control group is lost, reverted or applied twice.

Run as ``bin/proof raft --seed N --seconds S``. Operators change the configuration through three control VMs in
processes of their own, which are killed, stopped for longer than their leases, and robbed of their disks; a second
disk is lost right after each repair. The seed fixes the order of faults, not the interleaving of processes.
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
from arbutusrill_state import ControlClient, ControlUnavailableError, command
from arbutusrill_wire import RpcClient, RpcError, messages

from ._site import LocalSite, Member, SiteError

__all__ = ["Accepted", "RaftProof", "main", "prove"]

_OPERATORS = 4
_PAUSE_S = 0.01  # between the changes of one operator
_PATIENCE_S = 60.0
_CALL_S = 2.0


@dataclass(slots=True, frozen=True)
class Accepted:
    """A change that an operator was told is accepted; times in seconds on the monotonic clock."""

    started: float
    ended: float
    name: str
    revision: int


class RaftProof:
    """Sends changes and reads under faults, and checks what the operators were told."""

    def __init__(self, site: LocalSite, seed: int):
        self._site = site
        self._seed = seed
        self._controls = site.of_kind("control")
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.accepted: list[Accepted] = []
        self.reads = 0
        self.faults: Counter[str] = Counter()
        self.failovers: list[float] = []  # seconds from the kill of a leader to a change begun after it
        self.problems: list[str] = []

    def run(self, seconds: float) -> None:
        """Runs operators, a reader and faults for `seconds`, then checks the invariants."""
        with ThreadPoolExecutor(_OPERATORS + 1) as pool:
            futures = [pool.submit(self._operator, number) for number in range(_OPERATORS)]
            futures.append(pool.submit(self._reader))
            try:
                self._inject(seconds)
            finally:
                self._stopping.set()
            for future in futures:
                future.result()
        self._check()

    # ---- load

    def _operator(self, number: int) -> None:
        """Creates one workspace after another; resends a change under its request ID until it is answered."""
        count = 0
        with ControlClient([member.rpc for member in self._controls]) as client:
            while not self._stopping.wait(_PAUSE_S):
                count += 1
                name = f"w{number}-{count}"
                made = command(messages.PutWorkspace(name, 1.0, 1.0), "proof", 0, new_request_id("proof"))
                started = time.monotonic()
                outcome = self._send(client, made)
                if outcome is None:
                    return
                if not outcome.accepted:
                    self._problem(f"{name} was refused: {outcome.code} {outcome.message}")
                with self._lock:
                    self.accepted.append(Accepted(started, time.monotonic(), name, outcome.revision))

    def _send(self, client: ControlClient, made: Any) -> Any | None:
        while True:
            try:
                return client.call("propose", made, timeout=_CALL_S)
            except ControlUnavailableError:
                if self._stopping.is_set():
                    return None  # unknown whether accepted, so nothing was promised

    def _reader(self) -> None:
        """Reads at every control VM; an answer must hold all that was accepted before the read began."""
        chance = random.Random(self._seed)
        clients = [RpcClient(member.rpc) for member in self._controls]
        while not self._stopping.wait(0.02):
            with self._lock:
                floor = max((change.revision for change in self.accepted), default=0)
            try:
                reply = read(chance.choice(clients), floor)
            except (RpcError, messages.Refused):
                continue
            self.reads += 1
            if reply.confirmed_revision < floor:
                self._problem(f"a read after revision {floor} was answered at {reply.confirmed_revision}")
        for client in clients:
            client.close()

    def _problem(self, text: str) -> None:
        with self._lock:
            self.problems.append(text)

    # ---- faults

    def _inject(self, seconds: float) -> None:
        """Injects every kind of fault in turn, in an order drawn anew for each round."""
        chance = random.Random(self._seed)
        deadline = time.monotonic() + seconds
        kinds: list[str] = []
        while time.monotonic() < deadline:
            self._stopping.wait(chance.uniform(0.2, 1.5))
            if not kinds:
                kinds = chance.sample(["kill_leader", "stop_leader", "kill_follower", "stop_follower", "lose_disks"], 5)
            kind = kinds.pop()
            self.faults[kind] += 1
            action, _, target = kind.partition("_")
            leader = self.leader()
            member = leader if target == "leader" else chance.choice([m for m in self._controls if m is not leader])
            getattr(self, f"_{action}")(member, chance)

    def leader(self) -> Member:
        """Waits for a control VM that answers as the leader and returns it."""
        found: list[Member] = []

        def known() -> bool:
            try:
                rows = self._site.operators.call("GET", "/replicas")["replicas"]
            except OperatorError:
                return False
            leads = next(row["address"] for row in rows if row["leads"])
            found.extend(member for member in self._controls if member.rpc == leads)
            return bool(found)

        self._site.wait_until(known, "a control VM leads", _PATIENCE_S)
        return found[0]

    def _kill(self, member: Member, chance: random.Random) -> None:
        leads = self.leader() is member
        killed = time.monotonic()
        self._site.kill(member.name)
        if leads:
            self._site.wait_until(lambda: self._first_since(killed) is not None, "a change is accepted", _PATIENCE_S)
            self.failovers.append(self._first_since(killed) - killed)
        self._stopping.wait(chance.uniform(0.0, 2.0))
        self._site.start(member.name)

    def _first_since(self, moment: float) -> float | None:
        with self._lock:
            return min((change.ended for change in self.accepted if change.started >= moment), default=None)

    def _stop(self, member: Member, chance: random.Random) -> None:
        """Freezes a process for longer than its leases and an election, then lets it go on."""
        self._site.freeze(member.name)
        self._stopping.wait(chance.uniform(1.2, 4.0))
        self._site.thaw(member.name)

    def _lose(self, member: Member, chance: random.Random) -> None:
        """Loses and replaces one disk, then at once the disk of another VM, the leader's included."""
        self.replace_disk(member)
        self.replace_disk(chance.choice([other for other in self._controls if other is not member]))

    def replace_disk(self, member: Member) -> float:
        """Kills a VM, deletes its files, replaces it as an operator does and returns the seconds since its start."""
        self._site.kill(member.name)
        shutil.rmtree(self._site.folder / member.name)
        old = next(row["id"] for row in self._rows() if row["address"] == member.rpc)
        started = time.monotonic()
        self._site.start(member.name)

        def replaced() -> bool:
            try:
                self._site.operators.call("POST", "/replicas/replace", {"old": old, "new": member.rpc})
            except OperatorError:
                return False
            rows = self._rows()
            return old not in [row["id"] for row in rows] and [row["kind"] for row in rows] == ["voter"] * 3

        self._site.wait_until(replaced, f"{member.name} is replaced", _PATIENCE_S)
        return time.monotonic() - started

    def _rows(self) -> list[dict[str, Any]]:
        self.leader()
        return self._site.operators.call("GET", "/replicas")["replicas"]

    # ---- checks

    def _check(self) -> None:
        """Checks the state of each leader while the leadership moves over the control VMs."""
        for _ in range(2):
            self._wait_equal()
            self._check_state(self.leader())
            member = self.leader()
            self._site.kill(member.name)
            self._check_state(self.leader())
            self._site.start(member.name)
        self._wait_equal()
        self._check_order()

    def _wait_equal(self) -> None:
        clients = [RpcClient(member.rpc) for member in self._controls]

        def equal() -> bool:
            try:
                rows = [client.call(messages.Control, "replica_status", timeout=_CALL_S) for client in clients]
            except RpcError:
                return False
            faults = [row.fault for row in rows if row.fault]
            if faults:
                raise SiteError(f"a replica has stopped: {faults}")
            return len({(row.applied_index, row.revision) for row in rows}) == 1

        self._site.wait_until(equal, "all replicas have applied the same entries", _PATIENCE_S)
        for client in clients:
            client.close()

    def _check_state(self, leader: Member) -> None:
        with RpcClient(leader.rpc) as client:
            snapshot = read(client, 1 << 60).snapshot
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


def read(client: RpcClient, revision: int) -> Any:
    """Reads the changes after `revision` from a leader that proves its leadership; a snapshot when it has none."""
    request = messages.FollowRequest("", 0, "", "", "", "live", revision, 0)
    return client.call(messages.Control, "follow", request, timeout=_CALL_S)


def prove(seed: int, seconds: float) -> RaftProof:
    """Runs the proof on a site of three control VMs and returns it with its counts and problems."""
    with LocalSite(controls=3, entries=0) as site:
        proof = RaftProof(site, seed)
        proof.run(seconds)
    return proof


def main(seed: int = 1, seconds: Annotated[float, typer.Option(help="length of the run")] = 60.0) -> None:
    """Runs the proof and exits with 1 when an invariant was broken."""
    try:
        proof = prove(seed, seconds)
    except SiteError as error:
        print(f"proof failed: {error}")
        raise SystemExit(1) from None
    print(f"seed {seed}, {seconds:g} s: {len(proof.accepted)} changes accepted, {proof.reads} reads")
    print(f"faults: {dict(proof.faults)}")
    print(f"failover after a leader kill, s: {[round(value, 2) for value in proof.failovers]}")
    for problem in proof.problems:
        print(f"BROKEN: {problem}")
    print("raft: no invariant broken" if not proof.problems else f"raft: {len(proof.problems)} problems")
    raise SystemExit(1 if proof.problems else 0)


if __name__ == "__main__":
    typer.run(main)
