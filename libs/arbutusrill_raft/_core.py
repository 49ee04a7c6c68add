"""Raft state of one replica, shared by its threads, and its transitions."""

from __future__ import annotations

import enum
import random
import threading
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError

from arbutusrill_base import Clock, EventLog, PartLog
from arbutusrill_wire import messages

from ._entries import NO_OP, Entry
from ._log import LogUnavailableError, NotLeaderError, StateMachine
from ._membership import Membership, address_of
from ._storage import Storage
from ._timing import Bounds, Timing

__all__ = ["Core", "InvariantError", "Progress", "Role"]

_MAX_CLOCK_DRIFT_FRACTION = 0.05  # largest difference of two VMs' clock rates, as a fraction of elapsed time
_DISK_RETRY_S = 0.1  # after a failed write; short against the time in which a replica has to catch up
_log = PartLog("raft")
_events = EventLog("raft")


class InvariantError(Exception):
    """A Raft safety property does not hold; the replica stops permanently with a fault."""


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAULTY = "faulty"


class Progress:
    """Replication progress of one peer, as tracked by the leader. Times are on the replica's clock."""

    __slots__ = ("acked_sent_at", "match_index", "next_index")

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.acked_sent_at = float("-inf")  # send time of the latest message that the peer has acknowledged


class Core:
    """Term, role, log and commit index of one replica. Methods need `lock` to be held unless noted.

    All conditions share `lock`. `peers_wakeup`, `elections_wakeup`, `writer_wakeup` and `applier_wakeup` each wake
    the threads that they are named after; `state_changed` wakes threads that wait for durability, leadership,
    applied entries or acknowledgements of a quorum.
    """

    def __init__(
        self,
        storage: Storage,
        address: str,
        machine: StateMachine,
        clock: Clock,
        timing: Timing,
        bounds: Bounds,
        exclusive_since: float,
    ):
        self.storage = storage
        self.state_machine = machine
        self.clock = clock
        self.timing = timing
        self.bounds = bounds
        self.own_id = f"{address}/{storage.disk_id}"
        self.lock = threading.RLock()
        # Held while log files are written or replaced by a snapshot. Lock order: before `lock`.
        self.log_files_lock = threading.Lock()
        # Held while a snapshot is saved or received. Lock order: before `log_files_lock` and `lock`.
        self.snapshot_lock = threading.Lock()
        self.peers_wakeup, self.writer_wakeup, self.applier_wakeup, self.elections_wakeup, self.state_changed = (
            threading.Condition(self.lock) for _ in range(5)
        )
        stored = storage.load()
        self.log = stored.log
        self.snapshot_to_restore = stored.snapshot  # restored by the applier before it applies entries
        self.snapshot_index = self.log.base_index
        self.commit_index = self.log.base_index
        self.applied_index = 0
        self.durable_index = self.log.base_index  # until the writer has synced what was loaded
        self.loaded_entry = (
            self.log.entry_at(self.log.last_index) if self.log.last_index > self.log.base_index else None
        )
        self.unwritten_entries: list[Entry] = []  # in the log, not yet handed to the disk
        self.role = Role.FOLLOWER
        self.leader = ""  # member ID, empty when unknown
        self.leader_of_term: tuple[int, str] = (0, "")  # latest term with a known leader, and that leader
        self.fault = ""
        self.disk_error = ""  # reason of the latest failed write, empty while the disk accepts writes
        self.disk_retry_at = float("-inf")
        self._disk_failing_since = float("-inf")
        self.stopping = False
        self.vote_round = 0  # incremented by each pre-vote and each vote; identifies late replies
        self.votes: set[str] = set()
        self.progress_by_peer: dict[str, Progress] = {}
        # Valid only while this replica leads; set by `become_leader`.
        self.elected_at = 0.0
        self.first_index_of_term = 0
        self.uncommitted_bytes = 0
        self.proposal_by_index: dict[int, tuple[int, Future]] = {}  # term of the entry and the proposer's future
        # No vote is granted before this time: until its restart, the replica may have acknowledged a leader's message
        # and so extended that leader's lease.
        self.no_vote_until = exclusive_since + timing.lease_s * (1 + _MAX_CLOCK_DRIFT_FRACTION)
        # The first election timeout is short. A running leader sends a heartbeat before it ends; without a leader,
        # the whole group is unavailable until the election.
        can_vote_at = max(clock.monotonic(), self.no_vote_until)
        self._early_election_until = can_vote_at + timing.election_max_s
        self.election_due_at = can_vote_at + self._early_election_delay_s()
        # Called with `lock` held after the latest membership may have changed.
        self.on_membership_change: Callable[[], None] = lambda: None

    @property
    def term(self) -> int:
        """The current term."""
        return self.storage.term

    @property
    def membership(self) -> Membership | None:
        """The latest membership, committed or not; None before the group has formed."""
        return self.log.membership

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote in the latest membership."""
        return self.membership is not None and self.own_id in self.membership.voters

    @property
    def is_ready_leader(self) -> bool:
        """Whether this replica leads and has applied the first entry of its term, hence all older ones."""
        return self.role is Role.LEADER and self.applied_index >= self.first_index_of_term

    def quorum_acked_sent_at(self) -> float:
        """Returns the latest time such that a majority has acknowledged a message sent at that time or later."""
        now = self.clock.monotonic()
        times = [
            now if voter == self.own_id else self.progress_by_peer[voter].acked_sent_at
            for voter in self.membership.voters
        ]
        return sorted(times, reverse=True)[self.membership.quorum - 1]

    def not_leader_error(self) -> NotLeaderError:
        """Returns an error with the known leader's address, empty when unknown."""
        return NotLeaderError(address_of(self.leader) if self.leader != self.own_id else "")

    def fail(self, reason: str) -> None:
        """Stops the replica permanently with the fault `reason`; its files stay as they are. Acquires `lock` itself."""
        with self.lock:
            if self.fault or self.stopping:
                return
            self.fault = reason
            _log.error("replica %s stops with a fault: %s", self.own_id, reason)
            _events.emit("replica_stopped", replica=self.own_id, role=self.role.value, term=self.term, reason=reason)
            self.role = Role.FAULTY
            self.leader = ""
            self._fail_pending_proposals(lambda: LogUnavailableError(reason, appended=True))
            self.wake_all()

    def record_disk_error(self, operation: str, error: OSError) -> None:
        """Records that the disk has refused a write; the replica goes on and retries. Acquires `lock` itself.

        What was to be written counts as not written. Until a write succeeds, the replica starts no election, grants no
        vote that needs a write, and acknowledges no entry that it has not written before. A leader stays leader: the
        other voters can commit without it. It steps down when more than `Bounds.pending_bytes` wait for its disk.
        """
        with self.lock:
            now = self.clock.monotonic()
            if not self.disk_error:
                self._disk_failing_since = now
                _log.warning("%s: %s failed: %s", self.own_id, operation, error)
                _events.emit(
                    "disk_failing",
                    replica=self.own_id,
                    operation=operation,
                    reason=str(error),
                    role=self.role.value,
                    term=self.term,
                    durable_index=self.durable_index,
                    last_index=self.log.last_index,
                )
            self.disk_error = f"disk: {error}"
            self.disk_retry_at = now + _DISK_RETRY_S
            if self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
                self.role = Role.FOLLOWER
            elif self.role is Role.LEADER and self.is_disk_backlog_full():
                self.step_down(self.term, self.disk_error)

    def record_disk_success(self) -> None:
        """Records that the disk has accepted a write. Acquires `lock` itself."""
        with self.lock:
            if not self.disk_error:
                return
            self.disk_error = ""
            _events.emit(
                "disk_recovered",
                replica=self.own_id,
                failed_s=self.clock.monotonic() - self._disk_failing_since,
                role=self.role.value,
                term=self.term,
                durable_index=self.durable_index,
                last_index=self.log.last_index,
            )
            self.wake_all()

    def is_disk_backlog_full(self) -> bool:
        """Returns whether the entries that wait for a failing disk exceed `Bounds.pending_bytes`."""
        if not self.disk_error:
            return False
        return sum(entry.memory_bytes for entry in self.unwritten_entries) > self.bounds.pending_bytes

    def begin_shutdown(self) -> None:
        """Signals all threads to end and fails the pending proposals."""
        self.stopping = True
        self._fail_pending_proposals(lambda: LogUnavailableError("the replica stops", appended=True))
        self.wake_all()

    def check_invariant(self, holds: bool, violation: str) -> None:
        """Stops the replica with a fault and raises `InvariantError` unless `holds`.

        `violation` names the invariant and how it is violated.
        """
        if not holds:
            self.fail(f"invariant broken: {violation}")
            raise InvariantError(violation)

    def require_running(self) -> None:
        """Raises `messages.Refused` when this replica has a fault or is stopping."""
        if self.fault or self.stopping:
            raise messages.Refused("faulty", self.fault or "the replica stops")

    def require_target(self, target: str) -> None:
        """Raises `messages.Refused` for a message to another member ID, such as that of a disk this VM has lost."""
        self.require_running()
        if target != self.own_id:
            raise messages.Refused("wrong_member", f"this replica is {self.own_id}, not {target}")

    def wake_all(self) -> None:
        """Wakes all threads of the replica."""
        for condition in (
            self.peers_wakeup,
            self.writer_wakeup,
            self.applier_wakeup,
            self.elections_wakeup,
            self.state_changed,
        ):
            condition.notify_all()

    def save_term_and_vote(self, term: int, vote: str) -> None:
        """Makes term and vote durable; after a disk error, both are unchanged and `messages.Refused` is raised."""
        try:
            self.storage.save_term_and_vote(term, vote)
        except OSError as error:
            self.record_disk_error("saving term and vote", error)
            raise messages.Refused("disk", self.disk_error) from None
        self.record_disk_success()

    def reset_election_timer(self) -> None:
        """Restarts the election timeout with a new random duration."""
        now = self.clock.monotonic()
        if self.role is Role.PRE_CANDIDATE and now < self._early_election_until:
            # Replicas started at the same time may refuse the first pre-vote, so it is repeated after a short delay.
            wait = self._early_election_delay_s()
        else:
            wait = random.uniform(self.timing.election_min_s, self.timing.election_max_s)
        self.election_due_at = now + wait

    def _early_election_delay_s(self) -> float:
        return random.uniform(1, 2) * self.timing.heartbeat_s

    def step_down(self, term: int, reason: str) -> None:
        """Becomes a follower in `term`, which must not be lower than the current term.

        Raises `messages.Refused` when a higher term cannot be saved; the replica is a follower then too, but keeps its
        term.
        """
        try:
            if term > self.term:
                self.save_term_and_vote(term, "")
                self.leader = ""
        finally:
            if self.role is Role.LEADER:
                _log.info("%s steps down as leader of term %d: %s", self.own_id, self.term, reason)
                _events.emit("stepped_down", replica=self.own_id, term=self.term, reason=reason)
                self.leader = ""
                self.reset_election_timer()
                self._fail_pending_proposals(lambda: LogUnavailableError(f"leadership lost: {reason}", appended=True))
            if self.role is not Role.FAULTY:
                self.role = Role.FOLLOWER
            self.wake_all()

    def accept_leader(self, term: int, leader: str) -> None:
        """Follows `leader` in `term`, which must not be lower than the current term.

        Raises `InvariantError` when another leader of that term is known.
        """
        known_term, known = self.leader_of_term
        self.check_invariant(
            known_term != term or known == leader, f"one leader per term: {known} and {leader} both lead term {term}"
        )
        if term > self.term or self.role is not Role.FOLLOWER:
            self.step_down(term, f"{leader} leads term {term}")
        if self.leader != leader:
            _events.emit("leader_known", replica=self.own_id, term=term, leader=leader)
        self.leader_of_term = (term, leader)
        self.leader = leader
        self.record_leader_contact()

    def record_leader_contact(self) -> None:
        """Records a message from the leader: restarts the election timeout and grants no vote for `election_min_s`."""
        self.no_vote_until = self.clock.monotonic() + self.timing.election_min_s
        self.reset_election_timer()

    def become_leader(self) -> None:
        """Becomes the leader of the current term and appends a no-op entry.

        Entries of older terms are committed only together with an entry of the current term.
        """
        known_term, known = self.leader_of_term
        self.check_invariant(known_term != self.term, f"one leader per term: {known} leads term {self.term} already")
        self.leader_of_term = (self.term, self.own_id)
        self.role = Role.LEADER
        self.leader = self.own_id
        self.elected_at = self.clock.monotonic()
        for peer in self.progress_by_peer:
            self.progress_by_peer[peer] = Progress(self.log.last_index + 1)
        _log.info("%s is leader of term %d, first entry %d", self.own_id, self.term, self.log.last_index + 1)
        _events.emit("leading", replica=self.own_id, term=self.term, first_index=self.log.last_index + 1)
        self.first_index_of_term = self.log.last_index + 1
        self.uncommitted_bytes = sum(
            self.log.entry_at(index).memory_bytes for index in range(self.commit_index + 1, self.log.last_index + 1)
        )
        self.append_as_leader(NO_OP, b"")

    def append_as_leader(self, kind: int, data: bytes) -> Entry:
        """Appends an entry to the leader's log and wakes the writer and the peers."""
        entry = self.log.append(Entry(self.log.last_index + 1, self.term, kind, data))
        self.unwritten_entries.append(entry)
        self.uncommitted_bytes += entry.memory_bytes
        if entry.index == self.log.membership_index:
            self.on_membership_change()
        self.writer_wakeup.notify_all()
        self.peers_wakeup.notify_all()
        return entry

    def append_received(self, entries: list[Entry]) -> None:
        """Appends entries received from the leader; truncates the log at the first entry with a different term."""
        before = self.log.membership
        for position, entry in enumerate(entries):
            known = self.log.term_at(entry.index)
            if known == entry.term or entry.index <= self.log.base_index:
                continue
            if known is not None:
                self.check_invariant(
                    entry.index > self.commit_index,
                    f"equal applied prefix: entry {entry.index} of term {known} is committed, not of term {entry.term}",
                )
                self.log.truncate_from(entry.index)
                self.durable_index = min(self.durable_index, entry.index - 1)
            added = [self.log.append(new) for new in entries[position:]]
            self.unwritten_entries.extend(added)
            self.writer_wakeup.notify_all()
            break
        if self.log.membership != before:
            self.on_membership_change()

    def record_durable(self, last: Entry) -> None:
        """Records that the log is durable up to `last`, unless that entry has been replaced during the write."""
        if self.log.term_at(last.index) == last.term and last.index > self.durable_index:
            self.durable_index = last.index
        self.advance_commit()
        self.state_changed.notify_all()

    def advance_commit(self) -> None:
        """On the leader, commits up to the last entry durable on a majority of voters, if it is of the current term."""
        if self.role is not Role.LEADER:
            return
        durable_indexes = [
            self.durable_index if voter == self.own_id else self.progress_by_peer[voter].match_index
            for voter in self.membership.voters
        ]
        index = sorted(durable_indexes, reverse=True)[self.membership.quorum - 1]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_up_to(index)

    def commit_up_to(self, index: int) -> None:
        """Sets the commit index; raises `InvariantError` when `index` is below the current one."""
        self.check_invariant(
            index >= self.commit_index, f"the commit index never goes back: {index} is below {self.commit_index}"
        )
        if index > self.commit_index:
            if self.role is Role.LEADER:
                new = range(self.commit_index + 1, index + 1)
                self.uncommitted_bytes -= sum(self.log.entry_at(number).memory_bytes for number in new)
            self.commit_index = index
            self.applier_wakeup.notify_all()

    def complete_proposal(self, entry: Entry, result: bytes | Exception | None) -> None:
        """Completes the future of the proposal at an applied entry's index, if this replica has one.

        The future fails when an entry of another term was committed at that index.
        """
        term, future = self.proposal_by_index.pop(entry.index, (0, None))
        if future is None:
            return
        if term != entry.term:
            result = LogUnavailableError("another entry was committed in its place", appended=False)
        _complete_future(future, result)

    def _fail_pending_proposals(self, error: Callable[[], Exception]) -> None:
        for _, future in self.proposal_by_index.values():
            _complete_future(future, error())
        self.proposal_by_index.clear()


def _complete_future(future: Future, result: bytes | Exception | None) -> None:
    try:
        if isinstance(result, Exception):
            future.set_exception(result)
        else:
            future.set_result(result)
    except InvalidStateError:
        pass  # already completed or cancelled
