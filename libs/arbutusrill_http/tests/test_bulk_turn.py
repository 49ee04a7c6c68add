"""Guards against responses that forward large bodies and keep all other threads from the interpreter."""

import contextlib
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest

from arbutusrill_http._writer import ResponseWriter

PART = bytes(16 * 1024)
LARGE_PART = bytes(65 * 1024)


class Connection:
    """A connection that counts the large sends at the same time; with `is_slow`, its send buffer is full."""

    at_once = most_at_once = 0

    def __init__(self, is_slow=False):
        self.is_slow = is_slow
        self.may_end = threading.Event()
        self.is_blocked = threading.Event()

    def send(self, data, flags):
        if self.is_slow:
            raise BlockingIOError
        if len(data) < len(PART):  # the head and the end of a chunk
            return len(data)
        Connection.at_once += 1
        Connection.most_at_once = max(Connection.most_at_once, Connection.at_once)
        time.sleep(0.002)
        Connection.at_once -= 1
        return len(data)

    def sendall(self, data, flags):
        if not self.is_slow:
            self.send(data, flags)
            return
        self.is_blocked.set()
        assert self.may_end.wait(5.0)


def new_writer(turn, connection):
    """A writer that has sent the first part of its response."""
    server = SimpleNamespace(bulk_turn=turn, draining=lambda: False)
    writer = ResponseWriter(
        SimpleNamespace(
            server=server,
            connection=connection,
            command="GET",
            request_version="HTTP/1.1",
            close_connection=True,
            date_time_string=lambda: "now",
            record_progress=lambda byte_count: None,
            waiting=lambda stage, *_: contextlib.nullcontext(),
        )
    )
    writer.start("200 OK", [])
    is_slow, connection.is_slow = connection.is_slow, False
    writer.write(PART)
    connection.is_slow = is_slow
    return writer


@pytest.mark.parametrize("part", [PART, LARGE_PART], ids=["part", "large part"])
def test_parts_of_large_responses_are_sent_one_at_a_time(part):
    # 200 threads that forwarded at a time kept a small answer of another service waiting for more than 5 s.
    turn = threading.Lock()
    writers = [new_writer(turn, Connection()) for _ in range(8)]
    Connection.most_at_once = 0
    with ThreadPoolExecutor(8) as pool:
        list(pool.map(lambda writer: [writer.write(part) for _ in range(5)], writers))
    assert Connection.most_at_once == 1


def test_slow_reader_does_not_hold_the_turn():
    turn, slow = threading.Lock(), Connection(is_slow=True)
    thread = threading.Thread(target=new_writer(turn, slow).write, args=(PART,))
    thread.start()
    assert slow.is_blocked.wait(5.0)
    assert not turn.locked()
    slow.may_end.set()
    thread.join()


def test_events_and_first_parts_take_no_turn():
    turn = threading.Lock()
    with turn:
        new_writer(turn, Connection()).write(bytes(4000))
