"""Tests that the retry budget follows changes of its reserve, so that retries do not grow with the number of VMs."""

from arbutusrill_base import RetryBudget


def test_smaller_reserve_discards_saved_retries():
    budget = RetryBudget(fraction=0.1, reserve=8)
    budget.set_reserve(1)
    assert [budget.take(), budget.take()] == [True, False]


def test_larger_reserve_is_filled_only_by_requests():
    budget = RetryBudget(fraction=0.5, reserve=1)
    budget.take()
    budget.set_reserve(8)
    assert not budget.take()
    for _ in range(4):
        budget.request()
    assert [budget.take(), budget.take(), budget.take()] == [True, True, False]
