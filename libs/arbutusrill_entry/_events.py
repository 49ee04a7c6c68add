"""Events of an engine's token stream."""

from __future__ import annotations

import json

__all__ = ["EventReader"]

_LONGEST_EVENT = 1_048_576


class EventReader:
    r"""Splits the bytes of a stream into events and checks that they belong to the request and follow each other.

    `first` is the offset of the first token that is expected. Nothing after a wrong event is returned: `problem` then
    says what is wrong, and `crossed` whether the event belongs to another request.

    >>> reader = EventReader("r", 0)
    >>> reader.on_head(200, {})
    >>> reader.feed(b'data: {"request_id": "r", "offset": 0, "token": "a"}\n\ndata: {"requ')
    ['a']
    """

    def __init__(self, request_id: str, first: int):
        self._request_id = request_id
        self._offset = first
        self._buffer = b""
        self._status = 200
        self.finish_reason = ""
        self.problem = ""
        self.crossed = False
        self.refusal = b""

    def next_offset(self) -> int:
        """Returns the offset of the next token."""
        return self._offset

    def restart(self) -> None:
        """Drops a partial event before the stream continues over another connection."""
        self._buffer = b""
        self.problem = ""
        self.refusal = b""

    def on_head(self, status: int, _: dict[str, str]) -> None:
        """Notes the status: the body of a refusal holds no events."""
        self._status = status

    def feed(self, data: bytes) -> list[str]:
        """Returns the texts of the tokens that `data` completes."""
        if self._status != 200:
            self.refusal = (self.refusal + data)[:_LONGEST_EVENT]
            return []
        if self.problem:
            return []
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        texts: list[str] = []
        for event in events:
            if event.startswith(b"data: ") and not self.finish_reason and not self._take(event[6:], texts):
                break
        if len(self._buffer) > _LONGEST_EVENT:
            self.problem = "an event of the engine is too large"
        return texts

    def _take(self, data: bytes, texts: list[str]) -> bool:
        try:
            event = json.loads(data.decode())
            if event["request_id"] != self._request_id:
                self.crossed = True
                self.problem = "the engine sent an event of another request"
            elif event.get("end"):
                self.finish_reason = str(event.get("finish_reason") or "stop")
            elif event["offset"] != self._offset:
                self.problem = f"the engine sent offset {event['offset']} in place of {self._offset}"
            else:
                texts.append(str(event["token"]))
                self._offset += 1
        except (ValueError, KeyError, TypeError, AttributeError):
            self.problem = "the engine sent an event that cannot be read"
        return not self.problem
