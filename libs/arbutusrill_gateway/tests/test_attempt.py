"""Tests of single attempts: the connect timeout for an engine that does not accept connections."""

import socket

from arbutusrill_wire import messages

from arbutusrill_gateway import BackendRequest, CallerRequest
from arbutusrill_gateway._attempt import Outcome, send_attempt
from arbutusrill_gateway._backends import Candidate

KV_CACHE_LIFETIME_S = 0.5  # after which a prefill engine drops a KV cache that was not fetched


class NoHeaders:
    def request_headers(self, request, backend_request):
        return []


def test_connect_timeout_leaves_time_for_another_engine_to_fetch_the_kv_cache():
    # A VM that lost power does not answer connection attempts. The full backlog below has the same effect.
    with socket.create_server(("127.0.0.1", 0), backlog=0) as unresponsive:
        address = "{}:{}".format(*unresponsive.getsockname())
        backlog = [socket.socket() for _ in range(3)]
        for connection in backlog:
            connection.setblocking(False)
            connection.connect_ex(unresponsive.getsockname())
        record = messages.BackendRecord("d", 1, 1, "model", address, "z1", 8, False, "decode", [])
        request = CallerRequest("r", "POST", "h", "/x", [], b"")
        results = [
            send_attempt(NoHeaders(), request, BackendRequest(record, 2.0), Candidate(record, 0.0), timeout_s=2.0)
            for _ in range(3)
        ]
        for connection in backlog:
            connection.close()
    assert {result.outcome for result in results} == {Outcome.UNREACHED}
    assert min(result.took_s for result in results) < KV_CACHE_LIFETIME_S / 2
