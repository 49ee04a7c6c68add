"""Guards against a stream that is sent to an engine although its prompt was barred while it waited."""

import json
import time

import pytest
from arbutusrill_base import RetryBudget, SystemClock, Verdict
from arbutusrill_site import BarredSet, Engine, PromptBars, Route, RouteKind, Service, SiteView, Target
from arbutusrill_wire import messages

from arbutusrill_gateway import BackendPool, CallerRequest, KvCacheHandle, PromptGuard, Responder
from arbutusrill_gateway._exchange import Exchange
from arbutusrill_gateway._placement import Placement
from arbutusrill_gateway._stream import relay_stream

from .test_faulty_backends import Backend, Caller, HeaderProtocol, head, sends


class PrefillProtocol(HeaderProtocol):
    def decode_prefill(self, record, body):
        return KvCacheHandle(record, "handle", 10)


class Placements:
    """Grants a placement at once, after a call of `on_wait`."""

    def __init__(self, prefill, decode, on_wait):
        self.placement = Placement(1, decode, prefill, 10, 5, 0.0)
        self.on_wait, self.released = on_wait, []

    def acquire(self, requirements, max_wait_s):
        self.on_wait()
        return self.placement, None

    def release(self, placement):
        self.released.append(placement)

    def record_prefill_speed(self, *_):
        pass


@pytest.mark.parametrize("barred_during", ["before", "wait", "prefill", "never"])
def test_stream_barred_meanwhile_is_refused_as_not_run_and_reaches_no_engine(barred_during):
    # A prompt that had been barred while it waited in the queue ended one more engine.
    clock = SystemClock()
    view = SiteView(clock)

    def bar(moment):
        if moment == barred_during:
            view.prompt_bars = PromptBars(1, 1, barred=(BarredSet(frozenset({"D"}), clock.monotonic() + 60, 3),))

    def prefill_answer(connection):
        bar("prefill")
        connection.sendall(head(200, "Content-Length: 2") + b"{}")

    prefill, decode = Backend(prefill_answer), Backend(sends(head(200, "Stamp: 1", "Content-Length: 0")))
    records = [
        messages.BackendRecord(stage, 1, 1, "s", backend.address, "z1", 8, False, stage, [])
        for stage, backend in (("prefill", prefill), ("decode", decode))
    ]
    view.backends_by_id = {record.id: record for record in records}
    placements = Placements(*records, lambda: bar("wait"))
    bar("before")
    caller, now = Caller(), time.monotonic()
    exchange = Exchange(
        CallerRequest("r", "POST", "h", "/x", [], b"", prompt_tokens=10, output_tokens=5, prompt_parts=("F", "D", "o")),
        Responder(caller.start, []),
        Route("r", "h", "/", RouteKind.STREAM, 5.0, 0.9, (Target("s", 1.0),), 1, False, False, 0.3),
        Service("s", engine=Engine(8, 1000, 0.5)),
        None,
        PrefillProtocol(),
        BackendPool(view, "z1", clock),
        placements,
        RetryBudget(1.0, 10),
        now + 5.0,
        now,
        prompt_guard=PromptGuard("vm", None, view, clock),
    )
    relay_stream(exchange)
    if barred_during == "never":
        assert len(decode.requests) == 1
        return
    assert caller.status == 503 and json.loads(caller.body)["error"]["code"] == "prompt_part_barred"
    assert exchange.verdict is Verdict.NOT_RUN
    assert not decode.requests
    # A prefill and the release of its KV cache, whose memory would be held otherwise.
    assert [request.split()[0] for request in prefill.requests] == (
        [b"POST", b"DELETE"] if barred_during == "prefill" else []
    )
    assert len(placements.released) == (barred_during != "before")
