"""Guards against lost, repeated or mismatched tokens, and against work for callers that have disconnected."""

import json
import resource
import time

import pytest
from arbutusrill_http import AbortStreamError, BodyBudget, json_response
from arbutusrill_wire import encode, messages

from arbutusrill_entry import _relay

from .rig import KEY, WORDS, entry_rig, events_of, eventually, text_of

FULL_TEXT = "".join(WORDS)


@pytest.fixture
def rig():
    with entry_rig() as rig:
        yield rig


def assert_complete(answer):
    status, _, body, whole = answer
    assert (status, whole, events_of(body)[-1]) == (200, True, "[DONE]"), body
    assert text_of(body) == FULL_TEXT


def assert_aborted(answer, code):
    _, _, body, whole = answer
    assert not whole, "the body must not look complete"
    error = json.loads(events_of(body)[-1])["error"]
    assert (error["code"], error["verdict"]) == (code, "may_have_run")


def test_stream_is_complete_and_its_ticket_is_released(rig):
    rig.engine()
    assert_complete(rig.chat(stream=True))
    release = rig.pools.messages_named("release")[0]
    assert (release.outcome, release.tokens) == ("done", len(WORDS))
    assert release.first_token_s > 0
    assert len(rig.held) == 0


@pytest.mark.parametrize("fault", ["stall_at", "cut_at", "repeat_at"])
def test_stream_resumes_at_its_offset_after_a_fault(rig, fault):
    engine = rig.engine()
    setattr(engine, fault, 5)
    assert_complete(rig.chat(stream=True))
    assert [path for path, _ in engine.seen if "/streams/" in path]
    assert len(engine.paths("/engine/prefill")) == 1


def test_unstreamed_response_survives_an_interrupted_stream(rig):
    rig.engine().cut_at = 5
    _, _, body, _ = rig.chat()
    assert json.loads(body)["choices"][0]["message"]["content"] == FULL_TEXT


def test_failed_engine_is_replaced_and_the_output_so_far_is_kept(rig):
    first, second = rig.engine("e1"), rig.engine("e2")
    rig.pools.servers.reverse()  # prefill at e2, decode at e1
    first.crash_at = 5
    assert_complete(rig.chat(stream=True))
    prefills = second.paths("/engine/prefill")
    assert prefills[-1]["prompt"].endswith("".join(WORDS[:5]))
    decode = second.paths("/engine/decode")[-1]
    assert (decode["offset"], decode["max_tokens"]) == (5, len(WORDS) - 5)
    assert rig.pools.messages_named("acquire")[-1].avoid == ["e1"]
    assert prefills[-1]["request_id"] != prefills[0]["request_id"], "a late cancellation must not end the new attempt"


def test_failed_prefill_is_retried_on_another_server(rig):
    rig.engine("e1").refuse_prefills = 9
    rig.engine("e2")
    assert_complete(rig.chat(stream=True))


def test_answer_to_another_prefill_is_not_used(rig):
    rig.engine("e1").mismatched_prefills = 9
    second = rig.engine("e2")
    assert_complete(rig.chat(stream=True))
    assert len(second.paths("/engine/prefill")) == 1


def test_token_of_another_request_is_never_delivered(rig):
    engine = rig.engine("e1")
    engine.mismatch_at = 5
    answer = rig.chat(stream=True)
    assert text_of(answer[2]) == "".join(WORDS[:5])
    assert_aborted(answer, "no_capacity")
    eventually(lambda: not engine.held)


def test_expired_kv_cache_costs_one_more_prefill_on_the_same_servers(rig):
    engine = rig.engine()
    engine.expired_kv_handles = 1
    assert_complete(rig.chat(stream=True))
    assert len(engine.paths("/engine/prefill")) == 2
    assert len(rig.pools.messages_named("acquire")) == 1


def test_lost_stream_costs_one_more_prefill(rig):
    engine = rig.engine()
    engine.cut_at, engine.loses_streams = 5, True
    assert_complete(rig.chat(stream=True))
    assert len(engine.paths("/engine/prefill")) == 2


def test_no_retry_without_budget(rig):
    while rig.retry_budget.try_acquire():
        pass
    rig.engine().crash_at = 5
    assert_aborted(rig.chat(stream=True), "decode_failed")
    eventually(lambda: rig.pools.messages_named("release"))
    release = rig.pools.messages_named("release")[0]
    assert (release.outcome, release.failed_server) == ("decode_failed", "e1"), (
        "the failed server must be reported to the owner"
    )
    assert len(rig.pools.messages_named("acquire")) == 1


def test_no_retry_after_the_callers_deadline(rig):
    engine = rig.engine()
    engine.refuse_prefills = 9
    engine.token_gap_s = 0.01
    status, headers, body, _ = rig.chat(["X-Deadline-Ms: 150"], stream=True)
    assert status == 503
    assert json.loads(body)["error"]["verdict"] == "may_have_run"


def test_refused_request_has_verdict_not_run_and_retry_after(rig):
    rig.engine()
    rig.pools.acquire_reply = messages.AcquireReply("refused", None, "overloaded", "too late", 2500)
    status, headers, body, _ = rig.chat()
    assert (status, headers["retry-after"], json.loads(body)["error"]["verdict"]) == (503, "3", "not_run")


def test_ticket_is_released_when_a_queued_caller_disconnects(rig):
    rig.pools.acquire_reply = messages.AcquireReply("pending")
    connection = rig.start_chat()
    eventually(lambda: rig.pools.messages_named("acquire"))
    connection.close()
    eventually(lambda: rig.pools.messages_named("release"), 2)
    assert rig.pools.messages_named("release")[0].outcome == "gone"


@pytest.mark.parametrize("stage", ["hang_prefill", "hang_decode", "stream", "idle"])
def test_engine_is_freed_when_the_caller_disconnects(rig, stage):
    engine = rig.engine()
    engine.failed_cancels = 2
    if stage.startswith("hang"):
        setattr(engine, stage, True)
    elif stage == "stream":
        engine.token_gap_s = 0.2
    else:
        engine.stall_at = 3
    connection = rig.start_chat(stream=True)
    eventually(lambda: engine.held)
    if stage in ("stream", "idle"):
        connection.recv(1)
    connection.close()
    disconnected_at = time.monotonic()
    eventually(lambda: rig.pools.messages_named("release") and not engine.held and len(rig.held) == 0)
    assert time.monotonic() - disconnected_at < 2
    assert len(engine.paths("/engine/cancel")) >= 3


def test_ticket_is_released_without_an_acknowledged_cancellation(rig):
    engine = rig.engine()
    engine.failed_cancels, engine.hang_decode = 10_000, True
    connection = rig.start_chat(stream=True)
    eventually(lambda: engine.held)
    connection.close()
    disconnected_at = time.monotonic()
    eventually(lambda: rig.pools.messages_named("release"))
    assert 1 < time.monotonic() - disconnected_at < 2.5
    engine.failed_cancels = 0
    eventually(lambda: not engine.held)


def test_release_is_retried_until_the_owner_accepts_it(rig):
    rig.engine()
    rig.pools.refused_calls.add("release")
    assert_complete(rig.chat(stream=True))
    rig.pools.refused_calls.clear()
    failed = len(rig.pools.messages_named("release"))
    eventually(lambda: len(rig.pools.messages_named("release")) > failed)


def test_held_tickets_are_renewed_also_at_a_new_owner(rig):
    engine = rig.engine()
    engine.hang_decode = True
    with rig.start_chat(stream=True):
        eventually(lambda: any(owner == "owner1" for owner, name, _ in rig.pools.calls if name == "renew"))
        rig.pools.owner = "owner2"
        eventually(lambda: any(owner == "owner2" for owner, name, _ in rig.pools.calls if name == "renew"))
        held = rig.pools.messages_named("renew")[-1].tickets[0]
        assert (held.pool, held.workspace, held.stage, held.assignment.decode_server) == (
            "m",
            "dispatch",
            "decode",
            "e1",
        )
        engine.hang_decode = False


@pytest.mark.parametrize("change", ["key", "workspace", "stale"])
def test_running_stream_of_a_refused_key_ends_within_5_s(rig, change):
    engine = rig.engine()
    engine.token_gap_s = 0.9
    with rig.start_chat(stream=True) as connection, connection.makefile("rb") as stream:
        assert stream.readline().startswith(b"HTTP/1.1 200")
        changed_at = time.monotonic()
        if change == "key":
            rig.follower.apply(messages.WithdrawKey("k1"))
        elif change == "workspace":
            rig.follower.apply(messages.RemoveWorkspace("dispatch"))
        else:
            rig.follower.state_is_fresh = False
        rest = stream.read()
    assert time.monotonic() - changed_at < 5
    assert b'"verdict": "may_have_run"' in rest and b"[DONE]" not in rest and not rest.endswith(b"0\r\n\r\n")
    eventually(lambda: not engine.held)


def test_key_is_checked_on_each_request_of_a_connection(rig):
    with rig.send("GET", "/v1/models", headers=["Connection: keep-alive"]) as connection:
        connection.makefile("rb").readline()
    rig.follower.apply(messages.WithdrawKey("k1"))
    assert rig.call("GET", "/v1/models")[0] == 401
    assert KEY not in rig.meters.render().decode()


def test_slow_but_sound_stream_is_not_cut(rig):
    # Without a token for 1 s, the stream was resumed, and failed if the next second brought none either.
    engine = rig.engine()
    engine.token_gap_s = 1.4
    answer = rig.chat(stream=True, max_tokens=3)
    assert answer[0] == 200
    assert len(engine.paths("/engine/decode")) == 1
    assert text_of(answer[2]).startswith("".join(WORDS[:3]))


def test_stream_that_sends_bytes_but_no_token_moves_to_another_server(rig, monkeypatch):
    # Bytes between tokens must not keep a stalled stream alive.
    monkeypatch.setattr(_relay, "_MAX_TOKEN_TIMEOUT_S", 1.5)
    stalled, sound = rig.engine("e1"), rig.engine("e2")
    rig.pools.servers.reverse()  # prefill at e2, decode at e1

    def send(request_id, first, start):
        write = start("200 OK", [("Content-Type", "text/event-stream")])
        if first == 0:
            event = {"request_id": request_id, "offset": 0, "token": WORDS[0]}
            write(b"data: " + json.dumps(event).encode() + b"\n\n")
        while not stalled.closing.wait(0.05):
            write(b": comment\n\n")
        return []

    monkeypatch.setattr(stalled, "_send", send)
    started = time.monotonic()
    assert_complete(rig.chat(stream=True))
    assert time.monotonic() - started < 10
    assert sound.paths("/engine/decode")


def test_prefill_answer_without_end_is_not_kept_in_memory(rig, monkeypatch):
    endless, sound = rig.engine("e1"), rig.engine("e2")

    def prefill(body, environ, start):
        write = start("200 OK", [])
        while not endless.closing.is_set():
            write(b"x" * 65536)
        return []

    monkeypatch.setattr(endless, "_prefill", prefill)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    assert_complete(rig.chat(stream=True))
    assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before < 48 * 1024
    assert sound.paths("/engine/decode")


def raw_response(body, status="200 OK", content_type="text/event-stream"):
    def serve(environ, start):
        write = start(status, [("Content-Type", content_type)])
        write(body)
        return []

    return serve


DEEP = b"[" * 100_000


@pytest.mark.parametrize("change", [None, {"cached_tokens": 2**70}, {"prompt_tokens": "many"}, {"cached_tokens": [1]}])
def test_odd_answer_to_a_prefill_ends_no_request(rig, monkeypatch, change):
    # A value that is nested too deeply or of another type raised, and a number of more than 64 bits kept the ticket.
    odd = rig.engine("e1")
    rig.engine("e2")
    original = odd._prefill

    def prefill(body, environ, start):
        if change is None:
            return raw_response(DEEP)(environ, start)
        original(body, environ, lambda *_: None)
        answer = {"request_id": body["request_id"], "kv_handle": "kv", "prompt_tokens": 3, **change}
        return raw_response(json.dumps(answer).encode())(environ, start)

    monkeypatch.setattr(odd, "_prefill", prefill)
    assert_complete(rig.chat(stream=True))
    for message in rig.pools.messages_named("release"):
        assert encode(message)


BROKEN_EVENT = b'data: {"request_id": "'


@pytest.mark.parametrize(
    "answer",
    [
        raw_response(b"internal error", "500 Error", "text/plain"),
        raw_response(b'data: {"error": "internal"}\n\n', "500 Error"),
        raw_response(b"full", "503 Full", "text/plain"),
        raw_response(b"internal error", content_type="text/plain"),
        raw_response(b"HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\ninternal error\n\n"),
        raw_response(b"data: internal error\n\n"),
        raw_response(b"data: " + DEEP + b"\n\n"),
        raw_response(BROKEN_EVENT),
        raw_response(b""),
    ],
)
def test_only_tokens_follow_in_a_stream_that_has_begun(rig, monkeypatch, answer):
    # The stream broke off, and the engine that continues it answers with something else.
    faulty, sound = rig.engine("e1"), rig.engine("e2")
    rig.pools.servers.reverse()  # prefill at e2, decode at e1
    faulty.cut_at = 5
    monkeypatch.setattr(faulty, "_resume", lambda request_id, offset, environ, start: answer(environ, start))
    assert_complete(rig.chat(stream=True))
    assert sound.paths("/engine/decode")


@pytest.mark.parametrize(
    "end", ["", "data: ", 'data: {"request_id": "R", "end": true}', 'data: {"request_id": "R", "end": true}\n']
)
def test_stream_that_ends_inside_an_event_is_resumed(rig, monkeypatch, end):
    engine = rig.engine("e1")
    original = engine._send

    def send(request_id, first, start):
        if first:
            return original(request_id, first, start)
        event = {"request_id": request_id, "offset": 0, "token": WORDS[0]}
        write = start("200 OK", [("Content-Type", "text/event-stream")])
        write(f"data: {json.dumps(event)}\n\n{end.replace('R', request_id)}".encode())
        return []

    monkeypatch.setattr(engine, "_send", send)
    assert_complete(rig.chat(stream=True))
    assert [path for path, _ in engine.seen if "/streams/" in path]


def test_tokens_beyond_those_asked_for_are_not_relayed(rig):
    # They were kept and relayed without end.
    rig.engine()
    status, _, body, whole = rig.chat(stream=True, max_tokens=5)
    assert (status, whole, text_of(body)) == (200, True, "".join(WORDS[:5]))


def test_stream_without_room_fails_without_blame_for_the_engine():
    budget = BodyBudget(20_000)
    with entry_rig(budget) as rig, budget.open("other") as other:
        assert other.grow(9_000, 0.0)
        rig.serve(EventWithoutEnd(20_000))
        answer = rig.chat(stream=True)
        error = json.loads(answer[2])["error"]
        assert (answer[0], error["code"], error["verdict"]) == (502, "response_memory", "may_have_run")
        eventually(lambda: rig.pools.messages_named("release"))
        assert rig.pools.messages_named("release")[0].failed_server == ""
        eventually(lambda: budget.held_bytes == 18_000)


def test_event_without_end_counts_as_a_failure_of_the_engine(rig):
    rig.engine("sound")
    rig.serve(EventWithoutEnd(100_000), "endless")
    assert_complete(rig.chat(stream=True))
    assert rig.pools.messages_named("release")[0].failed_server == "endless"


class EventWithoutEnd:
    """An engine that sends a part of an event, `size` bytes long, and then nothing."""

    def __init__(self, size):
        self.size = size

    def __call__(self, environ, start):
        if environ["PATH_INFO"] != "/engine/decode":
            request_id = json.loads(environ["wsgi.input"].read())["request_id"]
            return json_response({"request_id": request_id, "kv_handle": "kv"})(environ, start)
        start("200 OK", [("Content-Type", "text/event-stream")])(b"data: " + b"x" * self.size)
        time.sleep(1)
        raise AbortStreamError
