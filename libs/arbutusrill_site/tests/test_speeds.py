"""Tests of the estimates of engine speed and service work."""

from arbutusrill_site._speeds import EngineSpeeds


def test_prefill_fraction_is_known_after_enough_requests():
    speeds = EngineSpeeds()
    for _ in range(14):
        speeds.learn_request("model", 3000, 840, 33000)
    assert speeds.prefill_fraction("model") is None
    speeds.learn_request("model", 3000, 840, 33000)
    assert 0.1 < speeds.prefill_fraction("model") < 0.3


def test_prefill_engine_overlaps_the_next_prompt_with_the_end_of_the_current_one():
    estimate = EngineSpeeds().unit_time_of("engine-1", "prefill")
    estimate.add_prompt(2000, 10.0)
    assert 10.0 < estimate.busy_until < estimate.ends_at(2000, 10.0) - 2000 * estimate.unit_s + 1e-9 < 10.09


def test_stream_duration_follows_the_events_observed_for_the_expected_output():
    speeds = EngineSpeeds()
    for _ in range(15):
        speeds.learn_decode("engine-1", "model", took_s=4.0, events=80, output_tokens=800)
    assert 3.9 < speeds.stream_duration_s("engine-1", "model", 800) < 5.0
    assert speeds.stream_duration_s("engine-2", "model", 800) is None


def test_prompts_newer_than_a_completed_one_count_as_queued():
    # An engine slower than estimated was assigned prompts faster than it processed them, until they timed out at 1.5 s.
    speeds = EngineSpeeds()
    estimate = speeds.unit_time_of("engine-1", "prefill")
    for number in range(30):
        estimate.add_prompt(3000, 10.0 + number * 0.1)
    assert estimate.ends_at(3000, 13.0) < 13.3
    for number in range(3):
        speeds.learn_prefill("engine-1", 0.9 + number * 0.1, 3000, 11.0 + number)
    assert estimate.ends_at(3000, 13.0) > 14.0


def test_prefill_that_ends_sooner_than_expected_moves_the_queue_forward():
    # The end expected was only ever moved later: idle engines counted as busy, and decode engines read the prompts.
    speeds = EngineSpeeds()
    estimate = speeds.unit_time_of("engine-1", "prefill")
    for number in range(10):
        estimate.add_prompt(3000 + number, 10.0)
    speeds.learn_prefill("engine-1", 0.3, 3009, 11.0)  # the last one
    assert estimate.busy_until < 10.3


def test_time_of_a_prompt_that_another_leader_assigned_counts_only_if_it_is_short():
    # The first report after a change of leader set an engine of 45 us a token to 188, and its queue to 0.8 s.
    speeds = EngineSpeeds()
    speeds.learn_prefill("engine-1", 0.404, 2151, 10.0)
    assert speeds.unit_time_of("engine-1", "prefill").unit_s < 0.00005
    speeds.learn_prefill("engine-1", 0.07, 2151, 10.0)
    assert speeds.unit_time_of("engine-1", "prefill").unit_s < 0.000035


def test_queueing_time_at_an_engine_does_not_lower_its_speed():
    # Two busy engines were estimated at half the capacity of one, so that a burst switched decode engines to prefill.
    speeds = EngineSpeeds()
    for start in range(3):
        speeds.unit_time_of("engine-1", "prefill").add_prompt(3000, start)
        speeds.learn_prefill("engine-1", 0.135, 3000, start + 0.135)
    for number in range(40):
        speeds.unit_time_of("engine-1", "prefill").add_prompt(3000, 10.0 + number * 0.05)
        speeds.learn_prefill("engine-1", 0.3 + number * 0.02, 3000, 10.3 + number * 0.07)
    assert speeds.relative_speed("engine-1", "prefill") > 0.9


def test_prompt_that_an_engine_had_kept_does_not_raise_its_speed():
    # 3233 tokens in 40 ms set an engine of 42 us a token to 12: in the next burst, 8 of its 18 prompts timed out.
    speeds = EngineSpeeds()
    estimate = speeds.unit_time_of("engine-1", "prefill")
    for start, took_s in enumerate((0.126, 0.13, 0.04, 0.126, 0.135, 0.13)):
        estimate.add_prompt(3000, start)
        speeds.learn_prefill("engine-1", took_s, 3000, start + took_s)
    assert estimate.unit_s > 0.00004
    for start in range(10, 13):
        estimate.add_prompt(3000, start)
        speeds.learn_prefill("engine-1", 0.06, 3000, start + 0.06)
    assert estimate.unit_s < 0.000021
