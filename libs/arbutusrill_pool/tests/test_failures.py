"""Guards against slots lost to failed VMs or assigned twice after an owner change, and against wrong ejections."""

import threading

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_http import HttpServer
from arbutusrill_wire import messages

from arbutusrill_pool import EngineCallQueue, EngineRequest, HttpEngineClient, PoolDirectory
from arbutusrill_pool.tests.support import (
    FakeEngines,
    PoolFixture,
    announcement,
    held_ticket,
    release,
    request,
    run_now,
    small_pool,
)


def test_ticket_missing_from_renewals_is_cancelled_and_freed_within_two_seconds():
    pool = small_pool()
    kept, lost = pool.acquire("kept"), pool.acquire("lost")
    pool.pass_time(1.5, [held_ticket("kept", kept)])
    assert {ticket for _, ticket in pool.engines.cancelled} == {"lost"}
    assert (lost.assignment.decode_address, "lost") in pool.engines.cancelled
    assert sum(pool.assigned().values()) == 1


def test_cancel_is_repeated_until_it_is_acknowledged():
    pool = small_pool()
    pool.acquire("t")
    pool.pass_time(0.1, [held_ticket("other", pool.acquire("other"))])
    pool.engines.acknowledges = False
    pool.pass_time(2.0)
    before = len(pool.engines.cancelled)
    assert before > 4
    assert sum(pool.assigned().values()) > 0
    pool.engines.acknowledges = True
    pool.pass_time(0.5)
    assert sum(pool.assigned().values()) == 0


def test_tickets_of_a_dead_incarnation_are_cancelled_at_once():
    pool = small_pool()
    pool.acquire("t")
    pool.dead.add(("vm1", 7))
    pool.pass_time(0.2)
    assert {ticket for _, ticket in pool.engines.cancelled} == {"t"}
    assert sum(pool.assigned().values()) == 0


def test_tickets_of_a_vm_that_never_renews_are_not_cancelled():
    pool = small_pool()
    pool.acquire("t")
    pool.pass_time(3.0)
    assert pool.engines.cancelled == []


def test_new_owner_waits_and_takes_renewed_tickets_into_account():
    first = PoolFixture(announcement("p", "prefill"), announcement("d", slots=2))
    replies = {ticket: first.acquire(ticket) for ticket in ("t", "u")}
    second = PoolFixture(announcement("p", "prefill"), announcement("d", slots=2), epoch=2)
    assert second.acquire("early", deadline_ms=9000, latency_class="briefing").status == "pending"
    tickets = [held_ticket(ticket, reply) for ticket, reply in replies.items()]
    second.pass_time(1.2, tickets)
    assert second.assigned()["d"] == 2
    assert second.acquire("early").status == "pending"
    second.owner.release(release("t"))
    second.owner.release(release("u"))
    assert second.acquire("early").status == "assigned"


def test_new_owner_assigns_slots_only_after_reading_the_engines():
    pool = PoolFixture(announcement("p", "prefill"), announcement("d", slots=2), epoch=2)
    engine_requests = [EngineRequest(f"r{number}", "vm9", 1) for number in range(2)]
    pool.engines.requests_by_address["http://d"] = engine_requests
    pool.pass_time(1.2)
    assert pool.acquire("t").status == "pending"
    pool.dead.add(("vm9", 1))
    pool.pass_time(0.3)
    assert ("http://d", "r0") in pool.engines.cancelled
    assert pool.acquire("t").status == "assigned"


def test_request_on_an_engine_that_its_vm_does_not_renew_is_cancelled():
    pool = PoolFixture(announcement("p", "prefill"), announcement("d", slots=2), epoch=2)
    pool.engines.requests_by_address["http://d"] = [EngineRequest("orphan", "vm1", 7)]
    pool.pass_time(1.6, [messages.HeldTicket("x", "other-pool", None, "a", "decode")])
    assert ("http://d", "orphan") in pool.engines.cancelled


def test_renewal_after_the_release_does_not_register_the_ticket_again():
    pool = small_pool()
    reply = pool.acquire("t")
    pool.owner.release(release("t"))
    pool.owner.renew(messages.RenewRequest("vm1", 7, [held_ticket("t", reply)]))
    assert sum(pool.assigned().values()) == 0


def test_renewed_decode_stage_frees_the_prefill_server():
    pool = small_pool()
    reply = pool.acquire("t")
    pool.owner.renew(messages.RenewRequest("vm1", 7, [held_ticket("t", reply, "decode")]))
    assert pool.assigned()[reply.assignment.prefill_server] == 0


def report_failure(pool, number, server="d1", outcome="decode_failed"):
    pool.acquire(f"f{number}", avoid=["d2", "d3", "d4"])
    pool.owner.release(release(f"f{number}", outcome, failed_server=server))


def health(pool):
    return {server.announcement.id: server.health for server in pool.owner.status().servers}


def pool_of_four_decode_servers():
    return PoolFixture(announcement("p", "prefill"), *(announcement(f"d{number}") for number in range(1, 5)))


def test_one_failed_connection_ejects_nothing():
    pool = pool_of_four_decode_servers()
    report_failure(pool, 1)
    pool.acquire("f1")
    pool.owner.release(release("f1", "decode_failed", failed_server="d1"))
    pool.acquire("f1")
    pool.owner.release(release("f1", "decode_failed", failed_server="d1"))
    assert health(pool)["d1"] == "ok"


def test_repeated_failures_eject_a_server_until_its_slow_start():
    pool = pool_of_four_decode_servers()
    for number in range(3):
        report_failure(pool, number)
    assert health(pool)["d1"] == "ejected"
    pool.pass_time(1.2)
    assert health(pool)["d1"] == "slow_start"
    pool.pass_time(6.0)
    assert health(pool)["d1"] == "ok"


def test_few_failures_among_many_successes_eject_nothing():
    pool = pool_of_four_decode_servers()
    for number in range(12):
        pool.acquire(f"s{number}", avoid=["d2", "d3", "d4"])
        pool.owner.release(release(f"s{number}", tokens=10, decode_s=0.1))
    for number in range(4):
        report_failure(pool, number)
    assert health(pool)["d1"] == "ok"


def test_ejection_leaves_half_of_the_pool():
    pool = pool_of_four_decode_servers()
    for server in ("d1", "d2", "d3", "d4"):
        for number in range(4):
            pool.acquire(f"{server}-{number}")
            pool.owner.release(release(f"{server}-{number}", "decode_failed", failed_server=server))
    assert list(health(pool).values()).count("ejected") == 2


def directory_with(engines, clock=None):
    return PoolDirectory("vm2", 5, clock or ManualClock(), client=engines)


def vm(name, incarnation, state="live"):
    return messages.PutVm(name, "", "", "dc1", incarnation, state)


def wait_until(condition, timeout=20.0):
    done = threading.Event()
    for _ in range(int(timeout / 0.02)):
        if condition():
            return True
        done.wait(0.02)
    return False


def test_vm_without_pools_cancels_requests_of_a_dead_vm_on_announced_runners():
    engines = FakeEngines()
    engines.requests_by_address["http://d"] = [EngineRequest("lost", "vm1", 7), EngineRequest("alive", "vm3", 8)]
    directory = directory_with(engines)
    directory.record_announcement(announcement("d"))
    directory.reconcile([], [vm("vm1", 7), vm("vm3", 8)])
    directory.reconcile([], [vm("vm1", 7, "dead"), vm("vm3", 8)])
    try:
        assert wait_until(lambda: engines.cancelled)
        assert engines.cancelled == [("http://d", "lost")]
    finally:
        directory.close()


def test_requests_are_cancelled_on_a_runner_announced_after_the_vm_has_died():
    """A runner announces itself to another VM only after its timeout for the frozen one (bin/proof gone --seed 3)."""
    engines = FakeEngines()
    engines.requests_by_address["http://d"] = [EngineRequest("lost", "vm1", 7), EngineRequest("alive", "vm3", 8)]
    directory = directory_with(engines)
    directory.reconcile([], [vm("vm1", 7), vm("vm3", 8)])
    directory.reconcile([], [vm("vm1", 7, "dead"), vm("vm3", 8)])
    directory.record_announcement(announcement("d"))
    try:
        assert wait_until(lambda: engines.cancelled)
        assert engines.cancelled == [("http://d", "lost")]
    finally:
        directory.close()


def test_replaced_incarnation_counts_as_dead():
    engines = FakeEngines()
    engines.requests_by_address["http://d"] = [EngineRequest("lost", "vm1", 7), EngineRequest("new", "vm1", 9)]
    directory = directory_with(engines)
    directory.record_announcement(announcement("d"))
    directory.reconcile([], [vm("vm1", 7)])
    directory.reconcile([], [vm("vm1", 9)])
    try:
        assert wait_until(lambda: engines.cancelled)
        assert engines.cancelled == [("http://d", "lost")]
    finally:
        directory.close()


def test_lost_pool_answers_its_waiting_requests():
    directory = directory_with(FakeEngines())
    directory.reconcile([messages.AssignPool("m", "model", "vm2", 5, 1)])
    replies = []
    waiter = threading.Thread(target=lambda: replies.append(acquire_code(directory)))
    waiter.start()
    try:
        assert wait_until(lambda: directory.pool_status()[0].queued == 1)
        directory.reconcile([messages.AssignPool("m", "model", "vm3", 6, 2)])
        waiter.join(20)
        assert replies == ["not_owner"]
    finally:
        directory.close()


def acquire_code(directory):
    try:
        return directory.acquire(request("t", wait_ms=30_000)).code
    except messages.Refused as refused:
        return refused.code


@pytest.mark.parametrize(
    "body",
    [b"[" * 100_000, b"[]", b'{"requests": [{"request_id": "r", "vm": "v", "incarnation": 1e400}]}', b'{"requests": 1}']
    + [b'{"requests": [{"request_id": "r", "vm": "v", "incarnation": "' + b"9" * 5000 + b'"}]}', b"\xff"],
)
def test_odd_list_of_requests_ends_no_call(body):
    # An error that was not expected removed the call without telling the one who waits for it.
    def app(environ, start):
        start("200 OK", [])
        return [body]

    answers = []
    with HttpServer("127.0.0.1", 0, app) as server:
        assert HttpEngineClient().requests(f"http://{server.address}") is None
    clock = ManualClock(100.0)
    calls = EngineCallQueue(RaisingEngines(), clock, run_now)
    calls.read_requests("http://d", answers.append)
    for _ in range(5):
        clock.advance(0.5)
        calls.tick()
    assert (answers, calls.pending()) == ([None], 0)


class RaisingEngines(FakeEngines):
    def requests(self, address):
        raise RecursionError
