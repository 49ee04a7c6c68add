"""Releases of places while the leader does not answer."""

import threading
import time
from types import SimpleNamespace

from arbutusrill_base import ManualClock
from arbutusrill_site import Service, SiteView
from arbutusrill_state import ControlUnavailableError
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


class DistantLeader:
    """Answers each call after `delay_s`, many at the same time."""

    def __init__(self, delay_s):
        self.delay_s, self.freed = delay_s, []

    def call(self, _, message, timeout, **__):
        time.sleep(min(timeout, self.delay_s))
        if self.delay_s > timeout:
            raise ControlUnavailableError("no answer")
        self.freed.append(message.place)


def test_releases_keep_up_with_responses_if_the_leader_is_distant():
    # One after another, 7 places were freed in a second, and each retry waited for all of those before it.
    leader, (_, placements) = DistantLeader(0.15), placement_client()
    placements._client = leader
    with placements:
        for number in range(30):
            request = CallerRequest(f"r{number}", "POST", "h", "/x", [], b"")
            placements.release(placements.record_local(ENGINE, request, 0.0))
        time.sleep(0.6)
        assert len(leader.freed) == 30


def test_exit_does_not_wait_for_all_releases_if_the_leader_is_silent():
    # A process that waits 0.3 s for each does not end within its grace period.
    _, placements = placement_client()
    placements._client = DistantLeader(5.0)
    with placements:
        for number in range(200):
            request = CallerRequest(f"r{number}", "POST", "h", "/x", [], b"")
            placements.release(placements.record_local(ENGINE, request, 0.0))
        started = time.monotonic()
    assert time.monotonic() - started < 1.5
