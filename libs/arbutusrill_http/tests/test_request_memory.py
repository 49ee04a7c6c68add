"""Guards against bodies that take memory before they have room for it."""

import io
import threading
from types import SimpleNamespace

import pytest

from arbutusrill_http import BodyBudget, HttpLimits
from arbutusrill_http._handler import Handler

MB = 2**20
LARGE_CHUNK = b"%x\r\n%b\r\n" % (MB, bytes(MB))
SMALL_CHUNKS = b"%x\r\n%b\r\n" % (60, bytes(60)) * 10_000


def handler_of(stream):
    """A handler that reads from `stream` without a connection."""
    handler = Handler.__new__(Handler)
    handler.server = SimpleNamespace(limits=HttpLimits(body_wait_s=0.0), decoding_turn=threading.Lock())
    handler.rfile = io.BufferedReader(stream, 16 * 1024)
    handler._socket_reader = SimpleNamespace(deadline=0.0)
    return handler


@pytest.mark.parametrize("body", [LARGE_CHUNK, SMALL_CHUNKS], ids=["large chunk", "small chunks"])
def test_chunked_body_without_room_waits_unread(body):
    # Each of 90 bodies held its first 64 KiB while it waited for room: 6 MB beyond the budget.
    budget, stream = BodyBudget(4 * MB), io.BytesIO(body)
    handler = handler_of(stream)
    with budget.open("a") as large:
        assert large.grow(int(1.7 * MB), 0)
        small = [budget.open("a") for _ in range(32)]
        assert not all([other.grow(64 * 1024, 0) for other in small]), "small bodies have room"
        with pytest.raises(Exception, match="too many large requests"):
            handler._read_chunked(8 * MB, budget.open("b"))
    assert stream.tell() <= 32 * 1024


@pytest.mark.parametrize("size", [0, 1, 8191, 8192, 8193, 65_536, 65_537, 300_000])
@pytest.mark.parametrize("total", [None, 4 * MB])
def test_chunked_body_is_whole_at_the_limits_of_its_reservations(size, total):
    content = bytes(number % 251 for number in range(size))
    coded = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (content[:5000], content[5000:]) if part)
    reservation = BodyBudget(total).open("a")
    assert handler_of(io.BytesIO(coded + b"0\r\n\r\n"))._read_chunked(400_000, reservation) == content
    assert reservation.size <= size
