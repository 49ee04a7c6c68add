"""WSGI application that simulates a model engine."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable, Iterable
from typing import Any

from arbutusrill_base import BLOCK_BYTES, TaskGroup, new_incarnation, prefix_blocks
from arbutusrill_http import Transfer, fetch, json_response, peer_closed
from werkzeug.wrappers import Request

from ._announcer import cache_events_message
from ._counters import Counters
from ._faults import FaultInjector, abort_connection
from ._link import SharedLink
from ._options import BYTES_PER_TOKEN, EngineOptions
from ._orders import OrderExecutor
from ._prefill import KvEntry, KvStore, PrefillQueue, output_mark
from ._prefix_cache import PrefixCache
from ._request_table import ActiveRequest, RefusedError, RequestTable
from ._streams import DecodeBatch, StreamTable, TokenStream

__all__ = ["Engine"]

_SWEEP_INTERVAL_S = 0.05
_IMPORT_TIMEOUT_S = 10.0
_BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN

JsonObject = dict[str, Any]
ResponseBody = Iterable[bytes]


class Engine:
    """WSGI application that simulates one engine.

    `own_address` is ``http://IP:port``; KV cache from this address is used without a transfer.
    """

    def __init__(self, options: EngineOptions, role: str = "both", pools: list[str] | None = None, name: str = ""):
        self.options = options
        self.incarnation = new_incarnation()
        self.own_address = ""
        self.name = name
        self.counters = Counters("prefill_tokens", "prefill_tokens_wasted", "tokens_decoded", "peak_held")
        self.faults = FaultInjector()
        self.cache = PrefixCache(options.cache_tokens // _BLOCK_TOKENS)
        self.orders = OrderExecutor(role, pools or [], options.checks_fencing, options.load_duration_s)
        self._request_table = RequestTable(self.counters)
        self._prefill_queue = PrefillQueue(self.faults)
        self._kv_store = KvStore(self._request_table, self.counters)
        self._batch = DecodeBatch(
            self._request_table, self.faults, options.token_gap_s / options.speed, options.batch_slowdown
        )
        self._streams = StreamTable(self._request_table, self.counters, options.resume_window_s)
        self._kv_link = SharedLink(options.link_bytes_per_s)
        self._handler_by_path: dict[str, Callable[[JsonObject, Request, Callable], ResponseBody]] = {
            "/engine/prefill": self._prefill,
            "/engine/decode": self._decode,
            "/engine/cancel": self._cancel,
            "/engine/requests": self._list_requests,
            "/engine/orders": self._execute_order,
            "/engine/cache": self._report_cache,
            "/engine/kv/export": self._export_kv,
            "/stand-in/fault": self._inject_fault,
            "/stand-in/counters": self._report_counters,
        }

    def start(self, tasks: TaskGroup) -> None:
        """Starts the periodic removal of expired KV cache entries and streams."""
        tasks.run_periodically(_SWEEP_INTERVAL_S, self._kv_store.sweep)
        tasks.run_periodically(_SWEEP_INTERVAL_S, self._streams.sweep)

    def load(self) -> tuple[int, int]:
        """Returns the current numbers of running and queued requests."""
        requests = self._request_table.snapshot()
        queued = sum(1 for active in requests if active.stage == "queued") + max(
            0, self._request_table.count("prefill") - 1
        )
        return len(requests) - queued, queued

    def __call__(self, environ: dict, start_response: Callable) -> ResponseBody:
        """Handles one HTTP request of the router, or of a test under ``/stand-in/``."""
        request = Request(environ)
        connection = environ["werkzeug.socket"]
        is_control = request.path.startswith("/stand-in/")
        if not is_control:
            self.faults.track_connection(connection)
        try:
            body = json.loads(request.get_data() or b"{}")
            if not is_control:
                self.counters.record_request(request.path, dict(request.headers), str(body.get("request_id", "")))
                if self.faults.is_refusing():
                    raise RefusedError(503, "refused")
            if request.path.startswith("/engine/streams/"):
                return self._resume(body, request, start_response)
            handler = self._handler_by_path.get(request.path)
            if handler is None:
                raise RefusedError(404, "not_found")
            return handler(body, request, start_response)
        except RefusedError as error:
            self.counters.add(f"refused_{error.code}")
            return self._respond({"error": error.code}, request, start_response, error.status)
        except (KeyError, TypeError, ValueError) as error:
            return self._respond({"error": f"bad request: {error!r}"}, request, start_response, 400)

    def _respond(self, value: Any, request: Request, start_response: Callable, status: int = 200) -> ResponseBody:
        connection = request.environ["werkzeug.socket"]
        if not request.path.startswith("/stand-in/") and self.faults.is_silenced(connection):
            self.faults.hold_open(connection)
        return json_response(value, status)(request.environ, start_response)

    def _prefill(self, body: JsonObject, request: Request, start_response: Callable) -> ResponseBody:
        prompt: str = body["prompt"]
        connection = request.environ["werkzeug.socket"]
        tokens = max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))
        blocks = prefix_blocks(prompt)
        active = self._request_table.admit(body, "prefill", self.options.slots)
        cached_tokens = min(tokens - 1, self.cache.match(blocks) * _BLOCK_TOKENS)
        computed_tokens = tokens - cached_tokens
        try:
            self._run_prefill(active, computed_tokens, connection)
        except RefusedError:
            self._request_table.release(active)
            raise
        self.cache.insert(blocks)
        active.stage = "kv"
        mark, mark_from = output_mark(prompt)
        expires_at = time.monotonic() + self.options.kv_ttl_s
        entry = KvEntry(active, tokens, computed_tokens, mark, expires_at, mark_from)
        self._kv_store.put(entry)
        response = {
            "request_id": self.faults.apply_response_faults(active.request_id),
            "kv_handle": entry.handle,
            "prompt_tokens": tokens,
            "cached_tokens": cached_tokens,
            "expires_ms": int(self.options.kv_ttl_s * 1000),
        }
        return self._respond(response, request, start_response)

    def _run_prefill(self, active: ActiveRequest, tokens: int, connection: socket.socket) -> None:
        """Simulates the prefill of `tokens` tokens.

        Raises `RefusedError` if the request is cancelled or its caller disconnects.
        """
        options = self.options
        chunk_tokens = options.prefill_chunk_tokens
        chunks = -(-tokens // chunk_tokens) if chunk_tokens else 1

        def should_stop() -> bool:
            return active.cancelled.is_set() or (not self.faults.is_silenced(connection) and peer_closed(connection))

        seconds = tokens / (options.prefill_tokens_per_s * options.speed)
        fraction = self._prefill_queue.run(seconds, chunks, active.priority, should_stop)
        self.counters.add("prefill_tokens", tokens * fraction)
        if fraction < 1 or active.cancelled.is_set():
            self.counters.add("prefill_tokens_wasted", tokens * fraction)
            raise RefusedError(409, "cancelled")

    def _export_kv(self, body: JsonObject, request: Request, start_response: Callable) -> ResponseBody:
        connection = request.environ["werkzeug.socket"]
        entry = self._kv_store.claim(body["kv_handle"], body["request_id"])
        if entry is None:
            raise RefusedError(410, "kv_gone")
        transfer = self._kv_link.start(entry.tokens * self.options.kv_bytes_per_token)
        complete = self._kv_link.wait(transfer, lambda: entry.request.cancelled.is_set() or peer_closed(connection))
        self._kv_store.release(entry, used=complete)
        if not complete:
            raise RefusedError(410, "kv_gone")
        return self._respond(
            {"tokens": entry.tokens, "mark": entry.mark, "mark_from": entry.mark_from}, request, start_response
        )

    def _import_kv(self, body: JsonObject, active: ActiveRequest, connection: socket.socket) -> tuple[str, int]:
        """Imports the KV cache of a prompt and returns its mark and the number of the first output token.

        Raises `RefusedError` if the entry is gone or the request is cancelled.
        """
        handle, source = body["kv_handle"], body.get("source", "")
        if source in ("", self.own_address):
            entry = self._kv_store.claim(handle, active.request_id)
            if entry is None:
                raise RefusedError(410, "kv_gone")
            self._kv_store.release(entry, used=True)
            return entry.mark, entry.mark_from
        transfer = self._kv_link.start(body["prompt_tokens"] * self.options.kv_bytes_per_token)
        try:
            export_request = json.dumps({"request_id": active.request_id, "kv_handle": handle}).encode()
            headers = ["Content-Type: application/json"]
            result = fetch(
                Transfer(
                    "POST",
                    f"{source}/engine/kv/export",
                    headers,
                    export_request,
                    _IMPORT_TIMEOUT_S,
                    caller_connection=connection,
                )
            )
            if not result.is_complete or result.status != 200:
                raise RefusedError(410, "kv_gone")
            if not self._kv_link.wait(transfer, lambda: active.cancelled.is_set() or peer_closed(connection)):
                raise RefusedError(409, "cancelled")
        finally:
            self._kv_link.stop(transfer)
        response = json.loads(result.body)
        return response["mark"], response["mark_from"]

    def _decode(self, body: JsonObject, request: Request, start_response: Callable) -> ResponseBody:
        connection = request.environ["werkzeug.socket"]
        first_offset = int(body.get("offset", 0))
        end_offset = first_offset + int(body["max_tokens"])
        active = self._request_table.admit_queued(
            body, "decode", self.options.slots, self.options.max_queue_wait_s, lambda: peer_closed(connection)
        )
        try:
            mark, mark_from = self._import_kv(body, active, connection)
        except BaseException:
            self._request_table.release(active)
            raise
        stream = TokenStream(
            active, self._batch, self.counters, (mark, mark_from - first_offset), first_offset, end_offset
        )
        self._streams.add(stream)
        return self._write_stream(stream, stream.attach(), first_offset, request, start_response)

    def _resume(self, _: JsonObject, request: Request, start_response: Callable) -> ResponseBody:
        request_id = request.path.rpartition("/")[2]
        offset = request.args.get("offset", 0, type=int)
        stream, attachment = self._streams.attach(request_id, offset)
        if stream is None:
            raise RefusedError(attachment, "no_such_stream" if attachment == 404 else "offset_not_reached")
        self.counters.add("streams_resumed")
        return self._write_stream(stream, attachment, offset, request, start_response)

    def _write_stream(
        self, stream: TokenStream, attachment: int, offset: int, request: Request, start_response: Callable
    ) -> ResponseBody:
        connection = request.environ["werkzeug.socket"]
        reported_id = self.faults.apply_response_faults(stream.request.request_id)
        cut_offset = offset + 3 if self.faults.consume("cut") else None
        attached_at = time.monotonic()
        write = start_response("200 OK", [("Content-Type", "text/event-stream")])
        try:
            while offset < stream.end_offset:
                if not stream.wait(offset, lambda: not stream.is_attached(attachment)):
                    abort_connection(connection)
                if offset == cut_offset or attached_at < self.faults.cut_attached_before:
                    raise ConnectionAbortedError
                event = {"request_id": reported_id, "offset": offset, "token": stream.text(offset)}
                self._send_event(event, write, connection)
                offset += 1
            self._request_table.release(stream.request)
            self._send_event({"request_id": reported_id, "end": True, "finish_reason": "length"}, write, connection)
        except OSError:
            self._streams.detach(stream, attachment, "streams_broken")
            abort_connection(connection)
        finally:
            if stream.request.cancelled.is_set():
                self._streams.remove(stream)
        self._streams.detach(stream, attachment, "streams_ended")
        if self.faults.is_silenced(connection):
            self.faults.hold_open(connection)
        return []

    def _send_event(self, event: JsonObject, write: Callable[[bytes], Any], connection: socket.socket) -> None:
        if self.faults.is_silenced(connection):
            return
        if peer_closed(connection):
            raise ConnectionResetError
        write(b"data: " + json.dumps(event).encode() + b"\n\n")

    def _cancel(self, body: JsonObject, request: Request, start_response: Callable) -> ResponseBody:
        found = self._request_table.cancel(body["request_id"])
        self.counters.add("cancels")
        response = {"request_id": body["request_id"], "state": "cancelled", "found": found}
        return self._respond(response, request, start_response)

    def _list_requests(self, _: JsonObject, request: Request, start_response: Callable) -> ResponseBody:
        now = time.monotonic()
        rows = [
            {
                "request_id": active.request_id,
                "vm": active.vm,
                "incarnation": active.incarnation,
                "stage": active.stage,
                "age_s": round(now - active.created_at, 3),
            }
            for active in self._request_table.snapshot()
        ]
        return self._respond({"requests": rows}, request, start_response)

    def _execute_order(self, body: JsonObject, request: Request, start_response: Callable) -> ResponseBody:
        response, status = self.orders.execute(body)
        return self._respond(response, request, start_response, status)

    def _report_cache(self, _: JsonObject, request: Request, start_response: Callable) -> ResponseBody:
        identity = {"id": self.name, "incarnation": self.incarnation}
        return self._respond(cache_events_message(identity, self.cache.snapshot()), request, start_response)

    def _inject_fault(self, body: JsonObject, request: Request, start_response: Callable) -> ResponseBody:
        self.faults.apply(body)
        return self._respond({"accepted": True}, request, start_response)

    def _report_counters(self, _: JsonObject, request: Request, start_response: Callable) -> ResponseBody:
        values: JsonObject = self.counters.values()
        running, queued = self.load()
        values.update(running=running, queued=queued, decoding=self._request_table.count("decode"))
        if "requests" in request.args:
            values["requests"] = self.counters.recent_requests()
        return self._respond(values, request, start_response)
