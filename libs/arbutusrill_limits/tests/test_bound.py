"""Guards against more tokens used fleet-wide than rate x time + burst when messages are lost and owners change."""

import random

import pytest
from arbutusrill_base import FailureError, ManualClock
from arbutusrill_wire import messages
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusrill_limits import GrantOwner, Limits, TokenLeases


class MessageLostError(Exception):
    pass


class Fleet:
    """Five entry VMs and an owner on one manual clock, with lost, delayed and duplicated messages between them."""

    def __init__(self, seed, limits, fault_probability=0.15):
        self.random = random.Random(seed)
        self.clock = ManualClock(50.0)
        self.limits = limits
        self.history = [(self.clock.monotonic() - 100, limits)]
        self.fault_probability = fault_probability
        self.epoch = 0
        self.delayed_requests = []
        self.used = []  # time of admission and tokens used
        self.refused = 0
        self.new_owner()
        self.vms = [
            TokenLeases(f"v{n}", n + 1, self.send, lambda _: self.limits, self.clock, poll_interval_s=0)
            for n in range(5)
        ]

    def new_owner(self):
        self.epoch += 1
        self.owner = GrantOwner(lambda _: self.limits, self.clock)
        self.owner.begin_epoch(self.epoch)

    def set_limits(self, limits):
        self.limits = limits
        self.history.append((self.clock.monotonic(), limits))

    def send(self, request):
        if self.random.random() < self.fault_probability:
            raise MessageLostError
        if self.delayed_requests and self.random.random() < self.fault_probability:
            self.deliver(self.random.choice(self.delayed_requests))
        reply = self.deliver(request)
        if self.random.random() < self.fault_probability:
            self.delayed_requests.append(request)
            self.deliver(request)
        if self.random.random() < self.fault_probability:
            raise MessageLostError
        self.clock.advance(self.random.choice([0.0, 0.001, 0.3 if self.fault_probability else 0.0]))
        return reply

    def deliver(self, request):
        try:
            return self.owner.grant(request, self.epoch)
        except messages.Refused:
            raise MessageLostError from None

    def step(self, vm):
        try:
            vm.exchange_once()
        except MessageLostError:
            pass

    def request(self, vm, tokens, used, wait_s=0.05, hold_s=0.0):
        def poll():
            self.step(vm)
            self.clock.advance(0.01)
            return False

        try:
            with vm.charge("a", tokens, self.clock.monotonic() + wait_s, poll) as charge:
                self.used.append((self.clock.monotonic(), used))
                self.clock.advance(hold_s)
                charge.refund_unused(used)
        except FailureError:
            self.refused += 1

    def bound(self, start, end):
        """Returns the tokens accrued in the window and the longest lease before it, plus the largest capacity then."""
        total, largest = 0.0, 0.0
        longest = max(limits.lease_s for _, limits in self.history)
        for index, (since, limits) in enumerate(self.history):
            until = self.history[index + 1][0] if index + 1 < len(self.history) else float("inf")
            overlap = min(until, end) - max(since, start - longest)
            if overlap >= 0:
                total += limits.rate * overlap
                largest = max(largest, limits.capacity)
        return total + largest

    def check(self):
        times = sorted(self.used)
        for first, (start, _) in enumerate(times):
            total = 0.0
            for end, tokens in times[first:]:
                total += tokens
                assert total <= self.bound(start, end) * (1 + 1e-6), (start, end, total, self.bound(start, end))


def run_random_actions(fleet, steps, changes):
    rng = fleet.random
    for _ in range(steps):
        action = rng.random()
        vm = rng.choice(fleet.vms)
        if action < 0.6:
            tokens = rng.uniform(1, fleet.limits.capacity * 0.6)
            fleet.request(vm, tokens, tokens * rng.choice([0, 0.3, 1, 1]), hold_s=rng.choice([0, 0, 0.2, 2.0]))
        elif action < 0.8:
            fleet.step(vm)
        elif action < 0.95:
            fleet.clock.advance(rng.choice([0.001, 0.05, 0.7, 3.0]))
            fleet.clock.step_wall(rng.choice([-3600, 3600]))
        elif action < 0.98 and changes:
            fleet.set_limits(Limits(rng.choice([50.0, 1000.0, 8000.0]), rng.choice([40.0, 2000.0, 30000.0])))
        else:
            fleet.new_owner()


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**32),
    rate=st.sampled_from([20.0, 1000.0, 50000.0]),
    burst=st.sampled_from([100.0, 2000.0, 60000.0]),
    changes=st.booleans(),
)
def test_use_stays_within_rate_and_burst_in_every_window(seed, rate, burst, changes):
    fleet = Fleet(seed, Limits(rate, burst))
    run_random_actions(fleet, 150, changes)
    fleet.check()


def test_bound_detects_owners_that_start_with_full_buckets():
    fleet = Fleet(1, Limits(1000.0, 2000.0), fault_probability=0.0)
    fleet.clock.advance(5)
    for vm in fleet.vms:
        fleet.new_owner()  # a leader that starts with full buckets would grant one burst to each VM
        fleet.owner._refill_starts_at -= 10
        fleet.request(vm, 1400, 1400)
    with pytest.raises(AssertionError):
        fleet.check()


@pytest.mark.parametrize("seed", range(5))
def test_workspace_inside_its_rate_on_one_vm_is_not_refused(seed):
    fleet = Fleet(seed, Limits(1000.0, 2000.0), fault_probability=0.0)
    fleet.clock.advance(10)
    start = fleet.clock.monotonic()
    sent = 0.0
    while fleet.clock.monotonic() < start + 30:
        tokens = fleet.random.uniform(10, 200)
        sent += tokens
        fleet.clock.advance(max(0.0, start + sent / 950 - fleet.clock.monotonic()))
        fleet.request(fleet.vms[0], tokens, tokens, wait_s=1.0)
        for vm in fleet.vms:
            fleet.step(vm)
    assert fleet.refused == 0


def test_lost_replies_lose_no_tokens():
    fleet = Fleet(3, Limits(1.0, 2000.0), fault_probability=0.0)  # a rate too low to make up for lost tokens
    fleet.clock.advance(3000)
    vm = fleet.vms[0]
    fleet.request(vm, 100, 100)
    fleet.fault_probability = 0.6
    for _ in range(10):
        fleet.request(vm, 300, 0, wait_s=0.02)
    fleet.fault_probability = 0.0
    vm.drain(fleet.clock.monotonic() + 1)
    bucket = fleet.owner._account_by_workspace["a"].bucket
    elapsed = fleet.clock.monotonic() - 3050
    assert fleet.limits.capacity - 100 - 1 <= bucket.level <= fleet.limits.capacity - 100 + elapsed + 1


def test_draining_returns_unspent_tokens():
    fleet = Fleet(4, Limits(1000.0, 2000.0), fault_probability=0.0)
    fleet.clock.advance(10)
    fleet.request(fleet.vms[0], 1000, 0)
    fleet.vms[0].drain(fleet.clock.monotonic() + 1)
    fleet.request(fleet.vms[1], 1400, 1400)
    assert fleet.refused == 0


def test_charge_above_the_capacity_names_the_burst():
    fleet = Fleet(5, Limits(1000.0, 2000.0))
    with pytest.raises(FailureError, match="burst of 2000"), fleet.vms[0].charge("a", 1600, 1e9, lambda: False):
        pass


def test_charge_ends_when_the_caller_has_left():
    fleet = Fleet(6, Limits(1000.0, 2000.0))
    with pytest.raises(FailureError, match="caller_gone"), fleet.vms[0].charge("a", 10, 1e9, lambda: True):
        pass
    assert fleet.vms[0]._held_by_workspace["a"].waiting_tokens_by_charge == {}
