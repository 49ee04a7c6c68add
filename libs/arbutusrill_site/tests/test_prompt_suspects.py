"""Guards against engines that crash one after the other for one part of a prompt, and against bars of sound parts."""

import random

import pytest
from arbutusrill_wire import decode, encode

from arbutusrill_site import PromptSuspects

BAR_S = 600.0


class Replay:
    """Feeds a `PromptSuspects` with crashes and answers on a clock of its own."""

    def __init__(self):
        self.suspects = PromptSuspects()
        self.now = 1000.0
        self.crash_count = 0
        self.memory_s = 0.0  # for so long the VMs know that a part was answered
        self.answered_at_by_part = {}

    def crash(self, *prompts, took_s=0.1, pause_s=1.0):
        """One engine crashes while requests with these prompts wait for their first event."""
        self.crash_count += 1
        self.now += pause_s
        began, oldest = self.now - took_s, self.now - self.memory_s
        for prompt in prompts:
            at_by_part = {part: self.answered_at_by_part.get(part, -1.0) for part in prompt.split()}
            parts = [part for part, at in at_by_part.items() if at < min(began, oldest)]
            answered = [part for part, at in at_by_part.items() if oldest <= at < began]
            self.suspects.record_crash(
                f"engine-{self.crash_count}", self.crash_count, parts, began, self.now, self.now, answered
            )

    def answer(self, prompt, pause_s=0.01):
        self.now += pause_s
        self.answered_at_by_part.update(dict.fromkeys(prompt.split(), self.now))
        self.suspects.record_success(prompt.split(), self.now, self.now)

    def is_refused(self, prompt):
        return any(bar.parts.issubset(prompt.split()) for bar in self.suspects.bars())

    def barred(self):
        return sorted("".join(sorted(bar.parts)) for bar in self.suspects.bars())


@pytest.fixture
def replay():
    return Replay()


def test_part_is_barred_after_three_crashes_and_its_neighbours_are_not(replay):
    # 105 engines ended one after the other.
    for number in range(3):
        assert not replay.is_refused("F D own-9")
        replay.crash(f"F D own-{number}")
        replay.answer(f"F sound-{number}")
    assert replay.is_refused("F D own-9") and replay.is_refused("G D own-9")
    assert not replay.is_refused("F sound-9") and not replay.is_refused("F own-1")


def test_two_crashes_bar_nothing(replay):
    replay.crash("F D a")
    replay.crash("F D b")
    assert not replay.barred() and replay.suspects.suspected()


def test_parts_that_always_crashed_together_are_barred_as_a_set_until_one_is_answered(replay):
    for number in range(3):
        replay.crash(f"F D {number}")
    assert replay.barred() == ["DF"]
    assert not replay.is_refused("F sound")
    replay.answer("F sound")
    assert replay.barred() == ["D"]


def test_repeats_of_one_request_bar_only_that_request_until_a_second_one_crashes(replay):
    for _ in range(3):
        replay.crash("F D same")
    assert replay.is_refused("F D same") and not replay.is_refused("F D other")
    replay.crash("F D other")
    assert replay.is_refused("F D third") and not replay.is_refused("F same")


def test_failure_of_many_engines_at_the_same_time_bars_nothing(replay):
    # A part that all requests share was on every engine of a data centre.
    for number in range(10):
        replay.crash(f"F a-{number}", f"F b-{number}", pause_s=0.002)
    assert not replay.barred()
    # Their callers ask again, and some meet an engine that fails a little later.
    for number in range(4):
        replay.crash(f"F c-{number}", took_s=0.5, pause_s=0.001)
        if number == 0:
            replay.answer("F a-1")
    assert not replay.barred()


def test_many_crashes_at_the_same_time_and_one_later_bar_a_part(replay):
    # Requests come faster than the first crash is noticed.
    for number in range(5):
        replay.crash(f"F D {number}", pause_s=0.01)
    replay.answer("F sound")
    assert not replay.barred()
    replay.crash("F D late")
    assert replay.barred() == ["D"]


def test_crash_reported_by_several_vms_counts_once(replay):
    for number in range(8):
        replay.suspects.record_crash("engine", 1, ["F", "D", str(number)], 1.0 + number, 1.5 + number, 2.0 + number)
    assert not replay.barred()
    replay.suspects.record_crash("engine", 2, ["F", "D", "x"], 20.0, 21.0, 21.0)
    assert not replay.barred()
    replay.suspects.record_crash("engine", 3, ["F", "D", "y"], 22.0, 23.0, 23.0)
    assert replay.barred() == ["DF"]


def test_first_part_of_sound_and_poisoned_requests_stays_usable(replay):
    for number in range(20):
        replay.crash(f"F D {number}", f"F victim-{number}", f"G victim-{number}")
        replay.answer(f"F answered-{number}")
        if number % 2:
            replay.answer(f"G answered-{number}")
    assert replay.barred() == ["D"]
    assert not replay.is_refused("F victim-1") and not replay.is_refused("G victim-1")


def test_part_whose_crashes_another_part_explains_is_not_barred(replay):
    # The first part F is rare and nothing of it was answered yet; the deadly part then comes with G.
    for number in range(3):
        replay.crash(f"F D {number}")
    replay.crash("G D 4")
    assert replay.barred() == ["D"]
    assert not replay.is_refused("F sound")


def test_answer_of_the_part_itself_starts_its_count_again(replay):
    replay.crash("F D 1")
    replay.crash("F D 2")
    replay.answer("F D 3")
    replay.crash("F D 4")
    replay.crash("F D 5")
    assert not replay.barred()
    replay.crash("F D 6")
    assert replay.barred() == ["DF"]


def test_answer_before_a_crash_does_not_outweigh_it(replay):
    # A part that engines had answered until lately crashed them for half a minute before it was barred.
    replay.memory_s = 30.0
    replay.answer("F D sound")
    answered_at = replay.now
    for number in range(5):
        assert not replay.is_refused("F D own-9")
        replay.crash(f"F D own-{number}")
        replay.suspects.record_success(["F", "D"], answered_at, replay.now)
    assert replay.is_refused("F D own-9")


def test_answer_of_a_barred_part_ends_its_bar(replay):
    for number in range(3):
        replay.crash(f"D {number}")
    revision = replay.suspects.bars_revision
    replay.answer("D in-flight")
    assert not replay.barred() and replay.suspects.bars_revision > revision


def test_bar_ends_and_returns_twice_as_long_after_one_further_crash(replay):
    for number in range(3):
        replay.crash(f"D {number}")
    for factor in (1, 2, 4):
        replay.now += BAR_S * factor - 1
        replay.suspects.expire(replay.now)
        assert replay.is_refused("D x")
        replay.now += 2
        replay.suspects.expire(replay.now)
        assert not replay.is_refused("D x")
        replay.crash(f"D again-{factor}")
        assert replay.is_refused("D x")


def test_old_evidence_is_forgotten(replay):
    replay.crash("F own")
    replay.now += 3600
    replay.suspects.expire(replay.now)
    assert not replay.suspects.suspected()


def test_table_is_bounded_and_keeps_barred_parts(replay):
    for number in range(3):
        replay.crash(f"D {number}")
    for number in range(1000):
        replay.crash(" ".join(f"p-{number}-{part}" for part in range(40)), pause_s=0.1)
    assert len(replay.suspects) <= 512 * 1024 / 32
    assert replay.barred() == ["D"]
    assert replay.suspects.suspected()[0] == "D" and sum(map(len, replay.suspects.suspected())) <= 16 * 1024
    assert len(encode(replay.suspects.record())) < 100_000


@pytest.mark.parametrize("count", [8, 65, 300, 2700])
@pytest.mark.parametrize("position", [0, 0.5, 1])
def test_deadly_part_is_barred_wherever_it_stands_in_a_long_prompt(replay, count, position):
    # Parts beyond the 64th were not looked at, nor those beyond the 2048th that were suspected at a time.
    shared = [f"{number:03x}" for number in range(count)]

    def prompt(*parts):
        return " ".join([*shared[: int(count * position)], *parts, *shared[int(count * position) :]])

    for number in range(3):
        replay.crash(prompt("dead", f"own-{number}"))
    assert replay.is_refused(prompt("dead", "own-9")) and not replay.is_refused(prompt("own-9"))
    record = replay.suspects.record()
    after = Replay()
    after.suspects.restore(decode(type(record), encode(record)), after.now)
    assert after.is_refused(prompt("dead", "own-9")) and not after.is_refused(prompt("own-9"))
    replay.answer(prompt("own-9"))
    assert replay.barred() == ["dead"]


def test_bars_of_long_prompts_do_not_grow_when_the_table_is_full(replay):
    # A barred set that had lost its deadly part would bar sound requests that share its other parts.
    shared = " ".join(f"{number:03x}" for number in range(2000))
    for number in range(3):
        replay.crash(f"{shared} dead own-{number}")
    for number in range(20):
        replay.crash(" ".join(f"p-{number}-{part}" for part in range(2700)))
        assert replay.is_refused(f"{shared} dead own-9") and not replay.is_refused(f"{shared} own-9")
    assert len(replay.suspects) <= 512 * 1024 / 32


def test_next_leader_has_the_bars_and_starts_their_periods_anew(replay):
    for number in range(3):
        replay.crash(f"F D {number}")
    replay.crash("E 1")
    replay.crash("E 2")
    record = replay.suspects.record()
    record = decode(type(record), encode(record))
    after = Replay()
    after.now, after.crash_count = 5.0, 100
    after.suspects.restore(record, after.now)
    assert after.barred() == ["DF"]
    after.now += BAR_S - 1
    after.suspects.expire(after.now)
    assert after.barred() == ["DF"]
    after.crash("E 3")
    assert "E" in after.barred()
    after.now += BAR_S
    after.suspects.expire(after.now)
    assert not after.barred()
    after.crash("F D 9")
    assert after.barred() == ["DF"]


def test_ended_bar_is_not_restored_as_a_bar(replay):
    for number in range(3):
        replay.crash(f"D {number}")
    replay.now += BAR_S + 1
    replay.suspects.expire(replay.now)
    after = Replay()
    after.crash_count = 100
    after.suspects.restore(replay.suspects.record(), after.now)
    assert not after.barred()
    after.crash("D again")
    assert after.barred() == ["D"]


@pytest.mark.parametrize("seed", range(50))
def test_random_days_bar_the_deadly_part_soon_and_no_sound_part(seed):
    # Sound requests share first and second parts with the deadly ones; other engines crash by themselves meanwhile.
    rng, replay = random.Random(seed), Replay()
    replay.memory_s = 30.0
    deadly_crashes = 0

    def sound(number):
        return f"first-{rng.randrange(3)} second-{rng.randrange(60)} {number}"

    for number in range(2000):
        prompt, victims = sound(number), [sound(f"victim-{number}-{other}") for other in range(2)]
        kind = rng.random()
        if kind < 0.03:
            if not replay.is_refused(f"{prompt} deadly x"):
                deadly_crashes += 1
                replay.crash(f"{prompt} deadly x-{number}", *victims, pause_s=0.5)
        elif kind < 0.035:
            replay.crash(*victims, pause_s=0.5)
        else:
            assert not replay.is_refused(prompt)
            replay.answer(prompt, pause_s=0.2)
    assert 3 <= deadly_crashes <= 5
    assert replay.barred() == ["deadly"]


def test_earlier_break_at_the_same_engines_does_not_hide_crashes(replay):
    # Connections of all engines broke at the same time, and the engines lived on; a deadly part came later.
    suspects = replay.suspects
    for number in range(1, 9):
        suspects.record_crash(f"engine-{number}", number, ["X"], 0.5, 1.0, 1.0)
    suspects.record_success(["X"], 2.0, 2.0)
    for number in range(5):
        replay.crash(f"F D {number}")
    assert replay.barred() == ["DF"]


def test_long_wait_of_another_request_at_the_engine_does_not_hide_its_crash(replay):
    # A sound request had waited at each engine for longer than the crashes were apart.
    suspects = replay.suspects
    for number in range(5):
        replay.crash(f"F D {number}", pause_s=0.3)
        suspects.record_crash(
            f"engine-{number + 1}", number + 1, [f"victim-{number}"], replay.now - 6.0, replay.now, replay.now
        )
    assert replay.barred() == ["DF"]
