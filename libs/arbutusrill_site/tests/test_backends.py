"""Tests of the backend registry with late, reordered and repeated announcements."""

import threading

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_state import BackendRoster, Departures
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
    return BackendRoster()


@pytest.fixture()
def registry(clock, departures, roster):
    return BackendRegistry(clock, 6.0, threading.Condition(), departures, roster)


def test_outdated_announcement_is_rejected(registry):
    registry.announce(record(sequence=5, draining=True))
    assert not registry.announce(record(sequence=4))
    assert registry.records()[0].draining


def test_revision_changes_only_with_fields_that_followers_use(registry):
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


def test_restart_under_the_same_id_supersedes_the_earlier_start(registry):
    registry.announce(record(started=100, sequence=50))
    assert registry.announce(record(started=200, sequence=1))
    registry.remove("a", 100)
    assert [row.started_ms for row in registry.records()] == [200]


def test_departure_survives_a_change_of_leader(registry, departures):
    registry.announce(record(sequence=3))
    departures.put(messages.PutDeparture("a", 100, 2**62))
    registry.remove("a", 100)
    registry.begin_term()
    assert not registry.announce(record(sequence=4))
    assert registry.announce(record(started=200, sequence=1))


def test_silent_server_is_dropped_and_registry_is_complete_only_after_the_timeout(registry, clock):
    registry.announce(record())
    registry.begin_term()
    registry.expire()
    assert not registry.complete
    registry.announce(record())
    clock.advance(6.1)
    registry.expire()
    assert registry.complete and not registry.records()


def test_new_leader_starts_with_the_roster_of_the_previous_one(registry, roster, clock):
    registry.announce(record("a", sequence=3))
    registry.announce(record("b", sequence=3, address="10.0.0.2:80"))
    roster.put(registry.records_to_save())
    assert registry.records_to_save() is None
    registry.begin_term()
    registry.restore_roster()
    assert {row.id for row in registry.records()} == {"a", "b"}
    clock.advance(5.0)
    registry.announce(record("a", sequence=4))
    clock.advance(2.0)
    registry.expire()
    assert [row.id for row in registry.records()] == ["a"]
    assert [row.id for row in registry.records_to_save()] == ["a"]


def test_departed_or_restarted_server_is_not_restored_from_the_roster(registry, roster, departures):
    roster.put([record("departed"), record("restarted", sequence=9, address="10.0.0.2:80")])
    departures.put(messages.PutDeparture("departed", 100, 2**62))
    registry.begin_term()
    registry.announce(record("restarted", started=200, sequence=1, address="10.0.0.2:80"))
    registry.restore_roster()
    assert [(row.id, row.started_ms) for row in registry.records()] == [("restarted", 200)]


def engine(sequence=1, started=100, stage="prefill"):
    return messages.BackendRecord("e", started, sequence, "model", "10.0.0.9:80", "z1", 64, False, stage, [])


def test_stage_order_is_kept_until_the_engine_announces_the_stage(registry):
    registry.announce(engine())
    registry.record_stage_order("e", "decode")
    registry.announce(engine(2))
    assert registry.records()[0].ordered_stage == "decode"
    registry.announce(engine(3, stage="decode"))
    assert registry.records()[0].ordered_stage == ""


def test_restart_of_an_engine_clears_its_stage_order(registry):
    registry.announce(engine())
    registry.record_stage_order("e", "decode")
    registry.announce(engine(started=200))
    assert registry.records()[0].ordered_stage == ""


def test_stage_order_in_the_roster_survives_a_change_of_leader(registry, roster):
    # A leader without the order assigned prefills to a switching engine, which rejected all of them for six seconds.
    registry.announce(engine())
    registry.record_stage_order("e", "decode")
    roster.put([messages.BackendRecord(**vars(record)) for record in registry.records_to_save()])
    registry.begin_term()
    registry.restore_roster()
    registry.announce(engine(2))
    assert registry.records()[0].ordered_stage == "decode"


def test_late_departure_of_an_older_start_does_not_hide_the_departure_of_a_newer_one(registry):
    # A follower that had not read the newer departure kept the server in its list until the end of the term.
    registry.announce(record(started=200))
    revision = registry.revision
    registry.remove("a", 200)
    registry.remove("a", 100)
    assert [removed.started_ms for removed in registry.changes_since(revision).removed] == [200]
