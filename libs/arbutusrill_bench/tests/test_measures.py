"""Tests of what the bench's figures mean."""

from dataclasses import replace

import pytest

from arbutusrill_bench._load import Outcome
from arbutusrill_bench._measures import Targets, category, excess_tokens, inside_rate, measure
from arbutusrill_bench._scenarios import SCENARIOS
from arbutusrill_bench._workload import ClassMix, Planned, Workload, WorkspaceLoad, plan, prompt_text

LOAD = Workload(
    20.0,
    (ClassMix("interactive", 1.0, 100, 400, 20, 5.0),),
    (WorkspaceLoad("a", 0.5), WorkspaceLoad("b", 0.5)),
    leaving_part=0.1,
)
GOOD = Outcome(0, status=200, first_s=0.5, end_s=1.0, gaps_ms=[25.0] * 19, tokens=20, whole=True)


def request(**changes):
    return Planned(**{"number": 0, "at": 0.0, "kind": "completion", "workspace": "a", "latency_class": "x", **changes})


def test_same_seed_gives_the_same_plan_and_prompts():
    first, again, other = plan(LOAD, 5, 1), plan(LOAD, 5, 1), plan(LOAD, 5, 2)
    assert first == again != other
    assert prompt_text(first[3], 1) == prompt_text(again[3], 1)


def test_more_load_of_one_workspace_leaves_the_requests_of_others():
    """Otherwise a change for the others could come from another load instead of from the greedy workspace."""
    greedy = replace(LOAD, workspaces=(WorkspaceLoad("a", 0.5, 5.0), WorkspaceLoad("b", 0.5)))
    arrivals = [[row.at for row in plan(load, 5, 1) if row.workspace == "b"] for load in (LOAD, greedy)]
    assert arrivals[0] == arrivals[1]


def test_time_scale_keeps_the_ratios():
    scaled = LOAD.scaled(2.0)
    original = plan(LOAD, 5, 1)
    assert [row.at * 2 for row in original] == pytest.approx([row.at for row in plan(scaled, 10, 1)])


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


def test_deadline_replaces_the_target_of_the_first_token():
    """A briefing may start late but must be whole before departure."""
    briefing = request(deadline_s=30.0)
    assert category(briefing, replace(GOOD, first_s=20.0, end_s=25.0), Targets()) == "good"
    assert category(briefing, replace(GOOD, end_s=31.0), Targets()) == "late"


def test_only_what_a_bucket_would_admit_is_inside_the_rate():
    rate, burst = LOAD.limit(LOAD.workspaces[0])
    flood = [request(number=number, prompt_tokens=int(burst // 2)) for number in range(3)]
    later = request(number=3, at=burst / rate, prompt_tokens=int(burst // 2))
    assert inside_rate([*flood, later], LOAD) == {0, 1, 3}


def test_excess_counts_only_what_is_certain():
    """An answer that may have been admitted before the window must not be held against the limit."""
    assert excess_tokens([(0.0, 1.0, 600), (0.0, 1.0, 600)], rate=100, burst=1000) == 100
    assert excess_tokens([(0.0, 5.0, 600), (4.0, 5.0, 600)], rate=100, burst=1000) == 0


def test_requests_without_outcome_are_counted():
    """A load process that loses requests must not raise the share of good ones."""
    requests = plan(LOAD, 4, 1)
    result = measure(LOAD, requests, {}, Targets(), 1.0, 4.0)
    assert result.offered > 0 and result.category_counts == {"no_outcome": result.offered}


def test_scenario_limits_leave_room_for_the_largest_request():
    """A request above the burst can never be admitted and would count as a false rejection."""
    for scenario in SCENARIOS:
        for workspace in scenario.load.workspaces:
            _, burst = scenario.load.limit(workspace)
            assert all(row.charge <= burst for row in plan(scenario.load, 5, 1) if row.workspace == workspace.name)
