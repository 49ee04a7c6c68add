"""A server that answers a long upload at once and resets the connection must not look as if it had answered in full."""

import socket
import struct
import time

import pytest
from arbutusrill_base import Verdict
from arbutusrill_site import RouteKind

from .test_faulty_backends import UNFRAMED, Backend, connections, plain_event, relay  # noqa: F401

UPLOAD = b"x" * 4_000_000
SOUND = UNFRAMED + plain_event(1) + plain_event(2)


def resets(data, pause_s):
    def script(connection):
        connection.sendall(data)
        time.sleep(pause_s)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    return script


def answers(connection):
    """Reads the rest of the upload first: closing the connection with unread bytes would reset it."""
    read = 0
    while read < len(UPLOAD) - 65536 and (data := connection.recv(65536)):
        read += len(data)
    connection.sendall(SOUND)
    connection.shutdown(socket.SHUT_WR)
    while connection.recv(65536):
        pass


@pytest.mark.parametrize("pause_s", [0.0, 0.002, 0.02])
@pytest.mark.parametrize("kind", list(RouteKind))
def test_early_answer_that_is_reset_is_not_delivered_as_complete(kind, pause_s):
    # Callers got the part that had arrived as the whole answer.
    for number in range(20):
        faulty, sound = Backend(resets(UNFRAMED + plain_event(1), pause_s)), Backend(answers)
        caller, exchange, aborted = relay(faulty, sound, kind=kind, body=UPLOAD)
        assert faulty.requests, number
        assert exchange.verdict is not Verdict.NOT_RUN
        if kind is RouteKind.NON_IDEMPOTENT:
            assert (caller.status, sound.requests) == (502, [])
        else:
            assert (caller.status, caller.body, aborted) == (200, plain_event(1) + plain_event(2), False)


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
def test_large_early_answer_that_is_reset_is_broken_off(kind):
    # The head has been forwarded by then, so that only the end of the connection can tell.
    data = UNFRAMED + (plain_event(1) if kind is RouteKind.STREAM else b"x" * 2_000_000)
    caller, exchange, aborted = relay(Backend(resets(data, 0.1)), kind=kind, body=UPLOAD, max_attempts=1)
    assert aborted and caller.status == 200
    assert exchange.verdict is Verdict.MAY_HAVE_RUN
