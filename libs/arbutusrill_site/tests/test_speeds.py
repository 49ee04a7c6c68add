"""Guards against speeds and shares of work that are learned late or wrongly."""

from arbutusrill_site._speeds import EngineSpeeds


def test_part_of_prefill_is_known_from_what_was_asked_for():
    speeds = EngineSpeeds()
    for _ in range(14):
        speeds.learn_work("model", 3000, 840, 33000)
    assert speeds.prefill_part("model") is None
    speeds.learn_work("model", 3000, 840, 33000)
    assert 0.1 < speeds.prefill_part("model") < 0.3


def test_prefill_engine_takes_the_next_prompt_before_it_has_answered():
    speed = EngineSpeeds().of("engine-1", "prefill")
    speed.give(2000, 10.0)
    assert 10.0 < speed.busy_until < speed.ends_at(2000, 10.0) - 2000 * speed.unit_s + 1e-9 < 10.09


def test_length_of_a_stream_follows_what_streams_needed_for_their_expected_output():
    speeds = EngineSpeeds()
    for _ in range(15):
        speeds.learn_decode("engine-1", "model", took_s=4.0, events=80, output_tokens=800)
    assert 3.9 < speeds.stream_s("engine-1", "model", 800) < 5.0
    assert speeds.stream_s("engine-2", "model", 800) is None


def test_prompts_that_an_engine_has_not_read_in_time_are_its_queue():
    # An engine slower than expected was given prompts faster than it read them, until they timed out after 1.5 s.
    speeds = EngineSpeeds()
    speed = speeds.of("engine-1", "prefill")
    for number in range(30):
        speed.give(3000, 10.0 + number * 0.1)
    assert speed.ends_at(3000, 13.0) < 13.3
    for number in range(3):
        speeds.learn_prefill("engine-1", 0.9 + number * 0.1, 3000, 11.0 + number)
    assert speed.ends_at(3000, 13.0) > 14.0


def test_time_in_the_queue_of_an_engine_does_not_count_as_slowness():
    # Two busy engines seemed to have the capacity of half a one, and decode engines were ordered to prefill in a burst.
    speeds = EngineSpeeds()
    for start in range(3):
        speeds.of("engine-1", "prefill").give(3000, start)
        speeds.learn_prefill("engine-1", 0.135, 3000, start + 0.135)
    for number in range(40):
        speeds.of("engine-1", "prefill").give(3000, 10.0 + number * 0.05)
        speeds.learn_prefill("engine-1", 0.3 + number * 0.02, 3000, 10.3 + number * 0.07)
    assert speeds.relative_speed("engine-1", "prefill") > 0.9
