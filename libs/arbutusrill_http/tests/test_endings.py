"""Guards against connections that end, and requests that are rejected, without a trace."""

import socket
import time

import pytest

from arbutusrill_http import AbortStreamError, ConnectionEndings, HttpLimits, HttpServer, _endings

LIMITS = HttpLimits(connections=4, header_bytes=2000, idle_s=0.3, header_s=2.0)
GET = b"GET /x?key=secret HTTP/1.1\r\nHost: x\r\n%b\r\n"


def app(environ, start):
    start("200 OK", [])(b"some")
    if environ["QUERY_STRING"] == "":
        raise AbortStreamError("no more")
    return []


@pytest.fixture
def lines(monkeypatch):
    class Log:
        def emit(self, event, **fields):
            lines.append({"event": event, **fields})

    lines = []
    monkeypatch.setattr(_endings, "_events", Log())
    return lines


@pytest.mark.parametrize(
    "data, reason",
    [
        (GET % b"", "idle"),
        (GET % b"Connection: close\r\n", "response"),
        (b"GET /x?key=secret HTTP/1.1\r\nHost: x\r\nX: " + b"x" * 5000, "rejected"),
        (b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n", "cut"),
    ],
)
def test_ending_of_a_connection_is_counted_and_failures_are_logged(lines, data, reason):
    # Nothing told whether a request had been rejected by the server, or how its connection had ended.
    endings = ConnectionEndings()
    with HttpServer("127.0.0.1", 0, app, LIMITS, endings=endings) as server:
        host, port = server.address.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as connection:
            connection.sendall(data)
            connection.makefile("rb").read()
    assert endings.by_reason() == {reason: 1}
    assert endings.by_code() == ({"headers_too_large": 1} if reason == "rejected" else {})
    assert [row["event"] for row in lines] == {"rejected": ["request_rejected"], "cut": ["response_cut"]}.get(
        reason, []
    )
    assert all(row["request_line"] in ("GET /x", "GET /x HTTP/1.1") for row in lines)


def test_connection_that_its_caller_closes_is_counted():
    endings = ConnectionEndings()
    with HttpServer("127.0.0.1", 0, app, endings=endings) as server:
        host, port = server.address.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as connection:
            connection.sendall(GET % b"")
            connection.recv(1000)
        deadline = time.monotonic() + 5
        while server.open_connections() and time.monotonic() < deadline:
            time.sleep(0.01)
    assert endings.by_reason() == {"caller": 1}


@pytest.mark.parametrize(
    "data",
    [b"GET /x y HTTP/1.0\r\n\r\n", b"GET /x HTTP/x\r\n\r\n", GET % (b"X: " + b"x" * 70_000 + b"\r\n")],
)
def test_request_that_cannot_be_parsed_is_rejected_once(data):
    # The rejection of a head that http.server refuses failed half-way and was followed by one as an internal error.
    endings = ConnectionEndings()
    with HttpServer("127.0.0.1", 0, app, HttpLimits(header_bytes=100_000), endings=endings) as server:
        host, port = server.address.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as connection:
            connection.sendall(data)
            response = connection.makefile("rb").read()
    assert response.startswith(b"HTTP/1.1 4") and response.count(b"HTTP/1.1") == 1
    assert endings.by_code() == {"bad_request": 1}
