"""A single attempt to send a request to a backend server, and its outcome."""

from __future__ import annotations

import abc
import enum
import time
from collections.abc import Callable
from dataclasses import dataclass

from arbutusrill_base import Verdict
from arbutusrill_http import Transfer, TransferResult, fetch

from ._backends import Candidate
from ._protocol import BackendProtocol, BackendRequest, CallerRequest, ResponseHead

__all__ = ["AttemptResult", "BodyReceiver", "Outcome", "send_attempt"]

_CONNECT_TIMEOUT_S = 0.12  # leaves time for a second engine: an unfetched KV cache expires after 0.5 s
# Statuses that tell a caller that its request has not run. They are trusted only if the backend server states so.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class BodyReceiver(abc.ABC):
    """Receives the response of one attempt while it arrives.

    `problem` is empty, or says why the response is invalid, which ends the attempt.
    """

    problem: str = ""

    @abc.abstractmethod
    def on_head(self, status: int, headers_by_name: dict[str, str]) -> None:
        """Processes the status and the headers."""

    @abc.abstractmethod
    def on_data(self, data: bytes) -> None:
        """Processes a part of the body."""

    @abc.abstractmethod
    def progress_at(self) -> float:
        """Returns when the response last made progress, on the monotonic clock."""


class Outcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"  # a complete response to this request
    REJECTED = "rejected"  # the backend server states that it has not run the request
    UNREACHED = "unreached"  # no connection, so nothing was sent
    BROKEN = "broken"  # no complete or valid response; the request may have run
    TIMEOUT = "timeout"  # no complete response in time; the request may have run
    GONE = "gone"  # the caller disconnected

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        if self in (Outcome.REJECTED, Outcome.UNREACHED):
            return Verdict.NOT_RUN
        return Verdict.RAN if self is Outcome.ANSWERED else Verdict.MAY_HAVE_RUN


@dataclass(slots=True)
class AttemptResult:
    """Result of a finished attempt. `response` is None if no response head was received.

    `connection_lost` is true if the backend server closed or reset the connection before its response was complete.
    """

    outcome: Outcome
    response: ResponseHead | None
    body: bytes
    detail: str
    took_s: float
    connection_lost: bool = False


def send_attempt(
    protocol: BackendProtocol,
    request: CallerRequest,
    backend_request: BackendRequest,
    candidate: Candidate,
    timeout_s: float,
    stall_s: float | None = None,
    receiver: BodyReceiver | None = None,
    on_stall: Callable[[], bool] | None = None,
    on_response: Callable[[ResponseHead], None] | None = None,
) -> AttemptResult:
    """Sends `request` to `candidate` and waits for the end of the response, whose body `receiver` gets.

    Without `receiver`, the body is collected, up to a limit. `stall_s` is the longest time without progress,
    after which `on_stall` decides whether the attempt ends. `on_response` gets each head as soon as it is complete,
    also of interim responses.
    """
    transfer = Transfer(
        request.method,
        f"http://{candidate.address}{request.target}",
        [
            f"{name}: {value}" if value else f"{name};"
            for name, value in protocol.request_headers(request, backend_request)
        ],
        request.body,
        timeout_s,
        stall_s,
        min(_CONNECT_TIMEOUT_S, timeout_s),
        omit_default_headers=True,
        caller_connection=request.connection,
        on_stall=on_stall,
    )
    heads: list[ResponseHead] = []

    def on_any_head(status: int, headers_by_name: dict[str, str]) -> None:
        heads[:] = [protocol.decode_response(status, headers_by_name)]
        if on_response is not None:
            on_response(heads[0])

    transfer.on_any_head = on_any_head
    if receiver is not None:
        transfer.on_head, transfer.on_data = receiver.on_head, receiver.on_data
        transfer.progress_at, transfer.should_stop = receiver.progress_at, lambda: bool(receiver.problem)
    started = time.monotonic()
    result = fetch(transfer)
    took_s = time.monotonic() - started
    if heads and heads[0].status == result.status:
        response = heads[0]
    else:  # none, or one that broke off
        response = protocol.decode_response(result.status, result.headers_by_name) if result.status else None
    if receiver is not None and receiver.problem and (result.is_complete or result.error == "stopped"):
        # The last bytes of a response can make it both invalid and complete.
        result.error, result.detail, result.verdict = "stopped", receiver.problem, Verdict.MAY_HAVE_RUN
    outcome, detail = _outcome(request, backend_request, result, response)
    is_other = response is not None and response.request_id not in ("", request.id)
    connection_lost = outcome is Outcome.BROKEN and result.error == "broken" and not is_other
    return AttemptResult(outcome, response, result.body, detail, took_s, connection_lost)


def _outcome(
    request: CallerRequest, backend_request: BackendRequest, result: TransferResult, response: ResponseHead | None
) -> tuple[Outcome, str]:
    if result.error == "gone":
        return Outcome.GONE, result.detail
    if response is not None and response.request_id not in ("", request.id):
        return Outcome.BROKEN, f"the answer is for request {response.request_id}"
    if result.is_complete:
        if response is None or response.request_id != request.id:
            return Outcome.BROKEN, "the answer names no request"
        # Believed only in a complete answer to this very request: any other may repeat an earlier refusal.
        if response.not_run:
            return Outcome.REJECTED, f"status {response.status}, not run"
        if response.status < 300 and not response.stamped and not backend_request.prefill:
            return Outcome.BROKEN, "a success without the server's proof"
        if response.status in _NOT_RUN_STATUSES:
            return Outcome.BROKEN, f"status {response.status} without the statement that it has not run"
        return Outcome.ANSWERED, f"status {response.status}"
    if result.verdict is Verdict.NOT_RUN:
        return Outcome.UNREACHED, result.detail
    return (Outcome.TIMEOUT if result.error in ("timeout", "stall") else Outcome.BROKEN), result.detail
