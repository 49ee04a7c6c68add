"""Places that the leader grants on engines that began to drain, to be quiet or to be evacuated while it decided."""

from types import SimpleNamespace

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_site import Service, SiteView
from arbutusrill_wire import messages

from arbutusrill_gateway import BackendPool, CallerRequest, PlacementClient, ResponseHead
from arbutusrill_gateway._placement import PlacementRequest


def engine(id_):
    return messages.BackendRecord(id_, 1, 1, "model", "10.0.0.1:1", f"z-{id_}", 8, False, "decode", [])


class Leader:
    """Grants the first engine that a request does not avoid; `before_grant` runs while it decides."""

    def __init__(self, engines, before_grant, obstinate=False):
        self.freed, self.avoided, self.granted = [], [], []
        self._engines, self._before_grant, self._obstinate = engines, before_grant, obstinate

    def call(self, method, message, **_):
        if method == "free_place":
            self.freed.append(message.place)
            return None
        self.avoided.append(list(message.avoid))
        allowed = [engine for engine in self._engines if self._obstinate or engine not in message.avoid]
        self._before_grant(allowed[0])
        self.granted.append(len(self.granted) + 1)
        return messages.PlaceReply(self.granted[-1], "", allowed[0])


def acquire(obstinate=False, evacuated=False):
    clock = ManualClock()
    view = SiteView(clock)
    view.backends_by_id = {id_: engine(id_) for id_ in ("a", "b")}
    pool = BackendPool(view, "z1", clock)

    def ask_for_quiet(id_):
        if id_ == "a" and evacuated:
            view.apply_evacuations(messages.Evacuations(1, ["z-a"]))
        elif id_ == "a":
            pool.observe_response(view.backends_by_id["a"], ResponseHead(503, "r", True, False, quiet_s=5.0), "r")

    leader = Leader(["a", "b"], ask_for_quiet, obstinate)
    placements = PlacementClient("vm", 1, leader, view, clock)
    request = CallerRequest("r", "POST", "h", "/x", [], b"")
    service = Service("model", SimpleNamespace())
    requirements = PlacementRequest(service, request, 1.0, True, pool.avoided_ids, pool.is_usable, False)
    return leader, placements, placements.acquire(requirements, 1.0)


@pytest.mark.parametrize("evacuated", [False, True])
def test_place_on_an_engine_that_may_not_be_used_any_more_is_given_back_and_another_taken(evacuated):
    leader, placements, (placement, retry_after_s) = acquire(evacuated=evacuated)
    assert (placement.decode.id, retry_after_s) == ("b", None)
    assert leader.freed == [1] and leader.avoided == [[], ["a"]]
    assert [held.place for held in placements.held_places()] == [2]


def test_leader_that_grants_only_quiet_engines_is_not_asked_for_ever():
    leader, placements, (placement, retry_after_s) = acquire(obstinate=True)
    assert (placement, retry_after_s) == (None, None)
    assert leader.freed == leader.granted == [1, 2, 3] and not placements.held_places()


def test_place_is_freed_once():
    leader, placements, (placement, _) = acquire()
    with placements:
        placements.release(placement)
        placements.release(placement)
    assert leader.freed == [1, placement.number]
