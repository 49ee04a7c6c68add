"""Guards against many entry VMs that together refuse a workspace within its rate or admit it beyond its rate."""

import random

import pytest
from arbutusrill_base import ManualClock

from arbutusrill_limits import (
    FleetBuckets,
    FleetRateLimiter,
    Limits,
    RateAuthority,
    RateAuthorityUnavailableError,
    SpendReport,
)

LIMITS = Limits(10.0, 100.0)


class Leader:
    def __init__(self, clock, limits=LIMITS, slack=0.0):
        self.clock, self.limits = clock, limits
        self.buckets = FleetBuckets(lambda workspace: limits, clock, slack)
        self.is_unreachable = self.answers_too_late = False
        self.charge_calls = 0

    def restart(self):
        self.buckets.clear()


class EntryVm(RateAuthority):
    """One entry VM that polls the leader as its follower does."""

    def __init__(self, leader, name="vm-1", count=1, slack=0.0):
        self.rate_limiter = FleetRateLimiter(leader.clock, self, lambda: count, slack)
        self.leader, self.name = leader, name

    def charge(self, workspace, tokens, number):
        self.leader.charge_calls += 1
        buckets = self.leader.buckets
        wait_s = None if self.leader.is_unreachable else buckets.charge(self.name, 1, workspace, tokens, number)
        if self.leader.answers_too_late:
            wait_s = None
        if wait_s is None:
            raise RateAuthorityUnavailableError("no answer")
        return wait_s

    def poll(self):
        report = self.rate_limiter.report()
        self.rate_limiter.apply_levels(report, self.leader.buckets.report(self.name, 1, report))

    def admit(self, tokens):
        """Returns None if the request is admitted, else its wait in seconds."""
        self.last_decision = self.rate_limiter.admit("clinic", tokens, self.leader.limits)
        return self.last_decision.wait_s or None


@pytest.fixture()
def clock():
    return ManualClock()


@pytest.fixture()
def leader(clock):
    return Leader(clock)


def test_tokens_spent_before_a_change_of_leader_are_not_charged_again(clock, leader):
    entry = EntryVm(leader)
    for _ in range(30):
        entry.poll()
        assert entry.admit(50.0) is None
        clock.advance(5.0)
        entry.poll()
    leader.restart()
    for _ in range(3):
        entry.poll()
    clock.advance(5.0)
    entry.poll()
    assert entry.admit(50.0) is None
    entry.poll()
    assert leader.buckets.report("other", 1, SpendReport({}, True)).tokens_by_workspace == {"clinic": 50.0}


def test_spending_after_a_change_of_leader_is_charged(leader):
    entry, other = EntryVm(leader), EntryVm(leader, "vm-2")
    entry.poll()
    other.poll()
    leader.restart()
    for vm in (entry, other):
        vm.poll()
        vm.poll()
    assert entry.admit(80.0) is None
    entry.poll()
    other.poll()
    assert other.admit(80.0) == pytest.approx(6.0)


def test_tokens_spent_but_not_reported_are_charged_by_the_next_leader(leader):
    entry, other = EntryVm(leader), EntryVm(leader, "vm-2")
    entry.poll()
    other.poll()
    assert entry.admit(40.0) is None
    leader.restart()
    for _ in range(2):
        entry.poll()
        other.poll()
    assert other.admit(80.0) == pytest.approx(2.0)


def test_tokens_granted_by_a_leader_are_charged_by_the_next_one(leader):
    entry, other = EntryVm(leader), EntryVm(leader, "vm-2")
    entry.poll()
    other.poll()
    assert entry.admit(80.0) is None and entry.last_decision.decided_by == "leader"
    leader.restart()
    for _ in range(2):
        entry.poll()
        other.poll()
    assert other.admit(80.0) == pytest.approx(6.0)


def test_vm_that_the_leader_has_forgotten_is_charged_again_from_then_on(leader):
    # The leader drops a suspended VM; it once never asked the VM for a full report again under the same leader.
    entry, other = EntryVm(leader), EntryVm(leader, "vm-2")
    entry.poll()
    other.poll()
    leader.buckets.drop_reporter("vm-1", 1)
    entry.poll()
    entry.poll()
    assert entry.admit(40.0) is None
    entry.poll()
    assert other.admit(80.0) == pytest.approx(2.0)


def test_partial_report_before_a_full_one_charges_nothing(leader):
    answer = leader.buckets.report("vm-1", 1, SpendReport({"clinic": 500.0}))
    assert answer.tokens_by_workspace == {} and not answer.is_reporter_known
    answer = leader.buckets.report("vm-1", 1, SpendReport({"clinic": 500.0, "desk": 900.0}, True))
    assert answer.tokens_by_workspace == {} and answer.is_reporter_known
    answer = leader.buckets.report("vm-1", 1, SpendReport({"clinic": 530.0}))
    assert answer.tokens_by_workspace == {"clinic": 70.0}


def test_workspace_that_a_full_report_did_not_name_is_charged_from_its_first_request(leader):
    leader.buckets.report("vm-1", 1, SpendReport({}, True))
    answer = leader.buckets.report("vm-1", 1, SpendReport({"clinic": 30.0}))
    assert answer.tokens_by_workspace == {"clinic": 70.0}


def test_change_of_leader_fills_no_bucket(clock, leader):
    entry = EntryVm(leader)
    entry.poll()
    assert entry.admit(100.0) is None
    entry.poll()
    leader.restart()
    clock.advance(0.5)
    entry.poll()
    clock.advance(0.1)
    entry.poll()
    assert entry.admit(20.0) == pytest.approx(1.4)


def test_vm_unknown_to_the_leader_is_limited_to_its_share_of_the_rate(clock, leader):
    entry = EntryVm(leader, count=2)
    assert entry.admit(50.0) is None
    assert entry.admit(5.0) == pytest.approx(1.0)
    assert entry.last_decision.decided_by == "part"


def test_vm_without_a_leader_is_limited_to_its_share_of_the_last_level(clock, leader):
    # A VM's full share on top of an already spent bucket would admit twice the burst.
    entry = EntryVm(leader, count=2)
    entry.poll()
    leader.buckets.report("vm-2", 1, SpendReport({}, True))
    leader.buckets.report("vm-2", 1, SpendReport({"clinic": 90.0}))
    entry.poll()
    leader.is_unreachable = True
    assert entry.admit(5.0) is None
    assert entry.admit(5.0) is not None
    assert leader.charge_calls == 1


def test_refusal_is_repeated_without_asking_the_leader(clock, leader):
    entry = EntryVm(leader)
    entry.poll()
    assert entry.admit(100.0) is None
    assert entry.admit(50.0) == pytest.approx(5.0)
    assert entry.last_decision.decided_by == "leader"
    charge_calls = leader.charge_calls
    assert entry.admit(50.0) is not None and leader.charge_calls == charge_calls
    assert entry.last_decision.decided_by == "refusal"
    clock.advance(0.3)
    assert entry.admit(2.0) is None


def test_refund_returns_tokens_that_the_leader_has_charged(leader):
    entry = EntryVm(leader)
    entry.poll()
    assert entry.admit(100.0) is None
    entry.rate_limiter.refund("clinic", 100.0)
    entry.poll()
    assert entry.admit(100.0) is None


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_many_vms_that_poll_rarely_stay_within_the_bucket_under_several_times_the_rate(clock, seed):
    rng = random.Random(seed)
    limits, slack, window_s = Limits(47_000.0, 47_000.0), 105_000.0, 8.0
    leader = Leader(clock, limits, slack)
    entries = [EntryVm(leader, f"vm-{number}", 54, slack) for number in range(54)]
    polls_at = {entry.name: rng.uniform(0.0, 0.5) for entry in entries}
    admitted, tokens = [], 5_300.0
    for _ in range(2_400):
        now = clock.monotonic()
        for entry in entries:
            if now >= polls_at[entry.name]:
                polls_at[entry.name] = now + 0.5
                entry.poll()
        for _ in range(rng.randint(0, 1)):
            if rng.choice(entries).admit(tokens) is None:
                admitted.append(now)
        clock.advance(0.01)
    peak_tokens = max(sum(tokens for at in admitted if start <= at < start + window_s) for start in admitted)
    allowed = limits.rate * window_s + limits.burst + slack
    assert peak_tokens <= allowed
    assert len(admitted) * tokens >= 0.95 * (limits.rate * 24.0)


def test_charge_whose_answer_comes_too_late_is_not_deducted_twice(clock, leader):
    """Guards against an overloaded leader that deducts what entry VMs then spend from their own share."""
    vm = EntryVm(leader)
    vm.poll()
    assert vm.admit(50.0) is None
    vm.poll()
    leader.answers_too_late = True
    vm.admit(20.0)
    leader.answers_too_late = False
    spent_before = leader.buckets.report("other", 1, SpendReport({}, True)).tokens_by_workspace["clinic"]
    assert spent_before == 30.0
    vm.poll()
    assert vm.last_decision.decided_by == "part"
    level = leader.buckets.report("other", 1, SpendReport({})).tokens_by_workspace["clinic"]
    assert level == (30.0 if vm.last_decision.wait_s <= 0 else 50.0)


def test_charge_that_arrives_after_its_withdrawal_deducts_nothing(clock, leader):
    """Guards against a call that a slow leader takes up after the entry VM has gone on without it."""
    leader.buckets.report("vm-1", 1, SpendReport({}, True))
    leader.buckets.report("vm-1", 1, SpendReport({"clinic": 10.0}, abandoned=(7,)))
    assert leader.buckets.charge("vm-1", 1, "clinic", 20.0, 7) is None
    assert leader.buckets.report("vm-1", 1, SpendReport({})).tokens_by_workspace == {"clinic": 90.0}


def test_withdrawal_that_is_repeated_returns_the_tokens_once(clock, leader):
    leader.buckets.report("vm-1", 1, SpendReport({}, True))
    assert leader.buckets.charge("vm-1", 1, "clinic", 30.0, 7) == 0.0
    for _ in range(2):
        answer = leader.buckets.report("vm-1", 1, SpendReport({}, abandoned=(7,)))
    assert answer.tokens_by_workspace == {}
