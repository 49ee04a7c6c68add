"""Planned stop of an entry VM within the time that the platform grants."""

from __future__ import annotations

import time

from arbutusrill_base import BootClock, EventLog
from arbutusrill_http import HttpServer
from arbutusrill_site import SiteFollower

from ._gateway import Gateway

__all__ = ["stop_in_time"]

# After the signal; later requests are served only if their time limit ends before the shutdown.
_ACCEPT_ALL_S, _ACCEPT_ALL_FRACTION = 2.8, 0.35  # at most, and of the time until the process is killed
_DIRECTORY_TTL_FACTOR = 3  # some callers cache directory responses for three times their TTL
_DIRECTORY_MARGIN_S = 0.5
_LISTEN_FRACTION = 0.45  # of the time until the process is killed, at most
_EXIT_RESERVE_S, _EXIT_RESERVE_FRACTION = 0.8, 0.1  # time to exit: at most, and of the time until the process is killed
# Before the connections are closed: requests without a backend server are refused, then requests without a response.
_REFUSE_WAITING_S, _REFUSE_WAITING_FRACTION = 0.45, 0.15  # at most, and of the time until the process is killed
_REFUSE_S, _REFUSE_FRACTION = 0.3, 0.05
_events = EventLog("process")


def stop_in_time(
    gateway: Gateway,
    follower: SiteFollower,
    server: HttpServer,
    grace_s: float,
    left_s: float,
    directory_ttl_s: float,
) -> None:
    """Takes a VM out of the directory, serves what it has accepted, and returns before `left_s` seconds are over.

    `left_s` is what is left of `grace_s`, the time between the signal and the end of the process; it is less if the VM
    was suspended meanwhile. Connections are accepted until no caller should know this VM any more; then open requests
    are waited for.
    """
    clock = BootClock()
    started = clock.monotonic()
    left_s = max(0.0, left_s)
    shutdown_s = max(0.0, left_s - min(_EXIT_RESERVE_S, _EXIT_RESERVE_FRACTION * grace_s))
    gateway.drain(min(_ACCEPT_ALL_S, _ACCEPT_ALL_FRACTION * left_s), shutdown_s)
    _events.emit("draining", busy=server.active_connections(), left_s=round(left_s, 2))
    follower.drain()
    listen_s = min(_DIRECTORY_TTL_FACTOR * directory_ttl_s + _DIRECTORY_MARGIN_S, _LISTEN_FRACTION * left_s)
    time.sleep(max(0.0, started + listen_s - clock.monotonic()))
    server.stop_listening()
    shutdown_at = started + shutdown_s
    refuse_waiting_s = min(_REFUSE_WAITING_S, _REFUSE_WAITING_FRACTION * left_s)
    server.wait_until_closed(shutdown_at - refuse_waiting_s - clock.monotonic())
    gateway.stop_waiting()
    server.wait_until_closed(shutdown_at - clock.monotonic())
    cancelled_count = server.cancel_requests()
    server.wait_until_closed(min(_REFUSE_S, _REFUSE_FRACTION * left_s))
    aborted_count = server.abort_connections()
    took_s = round(clock.monotonic() - started, 2)
    _events.emit("drained", cancelled=cancelled_count, cut=aborted_count, took_s=took_s)
