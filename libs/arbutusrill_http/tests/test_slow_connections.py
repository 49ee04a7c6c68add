"""Guards against callers that send or read slowly and take all connections, and against bodies in very small chunks."""

import io
import select
import socket
import threading
import time

import pytest

from arbutusrill_http import BodyBudget, HttpLimits, HttpServer
from arbutusrill_http._request_reader import ChunkedReader
from arbutusrill_http._slow_connections import PROGRESS_BYTES, SlowConnections, Stage


class CountingInput(io.BytesIO):
    """Counts the reads of the input below the buffer."""

    count = 0

    def readinto(self, buffer):
        self.count += 1
        return super().readinto(buffer)


class CountingReader(io.BufferedReader):
    """Counts the reads of the buffer."""

    count = 0

    def read(self, size=-1):
        self.count += 1
        return super().read(size)

    def readline(self, size=-1):
        self.count += 1
        return super().readline(size)


def decode(data):
    stream = CountingReader(io.BytesIO(data), 16_384)
    reader, body = ChunkedReader(stream, 100), b""
    while True:
        reader.wait()
        if not (part := reader.read_buffered(65_536) or reader.read(65_536)):
            return body, stream.count
        body += part


@pytest.mark.parametrize(
    "sizes", [[1], [1, 2], [15, 16, 10], [3] * 50 + [1], [65], [16_380, 1], [40_000], [2, 2, 70_000]]
)
def test_chunks_of_all_sizes_are_decoded_as_sent(sizes):
    sizes = sizes * (120_000 // sum(sizes))
    content = bytes(number % 251 for number in range(sum(sizes)))
    data, start = bytearray(), 0
    for size in sizes:
        data += b"%x\r\n%b\r\n" % (size, content[start : start + size])
        start += size
    body, count = decode(bytes(data) + b"0\r\n\r\n")
    assert body == content
    # Three reads of each chunk kept a processor busy: 60,000 chunks of one byte took as long as 60 MB in large ones.
    assert count <= 7 * (len(data) // 16_384 + 2)


def test_a_chunk_that_is_longer_than_stated_is_refused_within_a_run():
    with pytest.raises(ValueError, match="longer than stated"):
        decode(b"1\r\na\r\n" * 100 + b"1\r\nab\r\n" + b"0\r\n\r\n")


def test_extensions_of_all_chunks_are_bounded():
    # Extensions of 4 kB for each byte of a body kept a processor busy for as long as the body may take.
    with pytest.raises(ValueError, match="extensions"):
        decode((b"1;" + b"e" * 4000 + b"\r\nx\r\n") * 17 + b"0\r\n\r\n")


def test_the_slowest_caller_is_closed_and_one_that_makes_progress_is_not():
    now, closed = [0.0], []
    slow = SlowConnections(lambda: now[0])
    with slow.waiting("drip", Stage.BODY), slow.waiting("fast", Stage.RESPONSE), slow.waiting("late", Stage.HEAD):
        for second in range(1, 4):
            now[0] = second
            slow.record_progress("drip", 1)
            slow.record_progress("fast", PROGRESS_BYTES)
        assert slow.take_slowest(closed.append) == ("drip", Stage.BODY)
        with slow.waiting("rejected", Stage.DISCARD):
            now[0] = 3.3
            slow.record_progress("fast", PROGRESS_BYTES)
            slow.record_progress("late", PROGRESS_BYTES)
            assert slow.take_slowest(closed.append) == ("rejected", Stage.DISCARD)
        assert slow.take_slowest(closed.append) is None
    assert closed == ["drip", "rejected"]


def test_a_body_that_stops_short_of_its_end_makes_room_for_one_that_waits():
    # Four bodies without end held the memory of all large requests until their time was over.
    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n"
    with HttpServer("127.0.0.1", 0, app, HttpLimits(), BodyBudget(4_000_000)) as server:
        host, port = server.address.split(":")
        with socket.create_connection((host, int(port))) as stopped:
            stopped.sendall(head + bytes(800_000))
            time.sleep(3.2)  # a caller is slow after 3 s
            with socket.create_connection((host, int(port))) as whole:
                whole.sendall(head + bytes(900_000))
                assert whole.recv(12) == b"HTTP/1.1 200"
            stopped.settimeout(2.0)
            assert stopped.recv(1) == b""


def test_steady_reader_is_not_closed_for_a_send_that_is_blocked_for_long():
    """Guards against readers inside the limits that are cut: a send to them may block for more than five seconds."""
    now, acknowledged = [0.0], {"steady": 0, "stuck": 0}
    slow = SlowConnections(lambda: now[0], acknowledged.get)
    closed = []
    with slow.waiting("steady", Stage.RESPONSE), slow.waiting("stuck", Stage.RESPONSE):
        for _ in range(20):
            now[0] += 1.0
            acknowledged["steady"] += 280_000
            slow.take_slowest(closed.append)
    assert closed == ["stuck"]


def test_caller_whose_bytes_wait_to_be_read_is_not_slow():
    """Guards against closing a caller for the delays of this VM."""
    now = [0.0]
    slow = SlowConnections(lambda: now[0], has_input=lambda connection: connection == "unread")
    with slow.waiting("unread", Stage.BODY), slow.waiting("idle", Stage.BODY):
        now[0] = 9.0
        assert slow.take_slowest(lambda connection: None) == ("idle", Stage.BODY)
        assert slow.take_slowest(lambda connection: None) is None


@pytest.mark.parametrize(("memory_mb", "expected"), [(None, 200), (64, 128), (128, 190), (300, 200)])
def test_connections_beyond_the_memory_of_the_process_are_refused(memory_mb, expected):
    # 600 callers that read slowly took a process beyond the memory of its machine: 512 were accepted on every one.
    ended = threading.Event()

    def hold(environ, start):
        ended.wait(20)
        start("200 OK", [])
        return [b"whole"]

    budget = BodyBudget.of_process(memory_mb)
    with HttpServer("127.0.0.1", 0, hold, HttpLimits(connections=200, reserve=0), budget) as server:
        host, port = server.address.split(":")
        callers = []
        for _ in range(205):
            callers.append(socket.create_connection((host, int(port)), timeout=10))
            callers[-1].sendall(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        time.sleep(1.0)
        # `select.select` takes no descriptor from 1024 on.
        poller = select.poll()
        for caller in callers:
            poller.register(caller, select.POLLIN)
        assert len(callers) - len(poller.poll(0)) == expected
        ended.set()
        statuses = [caller.makefile("rb").read()[9:12] for caller in callers]
        assert (statuses.count(b"200"), statuses.count(b"503")) == (expected, 205 - expected)
