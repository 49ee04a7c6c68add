"""Tests of second sends with small servers on sockets; the first server is the one that is chosen first."""

import contextlib
import socket
import threading
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest
from arbutusrill_base import FailureError
from arbutusrill_site import RouteKind

from arbutusrill_gateway._backends import BackendPool
from arbutusrill_gateway._second_sender import SecondSend, SecondSender

from .test_faulty_backends import WHOLE, Backend, head, relay, sends

FIRST = head(200, "Stamp: 1", "Content-Length: 5") + b"first"
ERROR = head(500, "Stamp: 1", "Content-Length: 5") + b"error"
SLOW_S = 1.5
ALMOST_LATE_S = 0.05  # an objective too short for a copy, so that the learned delay counts alone


def after(seconds, *parts):
    def script(connection):
        time.sleep(seconds)
        sends(*parts)(connection)

    return script


def until_closed(connection):
    """Answers nothing, and ends when the VM closes the connection."""
    connection.settimeout(5.0)
    started = time.monotonic()
    with contextlib.suppress(OSError):
        connection.recv(1)
    closed_after_s.append(time.monotonic() - started)


closed_after_s = []


@pytest.fixture
def sender():
    closed_after_s.clear()
    answers = SimpleNamespace(granted=True)
    client = SimpleNamespace(call=lambda name, service, timeout, try_timeout: answers.granted)
    with SecondSender(client) as running:
        running.policy.set_delays({"s": 100})
        running.leader = answers
        yield running


def ask(*servers, sender, **options):
    options = {"kind": RouteKind.IDEMPOTENT, "method": "GET", **options}
    return relay(*servers, second_sender=sender, **options)


def test_slow_request_gets_the_answer_of_another_server(sender):
    first, second = Backend(until_closed), Backend(sends(WHOLE))
    started = time.monotonic()
    caller, exchange, _ = ask(first, second, sender=sender)
    assert (caller.status, caller.body) == (200, b"whole")
    assert time.monotonic() - started < SLOW_S
    assert sender.counts_by_outcome["won"] == 1 and exchange.attempt_count == 2


def test_send_that_has_lost_is_cancelled(sender):
    """Guards against servers that go on working for an answer that nobody gets."""
    first = Backend(until_closed)
    ask(first, Backend(sends(WHOLE)), sender=sender)
    deadline = time.monotonic() + 2.0
    while not closed_after_s and time.monotonic() < deadline:
        time.sleep(0.01)
    assert closed_after_s and closed_after_s[0] < 0.6


def test_first_answer_wins_and_the_second_send_is_cancelled(sender):
    first, second = Backend(after(0.3, FIRST)), Backend(until_closed)
    caller, _, _ = ask(first, second, sender=sender)
    assert caller.body == b"first"
    deadline = time.monotonic() + 2.0
    while "cancelled" not in sender.counts_by_outcome and time.monotonic() < deadline:
        time.sleep(0.01)
    assert sender.counts_by_outcome["cancelled"] == 1


def test_error_of_the_first_server_waits_for_the_second_answer(sender):
    first, second = Backend(after(0.3, ERROR)), Backend(after(0.4, WHOLE))
    caller, _, _ = ask(first, second, sender=sender)
    assert (caller.status, caller.body) == (200, b"whole")


def test_error_of_the_second_server_does_not_replace_the_first_answer(sender):
    first, second = Backend(after(0.5, FIRST)), Backend(sends(ERROR))
    caller, _, _ = ask(first, second, sender=sender)
    assert (caller.status, caller.body) == (200, b"first")


@pytest.mark.parametrize("reason", ["limit", "retry_budget", "route", "kind", "no_gain"])
def test_there_is_no_second_send(sender, reason):
    """Guards against second sends that the operators, the retry budget or the route do not allow, or that come late."""
    first_s = 0.2 if reason == "no_gain" else 0.4  # it is looked at again after a quarter of a second
    first, second = Backend(after(first_s, FIRST)), Backend(sends(WHOLE))
    sender.leader.granted = reason != "limit"
    if reason == "no_gain":
        sender.policy.set_delays({"s": 1})
    options = {
        "limit": {},
        "no_gain": {"objective_s": ALMOST_LATE_S},
        "retry_budget": {"retries": 0},
        "route": {"max_attempts": 1},
        "kind": {"kind": RouteKind.NON_IDEMPOTENT, "method": "POST"},
    }[reason]
    caller, _, _ = ask(first, second, sender=sender, **options)
    assert caller.body == b"first" and not second.requests


def test_server_that_is_no_gain_at_first_gets_a_slow_request_later(sender):
    """Guards against slow requests that stay alone since the other server would not have been sooner at the delay."""
    sender.policy.set_delays({"s": 10})
    started = time.monotonic()
    caller, _, _ = ask(Backend(after(SLOW_S, FIRST)), Backend(sends(WHOLE)), sender=sender, objective_s=ALMOST_LATE_S)
    assert caller.body == b"whole" and time.monotonic() - started < 1.0
    assert sender.counts_by_outcome["no_gain"] == sender.counts_by_outcome["won"] == 1


def test_copy_comes_while_it_can_still_be_in_time(sender):
    """Guards against copies after a learned delay at which the answer is late in any case."""
    sender.policy.set_delays({"s": 800})
    started = time.monotonic()
    caller, _, _ = ask(Backend(until_closed), Backend(sends(WHOLE)), sender=sender, objective_s=0.5)
    assert caller.body == b"whole" and time.monotonic() - started < 0.6


def test_copy_goes_to_the_server_that_is_expected_to_answer_soonest(sender, monkeypatch):
    """Guards against copies to a server that this VM has found quick and that is slow for all VMs together."""
    work_s = {"0": 0.03, "1": 0.4, "2": 0.03}
    plain_state = BackendPool.plain_state

    def known_by_all(pool, service, exclude, data_centres=None):
        state = plain_state(pool, service, exclude, data_centres)
        return replace(state, servers=[replace(server, work_s=work_s[server.id]) for server in state.servers])

    monkeypatch.setattr(BackendPool, "plain_state", known_by_all)
    for _ in range(6):
        first, slow, quick = Backend(until_closed), Backend(sends(WHOLE)), Backend(sends(WHOLE))
        caller, _, _ = ask(first, slow, quick, sender=sender)
        assert caller.body == b"whole" and quick.requests and not slow.requests


def test_busy_servers_get_no_copies(sender, monkeypatch):
    """Guards against copies in a burst, which make other requests wait or be refused."""
    plain_state = BackendPool.plain_state

    def full(pool, service, exclude, data_centres=None):
        state = plain_state(pool, service, exclude, data_centres)
        return replace(state, servers=[replace(server, in_progress=server.slots) for server in state.servers])

    monkeypatch.setattr(BackendPool, "plain_state", full)
    second = Backend(sends(WHOLE))
    caller, _, _ = ask(Backend(after(0.4, FIRST)), second, sender=sender)
    assert caller.body == b"first" and not second.requests
    assert sender.counts_by_outcome["no_server"] >= 1


def test_busy_server_gets_no_copy_while_another_one_is_idle(sender, monkeypatch):
    """Guards against copies to a server that this VM has found quick and whose slots other VMs have taken."""
    plain_state = BackendPool.plain_state

    def one_full(pool, service, exclude, data_centres=None):
        state = plain_state(pool, service, exclude, data_centres)
        full = {"1": {"in_progress": 99}}
        return replace(state, servers=[replace(server, **full.get(server.id, {})) for server in state.servers])

    monkeypatch.setattr(BackendPool, "plain_state", one_full)
    for _ in range(8):
        first, busy, idle = Backend(until_closed), Backend(sends(WHOLE)), Backend(sends(WHOLE))
        caller, _, _ = ask(first, busy, idle, sender=sender)
        assert caller.body == b"whole" and idle.requests and not busy.requests


def test_service_with_an_idle_server_does_not_count_as_busy_for_want_of_another(sender, monkeypatch):
    """Guards against callers that are taken for late since the search for another server left out the idle one."""
    plain_state = BackendPool.plain_state

    def heard_of_all(pool, service, exclude, data_centres=None):
        pool.plain._fleet_age_s = lambda now: 0.0
        return plain_state(pool, service, exclude, data_centres)

    monkeypatch.setattr(BackendPool, "plain_state", heard_of_all)
    caller, exchange, _ = ask(Backend(sends(WHOLE)), sender=sender)
    assert caller.body == b"whole" and not exchange.pool.plain._busy_at_by_service


def test_caller_that_leaves_ends_both_sends(sender):
    first, second = Backend(until_closed), Backend(until_closed)
    here, there = socket.socketpair()
    with here, there:
        threading.Timer(0.4, there.close).start()
        with pytest.raises(FailureError):
            ask(first, second, sender=sender, connection=here)
    deadline = time.monotonic() + 2.0
    while len(closed_after_s) < 2 and time.monotonic() < deadline:
        time.sleep(0.01)
    assert len(closed_after_s) == 2 and max(closed_after_s) < 1.0


def test_request_that_had_waited_is_very_slow_by_its_whole_time(sender):
    """Guards against late copies of requests that had little of their objective left when they were first sent."""
    exchange = SimpleNamespace(
        started=time.monotonic() - 0.98, route=SimpleNamespace(objective_s=0.9), objective_remaining_s=lambda: 0.02
    )
    second = SecondSend(None, exchange, None)
    second._sender = sender
    assert second._delay_reason(expected_s=0.03, took_s=0.1) == "too_late"
