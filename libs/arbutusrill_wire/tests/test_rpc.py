"""Tests that calls get their own reply, respect their deadline and cannot send oversized frames."""

import socket
import threading
import time

import pytest

from arbutusrill_wire import NotSentError, RpcClient, RpcError, RpcServer, messages


class Handler:
    def __init__(self):
        self.release = threading.Event()

    def __getattr__(self, name):
        return lambda *_: None

    def propose(self, command):
        return messages.Outcome(True, command.at_ms)

    def follow(self, request):
        raise messages.Refused("not_leader", "ask another", leader="127.0.0.1:9")

    def open_pool(self, name, kind):
        self.release.wait(5)


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def client(handler):
    with RpcServer("127.0.0.1", 0, {messages.Control: handler}) as server, RpcClient(server.address) as client:
        yield client
        handler.release.set()


def test_call_returns_the_result(client):
    outcome = client.call(messages.Control, "propose", messages.Command("r", "a", 7), timeout=2)
    assert outcome.revision == 7


def test_call_raises_the_declared_exception(client):
    with pytest.raises(messages.Refused) as caught:
        client.call(messages.Control, "follow", messages.FollowRequest(), timeout=2)
    assert caught.value.leader == "127.0.0.1:9"


def test_call_fails_at_its_deadline(client):
    started = time.monotonic()
    with pytest.raises(RpcError):
        client.call(messages.Control, "open_pool", "a", "model", timeout=0.2)
    assert time.monotonic() - started < 2


def test_refused_connection_is_reported_as_not_sent():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    with pytest.raises(NotSentError):
        RpcClient(address).call(messages.Control, "propose", messages.Command(), timeout=1)


def test_oversized_frame_closes_the_connection(client):
    host, port = client.address.split(":")
    with socket.create_connection((host, int(port)), timeout=5) as raw:
        raw.sendall(b"\x7f\xff\xff\xff")
        assert raw.recv(1) == b""


def test_service_added_later_is_served(handler):
    with RpcServer("127.0.0.1", 0, {}) as server, RpcClient(server.address) as client:
        with pytest.raises(RpcError, match="unknown method"):
            client.call(messages.Control, "propose", messages.Command("r-1", at_ms=5), timeout=2.0)
        server.add_service(messages.Control, handler)
        assert client.call(messages.Control, "propose", messages.Command("r-1", at_ms=5), timeout=2.0).revision == 5


def test_on_call_reports_method_and_outcome(handler):
    calls = []
    with RpcServer("127.0.0.1", 0, {messages.Control: handler}) as server, RpcClient(server.address) as client:
        server.on_call = lambda method, outcome, took_s: calls.append((method, outcome))
        client.call(messages.Control, "propose", messages.Command("r-1"), timeout=2.0)
        with pytest.raises(messages.Refused):
            client.call(messages.Control, "follow", messages.FollowRequest("vm"), timeout=2.0)
    assert calls == [("propose", "ok"), ("follow", "refused")]
