"""Tests that the retry budget follows changes of its reserve, so that retries do not grow with the number of VMs."""

from arbutusrill_base import RetryBudget


def test_smaller_reserve_discards_saved_retries():
    budget = RetryBudget(fraction=0.1, reserve=8)
    budget.set_reserve(1)
    assert [budget.try_acquire(), budget.try_acquire()] == [True, False]


def test_larger_reserve_is_filled_only_by_requests():
    budget = RetryBudget(fraction=0.5, reserve=1)
    budget.try_acquire()
    budget.set_reserve(8)
    assert not budget.try_acquire()
    for _ in range(4):
        budget.record_request()
    assert [budget.try_acquire(), budget.try_acquire(), budget.try_acquire()] == [True, True, False]
