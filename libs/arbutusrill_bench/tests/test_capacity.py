"""Tests of the measuring tools of the capacity benchmark; makes no claims about performance."""

import socket
import threading

from arbutusrill_bench._tap import Tap
from arbutusrill_bench.capacity import Table, grants_series, revisions_series


def test_tap_relays_and_counts_both_ways():
    """A relay that lost bytes or counted only one direction would report a wrong rate of control traffic."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        connection, _ = listener.accept()
        data = connection.recv(100, socket.MSG_WAITALL)
        connection.sendall(data * 3)
        connection.close()

    thread = threading.Thread(target=serve)
    thread.start()
    with Tap("{}:{}".format(*listener.getsockname())) as tap:
        host, port = tap.address.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as caller:
            caller.sendall(b"x" * 100)
            received = b"".join(iter(lambda: caller.recv(4096), b""))
        assert len(received) == 300
        assert (tap.to_target, tap.from_target) == (100, 300)
    thread.join()
    listener.close()


def test_fits_find_the_slope_of_each_column():
    table = Table("t", ["n", "a", "b"], [[1, 3.0, 10.0], [2, 5.0, 10.0], [3, 7.0, 10.0]])
    fits = table.fits()
    assert abs(fits["a"].slope - 2) < 1e-9 and abs(fits["b"].slope) < 1e-9
    assert any("a = 1 + 2 x n" in line for line in table.lines())


def test_series_in_process_grow_with_size():
    assert [row[0] for row in grants_series([1, 20]).rows] == [1, 20]
    small, large = revisions_series([20, 200]).rows
    assert large[1] > small[1] > 0
