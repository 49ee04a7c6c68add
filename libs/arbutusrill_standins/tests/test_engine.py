"""Tests of the engine stand-in: it must behave as the platform does, or tests against it prove nothing."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from arbutusrill_base import TaskGroup
from arbutusrill_http import HttpLimits, HttpServer, Transfer, fetch

from arbutusrill_standins.engine import Engine, EngineOptions


class Client:
    def __init__(self, address):
        self.address = address

    def call(self, path, body=None, **options):
        method = "GET" if body is None else "POST"
        data = b"" if body is None else json.dumps(body).encode()
        return fetch(Transfer(method, f"http://{self.address}{path}", [], data, **options))

    def prefill(self, request_id, prompt="x" * 400, **extra):
        return self.call(
            "/engine/prefill", {"request_id": request_id, "vm": "a", "incarnation": 1, "prompt": prompt, **extra}
        )

    def decode(self, request_id, prefill, tokens=5, **options):
        made = json.loads(prefill.body)
        body = {"request_id": request_id, "vm": "a", "incarnation": 1, "max_tokens": tokens}
        body.update(kv_handle=made["kv_handle"], prompt_tokens=made["prompt_tokens"])
        return self.call("/engine/decode", body, **options)

    def counters(self):
        return json.loads(self.call("/stand-in/counters").body)

    def fault(self, **body):
        assert self.call("/stand-in/fault", body).status == 200

    def stages(self):
        return [row["stage"] for row in json.loads(self.call("/engine/requests").body)["requests"]]


@pytest.fixture
def start():
    """Starts engines in this process; the options are those of `EngineOptions`."""
    stack = []

    def begin(**options):
        engine = Engine(EngineOptions(**options), "both", ["m"], "e")
        server = HttpServer("127.0.0.1", 0, engine, HttpLimits(connections=64, idle_s=2)).__enter__()
        tasks = TaskGroup("engine", 4)
        engine.own_address = f"http://{server.address}"
        engine.start(tasks)
        stack.append((engine, server, tasks))
        return Client(server.address)

    yield begin
    for engine, server, tasks in stack:
        engine.faults.command({"kind": "clear"})
        tasks.close()
        server.__exit__()


def events(body):
    return [json.loads(line[6:]) for line in body.decode().split("\n\n") if line]


def wait_for(condition, seconds=5.0):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "not in time"
        time.sleep(0.02)


def in_background(function, *args, **options):
    executor = ThreadPoolExecutor(1)
    return executor.submit(function, *args, **options)


def test_output_repeats_the_mark_of_its_own_prompt(start):
    """A router that mixes up two answers must be noticed."""
    client = start()
    result = client.decode("r", client.prefill("r", "[[m7]] go m7.0 m7.1 "), tokens=2)
    assert [event.get("token") for event in events(result.body)] == ["m7.2 ", "m7.3 ", None]
    assert events(result.body)[-1]["end"]


def test_twenty_streams_keep_their_rate(start):
    """Wake-ups that come late must not add up: the bench measures gaps of tens of milliseconds."""
    client = start(token_gap_s=0.01, batch_slowdown=0.0, slots=20)

    def one(number):
        prefill = client.prefill(f"r{number}")
        began = time.monotonic()
        assert client.decode(f"r{number}", prefill, tokens=100).whole
        return time.monotonic() - began

    with ThreadPoolExecutor(20) as executor:
        seconds = sorted(executor.map(one, range(20)))
    assert seconds[0] >= 0.99
    assert seconds[10] < 3.0  # delays of 10 ms that add up over 100 tokens would double it even on an idle machine


def test_gap_grows_with_the_batch(start):
    """Without this, filling one runner costs nothing and placement cannot be compared."""
    client = start(token_gap_s=0.02, batch_slowdown=1.0)
    alone = client.decode("a", client.prefill("a"), tokens=10)
    prefills = [(name, client.prefill(name)) for name in ("b", "c", "d")]
    with ThreadPoolExecutor(3) as executor:
        began = time.monotonic()
        list(executor.map(lambda pair: client.decode(pair[0], pair[1], tokens=10), prefills))
    assert alone.whole
    assert time.monotonic() - began > 0.4


def test_prefill_runs_one_at_a_time_and_higher_priority_first(start):
    client = start(prefill_tokens_per_s=1000)
    finished = []
    first = in_background(client.prefill, "first", "a" * 1200)
    wait_for(lambda: client.stages() == ["prefill"])

    def run(name, priority):
        client.prefill(name, name * 800, priority=priority)
        finished.append(name)

    low = in_background(run, "l", 0)
    wait_for(lambda: client.stages().count("prefill") == 2)
    high = in_background(run, "h", 5)
    for job in (first, low, high):
        job.result(10)
    assert finished == ["h", "l"]


def test_shared_prefix_is_not_computed_again_until_it_is_evicted(start):
    client = start(cache_tokens=640)
    client.prefill("a", "s" * 1024)
    assert json.loads(client.prefill("b", "s" * 1024 + "t" * 300).body)["cached_tokens"] == 256
    client.prefill("c", "z" * 2560)
    assert json.loads(client.prefill("d", "s" * 1024).body)["cached_tokens"] == 0


def test_unused_kv_expires_and_counts_as_waste(start):
    client = start(kv_life_s=0.2)
    prefill = client.prefill("a")
    wait_for(lambda: client.counters()["prefill_tokens_wasted"] == 100)
    assert client.decode("a", prefill).status == 410
    assert client.stages() == []


def test_used_kv_is_no_waste(start):
    client = start(kv_life_s=0.3)
    assert client.decode("a", client.prefill("a")).whole
    time.sleep(0.5)
    assert client.counters()["prefill_tokens_wasted"] == 0


def test_kv_transfer_takes_its_time_and_shares_the_link(start):
    """Two transfers of 0.2 s each over one link take 0.4 s."""
    source = start(kv_bytes_per_token=1000, link_bytes_per_s=500_000, kv_life_s=3)
    sink = start(kv_bytes_per_token=1000, link_bytes_per_s=5e9, token_gap_s=0.001)

    def decode(pair):
        body = {"request_id": pair[0], "vm": "a", "incarnation": 1, "max_tokens": 1, "prompt_tokens": 100}
        body.update(kv_handle=json.loads(pair[1].body)["kv_handle"], source=f"http://{source.address}")
        return sink.call("/engine/decode", body)

    prefills = [(name, source.prefill(name)) for name in ("a", "b")]
    began = time.monotonic()
    with ThreadPoolExecutor(2) as executor:
        assert all(result.whole for result in executor.map(decode, prefills))
    assert time.monotonic() - began >= 0.38


def test_cancel_frees_at_every_stage_and_is_acknowledged_twice(start):
    client = start(token_gap_s=0.05)
    prefill = client.prefill("a")
    job = in_background(client.decode, "a", prefill, tokens=1000)
    wait_for(lambda: client.stages() == ["decode"])
    for _ in range(2):
        assert json.loads(client.call("/engine/cancel", {"request_id": "a"}).body)["state"] == "cancelled"
    assert not job.result(5).whole
    assert client.stages() == []


def test_cancel_that_overtakes_its_request_counts(start):
    client = start()
    client.call("/engine/cancel", {"request_id": "late"})
    assert client.prefill("late").status == 409
    assert client.prefill("other").status == 200


def test_cut_stream_resumes_at_its_offset_without_gap_or_repeat(start):
    client = start(token_gap_s=0.02)
    prefill = client.prefill("a", "[[m]]")
    client.fault(kind="cut")
    cut = client.decode("a", prefill, tokens=8)
    assert not cut.whole
    got = events(cut.body)
    rest = client.call(f"/engine/streams/a?offset={len(got)}")
    assert [event.get("token") for event in got + events(rest.body)] == [f"m.{n} " for n in range(8)] + [None]


def test_broken_stream_is_freed_after_its_resume_time(start):
    client = start(token_gap_s=0.02, resume_s=0.3)
    job = client.decode("a", client.prefill("a"), tokens=10_000, timeout_s=0.3)
    assert job.error == "timeout"
    wait_for(lambda: client.stages() == [])
    assert client.call("/engine/streams/a?offset=0").status == 404


def test_slots_bound_the_batch_and_queue_the_rest(start):
    client = start(slots=1, queue_s=0.3, token_gap_s=0.02, kv_life_s=5)
    prefills = {name: client.prefill(name) for name in "abc"}
    long = in_background(client.decode, "a", prefills["a"], tokens=100)
    wait_for(lambda: "decode" in client.stages())
    assert client.decode("b", prefills["b"]).status == 503
    assert long.result(10).whole
    assert client.decode("c", prefills["c"]).whole
    assert client.counters()["peak_decode"] == 1


def test_silence_of_existing_connections_spares_new_ones(start):
    client = start(token_gap_s=0.02)
    prefill = client.prefill("a", "[[m]]")
    pieces = []
    job = in_background(client.decode, "a", prefill, tokens=50, stall_s=0.5, on_data=pieces.append)
    wait_for(lambda: pieces)
    client.fault(kind="silence", connections="existing")
    assert job.result(5).error == "stall"
    offset = len(events(b"".join(pieces)))
    rest = in_background(client.call, f"/engine/streams/a?offset={offset}").result(5)
    assert rest.whole
    assert events(rest.body)[0]["token"] == f"m.{offset} "


def test_silence_of_all_connections_answers_nobody(start):
    client = start()
    client.fault(kind="silence", connections="all", for_s=30)
    assert client.call("/engine/requests", timeout_s=0.5).error == "timeout"
    client.fault(kind="clear")
    assert client.call("/engine/requests", fresh=True).status == 200


def test_stall_pauses_and_goes_on(start):
    client = start(token_gap_s=0.01)
    prefill = client.prefill("a")
    client.fault(kind="stall", for_s=0.6)
    began = time.monotonic()
    result = client.decode("a", prefill, tokens=5)
    assert result.whole
    assert time.monotonic() - began > 0.5


def test_crossed_answer_carries_another_id(start):
    client = start()
    client.fault(kind="cross", count=1)
    assert json.loads(client.prefill("a").body)["request_id"] != "a"
    assert json.loads(client.prefill("b").body)["request_id"] == "b"


def test_refuse_and_clear(start):
    client = start()
    client.fault(kind="refuse", for_s=60)
    assert client.prefill("a").status == 503
    client.fault(kind="clear")
    assert client.prefill("a").status == 200


@pytest.mark.parametrize("checks", [True, False])
def test_old_fencing_number_is_refused_only_by_engines_that_check(start, checks):
    client = start(checks_fencing=checks, load_s=0)
    order = {"id": "1", "action": "load_model", "argument": {"name": "n"}, "fencing": 7}
    assert client.call("/engine/orders", order).status == 200
    old = client.call("/engine/orders", {**order, "id": "2", "fencing": 6})
    assert old.status == (409 if checks else 200)


def test_cache_events_are_numbered_and_the_full_list_continues_them(start):
    """A receiver must be able to notice a lost message and to go on after the full list."""
    client = start()
    client.prefill("a", "q" * 512)
    full = json.loads(client.call("/engine/cache").body)
    assert full["full"] and len(full["added"]) == 2 and full["first_seq"] == 2


def test_counters_keep_requests_with_headers(start):
    client = start()
    client.prefill("a")
    seen = json.loads(client.call("/stand-in/counters?requests=1").body)["requests"]
    assert seen[0]["request_id"] == "a" and "Host" in seen[0]["headers"]
