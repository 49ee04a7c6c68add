"""Tests of the urgency that engines are told."""

import pytest
from arbutusrill_site import Engine, Route, RouteKind, Service, SiteConfiguration, Target, Workspace

from arbutusrill_gateway._service_ranks import ServiceRanks

ENGINE = Engine(8, 1000, 0.5)


def configuration(*priorities, workspaces=(), engine=ENGINE):
    routes = [
        Route(f"r{number}", "h", f"/{number}/", RouteKind.STREAM, 5.0, 0.9, (Target("s", 1.0),), priority=priority)
        for number, priority in enumerate(priorities)
    ]
    by_key = {workspace.name: workspace for workspace in workspaces}
    return SiteConfiguration.build(1, routes, [Service("s", engine)], by_key, list(workspaces))


@pytest.mark.parametrize(
    ("site", "urgency_by_rank"),
    [
        (configuration(1, 2, 7), {1: -1, 2: 0, 7: 1}),
        (configuration(1, 2), {1: 0, 2: 1}),
        (configuration(3, 3), {3: None}),
        (configuration(3, workspaces=[Workspace("clinic", priority=0)]), {0: 0, 3: 1}),
        (configuration(1, 2, engine=None), {1: None, 2: None}),
    ],
)
def test_urgency_is_the_rank_relative_to_the_middle_one(site, urgency_by_rank):
    # Requests without an urgency, as of earlier versions, must stand in the middle, not behind all others.
    ranks = ServiceRanks()
    assert {rank: ranks.urgency(site, "s", rank, 0.0) for rank in urgency_by_rank} == urgency_by_rank


def test_many_changes_of_the_configuration_cost_one_pass_in_two_seconds():
    ranks, first, second = ServiceRanks(), configuration(1, 2), configuration(2, 2)
    assert ranks.urgency(first, "s", 1, 0.0) == 0
    assert ranks.urgency(second, "s", 2, 1.0) == 1
    assert ranks.urgency(second, "s", 2, 2.1) is None
