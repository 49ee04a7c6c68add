"""Requests that are rejected or cancelled must get a response, whatever their callers still send."""

import socket
import time

import pytest

from arbutusrill_http import AbortStreamError, HttpLimits, HttpServer, peer_closed

from .test_server import LIMITS, App, connect, exchange, get


@pytest.mark.parametrize("target", ["http://[a/", "http://a]/x", "http://[::g]/"])
def test_target_that_is_no_url_gets_a_response(target):
    # The request was read whole, and its connection was closed without a response.
    with HttpServer("127.0.0.1", 0, App(), LIMITS) as server:
        response = exchange(server, get(target))
    assert response.startswith(b"HTTP/1.1 400 ") and b'"verdict": "not_run"' in response


def test_error_while_a_request_is_read_does_not_end_it_without_a_response():
    def body_owner(_):
        raise KeyError("workspace")

    with HttpServer("127.0.0.1", 0, App(), LIMITS, body_owner=body_owner) as server:
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


def test_slow_upload_that_is_rejected_gets_its_response():
    # After 1 s, or 256 small parts, the connection was reset, and the caller lost a response that it had not read.
    with HttpServer("127.0.0.1", 0, App(), HttpLimits(body_bytes=1000)) as server, connect(server) as connection:
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
def test_request_whose_end_is_missing_is_neither_served_nor_rejected(part, is_stopped):
    # A head that broke off was served as if it were whole, and a chunked body that the end of the grace period cut off
    # was refused with 400, after which callers do not repeat a request. A close tells them that it was not read.
    app = App()
    with HttpServer("127.0.0.1", 0, app, LIMITS) as server, connect(server) as connection:
        connection.sendall(part)
        if is_stopped:
            time.sleep(0.1)
            assert server.cancel_requests() == 1
        else:
            connection.shutdown(socket.SHUT_WR)
        assert connection.makefile("rb").read() == b""
    assert app.bodies == []


@pytest.mark.parametrize(
    "head",
    [
        get("/x", "Name: a\rTenant: other\r\n"),
        get("/x", "Name: a\x01b\r\n"),
        get("/x", "Name: a\x7f\r\n"),
        get("/x", "Name: \x0b\r\n"),
        get("/x\x01"),
        get("/x\x7f?q"),
        b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nSum: \x01\r\n\r\n",
    ],
)
def test_control_character_in_a_request_is_rejected(head):
    # Servers got the character as it was, and a single CR began a header of its own.
    app = App()
    with HttpServer("127.0.0.1", 0, app, LIMITS) as server:
        response = exchange(server, head)
    assert response.startswith(b"HTTP/1.1 400 ") and b'"verdict": "not_run"' in response
    assert not app.bodies


@pytest.mark.parametrize("count", [1, 63, 64, 65, 99, 100, 101, 250])
def test_number_of_header_lines_is_limited_by_their_size_only(count):
    # A request with more than 100 lines inside the limit of their size was answered 431.
    seen = []

    def app(environ, start):
        seen.append([name for name, _ in environ["arbutusrill.headers"]])
        return App()(environ, start)

    lines = "".join(f"N{number}: \r\n" for number in range(count))
    with HttpServer("127.0.0.1", 0, app, LIMITS) as server:
        assert exchange(server, get("/x", lines)).endswith(b"whole")
        assert exchange(server, get("/x", lines + "N: " + "x" * 2000 + "\r\n")).startswith(b"HTTP/1.1 431 ")
        assert exchange(server, get("/x", lines + "N \r\n")).startswith(b"HTTP/1.1 400 ")
    assert seen == [["Host", "Connection", *(f"N{number}" for number in range(count))]]


def test_tabs_and_bytes_beyond_ascii_in_a_header_are_accepted():
    with HttpServer("127.0.0.1", 0, App(), LIMITS) as server:
        assert exchange(server, get("/x", "Name: a\tb \xc3\xa9\r\n")).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        ("000 X", []),
        ("99 X", []),
        ("600 X", []),
        ("2000 X", []),
        ("200 a\x01", []),
        ("200 OK", [("Served By", "s")]),
        ("200 OK", [("Served-By", "a\x01")]),
        ("200 OK", [("Served-By", "a\r\nOther: b")]),
        ("200 OK", [("Served-By", "a\x7f")]),
    ],
)
def test_head_that_is_no_response_is_never_written(status, headers):
    # The writer sent what it was given, as a response that no caller can read.
    def app(environ, start):
        start(status, headers)
        return [b"whole"]

    with HttpServer("127.0.0.1", 0, app, LIMITS) as server:
        response = exchange(server, get("/x"))
    assert response.startswith(b"HTTP/1.1 500 ") and b'"verdict": "may_have_run"' in response
