"""Stand-in for a plain service with seat bookings and stop lookups.

Run as ``python -m arbutusrill_standins.service``.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Iterable
from typing import Annotated, Any

import typer
from arbutusrill_base import new_incarnation
from arbutusrill_http import HttpServer, json_response
from werkzeug.wrappers import Request

from ._announcer import Announcer

__all__ = ["PlainService"]


class PlainService:
    """WSGI application: every POST books, every GET looks up; all requests are kept for inspection."""

    def __init__(self, name: str):
        self._name = name
        self._lock = threading.Lock()
        self._bookings: list[dict[str, Any]] = []
        self._seen: list[dict[str, Any]] = []

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serves one request."""
        request = Request(environ)
        if request.path == "/stand-in/seen":
            with self._lock:
                answer: Any = list(self._seen)
            return json_response(answer)(environ, start_response)
        with self._lock:
            self._seen.append(
                {"path": request.path, "query": request.query_string.decode(), "headers": dict(request.headers)}
            )
        if request.method == "POST":
            return self._book(request, start_response)
        answer = {"server": self._name, "path": request.path, "departs": "07:40"}
        return json_response(answer)(environ, start_response)

    def _book(self, request: Request, start_response: Callable) -> Iterable[bytes]:
        try:
            wanted = json.loads(request.get_data() or b"{}")
        except ValueError:
            return json_response({"error": "not JSON"}, 400)(request.environ, start_response)
        with self._lock:
            self._bookings.append(wanted)
            number = len(self._bookings)
        answer = {"server": self._name, "booking": number, "wanted": wanted}
        return json_response(answer, 201)(request.environ, start_response)


def main(
    listen: Annotated[str, typer.Option(help="IP:port to serve on")],
    entries: Annotated[str, typer.Option(help="entry VMs to announce to, separated by commas")],
    announce_token: Annotated[str, typer.Option(help="token that the entry VMs expect")],
    server_id: Annotated[str, typer.Option("--id", help="name of this backend server")],
    service: Annotated[str, typer.Option(help="name of the service")] = "seats",
    data_centre: Annotated[str, typer.Option(help="data centre of this server")] = "dc1",
    slots: Annotated[int, typer.Option(help="requests held at once")] = 32,
) -> None:
    """Serves a plain service stand-in until it is interrupted."""
    application = PlainService(server_id)
    incarnation = new_incarnation()
    host, _, port = listen.rpartition(":")

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

    with HttpServer(host, int(port), application) as server, Announcer(entries.split(","), announce_token, describe):
        while True:
            time.sleep(3600)


if __name__ == "__main__":
    typer.run(main)
