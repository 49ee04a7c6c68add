"""Parser for the event stream of an engine."""

from __future__ import annotations

import json

__all__ = ["EventReader"]

_MAX_EVENT_BYTES = 1_048_576


class EventReader:
    r"""Incremental parser that accepts only events of one request with consecutive token offsets.

    `first_offset` is the offset of the first expected token. An invalid event ends parsing: `problem` then describes it
    and `request_mismatch` tells whether it belongs to another request.

    >>> reader = EventReader("r", 0)
    >>> reader.on_head(200, {})
    >>> reader.feed(b'data: {"request_id": "r", "offset": 0, "token": "a"}\n\ndata: {"requ')
    ['a']
    """

    def __init__(self, request_id: str, first_offset: int):
        self._request_id = request_id
        self._offset = first_offset
        self._buffer = b""
        self._status = 200
        self.finish_reason = ""
        self.problem = ""
        self.request_mismatch = False
        self.refusal = b""

    def next_offset(self) -> int:
        """Returns the offset of the next expected token."""
        return self._offset

    def restart(self) -> None:
        """Discards a partial event before the stream continues over a new connection."""
        self._buffer = b""
        self.problem = ""
        self.refusal = b""

    def on_head(self, status: int, _: dict[str, str]) -> None:
        """Stores the status; the body of a response other than 200 is not parsed as events."""
        self._status = status

    def feed(self, data: bytes) -> list[str]:
        """Parses the next chunk of the stream; returns the texts of the tokens that it completes."""
        if self._status != 200:
            self.refusal = (self.refusal + data)[:_MAX_EVENT_BYTES]
            return []
        if self.problem:
            return []
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        texts: list[str] = []
        for event in events:
            if event.startswith(b"data: ") and not self.finish_reason and not self._parse_event(event[6:], texts):
                break
        if len(self._buffer) > _MAX_EVENT_BYTES:
            self.problem = "an event of the engine is too large"
        return texts

    def _parse_event(self, data: bytes, texts: list[str]) -> bool:
        try:
            event = json.loads(data.decode())
            if event["request_id"] != self._request_id:
                self.request_mismatch = True
                self.problem = "the engine sent an event of another request"
            elif event.get("end"):
                self.finish_reason = str(event.get("finish_reason") or "stop")
            elif event["offset"] != self._offset:
                self.problem = f"the engine sent offset {event['offset']} in place of {self._offset}"
            else:
                texts.append(str(event["token"]))
                self._offset += 1
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            self.problem = "the engine sent an event that cannot be read"
        return not self.problem
