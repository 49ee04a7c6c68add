"""Requests on kept connections that backend servers end, spoil or leave silent: once-only ones run at most once."""

import contextlib
import socket
import time

import pytest
from arbutusrill_base import ManualClock, Verdict
from arbutusrill_http import ConnectionPool, Server
from arbutusrill_site import RouteKind, Service, SiteView
from arbutusrill_wire import messages

from arbutusrill_gateway import BackendConnections
from arbutusrill_gateway._connections import connection_limits

from .test_faulty_backends import WHOLE, Backend, head, relay

KEPT = WHOLE.replace(b"Stamp: 1", b"Stamp: 1\r\nKeep-Alive: timeout=5")


def answer(id_, *fields, status=200):
    return head(status, "Stamp: 1", "Keep-Alive: timeout=5", *fields, "Content-Length: 5", id=id_) + b"whole"


class KeepingBackend(Backend):
    """Answers the first request of its first connection, then does as `then(connection)` says with the second one."""

    def __init__(self, then):
        super().__init__(self._serve)
        self._then = then

    def _serve(self, connection):
        if len(self.requests) > 1:  # a new connection
            connection.sendall(answer(self._id()))
            return
        connection.sendall(answer(self._id()))
        data = connection.recv(65536)
        if data:
            self.requests.append(data)
            self._then(connection)

    def _id(self):
        return self.requests[-1].partition(b"\r\nId: ")[2].partition(b"\r\n")[0].decode()


def connections_of(*backends):
    kept = BackendConnections(None, lambda: 1, ConnectionPool())
    kept.pool.retain({Server(str(number), backend.address, 1): 8 for number, backend in enumerate(backends)})
    return kept


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")


SECOND_ANSWERS = {
    "closes": (lambda connection: None, 502),
    "resets": (reset, 502),
    "silent": (lambda connection: time.sleep(2), 504),
    "late answer to the first": (lambda c: c.sendall(answer("a") + answer("b")), 200),
    "late answer to the first, then closes": (lambda c: c.sendall(answer("a")), 502),
    "answer to another": (lambda c: c.sendall(answer("x") + answer("b")), 502),
    "answer without an id": (lambda c: c.sendall(answer("a").replace(b"Id: a\r\n", b"") + answer("b")), 502),
    "end within the body": (lambda c: c.sendall(answer("b")[:-1]), 502),
    "end within a chunk": (
        lambda c: c.sendall(head(200, "Stamp: 1", "Transfer-Encoding: chunked", id="b") + b"5\r\nwho"),
        502,
    ),
    "refusal to the first": (lambda c: c.sendall(answer("a", "Refused: 1", status=503)), 502),
}


@pytest.mark.parametrize("name", SECOND_ANSWERS)
def test_once_only_request_on_a_kept_connection_runs_once_at_most(name):
    then, status = SECOND_ANSWERS[name]
    backend, other = KeepingBackend(then), Backend(lambda connection: connection.sendall(answer("b")))
    kept = connections_of(backend, other)
    caller, _, _ = relay(backend, kept=kept, id="a")
    assert (caller.status, kept.pool.idle_count()) == (200, 1)
    caller, exchange, aborted = relay(backend, other, kept=kept, id="b", deadline_s=0.6)
    assert (caller.status, aborted) == (status, False)
    assert status != 200 or caller.body == b"whole"
    assert exchange.verdict is (Verdict.RAN if status == 200 else Verdict.MAY_HAVE_RUN)
    assert len(backend.requests) == 2 and not other.requests
    assert kept.pool.idle_count() == 0


@pytest.mark.parametrize("max_attempts", [1, 2])
@pytest.mark.parametrize("then", [lambda connection: None, reset])
def test_request_that_may_be_repeated_goes_once_more_on_a_new_connection(then, max_attempts):
    backend = KeepingBackend(then)
    kept = connections_of(backend)
    relay(backend, kept=kept, id="a")
    caller, exchange, _ = relay(
        backend, kept=kept, id="b", kind=RouteKind.IDEMPOTENT, method="GET", max_attempts=max_attempts
    )
    assert (caller.status, caller.body, len(backend.requests)) == (200, b"whole", 3)
    assert exchange.budget.try_acquire() and kept.pool.opened_count == 2


def test_without_a_retry_in_the_budget_the_request_is_not_sent_again():
    backend = KeepingBackend(lambda connection: None)
    kept = connections_of(backend)
    relay(backend, kept=kept, id="a")
    caller, _, _ = relay(backend, kept=kept, id="b", kind=RouteKind.IDEMPOTENT, retries=0)
    assert (caller.status, len(backend.requests)) == (502, 2)


def test_connection_of_a_refusal_is_closed():
    # A server whose queue is long accepts fewer connections and resets those beyond.
    refusal = answer("a", "Refused: 1", status=503)
    backend = KeepingBackend(lambda connection: None)
    backend._serve = None
    backend._scripts = (lambda connection: (connection.sendall(refusal), time.sleep(1)),)
    kept = connections_of(backend)
    caller, _, _ = relay(backend, kept=kept, id="a", max_attempts=1)
    assert (caller.status, kept.pool.idle_count(), kept.pool.closed_by_reason()) == (503, 0, {"not_kept": 1})


def test_share_of_the_connections_of_each_server():
    def record(name, service, draining=False):
        return messages.BackendRecord(name, 7, 1, service, f"10.0.0.1:{name}", "z", 8, draining, "", [])

    services = {
        "s": Service("s", max_connections=520),
        "small": Service("small", max_connections=60),
        "none": Service("none"),
    }
    records = [record("1", "s"), record("2", "s", True), record("3", "small"), record("4", "none"), record("5", "x")]
    limits = connection_limits(records, services, 66)
    assert limits == {Server("1", "10.0.0.1:1", 7): 3, Server("3", "10.0.0.1:3", 7): 0}
    assert connection_limits(records, services, 6)[Server("3", "10.0.0.1:3", 7)] == 5


def test_prefill_of_a_once_only_request_is_offered_connections_that_its_decode_may_not_use():
    # They were not named to the leader, which then chose another engine for the prefill.
    clock = ManualClock()
    view = SiteView(clock)
    kept = BackendConnections(view, lambda: 1, ConnectionPool(clock))
    for stage in ("prefill", "decode"):
        record = messages.BackendRecord(stage, 1, 1, "s", f"{stage}:1", "z", 8, False, stage, [])
        view.backends_by_id = {**view.backends_by_id, stage: record}
    servers = [Server(record.id, record.address, 1) for record in view.backends_by_id.values()]
    kept.pool.retain(dict.fromkeys(servers, 2))
    with contextlib.ExitStack() as stack:
        for server in servers:
            ends = socket.socketpair()
            stack.enter_context(ends[0])
            stack.enter_context(ends[1])
            kept.pool.give_back(kept.pool.add(server, ends[0]), 9.0, "a")
        assert set(kept.ready_ids(is_once=True)) == {"prefill", "decode"}
        clock.advance(4.0)
        assert kept.ready_ids(is_once=True) == ["prefill"]
        assert set(kept.ready_ids(is_once=False)) == {"prefill", "decode"}
