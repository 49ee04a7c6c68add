"""Guards against speed estimates that drift away from the real speed of a server."""

from arbutusrill_pool._server import SpeedEstimate


def estimate_after_prefills(tokens, measured_s, count):
    speed = SpeedEstimate(10_000.0, 0.014)
    for _ in range(count):
        speed.observe_prefill(speed.prefill_duration_s(tokens), measured_s)
    return speed


def test_short_prompts_do_not_make_a_server_look_slow():
    """Six prefills of 2 tokens, 12 ms each, once raised `prefill_ratio` to 3.75, since most of the time is overhead."""
    assert estimate_after_prefills(2, 0.012, 40).prefill_duration_s(1000) < 0.2


def test_long_prompts_lower_the_estimated_speed_of_a_slow_server():
    assert 0.25 < estimate_after_prefills(1000, 0.3, 40).prefill_duration_s(1000) < 0.35
