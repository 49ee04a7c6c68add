"""Handler of one HTTP connection, which reads requests within limits of size and time."""

from __future__ import annotations

import contextlib
import io
import json
import mmap
import re
import select
import socket
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from arbutusrill_base import PartLog
from werkzeug.serving import WSGIRequestHandler

from ._body_budget import BodyReservation
from ._request_reader import (
    ChunkedReader,
    HeadReader,
    HeadTooLargeError,
    MalformedHeadError,
    check_head_line,
    end_of_input_error,
)
from ._slow_connections import Stage
from ._writer import ResponseWriter

__all__ = ["AbortStreamError", "Handler", "error_response"]

_RESERVED_HEADER_TIMEOUT_S = 2.0
_FIRST_REQUEST_WAIT_S = 0.5  # for the first request of a connection, which is served even if the server drains
# A body without a stated length takes no reservation up to the first size, and is small up to the second.
_FREE_CHUNKED_BYTES = 8 * 1024
_CHUNKED_RESERVE_BYTES = 64 * 1024
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_RAW_HEADER_FACTOR = 2  # optional whitespace does not count towards the limit of the headers
_IDLE_MARGIN_S = 1.0  # between the idle time that responses state and the limit, for requests on their way
_MAX_DISCARD_S, _DISCARD_PAUSE_S = 10.0, 1.0  # of input after a rejection: at most, and without any
_PENDING_INPUT_WAIT_S = 0.001  # for bytes that are already in the receive buffer
_BUFFER_BYTES = 16 * 1024  # of each connection; larger reads of a body go past it
# Input that is discarded is not copied, so nothing is ever written here: the pages of this mapping take no memory.
_DISCARD_BUFFER = mmap.mmap(-1, 1024 * 1024)
_MAX_CHUNK_READ_BYTES = 65_536
_FEW_CHUNK_READS = 4  # decoded without a turn: small bodies do not wait for those of others
_log = PartLog("http")


class AbortStreamError(Exception):
    """Raised by an application to abort a response, so that the caller sees that it is incomplete.

    A caller whose response has not begun gets one with status 502: it may have closed only its sending side.
    """


class _RequestError(Exception):
    """Rejects a request with an HTTP status, before the application has run."""

    def __init__(self, status: int, code: str, message: str, param: str | None = None):
        super().__init__(message)
        self.status = status
        self.code = code
        self.param = param

    def without_frames(self) -> _RequestError:
        """Returns the error without the frames that it has passed, which hold what has been read of a body."""
        self.__context__ = None
        return self.with_traceback(None)


def error_response(status: int, code: str, message: str, param: str | None = None) -> bytes:
    """Returns an encoded error response; its verdict is ``may_have_run`` for status 500 and 502, else ``not_run``."""
    kind = "invalid_request_error" if status < 500 else "server_error"
    verdict = "may_have_run" if status in (500, 502) else "not_run"
    error = {"message": message, "type": kind, "param": param, "code": code, "verdict": verdict}
    body = json.dumps({"error": error}).encode()
    retry_header = "Retry-After: 1\r\n" if status == 503 else ""
    head = (
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Type: application/json\r\n"
        f"X-Verdict: {verdict}\r\n{retry_header}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


class _DeadlineSocketReader(io.RawIOBase):
    """Raw socket reader whose reads share one deadline."""

    def __init__(self, connection: socket.socket, on_progress: Callable[[int], None]):
        self._connection = connection
        self._on_progress = on_progress
        self.deadline = 0.0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        # Bytes that have arrived are read even after the deadline, which may have passed while the thread did not run.
        self._connection.settimeout(max(0.0, self.deadline - time.monotonic()))
        try:
            count = self._connection.recv_into(buffer)
        except BlockingIOError:
            raise TimeoutError("the request did not arrive in time") from None
        self._on_progress(count)
        return count


class Handler(WSGIRequestHandler):
    """Serves the requests of one connection in sequence."""

    protocol_version = "HTTP/1.1"
    server: Any

    def setup(self) -> None:
        """Replaces the reader by one with a deadline."""
        super().setup()
        slow_connections, connection = self.server.slow_connections, self.connection
        self.record_progress = lambda byte_count: slow_connections.record_progress(connection, byte_count)
        self._socket_reader = _DeadlineSocketReader(connection, self.record_progress)
        self.rfile = io.BufferedReader(self._socket_reader, _BUFFER_BYTES)
        self._is_reserved = self.server.is_reserved(self.connection)
        self._is_first_request = True
        self._stated_idle_s = 0
        self._ending = "caller"  # reason for the end of the connection, see `ConnectionEndings`

    def handle(self) -> None:
        """Serves requests until either side closes the connection or the server drains."""
        try:
            self.close_connection = True
            self.handle_one_request()
            while not self.close_connection:
                self.handle_one_request()
        except (ConnectionError, TimeoutError, OSError):
            if self._ending == "response":  # reset by the caller after it
                self._ending = "caller"
        finally:
            is_closed_slow = self.server.is_closed_slow(self.connection)
            self.server.endings.record("evicted_slow" if is_closed_slow else self._ending)

    def handle_one_request(self) -> None:
        """Reads and serves one request; rejects it if it is malformed, too large or too slow."""
        if not self._wait_for_request():
            self.close_connection = True
            return
        limits = self.server.limits
        header_s = min(limits.header_s, _RESERVED_HEADER_TIMEOUT_S) if self._is_reserved else limits.header_s
        self._socket_reader.deadline = time.monotonic() + header_s
        self.command, self.request_version, self.requestline = "", "HTTP/1.1", ""
        # What a rejected request holds is given back before its rest is discarded, which may take seconds.
        rejection = None
        with contextlib.ExitStack() as stack:
            try:
                body = self._read_request(stack)
            except _RequestError as error:
                rejection = error.without_frames()
            except TimeoutError:
                rejection = _RequestError(408, "request_timeout", "the request did not arrive in time")
            except OSError:
                raise
            except Exception:
                _log.exception("the request could not be read")
                rejection = _RequestError(500, "internal_error", "internal error")
            else:
                if body is not None:
                    self.connection.settimeout(None)
                    self._run_application(body)
        if rejection is not None:
            self._reject(rejection)

    def _read_request(self, stack: contextlib.ExitStack) -> bytes | None:
        """Reads a request and returns its body, None if there is nothing to serve; `stack` holds its memory."""
        with self.waiting(Stage.HEAD):
            if not self._read_head():
                return None
        self._prepare_environ()
        owner = self.server.body_owner(self.headers.get("Authorization", ""))
        reservation = stack.enter_context(self.server.body_budget.open(owner))
        with self.waiting(Stage.BODY, lambda: reservation.size > 0):
            return self._read_body(reservation)

    def waiting(
        self, stage: Stage, holds_memory: Callable[[], bool] = lambda: False
    ) -> contextlib.AbstractContextManager:
        """Marks the connection as waiting for its caller until the context ends, see `SlowConnections`."""
        return self.server.slow_connections.waiting(self.connection, stage, holds_memory)

    def _read_head(self) -> bool:
        """Reads request line and headers; returns False if there is nothing to serve."""
        limits = self.server.limits
        self.raw_requestline = self.rfile.readline(limits.header_bytes + 1)
        if self.raw_requestline in (b"\r\n", b"\n"):  # before a request line, an empty line is ignored (RFC 9112)
            self.close_connection = False
            return False
        if not self.raw_requestline.endswith(b"\n"):
            if len(self.raw_requestline) <= limits.header_bytes:
                raise end_of_input_error()
            raise _RequestError(414, "request_line_too_long", "the request line is too long", "path")
        if not self._parse_head():
            return False
        self._check_headers()
        if self._is_reserved and not self.path.startswith(limits.reserved_paths):
            raise _RequestError(503, "too_many_connections", "too many connections")
        return True

    def _parse_head(self) -> bool:
        """Parses the request line and reads the headers; returns False if the request has been rejected."""
        limits, stream = self.server.limits, self.rfile
        self.rfile = HeadReader(stream, _RAW_HEADER_FACTOR * limits.header_bytes)
        try:
            check_head_line(self.raw_requestline)
            return self.parse_request()
        except MalformedHeadError as error:
            raise _RequestError(400, "bad_header", str(error), "headers") from None
        except HeadTooLargeError:
            raise _RequestError(
                431, "headers_too_large", f"headers exceed {limits.header_bytes} bytes", "headers"
            ) from None
        finally:
            self.rfile = stream

    def _wait_for_request(self) -> bool:
        """Waits for the first byte of a request; returns False on end of input or when the server drains.

        A request that has already been sent is served in any case. The wait follows changes of the limits.
        """
        is_first, self._is_first_request = self._is_first_request, False
        if is_first and self._has_input_within(min(self._max_idle_s(), _FIRST_REQUEST_WAIT_S)):
            return True
        if self._has_input_within(0):  # of a pipelined request
            return True
        idle_since = time.monotonic()
        with self.server.idle_connection(self.connection) as wake_up:
            while (descriptor := wake_up()) is not None:
                readable = self._poll_with(descriptor, idle_since + self._max_idle_s() - time.monotonic())
                if not readable or self.connection.fileno() in readable:
                    self._ending = "caller" if readable else "idle"
                    break
            else:
                self._ending = "draining" if self.server.draining() else "evicted"
            return self._has_input_within(_PENDING_INPUT_WAIT_S)

    def _max_idle_s(self) -> float:
        limits = self.server.limits
        if self._is_reserved:
            return min(limits.header_s, _RESERVED_HEADER_TIMEOUT_S)
        # A lower limit does not shorten the time that the caller was told.
        stated_s = self._stated_idle_s + _IDLE_MARGIN_S if self._stated_idle_s else 0.0
        return max(limits.idle_s, stated_s)

    def state_idle_time(self) -> int:
        """Returns the whole seconds for which the caller may use the idle connection again, 0 if none can be stated.

        The connection stays open for that time, unless the server drains or needs it for another caller.
        """
        self._stated_idle_s = max(0, int(self.server.limits.idle_s - _IDLE_MARGIN_S))
        return self._stated_idle_s

    def _poll_with(self, descriptor: int, timeout_s: float) -> list[int]:
        """Waits until the connection or `descriptor` is readable; returns those that are, none after a timeout."""
        poller = select.poll()
        poller.register(self.connection, select.POLLIN)
        poller.register(descriptor, select.POLLIN)
        return [ready for ready, _ in poller.poll(max(0.0, timeout_s) * 1000)]

    def _has_input_within(self, timeout_s: float) -> bool:
        self._socket_reader.deadline = time.monotonic() + timeout_s
        try:
            return bool(self.rfile.peek(1))
        except TimeoutError:
            return False

    def handle_expect_100(self) -> bool:
        """Sends nothing yet: `_read_body` asks for the body once its size is known to be acceptable."""
        return True

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Rejects a request that `http.server` cannot parse, with a JSON body instead of HTML."""
        phrase = message or HTTPStatus(code).phrase
        raise _RequestError(int(code), "bad_request", phrase)

    def _check_headers(self) -> None:
        limits = self.server.limits
        if sum(len(name) + len(value) + 4 for name, value in self.headers.items()) > limits.header_bytes:
            raise _RequestError(431, "headers_too_large", f"headers exceed {limits.header_bytes} bytes", "headers")
        for name, value in self.headers.items():
            # Parsers interpret folded and malformed headers differently, which permits request smuggling.
            if not _HEADER_NAME.fullmatch(name) or any(char in value for char in "\r\n\0"):
                raise _RequestError(400, "bad_header", "a header is malformed", "headers")
        if self.headers.defects:
            raise _RequestError(400, "bad_header", "the headers are malformed", "headers")

    def _read_body(self, reservation: BodyReservation) -> bytes:
        limits = self.server.limits
        lengths = self.headers.get_all("Content-Length", [])
        encodings = self.headers.get_all("Transfer-Encoding", [])
        if len(lengths) > 1 or (lengths and encodings):
            message = "Content-Length is given more than once or together with Transfer-Encoding"
            raise _RequestError(400, "conflicting_length", message, "Content-Length")
        self._socket_reader.deadline = time.monotonic() + limits.body_s
        if encodings:
            if [value.strip().lower() for value in encodings] != ["chunked"] or self.request_version < "HTTP/1.1":
                message = "only the transfer encoding chunked is supported"
                raise _RequestError(501, "unknown_encoding", message, "Transfer-Encoding")
            self._send_continue()
            return self._read_chunked(limits.body_bytes, reservation)
        if not lengths:
            return b""
        if not (lengths[0].isascii() and lengths[0].isdigit()) or len(lengths[0]) > 18:
            message = "Content-Length must be a number of at least 0"
            raise _RequestError(400, "bad_length", message, "Content-Length")
        length = int(lengths[0])
        if length > limits.body_bytes:
            raise _RequestError(413, "body_too_large", f"the body exceeds {limits.body_bytes} bytes", "body")
        self._reserve(reservation, length)
        self._send_continue()
        body = self.rfile.read(length)
        if len(body) < length:
            raise end_of_input_error()
        return body

    def _reserve(self, reservation: BodyReservation, size: int) -> None:
        """Waits for memory for a body, which stays unread meanwhile."""
        started = time.monotonic()
        if not reservation.grow(size, self.server.limits.body_wait_s):
            raise _RequestError(503, "body_memory", "too many large requests at the moment")
        self._socket_reader.deadline += time.monotonic() - started

    def _reserve_chunk(self, reservation: BodyReservation, size: int, limit: int) -> int:
        """Reserves memory for a body that has grown to `size` bytes and may grow on to `limit`; returns the new size.

        Once it is not small any more, the largest size is reserved: bodies that hold a part and wait for more would
        block each other.
        """
        reserved = min(limit, _CHUNKED_RESERVE_BYTES) if size <= _CHUNKED_RESERVE_BYTES else limit
        self._reserve(reservation, reserved)
        return reserved

    def _send_continue(self) -> None:
        if "100-continue" in self.headers.get("Expect", "").lower():
            self.connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _read_chunked(self, limit: int, reservation: BodyReservation) -> bytes:
        # Unlike a bytearray, it hands its content over without a copy.
        body, size, read_count = io.BytesIO(), 0, 0
        reserved = min(limit, _FREE_CHUNKED_BYTES)
        reader = ChunkedReader(self.rfile, _RAW_HEADER_FACTOR * self.server.limits.header_bytes)
        try:
            while True:
                reader.wait()
                read_count += 1
                # Beyond what is reserved, one byte tells whether the body goes on: the rest waits unread.
                read_bytes = min(_MAX_CHUNK_READ_BYTES, max(1, reserved - size))
                with self.server.decoding_turn if read_count > _FEW_CHUNK_READS else contextlib.nullcontext():
                    chunk = reader.read_buffered(read_bytes)
                if not chunk and not (chunk := reader.read(read_bytes)):
                    break
                size += len(chunk)
                if size > limit:
                    raise _RequestError(413, "body_too_large", f"the body exceeds {limit} bytes", "body")
                if size > reserved:
                    reserved = self._reserve_chunk(reservation, size, limit)
                body.write(chunk)
        except ValueError as error:
            raise _RequestError(400, "bad_chunk", f"the chunked body is malformed: {error}", "body") from None
        reservation.shrink(size)
        return body.getvalue()

    def _reject(self, error: _RequestError) -> None:
        self.close_connection = True
        self._ending = "rejected"
        self.server.endings.record_rejection(error.status, error.code, *self._origin())
        self.connection.settimeout(self.server.limits.write_s)
        self.connection.sendall(error_response(error.status, error.code, str(error), error.param))
        self._discard_input()

    def _discard_input(self) -> None:
        """Discards unread input: with it, a close would reset the connection and the caller could lose the response.

        Ends once the caller closes the connection, pauses, or has had time for a body.
        """
        end = time.monotonic() + min(self.server.limits.body_s, _MAX_DISCARD_S)
        try:
            self.connection.shutdown(socket.SHUT_WR)
            with self.waiting(Stage.DISCARD):
                while (now := time.monotonic()) < end:
                    self.connection.settimeout(min(end - now, _DISCARD_PAUSE_S))
                    if not self.connection.recv_into(_DISCARD_BUFFER, 0, socket.MSG_TRUNC):
                        return
        except OSError:
            pass

    def _origin(self) -> tuple[str, str]:
        """Returns the address of the caller and the request line without its query, for the log."""
        return "{}:{}".format(*self.client_address[:2]), self.requestline.partition("?")[0]

    def _prepare_environ(self) -> None:
        try:
            self.environ = self.make_environ()
        except ValueError as error:
            raise _RequestError(400, "bad_target", f"the target is no valid URL: {error}", "path") from None
        self.environ["arbutusrill.headers"] = self.headers.items()
        self.environ["arbutusrill.target"] = self.requestline.split()[1]  # `path` has one slash at its start at most
        self.environ.pop("HTTP_TRANSFER_ENCODING", None)

    def _run_application(self, body: bytes) -> None:
        self.environ["wsgi.input"] = io.BytesIO(body)
        self.environ["CONTENT_LENGTH"] = str(len(body))
        self.environ["wsgi.input_terminated"] = True
        if self._is_reserved:
            self.close_connection = True
        self._ending = "response"
        response = ResponseWriter(self)
        try:
            chunks = self.server.app(self.environ, response.start)
            try:
                for chunk in chunks:
                    response.write(chunk)
            finally:
                if hasattr(chunks, "close"):
                    chunks.close()
            response.finish()
        except Exception as error:
            self.close_connection = True
            # An error of another connection of the application says nothing about the caller, who gets a response.
            if not (isinstance(error, AbortStreamError) or response.has_failed):
                _log.exception("the application raised an exception")
                if not response.head_sent:
                    self._reject(_RequestError(500, "internal_error", "internal error"))
                    return
            elif not response.head_sent:
                self._reject(_RequestError(502, "aborted", "the request was ended before its response"))
                return
            self._ending = "cut"
            self.server.endings.record_cut(response.head_sent, repr(error), *self._origin())
            if response.ends_with_connection:
                self.server.reset_on_close(self.connection)

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        """Logs nothing: the application logs requests with their request ID."""
