"""Guards against loss, reversal, repetition and reordering of accepted entries under random faults.

The seed fixes the sequence of faults; the interleaving of threads differs from run to run.
"""

import errno
import os
import random
import threading
import time

import pytest

from arbutusrill_raft import LogUnavailableError, MembershipError, NotLeaderError

from .group import SMALL_BOUNDS, Group, wait_until

SEEDS = [int(seed) for seed in os.environ.get("ARBUTUSRILL_SEEDS", "1 2 3").split()]
FAULT_DURATION_S = float(os.environ.get("ARBUTUSRILL_FAULTS_S", "6"))


class Clients:
    """Threads that propose distinct entries and read during the faults, and record accepted entries and stale reads."""

    def __init__(self, group, count):
        self.group = group
        self.accepted = []  # (start, end, entry) of each proposal, in seconds on the monotonic clock
        self.problems = []
        self.reads = 0
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self._run, args=(number,)) for number in range(count)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, name):
        rng = random.Random(name)
        number = 0
        while not self.stopping.wait(0.005):
            addresses = sorted(self.group.replicas)
            if not addresses:
                continue
            address = rng.choice(addresses)
            replica, machine = self.group.replicas.get(address), self.group.machines[address]
            if replica is None:
                continue
            try:
                if rng.random() < 0.3:
                    self._read(replica, machine)
                else:
                    number += 1
                    self._propose(replica, f"client {name} entry {number}".encode())
            except (NotLeaderError, LogUnavailableError):
                continue

    def _propose(self, replica, data):
        started = time.monotonic()
        replica.propose(data, 1.0)
        with self.lock:
            self.accepted.append((started, time.monotonic(), data))

    def _read(self, replica, machine):
        with self.lock:
            before = {data for _, _, data in self.accepted}
        replica.confirm(1.0)
        missing = before - set(machine.items)
        self.reads += 1
        if missing:
            self.problems.append(f"read by {replica.status().replica} lacks {sorted(missing)[:3]}")


class FaultInjector:
    """Injects and repairs random faults; except in `_kill_all`, at most one replica is down or cut off at a time."""

    def __init__(self, group, seed):
        self.group = group
        self.rng = random.Random(seed)
        self.injected = []

    def step(self):
        kind = self.rng.choice(
            [
                "cut",
                "block_inbound",
                "block_outbound",
                "kill",
                "kill_leader",
                "kill_all",
                "lose_disk",
                "lossy",
                "full_disk",
                "failing_syncs",
            ]
        )
        self.injected.append(kind)
        address = self.rng.choice(self.group.initial_voters)
        if kind == "kill_leader":
            address = next((a for a, replica in self.group.replicas.items() if replica.is_leader()), address)
        getattr(self, f"_{kind}", self._kill)(address)

    def _pause(self):
        time.sleep(self.rng.uniform(0.05, 0.9))

    def _cut(self, address, **directions):
        self.group.cut(address, **directions)
        self._pause()
        self.group.heal()

    def _block_inbound(self, address):
        self._cut(address, outward=False)

    def _block_outbound(self, address):
        self._cut(address, inward=False)

    def _full_disk(self, address):
        self._disk_error(address, "write_error", errno.ENOSPC)

    def _failing_syncs(self, address):
        self._disk_error(address, "sync_error", errno.EIO)

    def _disk_error(self, address, kind, number):
        """Lets the disk of a replica refuse for a while; in half of the cases, power fails meanwhile."""
        disk = self.group.disks[address]
        setattr(disk, kind, OSError(number, os.strerror(number)))
        self._pause()
        if self.rng.random() < 0.5:
            self._kill(address)
        else:
            setattr(disk, kind, None)

    def _kill(self, address):
        self.group.kill(address)
        self._pause()
        self.group.start(address)

    def _kill_all(self, last):
        """Power failure of all replicas; one, the leader if there is one, restarts last, with or without a delay."""
        last = next((a for a, replica in self.group.replicas.items() if replica.is_leader()), last)
        for address in self.group.initial_voters:
            self.group.kill(address)
        for address in self.group.initial_voters:
            if address != last:
                self.group.start(address)
        time.sleep(self.rng.choice([0.0, 2 * self.group.timing.election_max_s]))
        self.group.start(last)

    def _lose_disk(self, address):
        """Loses and replaces the disk of a replica, then at once that of another one."""
        self._repair(address)
        other = self.rng.choice([other for other in self.group.initial_voters if other != address])
        self._repair(other)

    def _repair(self, address):
        self.group.lose_disk(address)
        self._pause()
        self.group.start(address)
        wait_until(lambda: self._try_replace(address), f"{address} is replaced")

    def _try_replace(self, address):
        try:
            new = self.group.replicas[address].status().replica
            leader = self.group.leader()
            self.group.replicas[leader].replace(address, address, 5.0)
        except (NotLeaderError, LogUnavailableError, MembershipError):
            pass
        voters = self.group.replicas[self.group.leader()].status().voters
        return new in voters and len(voters) == 3

    def _lossy(self, _):
        self.group.loss_probability, self.group.duplicate_probability, self.group.max_delay_s = 0.2, 0.2, 0.03
        self._pause()
        self.group.loss_probability = self.group.duplicate_probability = self.group.max_delay_s = 0.0


def check_invariants(group, clients):
    """Checks that every accepted entry was applied once, in an order that respects real time."""
    group.heal()
    for address in set(group.initial_voters) - set(group.replicas):
        group.start(address)
    group.propose(b"last")
    group.wait_equal()
    items = group.machines[group.initial_voters[0]].items
    position = {item: number for number, item in enumerate(items)}
    assert len(position) == len(items), "an entry was applied twice"
    assert not clients.problems
    missing = [data for _, _, data in clients.accepted if data not in position]
    assert not missing, f"accepted entries are lost: {missing[:5]}"
    ended = sorted((ended, position[data]) for _, ended, data in clients.accepted)
    latest, passed = -1, 0
    for started, _, data in sorted(clients.accepted):
        while passed < len(ended) and ended[passed][0] < started:
            latest = max(latest, ended[passed][1])
            passed += 1
        assert position[data] > latest, f"{data} precedes an entry that was accepted before the proposal"


@pytest.mark.parametrize("seed", SEEDS)
def test_accepted_entries_survive_random_faults(seed):
    group = Group(bounds=SMALL_BOUNDS, seed=seed)
    group.max_sync_s = 0.004  # longer than a message delay, so that an acknowledgement before the sync is noticed
    with group:
        group.leader()
        injector = FaultInjector(group, seed)
        with Clients(group, 3) as clients:
            deadline = time.monotonic() + FAULT_DURATION_S
            while time.monotonic() < deadline:
                injector.step()
                time.sleep(injector.rng.uniform(0, 0.3))
        check_invariants(group, clients)
        assert not [replica.status().fault for replica in group.replicas.values() if replica.status().fault]
        assert len(clients.accepted) > 10, injector.injected
        print(f"seed {seed}: {len(clients.accepted)} accepted, {clients.reads} reads, faults {injector.injected}")
