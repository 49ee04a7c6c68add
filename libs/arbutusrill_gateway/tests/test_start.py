"""Guards against refusing requests right after a start, before the configuration and backend servers are known."""

import threading
import time
from types import SimpleNamespace

from arbutusrill_base import ManualClock, SystemClock
from arbutusrill_site import Service, SiteView
from arbutusrill_wire import messages

from arbutusrill_gateway import BackendPool, CallerRequest, Gateway, Responder

SERVICE = Service("app")
RECORD = messages.BackendRecord("b-1", 1, 1, "app", "10.0.0.1:1", "z1", 8, False, "", [])


def change_later(view, change):
    def run():
        time.sleep(0.05)
        change()
        view.notify()

    threading.Thread(target=run).start()


def make_gateway(view, pool=None, placements=None):
    return Gateway(view, pool, placements, None, None, Metrics(), 0.1, lambda: 1.0)


def response_status(view, gateway=None, **fields):
    statuses = []
    gateway = gateway or make_gateway(view)
    request = CallerRequest("1", "GET", "host", "/none/", [], b"", **fields)
    gateway.serve(request, Responder(lambda status, headers: statuses.append(status) or len, []))
    return statuses[0]


class Metrics:
    def record_request(self, *_):
        pass


class Configuration:
    def route_of(self, host, path):
        return None


def test_request_waits_for_the_first_configuration():
    view = SiteView(SystemClock())
    change_later(view, lambda: setattr(view, "document", Configuration()))
    assert response_status(view, deadline_s=5.0).startswith("404")


def test_request_without_a_configuration_is_refused_before_its_deadline():
    started = time.monotonic()
    assert response_status(SiteView(SystemClock()), deadline_s=0.3).startswith("503")
    assert time.monotonic() - started < 0.3


def test_request_that_waits_for_the_first_configuration_is_refused_when_the_vm_stops():
    # It waited for up to 1 s: with a short grace period, its connection was closed without an answer.
    view = SiteView(SystemClock())
    placements = SimpleNamespace(stop_waiting=lambda: None)
    gateway = make_gateway(view, BackendPool(view, "z1", SystemClock()), placements)
    change_later(view, gateway.stop_waiting)
    started = time.monotonic()
    assert response_status(view, gateway, deadline_s=20.0).startswith("503")
    assert response_status(view, gateway, deadline_s=20.0).startswith("503")  # one that comes after that
    assert time.monotonic() - started < 0.7


def test_request_waits_for_a_backend_server_while_the_list_is_incomplete():
    view = SiteView(ManualClock())
    pool = BackendPool(view, "z1", ManualClock())
    change_later(view, lambda: setattr(view, "backends_by_id", {"b-1": RECORD}))
    assert pool.wait_for_backends(SERVICE, 5.0)


def test_request_does_not_wait_if_the_list_of_backend_servers_is_complete():
    view = SiteView(ManualClock())
    view.backends_complete = True
    started = time.monotonic()
    assert not BackendPool(view, "z1", ManualClock()).wait_for_backends(SERVICE, 5.0)
    assert time.monotonic() - started < 1.0
