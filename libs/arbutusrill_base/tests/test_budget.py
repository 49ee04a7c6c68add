"""Guards against retries that multiply with the number of VMs."""

from arbutusrill_base import RetryBudget


def test_reserve_that_shrinks_takes_saved_retries_back():
    budget = RetryBudget(fraction=0.1, reserve=8)
    budget.set_reserve(1)
    assert [budget.take(), budget.take()] == [True, False]


def test_reserve_that_grows_is_earned_by_requests():
    budget = RetryBudget(fraction=0.5, reserve=1)
    budget.take()
    budget.set_reserve(8)
    assert not budget.take()
    for _ in range(4):
        budget.request()
    assert [budget.take(), budget.take(), budget.take()] == [True, True, False]
