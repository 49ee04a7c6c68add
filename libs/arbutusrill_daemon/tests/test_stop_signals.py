"""Guards against daemons and stand-ins that ignore a stop signal."""

import signal
import socket
import time

import pytest
from arbutusrill_bench import LocalSite

SERIES = {
    "once": [signal.SIGTERM],
    "interrupt": [signal.SIGINT],
    "repeated": [signal.SIGTERM] * 3,
    "after a reload": [signal.SIGHUP, signal.SIGTERM],
    "stopped": [signal.SIGSTOP, 0.5, signal.SIGTERM, 0.5, signal.SIGCONT],
    "stopped, interrupted": [signal.SIGSTOP, 0.5, signal.SIGINT, signal.SIGCONT],
}
STOP_S = 20.0


@pytest.fixture
def site():
    with LocalSite(controls=1, entries=1) as running:
        running.operators.call("PUT", "/defaults/entries.max_age_s", {"value": 1})
        running.add_engine("engine1", "--role", "both", "--models", "m")
        running.add_service("seats1", "--service", "seats")
        running.wait_for_pool("seats")
        running.wait_for_pool("m")
        yield running
        running.kill_all()


def processes_after(site, series):
    """Sends each member the signals of `series`; returns the processes by name."""
    for step in series:
        if isinstance(step, float):
            time.sleep(step)
            continue
        for name in site.members_by_name:
            site.signal(name, step)
    return {name: member.process for name, member in site.members_by_name.items()}


@pytest.mark.parametrize("series", SERIES.values(), ids=SERIES)
def test_stop_signal_is_acted_on(site, series):
    # Another thread took the signal, and the main thread waited without running the handler.
    deadline = time.monotonic() + STOP_S
    for name, process in processes_after(site, series).items():
        assert process.wait(max(0.1, deadline - time.monotonic())) == 0, name


def test_reload_signal_does_not_end_a_member(site):
    processes = processes_after(site, [signal.SIGHUP, 0.3, signal.SIGHUP, 0.7])
    assert all(process.poll() is None for process in processes.values())


def test_daemon_does_not_wait_for_half_a_request(site):
    with socket.create_connection(site.members_by_name["control1"].address.split(":")) as client:
        client.sendall(b"PUT /services/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
        time.sleep(0.2)
        site.signal("control1", signal.SIGTERM)
        assert site.members_by_name["control1"].process.wait(STOP_S) == 0
