"""Tests that the server does not hang, rejects ambiguous requests and never makes an aborted response look complete."""

import contextlib
import json
import socket
import threading
import time

import pytest
from werkzeug.wrappers import Request, Response

from arbutusrill_http import AbortStreamError, HttpLimits, HttpServer, peer_closed
from arbutusrill_http._handler import Handler

LIMITS = HttpLimits(
    connections=4,
    header_bytes=2000,
    body_bytes=1000,
    header_s=0.5,
    body_s=0.5,
    reserve=2,
    reserved_paths=("/healthz",),
)


class App:
    def __init__(self):
        self.release = threading.Event()
        self.bodies = []

    def __call__(self, environ, start):
        request = Request(environ)
        self.bodies.append(request.get_data())
        if request.path == "/hold":
            self.release.wait(20)
        if request.path == "/abort":
            start("200 OK", [])(b"some")
            raise AbortStreamError
        if request.path == "/stream":
            start("200 OK", [])(b"some")
            return [b"more"]
        if request.path == "/bug":
            raise RuntimeError("bug")
        if request.path == "/unreachable":
            raise ConnectionResetError("another connection of the application")
        return Response(b"whole")(environ, start)


@pytest.fixture
def app():
    return App()


@pytest.fixture
def server(app):
    with HttpServer("127.0.0.1", 0, app, LIMITS) as server:
        yield server
        app.release.set()


def connect(server):
    host, port = server.address.split(":")
    return socket.create_connection((host, int(port)), timeout=10)


def exchange(server, data):
    with connect(server) as connection:
        connection.sendall(data)
        return connection.makefile("rb").read()


def get(path, more=""):
    return f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{more}\r\n".encode()


def occupy(server, app, number):
    """Opens `number` connections; returns them once each has a request in progress."""
    connections = [connect(server) for _ in range(number)]
    for connection in connections:
        connection.sendall(get("/hold"))
    until = time.monotonic() + 5
    while len(app.bodies) < number and time.monotonic() < until:
        time.sleep(0.01)
    return connections


def test_connections_above_the_limit_get_503_immediately(server, app):
    held = occupy(server, app, LIMITS.connections)
    started = time.monotonic()
    responses = [exchange(server, get("/x")) for _ in range(10)]
    assert time.monotonic() - started < 3
    for response in responses:
        assert (
            response.startswith(b"HTTP/1.1 503 ") and b'"verdict": "not_run"' in response and b"Retry-After" in response
        )
    app.release.set()
    assert all(connection.makefile("rb").read().endswith(b"whole") for connection in held)


def test_silent_connections_above_the_limit_do_not_block_the_server(server, app):
    held = occupy(server, app, LIMITS.connections)
    silent = [connect(server) for _ in range(20)]
    started = time.monotonic()
    assert exchange(server, get("/x")).startswith(b"HTTP/1.1 503 ")
    assert time.monotonic() - started < 2
    for connection in held + silent:
        connection.close()


def test_reserved_paths_are_served_when_all_connections_are_in_use(server, app):
    held = occupy(server, app, LIMITS.connections)
    assert exchange(server, get("/healthz")).endswith(b"whole")
    for connection in held:
        connection.close()


def test_idle_connections_are_evicted_for_new_ones(server):
    idle = [connect(server) for _ in range(LIMITS.connections)]
    for connection in idle:
        connection.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        connection.recv(1000)
    time.sleep(0.3)
    responses = []
    for _ in range(20):
        responses.append(exchange(server, get("/x")))
        time.sleep(0.02)
    assert any(response.endswith(b"whole") for response in responses)
    for connection in idle:
        connection.close()


@pytest.mark.parametrize(
    "start", [b"GET / HT", b"GET / HTTP/1.1\r\nHost: x\r\n", b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nab"]
)
def test_slow_request_times_out(server, start):
    started = time.monotonic()
    response = exchange(server, start)
    assert b" 408 " in response and b'"verdict": "not_run"' in response
    assert time.monotonic() - started < 5


@pytest.mark.parametrize(
    "headers, status, param",
    [
        ("Content-Length: 1\r\nContent-Length: 1\r\n", 400, "Content-Length"),
        ("Content-Length: 1\r\nContent-Length: 2\r\n", 400, "Content-Length"),
        ("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", 400, "Content-Length"),
        ("Content-Length: -1\r\n", 400, "Content-Length"),
        ("Content-Length: +1\r\n", 400, "Content-Length"),
        ("Content-Length: 1, 1\r\n", 400, "Content-Length"),
        ("Content-Length: " + "9" * 30 + "\r\n", 400, "Content-Length"),
        ("Content-Length: 1001\r\n", 413, "body"),
        ("Transfer-Encoding: gzip\r\n", 501, "Transfer-Encoding"),
        ("X-Long: " + "x" * 2500 + "\r\n", 431, "headers"),
        ("X-Folded: a\r\n b\r\n", 400, "headers"),
        ("X Space: a\r\n", 400, "headers"),
        ("no colon\r\n", 400, "headers"),
    ],
)
def test_ambiguous_request_is_rejected(server, app, headers, status, param):
    response = exchange(server, b"POST /x HTTP/1.1\r\nHost: x\r\n" + headers.encode() + b"\r\nX")
    assert response.startswith(f"HTTP/1.1 {status} ".encode()), response[:100]
    error = json.loads(response.partition(b"\r\n\r\n")[2])["error"]
    assert (error["verdict"], error["param"]) == ("not_run", param)
    assert not app.bodies


@pytest.mark.parametrize(
    "chunks, status",
    [(b"zz\r\nab\r\n", 400), (b"-1\r\nab\r\n", 400), (b"7d0\r\n" + b"x" * 2000 + b"\r\n0\r\n\r\n", 413)],
)
def test_malformed_chunks_are_rejected(server, app, chunks, status):
    response = exchange(server, b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)
    assert f" {status} ".encode() in response[:20]
    assert not app.bodies


@pytest.mark.parametrize(
    "body",
    [
        b"3\r\nabc\r\n0\r\n\r\n",
        b"1;a=b\r\na\r\n002 ; c\r\nbc\r\n0;d\r\n\r\n",
        b"3\r\nabc\r\n0\r\nX-Checksum: 1\r\nX-More: 2\r\n\r\n",
    ],
)
def test_chunked_body_is_decoded(server, app, body):
    # Bodies with chunk extensions or trailer fields were refused, although they are valid.
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert exchange(server, head + body + get("/")).count(b"HTTP/1.1 200 ") == 2
    assert app.bodies == [b"abc", b""]


def test_request_with_incomplete_body_is_not_served(server, app):
    with connect(server) as connection:
        connection.sendall(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab")
    time.sleep(0.2)
    assert not app.bodies


@pytest.mark.parametrize(
    "line", [b"GET\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"\x16\x03\x01\r\n\r\n", b"GET /" + b"a" * 3000 + b"\r\n"]
)
def test_malformed_request_line_gets_a_json_error(server, line):
    response = exchange(server, line)
    assert b'"verdict": "not_run"' in response


def test_aborted_stream_does_not_look_complete(server):
    assert exchange(server, get("/stream")).endswith(b"0\r\n\r\n")
    assert not exchange(server, get("/abort")).endswith(b"0\r\n\r\n")


def test_aborted_response_to_an_http_1_0_caller_is_reset():
    # Without a length and chunks, the end of the connection is the end of the body, so that a break looked complete.
    def app(environ, start):
        start("200 OK", [])(b"some")
        raise AbortStreamError

    with HttpServer("127.0.0.1", 0, app, LIMITS) as server, connect(server) as connection:
        connection.sendall(b"GET /x HTTP/1.0\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            while connection.recv(1000):
                pass


@pytest.mark.parametrize(("length", "continues"), [(5, 1), (5000, 0)])
def test_body_is_asked_for_once_and_only_if_its_size_is_acceptable(server, length, continues):
    with connect(server) as connection:
        head = f"POST /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: {length}"
        connection.sendall(head.encode() + b"\r\n\r\n")
        time.sleep(0.1)
        connection.sendall(b"x" * length if continues else b"")
        response = connection.makefile("rb").read()
    assert response.count(b"100 Continue") == continues
    assert (b" 200 OK" if continues else b" 413 ") in response


@pytest.mark.parametrize("path", ["/bug", "/unreachable"])
def test_application_error_has_verdict_may_have_run(server, path):
    # An error of a connection to another server was taken for one of the caller's, who got no response.
    assert b'"verdict": "may_have_run"' in exchange(server, get(path))


def test_head_has_no_body_and_http_1_0_body_ends_with_the_connection(server):
    assert exchange(server, b"HEAD /stream HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").endswith(b"\r\n\r\n")
    response = exchange(server, b"GET /stream HTTP/1.0\r\n\r\n")
    assert b"chunked" not in response and response.endswith(b"somemore")


def test_keep_alive_connection_serves_several_requests(server):
    with connect(server) as connection, connection.makefile("rb") as stream:
        for _ in range(3):
            connection.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
            assert stream.readline() == b"HTTP/1.1 200 OK\r\n"
            while stream.readline() != b"\r\n":
                pass
            assert stream.read(5) == b"whole"


def test_stopping_finishes_requests_and_refuses_new_ones(app):
    with HttpServer("127.0.0.1", 0, app, LIMITS) as server:
        (held,) = occupy(server, app, 1)
        idle = connect(server)
        idle.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        assert idle.recv(1000).endswith(b"whole")
        server.stop_listening()
        # The thread of the idle connection may still be finishing its response.
        deadline = time.monotonic() + 10
        while server.active_connections() != 1 and time.monotonic() < deadline:
            time.sleep(0.01)
        assert server.active_connections() == 1
        with pytest.raises(ConnectionRefusedError):
            connect(server)
        assert idle.recv(1) == b""
        app.release.set()
        assert held.makefile("rb").read().endswith(b"whole")


def test_requests_sent_before_the_listener_closes_are_answered(app, monkeypatch):
    # Connections in the backlog were reset, and accepted ones were closed with their first request unread.
    with HttpServer("127.0.0.1", 0, app, LIMITS) as server:
        connections = []
        drain = server._server.drain

        def drain_with_late_callers():
            drain()
            for _ in range(3):
                connections.append(connect(server))
                connections[-1].sendall(get("/x"))

        monkeypatch.setattr(server._server, "drain", drain_with_late_callers)
        server.stop_listening()
        for connection in connections:
            with connection:
                assert connection.makefile("rb").read().endswith(b"whole")


def test_request_sent_on_a_kept_connection_before_draining_is_answered():
    def app(environ, start):
        if environ["PATH_INFO"] == "/first":
            start("200 OK", [("Content-Length", "2")])(b"a")  # the head does not announce the close
            second_sent.wait(10)
            server.stop_listening()
            return [b"b"]
        return Response(b"whole")(environ, start)

    second_sent = threading.Event()
    with HttpServer("127.0.0.1", 0, app, LIMITS) as server, connect(server) as connection:
        connection.sendall(b"GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
        assert connection.recv(1000).endswith(b"a")
        connection.sendall(get("/second"))
        second_sent.set()
        assert connection.makefile("rb").read().endswith(b"whole")


@pytest.mark.parametrize("close", ["drain", "eviction"])
def test_request_that_arrives_while_its_idle_connection_is_closed_is_answered(close, monkeypatch):
    # The request was served, but its caller looked gone: it was cancelled at the backend server and got no response.
    caller_looked_gone = []

    def app(environ, start):
        caller_looked_gone.append(peer_closed(environ["werkzeug.socket"]))
        return Response(b"whole")(environ, start)

    arrived, closed = threading.Event(), threading.Event()
    with HttpServer("127.0.0.1", 0, app, LIMITS) as server, connect(server) as connection:
        connection.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        assert connection.recv(1000).endswith(b"whole")
        idle_connection = server._server.idle_connection

        @contextlib.contextmanager
        def idle_until_closed(idle):
            with idle_connection(idle) as wake_up:
                yield wake_up
                arrived.set()
                closed.wait(10)

        monkeypatch.setattr(server._server, "idle_connection", idle_until_closed)
        connection.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        connection.recv(1000)
        time.sleep(0.3)  # a connection is evicted after 0.2 s
        connection.sendall(get("/x"))
        assert arrived.wait(10)
        if close == "drain":
            server.stop_listening()
        else:
            server._server._evict_longest_idle()
        closed.set()
        assert connection.makefile("rb").read().endswith(b"whole")
    assert caller_looked_gone == [False] * 3


@pytest.mark.parametrize("idle_s, is_open", [(5.0, True), (0.2, False)])
def test_idle_connection_follows_a_change_of_the_idle_limit(app, idle_s, is_open):
    # A raised limit reached only connections that became idle later: callers that used it got no response.
    with HttpServer("127.0.0.1", 0, app, HttpLimits(idle_s=0.6)) as server, connect(server) as connection:
        connection.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        assert connection.recv(1000).endswith(b"whole")
        server.set_limits(HttpLimits(idle_s=idle_s))
        time.sleep(0.4 if not is_open else 1.0)
        if is_open:
            connection.sendall(get("/x"))
            assert connection.makefile("rb").read().endswith(b"whole")
        else:
            connection.settimeout(0)
            assert connection.recv(1) == b""


def test_idle_connection_stays_open_for_the_time_that_the_caller_was_told(app):
    # A lower limit closed connections that their callers could still use: a request that met the close got no response.
    with HttpServer("127.0.0.1", 0, app, HttpLimits(idle_s=2.5)) as server, connect(server) as connection:
        connection.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"\r\nKeep-Alive: timeout=1\r\n" in connection.recv(1000)
        server.set_limits(HttpLimits(idle_s=0.2))
        time.sleep(0.9)
        connection.sendall(get("/x"))
        response = connection.makefile("rb").read()
        assert response.endswith(b"whole") and b"Keep-Alive" not in response


def test_request_that_has_arrived_is_read_after_a_deadline_that_passed_while_the_thread_waited(server, monkeypatch):
    # A thread that did not run for a millisecond while its server drained closed a connection with an unread request.
    monkeypatch.setattr("arbutusrill_http._handler._PENDING_INPUT_WAIT_S", -1.0)
    monkeypatch.setattr("arbutusrill_http._handler._FIRST_REQUEST_WAIT_S", -1.0)
    with connect(server) as connection:
        connection.sendall(get("/x"))
        assert connection.makefile("rb").read().endswith(b"whole")


def test_new_connection_near_the_limit_wakes_only_the_idle_one_that_it_replaces(monkeypatch):
    # All idle connections polled again for each new one, which took 20 ms of processor time with 470 of them.
    polls = []
    poll = Handler._poll_with
    monkeypatch.setattr(Handler, "_poll_with", lambda *args: polls.append(args) or poll(*args))
    with (
        HttpServer("127.0.0.1", 0, Response(b"whole"), HttpLimits(connections=20)) as server,
        contextlib.ExitStack() as stack,
    ):

        def request():
            connection = stack.enter_context(connect(server))
            connection.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
            assert connection.recv(1000).endswith(b"whole")

        for _ in range(18):
            request()
        time.sleep(0.3)  # a connection is evicted after 0.2 s
        assert len(polls) == 18
        request()
        time.sleep(0.2)
        assert server.open_connections() == 18
        assert len(polls) == 19


@pytest.mark.parametrize("error", [TimeoutError, ConnectionResetError])
def test_error_of_another_connection_does_not_end_a_request_without_a_response(error):
    # An error that is not from the caller's connection looked like one, and its request got no response.
    def app(environ, start):
        raise error("of a connection to another server")

    with HttpServer("127.0.0.1", 0, app, LIMITS) as server:
        assert exchange(server, get("/x")).startswith(b"HTTP/1.1 500 ")


def test_request_after_an_empty_line_is_answered():
    # Some clients send an empty line after a body. The next request was read whole and got no response.
    with HttpServer("127.0.0.1", 0, Response(b"whole"), LIMITS) as server, connect(server) as connection:
        connection.sendall(b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na\r\n")
        assert connection.recv(1000).endswith(b"whole")
        time.sleep(0.6)  # the limit of a head is 0.5 s
        connection.sendall(get("/x"))
        assert connection.makefile("rb").read().endswith(b"whole")
        assert exchange(server, b"\r\n" + get("/x")).endswith(b"whole")


def test_target_with_two_slashes_is_passed_on_unchanged():
    # The standard library shortens it, so that a server ran a request for another path.
    targets = []

    def app(environ, start):
        targets.append(environ["arbutusrill.target"])
        return Response(b"whole")(environ, start)

    with HttpServer("127.0.0.1", 0, app, LIMITS) as server:
        exchange(server, get("//x//y?a=//b"))
        exchange(server, get("/x"))
    assert targets == ["//x//y?a=//b", "/x"]


@pytest.mark.parametrize("target", ["http://[a/", "http://a]/x", "http://[::g]/"])
def test_target_that_is_no_url_gets_a_response(server, target):
    # The request was read whole, and its connection was closed without a response.
    response = exchange(server, get(target))
    assert response.startswith(b"HTTP/1.1 400 ") and b'"verdict": "not_run"' in response


def test_error_while_a_request_is_read_does_not_end_it_without_a_response(app):
    def body_owner(_):
        raise KeyError("workspace")

    with HttpServer("127.0.0.1", 0, app, LIMITS, body_owner=body_owner) as server:
        assert exchange(server, get("/x")).startswith(b"HTTP/1.1 500 ")


def wait_for_caller(environ, start):
    """Waits like a request at a backend server, which is cancelled once its caller looks gone."""
    deadline = time.monotonic() + 5
    while not peer_closed(environ["werkzeug.socket"]):
        assert time.monotonic() < deadline
        time.sleep(0.01)
    if environ["PATH_INFO"] == "/begun":
        start("200 OK", [])(b"some")
    raise AbortStreamError


@pytest.mark.parametrize("is_stopped", [False, True])
def test_request_that_is_cancelled_before_its_response_gets_one(is_stopped):
    # Its connection was closed without a response, at the end of a VM's grace period or for a half-closed connection.
    with (
        HttpServer("127.0.0.1", 0, wait_for_caller, LIMITS) as server,
        connect(server) as connection,
        connect(server) as begun,
    ):
        connection.sendall(get("/"))
        begun.sendall(get("/begun"))
        if is_stopped:
            while server.active_connections() < 2:
                time.sleep(0.01)
            time.sleep(0.05)
            assert server.cancel_requests() == 2
        else:
            connection.shutdown(socket.SHUT_WR)
            begun.shutdown(socket.SHUT_WR)
        response = connection.makefile("rb").read()
        assert response.startswith(b"HTTP/1.1 502 ") and b"may_have_run" in response
        assert not begun.makefile("rb").read().endswith(b"0\r\n\r\n")


def test_slow_upload_that_is_rejected_gets_its_response(app):
    # After 1 s, or 256 small parts, the connection was reset, and the caller lost a response that it had not read.
    with HttpServer("127.0.0.1", 0, app, HttpLimits(body_bytes=1000)) as server, connect(server) as connection:
        connection.sendall(b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
        for _ in range(400):
            connection.sendall(bytes(250))
            time.sleep(0.005)
        assert connection.makefile("rb").read().startswith(b"HTTP/1.1 413 ")


CUT_REQUESTS = [
    b"POST /x HT",
    b"POST /x HTTP/1.1\r\nHost: x\r\n",
    b"POST /x HTTP/1.1\r\nHost: x\r\nDeadline-Ms: 14",
    b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nab",
    b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1",
    b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r",
    b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Sum: 1\r\n",
]


@pytest.mark.parametrize("part", CUT_REQUESTS)
@pytest.mark.parametrize("is_stopped", [False, True], ids=["caller", "stop"])
def test_request_whose_end_is_missing_is_neither_served_nor_rejected(app, part, is_stopped):
    # A head that broke off was served as if it were whole, and a chunked body that the end of the grace period cut off
    # was refused with 400, after which callers do not repeat a request. A close tells them that it was not read.
    with HttpServer("127.0.0.1", 0, app, LIMITS) as server, connect(server) as connection:
        connection.sendall(part)
        if is_stopped:
            time.sleep(0.1)
            assert server.cancel_requests() == 1
        else:
            connection.shutdown(socket.SHUT_WR)
        assert connection.makefile("rb").read() == b""
    assert app.bodies == []
