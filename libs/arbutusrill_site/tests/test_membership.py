"""Tests of the replacement of voters."""

from arbutusrill_base import ManualClock
from arbutusrill_raft import LogStatus, MembershipError, MemberStatus

from arbutusrill_site import GroupJoinClient, MembershipManager


class Log:
    """Replica whose voter `c` has not replied to this leader yet."""

    def __init__(self):
        self.leads = True
        self.replaced = []
        self.voters = ["a/disk", "b/disk", "c/disk"]
        self.unreachable = set()

    def is_leader(self):
        return self.leads

    def members(self):
        silent_s_by_id = {"a": 0.0, "b": 0.1, "c": -1.0}
        return [
            MemberStatus(f"{id_}/disk", id_, "voter", id_ == "a", 1, silent_s)
            for id_, silent_s in silent_s_by_id.items()
        ]

    def status(self):
        return LogStatus("b/disk", "follower", 2, "a", 1, 1, self.voters, [], "", "")

    def replace(self, old, new, timeout):
        if new in self.unreachable:
            raise MembershipError(f"the replica at {new} does not answer")
        self.replaced.append(old)
        return f"{new}/disk"


class Client:
    """Client of a leader whose answers to `leave` are `answers`, one a call."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    def call(self, name, *arguments, **_):
        self.calls.append((name, *arguments))
        return self.answers.pop(0)


def test_voter_that_has_not_replied_to_a_new_leader_is_not_replaced_at_once():
    # Right after an election a sound voter was replaced by a spare, since silence was counted from before the election.
    clock, log = ManualClock(), Log()
    manager = MembershipManager(log, 3, clock)

    def tick_after(seconds):
        clock.advance(seconds)
        manager.record_join_request("d/disk")
        manager.tick()
        return log.replaced

    assert tick_after(10.0) == []
    assert tick_after(2.0) == []
    log.leads = False
    tick_after(0.5)
    log.leads = True
    assert tick_after(2.0) == []
    assert tick_after(2.0) == []
    assert tick_after(2.0) == ["c/disk"]


def test_voter_that_stops_is_replaced_at_once_by_a_vm_that_asks_to_join():
    # It stayed a voter until it had been silent for 3 s: one more loss than tolerated meanwhile left no quorum.
    clock, log = ManualClock(), Log()
    manager = MembershipManager(log, 3, clock)
    manager.record_join_request("d/disk")
    manager.tick()
    assert log.replaced == []
    assert manager.record_leave_request("b/disk")
    manager.tick()
    assert log.replaced == ["b/disk"]


def test_voter_that_stops_does_not_wait_if_no_other_vm_asks_to_join():
    clock, log = ManualClock(), Log()
    manager = MembershipManager(log, 3, clock)
    assert not manager.record_leave_request("b/disk")
    manager.record_join_request("b/disk")
    assert not manager.record_leave_request("b/disk"), "a VM that stops is not to be admitted"
    manager.tick()
    assert log.replaced == []


def test_voter_that_has_started_again_is_not_replaced():
    clock, log = ManualClock(), Log()
    manager = MembershipManager(log, 3, clock)
    manager.record_leave_request("b/disk")
    clock.advance(1.5)
    manager.record_join_request("d/disk")
    manager.tick()
    assert log.replaced == []


def test_stopping_vm_asks_until_it_is_replaced_and_joins_no_more():
    client, log = Client(True, True, False), Log()
    joining = GroupJoinClient(log, "b", client, lambda: ["a"])
    joining.leave(3.0)
    assert client.calls == [("leave", "b/disk")] * 3
    log.voters = ["a/disk", "c/disk", "d/disk"]
    joining.tick()
    assert len(client.calls) == 3


def test_stopping_vm_that_is_no_voter_withdraws_its_request_and_waits_only_while_it_is_admitted():
    # It told nobody, and was promoted to voter for up to 3 s after its latest request to join.
    for answers in ([False], [True, True, False]):
        client, log = Client(*answers), Log()
        log.voters = ["a/disk", "c/disk", "d/disk"]
        GroupJoinClient(log, "b", client, lambda: ["a"]).leave(3.0)
        assert client.calls == [("leave", "b/disk")] * len(answers)


def test_vm_that_stops_is_not_admitted_by_a_request_on_its_way():
    clock, log = ManualClock(), Log()
    manager = MembershipManager(log, 3, clock)
    manager.record_leave_request("b/disk")  # a voter to replace
    manager.record_join_request("d/disk")
    manager.record_leave_request("d/disk")
    manager.record_join_request("d/disk")  # sent before
    manager.tick()
    assert log.replaced == []
    clock.advance(1.5)
    manager.record_leave_request("b/disk")
    manager.record_join_request("d/disk")  # has started again
    manager.tick()
    assert log.replaced == ["b/disk"]


def test_vm_that_stops_while_another_one_is_admitted_is_not_admitted_next():
    clock, log = ManualClock(), Log()
    manager = MembershipManager(log, 3, clock)
    waits = {}

    def fail(old, new, timeout):
        waits.update({member: manager.record_leave_request(f"{member}/disk") for member in ("d", "e")})
        raise MembershipError(f"the replica at {new} does not answer")

    log.replace, replace = fail, log.replace
    manager.record_leave_request("b/disk")
    for member in ("d", "e"):
        manager.record_join_request(f"{member}/disk")
    manager.tick()
    assert waits == {"d": True, "e": False}, "only the one that is being admitted has to wait for the end of that"
    assert not manager.record_leave_request("d/disk")
    log.replace = replace
    manager.tick()
    assert log.replaced == []


def test_vm_that_cannot_be_admitted_does_not_hold_up_the_others():
    # A VM that asked to join and was lost then kept a voter with a new disk out of the group for 3 s and more.
    clock, log = ManualClock(), Log()
    manager = MembershipManager(log, 3, clock)
    log.unreachable = {"a0"}
    manager.record_leave_request("b/disk")
    manager.record_join_request("a0/disk")
    manager.record_join_request("c/new-disk")
    manager.tick()
    assert log.replaced == ["c/disk"]
