"""Guards against slots assigned twice or never freed, and against tickets that lose their queue position."""

import threading
import time

import pytest
from arbutusrill_wire import encode, messages

from arbutusrill_pool._fair_queue import Share
from arbutusrill_pool._server import Server, SpeedEstimate
from arbutusrill_pool._ticket import Band, Cost, Ticket
from arbutusrill_pool.tests.support import PoolFixture, announcement, release, request, small_pool


def test_repeated_acquire_gets_the_same_assignment():
    pool = small_pool()
    first, again = pool.acquire("t"), pool.acquire("t")
    assert first.status == "assigned"
    assert again.assignment == first.assignment
    assert sum(pool.assigned().values()) == 2


def test_repeated_release_frees_once():
    pool = small_pool()
    pool.acquire("t")
    pool.acquire("u")
    pool.owner.release(release("t"))
    pool.owner.release(release("t"))
    assert sum(pool.assigned().values()) == 2


def test_end_of_prefill_frees_the_prefill_server_only():
    pool = small_pool()
    assignment = pool.acquire("t").assignment
    pool.owner.release(release("t", "prefilled", prefill_s=0.1))
    assert pool.assigned()[assignment.prefill_server] == 0
    assert pool.assigned()[assignment.decode_server] == 1


def test_waiting_ticket_keeps_its_queue_position():
    pool = small_pool()
    for number in range(4):
        assert pool.acquire(f"t{number}").status == "assigned"
        pool.owner.release(release(f"t{number}", "prefilled"))
    assert pool.acquire("early").status == "pending"
    pool.clock.advance(0.1)
    assert pool.acquire("late").status == "pending"
    pool.acquire("early")
    pool.owner.release(release("t0"))
    assert pool.acquire("late").status == "pending"
    assert pool.acquire("early").status == "assigned"


def test_ticket_that_is_not_polled_is_dropped():
    pool = small_pool()
    for number in range(4):
        pool.acquire(f"t{number}")
        pool.owner.release(release(f"t{number}", "prefilled"))
    pool.acquire("gone", deadline_ms=60_000, latency_class="briefing")
    assert pool.owner.status().queued == 1
    pool.pass_time(1.3)
    assert pool.owner.status().queued == 0


def test_assignment_that_is_never_collected_is_freed():
    pool = small_pool()
    for number in range(4):
        pool.acquire(f"t{number}")
        pool.owner.release(release(f"t{number}", "prefilled"))
    pool.acquire("gone")
    pool.owner.release(release("t0"))
    assert sum(pool.assigned().values()) == 5  # the waiting ticket took the slot and a prefill server
    pool.pass_time(1.4)
    assert sum(pool.assigned().values()) == 3


def test_release_wakes_only_the_ticket_that_gets_the_slot():
    pool = small_pool()
    for number in range(4):
        pool.acquire(f"t{number}")
        pool.owner.release(release(f"t{number}", "prefilled"))
    replies = {}

    def wait(ticket):
        replies[ticket] = pool.owner.acquire(request(ticket, wait_ms=20_000))

    threads = [threading.Thread(target=wait, args=(name,)) for name in ("u", "v")]
    for thread in threads:
        thread.start()
    while pool.owner.status().queued < 2:
        time.sleep(0.01)
    woken = [ticket.id for ticket in pool.owner._dispatcher.ticket_by_id.values() if ticket.reply is not None]
    assert woken == []
    pool.owner.release(release("t0"))
    while not replies:
        time.sleep(0.01)
    assert len(replies) == 1
    pool.owner.release(release("t1"))
    for thread in threads:
        thread.join(20)
    assert {reply.status for reply in replies.values()} == {"assigned"}


def test_released_ticket_stops_waiting():
    pool = small_pool()
    for number in range(4):
        pool.acquire(f"t{number}")
        pool.owner.release(release(f"t{number}", "prefilled"))
    pool.acquire("u")
    pool.owner.release(release("u", "gone"))
    assert pool.owner.status().queued == 0


@pytest.mark.parametrize("state", ["draining", "leaving"])
def test_departing_server_gets_no_new_work(state):
    pool = PoolFixture(announcement("p", "prefill"), announcement("d1"), announcement("d2", state=state))
    chosen = {pool.acquire(f"t{number}").assignment.decode_server for number in range(2)}
    assert chosen == {"d1"}


def test_silent_server_gets_no_new_work_after_two_seconds():
    pool = PoolFixture(announcement("p", "prefill"), announcement("d1"))
    pool.pass_time(1.9, announcing=False)
    assert pool.acquire("t").status == "assigned"
    pool.pass_time(0.2, announcing=False)
    assert pool.acquire("u").status == "pending"


def test_restarted_server_begins_without_assigned_slots():
    pool = small_pool()
    for number in range(4):
        pool.acquire(f"t{number}")
        pool.owner.release(release(f"t{number}", "prefilled"))
    pool.announcements[2] = announcement("d1", slots=2, incarnation=2)
    pool.announce()
    assert pool.assigned()["d1"] == 0
    for number in range(4):
        pool.owner.release(release(f"t{number}"))
    assert set(pool.assigned().values()) == {0}


def test_owner_without_lease_assigns_nothing():
    pool = small_pool()
    pool.lease = False
    with pytest.raises(messages.Refused) as caught:
        pool.acquire("t")
    assert caught.value.code == "not_owner"
    assert set(pool.assigned().values()) == {0}


def test_untracked_requests_count_against_the_slots():
    pool = PoolFixture(announcement("p", "prefill"), announcement("d", slots=4, running=3))
    assert pool.acquire("t").status == "assigned"
    pool.owner.release(release("t", "prefilled"))
    assert pool.acquire("u").status == "pending"


def test_late_load_report_does_not_count_finished_requests_as_untracked():
    pool = PoolFixture(announcement("p", "prefill"), announcement("d", slots=4))
    for number in range(4):
        pool.acquire(f"t{number}")
        pool.owner.release(release(f"t{number}", "prefilled"))
    for number in range(4):
        pool.owner.release(release(f"t{number}"))
    pool.announcements[1] = announcement("d", slots=4, running=4)
    pool.announce()
    for number in range(4):
        assert pool.acquire(f"u{number}").status == "assigned"
        pool.owner.release(release(f"u{number}", "prefilled"))


def test_assertion_stops_more_assigned_than_slots():
    server = Server(announcement("d", slots=1), 0.0, SpeedEstimate(1.0, 1.0))
    server.take_slot()
    with pytest.raises(AssertionError, match="has no free slot"):
        server.take_slot()


def test_assertion_stops_a_negative_count():
    server = Server(announcement("d"), 0.0, SpeedEstimate(1.0, 1.0))
    with pytest.raises(AssertionError, match="has no assigned slot to release"):
        server.release_slot()
    with pytest.raises(AssertionError, match="released more slots or prefills than it holds"):
        Share("a", 1.0, 0.0).add_usage(-1, 0)


def test_assertion_stops_a_second_assignment_of_a_ticket():
    pool = small_pool()
    pool.acquire("t")
    dispatcher, index = pool.owner._dispatcher, pool.owner._index
    ticket = Ticket(request("t"), 100.0, 100.0, 102.0, Band.URGENT, Cost(), threading.Condition(pool.owner._lock))
    placement = dispatcher.policy.place(dispatcher._placement_request(ticket), index, 100.0)
    with pytest.raises(AssertionError, match="already has an assignment"):
        dispatcher._allocations.allocate(ticket, placement, True, 100.0)


def test_owner_that_stops_sends_a_waiting_ticket_to_the_next_owner():
    """The refusal must be raised: a refused reply would reach the caller instead of a retry at the new owner."""
    pool = small_pool()
    for number in range(4):
        pool.acquire(f"t{number}")
        pool.owner.release(release(f"t{number}", "prefilled"))
    outcome = []

    def wait():
        try:
            outcome.append(pool.owner.acquire(request("late", wait_ms=5000)).status)
        except messages.Refused as refused:
            outcome.append(refused.code)

    waiter = threading.Thread(target=wait)
    waiter.start()
    while pool.owner.status().queued == 0:
        time.sleep(0.01)
    pool.owner.close()
    waiter.join(10)
    assert outcome == ["not_owner"]


@pytest.mark.parametrize("speed", [1e-9, 1e18])
@pytest.mark.parametrize("slots", [1, 2**31 - 1])
def test_server_with_extreme_numbers_does_not_stop_its_pool(speed, slots):
    extreme = {
        "slots": slots,
        "prefill_tokens_per_s": speed,
        "token_gap_s": speed,
        "link_bytes_per_s": speed,
        "memory_bytes": 2**63 - 1,
        "kv_bytes_per_token": 2**63 - 1,
        "running": 2**31 - 1,
        "queued": 2**31 - 1,
    }
    pool = small_pool()
    pool.announcements += [announcement("p3", "prefill", **extreme), announcement("d3", **extreme)]
    pool.pass_time(0.5)
    for number in range(2):
        assert pool.acquire(f"t{number}").status == "assigned"
        pool.owner.release(release(f"t{number}", prefill_s=0.1, first_token_s=0.2, tokens=10, decode_s=0.1))
    pool.pass_time(0.5)
    assert encode(pool.owner.status())
