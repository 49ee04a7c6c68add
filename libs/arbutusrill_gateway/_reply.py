"""Answers to callers."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from arbutusrill_base import Verdict

__all__ = ["Refusal", "Responder"]

# Statuses that promise that the request has not run.
PROMISING = (408, 421, 429, 503)


@dataclass(slots=True, frozen=True)
class Refusal:
    """An answer of the gateway's own. `retry_after` is in seconds.

    >>> Refusal(503, "no_backend", "no backend server is available").verdict
    <Verdict.NOT_RUN: 'not_run'>
    """

    status: int
    code: str
    message: str
    retry_after: float | None = None

    @property
    def verdict(self) -> Verdict:
        """What the status promises to the caller."""
        return Verdict.NOT_RUN if self.status in PROMISING or self.status < 500 else Verdict.MAY_HAVE_RUN

    def body(self) -> bytes:
        """The error object."""
        error = {"code": self.code, "message": self.message, "verdict": self.verdict.value}
        return json.dumps({"error": error}).encode()


class Responder:
    """Writes one answer to a caller through WSGI; `status` is 0 until an answer has begun.

    `common` are headers of every answer of the gateway's own. `close` asks the caller to open a new connection for
    its next request.
    """

    def __init__(self, start: Callable, common: list[tuple[str, str]], close: bool = False):
        self._start = start
        self._common = common
        self._close = close
        self._write: Callable[[bytes], None] | None = None
        self.status = 0
        self.refused = ""  # code of an answer of the gateway's own

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the head; the body follows in pieces, chunked unless the headers give its length."""
        try:
            phrase = HTTPStatus(status).phrase
        except ValueError:
            phrase = "Status"
        if self._close:
            headers = [*headers, ("Connection", "close")]
        self._write = self._start(f"{status} {phrase}", headers)
        self.status = status

    def write(self, data: bytes) -> None:
        """Sends a piece of the body."""
        self._write(data)

    def whole(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Sends a whole answer in one piece."""
        kept = [(name, value) for name, value in headers if name.lower() != "content-length"]
        self.begin(status, [*kept, ("Content-Length", str(len(body)))])
        self.write(body)

    def refuse(self, refusal: Refusal) -> None:
        """Sends an answer of the gateway's own."""
        self.refused = refusal.code
        headers = [*self._common, ("Content-Type", "application/json")]
        if refusal.retry_after is not None:
            headers.append(("Retry-After", f"{refusal.retry_after:.3f}"))
        self.whole(refusal.status, headers, refusal.body())
