"""Tests of connections that are kept, against servers that end or spoil them at the moment of use."""

import contextlib
import socket
import threading
import time

import pytest
from arbutusrill_base import ManualClock, Verdict

from arbutusrill_http import ConnectionPool, Server, ServerConnections, Transfer, fetch

WHOLE = b"HTTP/1.1 200 OK\r\nId: %b\r\nKeep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\nwhole"


class KeepingServer:
    """Serves each connection with `serve(connection, number)`; `requests` holds connection number and bytes read."""

    def __init__(self, serve):
        self.requests = []
        self._serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        for number in range(20):
            connection, _ = self._listener.accept()
            threading.Thread(target=self._run, args=(connection, number), daemon=True).start()

    def _run(self, connection, number):
        with connection, contextlib.suppress(OSError):
            self._serve(self, connection, number)

    def read(self, connection, number):
        """Reads a request and returns its id, empty at the end of the input."""
        data = connection.recv(65536)
        if data:
            self.requests.append((number, data))
        return data.partition(b"\r\nId: ")[2].partition(b"\r\n")[0]


class Client:
    """Sends requests through a pool whose clock stands still; `ids` are those of the responses that were passed on."""

    def __init__(self, server, limit=4):
        self.clock = ManualClock()
        self.pool = ConnectionPool(self.clock)
        self.server = Server("s", server.address, 1)
        self.pool.retain({self.server: limit})
        self.heads = []

    def send(self, id_, is_once=True, method="POST", body=b"body", **options):
        connections = ServerConnections(self.pool, self.server, is_once, id_, lambda: True)
        transfer = Transfer(method, f"http://{self.server.address}/", [f"Id: {id_}"], body, connections=connections)
        transfer.answer_id = lambda status, headers_by_name: headers_by_name.get("id", "")
        transfer.on_any_head = lambda status, headers_by_name: self.heads.append(headers_by_name.get("id"))
        transfer.timeout_s = 3.0
        for name, value in options.items():
            setattr(transfer, name, value)
        return fetch(transfer)


def answers(*responses):
    """Serves the responses in turn on each connection; `%b` in them is the id of the request, None closes it."""

    def serve(server, connection, number):
        for response in responses:
            id_ = server.read(connection, number)
            if not id_:  # the end of the input: this end stays open
                break
            if response is None:
                return
            connection.sendall(response % id_ if b"%b" in response else response)
        time.sleep(2)

    return serve


def connections_used(server):
    return [number for number, _ in server.requests]


def test_connection_is_used_again_after_a_whole_response():
    server = KeepingServer(answers(WHOLE, WHOLE, WHOLE))
    client = Client(server)
    results = [client.send(id_) for id_ in "abc"]
    assert [(result.body, result.verdict) for result in results] == [(b"whole", Verdict.RAN)] * 3
    assert connections_used(server) == [0, 0, 0]
    assert (client.pool.opened_count, client.pool.reused_count, client.pool.idle_count()) == (1, 2, 1)


CHUNKED = b"HTTP/1.1 200 OK\r\nId: %b\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n"


@pytest.mark.parametrize(
    ("response", "is_complete"),
    [
        (WHOLE.replace(b"Keep-", b"Connection: close\r\nKeep-"), True),
        (WHOLE.replace(b"Keep-", b"Connection: x, Close\r\nKeep-"), True),
        (WHOLE + b"x", True),
        (WHOLE + WHOLE.replace(b"%b", b"other"), True),
        (WHOLE.replace(b"HTTP/1.1", b"HTTP/1.0"), True),
        (WHOLE.replace(b"Content-Length: 5\r\n", b"Content-Length: 5\n"), False),
        (WHOLE.replace(b"Content-Length:", b"Content-Length :"), False),
        (WHOLE.replace(b"Keep-Alive: timeout=5", b"Keep-Alive: timeout=0"), True),
        (CHUNKED + b"Content-Length: 5\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", True),
        (CHUNKED + b"\r\n5\r\nwhole\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n", True),
        (CHUNKED + b"\r\n5\r\nwholeX\r\n0\r\n\r\n", False),
        (CHUNKED + b"\r\n5 5\r\nwhole\r\n0\r\n\r\n", False),
        (CHUNKED + b"\r\n5;" + b"x" * 2000, False),
        (CHUNKED + b"\r\n5\r\nwhole\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n", False),
        (CHUNKED.replace(b"chunked", b"gzip, chunked") + b"\r\n5\r\nwhole\r\n0\r\n\r\n", False),
        (WHOLE.replace(b"Content-Length: 5", b"Content-Length: 5, 6"), False),
        (WHOLE.replace(b"Content-Length: 5", b"Content-Length: +5"), False),
        (WHOLE.replace(b"Content-Length: 5", b"Content-Length: 0\r\n 5"), False),
        (WHOLE.replace(b"Keep-Alive: timeout=5", b"no field"), False),
        (WHOLE.replace(b"200 OK", b"101 Switching Protocols"), False),
        (b"\r\n" + WHOLE, False),
    ],
)
def test_connection_is_closed_after_a_response_whose_end_is_in_doubt(response, is_complete):
    # Bytes beyond a response, or within one whose length is in doubt, would be taken for the response to the next.
    server = KeepingServer(answers(response, WHOLE))
    client = Client(server)
    assert client.send("a").is_complete is is_complete
    assert client.pool.idle_count() == 0
    client.send("b")
    assert connections_used(server) == [0, 1]


def test_idle_connection_with_bytes_or_an_end_is_not_used():
    for late in (b"HTTP/1.1 200 OK\r\n", b""):

        def serve(server, connection, number, late=late):
            connection.sendall(WHOLE % server.read(connection, number))
            time.sleep(0.1 if number == 0 else 1)
            connection.sendall(late)

        server = KeepingServer(serve)
        client = Client(server)
        client.send("a")
        time.sleep(0.3)
        assert client.send("b").body == b"whole"
        assert connections_used(server) == [0, 1]
        assert client.pool.closed_by_reason() == {"input": 1}


@pytest.mark.parametrize(
    ("keep_alive", "idle_s", "once", "repeatable"),
    [
        (b"Keep-Alive: timeout=5", 2.4, True, True),
        (b"Keep-Alive: timeout=5", 2.6, False, True),
        (b"Keep-Alive: timeout=5", 4.6, False, False),
        (b"Keep-Alive: timeout=9", 2.9, True, True),
        (b"Keep-Alive: timeout=9", 3.1, False, True),
        (b"Keep-Alive: timeout=1", 0.45, True, True),
        (b"Keep-Alive: timeout=1", 0.55, False, False),
        (b"Other: 1", 0.05, True, True),
        (b"Other: 1", 0.15, False, True),
        (b"Other: 1", 0.25, False, False),
        (b"Keep-Alive: timeout=5000000", 14.0, False, True),
        (b"Keep-Alive: timeout=5000000", 16.0, False, False),
    ],
)
def test_idle_time_up_to_which_a_connection_is_used(keep_alive, idle_s, once, repeatable):
    for is_once, is_used in ((True, once), (False, repeatable)):
        server = KeepingServer(answers(WHOLE.replace(b"Keep-Alive: timeout=5", keep_alive), WHOLE))
        client = Client(server)
        client.send("a")
        client.clock.advance(idle_s)
        assert client.pool.is_ready(client.server, is_once) is is_used
        client.send("b", is_once)
        assert connections_used(server) == [0, 0 if is_used else 1]


def test_request_on_a_connection_that_ends_at_that_moment_may_have_run():
    server = KeepingServer(answers(WHOLE, None))
    client = Client(server)
    client.send("a")
    result = client.send("b")
    assert (result.error, result.verdict, result.lost_reused) == ("broken", Verdict.MAY_HAVE_RUN, True)
    assert len(server.requests) == 2 and client.pool.idle_count() == 0


def test_connection_that_takes_no_byte_is_replaced():
    server = KeepingServer(answers(WHOLE, WHOLE))
    client = Client(server)
    client.send("a")
    (idle,) = client.pool._idle_by_server[client.server]
    idle.socket.shutdown(socket.SHUT_WR)
    assert client.send("b").body == b"whole"
    assert connections_used(server) == [0, 1]
    assert client.pool.closed_by_reason() == {"unusable": 1}


@pytest.mark.parametrize("id_", [b"a", b"other", b""])
def test_late_response_to_the_request_before_is_not_taken_for_the_answer(id_):
    # A response to the request before this one is dropped, any other ends the transfer or is left to the caller.
    def serve(server, connection, number):
        connection.sendall(WHOLE % server.read(connection, number))
        second = server.read(connection, number)
        if second:
            connection.sendall(WHOLE % id_ + WHOLE % second)
            time.sleep(1)

    server = KeepingServer(serve)
    client = Client(server)
    client.send("a")
    result = client.send("b")
    expected = "b" if id_ == b"a" else id_.decode()
    assert (result.headers_by_name["id"], client.heads[1:]) == (expected, [expected])
    assert connections_used(server) == [0, 0] and client.pool.idle_count() == 0


def test_connection_is_not_used_twice_for_one_request():
    server = KeepingServer(answers(WHOLE, WHOLE))
    client = Client(server)
    client.send("a")
    client.send("a")
    assert connections_used(server) == [0, 1]


def test_connections_that_may_be_silent_too_are_closed_with_a_silent_one():
    server = KeepingServer(answers(WHOLE))
    client = Client(server)
    old, new = [client.pool.add(client.server, socket.create_connection(server.address.split(":"))) for _ in "ab"]
    client.pool.give_back(old, 15.0, "a")
    client.clock.advance(2.0)
    client.pool.give_back(new, 15.0, "c")
    client.pool.distrust(1.5)
    assert (client.pool.idle_count(), client.pool.closed_by_reason()) == (1, {"silent": 1})
    assert client.pool.take(client.server, is_once=True) is new


def test_response_that_comes_before_the_body_is_read_ends_the_connection():
    # The server reads on: the bytes of the next request would be the rest of this body.
    def serve(server, connection, number):
        connection.sendall(WHOLE % server.read(connection, number))
        time.sleep(1)

    server = KeepingServer(serve)
    client = Client(server)
    assert client.send("a", body=b"x" * (16 * 1024 * 1024)).body == b"whole"
    assert client.pool.idle_count() == 0
    client.send("b")
    assert connections_used(server) == [0, 1]


def test_silent_connection_ends_at_the_time_limit_and_idle_ones_are_closed_with_it():
    server = KeepingServer(lambda server, connection, number: answers(WHOLE)(server, connection, number))
    client = Client(server)
    client.send("a")
    first = client.pool.take(client.server, is_once=True)
    client.send("c")
    client.pool.give_back(first, 5.0, "a")
    client.clock.advance(2.0)
    result = client.send("b", timeout_s=1.2)
    assert (result.error, result.verdict, client.pool.idle_count()) == ("timeout", Verdict.MAY_HAVE_RUN, 0)
    assert client.pool.closed_by_reason() == {"timeout": 1, "silent": 1}


def test_connection_is_closed_unless_the_response_may_be_trusted():
    server = KeepingServer(answers(WHOLE, WHOLE))
    client = Client(server)
    client.send("a", may_keep=lambda: False)
    assert client.pool.idle_count() == 0


def test_connections_are_kept_up_to_the_limit_of_their_server():
    server = KeepingServer(answers(WHOLE, WHOLE))
    client = Client(server, limit=2)
    taken = [client.pool.add(client.server, socket.create_connection(server.address.split(":"))) for _ in range(3)]
    client.pool.give_back(taken[0], 5.0, "a")
    assert client.pool.idle_count() == 0  # two are in use
    client.pool.give_back(taken[1], 5.0, "b")
    client.pool.give_back(taken[2], 5.0, "c")
    assert client.pool.idle_count() == 2
    client.pool.retain({client.server: 1})
    assert client.pool.idle_count() == 1
    client.pool.retain({Server("s", server.address, 2): 4})  # it has started again
    assert (client.pool.idle_count(), client.pool.closed_by_reason()) == (0, {"limit": 2, "server_left": 1})


def test_expired_connections_are_closed():
    server = KeepingServer(answers(WHOLE))
    client = Client(server)
    client.send("a")
    client.clock.advance(4.6)
    client.pool.close_expired()
    assert (client.pool.idle_count(), client.pool.closed_by_reason()) == (0, {"idle": 1})
