"""Guards against bodies that take more memory than their size, and against bodies that change in a buffer."""

import tracemalloc

import pytest

from arbutusrill_http import BodyBuffer

CAPACITY = 1024 * 1024


@pytest.mark.parametrize("part_size", [1_000, 16_384, 65_536, 900_000])
@pytest.mark.parametrize("size", [0, 1, 65_536, 65_537, 900_000, CAPACITY, CAPACITY + 20_000])
def test_body_is_returned_as_it_was_added_and_the_buffer_is_empty_then(size, part_size):
    body = (b"0123456789" * (size // 10 + 1))[:size]
    buffer = BodyBuffer(CAPACITY)
    for start in range(0, size, part_size):
        buffer.add(body[start : start + part_size])
    assert buffer.take() == body
    assert buffer.take() == b""
    buffer.add(b"next")
    assert buffer.take() == b"next"


def test_body_in_parts_is_held_once():
    # Parts of 16 KiB that were joined took the size of a response twice, and left gaps in the heap.
    buffer, part = BodyBuffer(CAPACITY), bytes(16 * 1024)
    tracemalloc.start()
    try:
        for _ in range(CAPACITY // len(part)):
            buffer.add(bytes(bytearray(part)))  # a new object, as each read returns
        body = buffer.take()
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(body) == CAPACITY
    assert peak < 1.2 * CAPACITY
