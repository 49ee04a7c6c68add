"""Tests of the replacement of voters."""

from arbutusrill_base import ManualClock
from arbutusrill_raft import MemberStatus

from arbutusrill_site import MembershipManager


class Log:
    """Replica whose voter `c` has not replied to this leader yet."""

    def __init__(self):
        self.leads = True
        self.replaced = []

    def is_leader(self):
        return self.leads

    def members(self):
        silent_s_by_id = {"a": 0.0, "b": 0.1, "c": -1.0}
        return [
            MemberStatus(f"{id_}/disk", id_, "voter", id_ == "a", 1, silent_s)
            for id_, silent_s in silent_s_by_id.items()
        ]

    def replace(self, old, new, timeout):
        self.replaced.append(old)
        return f"{new}/disk"


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
