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
        (configuration(1, 2, 7), {11: -1, 22: 0, 77: 1}),
        (configuration(1, 2), {11: 0, 22: 1}),
        (configuration(3, 3), {33: None}),
        (configuration(3, workspaces=[Workspace("a", priority=0), Workspace("b")]), {3: 0, 33: 1}),
        # Workspaces of one rank hid those of the routes: all requests of dns-wire-grown had the rank 1.
        (configuration(0, 1, 2, workspaces=[Workspace("a", priority=1)]), {10: -1, 11: 0, 12: 1}),
        (configuration(1, 2, engine=None), {11: None, 22: None}),
    ],
)
def test_urgency_is_the_rank_relative_to_the_middle_one(site, urgency_by_rank):
    # Requests without an urgency, as of earlier versions, must stand in the middle, not behind all others.
    ranks = ServiceRanks()
    assert {rank: ranks.urgency(site, "s", rank, 0.0) for rank in urgency_by_rank} == urgency_by_rank


def test_many_changes_of_the_configuration_cost_one_pass_in_two_seconds():
    ranks, first, second = ServiceRanks(), configuration(1, 2), configuration(2, 2)
    assert ranks.urgency(first, "s", 11, 0.0) == 0
    assert ranks.urgency(second, "s", 22, 1.0) == 1
    assert ranks.urgency(second, "s", 22, 2.1) is None
