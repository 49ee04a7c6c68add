"""Forwarding of the complete events of a stream to its caller."""

from __future__ import annotations

import re
import time

from ._attempt import BodyReceiver
from ._exchange import Exchange
from ._protocol import ResponseHead

__all__ = ["CallerDisconnectedError", "EventRelay"]

_MAX_EVENT_BYTES = 1_048_576  # also of a response that is not a stream
_END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
_EVENT_STREAM = "text/event-stream"
_EVENT = re.compile(rb"(?:(?:[\w-]*:[^\n]*|data)?\r?\n)*")  # lines with a field or a comment
_OUTSIDE_EVENT = re.compile(rb"(?:(?::[^\n]*)?\r?\n)*(?::[^\n]*|[ \t\r]*)")  # comments and empty lines


class CallerDisconnectedError(Exception):
    """The caller's connection failed while an event was written to it."""


class EventRelay(BodyReceiver):
    """Forwards the events of a stream to the caller; incomplete events are buffered, up to `_MAX_EVENT_BYTES`.

    What is buffered has its room in the memory of the exchange; the attempt ends if there is none.
    `last_id` is the id of the last event forwarded. Events up to it are dropped if a resumed stream repeats them, and
    do not count as progress.
    """

    def __init__(self, exchange: Exchange):
        self._exchange = exchange
        self._buffer = bytearray()
        self._scanned_bytes = 0  # prefix of the buffer that holds no end of an event
        self._response_head: ResponseHead | None = None
        self._progress_at = time.monotonic()
        self._non_stream_bytes = 0
        self._has_event = False  # whether this attempt received a complete event, possibly a repeated one
        self._attempt_event_count = 0
        self._first_event_at = self._progress_at  # of this attempt
        self._is_prompt_sound = False
        self._event_at = self._progress_at  # of the last new event, whatever its attempt
        self.last_id: int | None = None
        self.forwarded_count = 0
        self.non_stream_body: list[bytes] = []  # chunks of a response that is not a stream, such as an error

    def on_head(self, status: int, headers_by_name: dict[str, str]) -> None:
        """Decides whether the body is a valid stream for this request.

        Drops the incomplete event of the previous attempt.
        """
        response = self._exchange.protocol.decode_response(status, headers_by_name)
        matches = response.request_id == self._exchange.request.id
        is_stream = headers_by_name.get("content-type", _EVENT_STREAM).lower().startswith(_EVENT_STREAM)
        self._drop_buffer()
        self._progress_at = time.monotonic()
        self._response_head = (
            response if matches and is_stream and response.stamped and status == 200 and not response.not_run else None
        )

    def begin_attempt(self) -> None:
        """Forgets what an earlier attempt received, except for the events that were forwarded."""
        self.problem, self.lacks_memory = "", False
        self.non_stream_body.clear()
        self._drop_buffer()
        self._non_stream_bytes = 0
        self._has_event = False
        self._attempt_event_count, self._is_prompt_sound = 0, False
        self._progress_at = time.monotonic()

    def on_data(self, data: bytes) -> None:
        """Processes a chunk of the body."""
        if self.problem:
            return
        if self._response_head is None:
            self._collect_non_stream(data)
            return
        self._buffer += data
        events = self._take_events()
        if events:
            self._forward(b"".join(events))
            self._record_prompt_events(len(events))
        self._exchange.memory.shrink(len(self._buffer))
        self._check_size(len(self._buffer), "an event")

    def _check_size(self, size: int, part: str) -> None:
        """Ends the attempt if what is kept of its response exceeds its limit or the memory."""
        if size > _MAX_EVENT_BYTES:
            self.problem = f"{part} exceeds {_MAX_EVENT_BYTES} bytes"
        elif not self._exchange.has_room_for(size):
            self.problem, self.lacks_memory = f"no memory for {part} of {size} bytes", True
        if self.problem:
            self.non_stream_body.clear()
            self._drop_buffer()

    def _drop_buffer(self) -> None:
        self._buffer.clear()
        self._scanned_bytes = 0
        self._exchange.memory.shrink(0)

    def _record_prompt_events(self, new_count: int) -> None:
        """Records the progress of this attempt until it shows that the prompt is sound."""
        now = time.monotonic()
        if not self._attempt_event_count:
            self._first_event_at = now
        self._attempt_event_count += new_count
        if not self._is_prompt_sound:
            streamed_s = now - self._first_event_at
            self._is_prompt_sound = self._exchange.record_prompt_events(self._attempt_event_count, streamed_s)

    def _collect_non_stream(self, data: bytes) -> None:
        self._non_stream_bytes += len(data)
        self.non_stream_body.append(data)
        self._check_size(self._non_stream_bytes, "a response that is not a stream")

    def _take_events(self) -> list[bytes]:
        """Removes the complete events from the buffer and returns the new ones."""
        events, start = [], 0
        search_from = max(0, self._scanned_bytes - len(b"\r\n\r"))
        while separator := _END_OF_EVENT.search(self._buffer, search_from):
            event, start = bytes(self._buffer[start : separator.end()]), separator.end()
            search_from = start
            if not _EVENT.fullmatch(event):
                self.problem = "a line of an event is no field"
                break
            if _OUTSIDE_EVENT.fullmatch(event):
                events.append(event)
                continue
            self._has_event = True
            event_id = self._exchange.protocol.event_id(event)
            if event_id is not None:
                if self.last_id is not None and event_id <= self.last_id:
                    continue
                self.last_id = event_id
            events.append(event)
            self.forwarded_count += 1
            self._record_event_time()
        del self._buffer[:start]
        self._scanned_bytes = len(self._buffer)
        return events

    def _record_event_time(self) -> None:
        now = time.monotonic()
        if self.forwarded_count > 1:
            self._exchange.longest_pause_s = max(self._exchange.longest_pause_s, now - self._event_at)
        self._event_at = self._progress_at = now

    def progress_at(self) -> float:
        """Returns when the last new event was complete, or when the head arrived."""
        return self._progress_at

    def incompleteness(self, resume_after: str) -> str:
        """Returns why a complete response with status 200 is no complete stream, or an empty text.

        A caller's own resumption may be answered without an event. A response that is no event stream is complete if
        nothing was forwarded before it.
        """
        begun = bool(self._exchange.responder.status)
        if begun and self._response_head is None:
            return "the response is no event stream"
        if not _OUTSIDE_EVENT.fullmatch(self._buffer):
            return "the stream ended inside an event"
        if not (self._has_event or self.non_stream_body) and (begun or not resume_after):
            return "a success without an event"
        return ""

    def finish(self) -> bool:
        """Forwards what follows the last event of a complete stream; returns whether the response is a stream.

        The response to a resumed stream may be empty, in which case only its head is forwarded.
        """
        if self._response_head is None:
            return False
        if self._buffer or not self._exchange.responder.status:
            self._forward(bytes(self._buffer))
            self._drop_buffer()
        return True

    def _forward(self, data: bytes) -> None:
        exchange = self._exchange
        try:
            if not exchange.responder.status:
                exchange.first_event_s = time.monotonic() - exchange.started
                headers = [header for header in self._response_head.headers if header[0].lower() != "content-length"]
                exchange.responder.send_head(200, headers)
            exchange.responder.write(data)
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from error
