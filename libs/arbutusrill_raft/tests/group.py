"""Test harness: a group of real replicas with fault injection in the network and in-memory disks."""

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

# Half of the default times, for shorter tests, with nearly the same ratios between them.
QUICK_TIMING = Timing(0.05, 0.25, 0.5, 0.2, 0.2, 0.12)
SMALL_BOUNDS = Bounds(compact_entries=40, keep_bytes=600, append_bytes=2000, chunk_bytes=700)
WAIT_TIMEOUT_S = 60.0  # long, because tests share the machine with others


class MemoryFile:
    def __init__(self):
        self.data = bytearray()
        self.synced = 0
        self.lost_from = None  # a later sync does not write the bytes from here on, unless they are written again

    def durable_bytes(self):
        return self.synced if self.lost_from is None else min(self.synced, self.lost_from)


class MemoryDisk(Folder):
    """An in-memory disk that loses unsynced data and names in a crash and raises the errors that a test sets.

    A refused append keeps part of its bytes. Bytes whose sync has failed stay lost, as on Linux, also when a later sync
    of the same file succeeds.
    """

    def __init__(self):
        self.files = {}
        self.durable = {}
        self.write_error = None  # raised by appends
        self.sync_error = None  # raised by syncs
        self.max_sync_s = 0.0  # each sync takes a random time up to this
        self.sync_allowed = threading.Event()  # syncs wait while it is clear
        self.sync_allowed.set()
        self.crashed = False
        self.lock = threading.RLock()

    def crash(self, rng):
        """Makes this disk unusable; returns one with the synced data, part of the unsynced data and torn writes."""
        with self.lock:
            names = rng.choice([self.durable, self.files])
            self.crashed = True
            disk = MemoryDisk()
            disk.max_sync_s = self.max_sync_s
            for name, file in names.items():
                new = disk.files[name] = disk.durable[name] = MemoryFile()
                durable = file.durable_bytes()
                keep = durable + rng.randint(0, len(file.data) - durable)
                new.data = file.data[:keep]
                if keep > durable and rng.random() < 0.3:
                    start = max(durable, (keep - 1) // 512 * 512)
                    new.data[start:] = bytes(keep - start)
                new.synced = len(new.data)
            return disk

    def _check_usable(self, error=None):
        if self.crashed:
            raise OSError(errno.EIO, "process killed")
        if error:
            raise error

    def names(self):
        with self.lock:
            self._check_usable()
            return sorted(self.files)

    def size(self, name):
        return len(self.read(name))

    def read(self, name, offset=0, size=-1):
        with self.lock:
            self._check_usable()
            if name not in self.files:
                raise FileNotFoundError(name)
            data = bytes(self.files[name].data)
            return data[offset:] if size < 0 else data[offset : offset + size]

    def append(self, name, data):
        with self.lock:
            self._check_usable()
            file = self.files.setdefault(name, MemoryFile())
            if self.write_error:
                file.data.extend(data[: len(data) // 2])
                raise self.write_error
            file.data.extend(data)

    def sync(self, name):
        self.sync_allowed.wait(WAIT_TIMEOUT_S)
        if self.max_sync_s:
            time.sleep(random.uniform(0, self.max_sync_s))
        with self.lock:
            self._check_usable()
            file = self.files[name]
            if self.sync_error:
                if len(file.data) > file.synced:
                    file.lost_from = file.durable_bytes()
                raise self.sync_error
            file.synced = len(file.data)

    def truncate(self, name, size):
        with self.lock:
            self._check_usable()
            file = self.files.setdefault(name, MemoryFile())
            del file.data[size:]
            file.synced = min(file.synced, size)
            if file.lost_from is not None and size <= file.lost_from:
                file.lost_from = None
            self.sync(name)

    def rename(self, old, new):
        with self.lock:
            self._check_usable()
            self.files[new] = self.files.pop(old)

    def remove(self, name):
        with self.lock:
            self._check_usable()
            self.files.pop(name, None)

    def sync_directory(self):
        with self.lock:
            self._check_usable()
            self.durable = dict(self.files)

    def close(self):
        pass


class ListMachine(StateMachine):
    """Stores the entries in order; the result of an entry is the number of entries so far."""

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


class FaultyTransport(Transport):
    """Delivers the calls of one replica in the caller's thread, with the network faults set in the group."""

    def __init__(self, group, source):
        self.group = group
        self.source = source

    def call(self, address, name, request, timeout):
        group = self.group
        handler = group.reachable_handler(self.source, address)
        if random.random() < group.loss_probability:
            raise ConnectionError("request lost")
        time.sleep(random.uniform(0, group.max_delay_s))
        for _ in range(2 if random.random() < group.duplicate_probability else 1):
            reply = getattr(handler, name)(request if name == "hello" else wire_copy(request))
        if (
            group.reachable_handler(self.source, address) is not handler
            or (address, self.source) in group.blocked_links
        ):
            raise ConnectionError("reply cut off")
        if random.random() < group.loss_probability:
            raise ConnectionError("reply lost")
        return wire_copy(reply)

    def close(self):
        pass


def wire_copy(message):
    """Returns the message after encoding and decoding, as over the network."""
    return decode(type(message), encode(message))


class Group:
    """A group of replicas by address, started and stopped as a context manager."""

    def __init__(self, count=3, timing=QUICK_TIMING, bounds=None, seed=1):
        self.rng = random.Random(seed)
        self.timing, self.bounds = timing, bounds or Bounds()
        self.initial_voters = [f"10.0.0.{number + 1}:7400" for number in range(count)]
        self.disks, self.machines, self.replicas = {}, {}, {}
        self.blocked_links = set()  # pairs (source, destination) of addresses
        self.max_sync_s = 0.0
        self.loss_probability = self.duplicate_probability = self.max_delay_s = 0.0

    def __enter__(self):
        for address in self.initial_voters:
            self.start(address)
        return self

    def __exit__(self, *_):
        for address in list(self.replicas):
            self.stop(address)

    def start(self, address, clock: Clock | None = None, exclusive_since=None, is_first_start=True):
        disk = self.disks.setdefault(address, MemoryDisk())
        disk.max_sync_s = self.max_sync_s
        machine = self.machines[address] = ListMachine()
        transport = FaultyTransport(self, address)
        voters = self.initial_voters if is_first_start else []
        replica = Replica(address, voters, disk, machine, transport, clock, self.timing, self.bounds, exclusive_since)
        self.replicas[address] = replica
        return replica.__enter__()

    def stop(self, address):
        self.replicas.pop(address).__exit__()

    def kill(self, address):
        """Simulates a power failure of a replica, which loses some or all unsynced data."""
        replica = self.replicas.pop(address)
        self.disks[address] = self.disks[address].crash(self.rng)
        replica.__exit__()

    def lose_disk(self, address):
        self.kill(address)
        self.disks[address] = MemoryDisk()

    def reachable_handler(self, source, address):
        if (source, address) in self.blocked_links or address not in self.replicas or source not in self.replicas:
            raise ConnectionError("cut off")
        return self.replicas[address].handler

    def cut(self, address, inward=True, outward=True):
        """Blocks the messages to (`inward`) and from (`outward`) a replica."""
        for other in set(self.disks) - {address}:
            self.blocked_links |= {(other, address)} if inward else set()
            self.blocked_links |= {(address, other)} if outward else set()

    def heal(self):
        self.blocked_links = set()

    def leader(self, among=None):
        """Waits until a replica proves its leadership and returns its address."""
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

    def propose(self, data, timeout=WAIT_TIMEOUT_S):
        """Proposes on the leader; retries only when the entry cannot have been appended."""
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

    def call_on_leader(self, name, *arguments):
        """Calls a membership operation on the leader until it succeeds."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            try:
                return getattr(self.replicas[self.leader()], name)(*arguments, 10.0)
            except (NotLeaderError, LogUnavailableError, KeyError):
                if time.monotonic() > deadline:
                    raise

    def wait_equal(self, items=None):
        """Waits until all running replicas have applied the same entries, equal to `items` if given."""
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
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for: {what}"
        time.sleep(0.005)


def refusal_code(call, *arguments):
    """Returns the code with which a call is refused, empty when it succeeds."""
    try:
        call(*arguments)
    except messages.Refused as error:
        return error.code
    return ""


def entries(count, first=0):
    return [f"entry {number}".encode() for number in range(first, first + count)]


def propose_all(group, items):
    for item in items:
        group.propose(item)
