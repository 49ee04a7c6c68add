"""Guards against prompts that are read twice, and against retries that are charged for a first prefill that broke."""

import time

from arbutusrill_base import RetryBudget, SystemClock
from arbutusrill_site import Engine, Route, RouteKind, Service, SiteView, Target
from arbutusrill_wire import messages

from arbutusrill_gateway import BackendPool, CallerRequest, KvCacheHandle, Responder
from arbutusrill_gateway._exchange import Exchange
from arbutusrill_gateway._placement import Placement
from arbutusrill_gateway._stream import relay_stream

from .test_faulty_backends import Backend, Caller, HeaderProtocol, event, head, sends

STREAM = sends(
    head(200, "Stamp: 1", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"), event(1), b"0\r\n\r\n"
)
TURNED_AWAY = sends(head(503, "Refused: 1", "Content-Length: 0"))
READ = sends(head(200, "Content-Length: 2") + b"{}")
RESET = sends(b"")


class HandleProtocol(HeaderProtocol):
    def request_headers(self, request, backend_request):
        kv_cache = backend_request.kv_cache
        return [*super().request_headers(request, backend_request), ("Kv", kv_cache.handle if kv_cache else "none")]

    def decode_prefill(self, record, body):
        return KvCacheHandle(record, "handle", 10)


class Placements:
    """Grants the decode engines in turn, all with the first prefill engine."""

    def __init__(self, prefill, decodes):
        self._granted = [Placement(number, decode, prefill, 10, 5, 0.0) for number, decode in enumerate(decodes)]
        self.avoided = []

    def acquire(self, requirements, max_wait_s):
        self.avoided.append(requirements.avoided_ids())
        return self._granted.pop(0), None

    def release(self, placement):
        pass

    record_prefill_speed = report_unresponsive = report_broken = lambda self, *_: None


def relay(prefills, decodes, retries):
    clock, now, caller = SystemClock(), time.monotonic(), Caller()
    view = SiteView(clock)
    records = {"prefill": [], "decode": []}
    for stage, backends in (("prefill", prefills), ("decode", decodes)):
        for number, backend in enumerate(backends):
            name = f"{stage}-{number}"
            records[stage].append(messages.BackendRecord(name, 1, 1, "s", backend.address, "z1", 8, False, stage, []))
    view.backends_by_id = {record.id: record for stage in records.values() for record in stage}
    placements = Placements(records["prefill"][0], records["decode"])
    exchange = Exchange(
        CallerRequest("r", "POST", "h", "/x", [], b"", prompt_tokens=10, output_tokens=5),
        Responder(caller.start, []),
        Route("r", "h", "/", RouteKind.STREAM, 5.0, 0.9, (Target("s", 1.0),), 3, False, False, 0.3),
        Service("s", engine=Engine(8, 1000, 2.0)),
        None,
        HandleProtocol(),
        BackendPool(view, "z1", clock),
        placements,
        RetryBudget(1.0, retries),
        now + 5.0,
        now,
    )
    relay_stream(exchange)
    return caller, placements


def methods(backend):
    return [request.split()[0] for request in backend.requests]


def test_kv_cache_that_a_full_engine_did_not_fetch_goes_to_the_next_one():
    prefill, full, other = Backend(READ), Backend(TURNED_AWAY), Backend(STREAM)
    caller, placements = relay([prefill], [full, other], retries=1)
    assert caller.status == 200
    assert methods(prefill) == [b"POST"]
    assert b"Kv: handle" in other.requests[0]
    assert "decode-0" in placements.avoided[1]


def test_kv_cache_is_freed_when_the_engine_is_full_and_the_retries_are_spent():
    prefill, full = Backend(READ), Backend(TURNED_AWAY)
    caller, _ = relay([prefill], [full], retries=0)
    assert caller.status == 503
    assert methods(prefill) == [b"POST", b"DELETE"]


def test_first_prefill_that_breaks_costs_no_retry():
    # Each of them ended as 503 retry_budget once the budget was spent.
    broken, decode = Backend(RESET), Backend(STREAM)
    caller, _ = relay([broken, Backend(READ)], [decode], retries=0)
    assert caller.status == 200
    assert b"Kv: none" in decode.requests[0]


def test_second_prefill_is_charged_and_spares_the_decode_engine_the_prompt():
    broken, other, decode = Backend(RESET), Backend(READ), Backend(STREAM)
    caller, _ = relay([broken, other], [decode], retries=1)
    assert caller.status == 200
    assert methods(other) == [b"POST"] and b"Kv: handle" in decode.requests[0]
