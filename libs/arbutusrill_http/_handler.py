"""Reading of HTTP requests from one connection, within bounds of size and time."""

from __future__ import annotations

import io
import json
import re
import socket
import time
from http import HTTPStatus
from typing import Any

from arbutusrill_base import PartLog
from werkzeug.serving import DechunkedInput, WSGIRequestHandler

from ._writer import ResponseWriter

__all__ = ["AbortStreamError", "Handler", "refusal"]

_RESERVED_HEADER_S = 2.0
_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_log = PartLog("http")


class AbortStreamError(Exception):
    """Raised by an application to cut a response so that the caller sees that it is incomplete."""


class _BadRequestError(Exception):
    def __init__(self, status: int, code: str, message: str, param: str | None = None):
        super().__init__(message)
        self.status = status
        self.code = code
        self.param = param


def refusal(status: int, code: str, message: str, param: str | None = None) -> bytes:
    """Returns a whole response that refuses a request which has not run."""
    kind = "invalid_request_error" if status < 500 else "server_error"
    verdict = "may_have_run" if status == 500 else "not_run"
    error = {"message": message, "type": kind, "param": param, "code": code, "verdict": verdict}
    body = json.dumps({"error": error}).encode()
    retry = "Retry-After: 1\r\n" if status == 503 else ""
    head = (
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Type: application/json\r\n"
        f"X-Verdict: {verdict}\r\n{retry}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


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


class Handler(WSGIRequestHandler):
    """Serves the requests of one connection, one after the other."""

    protocol_version = "HTTP/1.1"
    server: Any

    def setup(self) -> None:
        """Prepares the connection."""
        super().setup()
        self._raw = _TimedSocketReader(self.connection)
        self.rfile = io.BufferedReader(self._raw, 65_536)
        self._reserved = self.server.is_reserved(self.connection)

    def handle(self) -> None:
        """Serves requests until either side ends the connection."""
        try:
            self.close_connection = True
            self.handle_one_request()
            while not self.close_connection and not self.server.draining():
                self.handle_one_request()
        except (ConnectionError, TimeoutError, OSError):
            pass

    def handle_one_request(self) -> None:
        """Reads and serves one request."""
        limits = self.server.limits
        header_s = min(limits.header_s, _RESERVED_HEADER_S) if self._reserved else limits.header_s
        self._raw.deadline = time.monotonic() + (header_s if self._reserved else limits.idle_s)
        if not self._wait_for_request():
            self.close_connection = True
            return
        self._raw.deadline = time.monotonic() + header_s
        self.command, self.request_version = "", "HTTP/1.1"
        try:
            self.raw_requestline = self.rfile.readline(limits.header_bytes + 1)
            if not self.raw_requestline.endswith(b"\n"):
                raise _BadRequestError(414, "request_line_too_long", "the request line is too long", "path")
            if not self.parse_request():
                return
            self._check_headers()
            if self._reserved and not self.path.startswith(limits.reserved_paths):
                raise _BadRequestError(503, "too_many_connections", "too many connections")
            body = self._read_body()
        except _BadRequestError as problem:
            self._refuse(problem)
            return
        except TimeoutError:
            self._refuse(_BadRequestError(408, "request_timeout", "the request did not arrive in time"))
            return
        self.connection.settimeout(None)
        self._serve(body)

    def _wait_for_request(self) -> bool:
        """Waits for the first byte of a request; a draining server ends this wait."""
        with self.server.idle_connection(self.connection):
            return not self.server.draining() and bool(self.rfile.peek(1))

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Answers a request that http.server refuses, as JSON and without a stack of HTML."""
        phrase = message or HTTPStatus(code).phrase
        self._refuse(_BadRequestError(int(code), "bad_request", phrase))

    def _check_headers(self) -> None:
        limits = self.server.limits
        if sum(len(name) + len(value) + 4 for name, value in self.headers.items()) > limits.header_bytes:
            raise _BadRequestError(431, "headers_too_large", f"headers exceed {limits.header_bytes} bytes", "headers")
        for name, value in self.headers.items():
            # A folded or malformed header means different things to different readers.
            if not _NAME.fullmatch(name) or any(mark in value for mark in "\r\n\0"):
                raise _BadRequestError(400, "bad_header", "a header is malformed", "headers")
        if self.headers.defects:
            raise _BadRequestError(400, "bad_header", "the headers are malformed", "headers")

    def _read_body(self) -> bytes:
        limits = self.server.limits
        lengths = self.headers.get_all("Content-Length", [])
        encodings = self.headers.get_all("Transfer-Encoding", [])
        if len(lengths) > 1 or (lengths and encodings):
            message = "Content-Length is given more than once or together with Transfer-Encoding"
            raise _BadRequestError(400, "conflicting_length", message, "Content-Length")
        self._raw.deadline = time.monotonic() + limits.body_s
        if encodings:
            if [value.strip().lower() for value in encodings] != ["chunked"] or self.request_version < "HTTP/1.1":
                message = "only the transfer encoding chunked is supported"
                raise _BadRequestError(501, "unknown_encoding", message, "Transfer-Encoding")
            self._continue()
            return self._read_chunked(limits.body_bytes)
        if not lengths:
            return b""
        if not (lengths[0].isascii() and lengths[0].isdigit()) or len(lengths[0]) > 18:
            message = "Content-Length must be a number of at least 0"
            raise _BadRequestError(400, "bad_length", message, "Content-Length")
        size = int(lengths[0])
        if size > limits.body_bytes:
            raise _BadRequestError(413, "body_too_large", f"the body exceeds {limits.body_bytes} bytes", "body")
        self._continue()
        body = self.rfile.read(size)
        if len(body) < size:
            raise ConnectionResetError("the caller left before the end of its body")
        return body

    def _continue(self) -> None:
        if "100-continue" in self.headers.get("Expect", "").lower():
            self.connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _read_chunked(self, limit: int) -> bytes:
        body = bytearray()
        reader = DechunkedInput(self.rfile)
        try:
            while piece := reader.read(65_536):
                body += piece
                if len(body) > limit:
                    raise _BadRequestError(413, "body_too_large", f"the body exceeds {limit} bytes", "body")
        except TimeoutError:
            raise
        except (OSError, ValueError) as error:
            raise _BadRequestError(400, "bad_chunk", f"the chunked body is malformed: {error}", "body") from None
        return bytes(body)

    def _refuse(self, problem: _BadRequestError) -> None:
        self.close_connection = True
        self.connection.settimeout(self.server.limits.write_s)
        self.connection.sendall(refusal(problem.status, problem.code, str(problem), problem.param))
        self._raw.deadline = time.monotonic() + 1.0
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
        self.environ["arbutusrill.headers"] = self.headers.items()
        self.environ["arbutusrill.target"] = self.path
        self.environ.pop("HTTP_TRANSFER_ENCODING", None)
        if self._reserved:
            self.close_connection = True
        response = ResponseWriter(self)
        try:
            pieces = self.server.app(self.environ, response.start)
            try:
                for piece in pieces:
                    response.write(piece)
            finally:
                if hasattr(pieces, "close"):
                    pieces.close()
            response.finish()
        except (AbortStreamError, ConnectionError, TimeoutError):
            self.close_connection = True
        except Exception:
            _log.exception("application failed")
            self.close_connection = True
            if not response.head_sent:
                self._refuse(_BadRequestError(500, "internal_error", "internal error"))

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        """Requests are logged by the application, with their request id."""
