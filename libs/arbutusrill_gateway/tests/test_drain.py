"""Tests of draining: requests that could not finish before the VM shuts down are refused."""

import pytest
from arbutusrill_base import SystemClock
from arbutusrill_site import Route, RouteKind, SiteView, Target

from arbutusrill_gateway import CallerRequest, Gateway, Responder


class Metrics:
    def record_request(self, *_):
        pass


class Configuration:
    workspaces_by_name = {}

    def route_of(self, host, path):
        return Route("r", host, path, RouteKind.STREAM, 14.0, 0.9, (Target("model", 1.0),))


@pytest.fixture()
def gateway():
    view = SiteView(SystemClock())
    view.document = Configuration()
    gateway = Gateway(view, None, None, None, None, Metrics(), 0.1, lambda: 1.0)
    gateway.relayed = []
    gateway._relay = lambda *arguments: gateway.relayed.append(arguments)
    return gateway


def refusal_status(gateway, deadline_s):
    """Returns the status of a refusal, or None if the request was relayed."""
    statuses, count = [], len(gateway.relayed)
    request = CallerRequest("1", "POST", "host", "/a/", [], b"", deadline_s=deadline_s)
    gateway.serve(request, Responder(lambda status, headers: statuses.append(status) or len, []))
    assert bool(statuses) != (len(gateway.relayed) > count)
    return statuses[0] if statuses else None


def test_request_that_may_not_finish_before_the_shutdown_is_refused(gateway):
    # A stream that arrived 3.3 s after SIGTERM was cut off when the process had to exit.
    gateway.drain(accept_all_s=0.0, shutdown_s=4.0)
    assert refusal_status(gateway, 14.0).startswith("503")
    assert refusal_status(gateway, 0.6) is None


def test_request_is_served_while_callers_may_not_know_that_the_vm_drains(gateway):
    gateway.drain(accept_all_s=3.0, shutdown_s=7.0)
    assert refusal_status(gateway, 14.0) is None
