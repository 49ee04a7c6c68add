"""Guards against responses of plain services that take more memory than their size, or keep it from each other."""

import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from arbutusrill_http import BodyBudget

from arbutusrill_gateway._plain import _ResponseRelay

SIZE, PART = 900_000, 10_000
LENGTH = {"content-length": str(SIZE)}


def new_relay(budget, headers_by_name, remaining_s=0.0):
    """Returns a relay whose head has arrived, and the parts that it has forwarded to its caller."""
    response = SimpleNamespace(status=200, headers=[], not_run=False)
    memory, forwarded = budget.open("", is_response=True), []
    responder = SimpleNamespace(status=0, write=forwarded.append)
    responder.send_head = lambda status, headers: setattr(responder, "status", status)
    exchange = SimpleNamespace(
        protocol=SimpleNamespace(decode_response=lambda status, headers_by_name: response),
        responder=responder,
        memory=memory,
        has_room_for=lambda size, wait_s: memory.grow(size, wait_s),
        remaining_s=lambda: remaining_s,
        pool=SimpleNamespace(is_avoided=lambda record: False),
    )
    race = SimpleNamespace(claim=lambda sender: True)
    relay = _ResponseRelay(exchange, SimpleNamespace(record=None), race)
    relay.on_head(200, headers_by_name)
    return relay, forwarded


def test_response_is_held_once_when_its_end_has_arrived():
    # Its parts and the whole body were held together, and the parts left gaps in the heap.
    relay, _ = new_relay(BodyBudget(64 * 2**20), {})
    tracemalloc.start()
    try:
        for _ in range(SIZE // PART):
            relay.on_data(bytes(bytearray(PART)))  # a new object, as each read returns
        body = relay.take_body()
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(body) == SIZE
    assert peak < 1.4 * SIZE


def test_responses_of_stated_size_do_not_hold_parts_that_block_each_other():
    # Each held a part of the memory and waited for more, until all of them were forwarded for want of it.
    budget = BodyBudget(4 * SIZE)  # responses may take half of it, and each takes its size twice for a moment
    relays = [new_relay(budget, LENGTH) for _ in range(3)]
    for _ in range(SIZE // PART):
        for relay, _ in relays:
            relay.on_data(bytes(PART))
    assert [sum(map(len, forwarded)) for _, forwarded in relays] == [0, SIZE, SIZE]
    assert budget.refused_response_count == 2
    assert len(relays[0][0].take_body()) == SIZE


def test_responses_of_unknown_size_do_not_hold_parts_that_block_each_other():
    # Each took memory in steps and waited for more while the others held the rest, for 1.8 s.
    budget = BodyBudget(5 * 2**20)
    relays = [new_relay(budget, {}, remaining_s=10.0) for _ in range(3)]
    bodies = []

    def receive(relay):
        for _ in range(SIZE // PART):
            relay.on_data(bytes(PART))
            time.sleep(0.001)
        bodies.append(len(relay.take_body()))
        relay._exchange.memory.shrink(0)

    started = time.monotonic()
    with ThreadPoolExecutor(3) as pool:
        list(pool.map(receive, (relay for relay, _ in relays)))
    assert bodies == [SIZE] * 3
    assert time.monotonic() - started < 1.5


def test_responses_of_unknown_size_take_their_size_while_there_is_room():
    # Each took 1 MiB from 64 KiB on: the twelfth of 80 kB waited for 1.8 s on the smallest VM, and others that paused
    # meanwhile were ended.
    budget = BodyBudget.of_process(150)
    relays = [new_relay(budget, {})[0] for _ in range(60)]
    for _ in range(8):
        for relay in relays:
            relay.on_data(bytes(PART))
    assert not any(relay.lacks_memory for relay in relays)
    assert [len(relay.take_body()) for relay in relays] == [8 * PART] * 60


def test_response_beyond_its_stated_size_is_not_held_without_room():
    # Only libcurl and the parser of responses see that a body does not fit its head.
    budget = BodyBudget(4 * SIZE)
    relay, forwarded = new_relay(budget, LENGTH)
    for _ in range(SIZE // PART + 1):
        relay.on_data(bytes(PART))
    assert sum(map(len, forwarded)) == SIZE + PART
    assert budget.held_bytes == 0
