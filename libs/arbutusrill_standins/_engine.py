"""The engine stand-in as a WSGI application."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable, Iterable
from typing import Any

from arbutusrill_base import BLOCK_BYTES, TaskGroup, new_incarnation, prefix_blocks
from arbutusrill_http import AbortStreamError, Transfer, caller_gone, fetch, json_response
from werkzeug.wrappers import Request

from ._announcer import cache_message
from ._counters import Counters
from ._faults import FaultSwitch
from ._held import Held, HeldTable, RefusedError
from ._link import SharedLink
from ._options import BYTES_PER_TOKEN, EngineOptions
from ._orders import OrderBook
from ._prefill import KvEntry, KvStore, PrefillQueue, output_mark
from ._prefix_cache import PrefixCache
from ._streams import Batch, Stream, StreamTable

__all__ = ["Engine"]

_SWEEP_S = 0.05
_IMPORT_S = 10.0
_BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN

Body = dict[str, Any]
Answer = Iterable[bytes]


class Engine:
    """One engine. `own_address` is ``http://IP:port``; KV cache from that address is used without a transfer."""

    def __init__(self, options: EngineOptions, role: str = "both", pools: list[str] | None = None, name: str = ""):
        self.options = options
        self.incarnation = new_incarnation()
        self.own_address = ""
        self.name = name
        self.counters = Counters("prefill_tokens", "prefill_tokens_wasted", "tokens_decoded", "peak_held")
        self.faults = FaultSwitch()
        self.cache = PrefixCache(options.cache_tokens // _BLOCK_TOKENS)
        self.orders = OrderBook(role, pools or [], options.checks_fencing, options.load_s)
        self._table = HeldTable(self.counters)
        self._queue = PrefillQueue(self.faults)
        self._kv = KvStore(self._table, self.counters)
        self._batch = Batch(self._table, self.faults, options.token_gap_s / options.speed, options.batch_slowdown)
        self._streams = StreamTable(self._table, self.counters, options.resume_s)
        self._link = SharedLink(options.link_bytes_per_s)
        self._handler_by_path: dict[str, Callable[[Body, Request, Callable], Answer]] = {
            "/engine/prefill": self._prefill,
            "/engine/decode": self._decode,
            "/engine/cancel": self._cancel,
            "/engine/requests": self._requests,
            "/engine/orders": self._order,
            "/engine/cache": self._cache,
            "/engine/kv/export": self._export,
            "/stand-in/fault": self._fault,
            "/stand-in/counters": self._counted,
        }

    def start(self, tasks: TaskGroup) -> None:
        """Starts the clean-up of what nobody uses any more."""
        tasks.every(_SWEEP_S, self._kv.sweep)
        tasks.every(_SWEEP_S, self._streams.sweep)

    def load(self) -> tuple[int, int]:
        """Returns the numbers of requests running and queued at this moment."""
        rows = self._table.rows()
        queued = sum(1 for row in rows if row.stage == "queued") + max(0, self._table.count("prefill") - 1)
        return len(rows) - queued, queued

    def __call__(self, environ: dict, start_response: Callable) -> Answer:
        """Serves one request of the router."""
        request = Request(environ)
        connection = environ["werkzeug.socket"]
        commanded = request.path.startswith("/stand-in/")
        if not commanded:
            self.faults.note_connection(connection)
        try:
            body = json.loads(request.get_data() or b"{}")
            if not commanded:
                self.counters.saw(request.path, dict(request.headers), str(body.get("request_id", "")))
                if self.faults.refusing():
                    raise RefusedError(503, "refused")
            if request.path.startswith("/engine/streams/"):
                return self._resume(body, request, start_response)
            handler = self._handler_by_path.get(request.path)
            if handler is None:
                raise RefusedError(404, "not_found")
            return handler(body, request, start_response)
        except RefusedError as error:
            self.counters.add(f"refused_{error.code}")
            return self._answer({"error": error.code}, request, start_response, error.status)
        except (KeyError, TypeError, ValueError) as error:
            return self._answer({"error": f"bad request: {error!r}"}, request, start_response, 400)

    def _answer(self, value: Any, request: Request, start_response: Callable, status: int = 200) -> Answer:
        connection = request.environ["werkzeug.socket"]
        if not request.path.startswith("/stand-in/") and self.faults.silent(connection):
            self.faults.hold(connection)
        return json_response(value, status)(request.environ, start_response)

    # ---- prefill

    def _prefill(self, body: Body, request: Request, start_response: Callable) -> Answer:
        prompt: str = body["prompt"]
        connection = request.environ["werkzeug.socket"]
        tokens = max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))
        blocks = prefix_blocks(prompt)
        held = self._table.enter(body, "prefill", self.options.slots)
        cached = min(tokens - 1, self.cache.match(blocks) * _BLOCK_TOKENS)
        computed = tokens - cached
        try:
            self._compute(held, computed, connection)
        except RefusedError:
            self._table.leave(held)
            raise
        self.cache.insert(blocks)
        held.stage = "kv"
        mark, mark_from = output_mark(prompt)
        expires = time.monotonic() + self.options.kv_life_s
        entry = KvEntry(held, tokens, computed, mark, expires, mark_from)
        self._kv.put(entry)
        answer = {
            "request_id": self.faults.answer_id(held.request_id),
            "kv_handle": entry.handle,
            "prompt_tokens": tokens,
            "cached_tokens": cached,
            "expires_ms": int(self.options.kv_life_s * 1000),
        }
        return self._answer(answer, request, start_response)

    def _compute(self, held: Held, tokens: int, connection: socket.socket) -> None:
        """Runs the prefill of `tokens`; raises `RefusedError` when the request ends before."""
        options = self.options
        chunk = options.prefill_chunk_tokens
        pieces = -(-tokens // chunk) if chunk else 1

        def stopped() -> bool:
            return held.cancelled.is_set() or (not self.faults.silent(connection) and caller_gone(connection))

        seconds = tokens / (options.prefill_tokens_per_s * options.speed)
        done = self._queue.run(seconds, pieces, held.priority, stopped)
        self.counters.add("prefill_tokens", tokens * done)
        if done < 1 or held.cancelled.is_set():
            self.counters.add("prefill_tokens_wasted", tokens * done)
            raise RefusedError(409, "cancelled")

    # ---- transfer of KV cache

    def _export(self, body: Body, request: Request, start_response: Callable) -> Answer:
        connection = request.environ["werkzeug.socket"]
        entry = self._kv.claim(body["kv_handle"], body["request_id"])
        if entry is None:
            raise RefusedError(410, "kv_gone")
        transfer = self._link.begin(entry.tokens * self.options.kv_bytes_per_token)
        whole = self._link.wait(transfer, lambda: entry.held.cancelled.is_set() or caller_gone(connection))
        self._kv.finish(entry, used=whole)
        if not whole:
            raise RefusedError(410, "kv_gone")
        return self._answer(
            {"tokens": entry.tokens, "mark": entry.mark, "mark_from": entry.mark_from}, request, start_response
        )

    def _import(self, body: Body, held: Held, connection: socket.socket) -> tuple[str, int]:
        """Fetches the KV cache of a prompt and returns its mark; raises `RefusedError` when it is gone."""
        handle, source = body["kv_handle"], body.get("source", "")
        if source in ("", self.own_address):
            entry = self._kv.claim(handle, held.request_id)
            if entry is None:
                raise RefusedError(410, "kv_gone")
            self._kv.finish(entry, used=True)
            return entry.mark, entry.mark_from
        transfer = self._link.begin(body["prompt_tokens"] * self.options.kv_bytes_per_token)
        try:
            export = json.dumps({"request_id": held.request_id, "kv_handle": handle}).encode()
            headers = ["Content-Type: application/json"]
            result = fetch(
                Transfer("POST", f"{source}/engine/kv/export", headers, export, _IMPORT_S, watched=connection)
            )
            if not result.whole or result.status != 200:
                raise RefusedError(410, "kv_gone")
            if not self._link.wait(transfer, lambda: held.cancelled.is_set() or caller_gone(connection)):
                raise RefusedError(409, "cancelled")
        finally:
            self._link.end(transfer)
        answer = json.loads(result.body)
        return answer["mark"], answer["mark_from"]

    # ---- decode

    def _decode(self, body: Body, request: Request, start_response: Callable) -> Answer:
        connection = request.environ["werkzeug.socket"]
        first = int(body.get("offset", 0))
        end = first + int(body["max_tokens"])
        held = self._table.enter_queued(
            body, "decode", self.options.slots, self.options.queue_s, lambda: caller_gone(connection)
        )
        try:
            mark, mark_from = self._import(body, held, connection)
        except BaseException:
            self._table.leave(held)
            raise
        stream = Stream(held, self._batch, self.counters, (mark, mark_from - first), first, end)
        self._streams.add(stream)
        return self._write(stream, stream.attach(), first, request, start_response)

    def _resume(self, _: Body, request: Request, start_response: Callable) -> Answer:
        request_id = request.path.rpartition("/")[2]
        offset = request.args.get("offset", 0, type=int)
        stream, attachment = self._streams.attach(request_id, offset)
        if stream is None:
            raise RefusedError(attachment, "no_such_stream" if attachment == 404 else "offset_not_reached")
        self.counters.add("streams_resumed")
        return self._write(stream, attachment, offset, request, start_response)

    def _write(
        self, stream: Stream, attachment: int, offset: int, request: Request, start_response: Callable
    ) -> Answer:
        connection = request.environ["werkzeug.socket"]
        shown_id = self.faults.answer_id(stream.held.request_id)
        cut_at = offset + 3 if self.faults.take("cut") else None
        begun = time.monotonic()
        write = start_response("200 OK", [("Content-Type", "text/event-stream")])
        try:
            while offset < stream.end:
                if not stream.wait(offset, lambda: not stream.attached(attachment)):
                    raise AbortStreamError
                if offset == cut_at or begun < self.faults.cut_before:
                    raise ConnectionAbortedError
                event = {"request_id": shown_id, "offset": offset, "token": stream.text(offset)}
                self._send(event, write, connection)
                offset += 1
            self._table.leave(stream.held)
            self._send({"request_id": shown_id, "end": True, "finish_reason": "length"}, write, connection)
        except OSError:
            self._streams.detach(stream, attachment, "streams_broken")
            raise AbortStreamError from None
        finally:
            if stream.held.cancelled.is_set():
                self._streams.drop(stream)
        self._streams.detach(stream, attachment, "streams_ended")
        if self.faults.silent(connection):
            self.faults.hold(connection)
        return []

    def _send(self, event: Body, write: Callable[[bytes], Any], connection: socket.socket) -> None:
        if self.faults.silent(connection):
            return
        if caller_gone(connection):
            raise ConnectionResetError
        write(b"data: " + json.dumps(event).encode() + b"\n\n")

    # ---- the rest

    def _cancel(self, body: Body, request: Request, start_response: Callable) -> Answer:
        found = self._table.cancel(body["request_id"])
        self.counters.add("cancels")
        answer = {"request_id": body["request_id"], "state": "cancelled", "found": found}
        return self._answer(answer, request, start_response)

    def _requests(self, _: Body, request: Request, start_response: Callable) -> Answer:
        now = time.monotonic()
        rows = [
            {
                "request_id": row.request_id,
                "vm": row.vm,
                "incarnation": row.incarnation,
                "stage": row.stage,
                "age_s": round(now - row.since, 3),
            }
            for row in self._table.rows()
        ]
        return self._answer({"requests": rows}, request, start_response)

    def _order(self, body: Body, request: Request, start_response: Callable) -> Answer:
        answer, status = self.orders.run(body)
        return self._answer(answer, request, start_response, status)

    def _cache(self, _: Body, request: Request, start_response: Callable) -> Answer:
        identity = {"id": self.name, "incarnation": self.incarnation}
        return self._answer(cache_message(identity, self.cache.full()), request, start_response)

    def _fault(self, body: Body, request: Request, start_response: Callable) -> Answer:
        self.faults.command(body)
        return self._answer({"accepted": True}, request, start_response)

    def _counted(self, _: Body, request: Request, start_response: Callable) -> Answer:
        values: Body = self.counters.values()
        running, queued = self.load()
        values.update(running=running, queued=queued, decoding=self._table.count("decode"))
        if "requests" in request.args:
            values["requests"] = self.counters.seen()
        return self._answer(values, request, start_response)
