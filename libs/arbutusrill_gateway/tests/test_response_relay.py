"""Guards against responses of plain services that take more memory than their size until they are delivered."""

import tracemalloc
from types import SimpleNamespace

from arbutusrill_http import BodyBudget

from arbutusrill_gateway._plain import _ResponseRelay

SIZE = 900_000


def test_response_is_held_once_when_its_end_has_arrived():
    # Its parts and the whole body were held together, and the gaps that the parts left in the heap stayed.
    response = SimpleNamespace(status=200, headers=[], not_run=False)
    memory = BodyBudget(64 * 2**20).open("", is_response=True)
    exchange = SimpleNamespace(
        protocol=SimpleNamespace(decode_response=lambda status, headers_by_name: response),
        responder=SimpleNamespace(status=0),
        memory=memory,
        has_room_for=lambda size, wait_s: memory.grow(size, wait_s),
        remaining_s=lambda: 1.0,
    )
    relay = _ResponseRelay(exchange, None, None)
    relay.on_head(200, {})
    tracemalloc.start()
    try:
        for _ in range(SIZE // 10_000):
            relay.on_data(bytes(bytearray(10_000)))  # a new object, as each read returns
        body = relay.take_body()
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(body) == SIZE
    assert peak < 1.4 * SIZE
