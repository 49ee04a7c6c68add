"""Replays of the limit of second sends, without a network."""

import random
from types import SimpleNamespace

import pytest

from arbutusrill_site._second_sends import SecondSendLimit, SecondSends

USUAL_MS = [20, 25, 30, 35, 40] * 20


def report(sends, now, count, vms=10, answers=(), total=0):
    """Reports `count` requests, spread over VMs that have told `total` each before; returns the new total of each."""
    for vm in range(vms):
        sends.report(f"vm-{vm}", 1, "lookups", total + count // vms, list(answers) if vm == 0 else [], now)
    return total + count // vms


def learned(fraction=0.05):
    sends = SecondSends(SecondSendLimit(fraction))
    report(sends, 0.0, 0)
    return sends


def test_limit_holds_for_all_vms_together_in_any_ten_seconds():
    """Guards against shares of each VM that add up to more than the operators allow."""
    sends, total, taken = learned(), 0, []
    for tenth in range(600):
        now = tenth / 10
        total = report(sends, now, 20, total=total, answers=USUAL_MS[:5])
        taken += [now] * sum(sends.try_take("lookups", now) for _ in range(20))
    for start in range(50):
        inside = sum(start <= now < start + 10 for now in taken)
        assert inside <= 0.05 * 20 * 100
    assert len(taken) <= 0.05 * 20 * 600


def test_slow_moments_of_one_server_raise_no_delay_beyond_the_usual():
    """Guards against a delay that follows the slow answers that the second send is for."""
    sends = learned()
    report(sends, 1.0, 100, answers=USUAL_MS + [900] * 4)
    assert sends.delay_ms_by_service()["lookups"] <= 60


def test_all_servers_slow_raise_the_delay():
    """Guards against copies of every request while the whole service is slow, which make it slower."""
    sends, total = learned(), 0
    for second in range(1, 60):
        total = report(sends, float(second), 100, total=total, answers=[ms * 10 for ms in USUAL_MS])
    assert sends.delay_ms_by_service()["lookups"] >= 380


def test_unknown_times_allow_no_second_send():
    sends = learned()
    report(sends, 1.0, 100, answers=[20] * 5)
    assert sends.delay_ms_by_service() == {}


def test_saved_sends_expire_with_the_requests_that_allowed_them():
    """Guards against a burst of copies after a long calm."""
    sends = learned()
    report(sends, 1.0, 400)
    assert not sends.try_take("lookups", 20.0)


def test_new_leader_counts_no_request_that_an_earlier_one_may_have_counted():
    sends = learned()
    report(sends, 1.0, 4000)
    sends.begin_term(1.1)
    report(sends, 1.2, 4000)
    assert not sends.try_take("lookups", 1.2)


def test_new_leader_grants_nothing_for_requests_before_its_first_reports():
    """Guards against a new leader that counts the totals, or keeps the answer times, of an earlier term."""
    sends = learned()
    report(sends, 1.0, 4000, answers=USUAL_MS)
    assert sends.delay_ms_by_service()
    sends.begin_term(1.1)
    assert not sends.delay_ms_by_service()
    report(sends, 11.5, 4000)
    assert not sends.try_take("lookups", 11.6)
    sends.report("vm-0", 1, "lookups", 420, [], 11.7)
    assert sends.try_take("lookups", 11.8)
    assert not sends.try_take("lookups", 11.8)


def plays_with_changes_of_leader(seed):
    """Returns the times of grants and of requests of 40 VMs, with lost replies, lost reports and three leaders.

    Calm times end with many slow requests. VMs whose replies are lost ask again; lost reports are sent again.
    """
    rng, sends, granted, requested = random.Random(seed), SecondSends(SecondSendLimit(0.1)), [], []
    totals = [0] * 40
    for step in range(900):
        now = step / 20
        if step in (0, 300, 440):
            sends.begin_term(now)
        for _ in range(rng.choice((0, 5, 5, 20))):
            totals[rng.randrange(40)] += 1
            requested.append(now)
        for vm in rng.sample(range(40), 10):
            for _ in range(1 + (rng.random() < 0.3)):
                sends.report(f"vm-{vm}", 1, "lookups", totals[vm], USUAL_MS[:1], now)
        granted += [now] * sum(sends.try_take("lookups", now) for _ in range(8 if now % 20 >= 9 else 0))
    return granted, requested


@pytest.mark.parametrize("seed", range(1, 11))
def test_limit_holds_in_any_ten_seconds_across_changes_of_leader(seed):
    """Guards against a new leader that grants once more what the one before it has granted in the same ten seconds."""
    granted, requested = plays_with_changes_of_leader(seed)
    assert len(granted) > 50
    for end in granted:
        sent = sum(end - 10 <= at <= end for at in granted)
        reported_late_s = 2.0  # a request counts when its VM reports it
        assert sent <= 0.1 * sum(end - 10 - reported_late_s <= at <= end for at in requested)
    for end in granted:
        assert not any(term < end <= term + 10 for term in (0, 15, 22))


def test_retry_budget_bounds_second_sends_with_its_slack():
    """Guards against sends beyond the retry budget, and against a limit that leaves out what its slack allows."""
    sends = SecondSends(SecondSendLimit(fraction=0.1, budget_fraction=0.02, budget_slack=5))
    for at, total in ((0.0, 0), (1.0, 100), (2.0, 1000)):
        sends.report("vm-1", 1, "lookups", total, [], at)
        taken = sum(sends.try_take("lookups", at) for _ in range(200))
        assert taken == {0: 0, 100: 7, 1000: 18}[total]


def test_limit_is_within_the_part_of_the_retry_budget_that_retries_leave():
    limit = SecondSendLimit.of(0.5, SimpleNamespace(retry_fraction=0.2, retry_slack=50))
    assert limit.count(10) == 5
    assert limit.count(1000) == pytest.approx(0.3 * (0.2 * 1000 + 50))


def test_restarted_vm_counts_from_its_own_start():
    sends = SecondSends(SecondSendLimit(0.5))
    sends.report("vm-1", 1, "lookups", 0, [], 0.0)
    sends.report("vm-1", 1, "lookups", 100, [], 1.0)
    sends.report("vm-1", 2, "lookups", 4, [], 1.5)
    sends.report("vm-1", 2, "lookups", 8, [], 2.0)
    assert sum(sends.try_take("lookups", 2.0) for _ in range(200)) == 52


@pytest.mark.parametrize("service", ["lookups", "unknown"])
def test_no_second_sends_without_a_limit(service):
    sends = SecondSends(SecondSendLimit(0.0))
    sends.report("vm-1", 1, "lookups", 0, [], 0.0)
    sends.report("vm-1", 1, "lookups", 1000, USUAL_MS, 1.0)
    assert not sends.try_take(service, 1.0)
    assert sends.delay_ms_by_service() == {}
