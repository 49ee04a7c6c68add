"""Sound engines that fall silent for a while: their streams must not end without a complete answer."""

import itertools
import socket
import time
from types import SimpleNamespace

import pytest
from arbutusrill_site import RouteKind

from arbutusrill_gateway import BackendPool, PromptBarredError

from .test_faulty_backends import MIB, REFUSAL_FIELDS, STREAM, WHOLE, Backend, event, head, relay, sends


def silent_for(seconds):
    """Returns an engine that is silent between its first and its second event."""

    def script(connection):
        connection.sendall(STREAM + event(1))
        time.sleep(seconds)
        connection.sendall(event(2) + b"0\r\n\r\n")

    return Backend(script)


class Placements:
    """Leader that grants the first engine at once, and the second one at the poll number `granted_at`, if ever."""

    def __init__(self, granted_at=None):
        self.records, self.held, self.polls = [], {}, 0
        self._granted_at = granted_at
        self._numbers = itertools.count(1)

    def _grant(self, record):
        placement = SimpleNamespace(number=next(self._numbers), decode=record, prefill=None, speeds=[])
        self.held[placement.number] = placement
        return placement, None

    def acquire(self, requirements, max_wait_s):
        return self._grant(self.records[0]) if "0" not in requirements.avoided_ids() else (None, 0.5)

    def acquire_now(self, requirements):
        self.polls += 1
        assert "0" in requirements.avoided_ids()
        return self._grant(self.records[1]) if self.polls == self._granted_at else (None, 0.5)

    def release(self, placement):
        del self.held[placement.number]

    def report_unresponsive(self, backend):
        raise AssertionError("the engine is not unresponsive")


def test_stream_of_an_engine_that_is_silent_for_a_second_is_not_given_up():
    # The stream was given up after 1.2 s, and the caller's response was aborted, since the other server was full.
    full = Backend(sends(head(503, *REFUSAL_FIELDS)))
    silent = silent_for(1.6)
    caller, _, aborted = relay(silent, full, kind=RouteKind.STREAM, deadline_s=8, event_s=0.01)
    assert (caller.body.count(b"id: "), aborted) == (2, False)
    assert not full.requests


def test_stream_of_a_silent_engine_is_not_given_up_before_another_engine_has_room():
    # The place on another engine was requested only after the stream had been given up.
    placements = Placements()
    silent, other = silent_for(4.0), Backend(sends(STREAM + event(1) + event(2) + b"0\r\n\r\n"))
    caller, exchange, aborted = relay(silent, other, kind=RouteKind.STREAM, deadline_s=8, placements=placements)
    assert (caller.body.count(b"id: "), aborted) == (2, False)
    assert placements.polls >= 2 and not other.requests
    assert not placements.held
    assert exchange.budget.try_acquire()


def test_stream_of_a_silent_engine_goes_on_at_the_engine_reserved_for_it():
    placements = Placements(granted_at=2)
    silent, other = silent_for(6.0), Backend(sends(STREAM + event(2) + b"0\r\n\r\n"))
    started = time.monotonic()
    caller, exchange, aborted = relay(silent, other, kind=RouteKind.STREAM, deadline_s=8, placements=placements)
    assert (caller.body.count(b"id: 1\n"), caller.body.count(b"id: 2\n"), aborted) == (1, 1, False)
    assert b"After: 1\r\n" in other.requests[0]
    assert time.monotonic() - started < 4
    assert not placements.held
    assert exchange.trail == ["whole:0:timeout", "whole:1:answered"]


@pytest.mark.parametrize("retries", [0, 1])
def test_engine_reserved_for_a_stream_is_released_without_a_retry_in_the_budget(retries, monkeypatch):
    placements = Placements(granted_at=1)
    monkeypatch.setattr("arbutusrill_base.RetryBudget.try_acquire", lambda budget: bool(retries))
    silent, other = silent_for(3.2), Backend(sends(STREAM + event(2) + b"0\r\n\r\n"))
    caller, _, aborted = relay(silent, other, kind=RouteKind.STREAM, deadline_s=8, placements=placements)
    assert (caller.body.count(b"id: "), aborted) == (2, False)
    assert len(other.requests) == retries
    assert not placements.held


def answers_after(seconds):
    def script(connection):
        time.sleep(seconds)
        connection.sendall(WHOLE)

    return Backend(script)


@pytest.mark.parametrize("missing", ["server", "retry"])
def test_silent_server_is_waited_for_when_a_request_cannot_be_repeated_elsewhere(missing, monkeypatch):
    # After half of its time, a repeatable request failed with 504 although there was nothing to gain by giving up.
    backends = [answers_after(1.4)]
    if missing == "retry":
        backends.append(Backend(sends(WHOLE)))
        monkeypatch.setattr("arbutusrill_base.RetryBudget.try_acquire", lambda budget: False)
    caller, exchange, _ = relay(*backends, kind=RouteKind.IDEMPOTENT, deadline_s=2.0)
    assert (caller.status, caller.body) == (200, b"whole")
    assert exchange.trail == ["send:0:answered"]


def test_request_to_a_silent_server_is_repeated_at_another_one_in_time():
    silent, other = answers_after(3.0), Backend(sends(WHOLE))
    caller, exchange, _ = relay(silent, other, kind=RouteKind.IDEMPOTENT, deadline_s=2.0)
    assert (caller.status, caller.body) == (200, b"whole")
    assert exchange.trail == ["send:0:timeout", "send:1:answered"]
    assert exchange.attempt_count == 2


def test_large_answer_that_has_begun_is_not_cut_when_its_server_falls_silent():
    # A retry was reserved after half of the time and the response aborted, since one that has begun is not repeated.
    body = b"x" * (2 * MIB)

    def script(connection):
        connection.sendall(head(200, "Stamp: 1", f"Content-Length: {len(body) + 1}") + body)
        time.sleep(1.4)
        connection.sendall(b"y")

    other = Backend(sends(WHOLE))
    caller, _, aborted = relay(Backend(script), other, kind=RouteKind.IDEMPOTENT, deadline_s=2.0)
    assert (caller.received_bytes, aborted) == (len(body) + 1, False)
    assert not other.requests


def test_silent_server_is_not_given_up_for_one_that_has_just_failed(monkeypatch):
    # The only other server refused connections, and the request ended with 502 although its server would have answered.
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = "{}:{}".format(*closed.getsockname())
    pick = BackendPool.pick

    def pick_after_failure(pool, *arguments, **options):
        failed = pool._view.backends_by_id["1"]
        if "1" not in pool.avoided_ids():
            pool.record_failure(failed, "connection refused")
        return pick(pool, *arguments, **options)

    monkeypatch.setattr(BackendPool, "pick", pick_after_failure)
    caller, _, _ = relay(
        answers_after(1.4), SimpleNamespace(address=address), kind=RouteKind.IDEMPOTENT, deadline_s=2.0
    )
    assert (caller.status, caller.body) == (200, b"whole")


def test_stream_of_a_silent_engine_is_not_given_up_for_one_that_has_just_failed(monkeypatch):
    # The leader grants an engine that is to be avoided when it has no other one.
    monkeypatch.setattr(BackendPool, "avoided_ids", lambda pool: ["1"])
    placements = Placements(granted_at=1)
    silent, failed = silent_for(3.2), Backend(sends(b""))
    caller, _, aborted = relay(silent, failed, kind=RouteKind.STREAM, deadline_s=8, placements=placements)
    assert (caller.body.count(b"id: "), aborted) == (2, False)
    assert not failed.requests
    assert not placements.held


class Budget:
    """Retry budget that counts what is taken."""

    def __init__(self):
        self.taken = 0

    def try_acquire(self):
        self.taken += 1
        return True


def test_retry_that_was_reserved_is_charged_once_and_allows_one_attempt(monkeypatch):
    # A third attempt would exceed the route's maximum, a second charge would leave other requests without retries.
    budget = Budget()
    monkeypatch.setattr("arbutusrill_base.RetryBudget.try_acquire", lambda _: budget.try_acquire())
    silent, *crashing = silent_for(6.0), Backend(sends(b"")), Backend(sends(b""))
    _, exchange, aborted = relay(silent, *crashing, kind=RouteKind.STREAM, deadline_s=8, event_s=0.01)
    assert [step.split(":")[2] for step in exchange.trail] == ["timeout", "broken"]
    assert (aborted, budget.taken) == (True, 1)


def test_engine_reserved_for_a_stream_is_released_when_its_prompt_is_barred_meanwhile():
    placements = Placements(granted_at=1)
    silent, other = silent_for(6.0), Backend(sends(STREAM + event(2) + b"0\r\n\r\n"))

    class Guard:
        def check(self, request):
            if placements.polls:
                raise PromptBarredError(1.0)

        def record_events(self, *arguments):
            pass

        record_attempt = record_events

    _, _, aborted = relay(
        silent, other, kind=RouteKind.STREAM, deadline_s=8, placements=placements, prompt_guard=Guard()
    )
    assert aborted and not other.requests
    assert not placements.held
