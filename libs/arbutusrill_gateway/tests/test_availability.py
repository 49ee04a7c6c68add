"""Replays of load patterns against the decision on which backend servers may be used."""

import random

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_site import Service, SiteView
from arbutusrill_wire import messages

from arbutusrill_gateway import BackendPool, ResponseHead
from arbutusrill_gateway._availability import MAX_QUIET_S, BackendAvailability

SERVICE = Service("app")


def backend(id_="b", started_ms=1, stage=""):
    return messages.BackendRecord(id_, started_ms, 1, "app", f"10.0.0.1:{started_ms}", "z1", 8, False, stage, [])


def pool_of(*records):
    clock = ManualClock()
    view = SiteView(clock)
    view.backends_by_id = {record.id: record for record in records}
    return BackendPool(view, "z1", clock), view, clock


def says(draining=False, quiet_s=None, request_id="r"):
    return ResponseHead(503, request_id, True, False, [], draining, quiet_s)


def test_server_that_drains_is_neither_chosen_nor_accepted_nor_offered_to_the_leader():
    record = backend()
    pool, _, clock = pool_of(record)
    pool.observe_response(record, says(draining=True), "r")
    clock.advance(3600)
    assert pool.pick(SERVICE) is None and not pool.is_usable(record)
    assert pool.avoided_ids() == ["b"] and pool.restricted_counts() == (1, 0)


def test_restarted_server_is_not_barred_by_what_the_old_incarnation_said():
    old, new = backend(), backend(started_ms=2)
    pool, view, _ = pool_of(new)
    pool.observe_response(old, says(draining=True, quiet_s=5.0), "r")
    assert pool.pick(SERVICE).record is new and pool.is_usable(new)
    pool.prune()
    assert pool.restricted_counts() == (0, 0)


def test_server_at_the_address_of_one_that_drains_is_not_barred():
    leaving, other = backend("a"), backend("b")
    pool, _, _ = pool_of(leaving, other)
    pool.observe_response(leaving, says(draining=True), "r")
    assert pool.pick(SERVICE).record is other


def test_answer_to_another_request_teaches_nothing():
    record = backend()
    pool, _, _ = pool_of(record)
    pool.observe_response(record, says(draining=True, quiet_s=5.0, request_id="earlier"), "r")
    assert pool.pick(SERVICE) is not None


def test_server_that_drains_stays_barred_while_a_new_leader_has_not_listed_it_again():
    record = backend()
    pool, view, clock = pool_of(record)
    pool.observe_response(record, says(draining=True), "r")
    view.backends_by_id = {}
    clock.advance(30)
    pool.prune()
    view.backends_by_id = {record.id: record}
    assert pool.pick(SERVICE) is None


def test_memory_of_restrictions_is_bounded():
    availability = BackendAvailability()
    for number in range(10_000):
        availability.set_draining(backend(f"b-{number}"), float(number))
    assert availability.counts(10_000.0)[0] <= 4096
    assert not availability.is_permitted(backend("b-9999"), 10_000.0)
    availability.prune({}, 20_000.0)
    assert availability.counts(20_000.0) == (0, 0)


def test_failure_does_not_end_a_quiet_time_and_success_does_not_either():
    record = backend()
    pool, _, clock = pool_of(record)
    pool.observe_response(record, says(quiet_s=4.0), "r")
    pool.record_failure(record, "x")
    pool.record_success(record, 0.1)
    clock.advance(3.9)
    assert pool.pick(SERVICE) is None
    clock.advance(0.2)
    assert pool.pick(SERVICE) is not None


def test_quiet_time_ends_with_the_last_that_was_asked_for():
    # Requests that were under way are answered after the first one, with less time left.
    availability, record = BackendAvailability(), backend()
    for now, quiet_s in ((0.0, 3.0), (0.1, 0.5), (0.2, 2.9)):
        availability.set_quiet(record, quiet_s, now)
    assert availability.quiet_end(record, 1.0) == pytest.approx(3.1)


def test_endless_quiet_time_is_bounded():
    availability, record = BackendAvailability(), backend()
    availability.set_quiet(record, 1e12, 0.0)
    assert not availability.is_permitted(record, MAX_QUIET_S - 0.1)
    assert availability.is_permitted(record, MAX_QUIET_S)


@pytest.mark.parametrize("seed", range(20))
def test_burst_under_way_when_quiet_is_asked_for_reaches_no_server_afterwards(seed):
    # Rule: at most two requests between half a second after the answer and the end of the quiet time. Requests are
    # chosen, arrive 1 to 20 ms later and are answered another 1 to 20 ms later.
    chance = random.Random(seed)
    records = [backend(f"b-{number}") for number in range(4)]
    availability = BackendAvailability()
    quiet_from_by_id = {record.id: chance.uniform(0.2, 1.0) for record in records}
    events = [(chance.uniform(0.0, 3.0), number, "choose", None, 0.0) for number in range(3000)]
    asked_by_id, late_by_id, arrived = {}, dict.fromkeys(quiet_from_by_id, 0), 0
    while events:
        events.sort(key=lambda entry: entry[:2], reverse=True)
        now, number, step, record, quiet_s = events.pop()
        if step == "choose":
            usable = [each for each in records if availability.is_permitted(each, now)]
            if usable:
                events.append((now + chance.uniform(0.001, 0.02), number, "arrive", chance.choice(usable), 0.0))
        elif step == "arrive":
            arrived += 1
            quiet_until = quiet_from_by_id[record.id] + 1.5
            asked_at = asked_by_id.get(record.id)
            late_by_id[record.id] += asked_at is not None and asked_at + 0.5 < now < quiet_until
            if quiet_from_by_id[record.id] <= now < quiet_until:
                asked_by_id.setdefault(record.id, now)
                events.append((now + chance.uniform(0.001, 0.02), number, "answer", record, quiet_until - now))
        else:
            availability.set_quiet(record, quiet_s, now)
    assert arrived > 500 and asked_by_id.keys() == quiet_from_by_id.keys()
    assert max(late_by_id.values()) == 0


def in_data_centres(*data_centres, stage=""):
    records = [backend(data_centre, stage=stage) for data_centre in data_centres]
    for record in records:
        record.data_centre = record.id
    return records


def test_server_in_an_evacuated_data_centre_is_not_used_until_it_is_taken_back():
    here, other = in_data_centres("z1", "z2")
    pool, view, _ = pool_of(here, other)
    view.apply_evacuations(messages.Evacuations(1, ["z1"]))
    assert {pool.pick(SERVICE).id for _ in range(50)} == {"z2"}
    assert not pool.is_usable(here) and pool.is_usable(other) and pool.avoided_ids() == ["z1"]
    assert pool.pick(SERVICE, exclude={"z2"}) is None
    view.apply_evacuations(messages.Evacuations(2, []))
    assert pool.pick(SERVICE).id == "z1" and pool.is_usable(here) and not pool.avoided_ids()


def test_request_is_refused_at_once_if_all_servers_are_evacuated():
    # It waited for a server that became free, as for one that is quiet, up to the caller's patience.
    here, other = in_data_centres("z1", "z2")
    pool, view, _ = pool_of(here, other)
    view.apply_evacuations(messages.Evacuations(1, ["z1", "z2"]))
    assert pool.permitted_in_s(SERVICE, "", "") == float("inf")
    view.apply_evacuations(messages.Evacuations(2, ["z1"]))
    assert pool.permitted_in_s(SERVICE, "", "") is None


def test_request_waits_for_a_quiet_server_outside_the_evacuated_data_centre_only():
    here, other = in_data_centres("z1", "z2")
    pool, view, clock = pool_of(here, other)
    view.apply_evacuations(messages.Evacuations(1, ["z1"]))
    pool.observe_response(here, says(quiet_s=1.0), "r")
    pool.observe_response(other, says(quiet_s=5.0), "r")
    assert pool.permitted_in_s(SERVICE, "", "") == pool.retry_in_s(SERVICE, "", "") == pytest.approx(5.0)
    clock.advance(2.0)
    assert pool.permitted_in_s(SERVICE, "", "") == pytest.approx(3.0)
