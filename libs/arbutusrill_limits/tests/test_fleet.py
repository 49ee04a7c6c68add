"""Guards against workspaces that are refused inside their rate, or admitted beyond it, around a change of leader."""

import pytest
from arbutusrill_base import ManualClock

from arbutusrill_limits import FleetBuckets, FleetMeter, Limits, SpendReport

LIMITS = Limits(10.0, 100.0)


class Leader:
    def __init__(self, clock):
        self.buckets = FleetBuckets(lambda workspace: LIMITS, clock)
        self.term = 1

    def change(self):
        self.buckets.reset()
        self.term += 1


class Entry:
    """One entry VM with the calls that its follower makes."""

    def __init__(self, clock, leader, name="vm-1"):
        self.meter = FleetMeter(clock, lambda: 1)
        self.leader, self.name = leader, name

    def poll(self):
        report = self.meter.report()
        self.meter.learn(report, self.leader.buckets.report(self.name, 1, report), self.leader.term)


@pytest.fixture()
def clock():
    return ManualClock()


@pytest.fixture()
def leader(clock):
    return Leader(clock)


def test_what_was_spent_before_a_change_of_leader_is_not_charged_again(clock, leader):
    entry = Entry(clock, leader)
    for _ in range(30):
        entry.poll()
        assert entry.meter.admit("clinic", 50.0, LIMITS) is None
        clock.advance(5.0)
        entry.poll()
    leader.change()
    for _ in range(3):
        entry.poll()
    clock.advance(5.0)
    entry.poll()
    assert entry.meter.admit("clinic", 50.0, LIMITS) is None
    entry.poll()
    assert leader.buckets.report("other", 1, SpendReport({}, True)) == {"clinic": 50.0}


def test_spending_after_a_change_of_leader_is_charged(clock, leader):
    entry, other = Entry(clock, leader), Entry(clock, leader, "vm-2")
    entry.poll()
    other.poll()
    leader.change()
    for vm in (entry, other):
        vm.poll()
        vm.poll()
    assert entry.meter.admit("clinic", 80.0, LIMITS) is None
    entry.poll()
    other.poll()
    assert other.meter.admit("clinic", 80.0, LIMITS) == pytest.approx(6.0)


def test_report_in_part_before_a_whole_one_charges_nothing(clock, leader):
    assert leader.buckets.report("vm-1", 1, SpendReport({"clinic": 500.0})) == {}
    assert leader.buckets.report("vm-1", 1, SpendReport({"clinic": 500.0, "desk": 900.0}, True)) == {}
    assert leader.buckets.report("vm-1", 1, SpendReport({"clinic": 530.0})) == {"clinic": 70.0}


def test_workspace_that_a_whole_report_did_not_name_is_charged_from_its_first_request(clock, leader):
    leader.buckets.report("vm-1", 1, SpendReport({}, True))
    assert leader.buckets.report("vm-1", 1, SpendReport({"clinic": 30.0})) == {"clinic": 70.0}


def test_change_of_leader_fills_no_bucket(clock, leader):
    entry = Entry(clock, leader)
    entry.poll()
    assert entry.meter.admit("clinic", 100.0, LIMITS) is None
    entry.poll()
    leader.change()
    clock.advance(0.5)
    entry.poll()
    clock.advance(0.1)
    entry.poll()
    assert entry.meter.admit("clinic", 20.0, LIMITS) == pytest.approx(1.4)
