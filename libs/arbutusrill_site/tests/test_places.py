"""Tests of the place ledger: overcommitted engines, unfair queueing and places that are never freed."""

import threading
import time

from arbutusrill_base import ManualClock, SystemClock
from arbutusrill_wire import messages

from arbutusrill_site import Engine, PlaceLedger


def engine(name, stage="decode", **changed):
    record = messages.BackendRecord(name, 1, 1, "model", f"10.0.0.1:{len(name)}", "z1", 8, False, stage, [])
    for field, value in changed.items():
        setattr(record, field, value)
    return record


def ledger(*records, clock=None, tokens=1000):
    return PlaceLedger(clock or SystemClock(), lambda: list(records), lambda service: Engine(16, tokens, 0.5))


def place_request(request, tokens=400, wait_ms=0, late_in_ms=900, patience_ms=5000, **more):
    return messages.PlaceRequest(
        "vm", 1, request, "model", "", tokens, tokens, wait_ms, late_in_ms, True, [], patience_ms, **more
    )


def freed(place):
    return messages.FreePlace("vm", 1, place, [])


def test_memory_of_an_engine_is_not_overcommitted():
    places = ledger(engine("d"))
    first, second, third = (places.place(place_request(name)) for name in "abc")
    assert first.place and second.place
    assert not third.place and third.wait_ms > 0
    places.free(freed(first.place))
    assert places.place(place_request("c")).decode == "d"


def test_prompt_larger_than_an_engine_gets_an_idle_engine():
    places = ledger(engine("d"))
    assert places.place(place_request("a", tokens=5000)).decode == "d"


def test_draining_switching_and_avoided_engines_are_not_chosen():
    switching = engine("switching")
    switching.ordered_stage = "prefill"
    places = PlaceLedger(
        SystemClock(),
        lambda: [engine("leaving", draining=True), switching, engine("bad"), engine("good")],
        lambda service: Engine(8, 1000, 0.5),
    )
    request = place_request("a")
    request.avoid = ["bad"]
    assert places.place(request).decode == "good"


def test_waiting_request_gets_a_freed_place():
    places = ledger(engine("d"))
    held = [places.place(place_request(name)) for name in "ab"]
    answers = []
    waiting = threading.Thread(target=lambda: answers.append(places.place(place_request("c", wait_ms=2000))))
    waiting.start()
    time.sleep(0.05)
    places.free(freed(held[0].place))
    waiting.join(1)
    assert answers[0].decode == "d"


def test_polling_request_keeps_its_position_and_late_requests_follow():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    held = [places.place(place_request(name)) for name in "ab"]
    assert not places.place(place_request("late", late_in_ms=0)).place
    assert not places.place(place_request("first")).place
    assert not places.place(place_request("second")).place
    places.free(freed(held[0].place))
    assert not places.place(place_request("second")).place
    assert not places.place(place_request("late", late_in_ms=0)).place
    assert places.place(place_request("first")).place


def test_deadline_of_a_retried_request_counts_from_its_first_attempt():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    held = [places.place(place_request(name)) for name in "ab"]
    assert places.place(place_request("try-1", patience_ms=100, content=7)).decode == "d"  # in the queue of the engine
    assert places.place(place_request("try-2", patience_ms=100, content=8)).refused
    clock.advance(1.5)
    assert not places.place(place_request("try-3", content=8)).place
    assert not places.place(place_request("new", content=9)).place
    places.free(freed(held[0].place))
    places.free(freed(held[1].place))
    assert not places.place(place_request("try-3", content=8)).place
    assert places.place(place_request("new", content=9)).place


def test_shortest_job_within_its_deadline_comes_first():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    held = [places.place(place_request(name)) for name in "ab"]
    short = place_request("short", tokens=400)
    long = place_request("long", tokens=400)
    short.prompt_tokens, long.prompt_tokens = 350, 100
    assert not places.place(long).place
    assert not places.place(short).place
    places.free(freed(held[0].place))
    assert not places.place(long).place
    assert places.place(short).place


def test_request_whose_prefill_cannot_end_in_time_counts_as_late():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock, tokens=20000)
    held = places.place(place_request("a", tokens=18000))
    assert not places.place(place_request("too-late", tokens=10000, late_in_ms=300)).place
    assert not places.place(place_request("in-time", tokens=8500, late_in_ms=900)).place
    places.free(freed(held.place))
    assert not places.place(place_request("too-late", tokens=10000, late_in_ms=300)).place
    assert places.place(place_request("in-time", tokens=8500, late_in_ms=900)).place


def test_memory_released_before_it_is_needed_is_reserved_again():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock, tokens=1000)

    def streamed(name):
        request = place_request(name, tokens=400)
        request.prompt_tokens = 50
        return places.place(request).place

    for number in range(20):
        speeds = [messages.EngineSpeed("d", 6.0, 100)]
        places.free(messages.FreePlace("vm", 1, streamed(f"learn-{number}"), speeds, []))
    assert streamed("a") and streamed("b") and not streamed("c")
    clock.advance(5.5)
    assert streamed("c") and not streamed("d")


def test_request_of_a_failed_engine_precedes_other_late_requests():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    held = [places.place(place_request(name)) for name in "ab"]
    assert not places.place(place_request("late", late_in_ms=0)).place
    assert not places.place(place_request("failed", late_in_ms=0, continued=True)).place
    assert not places.place(place_request("in-time")).place
    for place, name in zip(held, ("in-time", "failed"), strict=True):
        places.free(freed(place.place))
        assert not places.place(place_request("late", late_in_ms=0)).place
        assert places.place(
            place_request(name, late_in_ms=0 if name == "failed" else 900, continued=name == "failed")
        ).place


def test_request_that_polls_late_does_not_block_those_behind_it():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    held = [places.place(place_request(name)) for name in "ab"]
    assert not places.place(place_request("slow")).place
    assert not places.place(place_request("behind")).place
    clock.advance(0.1)
    places.free(freed(held[0].place))
    assert places.place(place_request("behind")).place


def test_request_whose_patience_has_ended_leaves_the_queue():
    places = ledger(engine("d"))
    held = [places.place(place_request(name)) for name in "ab"]
    places.free(freed(held[1].place))
    places.free(freed(held[0].place))
    held = [places.place(place_request(name)) for name in "ab"]
    ended = place_request("ended", wait_ms=1200, patience_ms=1200)
    assert not places.place(ended).place
    places.free(freed(held[0].place))
    assert places.place(place_request("behind")).place


def test_request_with_too_long_an_expected_wait_is_queued_at_an_engine_or_refused():
    places = ledger(engine("d"))
    for name in "ab":
        places.place(place_request(name))
    queued = places.place(place_request("c", patience_ms=100))
    assert queued.decode == "d" and queued.prefill == ""
    answer = places.place(place_request("d", patience_ms=100))
    assert answer.refused and answer.wait_ms > 100
    places.free(freed(queued.place))
    assert places.place(place_request("e", patience_ms=100)).decode == "d"


def test_memory_of_a_request_in_the_queue_of_an_engine_is_counted():
    places = ledger(engine("d"))
    held = [places.place(place_request(name)) for name in "ab"]
    assert places.place(place_request("c", patience_ms=100)).decode == "d"
    places.free(freed(held[0].place))
    # The request queued at the engine takes the memory that was freed.
    assert not places.place(place_request("e")).place


def test_ticket_of_a_request_that_stopped_polling_expires():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    held = [places.place(place_request(name)) for name in "ab"]
    places.place(place_request("expired"))
    places.place(place_request("polling"))
    clock.advance(1.0)
    places.free(freed(held[0].place))
    assert places.place(place_request("polling")).place


def test_unreported_place_is_freed_and_reported_ones_survive_a_change_of_leader():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    place = places.place(place_request("a", tokens=900)).place
    clock.advance(2.0)
    places.reconcile_places("vm", 1, [])
    assert places.place(place_request("b", tokens=900)).place
    places.begin_term(2)
    places.reconcile_places("vm", 1, [messages.HeldPlace(place, "d", 900)])
    assert not places.place(place_request("c", tokens=900)).place


def test_unresponsive_engine_is_excluded_for_all_entry_vms_until_it_announces_itself():
    # Unreachable engines look idle: after 1.5 s they got dozens of places a second again, until they were dropped.
    clock, unreachable = ManualClock(), engine("unreachable")
    places = ledger(unreachable, clock=clock)
    place = places.place(place_request("a")).place
    places.free(messages.FreePlace("vm", 1, place, [], ["unreachable"]))
    unreachable.sequence += 1
    assert not places.place(place_request("b")).place
    clock.advance(2.0)
    assert places.place(place_request("b")).place
    places.free(messages.FreePlace("vm", 1, 0, [], ["unreachable"]))
    clock.advance(2.0)
    assert not places.place(place_request("c")).place
    unreachable.started_ms, unreachable.sequence = unreachable.started_ms + 1, 1  # restarted
    assert places.place(place_request("c")).place


def test_report_about_an_engine_does_not_count_as_a_release():
    # Each report was counted as the release of a place, which made the expected wait too short.
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    for name in "ab":
        places.place(place_request(name))
    expected_ms = places.place(place_request("c")).wait_ms
    for _ in range(20):
        places.free(messages.FreePlace("vm", 1, 0, [], ["other"]))
    assert places.place(place_request("c")).wait_ms == expected_ms


def test_places_of_a_dropped_entry_vm_are_freed():
    places = ledger(engine("d"))
    places.place(place_request("a", tokens=900))
    places.free_places_of("vm", 1)
    assert places.place(place_request("b", tokens=900)).place


def test_decode_engine_runs_the_prefill_when_the_prefill_engines_are_overloaded():
    places = ledger(engine("d"), engine("p", "prefill"), tokens=10**9)
    answers = [places.place(place_request(str(number), tokens=4000)) for number in range(12)]
    assert answers[0].prefill == "p"
    assert answers[-1].prefill == "" and answers[-1].decode == "d"


def test_prefill_engine_whose_answer_broke_is_used_less_for_a_while():
    # In 4 s in which half of the answers of some prefill engines were lost, 135 prompts were read in vain: the leader
    # learned nothing from the entry VMs, each of which met an engine once.
    clock = ManualClock()
    places = ledger(engine("d"), engine("p", "prefill"), engine("other", "prefill"), clock=clock, tokens=10**9)
    places.free(messages.FreePlace("vm", 1, 0, [], [], broken=["p"]))
    for number in range(3):
        assert places.place(place_request(str(number), tokens=1000)).prefill == "other"
        clock.advance(0.5)
    clock.advance(1.0)
    used = {places.place(place_request(f"later-{number}", tokens=1000)).prefill for number in range(2)}
    assert used == {"p", "other"}


def busy_prefill_ledger(clock):
    """Returns a ledger whose only prefill engine is busy for longer than a decode engine takes for a prompt."""
    places = ledger(engine("d"), engine("p", "prefill"), clock=clock, tokens=10**9)
    places.speeds.unit_time_of("p", "prefill").busy_until = clock.monotonic() + 0.5
    return places


def test_decode_engine_runs_a_short_prefill_while_the_prefill_engines_are_busy():
    # In bursts, requests waited up to 0.75 s for a prefill engine while decode engines had spare capacity.
    clock = ManualClock()
    places = busy_prefill_ledger(clock)
    assert places.place(place_request("running", tokens=10, event_gap_ms=300)).place
    clock.advance(0.2)
    assert places.place(place_request("new", tokens=2000, event_gap_ms=300)).prefill == ""


def test_decode_engine_runs_no_prefill_that_pauses_its_streams_for_too_long():
    clock = ManualClock()
    places = busy_prefill_ledger(clock)
    assert places.place(place_request("running", tokens=10, event_gap_ms=300)).place
    clock.advance(0.2)
    assert places.place(place_request("long", tokens=3200, event_gap_ms=300)).prefill == "p"
    places = busy_prefill_ledger(clock)
    assert places.place(place_request("running", tokens=10, event_gap_ms=300)).place
    clock.advance(0.2)
    assert places.place(place_request("first", tokens=1000, event_gap_ms=300)).prefill == ""
    assert places.place(place_request("second", tokens=1000, event_gap_ms=300)).prefill == "p"


def test_event_gaps_of_reported_places_are_kept_after_a_change_of_leader():
    places = busy_prefill_ledger(ManualClock())
    places.reconcile_places("vm", 1, [messages.HeldPlace(1, "d", 400, "model", 350, 500, 100)])
    assert places.place(place_request("new", tokens=2000, event_gap_ms=300)).prefill == "p"


def test_new_leader_counts_reported_streams_by_their_forecast_memory():
    # Counted with its full memory, a stream kept others from the engine for seconds after a change of leader.
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock, tokens=1000)
    for number in range(20):
        request = place_request(f"learn-{number}", tokens=400)
        request.prompt_tokens = 50
        held = places.place(request)
        places.free(messages.FreePlace("vm", 1, held.place, [messages.EngineSpeed("d", 6.0, 100)], []))
    clock.advance(10.0)
    places.begin_term(2)
    reported_places = [messages.HeldPlace(number, "d", 400, "model", 350, 5500) for number in (1, 2)]
    places.reconcile_places("vm", 1, reported_places)
    request = place_request("new", tokens=400)
    request.prompt_tokens = 50
    assert places.place(request).place
