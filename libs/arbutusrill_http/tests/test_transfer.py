"""Tests the verdicts of failed transfers and the timeouts of unresponsive connections."""

import socket
import threading
import time

import pytest
from arbutusrill_base import Verdict
from werkzeug.wrappers import Response

from arbutusrill_http import HttpServer, Transfer, _transfer, fetch


def serve_once(script):
    listener = socket.create_server(("127.0.0.1", 0))

    def run():
        connection, _ = listener.accept()
        with connection:
            script(connection)

    threading.Thread(target=run, daemon=True).start()
    return "http://{}:{}/".format(*listener.getsockname())


def test_refused_connection_has_verdict_not_run():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        url = "http://{}:{}/".format(*probe.getsockname())
    result = fetch(Transfer("POST", url, body=b"x"))
    assert (result.error, result.verdict) == ("connect", Verdict.NOT_RUN)


@pytest.mark.parametrize(
    "script",
    [
        lambda connection: None,
        lambda connection: connection.recv(1),
        lambda connection: (
            connection.recv(9999),
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"),
        ),
        lambda connection: (connection.recv(9999), connection.sendall(b"HTT")),
    ],
)
def test_incomplete_response_has_verdict_may_have_run(script):
    result = fetch(Transfer("POST", serve_once(script), body=b"x", new_connection=True))
    assert not result.is_complete
    assert result.verdict is Verdict.MAY_HAVE_RUN


def test_silent_server_fails_after_stall_s():
    started = time.monotonic()
    result = fetch(Transfer("POST", serve_once(lambda c: time.sleep(5)), body=b"x", stall_s=0.4, new_connection=True))
    assert (result.error, result.verdict) == ("stall", Verdict.MAY_HAVE_RUN)
    assert time.monotonic() - started < 3


def test_fresh_transfers_never_share_a_connection():
    ports = []

    def app(environ, start):
        ports.append(environ["REMOTE_PORT"])
        return Response(b"ok")(environ, start)

    with HttpServer("127.0.0.1", 0, app) as server:
        for new_connection in (True, True, False, False):
            assert fetch(Transfer("GET", f"http://{server.address}/", new_connection=new_connection)).is_complete
    assert len(set(ports[:3])) == 3
    assert ports[2] == ports[3], "transfers without `new_connection` reuse the connection"


def test_unresponsive_connections_have_tcp_timeouts(monkeypatch):
    server_options = []

    def app(environ, start):
        connection = environ["werkzeug.socket"]
        server_options.append(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))
        server_options.append(connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        server_options.append(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        return Response(b"ok")(environ, start)

    client_options = []
    original = _transfer._on_socket_created

    def on_connection(descriptor, purpose):
        result = original(descriptor, purpose)
        with socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM) as connection:
            client_options.append(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))
        return result

    monkeypatch.setattr(_transfer, "_on_socket_created", on_connection)
    with HttpServer("127.0.0.1", 0, app) as server:
        assert fetch(Transfer("GET", f"http://{server.address}/", new_connection=True)).is_complete
    assert (server_options, client_options) == ([10_000, 1, 1], [2000])
