"""Strict parser of HTTP/1.1 responses, fed with bytes as they arrive."""

from __future__ import annotations

import re

from ._transfer_state import MAX_HEAD_BYTES, TransferState

__all__ = ["ResponseParser", "ResponseRefusedError"]

_TEXT = rb"[\t \x21-\x7e\x80-\xff]*"  # of a field value, a reason phrase or a chunk extension: no control characters
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2}) %b" % _TEXT)
_FIELD = re.compile(rb"([!#$%%&'*+.^_`|~0-9A-Za-z-]+):(%b)" % _TEXT)
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;%b)?" % _TEXT)
_LENGTH = re.compile(r"[0-9]{1,18}")
_PROTOCOL = b"HTTP/1."
_MAX_CHUNK_LINE_BYTES = 1024  # size and extensions
_MAX_QUOTED_BYTES = 80  # of a malformed line, in the detail of the error


class ResponseRefusedError(Exception):
    """The bytes are no response, or its reader takes no more of it; `error` and `detail` are those of the transfer."""

    def __init__(self, error: str, detail: str):
        super().__init__(detail)
        self.error = error
        self.detail = detail


class ResponseParser:
    """Passes the interim responses and one final response to a `TransferState`.

    Status lines, fields and chunk lines that RFC 9112 does not allow end the transfer with the error ``malformed``,
    wherever they stand: a caller could not read them, and a response that was spoiled proves nothing.
    `is_complete` is true once the response is complete, `is_reusable` if its connection may then be used again: its
    end was framed without any doubt, and the server neither closes the connection nor sent bytes beyond the response.
    """

    __slots__ = ("_buffer", "_is_head_request", "_left", "_reads", "_state", "is_complete", "is_reusable")

    def __init__(self, state: TransferState, method: str):
        self._state = state
        self._is_head_request = method == "HEAD"
        self._buffer = bytearray()
        self._left = 0  # bytes that are still due of the body or the chunk
        # A function rather than a method: a reference to this object would leave what the transfer holds, such as a
        # large body, to the garbage collector.
        self._reads = ResponseParser._read_status
        self.is_complete = False
        self.is_reusable = True

    @property
    def rest(self) -> bytes:
        """Bytes beyond the response."""
        return bytes(self._buffer) if self.is_complete else b""

    def feed(self, data: bytes) -> None:
        """Parses bytes; raises `ResponseRefusedError` if they are no response."""
        if not self._buffer and self._reads in (ResponseParser._read_body, ResponseParser._read_until_end):
            data = self._pass_body(data)  # without copies through the buffer
        self._buffer += data
        while not self.is_complete and self._reads(self):
            pass
        if self.is_complete and self._buffer:
            self.is_reusable = False

    def end(self) -> None:
        """Ends the input; raises `ResponseRefusedError` if the response is not complete."""
        if self._reads is ResponseParser._read_until_end:
            self.is_complete = True
        if self.is_complete:
            self.is_reusable = False
        elif not self._state.headers_done:
            raise ResponseRefusedError("broken", "the connection was closed within the head")
        else:
            raise ResponseRefusedError("broken", "the connection was closed within the body")

    def _check(self, outcome: int | None) -> None:
        if outcome is None:
            return
        raise ResponseRefusedError(*(self._state.refusal or ("callback", "ended by the reader of the response")))

    def _line(self, max_bytes: int, error: str, detail: str) -> bytes | None:
        """Removes a line from the buffer and returns it without its end; None if it is not complete."""
        end = self._buffer.find(b"\n")
        if (end if end >= 0 else len(self._buffer)) > max_bytes:
            raise ResponseRefusedError(error, detail)
        if end < 0:
            return None
        line = bytes(self._buffer[: end + 1])
        del self._buffer[: end + 1]
        if not line.endswith(b"\r\n"):
            raise ResponseRefusedError("malformed", "a line does not end with CR LF")
        return line[:-2]

    def _head_line(self) -> bytes | None:
        """Like `_line`, for the lines of heads and trailers."""
        left = MAX_HEAD_BYTES - self._state.head_bytes
        line = self._line(left, "too_large", f"the heads exceed {MAX_HEAD_BYTES} bytes")
        if line is not None:
            self._check(self._state.count_head_bytes(len(line) + 2))
        return line

    def _read_status(self) -> bool:
        start = bytes(self._buffer[: len(_PROTOCOL)])
        if not _PROTOCOL.startswith(start):
            raise ResponseRefusedError("malformed", "the bytes are no HTTP/1 response")
        line = self._head_line()
        if line is None:
            return False
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise ResponseRefusedError("malformed", f"the status line {line[:_MAX_QUOTED_BYTES]!r}")
        if match.group(1) == b"0":
            self.is_reusable = False
        self._state.begin_head(int(match.group(2)))
        self._reads = ResponseParser._read_field
        return True

    def _read_field(self) -> bool:
        line = self._head_line()
        if line is None:
            return False
        if not line:
            self._end_head()
            return True
        match = _FIELD.fullmatch(line)
        if match is None:
            raise ResponseRefusedError("malformed", f"the field {line[:_MAX_QUOTED_BYTES]!r} of the head")
        self._state.add_header(match[1].decode("latin-1"), match[2].decode("latin-1"))
        return True

    def _end_head(self) -> None:
        status = self._state.result.status
        if status == 101:
            raise ResponseRefusedError("malformed", "the server switches protocols")
        reads = (
            ResponseParser._read_status
            if status < 200
            else self._body_reader(status, self._state.result.headers_by_name)
        )
        self._check(self._state.end_head())
        self._reads = reads
        if status >= 200 and reads is ResponseParser._read_body and not self._left:
            self.is_complete = True

    def _body_reader(self, status: int, headers_by_name: dict[str, str]) -> object:
        """Returns the method that reads the body; raises `ResponseRefusedError` if its end is in doubt."""
        tokens = {token.strip().lower() for token in headers_by_name.get("connection", "").split(",")}
        if tokens & {"close", "upgrade"}:
            self.is_reusable = False
        length, coding = headers_by_name.get("content-length"), headers_by_name.get("transfer-encoding")
        if self._is_head_request or status in (204, 304):
            if status == 204 and (length or coding):
                self.is_reusable = False
            self._left = 0
            return ResponseParser._read_body
        if coding is not None:
            if coding.lower() != "chunked":
                raise ResponseRefusedError("malformed", f"transfer coding {coding[:40]!r}")
            if length is not None:
                self.is_reusable = False
            return ResponseParser._read_chunk_line
        if length is not None:
            values = [value.strip() for value in length.split(",")]  # it may be repeated
            if not all(_LENGTH.fullmatch(value) for value in values) or len({int(value) for value in values}) > 1:
                raise ResponseRefusedError("malformed", f"content length {length[:40]!r}")
            self._left = int(values[0])
            return ResponseParser._read_body
        self.is_reusable = False
        return ResponseParser._read_until_end

    def _take(self, count: int) -> None:
        """Passes up to `count` buffered bytes on."""
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        self._left -= len(data)
        self._check(self._state.add_data(data))

    def _pass_body(self, data: bytes) -> bytes:
        """Passes the bytes that belong to the body on and returns those beyond it."""
        count = len(data) if self._reads is ResponseParser._read_until_end else min(self._left, len(data))
        self._left -= count
        self._check(self._state.add_data(data[:count]))
        self.is_complete = self._reads is ResponseParser._read_body and not self._left
        return data[count:]

    def _read_body(self) -> bool:
        if not self._buffer:
            return False
        self._take(self._left)
        self.is_complete = not self._left
        return True

    def _read_until_end(self) -> bool:
        if self._buffer:
            self._take(len(self._buffer))
        return False

    def _read_chunk_line(self) -> bool:
        line = self._line(_MAX_CHUNK_LINE_BYTES, "malformed", "the size of a chunk is malformed")
        if line is None:
            return False
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise ResponseRefusedError("malformed", "the size of a chunk is malformed")
        self._left = int(match.group(1), 16)
        self._reads = ResponseParser._read_chunk if self._left else ResponseParser._read_trailer
        return True

    def _read_chunk(self) -> bool:
        if self._left:
            if not self._buffer:
                return False
            self._take(self._left)
            return True
        if len(self._buffer) < 2:
            return False
        if self._buffer[:2] != b"\r\n":
            raise ResponseRefusedError("malformed", "a chunk has another length than stated")
        del self._buffer[:2]
        self._reads = ResponseParser._read_chunk_line
        return True

    def _read_trailer(self) -> bool:
        """Reads trailer fields, which are dropped: in the head, they could turn an answer into a refusal."""
        line = self._head_line()
        if line is None:
            return False
        if line and not _FIELD.fullmatch(line):
            raise ResponseRefusedError("malformed", f"the field {line[:_MAX_QUOTED_BYTES]!r} of the trailer")
        self.is_complete = not line
        return True
