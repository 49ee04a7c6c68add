"""Answers of faulty backend servers: refusals that are not true, bodies without end, and streams that stall."""

import contextlib
import resource
import socket
import threading
import time

import pytest
from arbutusrill_base import RetryBudget, SystemClock, Verdict
from arbutusrill_http import AbortStreamError, BodyBudget
from arbutusrill_site import Engine, FleetReport, Route, RouteKind, Service, Target
from arbutusrill_wire import messages

from arbutusrill_gateway import BackendConnections, BackendPool, BackendProtocol, CallerRequest, ResponseHead
from arbutusrill_gateway._exchange import Exchange
from arbutusrill_gateway._plain import relay_plain
from arbutusrill_gateway._reply import Responder
from arbutusrill_gateway._stream import relay_stream

MIB = 1_048_576


keeps_connections = False


@pytest.fixture(autouse=True, params=["new connections", "kept connections"])
def connections(request):
    """Runs each test with and without connections that are kept."""
    global keeps_connections
    keeps_connections = request.param == "kept connections"


class HeaderProtocol(BackendProtocol):
    """Protocol with the headers ``id``, ``stamp`` and ``refused``."""

    def request_headers(self, request, backend_request):
        return [("Id", request.id), ("After", backend_request.resume_after)]

    def decode_response(self, status, headers_by_name):
        names = headers_by_name.keys()
        return ResponseHead(status, headers_by_name.get("id", ""), "refused" in names, "stamp" in names)

    def decode_prefill(self, record, body):
        return None

    def release_path(self, kv_cache):
        return "/"

    def event_id(self, event):
        return int(event[4 : event.index(b"\n")]) if event.startswith(b"id: ") else None


class Backend:
    """Answers each connection with the next of `scripts`, the last one repeatedly; `requests` holds what it read."""

    def __init__(self, *scripts):
        self.requests = []
        self._scripts = scripts
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection):
        with connection, contextlib.suppress(OSError):
            script = self._scripts[min(len(self.requests), len(self._scripts) - 1)]
            self.requests.append(connection.recv(65536))
            script(connection)


def head(status=200, *fields, id="r"):
    lines = [f"HTTP/1.1 {status} X", f"Id: {id}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def sends(*parts, pause_s=0.0):
    def script(connection):
        for part in parts:
            connection.sendall(part)
            time.sleep(pause_s)

    return script


def repeats(first, part, pause_s=0.0):
    def script(connection):
        connection.sendall(first)
        while True:
            connection.sendall(part)
            time.sleep(pause_s)

    return script


STREAM = head(200, "Stamp: 1", "Transfer-Encoding: chunked")
WHOLE = head(200, "Stamp: 1", "Content-Length: 5") + b"whole"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number):
    return chunk(b"id: %d\ndata: x\n\n" % number)


class Caller:
    """Records what a caller receives; `received_bytes` counts bodies that are not kept."""

    def __init__(self, keep=True):
        self.status, self.body, self.received_bytes = 0, b"", 0
        self._keep = keep

    def start(self, status, headers):
        self.status = int(status.split()[0])
        return self.write

    def write(self, data):
        self.received_bytes += len(data)
        self.body += data if self._keep else b""


def relay(
    *backends,
    kind=RouteKind.NON_IDEMPOTENT,
    caller=None,
    deadline_s=5.0,
    max_attempts=2,
    event_s=0.0,
    method="POST",
    placements=None,
    prompt_guard=None,
    body_budget=None,
    kept=None,
    id="r",
    retries=10,
    second_sender=None,
    connection=None,
    objective_s=0.9,
    body=b"body",
):
    """Relays one request to `backends`; returns the caller, the exchange and whether the response was aborted.

    The first backend is known to take `event_s` seconds for an event, the others twice as long, so it is chosen first.
    With `kept`, connections are kept between calls. With `placements`, they are decode engines, and `placements` gets
    their records.
    """
    stage = "" if placements is None else "decode"
    records, stream = {}, kind is RouteKind.STREAM
    for number, backend in enumerate(backends):
        # The first one is in the data centre of the VM and so preferred.
        record = messages.BackendRecord(str(number), 1, 1, "s", backend.address, f"z{number + 1}", 8, False, stage, [])
        records[record.id] = record
    if placements is not None:
        placements.records = list(records.values())
    view = SiteViewStub(records)
    caller = caller or Caller()
    pool = BackendPool(view, "z1", SystemClock())
    if event_s:
        for number, record in enumerate(records.values()):
            pool.record_success(record, event_s * min(number + 1, 2))
    route = Route("r", "h", "/", kind, deadline_s, objective_s, (Target("s", 1.0),), max_attempts, False, stream, 0.3)
    exchange = Exchange(
        CallerRequest(id, method, "h", "/x", [], body if method == "POST" else b"", connection=connection),
        Responder(caller.start, []),
        route,
        Service("s", None if placements is None else Engine(8, 1000, 0.5)),
        None,
        HeaderProtocol(),
        pool,
        placements,
        RetryBudget(1.0, retries),
        time.monotonic() + deadline_s,
        time.monotonic(),
        prompt_guard=prompt_guard,
        connections=kept or (BackendConnections(view, lambda: 1) if keeps_connections else None),
        second_sender=second_sender,
    )
    aborted = False
    with (body_budget or BodyBudget(None)).open("clinic", is_response=True) as exchange.memory:
        try:
            (relay_stream if stream else relay_plain)(exchange)
        except AbortStreamError:
            aborted = True
    return caller, exchange, aborted


class SiteViewStub:
    def __init__(self, backends_by_id):
        self.backends_by_id = backends_by_id
        self.backends_complete = True
        self.evacuated_data_centres = frozenset()
        self.other_vms_requests_by_backend = self.other_vms_tokens_by_backend = {}
        self.entries_by_id, self.fleet = {}, FleetReport()

    def wait_for(self, condition, timeout_s):
        return condition()


REFUSAL_FIELDS = ("Refused: 1", "Content-Length: 0")
UNTRUE_REFUSALS = {
    "of another request": sends(head(503, *REFUSAL_FIELDS, id="earlier")),
    "without an id": sends(b"HTTP/1.1 503 X\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"),
    "incomplete head": sends(b"HTTP/1.1 503 X\r\nId: r\r\nRefused: 1\r\n"),
    "incomplete body": sends(head(503, "Refused: 1", "Content-Length: 9") + b"abc"),
    "status without the statement": sends(head(503, "Content-Length: 0")),
    "malformed name of a field": sends(head(503, *REFUSAL_FIELDS, "Served By: s")),
    "control character in a field": sends(head(503, *REFUSAL_FIELDS, "Served-By: \x01")),
    "malformed interim head": sends(b"HTTP/1.1 103 X\r\nServed By: s\r\n\r\n" + head(503, *REFUSAL_FIELDS)),
    "in a trailer": sends(STREAM + chunk(b"x") + b"0\r\nHTTP/1.1 503 X\r\nRefused: 1\r\n\r\n"),
}


@pytest.mark.parametrize("name", UNTRUE_REFUSALS)
def test_refusal_that_may_belong_to_another_request_is_not_believed(name):
    # Callers were told "not run" for requests that had run, and the request was sent to a second server.
    faulty, sound = Backend(UNTRUE_REFUSALS[name]), Backend(sends(WHOLE))
    caller, exchange, _ = relay(faulty, sound)
    assert faulty.requests and not sound.requests
    assert exchange.verdict is not Verdict.NOT_RUN
    assert caller.status not in (408, 421, 429, 503)


SPOILED_ANSWERS = {
    "status 000": head("000", "Stamp: 1", "Content-Length: 14") + b"id: 1\ndata: x\n\n",
    "status 600": head(600, "Stamp: 1", "Content-Length: 14") + b"id: 1\ndata: x\n\n",
    "status 2000": head(2000, "Stamp: 1", "Content-Length: 14") + b"id: 1\ndata: x\n\n",
    "name of a field": head(200, "Stamp: 1", "Served By: s", "Content-Length: 14") + b"id: 1\ndata: x\n\n",
    "value of a field": head(200, "Stamp: 1", "Served-By: \x01s", "Content-Length: 14") + b"id: 1\ndata: x\n\n",
    "interim head": b"HTTP/1.1 103 X\r\nServed By: s\r\n\r\n" + STREAM + event(1) + b"0\r\n\r\n",
    "trailer": STREAM + event(1) + b"0\r\nServed By: s\r\n\r\n",
}


@pytest.mark.parametrize("name", SPOILED_ANSWERS)
@pytest.mark.parametrize("kind", list(RouteKind))
def test_malformed_answer_is_not_forwarded(kind, name):
    # A field name with a space reached the caller inside a success, and a status beyond 599 as the server's.
    faulty, sound = Backend(sends(SPOILED_ANSWERS[name])), Backend(sends(STREAM + event(1) + event(2) + b"0\r\n\r\n"))
    caller, exchange, aborted = relay(faulty, sound, kind=kind)
    assert faulty.requests and exchange.verdict is not Verdict.NOT_RUN
    if kind is RouteKind.NON_IDEMPOTENT:
        assert (caller.status, sound.requests) == (502, [])
    else:
        assert (caller.status, aborted, len(sound.requests)) == (200, False, 1)
        assert caller.body == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"


def test_malformed_answer_is_not_taken_for_a_crash_of_its_engine():
    # Three such answers to prompts with one part in common would bar the part.
    class Guard:
        lost = []

        def check(self, request):
            pass

        def record_events(self, request, count, streamed_s):
            return False

        def record_attempt(self, request, candidate, result, event_count):
            self.lost.append(result.connection_lost)

    relay(
        Backend(sends(SPOILED_ANSWERS["name of a field"])), kind=RouteKind.STREAM, max_attempts=1, prompt_guard=Guard()
    )
    assert Guard.lost == [False]


def test_refusal_of_this_request_is_believed_and_sent_to_another_server():
    backends = [Backend(sends(head(503, *REFUSAL_FIELDS))), Backend(sends(WHOLE))]
    caller, _, _ = relay(*backends)
    assert (caller.status, caller.body) == (200, b"whole")
    caller, exchange, _ = relay(backends[0], max_attempts=1)
    assert (caller.status, exchange.verdict) == (503, Verdict.NOT_RUN)


def memory_growth_kib(call):
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    call()
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
@pytest.mark.parametrize(
    "first", [head(500, "Stamp: 1"), head(200), head(200, "Stamp: 1", id="other"), b"HTTP/1.1 200 X\r\n", b""]
)
def test_body_without_end_that_is_no_answer_is_broken_off(kind, first):
    # A body without end was collected until the VM's memory was used up, and came back as a success.
    backend = Backend(repeats(first, b"X" * 65536))
    started = time.monotonic()

    def call():
        caller, exchange, aborted = relay(backend, kind=kind, max_attempts=1)
        assert caller.status in (502, 504) or aborted
        assert exchange.verdict is Verdict.MAY_HAVE_RUN

    assert memory_growth_kib(call) < 48 * 1024
    assert time.monotonic() - started < 4


@pytest.mark.parametrize("data", [b"x" * 65536, b": comment\n" * 6000, b"id: 1\ndata: x\n\n" * 4000])
def test_stream_without_progress_is_resumed_at_another_server(data):
    # No event ever ends, or the first one is repeated for ever.
    faulty = Backend(repeats(STREAM, chunk(data), pause_s=0.001))
    sound = Backend(sends(STREAM + b"".join(event(number) for number in (1, 2, 3)) + b"0\r\n\r\n"))

    def call():
        caller, _, aborted = relay(faulty, sound, kind=RouteKind.STREAM, deadline_s=8)
        assert not aborted and caller.body.endswith(b"id: 3\ndata: x\n\n")

    started = time.monotonic()
    assert memory_growth_kib(call) < 48 * 1024
    assert time.monotonic() - started < 5


def test_stream_that_sends_a_byte_now_and_then_is_resumed():
    # Any byte counted as progress, so that a stalled stream never ended.
    faulty = Backend(repeats(STREAM + event(1), chunk(b":"), pause_s=0.1))
    sound = Backend(sends(STREAM + event(1) + event(2) + b"0\r\n\r\n"))
    caller, _, aborted = relay(faulty, sound, kind=RouteKind.STREAM, deadline_s=8)
    assert faulty.requests and not aborted
    assert caller.body.count(b"id: 1\n") == caller.body.count(b"id: 2\n") == 1


def test_slow_but_sound_stream_is_not_cut():
    # A fixed limit of 1.2 s cut the streams of engines that need longer for an event.
    slow = Backend(sends(STREAM, event(1), event(2), event(3), b"0\r\n\r\n", pause_s=1.4))
    sound = Backend(sends(STREAM + event(1) + event(2) + event(3) + b"0\r\n\r\n"))
    caller, _, aborted = relay(slow, sound, kind=RouteKind.STREAM, deadline_s=15, event_s=0.3)
    assert (caller.body.count(b"id: "), aborted) == (3, False)
    assert len(slow.requests) == 1 and not sound.requests


def test_large_answer_is_forwarded_while_it_arrives():
    size = 24 * MIB
    backend = Backend(
        lambda connection: (
            connection.sendall(head(200, "Stamp: 1", f"Content-Length: {size}")),
            [connection.sendall(b"x" * MIB) for _ in range(size // MIB)],
        )
    )
    caller = Caller(keep=False)
    assert memory_growth_kib(lambda: relay(backend, caller=caller, deadline_s=20)) < 16 * 1024
    assert (caller.status, caller.received_bytes) == (200, size)


@pytest.mark.parametrize("stamped", ["Stamp: 1", "Other: 1"])
def test_large_answer_that_breaks_off_does_not_look_complete(stamped):
    backend = Backend(sends(head(200, stamped, f"Content-Length: {4 * MIB}"), b"x" * (2 * MIB)))
    caller, exchange, aborted = relay(backend, max_attempts=1)
    assert aborted or caller.status == 502
    assert aborted is (stamped == "Stamp: 1")
    assert exchange.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
@pytest.mark.parametrize("end", ["no last chunk", "reset", "short"])
def test_answer_that_breaks_off_is_not_a_success(kind, end):
    def script(connection):
        if end == "short":
            connection.sendall(head(200, "Stamp: 1", "Content-Length: 99") + b"id: 1\ndata: x\n\n")
            return
        connection.sendall((STREAM if end == "no last chunk" else head(200, "Stamp: 1")) + event(1))
        if end == "reset":
            time.sleep(0.1)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")

    caller, _, aborted = relay(Backend(script), kind=kind, max_attempts=1)
    assert aborted or caller.status == 502


UNFRAMED = head(200, "Stamp: 1")
LAST_CHUNK = b"0\r\n\r\n"


def plain_event(number):
    return b"id: %d\ndata: x\n\n" % number


BROKEN_AFTER_EVENT_1 = sends(STREAM + event(1) + chunk(b"id: 2\nda"))
ANSWERS_TO_A_RESUMED_STREAM = {
    "error with text": head(500, "Stamp: 1", "Content-Length: 15") + b"internal error\n",
    "error whose text looks like events": head(500, "Stamp: 1", "Content-Length: 17") + b"data: an error\n\n\n",
    "not run": head(503, "Refused: 1", "Content-Length: 4") + b"full",
    "no event stream": head(200, "Stamp: 1", "Content-Type: text/plain", "Content-Length: 16")
    + b"id: 2\ndata: e\n\n\n",
    "text": head(200, "Stamp: 1", "Content-Length: 14") + b"internal error",
    "text and an empty line": head(200, "Stamp: 1", "Content-Length: 16") + b"internal error\n\n",
    "head of an error": STREAM + chunk(b"HTTP/1.1 500 X\r\nId: r\r\n\r\nerror\n\n") + LAST_CHUNK,
    "event and the head of an error": STREAM + event(2) + chunk(b"HTTP/1.1 500 X\r\nId: r\r\n\r\n") + LAST_CHUNK,
    "empty": head(200, "Stamp: 1", "Content-Length: 0"),
    "empty chunks": STREAM + LAST_CHUNK,
    "only a comment": STREAM + chunk(b": comment\n\n") + LAST_CHUNK,
    "ends inside an event": UNFRAMED + plain_event(2) + b"id: 3\ndata: ",
    "ends before the empty line": UNFRAMED + plain_event(2) + b"id: 3\ndata: x\n",
    "whole answer that ends inside an event": STREAM + event(2) + chunk(b"id: 3\nda") + LAST_CHUNK,
}


@pytest.mark.parametrize("name", ANSWERS_TO_A_RESUMED_STREAM)
def test_only_events_follow_in_a_stream_that_has_begun(name):
    # Callers found the text or the head of an error in their stream, or the stream ended as if it were complete.
    answer = ANSWERS_TO_A_RESUMED_STREAM[name]
    servers = [Backend(BROKEN_AFTER_EVENT_1), Backend(sends(answer))]
    caller, _, aborted = relay(*servers, kind=RouteKind.STREAM, max_attempts=2, event_s=0.1)
    assert servers[0].requests and servers[1].requests and aborted
    events = plain_event(1) + plain_event(2)
    comment = b": comment\n\n"
    assert caller.body in (events, plain_event(1), plain_event(1) + comment), caller.body

    servers = [
        Backend(BROKEN_AFTER_EVENT_1),
        Backend(sends(answer)),
        Backend(sends(STREAM + event(2), event(3), LAST_CHUNK)),
    ]
    caller, _, aborted = relay(*servers, kind=RouteKind.STREAM, max_attempts=3, event_s=0.1)
    assert not aborted and caller.body.replace(comment, b"") == events + plain_event(3)


def test_stream_that_broke_after_its_last_event_is_completed_by_a_repetition():
    servers = [
        Backend(sends(STREAM + event(1) + event(2))),
        Backend(sends(STREAM + event(1) + event(2) + LAST_CHUNK)),
    ]
    caller, _, aborted = relay(*servers, kind=RouteKind.STREAM, event_s=0.1)
    assert (caller.body, aborted) == (plain_event(1) + plain_event(2), False)


@pytest.mark.parametrize("end", [b"id: 2\nda", b"id: 2\ndata: x", b"id: 2\ndata: x\n", b"id: 2\r\ndata: x\r\n\r"])
@pytest.mark.parametrize("framing", ["unframed", "length", "chunks"])
def test_stream_that_ends_inside_an_event_is_broken_off(framing, end):
    # The rest was forwarded and the stream ended as complete.
    body = plain_event(1) + end
    whole = {
        "unframed": UNFRAMED + body,
        "length": head(200, "Stamp: 1", f"Content-Length: {len(body)}") + body,
        "chunks": STREAM + chunk(body) + LAST_CHUNK,
    }[framing]
    caller, exchange, aborted = relay(Backend(sends(whole)), kind=RouteKind.STREAM, max_attempts=1)
    assert (caller.body, aborted, exchange.verdict) == (plain_event(1), True, Verdict.MAY_HAVE_RUN)
    faulty, sound = Backend(sends(whole)), Backend(sends(UNFRAMED + plain_event(2)))
    caller, _, aborted = relay(faulty, sound, kind=RouteKind.STREAM, event_s=0.1)
    assert (caller.body, aborted) == (plain_event(1) + plain_event(2), False)
    assert b"After: 1\r\n" in sound.requests[0]


@pytest.mark.parametrize("end", [b"", b"\n", b"\r\n\r\n", b": comment", b": comment\n", b"\r\n: comment\r\n "])
def test_stream_that_ends_with_its_connection_is_complete(end):
    caller, _, aborted = relay(Backend(sends(UNFRAMED + plain_event(1) + end)), kind=RouteKind.STREAM, max_attempts=1)
    assert (caller.body, aborted) == (plain_event(1) + end, False)


@pytest.mark.parametrize("body", [b"", b"whole", b"x" * (2 * MIB)])
def test_answer_that_ends_with_its_connection_is_delivered(body):
    caller, _, aborted = relay(Backend(sends(UNFRAMED + body)))
    assert (caller.status, caller.body, aborted) == (200, body, False)


def test_success_that_is_no_event_stream_is_delivered_unchanged():
    answer = head(200, "Stamp: 1", "Content-Type: application/json", "Content-Length: 2") + b"{}"
    caller, _, aborted = relay(Backend(sends(answer)), kind=RouteKind.STREAM)
    assert (caller.status, caller.body, aborted) == (200, b"{}", False)


def test_event_that_is_too_large_is_not_dropped_from_a_complete_stream():
    # The bytes that exceed the limit may also complete the response.
    large = b"id: 2\ndata: " + b"x" * (MIB + 10)
    caller, _, aborted = relay(
        Backend(sends(STREAM + event(1) + chunk(large) + LAST_CHUNK)), kind=RouteKind.STREAM, max_attempts=1
    )
    assert (caller.body, aborted) == (plain_event(1), True)


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_answer_that_ends_within_its_head_is_not_delivered(kind, method):
    # A head without its last byte was a 200 with an empty body.
    whole = b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + UNFRAMED
    for length in (0, 5, 12, 17, 30, 36, 50, 55, 60, len(whole) - 2, len(whole) - 1):
        caller, exchange, aborted = relay(Backend(sends(whole[:length])), kind=kind, max_attempts=1, method=method)
        assert aborted or caller.status == 502, whole[:length]
        assert exchange.verdict is Verdict.MAY_HAVE_RUN
