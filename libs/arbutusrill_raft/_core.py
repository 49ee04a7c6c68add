"""State that the threads of one replica share, and the rules for changing it."""

from __future__ import annotations

import enum
import random
import threading
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError

from arbutusrill_base import Clock, PartLog
from arbutusrill_wire import messages

from ._entries import NOTHING, Entry
from ._log import LogUnavailableError, NotLeaderError, StateMachine
from ._membership import Membership, address_of
from ._storage import Storage
from ._timing import Bounds, Timing

__all__ = ["Core", "InvariantError", "Progress", "Role"]

_CLOCK_DRIFT = 0.05  # between two VMs, as a part of a time that both measure
_log = PartLog("raft")


class InvariantError(Exception):
    """A rule that the protocol guarantees is broken; the replica stops taking part."""


class Role(enum.Enum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAULTY = "faulty"


class Progress:
    """What the leader knows of one peer. Times are on the monotonic clock."""

    __slots__ = ("acked_sent_at", "match_index", "next_index")

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.acked_sent_at = float("-inf")  # when the latest message was sent that the peer has answered


class Core:
    """Term, role, log and commit index of one replica. Methods need `lock` to be held unless noted.

    Conditions share the lock: `work` wakes the peers, `to_elect` the elections, `to_write` the writer, `to_apply`
    the applier, and `changed` whoever waits for durability, leadership or a quorum round.
    """

    def __init__(
        self,
        storage: Storage,
        address: str,
        machine: StateMachine,
        clock: Clock,
        timing: Timing,
        bounds: Bounds,
        alone_since: float,
    ):
        self.storage = storage
        self.machine = machine
        self.clock = clock
        self.timing = timing
        self.bounds = bounds
        self.me = f"{address}/{storage.disk_id}"
        self.lock = threading.RLock()
        # Held around writes to the log files and their replacement by a snapshot; taken before `lock`.
        self.files = threading.Lock()
        # Held while a snapshot is saved or received; taken before `files` and `lock`.
        self.snapshots = threading.Lock()
        self.work, self.to_write, self.to_apply, self.to_elect, self.changed = (
            threading.Condition(self.lock) for _ in range(5)
        )
        stored = storage.load()
        self.log = stored.log
        self.to_restore = stored.snapshot  # state that the applier has to take over first
        self.snapshot_index = self.log.base_index
        self.commit_index = self.log.base_index
        self.applied_index = 0
        self.durable_index = self.log.last_index
        self.pending: list[Entry] = []
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leader_of_term: tuple[int, str] = (0, "")
        self.fault = ""
        self.stopping = False
        self.round = 0  # increases with each round of votes
        self.votes: set[str] = set()
        self.progress_by_peer: dict[str, Progress] = {}
        self.elected_at = 0.0
        self.first_index_of_term = 0
        self.uncommitted_bytes = 0
        self.proposal_by_index: dict[int, tuple[int, Future]] = {}
        # No vote is given before then. Before it was started again, a replica may have extended a leader's lease.
        self.no_vote_until = alone_since + timing.lease_s * (1 + _CLOCK_DRIFT)
        # The first election is early: a leader that is there is heard before, and without one all wait for it.
        free_at = max(clock.monotonic(), self.no_vote_until)
        self._early_until = free_at + timing.election_max_s
        self.election_at = free_at + self._early_wait_s()
        self.on_membership: Callable[[], None] = lambda: None

    # ---- short questions

    @property
    def term(self) -> int:
        """Current term."""
        return self.storage.term

    @property
    def membership(self) -> Membership | None:
        """Latest membership, None before the group has formed."""
        return self.log.membership

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote in the latest membership."""
        return self.membership is not None and self.me in self.membership.voters

    @property
    def serves(self) -> bool:
        """Whether this replica leads and has applied an entry of its own term, hence all older ones."""
        return self.role is Role.LEADER and self.applied_index >= self.first_index_of_term

    def quorum_sent_at(self) -> float:
        """Returns a time since which a majority has answered a message of this leader."""
        now = self.clock.monotonic()
        times = [
            now if voter == self.me else self.progress_by_peer[voter].acked_sent_at for voter in self.membership.voters
        ]
        return sorted(times, reverse=True)[self.membership.quorum - 1]

    def not_leader(self) -> NotLeaderError:
        """Returns the error that names the known leader."""
        return NotLeaderError(address_of(self.leader) if self.leader != self.me else "")

    # ---- faults

    def fail(self, reason: str) -> None:
        """Stops taking part for good, keeping what is on the disk; takes the lock itself."""
        with self.lock:
            if self.fault or self.stopping:
                return
            self.fault = reason
            _log.error("%s stops taking part: %s", self.me, reason)
            self.role = Role.FAULTY
            self.leader = ""
            self._fail_proposals(lambda: LogUnavailableError(reason, appended=True))
            self.wake_all()

    def step_aside(self) -> None:
        """Ends all threads and fails the proposals under way."""
        self.stopping = True
        self._fail_proposals(lambda: LogUnavailableError("the replica stops", appended=True))
        self.wake_all()

    def check(self, holds: bool, rule: str) -> None:
        """Raises `InvariantError` and stops taking part when a rule is broken."""
        if not holds:
            self.fail(f"invariant broken: {rule}")
            raise InvariantError(rule)

    def require_sound(self) -> None:
        """Raises `messages.Refused` when this replica does not take part."""
        if self.fault or self.stopping:
            raise messages.Refused("faulty", self.fault or "the replica stops")

    def require_target(self, target: str) -> None:
        """Refuses a message for another member, such as the one whose disk this VM has lost."""
        self.require_sound()
        if target != self.me:
            raise messages.Refused("wrong_member", f"this replica is {self.me}, not {target}")

    def wake_all(self) -> None:
        """Wakes all threads of the replica."""
        for condition in (self.work, self.to_write, self.to_apply, self.to_elect, self.changed):
            condition.notify_all()

    # ---- terms and roles

    def save_meta(self, term: int, vote: str) -> None:
        """Makes term and vote durable; a disk error is a fault of the replica."""
        try:
            self.storage.save_meta(term, vote)
        except OSError as error:
            self.fail(f"disk: {error}")
            raise messages.Refused("faulty", self.fault) from None

    def postpone_election(self) -> None:
        """Draws the time of the next election."""
        now = self.clock.monotonic()
        if self.role is Role.PRE_CANDIDATE and now < self._early_until:
            # Others that were started with this replica may be a moment behind and refuse the first request.
            wait = self._early_wait_s()
        else:
            wait = random.uniform(self.timing.election_min_s, self.timing.election_max_s)
        self.election_at = now + wait

    def _early_wait_s(self) -> float:
        return random.uniform(1, 2) * self.timing.heartbeat_s

    def step_down(self, term: int, why: str) -> None:
        """Becomes a follower in `term`, which is at least the current one."""
        if term > self.term:
            self.save_meta(term, "")
            self.leader = ""
        if self.role is Role.LEADER:
            _log.info("%s no longer leads term %d: %s", self.me, self.term, why)
            self.leader = ""
            self.postpone_election()
            self._fail_proposals(lambda: LogUnavailableError(f"leadership lost: {why}", appended=True))
        if self.role is not Role.FAULTY:
            self.role = Role.FOLLOWER
        self.wake_all()

    def accept_leader(self, term: int, leader: str) -> None:
        """Takes `leader` as the only leader of `term`, which is at least the current one."""
        known_term, known = self.leader_of_term
        self.check(
            known_term != term or known == leader, f"one leader per term: {known} and {leader} both lead term {term}"
        )
        if term > self.term or self.role is not Role.FOLLOWER:
            self.step_down(term, f"{leader} leads term {term}")
        self.leader_of_term = (term, leader)
        self.leader = leader
        self.heard()

    def heard(self) -> None:
        """Notes that the leader is alive."""
        self.no_vote_until = self.clock.monotonic() + self.timing.election_min_s
        self.postpone_election()

    def lead(self) -> None:
        """Becomes the leader of the current term."""
        known_term, known = self.leader_of_term
        self.check(known_term != self.term, f"one leader per term: {known} leads term {self.term} already")
        self.leader_of_term = (self.term, self.me)
        self.role = Role.LEADER
        self.leader = self.me
        self.elected_at = self.clock.monotonic()
        for peer in self.progress_by_peer:
            self.progress_by_peer[peer] = Progress(self.log.last_index + 1)
        _log.info("%s leads term %d from entry %d on", self.me, self.term, self.log.last_index + 1)
        self.first_index_of_term = self.log.last_index + 1
        self.uncommitted_bytes = sum(
            self.log.at(index).cost for index in range(self.commit_index + 1, self.log.last_index + 1)
        )
        self.append_own(NOTHING, b"")

    # ---- log

    def append_own(self, kind: int, data: bytes) -> Entry:
        """Adds an entry of this leader and hands it to the writer and the peers."""
        entry = self.log.append(Entry(self.log.last_index + 1, self.term, kind, data))
        self.pending.append(entry)
        self.uncommitted_bytes += entry.cost
        if entry.index == self.log.membership_index:
            self.on_membership()
        self.to_write.notify_all()
        self.work.notify_all()
        return entry

    def append_received(self, entries: list[Entry]) -> None:
        """Adds the leader's entries, replacing those that contradict them."""
        before = self.log.membership
        for position, entry in enumerate(entries):
            known = self.log.term_at(entry.index)
            if known == entry.term or entry.index <= self.log.base_index:
                continue
            if known is not None:
                self.check(
                    entry.index > self.commit_index,
                    f"equal applied prefix: entry {entry.index} of term {known} is committed, not of term {entry.term}",
                )
                self.log.truncate_from(entry.index)
                self.durable_index = min(self.durable_index, entry.index - 1)
            added = [self.log.append(new) for new in entries[position:]]
            self.pending.extend(added)
            self.to_write.notify_all()
            break
        if self.log.membership != before:
            self.on_membership()

    def written(self, last: Entry) -> None:
        """Notes that the log is durable up to `last`, unless that entry was replaced meanwhile."""
        if self.log.term_at(last.index) == last.term and last.index > self.durable_index:
            self.durable_index = last.index
        self.advance_commit()
        self.changed.notify_all()

    def advance_commit(self) -> None:
        """Commits, on the leader, what a majority of voters holds durably in this term."""
        if self.role is not Role.LEADER:
            return
        held = [
            self.durable_index if voter == self.me else self.progress_by_peer[voter].match_index
            for voter in self.membership.voters
        ]
        index = sorted(held, reverse=True)[self.membership.quorum - 1]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit(index)

    def commit(self, index: int) -> None:
        """Moves the commit index to `index`."""
        self.check(
            index >= self.commit_index, f"the commit index never goes back: {index} is below {self.commit_index}"
        )
        if index > self.commit_index:
            if self.role is Role.LEADER:
                new = range(self.commit_index + 1, index + 1)
                self.uncommitted_bytes -= sum(self.log.at(number).cost for number in new)
            self.commit_index = index
            self.to_apply.notify_all()

    # ---- proposals

    def resolve(self, entry: Entry, answer: bytes | Exception | None) -> None:
        """Hands the answer to the proposer of an applied entry, if it waits on this replica."""
        term, future = self.proposal_by_index.pop(entry.index, (0, None))
        if future is None:
            return
        if term != entry.term:
            answer = LogUnavailableError("another entry was committed in its place", appended=False)
        _settle(future, answer)

    def _fail_proposals(self, error: Callable[[], Exception]) -> None:
        for _, future in self.proposal_by_index.values():
            _settle(future, error())
        self.proposal_by_index.clear()


def _settle(future: Future, answer: bytes | Exception | None) -> None:
    try:
        if isinstance(answer, Exception):
            future.set_exception(answer)
        else:
            future.set_result(answer)
    except InvalidStateError:
        pass  # the proposer has given up
