"""Guards against requests that still wait for a backend server when a planned stop ends."""

import threading
import time

from arbutusrill_gateway import BackendPool

from .test_faulty_backends import WHOLE, Backend, SiteViewStub, relay, sends


def test_request_that_waits_for_quiet_servers_is_refused_when_the_vm_stops(monkeypatch):
    # It went on waiting: with a short grace period, its connection was closed without an answer.
    pools = []

    def permitted_in_s(pool, *_):
        pools.append(pool)
        return 3.0

    monkeypatch.setattr(BackendPool, "permitted_in_s", permitted_in_s)
    monkeypatch.setattr(SiteViewStub, "notify", lambda _: None, raising=False)
    timer = threading.Timer(0.2, lambda: pools[0].stop_waiting())
    timer.start()
    started = time.monotonic()
    caller, exchange, _ = relay(Backend(sends(WHOLE)), deadline_s=10.0)
    timer.join()
    assert time.monotonic() - started < 1.0
    assert caller.status == 503 and exchange.verdict.value == "not_run"
