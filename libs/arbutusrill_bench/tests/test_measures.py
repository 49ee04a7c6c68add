"""Tests of load generation and of the measures computed from outcomes."""

from dataclasses import replace

import pytest

from arbutusrill_bench._load import Outcome
from arbutusrill_bench._measures import Targets, category, excess_tokens, inside_rate, measure
from arbutusrill_bench._scenarios import SCENARIOS
from arbutusrill_bench._workload import ClassMix, PlannedRequest, Span, Workload, WorkspaceLoad, plan, prompt_text
from arbutusrill_bench.bench import _COOL_DOWN_S

LOAD = Workload(
    20.0,
    (ClassMix("interactive", 1.0, 100, 400, 20, 5.0),),
    (WorkspaceLoad("a", 0.5), WorkspaceLoad("b", 0.5)),
    leaving_fraction=0.1,
)
SPAN = Span(1.0, 3.0, 1.0)
GOOD = Outcome(0, status=200, first_s=0.5, end_s=1.0, gaps_ms=[25.0] * 19, tokens=20, whole=True)


def request(**changes):
    return PlannedRequest(
        **{"number": 0, "at": 0.0, "kind": "completion", "workspace": "a", "latency_class": "x", **changes}
    )


def test_same_seed_gives_the_same_plan_and_prompts():
    first, again, other = plan(LOAD, SPAN, 1), plan(LOAD, SPAN, 1), plan(LOAD, SPAN, 2)
    assert first == again != other
    assert prompt_text(first[3], 1) == prompt_text(again[3], 1)


def test_load_of_one_workspace_does_not_change_requests_of_others():
    """Otherwise a change for other workspaces could be an effect of their own changed load."""
    greedy = replace(LOAD, workspaces=(WorkspaceLoad("a", 0.5, 5.0), WorkspaceLoad("b", 0.5)))
    arrivals = [[row.at for row in plan(load, SPAN, 1) if row.workspace == "b"] for load in (LOAD, greedy)]
    assert arrivals[0] == arrivals[1]


def test_time_scale_keeps_the_ratios():
    scaled = LOAD.scaled(2.0)
    original = plan(LOAD, SPAN, 1)
    assert [row.at * 2 for row in original] == pytest.approx([row.at for row in plan(scaled, Span(2.0, 6.0, 2.0), 1)])


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, "good"),
        ({"first_s": 2.1}, "late"),
        ({"gaps_ms": [32.0] * 19}, "slow"),
        ({"whole": False}, "broken"),
        ({"wrong": True}, "wrong_answer"),
        ({"left": True, "whole": False}, "left"),
        ({"whole": False, "status": 503, "tokens": 0}, "refused"),
        ({"whole": False, "status": 503, "tokens": 3}, "broken"),
    ],
)
def test_category(changes, expected):
    assert category(request(), replace(GOOD, **changes), Targets()) == expected


def test_deadline_replaces_the_first_token_target():
    """A class with a deadline may start late but must be complete before the deadline."""
    briefing = request(deadline_s=30.0)
    assert category(briefing, replace(GOOD, first_s=20.0, end_s=25.0), Targets()) == "good"
    assert category(briefing, replace(GOOD, end_s=31.0), Targets()) == "late"


def test_inside_rate_matches_an_ideal_token_bucket():
    rate, burst = LOAD.limit(LOAD.workspaces[0])
    flood = [request(number=number, prompt_tokens=int(burst // 2)) for number in range(3)]
    later = request(number=3, at=burst / rate, prompt_tokens=int(burst // 2))
    assert inside_rate([*flood, later], LOAD) == {0, 1, 3}


def test_excess_counts_only_provable_violations():
    """A request that may have been admitted before the window does not count as exceeding the limit."""
    assert excess_tokens([(0.0, 1.0, 600), (0.0, 1.0, 600)], rate=100, burst=1000) == 100
    assert excess_tokens([(0.0, 5.0, 600), (4.0, 5.0, 600)], rate=100, burst=1000) == 0


def test_requests_without_outcome_are_counted():
    """A load process that loses requests must not raise the goodput share."""
    requests = plan(LOAD, SPAN, 1)
    result = measure(LOAD, requests, {}, Targets(), SPAN)
    assert result.offered > 0 and result.category_counts == {"no_outcome": result.offered}


def test_scenario_limits_leave_room_for_the_largest_request():
    """A request larger than the burst can never be admitted and would count as a false rejection."""
    for scenario in SCENARIOS:
        for workspace in scenario.load.workspaces:
            _, burst = scenario.load.limit(workspace)
            assert all(row.charge <= burst for row in plan(scenario.load, SPAN, 1) if row.workspace == workspace.name)


def test_load_continues_after_the_measurement_until_the_last_deadline():
    """When the load ended with the measurement, briefings were deferred past it: 100% goodput at 1.5 times the load."""
    peak = next(scenario for scenario in SCENARIOS if scenario.name == "peak").load
    span = Span(2.0, 9.0, _COOL_DOWN_S)
    rows = [row for row in plan(peak, span, 1) if row.kind == "completion"]
    count_after = sum(row.at >= span.end for row in rows)
    count_before = sum(span.is_measured(row.at) for row in rows)
    assert max(mix.deadline_s for mix in peak.classes) <= span.cool_down
    assert count_after / span.cool_down > 0.8 * count_before / span.measured


def test_peak_exceeds_the_capacity_of_the_decode_runners():
    """A peak within the capacity of the runners would not test how a policy handles overload."""
    by_name = {scenario.name: scenario for scenario in SCENARIOS}
    demand = {}
    for name in ("steady", "peak"):
        scenario, span = by_name[name], Span(2.0, 60.0, 1.0)
        made = sum(
            20 * runner.speed / (0.014 * (1 + 0.045 * 19)) for runner in scenario.runners if runner.role == "decode"
        )
        rows = [row for row in plan(scenario.load, span, 1) if row.kind == "completion" and span.is_measured(row.at)]
        demand[name] = sum(row.output_tokens for row in rows) / span.measured / made
    assert 0.8 < demand["steady"] < 1 < 1.2 < demand["peak"]
