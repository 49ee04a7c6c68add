"""Guards against bodies that take more memory than the budget, and against bodies that others keep waiting."""

import threading
import time

import pytest

from arbutusrill_http import BodyBudget

MB = 2**20


@pytest.fixture
def budget():
    return BodyBudget(16 * MB)


def test_bodies_that_do_not_fit_wait_until_others_end(budget):
    order = []
    with budget.open("a") as first:
        assert first.grow(3 * MB, 0)

        def wait():
            with budget.open("b") as second:
                order.append((second.grow(5 * MB, 5.0), "second"))

        thread = threading.Thread(target=wait)
        thread.start()
        time.sleep(0.1)
        order.append("first ends")
    thread.join()
    assert order == ["first ends", (True, "second")]
    assert budget.held_bytes == 0


def test_body_that_finds_no_room_in_time_is_refused(budget):
    with budget.open("a") as first, budget.open("b") as second:
        assert first.grow(3 * MB, 0) and first.grow(3 * MB, 0)
        started = time.monotonic()
        assert not second.grow(5 * MB, 0.1)
        assert 0.1 <= time.monotonic() - started < 1.0
    assert budget.refused_count == 1 and budget.held_bytes == 0


def test_body_that_can_never_fit_is_refused_at_once(budget):
    with budget.open("a") as body:
        started = time.monotonic()
        assert not body.grow(9 * MB, 60.0)
        assert time.monotonic() - started < 1.0


def test_small_bodies_do_not_wait_for_large_ones(budget):
    with budget.open("a") as first, budget.open("b") as second:
        assert first.grow(4 * MB, 0) and second.grow(3 * MB, 0)
        waiting = [threading.Thread(target=lambda: budget.open("c").grow(2 * MB, 0.5)) for _ in range(3)]
        for thread in waiting:
            thread.start()
        time.sleep(0.05)
        for _ in range(8):
            small = budget.open("a")
            assert small.grow(50_000, 0)
        for thread in waiting:
            thread.join()


def test_bodies_that_wait_for_more_leave_the_share_of_small_ones(budget):
    # Uploads without a stated length held small parts while they waited, and small requests were refused.
    with budget.open("a") as first:
        assert first.grow(6 * MB, 0)
        growing = [budget.open("b") for _ in range(32)]
        for body in growing:
            assert body.grow(64 * 1024, 0)
        assert not budget.open("c").grow(50_000, 0), "the share of small bodies is used up"
        threads = [threading.Thread(target=body.grow, args=(4 * MB, 0.5)) for body in growing]
        for thread in threads:
            thread.start()
        time.sleep(0.1)
        assert budget.open("c").grow(50_000, 0)
        for thread in threads:
            thread.join()


def test_one_owner_cannot_take_the_whole_budget(budget):
    with budget.open("a") as first, budget.open("a") as second, budget.open("b") as other:
        assert first.grow(5 * MB, 0)
        assert not second.grow(MB + 1, 0)
        refused = []
        waiting = threading.Thread(target=lambda: refused.append(budget.open("a").grow(MB + 1, 0.5)))
        waiting.start()
        time.sleep(0.05)
        started = time.monotonic()
        assert other.grow(MB, 0.4), "an owner at its share keeps another one waiting"
        assert time.monotonic() - started < 0.2
        waiting.join()
        assert refused == [False]


def test_reservation_grows_and_shrinks_with_the_body(budget):
    with budget.open("a") as body:
        assert body.grow(50_000, 0) and body.grow(4 * MB, 0)
        assert budget.held_bytes == 8 * MB
        body.shrink(MB)
        assert budget.held_bytes == 2 * MB
    assert budget.held_bytes == 0


def test_very_small_bodies_never_wait(budget):
    with budget.open("a") as large, budget.open("b") as small:
        assert large.grow(6 * MB, 0)
        growing = [budget.open("b") for _ in range(32)]
        assert all(body.grow(64 * 1024, 0) for body in growing)
        assert small.grow(8 * 1024, 0)


def test_without_a_limit_nothing_waits():
    with BodyBudget(None).open("a") as body:
        assert body.grow(10**12, 0)


def test_small_responses_do_not_wait_for_large_ones(budget):
    # Answers without end of one server filled the share of all responses: small events of sound streams found no room.
    large = [budget.open("a", is_response=True) for _ in range(16)]
    assert not all([body.grow(size, 0) for size in (MB, MB // 8) for body in large])
    small = [budget.open("b", is_response=True) for _ in range(4)]
    assert all(body.grow(60_000, 0) for body in small)
    assert budget.held_bytes <= 9 * MB, "responses keep requests out"
    for body in large + small:
        body.shrink(0)
    assert budget.held_bytes == 0


class CountingCondition(threading.Condition):
    """Counts the waits of all threads."""

    wait_count = 0

    def wait(self, timeout=None):
        CountingCondition.wait_count += 1
        return super().wait(timeout)


def test_waiting_bodies_wake_up_only_for_their_room(monkeypatch):
    # Each step of a growing response woke all that waited: 224,000 context switches for 200 responses of 2 MB.
    monkeypatch.setattr(threading, "Condition", CountingCondition)
    CountingCondition.wait_count = 0
    budget, grown = BodyBudget(16 * MB), []

    def wait(size):
        with budget.open("b", is_response=True) as body:
            grown.append(body.grow(size, 10.0))
            time.sleep(0.01)

    with budget.open("a", is_response=True) as first:
        assert first.grow(4 * MB, 0)
        threads = [threading.Thread(target=wait, args=(2 * MB,)) for _ in range(20)]
        for thread in threads:
            thread.start()
        while len(budget._waiting) < len(threads):
            time.sleep(0.01)
        for size in range(10_000, 60_000, 1000):
            with budget.open("c") as other:
                assert other.grow(size, 0)
        assert not grown
    for thread in threads:
        thread.join()
    assert grown == [True] * 20 and budget.held_bytes == 0
    assert CountingCondition.wait_count <= 2 * len(threads)


def test_small_body_gets_the_room_of_one_that_becomes_large(budget):
    growing = [budget.open("b") for _ in range(32)]
    with budget.open("a") as first:
        assert first.grow(6 * MB, 0)
        assert all(body.grow(64 * 1024, 0) for body in growing)
        grown = []
        small = threading.Thread(target=lambda: grown.append(budget.open("c").grow(50_000, 5.0)))
        small.start()
        while not budget.has_waiting:
            time.sleep(0.01)
        assert not any([body.grow(4 * MB, 0) for body in growing])
        small.join(1.0)
        assert grown == [True]


def test_bodies_behind_one_that_gives_up_get_their_room(budget):
    with budget.open("a") as first:
        assert first.grow(4 * MB, 0)
        grown, threads = [], []
        for size, wait_s in ((5 * MB, 0.3), (2 * MB, 5.0)):
            threads.append(
                threading.Thread(
                    target=lambda size, wait_s: grown.append(budget.open("b").grow(size, wait_s)), args=(size, wait_s)
                )
            )
            threads[-1].start()
            while len(budget._waiting) < len(threads):
                time.sleep(0.01)
        for thread in threads:
            thread.join(2.0)
        assert grown == [False, True]


@pytest.mark.parametrize("is_waiting", [False, True], ids=["at once", "after a wait"])
def test_body_passes_one_whose_owner_takes_the_rest_of_its_share(budget, is_waiting):
    # The body behind it waited in vain for up to 0.8 s, with room for it, unless another one ended meanwhile.
    grown = []

    def start(owner, size, is_response=False):
        def wait():
            with budget.open(owner, is_response) as body:
                grown.append((owner, body.grow(size, 2.0)))
                done.wait(5.0)

        waiting = len(budget._waiting)
        threads.append(threading.Thread(target=wait))
        threads[-1].start()
        while len(budget._waiting) == waiting:
            time.sleep(0.01)

    threads, done = [], threading.Event()
    with budget.open("z") as other, budget.open("x") as held, budget.open("x") as small:
        assert other.grow(2 * MB, 0) and held.grow(3 * MB, 0)
        with budget.open("r", is_response=True) as response:
            assert not is_waiting or response.grow(2 * MB, 0)
            start("x", 3 * MB)
            start("y", 1 * MB)
            if is_waiting:
                start("x", 1 * MB, is_response=True)
        assert is_waiting or small.grow(50_000, 0)
        threads[1].join(0.5)
        early = list(grown)
        done.set()
        for thread in threads:
            thread.join()
    assert ("y", True) in early
    assert budget.held_bytes == 0
