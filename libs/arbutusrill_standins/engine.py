"""Stand-in for a model engine: prefill, decode in a batch, cancel, and a short-lived KV cache.

Run as ``python -m arbutusrill_standins.engine``.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Annotated, Any

import typer
from arbutusrill_base import new_incarnation, new_request_id
from arbutusrill_http import AbortStreamError, HttpServer, json_response
from werkzeug.wrappers import Request

from ._announcer import Announcer

__all__ = ["Engine", "EngineSpeed"]

_WORDS = "the route stops at the school gate before eight and leaves when all children are seated".split()


@dataclass(slots=True, frozen=True)
class EngineSpeed:
    """Speed and limits of an engine; times in seconds."""

    prefill_tokens_per_s: float = 20_000.0
    token_gap_s: float = 0.01
    batch_slowdown: float = 0.02  # part by which each further stream lengthens the gap
    kv_life_s: float = 0.9
    slots: int = 20


@dataclass(slots=True)
class _Running:
    request_id: str
    vm: str
    incarnation: int
    stage: str
    cancelled: threading.Event = field(default_factory=threading.Event)


class Engine:
    """WSGI application of one engine."""

    def __init__(self, speed: EngineSpeed):
        self.speed = speed
        self._lock = threading.Lock()
        self._prefill_turn = threading.Lock()
        self._running_by_id: dict[str, _Running] = {}

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serves one request of the router."""
        request = Request(environ)
        handlers = {
            "/engine/prefill": self._prefill,
            "/engine/decode": self._decode,
            "/engine/cancel": self._cancel,
            "/engine/requests": self._requests,
        }
        handler = handlers.get(request.path)
        if handler is None:
            return json_response({"error": "not found"}, 404)(environ, start_response)
        body = json.loads(request.get_data() or b"{}")
        return handler(body, request, start_response)

    def load(self) -> int:
        """Returns the number of requests that hold memory."""
        with self._lock:
            return len(self._running_by_id)

    def _enter(self, body: dict[str, Any], stage: str) -> _Running | None:
        running = _Running(body["request_id"], body["vm"], body["incarnation"], stage)
        with self._lock:
            if len(self._running_by_id) >= self.speed.slots or running.request_id in self._running_by_id:
                return None
            self._running_by_id[running.request_id] = running
        return running

    def _leave(self, running: _Running) -> None:
        with self._lock:
            self._running_by_id.pop(running.request_id, None)

    def _prefill(self, body: dict[str, Any], request: Request, start_response: Callable) -> Iterable[bytes]:
        running = self._enter(body, "prefill")
        if running is None:
            return json_response({"error": "full"}, 503)(request.environ, start_response)
        try:
            tokens = max(1, len(body["prompt"].encode()) // 4)
            with self._prefill_turn:
                if running.cancelled.wait(tokens / self.speed.prefill_tokens_per_s):
                    return json_response({"error": "cancelled"}, 409)(request.environ, start_response)
        finally:
            self._leave(running)
        answer = {
            "request_id": running.request_id,
            "kv_handle": new_request_id("kv"),
            "prompt_tokens": tokens,
            "cached_tokens": 0,
            "expires_ms": int(self.speed.kv_life_s * 1000),
        }
        return json_response(answer)(request.environ, start_response)

    def _decode(self, body: dict[str, Any], request: Request, start_response: Callable) -> Iterable[bytes]:
        running = self._enter(body, "decode")
        if running is None:
            return json_response({"error": "full"}, 503)(request.environ, start_response)
        try:
            write = start_response("200 OK", [("Content-Type", "text/event-stream")])
            for offset in range(body["max_tokens"]):
                gap = self.speed.token_gap_s * (1 + self.speed.batch_slowdown * (self.load() - 1))
                if running.cancelled.wait(gap):
                    raise AbortStreamError
                word = _WORDS[offset % len(_WORDS)] + " "
                write(_event({"request_id": running.request_id, "offset": offset, "token": word}))
            write(_event({"request_id": running.request_id, "end": True, "finish_reason": "length"}))
        finally:
            self._leave(running)
        return []

    def _cancel(self, body: dict[str, Any], request: Request, start_response: Callable) -> Iterable[bytes]:
        with self._lock:
            running = self._running_by_id.get(body["request_id"])
        if running is not None:
            running.cancelled.set()
        answer = {"request_id": body["request_id"], "state": "cancelled"}
        return json_response(answer)(request.environ, start_response)

    def _requests(self, _: dict[str, Any], request: Request, start_response: Callable) -> Iterable[bytes]:
        with self._lock:
            rows = [
                {"request_id": running.request_id, "vm": running.vm, "incarnation": running.incarnation}
                for running in self._running_by_id.values()
            ]
        return json_response({"requests": rows})(request.environ, start_response)


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def main(
    listen: Annotated[str, typer.Option(help="IP:port to serve on")],
    entries: Annotated[str, typer.Option(help="entry VMs to announce to, separated by commas")],
    announce_token: Annotated[str, typer.Option(help="token that the entry VMs expect")],
    server_id: Annotated[str, typer.Option("--id", help="name of this backend server")],
    role: Annotated[str, typer.Option(help="prefill, decode or both")] = "both",
    models: Annotated[str, typer.Option(help="models served, separated by commas")] = "default",
    data_centre: Annotated[str, typer.Option(help="data centre of this server")] = "dc1",
    slots: Annotated[int, typer.Option(help="requests held at once")] = 20,
) -> None:
    """Serves a model engine stand-in until it is interrupted."""
    speed = EngineSpeed(slots=slots)
    engine = Engine(speed)
    incarnation = new_incarnation()
    host, _, port = listen.rpartition(":")

    def describe() -> dict[str, Any]:
        return {
            "id": server_id,
            "incarnation": incarnation,
            "address": f"http://{server.address}",
            "role": role,
            "pools": models.split(","),
            "data_centre": data_centre,
            "slots": slots,
            "prefill_tokens_per_s": speed.prefill_tokens_per_s,
            "token_gap_s": speed.token_gap_s,
            "running": engine.load(),
            "state": "ready",
        }

    with HttpServer(host, int(port), engine) as server, Announcer(entries.split(","), announce_token, describe):
        while True:
            time.sleep(3600)


if __name__ == "__main__":
    typer.run(main)
