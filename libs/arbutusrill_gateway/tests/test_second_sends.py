"""Decisions on second sends, without a network."""

from types import SimpleNamespace

import pytest
from arbutusrill_base import RetryBudget

from arbutusrill_gateway._attempt import AttemptResult, Outcome
from arbutusrill_gateway._second_sends import Race, SecondSendPolicy, Sender


def answer(status=200):
    return AttemptResult(Outcome.ANSWERED, SimpleNamespace(status=status), b"", "", 0.1)


def broken():
    return AttemptResult(Outcome.BROKEN, None, b"", "reset", 0.1)


def test_first_good_answer_counts_and_the_other_send_has_lost():
    race = Race()
    assert race.start_second()
    assert race.finish(Sender.SECOND, "b", answer())
    assert race.has_lost(Sender.FIRST)
    race.finish(Sender.FIRST, "a", answer())
    assert race.outcome()[0] == "b"


def test_failure_of_one_send_waits_for_the_other():
    """Guards against an error that reaches the caller while a good answer is on its way."""
    race = Race()
    race.start_second()
    assert not race.finish(Sender.FIRST, "a", answer(500))
    assert race.finish(Sender.SECOND, "b", answer())
    assert race.outcome()[0] == "b"


def test_two_failures_count_as_that_of_the_first_send():
    race = Race()
    race.start_second()
    assert not race.finish(Sender.SECOND, "b", broken())
    assert race.finish(Sender.FIRST, "a", answer(500))
    assert race.outcome()[0] == "a"


def test_answer_that_is_forwarded_while_it_arrives_is_not_replaced():
    """Guards against two answers that are mixed."""
    race = Race()
    race.start_second()
    assert race.claim(Sender.FIRST)
    assert not race.claim(Sender.SECOND)
    race.finish(Sender.SECOND, "b", answer())
    assert race.has_lost(Sender.SECOND)


def test_no_second_send_after_the_first_has_ended():
    race = Race()
    race.finish(Sender.FIRST, "a", broken())
    assert not race.start_second()


def test_one_second_send_at_most():
    race = Race()
    assert race.start_second()
    assert not race.start_second()


def test_none_while_servers_turn_work_away():
    policy = SecondSendPolicy()
    policy.set_delays({"lookups": 50})
    policy.record_refusal("lookups", 3.0)
    assert policy.delay_s("lookups", 1.0, 3.9) is None
    assert policy.delay_s("lookups", 1.0, 4.1) == 0.05


def test_none_without_time_for_a_second_answer():
    policy = SecondSendPolicy()
    policy.set_delays({"lookups": 50})
    assert policy.delay_s("lookups", 0.09, 1.0) is None


def test_none_to_a_server_that_is_as_slow():
    """Guards against copies in a burst, when the queues of all servers are long."""
    policy = SecondSendPolicy()
    assert policy.is_sooner(expected_s=0.06, took_s=0.2)
    assert not policy.is_sooner(expected_s=0.25, took_s=0.2)


def test_retry_budget_is_short_below_its_half():
    """Guards against second sends while requests that failed need the budget."""
    budget = RetryBudget(0.1, reserve=1.4)
    assert not budget.is_short
    assert budget.try_acquire()
    assert budget.is_short
    for _ in range(5):
        budget.record_request()
    assert not budget.is_short


def test_copy_is_due_while_it_can_still_be_in_time():
    policy = SecondSendPolicy()
    policy.set_delays({"lookups": 250})
    assert policy.delay_s("lookups", 4.0, 1.0, objective_s=0.3, usual_s=0.06) == pytest.approx(0.18)
    assert policy.delay_s("lookups", 4.0, 1.0, objective_s=0.3, usual_s=0.2) == 0.25
    policy.set_delays({"lookups": 20})
    assert policy.delay_s("lookups", 4.0, 1.0, objective_s=2.0, usual_s=0.06) == pytest.approx(0.18)


def test_copy_that_would_be_late_waits_until_the_request_is_very_slow():
    """Guards against copies that use up the limit just after the objective, for answers that are late in any case."""
    policy = SecondSendPolicy()
    assert policy.is_in_time(expected_s=0.1, took_s=0.19, objective_s=0.3)
    assert not policy.is_in_time(expected_s=0.1, took_s=0.25, objective_s=0.3)
    assert policy.is_in_time(expected_s=0.1, took_s=0.6, objective_s=0.3)
