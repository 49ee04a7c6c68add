"""Guards against requests with homes that leave their home regions, also where no server is there."""

import math
from types import SimpleNamespace

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_site import EntryDirectory, HostRoutes, Route, RouteKind, Service, SiteConfiguration, SiteView, Target
from arbutusrill_site import Workspace as SiteWorkspace
from arbutusrill_wire import messages

from arbutusrill_gateway import BackendPool
from arbutusrill_gateway._home_pool import pool_within

SERVICE = Service("app")
REGIONS = {"n1": "north", "n2": "north", "s1": "south"}


def route(*homes, name="r"):
    target = (Target("app", 1.0),)
    return Route(name, "h", f"/{name}/", RouteKind.IDEMPOTENT, 1.0, 0.1, target, homes=frozenset(homes))


def pool_in(*data_centres):
    view = SiteView(ManualClock())
    view.backends_by_id = {
        place: messages.BackendRecord(place, 1, 1, "app", f"10.0.0.1:{place}", place, 8) for place in data_centres
    }
    return BackendPool(view, "s1", ManualClock()), view


@pytest.mark.parametrize(
    ("of_route", "of_workspace", "homes"),
    [
        ((), None, None),
        ((), (), None),
        (("north",), (), {"north"}),
        ((), ("south",), {"south"}),
        (("north", "south"), ("south",), {"south"}),
        (("north",), ("south",), set()),
    ],
)
def test_homes_of_route_and_workspace_both_bind(of_route, of_workspace, homes):
    workspace = None if of_workspace is None else SiteWorkspace("w", homes=frozenset(of_workspace))
    assert SiteConfiguration.homes_of(route(*of_route), workspace) == homes


def test_only_servers_in_a_home_region_are_chosen_granted_and_offered():
    pool, view = pool_in("n1", "n2", "s1", "unknown")
    home = pool_within(pool, frozenset({"north"}), REGIONS)
    assert {home.pick(SERVICE).id for _ in range(100)} <= {"n1", "n2"}
    assert home.pick(SERVICE, exclude={"n1", "n2"}) is None and pool.pick(SERVICE, exclude={"n1", "n2"}) is not None
    assert [home.is_usable(record) for record in view.backends_by_id.values()] == [True, True, False, False]
    assert home.avoided_ids() == ["s1", "unknown"] and pool.avoided_ids() == []
    assert pool_within(pool, None, REGIONS) is pool


def test_request_without_a_server_in_its_homes_is_refused_at_once():
    # It was held as if its servers were about to announce themselves.
    pool, _ = pool_in("n1")
    for homes in ({"south"}, {"nowhere"}, set()):
        home = pool_within(pool, frozenset(homes), REGIONS)
        assert home.permitted_in_s(SERVICE, "", "") == math.inf and home.pick(SERVICE) is None
    home = pool_within(pool, frozenset({"north"}), REGIONS)
    assert home.permitted_in_s(SERVICE, "", "") is None and home.retry_in_s(SERVICE, "", "") is None


def directory(*routes, states=("ready", "ready", "ready")):
    entries = [
        messages.EntryRecord(place, f"{place}:80", place, state) for place, state in zip(REGIONS, states, strict=True)
    ]
    view = SiteView(ManualClock())
    view.version = 1
    view.entries_by_id = {record.id: record for record in entries}
    hosts = {"h": HostRoutes({each.prefix: each for each in routes})}
    view.document = SiteConfiguration(1, hosts, {}, {})
    follower = SimpleNamespace(state="ready")
    return EntryDirectory(view, follower, "n1:80", 1.0, lambda: REGIONS)


def test_directory_names_vms_in_the_homes_and_in_the_region_of_the_caller():
    homed, free = route("south", name="a"), route(name="b")
    assert directory(homed, free).addresses("h", "elsewhere") == ["s1:80"]
    assert directory(homed, free).addresses("h", "north") == ["n1:80", "n2:80", "s1:80"]
    assert directory(homed, route("north", name="c")).addresses("h", "south") == ["s1:80"]
    assert directory(free).addresses("h", "elsewhere") == ["n1:80", "n2:80", "s1:80"]
    assert directory(homed).addresses("other", "elsewhere") == ["n1:80", "n2:80", "s1:80"]


def test_directory_names_other_vms_rather_than_none():
    assert directory(route("south"), states=("ready", "ready", "draining")).addresses("h", "x") == ["n1:80", "n2:80"]
