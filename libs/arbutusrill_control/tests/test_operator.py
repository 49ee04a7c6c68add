"""Guards against retried changes that are applied twice, ignored revision conditions and stale reads."""

import json
import socket

import pytest
from arbutusrill_base import hash_key
from arbutusrill_wire import messages

from .support import TOKENS, ControlHarness


@pytest.fixture
def control():
    harness = ControlHarness()
    assert harness.request("PUT", "workspaces/w", {"rate": 100, "burst": 1000}).status_code == 200
    return harness


def test_resent_key_request_returns_the_stored_key(control):
    control.client.responses_to_lose = 1
    assert control.request("POST", "keys", {"workspace": "w"}, request_id="r1").status_code == 503
    responses = [control.request("POST", "keys", {"workspace": "w"}, request_id="r1").json for _ in range(2)]
    assert responses[0] == responses[1]
    assert control.config.workspace_of_key(hash_key(responses[0]["key"])) == "w"
    assert len(control.config.keys_by_hash) == 1


def test_resend_with_another_token_does_not_return_a_wrong_key(control):
    control.request("POST", "keys", {"workspace": "w"}, request_id="r1")
    control.app._token_hash_by_operator["ops"] = hash_key("token-3")  # the operator's token was replaced
    response = control.request("POST", "keys", {"workspace": "w"}, operator="token-3", request_id="r1")
    assert response.status_code == 409 and response.json["error"]["code"] == "key_shown"


def test_two_requests_issue_two_keys(control):
    first, second = (control.request("POST", "keys", {"workspace": "w"}).json for _ in range(2))
    assert first["key"] != second["key"] and first["id"] != second["id"]


@pytest.mark.parametrize("text", ["abc", "-1", "1.5", "", "9" * 30])
def test_invalid_if_revision_is_refused_and_not_ignored(control, text):
    response = control.request("PUT", "defaults/limits.rate", {"value": 5}, if_revision=text)
    assert response.status_code == 400 and control.config.value("limits.rate") == 2000.0


def test_second_change_at_the_same_revision_conflicts(control):
    revision = control.config.revision
    statuses = [
        control.request("PUT", "defaults/limits.rate", {"value": value}, if_revision=revision).status_code
        for value in (5, 6)
    ]
    assert statuses == [200, 409] and control.config.value("limits.rate") == 5.0


@pytest.mark.parametrize(
    "body", [{"rate": 10**400, "burst": 1}, {"rate": "5"}, {"rate": True}, {"rate": -5, "burst": 5}, [], "x"]
)
def test_malformed_workspace_is_refused(control, body):
    assert control.request("PUT", "workspaces/v", body).status_code == 400


def test_reads_without_leadership_or_quorum_are_refused(control):
    paths = ("defaults", "exceptions", "workspaces", "keys", "services", "backends", "orders", "burn", "status")
    control.log.is_leading = False
    assert {control.request("GET", path).status_code for path in paths} == {421}
    control.log.is_leading, control.log.has_quorum = True, False
    assert {control.request("GET", path).status_code for path in paths} == {503}
    assert control.request("GET", "replica").status_code == 200


def test_every_route_needs_a_token(control):
    for rule in control.app._routes.iter_rules():
        if rule.rule.startswith("/v1/operator/"):
            path = rule.rule.replace("<name>", "n").replace("<int:revision>", "1")
            method = next(iter(rule.methods - {"HEAD"}))
            assert control.request(method, path, operator="wrong").status_code == 401, path


def test_resent_order_is_one_order(control):
    body = {"action": "load_model", "argument": {"model": "m"}, "pool": "p"}
    responses = [control.request("POST", "backends/e1/orders", body, request_id="r1").json for _ in range(3)]
    assert responses[0] == responses[1] == responses[2]
    assert list(control.config.orders_by_id) == [responses[0]["id"]]


def test_parallel_loads_are_limited_and_drains_are_not(control):
    control.request("PUT", "defaults/orders.parallel", {"value": 2})
    for number in range(5):
        control.request("POST", f"backends/e{number}/orders", {"action": "load_model", "argument": {}, "pool": "p"})
    control.request("POST", "backends/e9/drain", {"pool": "p"})
    control.service.tick()
    states = [order.state for order in control.config.orders_by_id.values() if order.action == "load_model"]
    assert sorted(states) == ["released"] * 2 + ["requested"] * 3
    released = [order for order in control.config.orders_by_id.values() if order.state == "released"]
    assert {order.action for order in released} == {"load_model", "drain"}
    control.service.tick()
    control.clock.advance(1000)
    control.service.tick()
    control.service.tick()
    states = [order.state for order in control.config.orders_by_id.values() if order.action == "load_model"]
    assert states.count("failed") == 2 and states.count("released") == 2


def test_running_order_cannot_be_withdrawn(control):
    order_id = control.request("POST", "backends/e/orders", {"action": "load_model", "pool": "p"}).json["id"]
    other = control.request("POST", "backends/f/orders", {"action": "load_model", "pool": "p"}).json["id"]
    assert control.request("DELETE", f"orders/{other}").status_code == 200
    order = control.config.orders_by_id[order_id]
    for state in ("released", "running"):
        control.service._try_propose(messages.PutOrder(**{**vars(order), "state": state}))
    assert control.request("DELETE", f"orders/{order_id}").status_code == 409


def test_order_for_an_unknown_server_names_the_missing_pool(control):
    response = control.request("POST", "backends/nobody/orders", {"action": "load_model"})
    assert response.status_code == 404 and "pool" in response.json["error"]["message"]


def test_burn_rows_are_summed_over_vms_and_replaced_by_later_ones(control):
    for vm, good in (("a", 5), ("b", 7), ("a", 9)):
        control.service.report_burn(vm, 1, [messages.BurnRow("w", "chat", "first_token", 3600, good, 1)])
    rows = control.request("GET", "burn").json["burn"]
    assert [(row["good"], row["bad"], row["bad_fraction"]) for row in rows] == [(16, 2, round(2 / 18, 6))]
    control.clock.advance(500)
    assert control.request("GET", "burn").json["burn"] == []


def test_in_force_waits_for_vms_that_have_not_polled_the_new_leader(control):
    control.follow("a")
    control.log.term = 2
    control.service.tick()
    revision = control.config.revision
    response = control.request("GET", f"in-force/{revision}", wait_s="0").json
    assert response == {"revision": revision, "in_force": False, "behind": ["a"]}
    control.follow("a")
    assert control.request("GET", f"in-force/{revision}", wait_s="0").json["in_force"]


def test_health_and_metrics_need_no_token_and_no_quorum(control):
    control.log.has_quorum = False
    assert control.http.get("/healthz").status_code == 200
    assert control.http.get("/readyz").status_code == 200
    text = control.http.get("/metrics").text
    assert "arbutusrill_control_leader 1.0" in text
    assert 'arbutusrill_control_vms{state="live"} 0.0' in text


@pytest.mark.parametrize(
    "body",
    [
        b'{"rate": NaN}',
        b'{"rate": 1e400}',
        b'{"x": "\\ud800"}',
        b'{"x": ' + b"[" * 900 + b"]" * 900 + b"}",
        b"[" * 100_000,
    ],
)
def test_odd_body_is_refused_before_it_is_proposed(control, body):
    before = control.config.revision
    headers = {"Authorization": f"Bearer {TOKENS['ops']}"}
    response = control.http.open("/v1/operator/workspaces/v", method="PUT", data=body, headers=headers)
    assert (response.status_code, control.config.revision) == (400, before)


def test_deep_argument_of_an_order_is_refused(control):
    # Replicas and entry VMs decode the argument; how deep it may be depended on the stack of the decoding thread, so
    # that some would have accepted the change and others not.
    argument = {"a": json.loads("[" * 900 + "]" * 900)}
    response = control.request(
        "POST", "backends/e1/orders", {"action": "load_model", "pool": "p", "argument": argument}
    )
    assert response.status_code == 400 and not control.config.orders_by_id


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [("PUT", "workspaces/w", {"rate": 1, "burst": 1}), ("POST", "replicas/replace", {"old": "a", "new": "b"})],
)
def test_change_whose_caller_has_left_is_not_carried_out(control, method, path, body):
    # A VM that woke up carried out what its caller had given up, over a later change.
    connection, caller = socket.socketpair()
    caller.close()
    before = control.log.proposal_count
    with connection:
        response = control.http.open(
            f"/v1/operator/{path}",
            method=method,
            json=body,
            headers={"Authorization": f"Bearer {TOKENS['ops']}"},
            environ_overrides={"werkzeug.socket": connection},
        )
    assert response.status_code == 503 and response.json["error"]["verdict"] == "not_run"
    assert control.log.proposal_count == before
