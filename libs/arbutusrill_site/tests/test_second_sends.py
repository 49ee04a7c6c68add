"""Replays of the limit of second sends, without a network."""

import pytest

from arbutusrill_site._second_sends import SecondSends

USUAL_MS = [20, 25, 30, 35, 40] * 20


def report(sends, now, count, vms=10, answers=(), total=0):
    """Reports `count` requests, spread over VMs that have told `total` each before; returns the new total of each."""
    for vm in range(vms):
        sends.report(f"vm-{vm}", 1, "lookups", total + count // vms, list(answers) if vm == 0 else [], now)
    return total + count // vms


def learned(fraction=0.05):
    sends = SecondSends(fraction)
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
        assert inside <= 2 * 0.05 * 20 * 100  # of the window and of what the one before it left
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
    sends.begin_term()
    report(sends, 1.2, 4000)
    assert not sends.try_take("lookups", 1.2)


def test_restarted_vm_counts_from_its_own_start():
    sends = SecondSends(0.5)
    sends.report("vm-1", 1, "lookups", 0, [], 0.0)
    sends.report("vm-1", 1, "lookups", 100, [], 1.0)
    sends.report("vm-1", 2, "lookups", 4, [], 1.5)
    sends.report("vm-1", 2, "lookups", 8, [], 2.0)
    assert sum(sends.try_take("lookups", 2.0) for _ in range(200)) == 52


@pytest.mark.parametrize("service", ["lookups", "unknown"])
def test_no_second_sends_without_a_limit(service):
    sends = SecondSends(0.0)
    sends.report("vm-1", 1, "lookups", 0, [], 0.0)
    sends.report("vm-1", 1, "lookups", 1000, USUAL_MS, 1.0)
    assert not sends.try_take(service, 1.0)
    assert sends.delay_ms_by_service() == {}
