"""Guards against invalid requests that are served, or refused without naming the invalid field."""

import json

import pytest

from .rig import KEY, entry_rig

CHAT = "/v1/chat/completions"
GOOD = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}


@pytest.fixture(scope="module")
def rig():
    with entry_rig() as rig:
        yield rig


def assert_refused(answer, status, param, code=None):
    error = json.loads(answer[2])["error"]
    assert (answer[0], error["param"], error["verdict"]) == (status, param, "not_run")
    assert code is None or error["code"] == code


@pytest.mark.parametrize(
    "change, param",
    [
        ({"model": None}, "model"),
        ({"model": 3}, "model"),
        ({"stream": "yes"}, "stream"),
        ({"max_tokens": -1}, "max_tokens"),
        ({"max_tokens": 0}, "max_tokens"),
        ({"max_tokens": 1.5}, "max_tokens"),
        ({"max_tokens": True}, "max_tokens"),
        ({"max_completion_tokens": "9"}, "max_completion_tokens"),
        ({"temperature": -1}, "temperature"),
        ({"top_p": "x"}, "top_p"),
        ({"n": 2}, "n"),
        ({"stream_options": []}, "stream_options"),
        ({"messages": None}, "messages"),
        ({"messages": []}, "messages"),
        ({"messages": "hi"}, "messages"),
        ({"messages": [3]}, "messages[0]"),
        ({"messages": [{"role": "user", "content": 3}]}, "messages[0].content"),
        ({"messages": [{"role": "user"}]}, "messages[0].content"),
    ],
)
def test_wrong_field_is_named(rig, change, param):
    assert_refused(rig.call("POST", CHAT, {**GOOD, **change}), 400, param)


@pytest.mark.parametrize(
    "body, code",
    [
        (b"{", "invalid_json"),
        (b"", "invalid_json"),
        (b"[]", "invalid_json"),
        (b'{"model": NaN}', "invalid_json"),
        (b"[" * 100_000, "invalid_json"),
        (b'{"model": "\xff"}', "invalid_utf8"),
    ],
)
def test_broken_json_is_refused(rig, body, code):
    assert_refused(rig.call("POST", CHAT, body), 400, None, code)


@pytest.mark.parametrize("model", ["unknown", "seats", "\ud800"])
def test_unknown_model_is_refused(rig, model):
    assert_refused(rig.call("POST", CHAT, {**GOOD, "model": model}), 404, "model", "model_not_found")


@pytest.mark.parametrize(
    "header", ["X-Deadline-Ms: -1", "X-Deadline-Ms: 1e3", "X-Deadline-Ms: 0", "X-Latency-Class: fast"]
)
def test_wrong_header_is_named(rig, header):
    assert_refused(rig.call("POST", CHAT, GOOD, [header]), 400, header.partition(":")[0])


@pytest.mark.parametrize("key, code", [("", "missing_api_key"), ("ak-wrong", "invalid_api_key"), ("\xff", None)])
def test_wrong_key_is_refused(rig, key, code):
    assert_refused(rig.call("POST", CHAT, GOOD, key=key), 401, None, code)


def test_key_in_a_prompt_is_refused(rig):
    body = json.dumps({**GOOD, "messages": [{"role": "user", "content": KEY}]}).replace("ak-", "a\\u006b-").encode()
    assert_refused(rig.call("POST", CHAT, body), 400, "body", "key_in_body")


def test_stale_vm_serves_no_key(rig):
    rig.follower.state_is_fresh = False
    try:
        assert_refused(rig.call("POST", CHAT, GOOD), 503, None, "stale")
        assert rig.call("GET", "/readyz")[0] == 503
        assert rig.call("GET", "/healthz")[0] == 200
    finally:
        rig.follower.state_is_fresh = True


@pytest.mark.parametrize(
    "method, path, status", [("GET", "/nothing", 404), ("GET", CHAT, 405), ("PUT", "/v1/models", 405)]
)
def test_unknown_path_or_method_is_a_json_error(rig, method, path, status):
    answer = rig.call(method, path)
    assert (answer[0], json.loads(answer[2])["error"]["verdict"]) == (status, "not_run")


@pytest.mark.parametrize(
    "change, param",
    [({"role": "x"}, "role"), ({"slots": -1}, "slots"), ({"slots": "9"}, "slots"), ({"pools": "m"}, "pools")]
    + [
        ({"pools": [1]}, "pools"),
        ({"id": ""}, "id"),
        ({"incarnation": 2**70}, "incarnation"),
        ({"state": "x"}, "state"),
        ({"address": "http://127.0.0.1:65536"}, "address"),
        ({"address": "http://127.0.0.1:0"}, "address"),
        ({"address": "http://127.0.0.1:\u0665"}, "address"),
        ({"address": "http://127.0.0.1:" + "9" * 5000}, "address"),
        ({"address": "http://127.0.0.1:1/x?y="}, "address"),
        ({"address": "http://name:1"}, "address"),
        ({"slots": 2**31}, "slots"),
        ({"report_seq": 2**63}, "report_seq"),
        ({"prefill_tokens_per_s": 1e-320}, "prefill_tokens_per_s"),
        ({"token_gap_s": 1e300}, "token_gap_s"),
        ({"pools": ["m"] * 1001}, "pools"),
    ],
)
def test_wrong_announcement_names_its_field(rig, change, param):
    body = {"id": "e1", "address": "http://127.0.0.1:1", "role": "both", "pools": ["m"], "slots": 2, "unknown": 1}
    headers = ["X-Test: 1"]
    assert_refused(rig.call("POST", "/backends/announce", {**body, **change}, headers, key="announce"), 400, param)
    assert rig.call("POST", "/backends/announce", body, headers, key="wrong")[0] == 401


@pytest.mark.parametrize("path", ["/backends/announce", "/backends/cache-events"])
@pytest.mark.parametrize(
    "body",
    [b"[" * 100_000, b'{"id": "\\ud800"}', b'{"slots": 1e400}', b'{"slots": NaN}', b'{"x": ' + b"9" * 5000 + b"}"]
    + [b'{"x": ' + b"[" * 900 + b"]" * 900 + b"}", b'{"id": "\xff"}'],
)
def test_odd_body_of_another_writer_is_refused(rig, path, body):
    # A lone surrogate or a nested value failed only while the message to the pool's owner was encoded.
    calls = len(rig.pools.calls)
    answer = rig.call("POST", path, body, key="announce")
    assert (answer[0], json.loads(answer[2])["error"]["code"]) == (400, "invalid_json")
    assert len(rig.pools.calls) == calls
