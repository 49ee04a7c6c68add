"""Guards what happens to responses that find no room in the memory of the process."""

import threading
import time

import pytest
from arbutusrill_http import BodyBudget
from arbutusrill_site import RouteKind

from arbutusrill_gateway import BackendPool

from .test_faulty_backends import MIB, STREAM, WHOLE, Backend, Caller, chunk, event, head, relay, sends

LARGE = 600_000


@pytest.fixture
def full_budget():
    """A budget in which responses have no room beyond the smallest ones."""
    budget = BodyBudget(MIB)
    with budget.open("other", is_response=True) as other:
        assert other.grow(MIB // 4, 0.0)
        yield budget
    assert budget.held_bytes == 0, "memory stays reserved after the request"


def large(status=200, *fields, id="r"):
    return sends(head(status, *fields, f"Content-Length: {LARGE}", id=id) + bytes(LARGE))


def test_answer_without_room_is_forwarded_whole(full_budget):
    caller, exchange, aborted = relay(Backend(large(200, "Stamp: 1")), body_budget=full_budget)
    assert (caller.status, len(caller.body), aborted) == (200, LARGE, False)
    assert full_budget.refused_response_count == 1 and exchange.memory.size == 0


@pytest.mark.parametrize(
    "answer",
    [large(200), large(200, "Stamp: 1", id="other"), large(503), large(500)],
    ids=["proof", "id", "503", "500"],
)
def test_what_is_no_answer_is_not_forwarded(full_budget, answer):
    # The end of a head and the body after it arrive together, so that the body is seen before the attempt ends.
    caller, exchange, _ = relay(Backend(answer), body_budget=full_budget)
    assert caller.status == 502 and exchange.verdict.value == "may_have_run"


def test_idempotent_request_goes_on_elsewhere_after_an_error_without_room(full_budget):
    caller, _, _ = relay(
        Backend(large(500)), Backend(sends(WHOLE)), kind=RouteKind.IDEMPOTENT, body_budget=full_budget, event_s=0.01
    )
    assert (caller.status, caller.body) == (200, b"whole")


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
def test_endless_refusal_is_not_believed(kind):
    backend = Backend(sends(head(503, "Refused: 1", f"Content-Length: {MIB}") + bytes(300_000), pause_s=2.0))
    caller, exchange, _ = relay(backend, kind=kind, deadline_s=1.0, max_attempts=1)
    assert caller.status in (502, 504) and exchange.verdict.value == "may_have_run"


def test_stream_goes_on_elsewhere_if_an_event_finds_no_room(full_budget):
    first = Backend(sends(STREAM + event(1) + chunk(b"id: 2\ndata: " + b"x" * LARGE), pause_s=2.0))
    second = Backend(sends(STREAM + event(2) + chunk(b"")))
    caller, exchange, aborted = relay(
        first, second, kind=RouteKind.STREAM, body_budget=full_budget, event_s=0.01, deadline_s=3.0
    )
    assert (caller.status, caller.body, aborted) == (200, b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n", False)
    assert exchange.pool.avoided_ids() == [], "a want of memory of this process is no fault of the server"


def test_server_that_sends_an_event_without_end_is_avoided():
    first = Backend(sends(STREAM + event(1) + chunk(b"id: 2\ndata: " + b"x" * (MIB + 1)), pause_s=2.0))
    second = Backend(sends(STREAM + event(2) + chunk(b"")))
    caller, exchange, _ = relay(first, second, kind=RouteKind.STREAM, event_s=0.01, deadline_s=3.0)
    assert caller.body == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
    assert exchange.pool.avoided_ids() == ["0"]


@pytest.mark.parametrize("answer", [large(500), large(200, "Stamp: 1")])
def test_response_with_room_is_kept_until_it_is_written(answer):
    budget, held = BodyBudget(16 * MIB), []

    class MeasuringCaller(Caller):
        def write(self, data):
            held.append(budget.held_bytes)
            super().write(data)

    caller, _, _ = relay(Backend(answer), body_budget=budget, caller=MeasuringCaller())
    assert len(caller.body) == LARGE
    assert held == [2 * LARGE] and budget.held_bytes == 0


def test_answer_waits_for_room():
    budget = BodyBudget(4 * MIB)
    with budget.open("other", is_response=True) as other:
        assert other.grow(MIB, 0.0)
        timer = threading.Timer(0.2, lambda: other.shrink(0))
        timer.start()
        caller, _, _ = relay(Backend(large(200, "Stamp: 1")), body_budget=budget)
        timer.join()
    assert (caller.status, len(caller.body), budget.refused_response_count) == (200, LARGE, 0)


def test_answer_that_pauses_gives_its_memory_to_others():
    # Answers whose last bytes never came kept the memory from others until their deadline.
    budget, grown = BodyBudget(4 * MIB), []
    paused = Backend(sends(head(200, "Stamp: 1", f"Content-Length: {LARGE}") + bytes(LARGE - 1), pause_s=3.0))
    with budget.open("other", is_response=True) as other:
        waiting = threading.Timer(0.2, lambda: grown.append(other.grow(MIB, 2.0)))
        waiting.start()
        caller, exchange, _ = relay(
            paused, Backend(sends(WHOLE)), kind=RouteKind.IDEMPOTENT, body_budget=budget, event_s=0.01, deadline_s=10.0
        )
        waiting.join()
    assert (caller.body, grown) == (b"whole", [True])
    assert exchange.pool.avoided_ids() == ["0"]


def test_answer_of_an_avoided_server_is_not_forwarded_for_want_of_memory(full_budget, monkeypatch):
    # Callers got the beginnings of answers that had no end.
    monkeypatch.setattr(BackendPool, "is_avoided", lambda self, record: True)
    caller, exchange, _ = relay(Backend(large(200, "Stamp: 1")), body_budget=full_budget)
    assert caller.status == 502 and exchange.verdict.value == "may_have_run"


def test_answer_without_room_is_forwarded_before_the_deadline():
    # It waited for room for all of the time that was left, so that its caller had given up.
    budget, started = BodyBudget(4 * MIB), time.monotonic()
    with budget.open("other", is_response=True) as other:
        assert other.grow(MIB, 0.0)
        caller, _, aborted = relay(Backend(large(200, "Stamp: 1")), body_budget=budget, deadline_s=1.2)
    assert (caller.status, len(caller.body), aborted) == (200, LARGE, False)
    assert time.monotonic() - started < 1.0
