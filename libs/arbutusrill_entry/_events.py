"""Parser for the event stream of an engine."""

from __future__ import annotations

import json

from arbutusrill_http import BodyReservation

__all__ = ["EventReader"]

_MAX_EVENT_BYTES = 65_536  # of one token
_GRANULE_BYTES = 8192  # in which memory is reserved


class EventReader:
    r"""Incremental parser that accepts only events of one request with consecutive token offsets.

    `first_offset` is the offset of the first expected token and `end_offset` that after the last one. An invalid event
    ends parsing: `problem` then describes it, `request_mismatch` tells whether it belongs to another request and
    `is_endless` whether it, or the stream, exceeds what the request can have. The texts and the incomplete event take
    room in `memory`, whose owner releases it; without room, `lacks_memory` is set with `problem`. `text_bytes` is the
    size of the texts so far, those of earlier readers of the request included.

    >>> from arbutusrill_http import BodyBudget
    >>> reader = EventReader("r", 0, 9, BodyBudget(None).open(""))
    >>> reader.on_head(200, {})
    >>> reader.feed(b'data: {"request_id": "r", "offset": 0, "token": "a"}\n\ndata: {"requ')
    ['a']
    """

    def __init__(
        self, request_id: str, first_offset: int, end_offset: int, memory: BodyReservation, text_bytes: int = 0
    ):
        self._request_id = request_id
        self._offset = first_offset
        self._end_offset = end_offset
        self._memory = memory
        self.text_bytes = text_bytes
        self._buffer = b""
        self._status = 200
        self.finish_reason = ""
        self.problem = ""
        self.request_mismatch = self.is_endless = self.lacks_memory = False

    def next_offset(self) -> int:
        """Returns the offset of the next expected token."""
        return self._offset

    def restart(self) -> None:
        """Discards a partial event before the stream continues over a new connection."""
        self._buffer = b""
        self.problem = ""

    def on_head(self, status: int, _: dict[str, str]) -> None:
        """Stores the status; the body of a response other than 200 is not parsed as events."""
        self._status = status

    def feed(self, data: bytes) -> list[str]:
        """Parses the next chunk of the stream; returns the texts of the tokens that it completes."""
        if self._status != 200 or self.problem:
            return []
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        texts: list[str] = []
        for event in events:
            if event.startswith(b"data: ") and not self.finish_reason and not self._parse_event(event[6:], texts):
                break
        self.text_bytes += sum(len(text) * (1 if text.isascii() else 4) for text in texts)
        if not self.problem and len(self._buffer) > _MAX_EVENT_BYTES:
            self._buffer, self.is_endless = b"", True
            self.problem = "an event of the engine is too large"
        elif not self.problem and not self._has_room():
            self._buffer, self.lacks_memory = b"", True
            self.problem = "this VM has no memory for the stream"
        return texts

    def _has_room(self) -> bool:
        granules = -(-(self.text_bytes + len(self._buffer)) // _GRANULE_BYTES)
        return self._memory.grow(granules * _GRANULE_BYTES, 0.0)

    def _parse_event(self, data: bytes, texts: list[str]) -> bool:
        try:
            event = json.loads(data.decode())
            if event["request_id"] != self._request_id:
                self.request_mismatch = True
                self.problem = "the engine sent an event of another request"
            elif event.get("end"):
                self.finish_reason = str(event.get("finish_reason") or "stop")
            elif self._offset >= self._end_offset:
                self.is_endless = True
                self.problem = "the engine sent more tokens than it was asked for"
            elif event["offset"] != self._offset:
                self.problem = f"the engine sent offset {event['offset']} in place of {self._offset}"
            else:
                texts.append(str(event["token"]))
                self._offset += 1
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            self.problem = "the engine sent an event that cannot be read"
        return not self.problem
