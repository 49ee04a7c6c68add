"""A plain service inside the proof's own process, which counts how often each call ran and fails on command."""

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

__all__ = ["LedgerService"]

_SLOW_S = 2.0


class LedgerService:
    """Counts the runs of each call by the field ``id`` of its body.

    `fault_weights` gives how often, relative to each other, a call is answered (``ok``), cut before or
    after it ran (``cut_before``, ``cut_after``), or answered late (``slow``).
    """

    FAULTS = ("ok", "cut_before", "cut_after", "slow")

    def __init__(self, seed: int, fault_weights: tuple[float, ...] = (1, 0, 0, 0)):
        self._lock = threading.Lock()
        self._random = random.Random(seed)
        self._weights = fault_weights
        self._runs_by_id: Counter[str] = Counter()
        self.headers_seen: list[dict[str, str]] = []

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serves one call."""
        request = Request(environ)
        call_id = json.loads(request.get_data())["id"]
        with self._lock:
            fault = self._random.choices(self.FAULTS, self._weights)[0]
            self.headers_seen.append({name: value for name, value in request.headers.items()})
        if fault == "cut_before":
            raise AbortStreamError
        with self._lock:
            self._runs_by_id[call_id] += 1
        if fault == "cut_after":
            raise AbortStreamError
        if fault == "slow":
            time.sleep(_SLOW_S)
        return json_response({"id": call_id, "run": self.runs(call_id)}, 201)(environ, start_response)

    def runs(self, call_id: str) -> int:
        """Returns how often a call ran."""
        with self._lock:
            return self._runs_by_id[call_id]

    def repeated(self) -> list[str]:
        """Returns the ids of all calls that ran more than once."""
        with self._lock:
            return [call_id for call_id, runs in self._runs_by_id.items() if runs > 1]

    def serve(self, address: str, service: str, entries: list[str], token: str) -> Any:
        """Returns a context that serves on `address` and announces the service to `entries`."""
        return _Serving(self, address, service, entries, token)


class _Serving:
    def __init__(self, app: LedgerService, address: str, service: str, entries: list[str], token: str):
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

    def __enter__(self) -> _Serving:
        self._server.__enter__()
        self._announcer.__enter__()
        return self

    def __exit__(self, *details: object) -> None:
        self._announcer.__exit__(*details)
        self._server.__exit__(*details)
