"""Single-threaded client for many concurrent streams, cheap enough not to be the bottleneck of measurements."""

from __future__ import annotations

import json
import random
import selectors
import socket
import time
from dataclasses import dataclass, field

from arbutusrill_base import split_address

__all__ = ["StreamClient", "StreamResult", "Target"]

_MAX_RECV_BYTES = 262_144
_ENGINE_TOKEN_MARKER = b'"offset"'
_ENTRY_TOKEN_MARKER = b'"finish_reason": null'


@dataclass(slots=True, frozen=True)
class Target:
    """Destination of streams: an entry VM with a key, or a prefill engine and decode engines directly."""

    entry: str = ""
    key: str = ""
    prefill: str = ""
    decodes: tuple[str, ...] = ()


@dataclass(slots=True)
class StreamResult:
    """Result of one stream. `complete` is set when the end-of-stream marker was received."""

    first_token_s: float = 0.0
    tokens: int = 0
    complete: bool = False


@dataclass(slots=True, eq=False)
class _Stream:
    number: int
    stage: str  # prefill, decode or entry
    connection: socket.socket | None = None
    out: bytes = b""
    data: bytearray = field(default_factory=bytearray)
    started: float = 0.0
    result: StreamResult = field(default_factory=StreamResult)


class StreamClient:
    """Runs streams of up to `tokens` tokens each with non-blocking sockets.

    The attribute `tokens` counts the tokens received on all streams, including those still open.
    """

    def __init__(self, target: Target, model: str, tokens: int, seed: int):
        self._target = target
        self._model = model
        self._max_tokens = tokens
        self._rng = random.Random(seed)
        self._selector = selectors.DefaultSelector()
        self._run_id = self._rng.randrange(10**9)
        self.results: list[StreamResult] = []
        self.tokens = 0

    def run(self, concurrency: int, total: int, spread_s: float, until: float = float("inf")) -> list[StreamResult]:
        """Keeps `concurrency` streams open until `total` have ended or until the monotonic time `until`.

        The first `concurrency` streams start at random times within `spread_s` seconds. Returns the results of the
        streams that have ended.
        """
        now = time.monotonic()
        starts = sorted(now + self._rng.uniform(0, spread_s) for _ in range(min(concurrency, total)))
        started_count, open_streams = 0, 0
        while len(self.results) < total and time.monotonic() < until:
            while starts and starts[0] <= time.monotonic():
                starts.pop(0)
                self._start(started_count)
                started_count, open_streams = started_count + 1, open_streams + 1
            wait = max(0.0, min(0.1, starts[0] - time.monotonic())) if starts else 0.1
            for key, _ in self._selector.select(wait):
                if self._on_readable(key.data):
                    open_streams -= 1
                    if started_count + len(starts) < total:
                        starts.append(time.monotonic())
        for key in list(self._selector.get_map().values()):
            self._close(key.data)
        return self.results

    def _start(self, number: int) -> None:
        stream = _Stream(number, "entry" if self._target.entry else "prefill", started=time.monotonic())
        if self._target.entry:
            body = {"model": self._model, "prompt": f"stop {number}", "stream": True, "max_tokens": self._max_tokens}
            self._send(stream, self._target.entry, "/v1/completions", body)
        else:
            self._send(
                stream, self._target.prefill, "/engine/prefill", self._engine_body(stream, prompt=f"stop {number}")
            )

    def _engine_body(self, stream: _Stream, **fields: object) -> dict[str, object]:
        identity = {"request_id": f"direct-{self._run_id}-{stream.number}", "vm": "bench", "incarnation": 1}
        return {**identity, "model": self._model, **fields}

    def _send(self, stream: _Stream, address: str, path: str, body: dict[str, object]) -> None:
        data = json.dumps(body).encode()
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {len(data)}\r\n"
        if self._target.key:
            head += f"Authorization: Bearer {self._target.key}\r\n"
        stream.data.clear()
        stream.connection = socket.create_connection(split_address(address), timeout=5)
        stream.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream.connection.sendall(head.encode() + b"\r\n" + data)
        stream.connection.setblocking(False)
        self._selector.register(stream.connection, selectors.EVENT_READ, stream)

    def _on_readable(self, stream: _Stream) -> bool:
        """Reads the available data; returns whether the stream has ended."""
        try:
            data = stream.connection.recv(_MAX_RECV_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if data and stream.stage != "prefill":
            self._count_tokens(stream, data)
        elif data:
            stream.data += data
        if data:
            return False
        self._close(stream)
        if stream.stage == "prefill" and self._start_decode(stream):
            return False
        self.results.append(stream.result)
        return True

    def _count_tokens(self, stream: _Stream, data: bytes) -> None:
        marker = _ENTRY_TOKEN_MARKER if stream.stage == "entry" else _ENGINE_TOKEN_MARKER
        window = bytes(stream.data[-len(marker) + 1 :]) + data
        number = window.count(marker)
        if number and not stream.result.tokens:
            stream.result.first_token_s = time.monotonic() - stream.started
        stream.result.tokens += number
        self.tokens += number
        stream.data = bytearray(window[-64:])
        if b"[DONE]" in window or b'"end"' in window:
            stream.result.complete = True

    def _start_decode(self, stream: _Stream) -> bool:
        head, _, body = bytes(stream.data).partition(b"\r\n\r\n")
        if b" 200 " not in head[:20]:
            return False
        answer = json.loads(body)
        address = self._target.decodes[stream.number % len(self._target.decodes)]
        fields = {"kv_handle": answer["kv_handle"], "source": f"http://{self._target.prefill}"}
        tokens = {"prompt_tokens": answer["prompt_tokens"], "max_tokens": self._max_tokens}
        stream.stage = "decode"
        self._send(stream, address, "/engine/decode", self._engine_body(stream, **fields, **tokens))
        return True

    def _close(self, stream: _Stream) -> None:
        self._selector.unregister(stream.connection)
        stream.connection.close()
