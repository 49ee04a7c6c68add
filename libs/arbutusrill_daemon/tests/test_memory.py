"""Guards against answers without end that take an entry VM beyond its memory limit, with real processes."""

import json
import re
import socket
import threading
import time
from collections import Counter
from pathlib import Path

import pytest
from arbutusrill_bench import LocalSite
from arbutusrill_http import Transfer, fetch

pytestmark = pytest.mark.alone

MEMORY_MB = 150
CALLERS = 200
HELD_S = 6.0  # for which a faulty server keeps the rest of its answer back
SOUND_BYTES = 250_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: %b\r\nContent-Length: %d\r\n\r\n"
JSON, EVENTS = b"application/json", b"text/event-stream"
ANSWER_BY_FAULT = {
    "body": HEAD % (JSON, 1_048_000) + b"x" * 1_040_000,
    "buffered body": HEAD % (JSON, 250_000) + b"x" * 249_000,
    "once-only body": HEAD % (JSON, 1_048_000) + b"x" * 1_040_000,
    "head": b"HTTP/1.1 200 OK\r\n" + b"".join(b"X-Field-%d: %b\r\n" % (n, b"y" * 1000) for n in range(285)),
    "interim heads": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 9000,
    "event": HEAD % (EVENTS, 300_000) + b"data: " + b"x" * 250_000,
    "prefill": HEAD % (JSON, 1_048_000) + b'{"kv_handle": "' + b"x" * 1_040_000,
    "token": HEAD % (EVENTS, 1_048_000) + b'data: {"token": "' + b"x" * 1_040_000,
    "cancel": HEAD % (JSON, 1_048_000) + b"x" * 1_040_000,
}
ENGINE_FAULTS = ("prefill", "token", "cancel")


class FaultyServer:
    """Sends the bytes of a fault, then nothing until the caller closes or `HELD_S` have passed."""

    def __init__(self, fault):
        self.fault = fault
        self.request_count = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = "http://{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._run, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._listener.close()

    def _run(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.request_count += 1
            threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection):
        with connection, connection.makefile("rb") as stream:
            try:
                path = stream.readline().split()[1]
                length = 0
                while line := stream.readline().strip().lower():
                    length = int(line[15:]) if line.startswith(b"content-length:") else length
                body = json.loads(stream.read(length) or b"{}")
                connection.sendall(self._response(path, body))
                connection.settimeout(HELD_S)
                connection.recv(1)
            except OSError:
                pass

    def _response(self, path, body):
        faulty_path = {"prefill": b"/engine/prefill", "cancel": b"/engine/cancel"}.get(self.fault, b"/engine/decode")
        if self.fault == "cancel" and path != faulty_path:
            return HEAD.replace(b"200 OK", b"500 Failed") % (JSON, 0)  # after which the request is cancelled
        if path == b"/engine/prefill" and path != faulty_path:
            answer = json.dumps({"request_id": body["request_id"], "kv_handle": "k", "prompt_tokens": 1}).encode()
            return HEAD % (JSON, len(answer)) + answer
        if path.startswith(b"/engine/") and path != faulty_path:
            return HEAD % (JSON, 100)
        return ANSWER_BY_FAULT[self.fault]


class SoundServer(FaultyServer):
    """A plain service whose answers are `SOUND_BYTES` long."""

    def _response(self, path, body):
        return HEAD % (JSON, SOUND_BYTES) + b"s" * SOUND_BYTES


@pytest.fixture
def site(tmp_path):
    options = {"memory_mb": MEMORY_MB}
    with LocalSite(controls=1, entries=1, folder=tmp_path, entry_options=options) as running:
        call = running.operators.call
        call("PUT", "/workspaces/dispatch", {"rate": 1_000_000, "burst": 100_000_000})
        call("PUT", "/defaults/journal.answer_bytes", {"value": 1_048_576})
        call("PUT", "/defaults/limits.plain_call_tokens", {"value": 0})
        for service in ("seats", "sound"):
            routes = [{"method": "GET", "prefix": "/", "repeatable": True}]
            call("PUT", f"/services/{service}", {"routes": routes})
        issued = call("POST", "/keys", {"workspace": "dispatch"})
        call("GET", f"/in-force/{issued['revision']}")
        running.key = issued["key"]
        running.entry = running.members_by_name["entry1"]
        yield running
        running.kill_all()


def announce(site, name, server, role, pool, number):
    body = {"id": name, "incarnation": 1, "address": server.address, "role": role, "pools": [pool], "slots": 400}
    body.update(data_centre="dc1", memory_bytes=10**12, report_seq=number)
    body.update(link_bytes_per_s=1e9, prefill_tokens_per_s=1e6, token_gap_s=0.01, kv_bytes_per_token=1)
    headers = ["Content-Type: application/json", f"Authorization: Bearer {site.announce_token}"]
    url = f"http://{site.entry.address}/backends/announce"
    return fetch(Transfer("POST", url, headers, json.dumps(body).encode(), timeout_s=3)).status


def call(site, method, path, body=b"", *headers):
    """Returns the status, the size of the body and whether it is complete."""
    sizes = []
    fields = [f"Authorization: Bearer {site.key}", "X-Deadline-Ms: 4000", *headers]
    url = f"http://{site.entry.address}{path}"
    transfer = Transfer(method, url, fields, body, 40.0, on_data=lambda data: sizes.append(len(data)))
    result = fetch(transfer)
    return result.status, sum(sizes), result.is_complete


def call_faulty(site, fault, number):
    if fault in ENGINE_FAULTS:
        body = json.dumps({"model": "m", "prompt": "x", "stream": True, "max_tokens": 5}).encode()
        return call(site, "POST", "/v1/completions", body, "Content-Type: application/json")
    if fault == "once-only body":
        return call(site, "POST", "/services/seats/x", b"{}", f"Idempotency-Key: k{number}")
    return call(site, "GET", "/services/seats/x")


def peak_mb(site):
    status = Path(f"/proc/{site.entry.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024


def keep_announcing(site, servers, stopping):
    number = 1
    while not stopping.wait(0.4):
        number += 1
        for server in servers:
            announce(site, *server, number)


@pytest.mark.parametrize("fault", list(ANSWER_BY_FAULT))
def test_answers_without_end_keep_the_process_below_its_limit(site, fault):
    # 200 answers of a faulty server at once, each within its own limit: nothing bounded their sum.
    results, stopping = [], threading.Event()
    with FaultyServer(fault) as faulty, SoundServer("") as sound:
        is_engine = fault in ENGINE_FAULTS
        pool = "m" if is_engine else "seats"
        servers = [("bad", faulty, "both" if is_engine else "plain", pool), ("good", sound, "plain", "sound")]
        assert [announce(site, *server, 1) for server in servers] == [200, 200]
        announcer = threading.Thread(target=keep_announcing, args=(site, servers, stopping))
        announcer.start()
        site.wait_for_pool(pool)
        site.wait_for_pool("sound")
        site.wait_until(lambda: call(site, "GET", "/services/sound/x")[0] == 200, "the sound server is used")
        before = peak_mb(site)
        threads = [
            threading.Thread(target=lambda n=n: results.append(call_faulty(site, fault, n))) for n in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        beside = []
        while any(thread.is_alive() for thread in threads) or len(beside) < 20:
            beside.append(call(site, "GET", "/services/sound/x"))
            time.sleep(0.1)
        stopping.set()
        announcer.join()
    peak = peak_mb(site)
    counts = Counter((status, is_complete) for status, _, is_complete in results)
    print(f"{fault}: {before:.0f} MB, peak {peak:.0f} MB, {faulty.request_count} sent, {dict(counts)}, {len(beside)}")
    assert peak < MEMORY_MB
    assert faulty.request_count >= CALLERS
    assert len(results) == CALLERS and not [result for result in results if result[0] == 0]
    assert not [result for result in results if result[0] == 200 and result[2]], "no answer was whole"
    assert beside == [(200, SOUND_BYTES, True)] * len(beside)
