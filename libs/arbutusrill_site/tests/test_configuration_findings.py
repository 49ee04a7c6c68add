"""Tests of the findings about a configuration and of the comparison of two; each case names an operator's mistake."""

import dataclasses

import pytest
from arbutusrill_limits import Limits

from arbutusrill_site import ClientLimits, Engine, Route, RouteKind, Service, SiteConfiguration, Target, Workspace
from arbutusrill_site._configuration_comparison import compare_configurations
from arbutusrill_site._configuration_findings import VersionCheck, check_configuration

ROUTE = Route("look", "a.example", "/look/", RouteKind.IDEMPOTENT, 3.0, 0.9, (Target("desk", 1.0),), 2)
DESK = Service("desk")
CLINIC = Workspace("clinic", Limits(1000.0, 1000.0), 10.0)


def site(routes=(ROUTE,), services=(DESK,), workspaces=(CLINIC,), key_by_name=None, limits=None, version=1):
    keys = {workspace.name: f"key-of-{workspace.name}" for workspace in workspaces} | (key_by_name or {})
    workspace_by_key = {keys[each.name]: each for each in workspaces if keys[each.name] is not None}
    return SiteConfiguration.build(version, [*routes], [*services], workspace_by_key, [*workspaces], limits)


def changed(value, **fields):
    return dataclasses.replace(value, **fields)


def lines(configuration):
    return [finding.line() for finding in check_configuration(configuration)]


def test_sound_configuration_has_no_findings():
    # Findings about what is meant as it is would teach operators to ignore them.
    assert lines(site()) == []
    assert lines(site([changed(ROUTE, timeout_s=0.9, kind=RouteKind.STREAM, resumable=True)])) == []
    assert lines(site(workspaces=[])) == []


HOMES = changed(ROUTE, homes=frozenset({"north"}))
SOUTH = changed(CLINIC, homes=frozenset({"south"}))


@pytest.mark.parametrize(
    ("configuration", "expected"),
    [
        pytest.param(
            site([changed(ROUTE, host="a.example:80")]),
            "error: route \"look\": never matches: host 'a.example:80' has a colon",
            id="port copied into the host",
        ),
        pytest.param(
            site([changed(ROUTE, host="a.example ")]),
            "error: route \"look\": never matches: host 'a.example '",
            id="space behind the host",
        ),
        pytest.param(
            site([changed(ROUTE, prefix="/café/")]),
            "error: route \"look\": never matches: prefix '/café/'",
            id="prefix that is not percent-encoded",
        ),
        pytest.param(
            site([changed(ROUTE, prefix="/a#b/")]),
            "error: route \"look\": never matches: prefix '/a#b/'",
            id="prefix with a fragment",
        ),
        pytest.param(
            site([changed(ROUTE, timeout_s=0.5)]),
            'warning: route "look": the timeout of 0.5 s is below the objective of 0.9 s',
            id="timeout and objective swapped",
        ),
        pytest.param(
            site([changed(ROUTE, kind=RouteKind.NON_IDEMPOTENT)]),
            'warning: route "look": allows 2 attempts, but its requests run at most once',
            id="retries expected of a once-only route",
        ),
        pytest.param(
            site([changed(ROUTE, kind=RouteKind.STREAM)]),
            'warning: route "look": allows 2 attempts, but its requests run at most once',
            id="retries expected of a stream that cannot be resumed",
        ),
        pytest.param(
            site([changed(ROUTE, targets=(Target("desk", 1.0), Target("new", 0.0)))], [DESK, Service("new")]),
            'warning: route "look": never chooses service "new", whose weight is 0',
            id="split whose new share was forgotten, at the route",
        ),
        pytest.param(
            site([changed(ROUTE, targets=(Target("desk", 1.0), Target("new", 0.0)))], [DESK, Service("new")]),
            'warning: service "new": its weight is 0 in every route that names it',
            id="split whose new share was forgotten, at the service",
        ),
        pytest.param(
            site(services=[DESK, Service("old")]),
            'warning: service "old": no route uses it',
            id="service left behind after its routes moved",
        ),
        pytest.param(
            site(key_by_name={"clinic": None}),
            'warning: workspace "clinic": has no key, so that no request can belong to it',
            id="last key withdrawn",
        ),
        pytest.param(
            site(key_by_name={"clinic": "secret key"}),
            'error: workspace "clinic": 1 of its keys can never match',
            id="key with a space",
        ),
        pytest.param(
            site(workspaces=[changed(CLINIC, limits=Limits(100.0, 5.0))]),
            'warning: workspace "clinic": a request without token counts is charged 10, above the burst of 5: '
            "it is only admitted while all of the burst is unused, at most one every 0.1 s",
            id="burst in requests where tokens are counted",
        ),
        pytest.param(
            site(limits=ClientLimits(header_bytes=0)), "error: limits: no request can be read", id="0 for no limit"
        ),
        pytest.param(
            site(limits=ClientLimits(body_bytes=0)),
            "warning: limits: every request with a body is refused",
            id="0 for no limit on bodies",
        ),
        pytest.param(
            site([HOMES], workspaces=[SOUTH]),
            'error: route "look": has no region in common with workspace "clinic"',
            id="homes that exclude every workspace",
        ),
        pytest.param(
            site([HOMES], workspaces=[SOUTH, Workspace("bank")]),
            'warning: route "look": has no region in common with workspace "clinic"',
            id="homes that exclude one workspace",
        ),
    ],
)
def test_mistake_is_found_at_its_place(configuration, expected):
    assert any(line.startswith(expected) for line in lines(configuration)), lines(configuration)


def test_homes_of_a_public_route_are_not_compared():
    # Its requests belong to no workspace, so that a finding would be wrong.
    assert lines(site([changed(HOMES, public=True)], workspaces=[SOUTH])) == []


@pytest.mark.parametrize(("version", "count"), [(6, 1), (7, 1), (8, 0)])
def test_version_that_changes_nothing_is_found(version, count):
    # A change under a version that was used already is acknowledged and ignored.
    assert len(check_configuration(site(version=version), (VersionCheck(7),))) == count


def test_names_cannot_break_the_line_of_a_finding():
    # A name with a line break would print a line that looks like another finding.
    (line,) = lines(site(services=[DESK, Service("x\nerror: y\x9b")]))
    assert line == 'warning: service "x\\nerror: y\\x9b": no route uses it'


def test_comparison_names_what_differs():
    # An operator who edits an old copy takes back what others have changed since.
    before = site(services=[DESK, Service("old", Engine(8, 100, 0.5))], workspaces=[CLINIC, Workspace("lab")])
    after = site(
        [
            changed(ROUTE, timeout_s=2.5, targets=(Target("desk", 9.0), Target("new", 1.0))),
            changed(ROUTE, prefix="/b/"),
        ],
        [Service("desk", Engine(8, 100, 0.5)), Service("new")],
        [changed(CLINIC, limits=None, homes=frozenset({"north", "east"}))],
        limits=ClientLimits(body_bytes=100),
        version=2,
    )
    compared = [difference.line() for difference in compare_configurations(before, after)]
    assert compared[:2] == ["changed: configuration: version 1 -> 2", "changed: limits: body_bytes 4194304 -> 100"]
    # A route name that is used twice is told apart by its prefix.
    assert 'added: route "look" at a.example/b/' in compared
    assert (
        'changed: route "look" at a.example/look/: timeout_s 3 -> 2.5; targets desk (1) -> desk (9), new (1)'
        in compared
    )
    assert 'removed: service "old"' in compared and 'added: service "new"' in compared
    engine = "engine.slots none -> 8; engine.kv_tokens none -> 100; engine.kv_cache_ttl_s none -> 0.5"
    assert f'changed: service "desk": {engine}' in compared
    assert 'removed: workspace "lab"' in compared
    assert (
        'changed: workspace "clinic": limits.rate 1000 -> none; limits.burst 1000 -> none; homes any -> east, north'
        in compared
    )
    assert compare_configurations(before, before) == []


def test_keys_appear_as_digests_only():
    # The output is pasted into tickets and chats; a key in clear would have to be withdrawn.
    moved = site(workspaces=[CLINIC, Workspace("lab")], key_by_name={"clinic": "new-key", "lab": "key-of-clinic"})
    compared = [difference.line() for difference in compare_configurations(site(), moved)]
    assert compared == [
        'added: workspace "lab"',
        'added: workspace "clinic" key 479a61d5',
        'removed: workspace "clinic" key 593179bf',
        'added: workspace "lab" key 593179bf',
    ]
