"""Tests of the speed that the owner learns of a server."""

from arbutusrill_pool._server import Speed


def learnt(tokens, seen_s, count):
    speed = Speed(10_000.0, 0.014)
    for _ in range(count):
        speed.learn_prefill(speed.prefill_s(tokens), seen_s)
    return speed


def test_short_prompts_do_not_make_a_server_look_slow():
    """Seen: six prefills of 2 tokens in 12 ms each raised the ratio to 3.75, since the fixed part hardly changes."""
    assert learnt(2, 0.012, 40).prefill_s(1000) < 0.2


def test_a_slow_server_is_learnt_from_long_prompts():
    assert 0.25 < learnt(1000, 0.3, 40).prefill_s(1000) < 0.35
