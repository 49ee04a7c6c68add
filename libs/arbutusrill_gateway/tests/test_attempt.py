"""Guards against sends that wait for an engine that is not there."""

import socket

from arbutusrill_wire import messages

from arbutusrill_gateway import CallerRequest, Send
from arbutusrill_gateway._attempt import Outcome, attempt
from arbutusrill_gateway._backends import Candidate

KV_CACHE_S = 0.5  # for which a prefill engine keeps a prompt that nobody takes


class NoHeaders:
    def headers(self, request, send):
        return []


def test_engine_that_is_silent_is_given_up_well_before_the_prompt_is_lost():
    # A VM without power answers no connection; another engine has to take the KV cache in time.
    with socket.create_server(("127.0.0.1", 0), backlog=0) as silent:
        address = "{}:{}".format(*silent.getsockname())
        waiting = [socket.socket() for _ in range(3)]
        for one in waiting:
            one.setblocking(False)
            one.connect_ex(silent.getsockname())
        record = messages.BackendRecord("d", 1, 1, "model", address, "z1", 8, False, "decode", [])
        request = CallerRequest("r", "POST", "h", "/x", [], b"")
        tries = [
            attempt(NoHeaders(), request, Send(record, 2.0), Candidate(record, 0.0), timeout_s=2.0) for _ in range(3)
        ]
        for one in waiting:
            one.close()
    assert {made.outcome for made in tries} == {Outcome.UNREACHED}
    assert min(made.took_s for made in tries) < KV_CACHE_S / 2
