"""Writer of HTTP responses."""

from __future__ import annotations

import re
import socket
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from typing import Any

from ._slow_connections import Stage

__all__ = ["ResponseWriter"]


# Larger parts of a body are sent without a copy that joins them to their head, and in pieces of this size, so that the
# progress of their reader is known.
_MAX_JOINED_BYTES = 64 * 1024
# Parts from this size on, after the first one, are bulk data: they are sent one at a time, so that the threads that
# forward large responses wait for a lock rather than for the processor. Most events are smaller.
_MIN_BULK_BYTES = 8 * 1024
_NO_TURN = nullcontext()
_MAX_QUOTED_CHARACTERS = 60
_STATUS = re.compile(r"[1-5][0-9]{2} [\t\x20-\x7e\x80-\xff]*")
_FIELD = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\U0010ffff]*")
_DO_NOT_WAIT, _MORE = int(socket.MSG_DONTWAIT), int(socket.MSG_MORE)  # combining the enums takes longer than a send


class ResponseWriter:
    """Writes one WSGI response, with chunked encoding if it has no Content-Length.

    Each `write` makes one send, unless its part of the body is large. `handler` is the request handler of the
    connection; its `close_connection` says whether the connection closes after the response.
    """

    def __init__(self, handler: Any):
        self._handler = handler
        self._status = ""
        self._headers: list[tuple[str, str]] = []
        self._chunked = False
        self._has_body = True
        self._has_begun_body = False  # whether a part of the body was sent
        self.head_sent = False
        self.has_failed = False  # whether a send failed, that is, the caller is gone or does not read
        self.ends_with_connection = False  # whether only the end of the connection marks the end of the body

    def start(self, status: str, headers: list[tuple[str, str]], exc_info: Any = None) -> Callable[[bytes], None]:
        """Implements `start_response` of WSGI: stores status and headers until the first write.

        Raises `ValueError` for a status or a header that HTTP does not allow, before anything is sent.
        """
        if self.head_sent:
            raise RuntimeError("start_response called after the response head was sent")
        if not _STATUS.fullmatch(status):
            raise ValueError(f"{status[:_MAX_QUOTED_CHARACTERS]!r} is no status of a response")
        for name, value in headers:
            if not _FIELD.fullmatch(f"{name}: {value}"):
                raise ValueError(f"the header {name[:_MAX_QUOTED_CHARACTERS]!r} has an invalid name or value")
        self._status, self._headers = status, headers
        return self.write

    def _build_head(self) -> bytes:
        handler = self._handler
        names = {name.lower() for name, _ in self._headers}
        code = int(self._status.split(None, 1)[0])
        lines = [f"HTTP/1.1 {self._status}", *(f"{name}: {value}" for name, value in self._headers)]
        if "date" not in names:
            lines.append(f"Date: {handler.date_time_string()}")
        no_body = code in (204, 304) or code < 200
        self._has_body = not no_body and handler.command != "HEAD"
        if "content-length" not in names and self._has_body:
            self._chunked = handler.request_version >= "HTTP/1.1"
            if self._chunked:
                lines.append("Transfer-Encoding: chunked")
            else:
                self.ends_with_connection = handler.close_connection = True
        if handler.server.draining():
            handler.close_connection = True
        if handler.close_connection:
            lines.append("Connection: close")
        else:
            if handler.request_version < "HTTP/1.1":
                lines.append("Connection: keep-alive")
            if idle_s := handler.state_idle_time():
                lines.append(f"Keep-Alive: timeout={idle_s}")
        self.head_sent = True
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")

    def write(self, data: bytes) -> None:
        """Writes a part of the body, preceded by the head on the first call."""
        head = b"" if self.head_sent else self._build_head()
        if not self._has_body:
            data = b""
        is_bulk = self._has_begun_body and len(data) >= _MIN_BULK_BYTES
        turn = self._handler.server.bulk_turn if is_bulk else _NO_TURN
        tail = b""
        if data and self._chunked:
            head, tail = b"%b%x\r\n" % (head, len(data)), b"\r\n"
        if len(data) > _MAX_JOINED_BYTES:
            if head:
                self._send(head, _MORE)
            self._send(data, _MORE if tail else 0, turn)
            if tail:
                self._send(tail)
        elif head or data:
            self._send(b"%b%b%b" % (head, data, tail) if head else data, turn=turn)
        self._has_begun_body = self._has_begun_body or bool(data)

    def finish(self) -> None:
        """Writes the head if it has not been sent, and the final chunk of a chunked body."""
        if not self.head_sent:
            self.write(b"")
        if self._chunked:
            self._send(b"0\r\n\r\n")

    def _send_now(self, data: bytes, flags: int) -> int:
        """Sends what the send buffer takes at once, for most callers all of it; returns the number of bytes."""
        try:
            return self._handler.connection.send(data, flags | _DO_NOT_WAIT)
        except BlockingIOError:
            return 0

    def _send(self, data: bytes, flags: int = 0, turn: AbstractContextManager = _NO_TURN) -> None:
        handler = self._handler
        try:
            if len(data) <= _MAX_JOINED_BYTES:
                with turn:
                    sent = self._send_now(data, flags)
                if sent < len(data):
                    with handler.waiting(Stage.RESPONSE):
                        handler.connection.sendall(memoryview(data)[sent:], flags)
                return
            with handler.waiting(Stage.RESPONSE, lambda: True), memoryview(data) as view:
                for start in range(0, len(data), _MAX_JOINED_BYTES):
                    piece = view[start : start + _MAX_JOINED_BYTES]
                    more = flags if start + _MAX_JOINED_BYTES >= len(data) else flags | _MORE
                    sent = 0
                    if turn is not _NO_TURN:
                        with turn:
                            sent = self._send_now(piece, more)
                    if sent < len(piece):
                        handler.connection.sendall(piece[sent:], more)
                    handler.record_progress(len(piece))
        except OSError as error:
            self.has_failed = True
            if isinstance(error, BlockingIOError):
                raise TimeoutError("send timed out: the caller does not read the response") from None
            raise
