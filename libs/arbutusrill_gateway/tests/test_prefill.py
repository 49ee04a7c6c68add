"""Guards against prefill engines that do not answer and are chosen again and again."""

import socket
from types import SimpleNamespace

from arbutusrill_base import ManualClock
from arbutusrill_wire import messages

from arbutusrill_gateway import CallerRequest, Places, Send
from arbutusrill_gateway._prefill import run_prefill


class NoHeaders:
    def headers(self, request, send):
        return []


class Leader:
    def __init__(self):
        self.calls = []

    def call(self, name, message, **_):
        self.calls.append((name, message))


class Pool:
    def hold(self, backend, tokens):
        return socket.socket()  # any context manager

    def failed(self, record, reason, avoid):
        pass

    def pick(self, *_):
        return None


def closed_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return "{}:{}".format(*server.getsockname())


def test_leader_hears_of_a_prefill_engine_that_is_gone_before_the_stream_has_ended():
    # It was told with the end of the place, and gave the engine to others for the seconds of a stream.
    gone = messages.BackendRecord("p", 1, 1, "model", closed_address(), "z1", 8, False, "prefill", [])
    leader = Leader()
    places = Places("vm", 1, leader, SimpleNamespace(backends_by_id={}), ManualClock())
    exchange = SimpleNamespace(
        request=CallerRequest("r", "POST", "h", "/x", [], b""),
        pool=Pool(),
        places=places,
        protocol=NoHeaders(),
        service=None,
        has_time=lambda: True,
        remaining_s=lambda: 1.0,
        send=lambda candidate, **_: Send(candidate.record, 1.0),
        note_prefill=lambda candidate, made: None,
    )
    place = SimpleNamespace(prefill=gone)
    assert run_prefill(exchange, place) is None
    (name, told), *rest = leader.calls
    assert (name, told.place, told.unresponsive, rest) == ("free_place", 0, ["p"], [])
