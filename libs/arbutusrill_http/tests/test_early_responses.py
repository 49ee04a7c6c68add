"""Responses that begin before the request has been sent in full, and connections that are reset after them."""

import contextlib
import socket
import struct
import threading
import time

import pytest
from arbutusrill_base import Verdict

from arbutusrill_http import ConnectionPool, Server, ServerConnections, Transfer, fetch

UPLOAD = b"x" * 4_000_000  # more than the buffers of the connection take
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"


@contextlib.contextmanager
def server(script):
    """Runs `script` with each connection; yields the address."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def accept():
            with contextlib.suppress(OSError):
                while True:
                    connection, _ = listener.accept()
                    threading.Thread(target=answer, args=(connection,), daemon=True).start()

        def answer(connection):
            with connection, contextlib.suppress(OSError):
                script(connection)

        threading.Thread(target=accept, daemon=True).start()
        yield "{}:{}".format(*listener.getsockname())
        listener.shutdown(socket.SHUT_RDWR)


def upload(address, client):
    connections = None
    if client == "sockets":
        connections = ServerConnections(ConnectionPool(), Server("s", address, 1), is_once=True)
    return fetch(Transfer("POST", f"http://{address}/", body=UPLOAD, timeout_s=5, connections=connections))


@pytest.mark.parametrize("client", ["libcurl", "sockets"])
@pytest.mark.parametrize("pause_s", [0.0, 0.001, 0.02])
@pytest.mark.parametrize("end", ["reset", "close"])
@pytest.mark.parametrize(
    "data",
    [
        b"",
        UNFRAMED[:9],
        UNFRAMED + b"part",
        UNFRAMED.replace(b"200 OK", b"500 Failed") + b"part",
        UNFRAMED.replace(b"OK", b"OK\r\nConnection: close") + b"part",
        UNFRAMED.replace(b"OK", b"OK\r\nContent-Length: 9") + b"part",
        UNFRAMED.replace(b"OK", b"OK\r\nTransfer-Encoding: chunked") + b"4\r\npart\r\n",
    ],
)
def test_connection_that_is_reset_during_an_upload_makes_no_complete_response(client, pause_s, end, data):
    # A write had taken the error of the reset, so that the end of the input looked like the end of the body.
    def script(connection):
        connection.recv(1000)
        connection.sendall(data)
        time.sleep(pause_s)
        if end == "reset":  # with "close", unread bytes of the upload reset the connection
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    with server(script) as address:
        for _ in range(5):
            result = upload(address, client)
            assert (result.error, result.verdict) == ("broken", Verdict.MAY_HAVE_RUN), result


@pytest.mark.parametrize("client", ["libcurl", "sockets"])
def test_response_without_a_length_is_complete_if_its_connection_ends_in_order_during_an_upload(client):
    def script(connection):
        connection.recv(1000)
        connection.sendall(UNFRAMED + b"whole")
        connection.shutdown(socket.SHUT_WR)
        time.sleep(0.5)

    with server(script) as address:
        result = upload(address, client)
    assert (result.error, result.body, result.verdict) == ("", b"whole", Verdict.RAN)


@pytest.mark.parametrize("client", ["libcurl", "sockets"])
def test_response_with_a_length_is_complete_during_an_upload(client):
    def script(connection):
        connection.recv(1000)
        connection.sendall(UNFRAMED.replace(b"OK", b"OK\r\nContent-Length: 5") + b"whole")
        time.sleep(0.5)

    with server(script) as address:
        result = upload(address, client)
    assert (result.error, result.body, result.verdict) == ("", b"whole", Verdict.RAN)
