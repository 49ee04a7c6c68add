"""One send of a request to one backend server, and what came of it."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable
from dataclasses import dataclass

from arbutusrill_base import Verdict
from arbutusrill_http import Transfer, TransferResult, fetch

from ._backends import Candidate
from ._protocol import Answer, BackendProtocol, CallerRequest, Send

__all__ = ["Attempt", "Outcome", "attempt"]

_CONNECT_S = 0.12  # a KV cache that waits to be taken lives for half a second
_BROKEN_STATUS = (408, 421, 429, 503)  # promises that a backend server makes only together with its statement


class Outcome(enum.Enum):
    """How one send ended."""

    ANSWERED = "answered"  # a whole answer to this request
    REJECTED = "rejected"  # the backend server states that it has not run the request
    UNREACHED = "unreached"  # nothing was sent
    BROKEN = "broken"  # no whole answer; the request may have run
    TIMEOUT = "timeout"  # the same, for want of time
    GONE = "gone"  # the caller has left

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        if self in (Outcome.REJECTED, Outcome.UNREACHED):
            return Verdict.NOT_RUN
        return Verdict.RAN if self is Outcome.ANSWERED else Verdict.MAY_HAVE_RUN


@dataclass(slots=True)
class Attempt:
    """A finished send. `answer` is None without the head of an answer."""

    outcome: Outcome
    answer: Answer | None
    body: bytes
    detail: str
    took_s: float


def attempt(
    protocol: BackendProtocol,
    request: CallerRequest,
    send: Send,
    candidate: Candidate,
    timeout_s: float,
    stall_s: float | None = None,
    on_head: Callable[[int, dict[str, str]], None] | None = None,
    on_data: Callable[[bytes], None] | None = None,
) -> Attempt:
    """Sends `request` to the candidate over a connection of its own and waits for the end of the answer.

    A new connection for each send rules out that libcurl resends a request by itself, and that an answer left over
    from an earlier request is read.
    """
    transfer = Transfer(
        request.method,
        f"http://{candidate.address}{request.target}",
        [f"{name}: {value}" if value else f"{name};" for name, value in protocol.headers(request, send)],
        request.body,
        timeout_s,
        stall_s,
        min(_CONNECT_S, timeout_s),
        fresh=True,
        plain=True,
        watched=request.connection,
        on_head=on_head,
        on_data=on_data,
    )
    started = time.monotonic()
    result = fetch(transfer)
    took_s = time.monotonic() - started
    answer = protocol.answer(result.status, result.headers_by_name) if result.status else None
    outcome, detail = _outcome(request, send, result, answer)
    return Attempt(outcome, answer, result.body, detail, took_s)


def _outcome(request: CallerRequest, send: Send, result: TransferResult, answer: Answer | None) -> tuple[Outcome, str]:
    if result.error == "gone":
        return Outcome.GONE, result.detail
    if answer is not None and answer.request_id not in ("", request.id):
        return Outcome.BROKEN, f"the answer is for request {answer.request_id}"
    if answer is not None and answer.not_run:
        return Outcome.REJECTED, f"status {answer.status}, not run"
    if result.whole:
        if answer is None or answer.request_id != request.id:
            return Outcome.BROKEN, "the answer names no request"
        if answer.status < 300 and not answer.stamped and not send.prefill:
            return Outcome.BROKEN, "a success without the server's proof"
        if answer.status in _BROKEN_STATUS:
            return Outcome.BROKEN, f"status {answer.status} without the statement that it has not run"
        return Outcome.ANSWERED, f"status {answer.status}"
    if result.verdict is Verdict.NOT_RUN:
        return Outcome.UNREACHED, result.detail
    return (Outcome.TIMEOUT if result.error in ("timeout", "stall") else Outcome.BROKEN), result.detail
