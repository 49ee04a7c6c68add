"""Guards against late, reordered and reused announcements."""

import threading

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_state import Departures, Roster
from arbutusrill_wire import messages

from arbutusrill_site import BackendRegistry


def record(name="a", started=100, sequence=1, address="10.0.0.1:80", draining=False):
    return messages.BackendRecord(name, started, sequence, "desk", address, "z1", 6, draining, "", [])


@pytest.fixture()
def clock():
    return ManualClock()


@pytest.fixture()
def departures():
    return Departures()


@pytest.fixture()
def roster():
    return Roster()


@pytest.fixture()
def registry(clock, departures, roster):
    return BackendRegistry(clock, 6.0, threading.Condition(), departures, roster)


def test_announcement_that_comes_late_changes_nothing(registry):
    registry.announce(record(sequence=5, draining=True))
    assert not registry.announce(record(sequence=4))
    assert registry.records()[0].draining


def test_revision_moves_only_with_what_followers_have_to_know(registry):
    registry.announce(record(sequence=1))
    before = registry.revision
    registry.announce(record(sequence=2))
    assert registry.revision == before
    registry.announce(record(sequence=3, draining=True))
    assert registry.revision > before


def test_address_belongs_to_the_server_that_started_last(registry):
    registry.announce(record("old", started=100))
    registry.announce(record("new", started=200))
    assert not registry.announce(record("old", started=100, sequence=9))
    assert [row.id for row in registry.records()] == ["new"]


def test_server_that_starts_again_under_its_id_is_a_new_one(registry):
    registry.announce(record(started=100, sequence=50))
    assert registry.announce(record(started=200, sequence=1))
    registry.remove("a", 100)
    assert [row.started_ms for row in registry.records()] == [200]


def test_departure_is_remembered_by_the_next_leader(registry, departures):
    registry.announce(record(sequence=3))
    departures.put(messages.PutDeparture("a", 100, 2**62))
    registry.remove("a", 100)
    registry.begin_term()
    assert not registry.announce(record(sequence=4))
    assert registry.announce(record(started=200, sequence=1))


def test_silent_server_is_dropped_and_a_new_leader_is_complete_only_after_that_time(registry, clock):
    registry.announce(record())
    registry.begin_term()
    registry.expire()
    assert not registry.complete
    registry.announce(record())
    clock.advance(6.1)
    registry.expire()
    assert registry.complete and not registry.records()


def test_new_leader_begins_with_the_servers_that_the_last_one_wrote_down(registry, roster, clock):
    registry.announce(record("a", sequence=3))
    registry.announce(record("b", sequence=3, address="10.0.0.2:80"))
    roster.put(registry.unsaved())
    assert registry.unsaved() is None
    registry.begin_term()
    registry.recall()
    assert {row.id for row in registry.records()} == {"a", "b"}
    clock.advance(5.0)
    registry.announce(record("a", sequence=4))
    clock.advance(2.0)
    registry.expire()
    assert [row.id for row in registry.records()] == ["a"]
    assert [row.id for row in registry.unsaved()] == ["a"]


def test_server_that_has_left_or_was_heard_again_is_not_recalled(registry, roster, departures):
    roster.put([record("left"), record("back", sequence=9, address="10.0.0.2:80")])
    departures.put(messages.PutDeparture("left", 100, 2**62))
    registry.begin_term()
    registry.announce(record("back", started=200, sequence=1, address="10.0.0.2:80"))
    registry.recall()
    assert [(row.id, row.started_ms) for row in registry.records()] == [("back", 200)]


def engine(sequence=1, started=100, stage="prefill"):
    return messages.BackendRecord("e", started, sequence, "model", "10.0.0.9:80", "z1", 64, False, stage, [])


def test_order_to_change_the_stage_is_known_until_the_engine_has_changed(registry):
    registry.announce(engine())
    registry.note_order("e", "decode")
    registry.announce(engine(2))
    assert registry.records()[0].ordered_stage == "decode"
    registry.announce(engine(3, stage="decode"))
    assert registry.records()[0].ordered_stage == ""


def test_engine_that_has_started_again_knows_no_order(registry):
    registry.announce(engine())
    registry.note_order("e", "decode")
    registry.announce(engine(started=200))
    assert registry.records()[0].ordered_stage == ""


def test_next_leader_knows_the_orders_that_were_written_down(registry, roster):
    # It gave prefills to an engine that rejected all of them for six seconds.
    registry.announce(engine())
    registry.note_order("e", "decode")
    roster.put([messages.BackendRecord(**vars(record)) for record in registry.unsaved()])
    registry.begin_term()
    registry.recall()
    registry.announce(engine(2))
    assert registry.records()[0].ordered_stage == "decode"
