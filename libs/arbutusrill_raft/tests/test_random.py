"""Guards against combinations of faults that lose, revert, repeat or reorder accepted entries.

Each seed fixes the schedule of faults; the interleaving of the threads differs from run to run.
"""

import os
import random
import threading
import time

import pytest

from arbutusrill_raft import LogUnavailableError, MembershipError, NotLeaderError

from .group import SMALL, Group, wait_until

SEEDS = [int(seed) for seed in os.environ.get("ARBUTUSRILL_SEEDS", "1 2 3").split()]
FAULTS_S = float(os.environ.get("ARBUTUSRILL_FAULTS_S", "6"))


class Clients:
    """Propose distinct entries and read while faults happen, and record what the group promised."""

    def __init__(self, group, count):
        self.group = group
        self.accepted = []  # (started, ended, entry)
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


class Faults:
    """Draws one fault after another and undoes it; one replica at most is down or cut off at a time."""

    def __init__(self, group, seed):
        self.group = group
        self.rng = random.Random(seed)
        self.seen = []

    def step(self):
        kind = self.rng.choice(["cut", "deaf", "mute", "kill", "kill_leader", "kill_all", "lose_disk", "lossy"])
        self.seen.append(kind)
        address = self.rng.choice(self.group.initial)
        if kind == "kill_leader":
            address = next((a for a, replica in self.group.replicas.items() if replica.is_leader()), address)
        getattr(self, f"_{kind}", self._kill)(address)

    def _pause(self):
        time.sleep(self.rng.uniform(0.05, 0.9))

    def _cut(self, address, **ways):
        self.group.cut(address, **ways)
        self._pause()
        self.group.heal()

    def _deaf(self, address):
        self._cut(address, outward=False)

    def _mute(self, address):
        self._cut(address, inward=False)

    def _kill(self, address):
        self.group.kill(address)
        self._pause()
        self.group.start(address)

    def _kill_all(self, late):
        """Power failure of all; one replica, often the leader, returns later than the others."""
        late = next((a for a, replica in self.group.replicas.items() if replica.is_leader()), late)
        for address in self.group.initial:
            self.group.kill(address)
        for address in self.group.initial:
            if address != late:
                self.group.start(address)
        time.sleep(self.rng.choice([0.0, 2 * self.group.timing.election_max_s]))
        self.group.start(late)

    def _lose_disk(self, address):
        """Loses a disk, repairs, and loses another replica's disk right after the repair."""
        self._repair(address)
        other = self.rng.choice([other for other in self.group.initial if other != address])
        self._repair(other)

    def _repair(self, address):
        self.group.lose_disk(address)
        self._pause()
        self.group.start(address)
        wait_until(lambda: self._replaced(address), f"{address} is replaced")

    def _replaced(self, address):
        try:
            new = self.group.replicas[address].status().replica
            leader = self.group.leader()
            self.group.replicas[leader].replace(address, address, 5.0)
        except (NotLeaderError, LogUnavailableError, MembershipError):
            pass
        voters = self.group.replicas[self.group.leader()].status().voters
        return new in voters and len(voters) == 3

    def _lossy(self, _):
        self.group.loss, self.group.duplicates, self.group.delay_s = 0.2, 0.2, 0.03
        self._pause()
        self.group.loss = self.group.duplicates = self.group.delay_s = 0.0


def check(group, clients):
    group.heal()
    for address in set(group.initial) - set(group.replicas):
        group.start(address)
    group.propose(b"last")
    group.wait_equal()
    items = group.machines[group.initial[0]].items
    position = {item: number for number, item in enumerate(items)}
    assert len(position) == len(items), "an entry was applied twice"
    assert not clients.problems
    missing = [data for _, _, data in clients.accepted if data not in position]
    assert not missing, f"accepted entries are lost: {missing[:5]}"
    ended = sorted((ended, position[data]) for _, ended, data in clients.accepted)
    latest, done = -1, 0
    for started, _, data in sorted(clients.accepted):
        while done < len(ended) and ended[done][0] < started:
            latest = max(latest, ended[done][1])
            done += 1
        assert position[data] > latest, f"{data} stands before an entry that was accepted before it was proposed"


@pytest.mark.parametrize("seed", SEEDS)
def test_accepted_entries_survive_random_faults(seed):
    group = Group(bounds=SMALL, seed=seed)
    group.sync_s = 0.004  # longer than a message, so that an early acknowledgement shows
    with group:
        group.leader()
        faults = Faults(group, seed)
        with Clients(group, 3) as clients:
            deadline = time.monotonic() + FAULTS_S
            while time.monotonic() < deadline:
                faults.step()
                time.sleep(faults.rng.uniform(0, 0.3))
        check(group, clients)
        assert not [replica.status().fault for replica in group.replicas.values() if replica.status().fault]
        assert len(clients.accepted) > 10, faults.seen
        print(f"seed {seed}: {len(clients.accepted)} accepted, {clients.reads} reads, faults {faults.seen}")
