"""Tests of the registries: changes sent to followers, sums of loads, and records shared with the replicated state."""

import random
import threading
from types import SimpleNamespace

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_wire import messages

from arbutusrill_site import BackendRegistry, EntryRegistry, SiteFollower


class NoDepartures:
    def is_outdated(self, backend, started_ms, sequence):
        return False


class Roster:
    def __init__(self, records=()):
        self.saved = list(records)

    def records(self):
        return self.saved


def backend(name, start=1, sequence=1, **changed):
    record = messages.BackendRecord(name, start, sequence, "model", f"10.0.0.1:{name}", "z1", 8, False, "decode", [])
    for field, value in changed.items():
        setattr(record, field, value)
    return record


def registry(roster=None, silence_timeout_s=6.0):
    clock = ManualClock()
    departures, roster = NoDepartures(), roster or Roster()
    return clock, BackendRegistry(clock, silence_timeout_s, threading.Condition(), departures, roster)


class Follower:
    """Applies replies as an entry VM does."""

    def __init__(self):
        self.revision = None
        self.known = {}

    def follow(self, backends):
        changes = backends.changes_since(self.revision)
        if changes is None:
            return False
        removed = [messages.PutDeparture(record.id, record.started_ms, 1) for record in changes.removed]
        reply = messages.SiteFollowReply(
            backends=changes.records,
            backends_complete=backends.complete,
            backends_delta=changes.is_delta,
            removed_backends=removed,
        )
        self.known = SiteFollower._updated_backends(SiteFollower, self.known, reply)
        self.revision = changes.revision
        return changes.is_delta


@pytest.mark.parametrize("seed", range(20))
def test_changes_lead_to_the_same_list_as_the_whole_one(seed):
    rng = random.Random(seed)
    clock, backends = registry()
    clock.advance(7)
    backends.expire()  # the list is complete from here on
    followers = [Follower() for _ in range(3)]
    starts, sequence = {}, 0
    for _ in range(200):
        name, sequence = str(rng.randrange(8)), sequence + 1
        action = rng.choice(["announce", "announce", "restart", "remove", "order", "wait", "move"])
        if action == "restart":
            starts[name] = sequence
        if action in ("announce", "restart"):
            backends.announce(backend(name, starts.setdefault(name, 1), sequence, draining=rng.random() < 0.1))
        elif action == "move":
            starts[name] = sequence
            backends.announce(backend(name, sequence, sequence, address=f"10.0.0.1:{rng.randrange(8)}"))
        elif action == "remove":
            backends.remove(name, starts.get(name, 1))
        elif action == "order":
            backends.record_stage_order(name, rng.choice(["", "prefill"]))
        else:
            clock.advance(rng.uniform(0, 3))
            backends.expire()
        follower = rng.choice(followers)
        follower.follow(backends)
        if rng.random() < 0.05:
            follower.revision = None
    for follower in followers:
        follower.follow(backends)
        expected = {record.id: record for record in backends.records()}
        assert follower.known.keys() == expected.keys()
        fields = ("started_ms", "address", "draining", "ordered_stage")
        for name, record in expected.items():
            assert [getattr(follower.known[name], field) for field in fields] == [
                getattr(record, field) for field in fields
            ]


def test_change_is_sent_alone_and_the_whole_list_once_it_is_complete():
    clock, backends = registry()
    for name in "abc":
        backends.announce(backend(name))
    follower = Follower()
    assert not follower.follow(backends)
    backends.announce(backend("b", sequence=2, draining=True))
    changes = backends.changes_since(follower.revision)
    assert changes.is_delta and [record.id for record in changes.records] == ["b"]
    follower.known["earlier-term"] = backend("earlier-term")
    assert follower.follow(backends) and "earlier-term" in follower.known
    clock.advance(6)
    backends.expire()
    assert not follower.follow(backends)
    assert sorted(follower.known) == ["a", "b", "c"]


def test_removal_spares_a_later_start_of_the_server():
    _, backends = registry()
    backends.announce(backend("a", start=5))
    follower = Follower()
    follower.follow(backends)
    follower.known["a"] = backend("a", start=9)
    backends.remove("a", 5)
    follower.follow(backends)
    assert follower.known["a"].started_ms == 9


def test_stage_order_after_a_change_of_leader_differs_from_the_saved_list():
    # The registry shared its records with the replicated list: an order changed both, so that it was reported as
    # durable without being committed, and the next leader used an engine that was about to change its stage.
    roster = Roster([backend("a")])
    _, backends = registry(roster)
    backends.begin_term()
    backends.restore_roster()
    backends.record_stage_order("a", "prefill")
    assert not roster.saved[0].ordered_stage
    assert [record.ordered_stage for record in backends.records_to_save()] == ["prefill"]


def test_sums_of_loads_follow_reports_and_dropped_vms():
    clock = ManualClock()
    entries = EntryRegistry(clock, 1.5, threading.Condition())
    rng = random.Random(1)
    reported = {}
    for _ in range(300):
        vm = f"vm{rng.randrange(6)}"
        reported[vm] = {f"b{rng.randrange(5)}": (rng.randrange(1, 4), rng.randrange(9)) for _ in range(3)}
        uses = [messages.BackendUse(name, *load) for name, load in reported[vm].items()]
        entries.record_heartbeat(SimpleNamespace(id=vm, address="", state="ready"), 1, uses)
        other = f"vm{rng.randrange(6)}"
        expected = {}
        for name, loads in reported.items():
            if name != other:
                for id_, (requests, tokens) in loads.items():
                    known = expected.get(id_, (0, 0))
                    expected[id_] = (known[0] + requests, known[1] + tokens)
        assert {use.id: (use.requests, use.tokens) for use in entries.uses_of_others(other)} == expected
    clock.advance(2)
    entries.expire()
    assert not entries.uses_of_others("vm0")


def test_observations_of_other_vms_come_with_their_number_and_end_with_them():
    # Failures that one VM saw must not look like failures for all, and must not stay after the VM is gone.
    clock = ManualClock()
    entries = EntryRegistry(clock, 1.5, threading.Condition())
    for vm, failed in (("vm0", 0), ("vm1", 5), ("vm2", 0)):
        use = messages.BackendUse("b", 0, 0, sent=6, answered=6 - failed, failed=failed, work_s=0.5)
        record = SimpleNamespace(id=vm, address="", state="ready")
        entries.record_heartbeat(record, 1, [use], [messages.ServiceLoad("app", 7, 1)])
    (use,) = entries.uses_of_others("vm0")
    assert (use.sent, use.failed, use.observing_vms, use.failing_vms, use.work_s) == (12, 5, 2, 1, 1.0)
    assert [(load.offered, load.waiting) for load in entries.loads_of_others("vm0")] == [(14, 2)]
    (use,) = entries.uses_of_others("vm1")
    assert (use.failed, use.failing_vms) == (0, 0)
    entries.record_heartbeat(SimpleNamespace(id="vm1", address="", state="ready"), 1, [])
    assert entries.uses_of_others("vm0")[0].failed == 0
    clock.advance(2)
    entries.expire()
    assert not entries.uses_of_others("vm0") and not entries.loads_of_others("vm0")
