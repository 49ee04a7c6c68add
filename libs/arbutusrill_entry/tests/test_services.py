"""Guards against calls that run twice, wrong verdicts, and keys that are forwarded to backend servers."""

import base64
import json
import socket
import threading
import time
from contextlib import ExitStack

import pytest
from arbutusrill_base import hash_key
from arbutusrill_http import BodyBudget, HttpServer
from arbutusrill_state import ControlUnavailableError
from arbutusrill_wire import messages
from werkzeug.wrappers import Request, Response

from arbutusrill_entry import Drain

from .rig import KEY, entry_rig, eventually

BOOK = "/services/seats/bookings"
IDEMPOTENT = ["Idempotency-Key: b1"]


class Service:
    """A plain service that records the requests it receives."""

    def __init__(self):
        self.seen = []
        self.body = b"{}"
        self.wait = threading.Event()
        self.wait.set()

    def __call__(self, environ, start):
        request = Request(environ)
        self.seen.append((request.method, environ["REQUEST_URI"], dict(request.headers), request.get_data()))
        self.wait.wait(10)
        headers = {"Set-Cookie": "a=b", "ETag": "e", "Content-Encoding": "identity", "X-Internal": "1"}
        return Response(self.body, 201, headers)(environ, start)


class RawServer:
    """Accepts connections, reads up to `max_read_bytes` bytes of each and closes it without an answer."""

    def __init__(self, max_read_bytes):
        self.max_read_bytes = max_read_bytes
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "http://{}:{}".format(*self.listener.getsockname())
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            connection.recv(self.max_read_bytes)
            connection.close()


@pytest.fixture
def rig():
    with entry_rig() as rig:
        routes = [messages.Route("POST", "/bookings", False, False), messages.Route("GET", "/open", True, True)]
        rig.follower.apply(messages.PutService("seats", routes))
        yield rig


@pytest.fixture
def service(rig):
    service = Service()
    rig.serve(service)
    return service


@pytest.fixture
def dropping(rig):
    server = RawServer(65_536)
    rig.pools.servers.insert(0, ("dropping", server.address))
    yield server
    server.listener.close()


def refuse_connections(rig):
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        rig.pools.servers.insert(0, ("refusing", f"http://127.0.0.1:{probe.getsockname()[1]}"))


def recorded_finishes(rig):
    eventually(lambda: any(name == "finish_call" for name, _ in rig.control.calls))
    return [message.journal_finish for name, message in rig.control.calls if name == "finish_call"]


def error_of(answer):
    return json.loads(answer[2])["error"]


def test_no_key_reaches_the_server_in_any_place(rig, service):
    encoded = base64.b64encode(f"user:{KEY}".encode()).decode()
    headers = [
        f"X-Api-Key: {KEY}",
        f"Cookie: session={KEY}",
        f"X-Note: my key is {KEY}",
        f"X-Encoded: ak%2D{KEY[3:]}",
        f"X-Basic: {encoded}",
        "X-Forwarded-Authorization: Basic dXNlcjpwYXNz",
        f"Referer: http://x/?key={KEY}",
        "Proxy-Authorization: Bearer other",
        f"X-Old: ak-{'o' * 43}",
        "X-Kept: yes",
    ]
    query = f"api_key={KEY}&access_token=z&k%65y=z&note=ak%252D{KEY[3:]}&stop=9&ak-{'q' * 43}=1"
    status, _, _, _ = rig.call("GET", f"/services/seats/stops?{query}", headers=headers)
    assert status == 201
    _, target, seen, _ = service.seen[0]
    assert target == "/stops?stop=9"
    assert seen["X-Kept"] == "yes"
    text = json.dumps(seen)
    assert KEY[3:] not in text and encoded not in text and "Bearer" not in text and "Basic" not in text
    assert not {"Authorization", "Cookie", "X-Old"} & set(seen)


@pytest.mark.parametrize("name", ["Caf\xe9 Patan", "Nh\xe0 Ph\u1ea1m Gia"])
def test_name_of_a_workspace_is_sent_in_utf_8(rig, service, name):
    # The encoding depended on the letters, so that two workspaces could have the same bytes.
    rig.follower.apply(messages.PutWorkspace(name, 100.0, 1000.0))
    rig.follower.apply(messages.IssueKey("k2", hash_key("ak-" + "n" * 43), name))
    assert rig.call("GET", "/services/seats/stops", key="ak-" + "n" * 43)[0] == 201
    assert service.seen[0][2]["X-Workspace"].encode("latin-1") == name.encode()


def test_key_on_an_open_route_is_not_forwarded(rig, service):
    assert rig.call("GET", "/services/seats/open", headers=["X-Workspace: forged"])[0] == 201
    assert KEY not in json.dumps(service.seen[0][2]) and "X-Workspace" not in service.seen[0][2]


@pytest.mark.parametrize(
    "path, body",
    [
        (f"/services/seats/{KEY}", b""),
        ("/services/seats/ak%2D" + KEY[3:], b""),
        (BOOK, b'{"key": "%s"}' % KEY.encode()),
    ],
)
def test_key_in_path_or_body_is_refused(rig, service, path, body):
    answer = rig.call("POST", path, body)
    assert (answer[0], error_of(answer)["verdict"]) == (400, "not_run")
    assert not service.seen


def test_workspace_and_method_cannot_be_forged(rig, service):
    rig.call("GET", "/services/seats/stops", headers=["X-Workspace: other", "X-HTTP-Method-Override: POST"])
    seen = service.seen[0][2]
    assert seen["X-Workspace"] == "dispatch" and "X-Http-Method-Override" not in seen


@pytest.mark.parametrize(
    "path", ["/a/../bookings", "/%2e%2e/bookings", "/.%252e/x", "/a#/bookings", "/a\\b", "//bookings"]
)
def test_path_that_servers_may_normalize_differently_is_refused(rig, service, path):
    assert rig.call("POST", f"/services/seats{path}")[0] in (400, 404)
    assert not service.seen


@pytest.mark.parametrize("path", ["/%62ookings", "/%2562ookings"])
def test_encoded_path_matches_its_route(rig, dropping, path):
    rig.follower.apply(messages.PutService("seats", [messages.Route("*", "/bookings", False, False)]))
    answer = rig.call("GET", f"/services/seats{path}")
    assert error_of(answer)["verdict"] == "may_have_run"
    assert dropping.connections == 1


def test_path_and_query_arrive_as_sent(rig, service):
    rig.call("GET", "/services/seats/a%20b/%2F?x=%20&y")
    assert service.seen[0][1] == "/a%20b/%2F?x=%20&y"


def test_answer_keeps_only_headers_that_are_meant_for_the_caller(rig, service):
    status, headers, _, _ = rig.call("GET", "/services/seats/stops")
    assert (status, headers["etag"], headers["content-encoding"]) == (201, "e", "identity")
    assert "set-cookie" not in headers and "x-internal" not in headers


def test_repeatable_call_is_retried_on_another_server(rig, service, dropping):
    assert rig.call("GET", "/services/seats/stops")[0] == 201
    assert rig.pools.messages_named("acquire")[-1].avoid == ["dropping"]


def test_repeatable_call_without_budget_says_may_have_run(rig, service, dropping):
    while rig.retry_budget.try_acquire():
        pass
    answer = rig.call("GET", "/services/seats/stops")
    assert (answer[0], error_of(answer)["verdict"]) == (502, "may_have_run")
    assert not service.seen


def test_refused_connection_is_not_run_and_another_server_is_tried(rig, service):
    refuse_connections(rig)
    assert rig.call("POST", BOOK, b"{}", IDEMPOTENT)[0] == 201
    assert len(service.seen) == 1


def test_call_that_was_never_sent_is_recorded_as_not_run(rig):
    refuse_connections(rig)
    answer = rig.call("POST", BOOK, b"{}", IDEMPOTENT)
    assert error_of(answer)["verdict"] == "not_run"
    assert recorded_finishes(rig)[0].status == "not_run"


@pytest.mark.parametrize("max_read_bytes", [1, 65_536])
def test_sent_call_may_have_run_and_is_never_sent_again(rig, service, max_read_bytes):
    server = RawServer(max_read_bytes)
    rig.pools.servers.insert(0, ("dropping", server.address))
    answer = rig.call("POST", BOOK, b"{}", IDEMPOTENT)
    assert (answer[0], error_of(answer)["verdict"]) == (502, "may_have_run")
    assert recorded_finishes(rig)[0].status == "unknown"
    assert (server.connections, len(service.seen)) == (1, 0)
    server.listener.close()


def test_call_without_idempotency_key_is_sent_once(rig, service, dropping):
    assert error_of(rig.call("POST", BOOK, b"{}"))["verdict"] == "may_have_run"
    assert (dropping.connections, len(service.seen), rig.control.calls) == (1, 0, [])
    eventually(lambda: rig.pools.messages_named("release"))
    release = rig.pools.messages_named("release")[0]
    assert (release.outcome, release.failed_server) == ("decode_failed", "dropping"), (
        "the failed server must be reported to the owner"
    )


@pytest.mark.parametrize("error", [MemoryError("no memory"), RuntimeError("bug")])
def test_exception_after_the_send_leaves_no_false_verdict(rig, service, monkeypatch, error):
    def broken(*_):
        raise error

    monkeypatch.setattr("arbutusrill_entry._answer.Answer.on_data", broken)
    answer = rig.call("POST", BOOK, b"{}", IDEMPOTENT)
    assert (answer[0], error_of(answer)["verdict"]) == (500, "may_have_run")
    assert recorded_finishes(rig)[0].status == "unknown"


def test_nothing_is_sent_if_the_journal_does_not_answer(rig, service):
    rig.control.answers = [ControlUnavailableError("lost", sent=True)]
    answer = rig.call("POST", BOOK, b"{}", IDEMPOTENT)
    assert (answer[0], error_of(answer)["verdict"]) == (503, "not_run")
    assert recorded_finishes(rig)[0].status == "not_run"
    assert not service.seen


def test_outcome_is_recorded_later_if_the_journal_is_unavailable(rig, service):
    rig.control.answers = [messages.BeginAnswer("started", 1), ControlUnavailableError("lost", sent=True)]
    assert rig.call("POST", BOOK, b"{}", IDEMPOTENT)[0] == 201
    eventually(lambda: len(recorded_finishes(rig)) == 2)
    assert recorded_finishes(rig)[0] == recorded_finishes(rig)[1]


def test_only_selected_headers_are_recorded(rig, service):
    rig.call("POST", BOOK, b"{}", IDEMPOTENT)
    finish = recorded_finishes(rig)[0]
    assert (finish.status, finish.http_status, finish.body) == ("done", 201, b"{}")
    assert {name for name, _ in json.loads(finish.headers_json)} <= {"content-type", "content-encoding", "etag"}


def test_large_answer_is_forwarded_whole_and_recorded_as_ran(rig, service):
    service.body = b"x" * 3_000_000
    status, _, body, whole = rig.call("POST", BOOK, b"{}", IDEMPOTENT)
    assert (status, len(body), whole) == (201, 3_000_000, True)
    assert (recorded_finishes(rig)[0].status, recorded_finishes(rig)[0].body or b"") == ("ran", b"")


@pytest.mark.parametrize("change", ["caller", "key", "stale"])
def test_sent_call_is_never_aborted(rig, service, change):
    service.wait.clear()
    connection = rig.send("POST", BOOK, b"{}", IDEMPOTENT)
    eventually(lambda: service.seen)
    if change == "caller":
        connection.close()
    elif change == "key":
        rig.follower.apply(messages.WithdrawKey("k1"))
    else:
        rig.follower.state_is_fresh = False
    time.sleep(0.8)
    assert not [name for name, _ in rig.control.calls if name == "finish_call"]
    service.wait.set()
    assert recorded_finishes(rig)[0].status == "done"


def test_repeatable_call_of_a_withdrawn_key_ends(rig, service):
    service.wait.clear()
    with rig.send("GET", "/services/seats/stops") as connection:
        eventually(lambda: service.seen)
        rig.follower.apply(messages.WithdrawKey("k1"))
        started = time.monotonic()
        answer = connection.makefile("rb").read()
    assert time.monotonic() - started < 5
    assert b" 401 " in answer and b"may_have_run" in answer
    service.wait.set()


@pytest.mark.parametrize("is_stopped", [False, True])
def test_call_that_is_cancelled_before_its_answer_is_refused(rig, service, is_stopped):
    # A caller that had closed its sending side, and one whose VM reached the end of its drain, got no answer.
    service.wait.clear()
    with rig.send("GET", BOOK) as connection:
        eventually(lambda: service.seen)
        if is_stopped:
            rig.server.cancel_requests()
        else:
            connection.shutdown(socket.SHUT_WR)
        answer = connection.makefile("rb").read()
    service.wait.set()
    assert b" 502 " in answer and b"may_have_run" in answer


def test_call_that_may_not_be_repeated_is_answered_at_the_end_of_a_drain(rig, service):
    # Its connection was closed without an answer, and its end was not recorded.
    service.wait.clear()
    with rig.send("POST", BOOK, b"{}", IDEMPOTENT) as connection:
        eventually(lambda: service.seen)
        drain = Drain(rig.context, rig.app, rig.server, threading.Event())
        assert drain._abort() == 1
        answer = connection.makefile("rb").read()
    service.wait.set()
    assert b" 502 " in answer and b"may_have_run" in answer
    assert recorded_finishes(rig)[0].status == "unknown"


def end_drain(rig):
    Drain(rig.context, rig.app, rig.server, threading.Event())._abort()


def test_once_only_call_that_waits_at_the_end_of_a_drain_is_refused_as_not_run(rig):
    # Its caller was told that it may have run, although it was never sent.
    rig.pools.acquire_reply = messages.AcquireReply("pending")
    with rig.send("POST", BOOK, b"{}", IDEMPOTENT) as connection:
        eventually(lambda: rig.pools.messages_named("acquire"))
        end_drain(rig)
        answer = connection.makefile("rb").read()
    assert b" 503 " in answer and b"not_run" in answer
    assert recorded_finishes(rig)[0].status == "not_run"


def test_once_only_call_is_not_sent_after_the_end_of_a_drain(rig, service):
    # It was sent and ended at once, with an unknown outcome.
    rig.context.drain_over.set()
    answer = rig.call("POST", BOOK, b"{}", IDEMPOTENT)
    assert (answer[0], error_of(answer)["verdict"]) == (503, "not_run")
    assert not service.seen and recorded_finishes(rig)[0].status == "not_run"


def test_once_only_call_that_is_being_connected_at_the_end_of_a_drain_is_refused_as_not_run(rig):
    with ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(4):  # no further connection is accepted
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        rig.pools.servers.append(("full", "http://{}:{}".format(*listener.getsockname())))
        connection = stack.enter_context(rig.send("POST", BOOK, b"{}", IDEMPOTENT))
        eventually(lambda: rig.pools.messages_named("acquire"))
        time.sleep(0.2)
        end_drain(rig)
        answer = connection.makefile("rb").read()
    assert b"not_run" in answer and b"may_have_run" not in answer
    assert recorded_finishes(rig)[0].status == "not_run"


def test_queued_call_of_a_disconnected_caller_is_recorded_as_not_run(rig):
    rig.pools.acquire_reply = messages.AcquireReply("pending")
    connection = rig.send("POST", BOOK, b"{}", IDEMPOTENT)
    eventually(lambda: rig.pools.messages_named("acquire"))
    connection.close()
    assert recorded_finishes(rig)[0].status == "not_run"


@pytest.mark.parametrize(
    "status, expected",
    [("mismatch", (422, "not_run")), ("running", (409, "may_have_run")), ("unknown", (409, "may_have_run"))]
    + [("ran", (409, "ran"))],
)
def test_journal_answers_carry_their_verdict(rig, service, status, expected):
    rig.control.answers = [messages.BeginAnswer(status, 1)]
    answer = rig.call("POST", BOOK, b"{}", IDEMPOTENT)
    assert (answer[0], error_of(answer)["verdict"]) == expected
    assert not service.seen


class RawAnswer:
    """Answers each connection with the same bytes and closes it."""

    def __init__(self, rig, data):
        self._data = data
        self._listener = socket.create_server(("127.0.0.1", 0))
        rig.stack.callback(self._listener.close)
        rig.pools.servers.append(("raw", "http://{}:{}".format(*self._listener.getsockname())))
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                connection.recv(65_536)
                connection.sendall(self._data)


EVENT_STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"


@pytest.mark.parametrize("end", [b"id: 2\nda", b"data: x\n", b"data: x\r\n\r", b"data: " + b"x" * 400_000])
def test_event_stream_that_ends_inside_an_event_is_aborted(rig, end):
    # The rest was forwarded and the stream ended as complete.
    RawAnswer(rig, EVENT_STREAM + EVENT + end)
    for method, path, headers in (("GET", "/services/seats/stops", []), ("POST", BOOK, IDEMPOTENT)):
        status, _, body, is_whole = rig.call(method, path, headers=headers)
        assert (status, is_whole) == (200, False)
        assert body.startswith(EVENT) and (body == EVENT or len(end) > 300_000)
    assert recorded_finishes(rig)[0].status != "done"


@pytest.mark.parametrize("end", [b"", b"\r\n", b": comment", b"data: " + b"x" * 400_000 + b"\r\n\r\n"])
def test_event_stream_that_ends_with_its_connection_is_complete(rig, end):
    RawAnswer(rig, EVENT_STREAM + EVENT + end)
    assert rig.call("GET", "/services/seats/stops")[2:] == (EVENT + end, True)


@pytest.mark.parametrize("method, path", [("GET", "/services/seats/stops"), ("POST", BOOK)])
def test_answer_that_ends_within_its_head_is_not_delivered(rig, method, path):
    # A head without its last byte was a 200 with an empty body.
    whole = b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nETag: e\r\n\r\n"
    for length in (9, 17, 30, 40, 50, 56, len(whole) - 2, len(whole) - 1):
        rig.pools.servers.clear()
        RawAnswer(rig, whole[:length])
        answer = rig.call(method, path)
        # A repeatable call finds no other server to be retried at.
        assert (answer[0], error_of(answer)["verdict"]) == (503 if method == "GET" else 502, "may_have_run")
    rig.pools.servers.clear()
    RawAnswer(rig, whole + b"whole")
    assert rig.call(method, path)[2:] == (b"whole", True)


@pytest.mark.parametrize("method, headers", [("GET", []), ("POST", IDEMPOTENT)])
def test_answer_without_room_is_forwarded_and_not_recorded(method, headers):
    # The answer is streamed in place of being kept; a once-only call has run all the same.
    budget = BodyBudget(100_000)
    with entry_rig(budget) as rig:
        rig.follower.apply(messages.PutService("seats", [messages.Route("POST", "/bookings", False, False)]))
        rig.follower.apply(messages.SetDefault("journal.answer_bytes", "1048576"))
        service = Service()
        rig.serve(service)
        service.body = b"s" * 200_000
        assert rig.call(method, BOOK, headers=headers)[2:] == (service.body, True)
        assert budget.refused_response_count == 1
        if headers:
            assert recorded_finishes(rig)[0].status == "ran"
        eventually(lambda: budget.held_bytes == 0)


def test_room_of_an_answer_is_held_until_it_is_written():
    budget = BodyBudget(100_000_000)
    held = []
    with entry_rig(budget) as rig:
        rig.follower.apply(messages.PutService("seats", []))

        def app(environ, start):
            chunks = rig.app(environ, start)
            held.append(budget.held_bytes)
            return chunks

        service = Service()
        rig.serve(service)
        service.body = b"s" * 250_000
        rig.address = rig.stack.enter_context(HttpServer("127.0.0.1", 0, app)).address
        assert rig.call("GET", "/services/seats/stops")[2:] == (service.body, True)
        assert held == [2 * len(service.body)]
        eventually(lambda: budget.held_bytes == 0)
