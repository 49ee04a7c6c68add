"""Replays of uneven load and failing servers before a fleet of entry VMs; see `plain_fleet`."""

from collections import Counter

import pytest
from arbutusrill_base import AnswerTimes, ManualClock
from arbutusrill_site import FleetReport, SiteView
from arbutusrill_wire import messages

from arbutusrill_gateway._caller_returns import CallerReturns
from arbutusrill_gateway._fleet_health import FleetHealth, SharedCounts
from arbutusrill_gateway._observations import ServerCounts
from arbutusrill_gateway._plain_load import ServerLoad, ServiceState
from arbutusrill_gateway._plain_servers import PlainNeed, PlainServers

from .plain_fleet import SERVICE, Fleet


def play(seconds=16.0, seeds=(1, 2), **options):
    results, broken = Counter(), Counter()
    for seed in seeds:
        fleet = Fleet(seed=seed, **options)
        results += fleet.run(seconds)
        broken += Counter(int(at) for at in fleet.broken_at)
    return results, broken


def worth(results):
    return (results["in time"] + 0.3 * results["late"]) / results["offered"]


def burst(now):
    return 350.0 if 5 < now < 9 else 100.0


def resets(server, now):
    return 1.0 if server == 1 and 5 < now < 12 else 0.0


def loses_part(server, now):
    return 0.3 if server == 1 and 5 < now < 9 else 0.0


def loses_answers(server, now):
    return 0.4 if server != 1 and 5 < now < 12 else 0.0


def test_burst_above_capacity_is_not_sent_into_full_queues():
    # Each VM sent into queues that it could not see: full servers turned away a third of a burst.
    shared, alone = play(rate=burst)[0], play(rate=burst, legacy=True)[0]
    assert shared["turned away by servers"] < 0.25 * alone["turned away by servers"]
    assert worth(shared) > worth(alone) + 0.03


def test_late_requests_of_a_burst_that_are_sent_at_the_end_of_their_wait_are_answered_within_their_limit():
    # They were sent with 0.2 s left to servers that answer within 0.3 s: many timed out, held for most of their time.
    results, _ = play(rate=lambda now: 270.0 if 5 < now < 9 else 100.0, failing=loses_part)
    assert results["timed out"] < 7 and results["held in vain"] < 7
    assert worth(results) > 0.81


def test_wait_keeps_the_objective_for_the_answer_but_no_more_than_half_of_the_time():
    state = ServiceState([ServerLoad("a", 6, 3.0, 0, 0.06)])
    assert state.answer_reserve_s(objective_s=0.4, time_limit_s=2.0) == 0.4
    assert state.answer_reserve_s(objective_s=1.8, time_limit_s=2.0) == 1.0
    full = ServiceState([ServerLoad("a", 6, 59.0, 0, 0.06)])
    assert full.answer_reserve_s(objective_s=0.4, time_limit_s=2.0) == pytest.approx(1.8)


def test_calm_load_is_served_in_time_and_hardly_turned_away():
    results, _ = play(rate=lambda now: 100.0)
    assert results["in time"] > 0.96 * results["offered"]
    assert results["turned away by servers"] < 0.05 * results["offered"] and not results["refused"]


def test_requests_of_a_calm_load_mostly_go_where_a_connection_is_kept():
    # The server was drawn without regard to kept connections: 37% of the sends opened one, since each VM sends few.
    shared, _ = play(rate=lambda now: 60.0, vms=56)
    assert shared["new connections"] < 0.25 * shared["offered"]
    assert shared["in time"] > 0.96 * shared["offered"]


def test_kept_connection_does_not_count_where_slots_are_taken_or_sends_fail():
    idle, busy, failing = (
        ServerLoad("a", 6, in_progress, 0, 0.06, failure_share)
        for in_progress, failure_share in ((1.0, 0.0), (6.0, 0.0), (1.0, 0.3))
    )
    assert idle.weight(0.3, True, is_connected=True) > 4 * idle.weight(0.3, True)
    assert all(load.weight(0.3, True, is_connected=True) == load.weight(0.3, True) for load in (busy, failing))


def test_server_that_resets_everything_is_out_for_all_within_a_second_and_comes_back():
    fleet = Fleet(rate=lambda now: 100.0, failing=resets)
    fleet.run(15.0)
    broken = Counter(int(at) for at in fleet.broken_at)
    assert broken[5] < 33 and all(broken[second] <= 8 for second in range(6, 12))
    assert not any(vm.plain.out_ids() for vm in fleet.vms)
    sends = fleet.sends["s1"]
    fleet.run(18.0)
    assert fleet.sends["s1"] - sends > 40


def test_servers_that_lose_a_part_of_the_answers_get_fewer_requests():
    shared, alone = (play(rate=lambda now: 100.0, failing=loses_answers, legacy=each)[0] for each in (False, True))
    assert shared["broken"] < 0.75 * alone["broken"] and shared["in time"] > alone["in time"]


def counts(others_failed=0, others_answered=0, failing_vms=0, vms=9, **own):
    others = ServerCounts(failed=others_failed, answered=others_answered)
    return SharedCounts(ServerCounts(**own), others, vms, failing_vms)


def test_failures_of_one_link_leave_the_server_to_the_other_vms():
    health = FleetHealth()
    assert not health.update("a", counts(others_failed=9, others_answered=1, failing_vms=1, answered=1), 0.0)
    assert not health.update("a", counts(others_failed=9, others_answered=30, failing_vms=5), 0.0)
    # The VM whose link fails sends elsewhere by its own observations.
    assert health.update("a", counts(others_answered=30, failed=3), 0.0) and health.is_out("a")
    # Answers that the others get do not bring it back for that VM; one of its own trials does.
    assert not health.update("a", counts(others_answered=30), 1.0)
    assert health.update("a", counts(others_answered=30, answered=1), 1.5) and not health.is_out("a")


def test_only_vm_that_uses_a_server_leaves_it_out_and_tries_it_again():
    health = FleetHealth()
    assert health.update("a", counts(vms=0, failed=4), 0.0)
    assert not health.update("a", counts(vms=0), 2.0) and health.update("a", counts(vms=0), 3.5)


def test_server_is_back_after_two_answers_one_after_the_other():
    # With a trial a second, two answers hardly ever came within the half second that is counted.
    health = FleetHealth()
    assert health.update("a", counts(others_failed=5, failing_vms=4), 0.0)
    assert not health.update("a", counts(others_answered=1), 1.0)
    assert not health.update("a", counts(others_answered=1), 1.5)
    assert not health.update("a", counts(others_failed=1, failing_vms=1), 1.8)
    assert not health.update("a", counts(others_answered=1), 2.5)
    assert health.update("a", counts(others_answered=1), 3.5) and not health.is_out("a")


def plain_servers(vm_count=30, slots=6):
    clock = ManualClock()
    view = SiteView(clock)
    records = [messages.BackendRecord(id_, 1, 1, SERVICE, "h:1", "z1", slots, False, "", []) for id_ in "ab"]
    view.backends_by_id = {record.id: record for record in records}
    return PlainServers(view, "z1", clock, lambda: vm_count), view, clock, records


def test_without_a_leader_only_own_observations_count_and_a_vm_keeps_to_its_share():
    plain, view, clock, records = plain_servers()
    failing = messages.BackendUse("a", 20, 0, sent=20, failed=20, observing_vms=9, failing_vms=9)
    view.fleet = FleetReport({"a": failing}, {}, clock.monotonic())
    plain.use_messages({})
    assert plain.out_ids() == ["a"]
    clock.advance(5.0)
    plain.use_messages({})
    assert not plain.out_ids()
    state = plain.state(SERVICE, records, {"a": 2, "b": 1})
    assert not state.fleet_known and state.admitted_fraction(0.3) == 1.0
    assert plain.state(SERVICE, records, {"a": 2, "b": 2}).admitted_fraction(0.3) == 0.0


def test_servers_that_announce_no_slots_have_no_limit():
    plain, view, clock, records = plain_servers(slots=0)
    busy = {id_: messages.BackendUse(id_, 500, 0, sent=300, observing_vms=9) for id_ in "ab"}
    view.fleet = FleetReport(busy, {SERVICE: messages.ServiceLoad(SERVICE, 900)}, clock.monotonic())
    view.other_vms_requests_by_backend = dict.fromkeys("ab", 500)
    assert plain.state(SERVICE, records, {}).admitted_fraction(0.3) == 1.0


def test_wait_behind_other_requests_is_not_the_speed_of_a_server():
    plain, _, _, records = plain_servers()
    for _ in range(5):
        plain.record_answer(records[0], 0.24, in_progress=23, is_error=False)
    plain.use_messages({})
    assert plain.state(SERVICE, records, {}).servers[0].work_s == pytest.approx(0.06)


def test_own_report_has_what_was_seen_in_the_last_moments_and_no_more():
    plain, _, clock, records = plain_servers()
    plain.record_sent(records[0])
    plain.record_failure(records[0])
    plain.record_arrival(SERVICE, "r", None)
    (use,) = plain.use_messages({})
    assert (use.id, use.sent, use.failed, use.requests) == ("a", 1, 1, 0)
    assert [(load.name, load.offered) for load in plain.load_messages()] == [(SERVICE, 1)]
    clock.advance(1.5)
    assert not plain.use_messages({}) and not plain.load_messages()


def test_late_requests_go_only_into_spare_room_by_the_share_of_those_that_wait():
    servers = [ServerLoad("a", 6, in_progress, 0, 0.06) for in_progress in (2.0, 6.0)]
    assert ServiceState(servers[1:], 20.0, own_waiting=1).spare_per_s() == 0.0
    alone = ServiceState(servers[:1], 20.0, own_waiting=1).spare_per_s()
    assert ServiceState(servers[:1], 20.0, own_waiting=1, others_waiting=3).spare_per_s() == pytest.approx(alone / 4)


def test_caller_that_returns_is_told_by_its_shorter_time_limit():
    returns = CallerReturns()
    assert not any(returns.observe("r", 4.0, now / 10, now / 10) for now in range(20))
    assert returns.observe("r", 2.9, 2.0, 2.0) and not returns.observe("r", None, 2.0, 2.0)
    # Where time limits differ by themselves nobody is taken for one that returns.
    assert not any([returns.observe("mixed", 1.0 + now % 3, now / 10, now / 10) for now in range(100)][50:])


def test_short_limit_that_is_usual_while_nobody_is_refused_is_no_return():
    # Callers with a shorter limit of their own waited behind all others while servers were busy.
    plain, _, clock, records = plain_servers()
    for number in range(40):
        clock.advance(0.5)
        plain.record_arrival(SERVICE, "own", 4.0 if number % 3 else 2.0)
        plain.record_arrival(SERVICE, "same", 4.0)
    assert plain.state(SERVICE, records, {"a": 60, "b": 60}).has_idle_slots is False
    assert not plain.record_arrival(SERVICE, "own", 2.0)
    assert plain.record_arrival(SERVICE, "same", 2.0)


def test_trials_of_a_server_that_is_out_are_few_over_all_vms():
    plain, view, clock, records = plain_servers()
    failing = messages.BackendUse("a", 0, 0, sent=20, failed=20, observing_vms=9, failing_vms=9)
    view.fleet = FleetReport({"a": failing}, {SERVICE: messages.ServiceLoad(SERVICE, 100)}, clock.monotonic())
    state = plain.state(SERVICE, records, {})
    chosen = Counter(plain.choose(state, PlainNeed(False, 0.3), True) for _ in range(2000))
    assert 20 < chosen["a"] < 200


def test_answer_times_forget():
    times = AnswerTimes()
    for _ in range(100):
        times.record(2.0, 0.0)
    for second in range(10, 90, 10):
        times.record(0.1, float(second))
    assert times.quantile(0.5) < 0.2
