"""A group of real replicas over a faulty link and faulty disks in memory."""

import errno
import random
import threading
import time

from arbutusrill_base import Clock
from arbutusrill_wire import decode, encode, messages

from arbutusrill_raft import (
    Bounds,
    Folder,
    LogUnavailableError,
    NotLeaderError,
    Replica,
    StateMachine,
    Timing,
    Transport,
)

# Half of the program's times: shorter tests, with the same ratios between the times.
QUICK = Timing(0.05, 0.25, 0.5, 0.2, 0.2, 0.12)
SMALL = Bounds(compact_entries=40, keep_bytes=600, append_bytes=2000, chunk_bytes=700)
PATIENCE_S = 60.0  # tests share the machine with others; nothing is measured here


class File:
    def __init__(self):
        self.data = bytearray()
        self.synced = 0


class MemoryDisk(Folder):
    """Loses unsynced data and names at `crash`, and fails on demand."""

    def __init__(self):
        self.files = {}
        self.durable = {}
        self.error = None  # raised by writes
        self.sync_error = None
        self.sync_s = 0.0  # longest time of a sync
        self.syncs = threading.Event()  # a sync waits while it is clear
        self.syncs.set()
        self.dead = False
        self.lock = threading.RLock()

    def crash(self, rng):
        with self.lock:
            names = rng.choice([self.durable, self.files])
            self.dead = True
            disk = MemoryDisk()
            disk.sync_s = self.sync_s
            for name, file in names.items():
                new = disk.files[name] = disk.durable[name] = File()
                keep = file.synced + rng.randint(0, len(file.data) - file.synced)
                new.data = file.data[:keep]
                if keep > file.synced and rng.random() < 0.3:
                    start = max(file.synced, (keep - 1) // 512 * 512)
                    new.data[start:] = bytes(keep - start)
                new.synced = len(new.data)
            return disk

    def _use(self, error=None):
        if self.dead:
            raise OSError(errno.EIO, "process killed")
        if error:
            raise error

    def names(self):
        with self.lock:
            self._use()
            return sorted(self.files)

    def size(self, name):
        return len(self.read(name))

    def read(self, name, offset=0, size=-1):
        with self.lock:
            self._use()
            if name not in self.files:
                raise FileNotFoundError(name)
            data = bytes(self.files[name].data)
            return data[offset:] if size < 0 else data[offset : offset + size]

    def append(self, name, data):
        with self.lock:
            self._use(self.error)
            self.files.setdefault(name, File()).data.extend(data)

    def sync(self, name):
        self.syncs.wait(PATIENCE_S)
        if self.sync_s:
            time.sleep(random.uniform(0, self.sync_s))
        with self.lock:
            self._use(self.sync_error)
            self.files[name].synced = len(self.files[name].data)

    def truncate(self, name, size):
        with self.lock:
            self._use()
            del self.files[name].data[size:]
            self.sync(name)

    def rename(self, old, new):
        with self.lock:
            self._use()
            self.files[new] = self.files.pop(old)

    def remove(self, name):
        with self.lock:
            self._use()
            self.files.pop(name, None)

    def sync_names(self):
        with self.lock:
            self._use()
            self.durable = dict(self.files)

    def close(self):
        pass


class ListMachine(StateMachine):
    """Keeps the entries in order and answers with how many there are."""

    def __init__(self):
        self.items = []

    def apply(self, data):
        self.items.append(data)
        return str(len(self.items)).encode()

    def snapshot(self):
        return b"".join(len(item).to_bytes(4, "big") + item for item in self.items)

    def restore(self, data):
        items = []
        while data:
            size = int.from_bytes(data[:4], "big")
            items.append(data[4 : 4 + size])
            data = data[4 + size :]
        self.items = items


class Link(Transport):
    """Delivers calls of one node in the caller's thread, with the faults that the group has set."""

    def __init__(self, group, source):
        self.group = group
        self.source = source

    def call(self, address, name, request, timeout):
        group = self.group
        receiver = group.receiver(self.source, address)
        if random.random() < group.loss:
            raise ConnectionError("request lost")
        time.sleep(random.uniform(0, group.delay_s))
        for _ in range(2 if random.random() < group.duplicates else 1):
            reply = getattr(receiver, name)(request if name == "hello" else copy(request))
        if group.receiver(self.source, address) is not receiver or (address, self.source) in group.cuts:
            raise ConnectionError("reply cut off")
        if random.random() < group.loss:
            raise ConnectionError("reply lost")
        return copy(reply)

    def close(self):
        pass


def copy(message):
    return decode(type(message), encode(message))


class Group:
    """Replicas by address; used as a context manager."""

    def __init__(self, count=3, timing=QUICK, bounds=None, seed=1):
        self.rng = random.Random(seed)
        self.timing, self.bounds = timing, bounds or Bounds()
        self.initial = [f"10.0.0.{number + 1}:7400" for number in range(count)]
        self.disks, self.machines, self.replicas = {}, {}, {}
        self.cuts = set()  # pairs (from, to) over which nothing passes
        self.sync_s = 0.0
        self.loss = self.duplicates = self.delay_s = 0.0

    def __enter__(self):
        for address in self.initial:
            self.start(address)
        return self

    def __exit__(self, *_):
        for address in list(self.replicas):
            self.stop(address)

    def start(self, address, clock: Clock | None = None, alone_since=None):
        disk = self.disks.setdefault(address, MemoryDisk())
        disk.sync_s = self.sync_s
        machine = self.machines[address] = ListMachine()
        link = Link(self, address)
        replica = Replica(address, self.initial, disk, machine, link, clock, self.timing, self.bounds, alone_since)
        self.replicas[address] = replica
        return replica.__enter__()

    def stop(self, address):
        self.replicas.pop(address).__exit__()

    def kill(self, address):
        """Ends a replica as a power failure does: unsynced data is lost in part or whole."""
        replica = self.replicas.pop(address)
        self.disks[address] = self.disks[address].crash(self.rng)
        replica.__exit__()

    def lose_disk(self, address):
        self.kill(address)
        self.disks[address] = MemoryDisk()

    def receiver(self, source, address):
        if (source, address) in self.cuts or address not in self.replicas or source not in self.replicas:
            raise ConnectionError("cut off")
        return self.replicas[address].handler

    def cut(self, address, inward=True, outward=True):
        for other in set(self.disks) - {address}:
            self.cuts |= {(other, address)} if inward else set()
            self.cuts |= {(address, other)} if outward else set()

    def heal(self):
        self.cuts = set()

    # ---- use

    def leader(self, among=None):
        """Waits for a replica that proves that it leads and returns its address."""
        found = []

        def proven():
            for address, replica in list(self.replicas.items()):
                if (among is None or address in among) and replica.is_leader():
                    try:
                        replica.confirm(1.0)
                    except (NotLeaderError, LogUnavailableError):
                        continue
                    found.append(address)
                    return True
            return False

        wait_until(proven, "a leader")
        return found[0]

    def followers(self):
        leader = self.leader()
        return [address for address in sorted(self.replicas) if address != leader]

    def propose(self, data, timeout=PATIENCE_S):
        """Proposes at whichever replica leads, again only when the entry certainly was not appended."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            for replica in list(self.replicas.values()):
                try:
                    return replica.propose(data, deadline - time.monotonic())
                except NotLeaderError:
                    continue
                except LogUnavailableError as error:
                    if error.appended:
                        raise
            time.sleep(0.01)
        raise LogUnavailableError("no leader in time", appended=False)

    def on_leader(self, name, *arguments):
        """Calls a membership operation on the leader until it succeeds."""
        deadline = time.monotonic() + PATIENCE_S
        while True:
            try:
                return getattr(self.replicas[self.leader()], name)(*arguments, 10.0)
            except (NotLeaderError, LogUnavailableError, KeyError):
                if time.monotonic() > deadline:
                    raise

    def wait_equal(self, items=None):
        """Waits until every live replica has applied the same entries."""
        wait_until(lambda: self._equal(items), f"equal states, have {self._states()}")

    def _equal(self, items):
        states = [self.machines[address].items for address in self.replicas]
        applied = {replica.status().applied_index for replica in self.replicas.values()}
        return len(applied) == 1 and all(state == (states[0] if items is None else items) for state in states)

    def _states(self):
        return {
            address: (len(self.machines[address].items), self.replicas[address].status()) for address in self.replicas
        }


def wait_until(condition, what):
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline, f"not in time: {what}"
        time.sleep(0.005)


def refused(call, *arguments):
    try:
        call(*arguments)
    except messages.Refused as error:
        return error.code
    return ""
