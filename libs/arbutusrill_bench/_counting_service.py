"""In-process plain service that counts the executions of each call and injects faults at random."""

from __future__ import annotations

import json
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from arbutusrill_base import new_incarnation, split_address
from arbutusrill_http import AbortStreamError, HttpServer, json_response
from arbutusrill_standins import Announcer
from werkzeug.wrappers import Request

__all__ = ["CountingService"]

_SLOW_ANSWER_DELAY_S = 2.0


class CountingService:
    """WSGI application that counts the executions of each call by the field ``id`` of the request body.

    `fault_weights` are the relative frequencies of `FAULTS`: the call is answered (``ok``), its connection is cut
    before or after it is counted (``cut_before``, ``cut_after``), or it is answered late (``slow``).
    """

    FAULTS = ("ok", "cut_before", "cut_after", "slow")

    def __init__(self, seed: int, fault_weights: tuple[float, ...] = (1, 0, 0, 0)):
        self._lock = threading.Lock()
        self._rng = random.Random(seed)
        self._fault_weights = fault_weights
        self._runs_by_id: Counter[str] = Counter()
        self.headers_seen: list[dict[str, str]] = []

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Handles one request."""
        request = Request(environ)
        call_id = json.loads(request.get_data())["id"]
        with self._lock:
            fault = self._rng.choices(self.FAULTS, self._fault_weights)[0]
            self.headers_seen.append({name: value for name, value in request.headers.items()})
        if fault == "cut_before":
            raise AbortStreamError
        with self._lock:
            self._runs_by_id[call_id] += 1
        if fault == "cut_after":
            raise AbortStreamError
        if fault == "slow":
            time.sleep(_SLOW_ANSWER_DELAY_S)
        return json_response({"id": call_id, "run": self.runs(call_id)}, 201)(environ, start_response)

    def runs(self, call_id: str) -> int:
        """Returns the number of executions of a call."""
        with self._lock:
            return self._runs_by_id[call_id]

    def repeated_ids(self) -> list[str]:
        """Returns the ids of all calls executed more than once."""
        with self._lock:
            return [call_id for call_id, runs in self._runs_by_id.items() if runs > 1]

    def serve(self, address: str, service: str, entries: list[str], token: str) -> Any:
        """Returns a context manager that serves on `address` and announces the service to `entries`."""
        return _RunningService(self, address, service, entries, token)


class _RunningService:
    def __init__(self, app: CountingService, address: str, service: str, entries: list[str], token: str):
        host, port = split_address(address)
        self._server = HttpServer(host, port, app)
        incarnation = new_incarnation()
        description = {
            "id": f"{service}-{port}",
            "incarnation": incarnation,
            "address": f"http://{self._server.address}",
            "role": "plain",
            "pools": [service],
            "data_centre": "dc1",
            "slots": 64,
            "state": "ready",
        }
        self._announcer = Announcer(entries, token, lambda: description)

    def __enter__(self) -> _RunningService:
        self._server.__enter__()
        self._announcer.__enter__()
        return self

    def __exit__(self, *details: object) -> None:
        self._announcer.__exit__(*details)
        self._server.__exit__(*details)
