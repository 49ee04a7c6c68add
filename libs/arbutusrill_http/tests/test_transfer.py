"""Tests the verdicts of failed transfers and the timeouts of unresponsive connections."""

import contextlib
import gc
import resource
import socket
import threading
import time
import weakref

import pytest
from arbutusrill_base import Verdict
from werkzeug.wrappers import Response

from arbutusrill_http import (
    BodyBudget,
    ConnectionPool,
    HttpServer,
    Server,
    ServerConnections,
    Transfer,
    _socket_transfer,
    _transfer,
)
from arbutusrill_http._sockets import set_dead_peer_timeouts


@pytest.fixture(autouse=True, params=["libcurl", "sockets"])
def way(request):
    """Runs each test with both clients."""
    global fetch
    fetch = _transfer.fetch if request.param == "libcurl" else fetch_on_sockets
    return request.param


def fetch_on_sockets(transfer):
    address = transfer.url.split("/")[2]
    transfer.connections = ServerConnections(ConnectionPool(), Server("s", address, 1), is_once=True)
    return _transfer.fetch(transfer)


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
    result = fetch(Transfer("POST", serve_once(script), body=b"x"))
    assert not result.is_complete
    assert result.verdict is Verdict.MAY_HAVE_RUN


def test_heads_are_reported_as_they_arrive_with_the_values_of_repeated_fields():
    # With only the last value, a field that was sent twice looked like a valid one.
    interim = b"HTTP/1.1 103 Early Hints\r\nHint: 1\r\n\r\n"
    final = b"HTTP/1.1 200 OK\r\nTime: 1\r\ntime: 2\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 0\r\n\r\n"
    url = serve_once(lambda connection: (connection.recv(9999), connection.sendall(interim + final)))
    heads = []
    fetch(Transfer("GET", url, on_any_head=lambda status, headers_by_name: heads.append((status, {**headers_by_name}))))
    (first, first_headers), (second, second_headers) = heads
    assert (first, first_headers, second) == (103, {"hint": "1"}, 200)
    assert (second_headers["time"], second_headers["set-cookie"]) == ("1, 2", "b")


def test_silent_server_fails_after_stall_s():
    started = time.monotonic()
    result = fetch(Transfer("POST", serve_once(lambda c: time.sleep(5)), body=b"x", stall_s=0.4))
    assert (result.error, result.verdict) == ("stall", Verdict.MAY_HAVE_RUN)
    assert time.monotonic() - started < 3


def test_transfers_never_share_a_connection():
    # On a shared connection, a late or repeated response to an earlier request was taken for the response to the next.
    ports = []

    def app(environ, start):
        ports.append(environ["REMOTE_PORT"])
        return Response(b"ok")(environ, start)

    with HttpServer("127.0.0.1", 0, app) as server:
        for _ in range(4):
            assert fetch(Transfer("GET", f"http://{server.address}/")).is_complete
    assert len(set(ports)) == 4


def test_repeated_response_is_not_read_by_the_next_transfer():
    listener = socket.create_server(("127.0.0.1", 0))

    def answer_twice():
        for number in range(2):
            connection, _ = listener.accept()
            connection.recv(9999)
            response = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % number
            connection.sendall(response + response)

    threading.Thread(target=answer_twice, daemon=True).start()
    url = "http://{}:{}/".format(*listener.getsockname())
    assert [fetch(Transfer("GET", url)).body for _ in range(2)] == [b"0", b"1"]


def test_trailer_fields_do_not_change_the_head():
    # A trailer "X-Refused" turned an answered request into one that was reported as not run.
    def script(connection):
        connection.recv(9999)
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
            b"HTTP/1.1 503 Full\r\nX-Refused: 1\r\n\r\n"
        )

    result = fetch(Transfer("POST", serve_once(script), body=b"x"))
    assert "x-refused" not in result.headers_by_name
    assert result.status == 200


def endless(head, part):
    def script(connection):
        connection.recv(9999)
        connection.sendall(head)
        try:
            while True:
                connection.sendall(part)
        except OSError:
            pass

    return script


@pytest.mark.parametrize(
    ("head", "part"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + b"x" * 65536 + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"X-Field: " + b"y" * 1000 + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-Field: ", b"y" * 65536),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"", b"no http at all "),
    ],
)
def test_bytes_without_end_fail_early_and_take_little_memory(head, part):
    # A body that was collected without a limit took the process to 2 GB within seconds.
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    started = time.monotonic()
    result = fetch(Transfer("POST", serve_once(endless(head, part)), body=b"x", timeout_s=20))
    assert not result.is_complete
    assert result.verdict is Verdict.MAY_HAVE_RUN
    assert time.monotonic() - started < 10
    assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before < 64 * 1024  # KiB


def test_bytes_without_progress_end_as_a_stall():
    def script(connection):
        connection.recv(9999)
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        try:
            while True:
                connection.sendall(b":")
                time.sleep(0.1)
        except OSError:
            pass

    started = time.monotonic()
    received = []
    transfer = Transfer("POST", serve_once(script), body=b"x", stall_s=0.5, on_data=received.append)
    transfer.progress_at = lambda: started
    assert fetch(transfer).error == "stall"
    assert received and time.monotonic() - started < 5


def test_unresponsive_connections_have_tcp_timeouts(monkeypatch, way):
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

    def on_socket(connection, unacknowledged_s):
        set_dead_peer_timeouts(connection, unacknowledged_s)
        client_options.append(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))

    monkeypatch.setattr(_transfer, "_on_socket_created", on_connection)
    monkeypatch.setattr(_socket_transfer, "set_dead_peer_timeouts", on_socket)
    with HttpServer("127.0.0.1", 0, app) as server:
        assert fetch(Transfer("GET", f"http://{server.address}/")).is_complete
    assert (server_options, client_options) == ([10_000, 1, 1], [2000])


HEAD = b"HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize(
    "head",
    [
        HEAD,
        HEAD.replace(b"Content-Length: 0", b"Connection: close"),
        HEAD.replace(b"200 OK", b"503 Full"),
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + HEAD,
    ],
)
def test_head_that_breaks_off_at_any_byte_is_no_response(method, head):
    # A head without the last byte of its empty line was a complete response with an empty body.
    listener = socket.create_server(("127.0.0.1", 0))

    def answer():
        for length in range(len(head) + 1):
            connection, _ = listener.accept()
            with connection:
                connection.recv(9999)
                connection.sendall(head[:length])

    threading.Thread(target=answer, daemon=True).start()
    url = "http://{}:{}/".format(*listener.getsockname())
    for length in range(len(head) + 1):
        heads = {}
        body = b"x" if method == "POST" else b""
        result = fetch(Transfer(method, url, body=body, on_head=heads.__setitem__))
        is_whole = length == len(head)
        assert (result.is_complete, bool(heads)) == (is_whole, is_whole), head[:length]
        assert is_whole or result.verdict is Verdict.MAY_HAVE_RUN


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("rest", "is_complete"),
    [
        (b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole", True),
        (b"Content-Length: 5\r\nContent-Length: 3\r\n\r\nwhole", False),
        (b"Content-Length: 3\r\nContent-Length: 5\r\n\r\nwhole", False),
        (b"Content-Length: 3, 5\r\n\r\nwhole", False),
        (b"Content-Length: -5\r\n\r\nwhole", False),
        (b"Content-Length: 99999999999999999999\r\n\r\nwhole", False),
        (b"Content-Length: 005\r\n\r\nwhole", True),
        (b"Content-Length: 3\r\n" + CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n", True),
        (CHUNKED + b"5\r\nwhole\r\n0\r\n", False),
        (CHUNKED + b"5\r\nwhole\r\n", False),
        (CHUNKED + b"zz\r\nwhole\r\n0\r\n\r\n", False),
        (CHUNKED + b"5\r\nwholeX\r\n0\r\n\r\n", False),
        (CHUNKED + b"fffffffffffffffff\r\nwhole\r\n", False),
        (b"\r\nwhole", True),
        (b"HTTP: 503 X\r\nContent-Length: 5\r\n\r\nwhole", True),
        (b"HTTP/1.1: 503 X\r\nContent-Length: 5\r\n\r\nwhole", False),
    ],
)
def test_body_is_complete_only_with_valid_framing(rest, is_complete):
    # A body with a stated length of more than 64 bits was complete after any number of bytes.
    heads = []

    def script(connection):
        connection.recv(9999)
        connection.sendall(b"HTTP/1.1 200 OK\r\nId: r\r\n" + rest)

    result = fetch(Transfer("GET", serve_once(script), timeout_s=5, on_head=lambda *head: heads.append(head[0])))
    assert result.is_complete is is_complete, result.detail
    if is_complete:
        assert (heads, result.headers_by_name["id"], result.body) == ([200], "r", b"whole")


OK = b"HTTP/1.1 200 OK\r\n"
PLAIN = b"Content-Length: 5\r\n\r\nwhole"


@pytest.mark.parametrize(
    "response",
    [
        OK + b"Served By: s\r\n" + PLAIN,
        OK + b"Served-By : s\r\n" + PLAIN,
        OK + b"Served\x00By: s\r\n" + PLAIN,
        OK + b"Served\xc3By: s\r\n" + PLAIN,
        OK + b": s\r\n" + PLAIN,
        OK + b"Served-By s\r\n" + PLAIN,
        OK + b"Served-By: a\x01b\r\n" + PLAIN,
        OK + b"Served-By: a\x7f\r\n" + PLAIN,
        OK + b"Served-By: \x1b\r\n" + PLAIN,
        OK + b"Served-By: a\rb\r\n" + PLAIN,
        OK + b"Served-By: s\n" + PLAIN,
        b"HTTP/1.1 103 Early Hints\r\nBad Hint: 1\r\n\r\n" + OK + PLAIN,
        b"HTTP/1.1 103 Early Hints\r\nHint: \x02\r\n\r\n" + OK + PLAIN,
        OK + CHUNKED + b"5\r\nwhole\r\n0\r\nSum of: 1\r\n\r\n",
        OK + CHUNKED + b"5\r\nwhole\r\n0\r\nSum: \x03\r\n\r\n",
        OK + CHUNKED + b"5\r\nwhole\r\n0\r\nSum: 1\n\r\n",
        OK + CHUNKED + b"5;a=\x04\r\nwhole\r\n0\r\n\r\n",
        OK + CHUNKED + b"5\nwhole\r\n0\r\n\r\n",
        OK + CHUNKED + b"5 5\r\nwhole\r\n0\r\n\r\n",
    ],
)
def test_malformed_field_or_chunk_line_makes_no_answer(response):
    # A field name with a space, or a value with a control character, reached the caller inside a success.
    url = serve_once(lambda connection: (connection.recv(9999), connection.sendall(response)))
    result = fetch(Transfer("POST", url, body=b"x", timeout_s=5))
    assert (result.error, result.verdict) == ("malformed", Verdict.MAY_HAVE_RUN), result


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 000 X",
        b"HTTP/1.1 001 X",
        b"HTTP/1.1 099 X",
        b"HTTP/1.1 99 X",
        b"HTTP/1.1 600 X",
        b"HTTP/1.1 999 X",
        b"HTTP/1.1 2000 X",
        b"HTTP/1.1 -20 X",
        b"HTTP/1.1 2x0 X",
        b"HTTP/1.1 200",
        b"HTTP/1.1 200X",
        b"HTTP/1.1  200 X",
        b"HTTP/1.1\t200 X",
        b"HTTP/1.1 200 X\x01",
        b"HTTP/1.1 200 \x7f",
        b"HTTP/1.1 200 X\r",
        b"HTTP/1 200 X",
        b"HTTP/2 200 X",
        b"HTTP/2.0 200 X",
        b"http/1.1 200 X",
        b"HTTP/1.1 ",
        b"200 X",
    ],
)
@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"])
def test_status_line_that_http_does_not_allow_makes_no_answer(interim, line):
    # An answer with a status that does not exist reached the caller as one of the server.
    response = interim + line + b"\r\n" + PLAIN
    heads = []
    url = serve_once(lambda connection: (connection.recv(9999), connection.sendall(response)))
    transfer = Transfer("POST", url, body=b"x", timeout_s=5, on_head=lambda *head: heads.append(head))
    result = fetch(transfer)
    assert (result.is_complete, result.verdict, heads) == (False, Verdict.MAY_HAVE_RUN, []), result
    assert result.error in ("malformed", "broken")


def test_field_values_may_hold_any_text_and_lose_only_spaces_and_tabs_around_it():
    response = OK + b"By: \t\xa0\xe9 b\t \r\n" + PLAIN
    result = fetch(Transfer("GET", serve_once(lambda c: (c.recv(9999), c.sendall(response)))))
    assert (result.is_complete, result.headers_by_name["by"]) == (True, "\xa0\xe9 b")


def test_body_that_ends_with_its_connection_is_complete_unless_the_connection_is_reset():
    def reset(connection):
        connection.recv(9999)
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        time.sleep(0.1)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")

    result = fetch(Transfer("GET", serve_once(reset)))
    assert (result.error, result.verdict) == ("broken", Verdict.MAY_HAVE_RUN)


@pytest.mark.parametrize("target", ["caf%c3%a9", "a%2fb/../c//d?x=%7e&y=%7E", "a;b,c=(d)'!*$@:[]|{}^`\"<>\\"])
def test_target_is_sent_unchanged(target):
    # The digits of percent-encoded octets were sent in upper case, so that a runner got another path.
    received = []

    def script(connection):
        received.append(connection.recv(9999))
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    assert fetch(Transfer("GET", serve_once(script) + target)).is_complete
    assert received[0].startswith(f"GET /{target} HTTP/1.1\r\n".encode())


def test_bytes_beyond_ascii_in_a_header_or_target_are_sent_unchanged():
    # Callers with such a header got 500: libcurl's binding accepts texts only in ASCII.
    received = []

    def script(connection):
        received.append(connection.recv(9999))
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    url = serve_once(script)
    assert fetch(Transfer("GET", url + "caf\xe9", ["X-Name: caf\xe9", "X-Other: \u20ac"])).is_complete
    assert b"/caf%E9 " in received[0] and b"X-Name: caf\xe9\r\n" in received[0]
    assert "X-Other: \u20ac\r\n".encode() in received[0]


def repeat(prefix, part):
    """Returns a script that sends `part` until the client closes the connection."""

    def script(connection):
        connection.recv(9999)
        with contextlib.suppress(OSError):
            connection.sendall(prefix)
            for _ in range(5000):
                connection.sendall(part)

    return script


@pytest.mark.parametrize(
    ("prefix", "part"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"Part: " + bytes(range(97, 123)) * 100 + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\nPart: ", b"x" * 1024),
        (b"", b"HTTP/1.1 103 Early Hints\r\nHint: 1\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", b"Part: " + b"x" * 1024 + b"\r\n"),
    ],
    ids=["fields", "line", "interim heads", "trailers"],
)
def test_head_without_end_is_not_kept(prefix, part):
    # Up to 300 kB of a head were kept for each response, and trailers without a limit on their number.
    heads = []
    transfer = Transfer("GET", serve_once(repeat(prefix, part)), on_any_head=lambda *head: heads.append(head))
    result = fetch(transfer)
    assert (result.error, result.verdict) == ("too_large", Verdict.MAY_HAVE_RUN), result
    assert sum(len(name) + len(value) for name, value in result.headers_by_name.items()) <= 32 * 1024
    assert len(heads) <= 32


def test_body_that_finds_no_room_ends_the_transfer():
    # Each response was limited, but not the sum of all that a process keeps.
    budget = BodyBudget(1024 * 1024)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n"
    with budget.open("clinic", is_response=True) as memory:
        result = fetch(Transfer("GET", serve_once(repeat(head, bytes(1024))), memory=memory))
        assert (result.error, result.verdict) == ("no_memory", Verdict.MAY_HAVE_RUN), result
        assert 0 < budget.held_bytes <= budget.total_bytes
    assert budget.held_bytes == 0 and (budget.refused_response_count, budget.refused_count) == (1, 0)


@pytest.mark.parametrize("limit", ["timeout_s", "stall_s"])
def test_response_that_has_arrived_counts_after_a_limit_that_passed_while_the_thread_waited(limit):
    # A thread that got no processor time reported a timeout, although the whole response was in its socket.
    url = serve_once(lambda c: (c.recv(9999), c.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"), c.recv(1)))
    transfer = Transfer("GET", url, on_any_head=lambda *_: time.sleep(0.4), progress_at=lambda: started)
    setattr(transfer, limit, 0.3)
    started = time.monotonic()
    result = fetch(transfer)
    assert (result.error, result.body) == ("", b"ab")


@pytest.mark.parametrize("ending", ["complete", "malformed", "broken"])
def test_transfer_leaves_nothing_to_the_garbage_collector(ending):
    # Its parser and its state referred to each other, so that the bodies of 200 uploads took 269 MB of 150.
    response = {"complete": OK + PLAIN, "malformed": OK + b"Served By: s\r\n" + PLAIN, "broken": OK + b"Content-Le"}
    url = serve_once(lambda connection: (connection.recv(9999), connection.sendall(response[ending])))
    transfer = Transfer("POST", url, body=b"x" * 1000, on_data=lambda data: None)
    freed = weakref.ref(transfer.on_data)
    gc.disable()
    try:
        result = fetch(transfer)
        del transfer
        assert (result.error, freed()) == ("" if ending == "complete" else ending, None)
    finally:
        gc.enable()


def test_request_whose_caller_has_left_is_not_sent():
    # It was sent to a server that accepted its connection at once.
    received = []
    application = lambda environ, start: received.append(environ) or Response("done")(environ, start)  # noqa: E731
    with HttpServer("127.0.0.1", 0, application) as server:
        for _ in range(20):
            caller, peer = socket.socketpair()
            peer.close()
            with caller:
                result = fetch(Transfer("POST", f"http://{server.address}/", body=b"x", caller_connection=caller))
            assert (result.error, result.verdict) == ("gone", Verdict.NOT_RUN)
    assert not received
