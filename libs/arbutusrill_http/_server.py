"""HTTP server on werkzeug: bounded connections, time limits on every read, keep-alive and aborted streams."""

from __future__ import annotations

import contextlib
import io
import json
import select
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from arbutusrill_base import PartLog, TaskGroup
from werkzeug.serving import BaseWSGIServer, DechunkedInput, WSGIRequestHandler

__all__ = ["AbortStreamError", "HttpLimits", "HttpServer", "caller_gone"]

_log = PartLog("http")


@dataclass(slots=True, frozen=True)
class HttpLimits:
    """Bounds of an HTTP server. Times are in seconds, sizes in bytes."""

    connections: int = 256
    header_bytes: int = 32_768
    body_bytes: int = 8 * 1024 * 1024
    header_s: float = 10.0
    body_s: float = 30.0
    idle_s: float = 30.0
    write_s: float = 10.0


class AbortStreamError(Exception):
    """Raised by an application to cut a response so that the caller sees that it is incomplete."""


class _BadRequestError(Exception):
    def __init__(self, status: int, code: str, message: str):
        super().__init__(message)
        self.status = status
        self.code = code


class _TimedSocketReader(io.RawIOBase):
    """Raw reader of a socket that keeps to one deadline over many reads."""

    def __init__(self, connection: socket.socket):
        self._connection = connection
        self.deadline = 0.0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("the request did not arrive in time")
        self._connection.settimeout(remaining)
        return self._connection.recv_into(buffer)


class _Handler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _Server

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self._raw = _TimedSocketReader(self.connection)
        self.rfile = io.BufferedReader(self._raw, 65_536)

    def handle(self) -> None:
        try:
            self.close_connection = True
            self.handle_one_request()
            while not self.close_connection and not self.server.draining():
                self.handle_one_request()
        except (ConnectionError, TimeoutError, OSError):
            pass

    def handle_one_request(self) -> None:
        limits = self.server.limits
        self._raw.deadline = time.monotonic() + limits.idle_s
        if not self._wait_for_request():
            self.close_connection = True
            return
        self._raw.deadline = time.monotonic() + limits.header_s
        self.raw_requestline = self.rfile.readline(limits.header_bytes + 1)
        if not self.raw_requestline.endswith(b"\n"):
            self._refuse(_BadRequestError(414, "request_line_too_long", "the request line is too long"))
            return
        try:
            if not self.parse_request():
                return
            body = self._read_body()
        except _BadRequestError as problem:
            self._refuse(problem)
            return
        except TimeoutError:
            self._refuse(_BadRequestError(408, "request_timeout", "the request did not arrive in time"))
            return
        self.connection.settimeout(limits.write_s)
        self._serve(body)

    def _wait_for_request(self) -> bool:
        """Waits for the first byte of a request; a draining server ends this wait."""
        with self.server.idle_connection(self.connection):
            return not self.server.draining() and bool(self.rfile.peek(1))

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Answers a request that http.server refuses, as JSON and without a stack of HTML."""
        phrase = message or HTTPStatus(code).phrase
        self._refuse(_BadRequestError(int(code), "bad_request", phrase))

    def _read_body(self) -> bytes:
        limits = self.server.limits
        if sum(len(name) + len(value) + 4 for name, value in self.headers.items()) > limits.header_bytes:
            raise _BadRequestError(431, "headers_too_large", f"headers exceed {limits.header_bytes} bytes")
        lengths = self.headers.get_all("Content-Length", [])
        encodings = self.headers.get_all("Transfer-Encoding", [])
        if len(lengths) > 1 or (lengths and encodings):
            raise _BadRequestError(400, "conflicting_length", "Content-Length is given more than once or conflicts")
        self._raw.deadline = time.monotonic() + limits.body_s
        if "100-continue" in self.headers.get("Expect", "").lower():
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if encodings:
            if [value.strip().lower() for value in encodings] != ["chunked"]:
                raise _BadRequestError(501, "unknown_encoding", "only the transfer encoding chunked is supported")
            return self._read_chunked(limits.body_bytes)
        if not lengths:
            return b""
        if not (lengths[0].isascii() and lengths[0].isdigit()):
            raise _BadRequestError(400, "bad_length", "Content-Length must be a number of at least 0")
        size = int(lengths[0])
        if size > limits.body_bytes:
            raise _BadRequestError(413, "body_too_large", f"the body exceeds {limits.body_bytes} bytes")
        body = self.rfile.read(size)
        if len(body) < size:
            raise ConnectionResetError("the caller left before the end of its body")
        return body

    def _read_chunked(self, limit: int) -> bytes:
        body = bytearray()
        reader = DechunkedInput(self.rfile)
        try:
            while piece := reader.read(65_536):
                body += piece
                if len(body) > limit:
                    raise _BadRequestError(413, "body_too_large", f"the body exceeds {limit} bytes")
        except TimeoutError:
            raise
        except (OSError, ValueError) as error:
            raise _BadRequestError(400, "bad_chunk", f"the chunked body is malformed: {error}") from None
        return bytes(body)

    def _refuse(self, problem: _BadRequestError) -> None:
        self.close_connection = True
        error = {"message": str(problem), "type": "invalid_request_error", "param": None, "code": problem.code}
        body = json.dumps({"error": {**error, "verdict": "not_run"}}).encode()
        self.connection.settimeout(self.server.limits.write_s)
        self._raw.deadline = time.monotonic() + 1.0
        head = f"HTTP/1.1 {problem.status} {HTTPStatus(problem.status).phrase}\r\nContent-Type: application/json\r\n"
        self.wfile.write(f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)
        self._drain()

    def _drain(self) -> None:
        """Reads what the caller still sends, so that closing does not reset the answer away."""
        try:
            self.connection.shutdown(socket.SHUT_WR)
            for _ in range(256):
                if not self.rfile.read1(65_536):
                    return
        except OSError:
            pass

    def _serve(self, body: bytes) -> None:
        self.environ = self.make_environ()
        self.environ["wsgi.input"] = io.BytesIO(body)
        self.environ["CONTENT_LENGTH"] = str(len(body))
        self.environ["wsgi.input_terminated"] = True
        self.environ.pop("HTTP_TRANSFER_ENCODING", None)
        response = _ResponseWriter(self)
        try:
            pieces = self.server.app(self.environ, response.start)
            try:
                for piece in pieces:
                    response.write(piece)
            finally:
                if hasattr(pieces, "close"):
                    pieces.close()
            response.finish()
        except AbortStreamError:
            self.close_connection = True
        except (ConnectionError, TimeoutError):
            self.close_connection = True
        except Exception:
            _log.exception("application failed")
            self.close_connection = True
            if not response.head_sent:
                self._refuse(_BadRequestError(500, "internal_error", "internal error"))

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        """Requests are logged by the application, with their request id."""


class _ResponseWriter:
    """Writes one WSGI response, chunked when its length is not known beforehand."""

    def __init__(self, handler: _Handler):
        self._handler = handler
        self._status = ""
        self._headers: list[tuple[str, str]] = []
        self._chunked = False
        self.head_sent = False

    def start(self, status: str, headers: list[tuple[str, str]], exc_info: Any = None) -> Callable[[bytes], None]:
        if self.head_sent:
            raise RuntimeError("the response has begun")
        self._status, self._headers = status, headers
        return self.write

    def _head(self) -> bytes:
        handler = self._handler
        names = {name.lower() for name, _ in self._headers}
        code = int(self._status.split(None, 1)[0])
        lines = [f"HTTP/1.1 {self._status}", *(f"{name}: {value}" for name, value in self._headers)]
        if "date" not in names:
            lines.append(f"Date: {handler.date_time_string()}")
        if "content-length" not in names and code not in (204, 304) and handler.command != "HEAD":
            self._chunked = handler.request_version >= "HTTP/1.1"
            if self._chunked:
                lines.append("Transfer-Encoding: chunked")
            else:
                handler.close_connection = True
        if handler.server.draining():
            handler.close_connection = True
        if handler.close_connection:
            lines.append("Connection: close")
        self.head_sent = True
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def write(self, data: bytes) -> None:
        head = b"" if self.head_sent else self._head()
        if data and self._handler.command != "HEAD":
            if self._chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data)
        else:
            data = b""
        if head or data:
            self._handler.wfile.write(head + data)

    def finish(self) -> None:
        if not self.head_sent:
            self.write(b"")
        if self._chunked:
            self._handler.wfile.write(b"0\r\n\r\n")


class _Server(BaseWSGIServer):
    request_queue_size = 512
    multithread = True

    def __init__(self, host: str, port: int, app: Any, limits: HttpLimits):
        self.limits = limits
        self.tasks = TaskGroup("http", limits.connections + 1)
        self._idle_lock = threading.Lock()
        self._idle: set[socket.socket] = set()
        super().__init__(host, port, app, handler=_Handler)

    def draining(self) -> bool:
        return self.tasks.stopping.is_set()

    @contextlib.contextmanager
    def idle_connection(self, connection: socket.socket) -> Iterator[None]:
        """Marks a connection as waiting for its next request."""
        with self._idle_lock:
            self._idle.add(connection)
        try:
            yield
        finally:
            with self._idle_lock:
                self._idle.discard(connection)

    def drain(self) -> None:
        """Ends idle connections; those with a request under way close after its answer."""
        self.tasks.stopping.set()
        with self._idle_lock:
            for connection in self._idle:
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RD)

    def process_request(self, request: Any, client_address: Any) -> None:
        if self.tasks.start(self._handle, request, client_address) is None:
            _refuse_busy(request)
            self.shutdown_request(request)

    def _handle(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except OSError:
            pass
        finally:
            self.shutdown_request(request)

    def log(self, type: str, message: str, *args: Any) -> None:
        _log.info(message.replace("%", "%%") if not args else message, *args)


def _refuse_busy(connection: socket.socket) -> None:
    error = {"message": "too many connections", "type": "server_error", "param": None, "code": "too_many_connections"}
    body = json.dumps({"error": {**error, "verdict": "not_run"}}).encode()
    head = f"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    try:
        connection.settimeout(0.2)
        connection.sendall(f"{head}Retry-After: 1\r\nConnection: close\r\n\r\n".encode() + body)
        connection.shutdown(socket.SHUT_WR)
        # Closing with unread input would reset the connection before the caller has read the answer.
        connection.recv(65_536)
    except OSError:
        pass


class HttpServer:
    """Serves a WSGI application on one address until the context ends.

    The application gets the whole request body in memory and the caller's socket as
    ``environ["werkzeug.socket"]``. It may raise `AbortStreamError` after the response has begun.
    """

    def __init__(
        self,
        host: str,
        port: int,
        app: Callable[[dict, Callable], Iterable[bytes]],
        limits: HttpLimits | None = None,
    ):
        self._server = _Server(host, port, app, limits or HttpLimits())
        self.address = "{}:{}".format(*self._server.server_address[:2])

    def __enter__(self) -> HttpServer:
        self._server.tasks.start(self._server.serve_forever, 0.1)
        return self

    def __exit__(self, *_: object) -> None:
        self._server.drain()
        self._server.shutdown()
        self._server.server_close()
        self._server.tasks.close()


def caller_gone(connection: socket.socket) -> bool:
    """Says whether the peer of `connection` has closed or reset it."""
    poller = select.poll()
    poller.register(connection, select.POLLRDHUP)
    return bool(poller.poll(0))
