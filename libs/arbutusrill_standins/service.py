"""Stand-in for a plain service with seat bookings and stop lookups.

Run as ``python -m arbutusrill_standins.service``. ``POST /stand-in/fault`` injects faults,
``GET /stand-in/counters`` returns the counters, and ``GET /stand-in/seen`` the most recent requests.
"""

from __future__ import annotations

import hashlib
import json
import os
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Annotated, Any

import typer
from arbutusrill_base import ProcessSignals, new_incarnation, split_address
from arbutusrill_http import HttpLimits, HttpServer, json_response
from werkzeug.wrappers import Request

from ._announcer import STOP_LIMIT_S, Announcer
from ._counters import Counters
from ._faults import abort_connection

__all__ = ["PlainService"]

_HTTP_LIMITS = HttpLimits(connections=512, idle_s=600.0, finish_s=0.2)


class PlainService:
    """WSGI application: a POST is a booking, any other method a lookup; recent requests are recorded.

    Fault command ``{"kind": ..., "count": ..., "delay_s": ..., "after_booking": ...}``: ``slow`` delays the
    responses to the next `count` requests by `delay_s`, ``cut`` closes their connections in the middle of the
    response, ``kill`` exits the process at the next request, ``clear`` removes the fault. With `after_booking`
    false, ``kill`` and ``cut`` take effect before the booking. Bookings are counted by ``Idempotency-Key``,
    without one by the hash of the body.
    """

    def __init__(self, name: str, service_time_s: float = 0.0):
        self.counters = Counters("lookups", "bookings")
        self._name = name
        self._service_time_s = service_time_s
        self._lock = threading.Lock()
        self._count_by_booking: Counter[str] = Counter()
        self._fault: dict[str, Any] = {"kind": "clear"}
        self._remaining_faults = 0

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Handles one HTTP request."""
        request = Request(environ)
        if request.path.startswith("/stand-in/"):
            return self._serve_control(request)(environ, start_response)
        query = request.query_string.decode()
        self.counters.record_request(
            request.path, dict(request.headers), request.headers.get("X-Request-Id", ""), query
        )
        fault = self._consume_fault()
        if fault.get("kind") == "slow":
            time.sleep(float(fault.get("delay_s", 1.0)))
        if not fault.get("after_booking", True):
            _crash_or_cut(fault, environ["werkzeug.socket"])
        time.sleep(self._service_time_s)
        if request.method == "POST":
            response = self._book(request)
        else:
            self.counters.add("lookups")
            response = json_response({"server": self._name, "path": request.path, "departs": "07:40"})
        if fault.get("kind") == "cut":
            response.headers["Content-Length"] = str(response.content_length or 0)
            start_response(response.status, list(response.headers.items()))(response.get_data()[:5])
        _crash_or_cut(fault, environ["werkzeug.socket"])
        return response(environ, start_response)

    def _serve_control(self, request: Request) -> Any:
        if request.path == "/stand-in/seen":
            return json_response(self.counters.recent_requests())
        if request.path == "/stand-in/fault":
            with self._lock:
                self._fault = json.loads(request.get_data())
                self._remaining_faults = int(self._fault.get("count", 1))
            return json_response({"accepted": True})
        with self._lock:
            count_by_booking = dict(self._count_by_booking)
        values = {**self.counters.values(), "count_by_booking": count_by_booking}
        return json_response({**values, "repeated": sum(count > 1 for count in count_by_booking.values())})

    def _consume_fault(self) -> dict[str, Any]:
        with self._lock:
            if self._fault.get("kind") == "clear" or self._remaining_faults <= 0:
                return {}
            self._remaining_faults -= 1
            return dict(self._fault)

    def _book(self, request: Request) -> Any:
        data = request.get_data()
        try:
            booking_request = json.loads(data or b"{}")
        except ValueError:
            return json_response({"error": "not JSON"}, 400)
        booking_key = request.headers.get("Idempotency-Key") or hashlib.sha256(data).hexdigest()
        self.counters.add("bookings")
        with self._lock:
            self._count_by_booking[booking_key] += 1
            booking_number = self._count_by_booking.total()
        return json_response({"server": self._name, "booking": booking_number, "wanted": booking_request}, 201)


def _crash_or_cut(fault: dict[str, Any], connection: socket.socket) -> None:
    if fault.get("kind") == "kill":
        os._exit(70)
    if fault.get("kind") == "cut":
        abort_connection(connection)


def main(
    listen: Annotated[str, typer.Option(help="IP:port to serve on")],
    entries: Annotated[str, typer.Option(help="entry VMs to announce to, separated by commas")],
    announce_token: Annotated[str, typer.Option(help="token that the entry VMs expect")],
    server_id: Annotated[str, typer.Option("--id", help="name of this backend server")],
    service: Annotated[str, typer.Option(help="name of the service")] = "seats",
    data_centre: Annotated[str, typer.Option(help="data centre of this server")] = "dc1",
    slots: Annotated[int, typer.Option(help="announced number of concurrent requests")] = 32,
    work: Annotated[float, typer.Option(help="processing time per request, seconds")] = 0.0,
) -> None:
    """Serves a plain service stand-in until a stop signal."""
    application = PlainService(server_id, work)
    incarnation = new_incarnation()
    host, port = split_address(listen)

    def describe() -> dict[str, Any]:
        return {
            "id": server_id,
            "incarnation": incarnation,
            "address": f"http://{server.address}",
            "role": "plain",
            "pools": [service],
            "data_centre": data_centre,
            "slots": slots,
            "state": "ready",
        }

    with (
        ProcessSignals(stop_limit_s=STOP_LIMIT_S) as signals,
        HttpServer(host, port, application, _HTTP_LIMITS) as server,
        Announcer(entries.split(","), announce_token, describe),
    ):
        signals.stop_requested.wait()


if __name__ == "__main__":
    typer.run(main)
