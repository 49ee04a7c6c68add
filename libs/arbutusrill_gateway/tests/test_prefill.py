"""Tests that a failed prefill engine is reported to the leader, so that other requests avoid it."""

import socket
from types import SimpleNamespace

from arbutusrill_base import ManualClock
from arbutusrill_wire import messages

from arbutusrill_gateway import BackendRequest, CallerRequest, PlacementClient
from arbutusrill_gateway._prefill import run_prefill


class NoHeaders:
    def request_headers(self, request, backend_request):
        return []


class Leader:
    def __init__(self):
        self.calls = []

    def call(self, name, message, **_):
        self.calls.append((name, message))


class Pool:
    def track_request(self, backend, tokens):
        return socket.socket()  # any context manager

    def record_failure(self, record, reason, avoid):
        pass

    def pick(self, *_):
        return None

    def is_usable(self, record):
        return True


def closed_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return "{}:{}".format(*server.getsockname())


def test_unreachable_prefill_engine_is_reported_before_the_stream_ends():
    # If the report waited for the release of the placement, the leader would assign the engine to other requests for
    # the duration of the stream.
    unreachable = messages.BackendRecord("p", 1, 1, "model", closed_address(), "z1", 8, False, "prefill", [])
    leader = Leader()
    placements = PlacementClient("vm", 1, leader, SimpleNamespace(backends_by_id={}), ManualClock())
    exchange = SimpleNamespace(
        request=CallerRequest("r", "POST", "h", "/x", [], b""),
        pool=Pool(),
        placements=placements,
        protocol=NoHeaders(),
        service=None,
        has_time=lambda: True,
        remaining_s=lambda: 1.0,
        backend_request=lambda candidate, **_: BackendRequest(candidate.record, 1.0),
        record_prefill_attempt=lambda candidate, result: None,
        response_observer=lambda candidate: None,
        connections_to=lambda candidate, is_once: None,
    )
    placement = SimpleNamespace(prefill=unreachable)
    with placements:
        assert run_prefill(exchange, placement) is None
    (name, message), *rest = leader.calls
    assert (name, message.place, message.unresponsive, rest) == ("free_place", 0, ["p"], [])
