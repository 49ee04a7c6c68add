"""Guards against engines that are overfilled, unfair lines and places that are never freed."""

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


def wanted(request, tokens=400, wait_ms=0, late_in_ms=900, patience_ms=5000, **more):
    return messages.PlaceRequest(
        "vm", 1, request, "model", "", tokens, tokens, wait_ms, late_in_ms, True, [], patience_ms, **more
    )


def freed(place):
    return messages.FreePlace("vm", 1, place, [])


def test_memory_of_an_engine_is_given_out_once():
    places = ledger(engine("d"))
    first, second, third = (places.place(wanted(name)) for name in "abc")
    assert first.place and second.place
    assert not third.place and third.wait_ms > 0
    places.free(freed(first.place))
    assert places.place(wanted("c")).decode == "d"


def test_prompt_larger_than_an_engine_gets_an_empty_one():
    places = ledger(engine("d"))
    assert places.place(wanted("a", tokens=5000)).decode == "d"


def test_draining_switching_and_avoided_engines_are_not_chosen():
    switching = engine("switching")
    switching.ordered_stage = "prefill"
    places = PlaceLedger(
        SystemClock(),
        lambda: [engine("leaving", draining=True), switching, engine("bad"), engine("good")],
        lambda service: Engine(8, 1000, 0.5),
    )
    request = wanted("a")
    request.avoid = ["bad"]
    assert places.place(request).decode == "good"


def test_request_that_waits_gets_the_place_that_comes_free():
    places = ledger(engine("d"))
    held = [places.place(wanted(name)) for name in "ab"]
    answers = []
    waiting = threading.Thread(target=lambda: answers.append(places.place(wanted("c", wait_ms=2000))))
    waiting.start()
    time.sleep(0.05)
    places.free(freed(held[0].place))
    waiting.join(1)
    assert answers[0].decode == "d"


def test_request_that_asks_again_keeps_its_turn_and_late_ones_wait_behind():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    held = [places.place(wanted(name)) for name in "ab"]
    assert not places.place(wanted("late", late_in_ms=0)).place
    assert not places.place(wanted("first")).place
    assert not places.place(wanted("second")).place
    places.free(freed(held[0].place))
    assert not places.place(wanted("second")).place
    assert not places.place(wanted("late", late_in_ms=0)).place
    assert places.place(wanted("first")).place


def test_caller_that_comes_back_is_late_from_its_first_try_and_new_callers_are_not():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    held = [places.place(wanted(name)) for name in "ab"]
    assert places.place(wanted("try-1", patience_ms=100, content=7)).decode == "d"  # in the engine's own queue
    assert places.place(wanted("try-2", patience_ms=100, content=8)).refused
    clock.advance(1.5)
    assert not places.place(wanted("try-3", content=8)).place
    assert not places.place(wanted("new", content=9)).place
    places.free(freed(held[0].place))
    places.free(freed(held[1].place))
    assert not places.place(wanted("try-3", content=8)).place
    assert places.place(wanted("new", content=9)).place


def test_shortest_request_that_can_meet_its_objective_comes_first():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    held = [places.place(wanted(name)) for name in "ab"]
    short = wanted("short", tokens=400)
    long = wanted("long", tokens=400)
    short.prompt_tokens, long.prompt_tokens = 350, 100
    assert not places.place(long).place
    assert not places.place(short).place
    places.free(freed(held[0].place))
    assert not places.place(long).place
    assert places.place(short).place


def test_request_whose_prefill_cannot_end_in_time_counts_as_late():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock, tokens=20000)
    held = places.place(wanted("a", tokens=18000))
    assert not places.place(wanted("hopeless", tokens=10000, late_in_ms=300)).place
    assert not places.place(wanted("in-time", tokens=2000, late_in_ms=900)).place
    places.free(freed(held.place))
    assert not places.place(wanted("hopeless", tokens=10000, late_in_ms=300)).place
    assert places.place(wanted("in-time", tokens=2000, late_in_ms=900)).place


def test_memory_that_is_free_before_it_is_filled_is_given_out():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock, tokens=1000)

    def streamed(name):
        request = wanted(name, tokens=400)
        request.prompt_tokens = 50
        return places.place(request).place

    for number in range(20):
        speeds = [messages.EngineSpeed("d", 6.0, 100)]
        places.free(messages.FreePlace("vm", 1, streamed(f"learn-{number}"), speeds, []))
    assert streamed("a") and streamed("b") and not streamed("c")
    clock.advance(5.5)
    assert streamed("c") and not streamed("d")


def test_request_whose_engine_has_failed_comes_before_the_other_late_ones():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    held = [places.place(wanted(name)) for name in "ab"]
    assert not places.place(wanted("late", late_in_ms=0)).place
    assert not places.place(wanted("failed", late_in_ms=0, continued=True)).place
    assert not places.place(wanted("in-time")).place
    for place, name in zip(held, ("in-time", "failed"), strict=True):
        places.free(freed(place.place))
        assert not places.place(wanted("late", late_in_ms=0)).place
        assert places.place(wanted(name, late_in_ms=0 if name == "failed" else 900, continued=name == "failed")).place


def test_request_that_is_slow_to_ask_again_does_not_hold_up_the_others():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    held = [places.place(wanted(name)) for name in "ab"]
    assert not places.place(wanted("slow")).place
    assert not places.place(wanted("behind")).place
    clock.advance(0.1)
    places.free(freed(held[0].place))
    assert places.place(wanted("behind")).place


def test_request_whose_patience_has_ended_leaves_the_line():
    places = ledger(engine("d"))
    held = [places.place(wanted(name)) for name in "ab"]
    places.free(freed(held[1].place))
    places.free(freed(held[0].place))
    held = [places.place(wanted(name)) for name in "ab"]
    ended = wanted("ended", wait_ms=1200, patience_ms=1200)
    assert not places.place(ended).place
    places.free(freed(held[0].place))
    assert places.place(wanted("behind")).place


def test_request_that_would_wait_beyond_its_patience_goes_to_an_engines_queue_or_is_refused_at_once():
    places = ledger(engine("d"))
    for name in "ab":
        places.place(wanted(name))
    queued = places.place(wanted("c", patience_ms=100))
    assert queued.decode == "d" and queued.prefill == ""
    answer = places.place(wanted("d", patience_ms=100))
    assert answer.refused and answer.wait_ms > 100
    places.free(freed(queued.place))
    assert places.place(wanted("e", patience_ms=100)).decode == "d"


def test_memory_of_a_request_in_an_engines_queue_is_counted():
    places = ledger(engine("d"))
    held = [places.place(wanted(name)) for name in "ab"]
    assert places.place(wanted("c", patience_ms=100)).decode == "d"
    places.free(freed(held[0].place))
    # One of two has left and the queued one has taken its memory.
    assert not places.place(wanted("e")).place


def test_turn_of_a_request_that_has_gone_silent_is_lost():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    held = [places.place(wanted(name)) for name in "ab"]
    places.place(wanted("gone"))
    places.place(wanted("here"))
    clock.advance(1.0)
    places.free(freed(held[0].place))
    assert places.place(wanted("here")).place


def test_place_that_its_holder_does_not_report_is_freed_and_reported_ones_are_kept_after_a_change_of_leader():
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    place = places.place(wanted("a", tokens=900)).place
    clock.advance(2.0)
    places.report("vm", 1, [])
    assert places.place(wanted("b", tokens=900)).place
    places.begin_term(2)
    places.report("vm", 1, [messages.HeldPlace(place, "d", 900)])
    assert not places.place(wanted("c", tokens=900)).place


def test_engine_that_one_entry_vm_cannot_reach_is_kept_from_all_until_it_is_heard_of():
    # Dark engines look empty: after 1.5 s they were given places again, dozens a second, until they were dropped.
    clock, dark = ManualClock(), engine("dark")
    places = ledger(dark, clock=clock)
    place = places.place(wanted("a")).place
    places.free(messages.FreePlace("vm", 1, place, [], ["dark"]))
    dark.sequence += 1
    assert not places.place(wanted("b")).place
    clock.advance(2.0)
    assert places.place(wanted("b")).place
    places.free(messages.FreePlace("vm", 1, 0, [], ["dark"]))
    clock.advance(2.0)
    assert not places.place(wanted("c")).place
    dark.started_ms, dark.sequence = dark.started_ms + 1, 1  # started again
    assert places.place(wanted("c")).place


def test_news_of_an_engine_frees_no_place():
    # Each one counted as a place that has come free, and waiting requests expected their turn too soon.
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock)
    for name in "ab":
        places.place(wanted(name))
    expected_ms = places.place(wanted("c")).wait_ms
    for _ in range(20):
        places.free(messages.FreePlace("vm", 1, 0, [], ["other"]))
    assert places.place(wanted("c")).wait_ms == expected_ms


def test_places_of_an_entry_vm_that_is_gone_are_freed():
    places = ledger(engine("d"))
    places.place(wanted("a", tokens=900))
    places.forget("vm", 1)
    assert places.place(wanted("b", tokens=900)).place


def test_prefill_engine_that_is_behind_leaves_the_prompt_to_the_decode_engine():
    places = ledger(engine("d"), engine("p", "prefill"), tokens=10**9)
    answers = [places.place(wanted(str(number), tokens=4000)) for number in range(12)]
    assert answers[0].prefill == "p"
    assert answers[-1].prefill == "" and answers[-1].decode == "d"


def busy_prefill_ledger(clock):
    """A ledger whose only prefill engine is expected to be busy for longer than a decode engine needs for a prompt."""
    places = ledger(engine("d"), engine("p", "prefill"), clock=clock, tokens=10**9)
    places.speeds.of("p", "prefill").busy_until = clock.monotonic() + 0.5
    return places


def test_decode_engine_reads_a_short_prompt_itself_while_the_prefill_engines_are_busy():
    # In bursts, requests waited for a prefill engine for up to 0.75 s while decode engines had time to spare.
    clock = ManualClock()
    places = busy_prefill_ledger(clock)
    assert places.place(wanted("running", tokens=10, event_gap_ms=300)).place
    clock.advance(0.2)
    assert places.place(wanted("new", tokens=2000, event_gap_ms=300)).prefill == ""


def test_decode_engine_reads_no_prompt_that_makes_its_streams_pause_for_too_long():
    clock = ManualClock()
    places = busy_prefill_ledger(clock)
    assert places.place(wanted("running", tokens=10, event_gap_ms=300)).place
    clock.advance(0.2)
    assert places.place(wanted("long", tokens=3200, event_gap_ms=300)).prefill == "p"
    places = busy_prefill_ledger(clock)
    assert places.place(wanted("running", tokens=10, event_gap_ms=300)).place
    clock.advance(0.2)
    assert places.place(wanted("first", tokens=1000, event_gap_ms=300)).prefill == ""
    assert places.place(wanted("second", tokens=1000, event_gap_ms=300)).prefill == "p"


def test_reported_streams_are_spared_long_pauses_after_a_change_of_leader():
    places = busy_prefill_ledger(ManualClock())
    places.report("vm", 1, [messages.HeldPlace(1, "d", 400, "model", 350, 500, 100)])
    assert places.place(wanted("new", tokens=2000, event_gap_ms=300)).prefill == "p"


def test_new_leader_counts_a_stream_by_what_it_fills_until_it_ends():
    # With its whole memory until its end, a stream kept others from the engine for seconds after a change of leader.
    clock = ManualClock()
    places = ledger(engine("d"), clock=clock, tokens=1000)
    for number in range(20):
        request = wanted(f"learn-{number}", tokens=400)
        request.prompt_tokens = 50
        held = places.place(request)
        places.free(messages.FreePlace("vm", 1, held.place, [messages.EngineSpeed("d", 6.0, 100)], []))
    clock.advance(10.0)
    places.begin_term(2)
    rows = [messages.HeldPlace(number, "d", 400, "model", 350, 5500) for number in (1, 2)]
    places.report("vm", 1, rows)
    request = wanted("new", tokens=400)
    request.prompt_tokens = 50
    assert places.place(request).place
