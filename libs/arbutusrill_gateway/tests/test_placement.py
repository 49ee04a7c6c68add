"""Releases of places while the leader does not answer."""

import threading
import time
from types import SimpleNamespace

from arbutusrill_base import ManualClock
from arbutusrill_site import Service, SiteView
from arbutusrill_wire import messages

from arbutusrill_gateway import CallerRequest, PlacementClient
from arbutusrill_gateway._placement import PlacementRequest

ENGINE = messages.BackendRecord("a", 1, 1, "model", "10.0.0.1:1", "z1", 8, False, "decode", [])


class SilentLeader:
    """Answers nothing until it is `resumed`; `calls` lists the methods in the order of their arrival."""

    def __init__(self):
        self.calls, self.resumed = [], threading.Event()

    def call(self, method, message, timeout, **_):
        self.resumed.wait(timeout)
        self.calls.append(method)
        return messages.PlaceReply(1, "", ENGINE.id)


def placement_client():
    view = SiteView(ManualClock())
    view.backends_by_id = {ENGINE.id: ENGINE}
    leader = SilentLeader()
    return leader, PlacementClient("vm", 1, leader, view, ManualClock())


def test_response_does_not_wait_for_a_leader_that_is_silent():
    # The end of a stream was held back for 0.3 s, while the place of the stream was released.
    leader, placements = placement_client()
    with placements:
        placement = placements.record_local(ENGINE, CallerRequest("r", "POST", "h", "/x", [], b""), 0.0)
        started = time.monotonic()
        placements.release(placement)
        placements.report_unresponsive("a")
        assert time.monotonic() - started < 0.15
        assert not placements.held_places()
    assert leader.calls == ["free_place", "free_place"]


def test_place_of_an_earlier_attempt_is_released_before_the_next_is_requested():
    leader, placements = placement_client()
    request = CallerRequest("r", "POST", "h", "/x", [], b"")
    requirements = PlacementRequest(
        Service("model", SimpleNamespace()), request, 1.0, True, lambda: [], lambda _: True, True
    )
    with placements:
        placements.release(placements.record_local(ENGINE, request, 0.0))
        threading.Timer(0.1, leader.resumed.set).start()
        assert placements.acquire(requirements, 1.0)[0].decode is ENGINE
        assert leader.calls == ["free_place", "place"]
