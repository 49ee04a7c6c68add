"""Guards against retries that apply a change twice and against wrong exit codes."""

import json

import pytest
from arbutusrill_http import HttpServer, json_response
from werkzeug.wrappers import Request

from arbutusrill_cli import OperatorClient, OperatorError, _client, _main


class FakeControlVm:
    def __init__(self, statuses):
        self.statuses = list(statuses)
        self.request_ids = []

    def __call__(self, environ, start_response):
        self.request_ids.append(Request(environ).headers.get("X-Request-Id"))
        status = self.statuses.pop(0) if self.statuses else 200
        body = {"revision": 7} if status == 200 else {"error": {"message": f"refused with {status}"}}
        return json_response(body, status)(environ, start_response)


@pytest.fixture
def send(monkeypatch):
    monkeypatch.setattr(_client, "_RETRY_DURATION_S", 0.5)

    def send_request(vms, method="PUT"):
        with HttpServer("127.0.0.1", 0, vms[0]) as first, HttpServer("127.0.0.1", 0, vms[1]) as second:
            client = OperatorClient([first.address, second.address], "token")
            return client.call(method, "/defaults/limits.rate", {"value": 5})

    return send_request


def test_all_attempts_of_a_change_have_the_same_request_id(send):
    vms = [FakeControlVm([503, 421]), FakeControlVm([503])]
    assert send(vms) == {"revision": 7}
    ids = vms[0].request_ids + vms[1].request_ids
    assert len(ids) == 4 and len(set(ids)) == 1 and ids[0]


def test_refusal_is_not_retried_and_its_message_is_reported(send):
    vms = [FakeControlVm([409]), FakeControlVm([])]
    with pytest.raises(OperatorError, match="refused with 409") as error_info:
        send(vms)
    assert error_info.value.exit_code == 3 and vms[1].request_ids == []


def test_unanswered_change_names_the_request_id_for_the_retry(send):
    vms = [FakeControlVm([503] * 99), FakeControlVm([421] * 99)]
    with pytest.raises(OperatorError) as error_info:
        send(vms)
    assert error_info.value.exit_code == 4 and vms[0].request_ids[0] in str(error_info.value)


@pytest.mark.parametrize("in_force", [True, False])
def test_expired_wait_has_its_own_exit_code_and_still_prints_the_key(monkeypatch, capsys, in_force):
    class FakeClient:
        def call(self, method, path, body=None, query=None, request_id=None):
            if path.startswith("/in-force"):
                return {"in_force": in_force, "behind": [] if in_force else ["vm3"]}
            return {"revision": 7, "key": "ak-secret"}

    monkeypatch.setattr(_main, "_make_client", FakeClient)
    monkeypatch.setattr("sys.argv", ["arbutusrill", "keys", "issue", "w", "--wait", "--json"])
    with pytest.raises(SystemExit) as error_info:
        _main.main()
    assert (error_info.value.code or 0) == (0 if in_force else 5)
    assert json.loads(capsys.readouterr().out)["key"] == "ak-secret"
