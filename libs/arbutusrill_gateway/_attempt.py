"""A single attempt to send a request to a backend server, and its outcome."""

from __future__ import annotations

import abc
import enum
import time
from collections.abc import Callable
from dataclasses import dataclass

from arbutusrill_base import Verdict
from arbutusrill_http import ServerConnections, Transfer, TransferResult, fetch

from ._backends import Candidate
from ._protocol import BackendProtocol, BackendRequest, CallerRequest, ResponseHead

__all__ = ["AttemptResult", "BodyReceiver", "Outcome", "send_attempt"]

_CONNECT_TIMEOUT_S = 0.12  # leaves time for a second engine: an unfetched KV cache expires after 0.5 s
# A request that was lost with a kept connection is sent again at once if it was lost within this time, as happens when
# the server has closed the connection. After a longer silence, the rules for retries choose a server.
_MAX_RESEND_S = 0.25
# Statuses that tell a caller that its request has not run. They are trusted only if the backend server states so.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class BodyReceiver(abc.ABC):
    """Receives the response of one attempt while it arrives.

    `problem` is empty, or says why the response is not read any further, which ends the attempt; `lacks_memory` is true
    if the only reason is the memory of this process at the moment, which is no fault of the backend server.
    """

    problem: str = ""
    lacks_memory: bool = False

    @abc.abstractmethod
    def on_head(self, status: int, headers_by_name: dict[str, str]) -> None:
        """Processes the status and the headers."""

    @abc.abstractmethod
    def on_data(self, data: bytes) -> None:
        """Processes a part of the body."""

    def should_stop(self) -> bool:
        """Returns whether the attempt ends now; called at intervals and after each part of the response."""
        return bool(self.problem)

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

    `connection_lost` is true if the backend server closed or reset the connection before its response was complete,
    unless it was a kept one that ended before the response, which tells nothing about the request. `is_faulty` is true
    if it sent what can be no answer, and `lacks_memory` if this process had no room for its response.
    `reused` is true if it was sent on a kept connection.
    """

    outcome: Outcome
    response: ResponseHead | None
    body: bytes
    detail: str
    took_s: float
    connection_lost: bool = False
    is_faulty: bool = False
    lacks_memory: bool = False
    reused: bool = False


class _HeadCheck:
    """Decodes the heads of a response; `problem` says why the final one is the head of no answer, or is empty.

    `receiver` gets only what belongs to an answer or to a statement that the request has not run.
    """

    def __init__(
        self,
        protocol: BackendProtocol,
        request: CallerRequest,
        backend_request: BackendRequest,
        on_response: Callable[[ResponseHead], None] | None,
        receiver: BodyReceiver | None,
    ):
        self._protocol = protocol
        self.request = request
        self._is_prefill = backend_request.prefill
        self._on_response = on_response
        self._receiver = receiver
        self.response: ResponseHead | None = None
        self.problem = ""

    def on_any_head(self, status: int, headers_by_name: dict[str, str]) -> None:
        """Decodes a head, which may be that of an interim response."""
        self.response = self._protocol.decode_response(status, headers_by_name)
        if self._on_response is not None:
            self._on_response(self.response)
        if status >= 200:
            self.problem = _head_problem(self.response, self.request, self._is_prefill)

    def on_head(self, status: int, headers_by_name: dict[str, str]) -> None:
        """Passes the final head on, unless it has a problem."""
        if not self.problem:
            self._receiver.on_head(status, headers_by_name)

    def on_data(self, data: bytes) -> None:
        """Passes a part of the body on, unless the head has a problem: the rest of it may arrive with the head."""
        if not self.problem:
            self._receiver.on_data(data)

    def answered_id(self, status: int, headers_by_name: dict[str, str]) -> str:
        """Returns the id of the request that a head answers."""
        return self._protocol.decode_response(status, headers_by_name).request_id

    def attach(self, transfer: Transfer) -> None:
        """Passes the heads of a transfer through this check, and its body to the receiver if there is one."""
        transfer.on_any_head, transfer.answer_id = self.on_any_head, self.answered_id
        if self._receiver is not None:
            transfer.on_head, transfer.on_data = self.on_head, self.on_data
            transfer.progress_at = self._receiver.progress_at

    def decode(self, result: TransferResult) -> ResponseHead:
        """Decodes what arrived of a head that broke off."""
        return self._protocol.decode_response(result.status, result.headers_by_name)


def _head_problem(response: ResponseHead, request: CallerRequest, is_prefill: bool) -> str:
    """Returns why a response answers nothing, whatever its body is, or an empty text."""
    if response.request_id not in ("", request.id):
        return f"the answer is for request {response.request_id}"
    if response.request_id != request.id:
        return "the answer names no request"
    if response.not_run:
        return ""
    if response.status < 300 and not response.stamped and not is_prefill:
        return "a success without the server's proof"
    if response.status in _NOT_RUN_STATUSES:
        return f"status {response.status} without the statement that it has not run"
    return ""


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
    max_body_bytes: int = 0,
    connections: ServerConnections | None = None,
    wake_up: int | None = None,
) -> AttemptResult:
    """Sends `request` to `candidate` and waits for the end of the response, whose body `receiver` gets.

    Without `receiver`, the body is collected, up to `max_body_bytes`. `stall_s` is the longest time without progress,
    after which `on_stall` decides whether the attempt ends. `on_response` gets each head as soon as it is complete,
    also of interim responses. A response whose head is that of no answer is not read any further. With `connections`,
    a kept connection may be used; a request that may run again is sent again on a new one if the server closed it.
    Once `wake_up` is readable, `receiver` is asked whether the attempt is to stop.
    """
    head_check = _HeadCheck(protocol, request, backend_request, on_response, receiver)
    transfer = Transfer(
        request.method,
        f"http://{candidate.address}{request.target}",
        _header_lines(protocol, request, backend_request),
        request.body,
        timeout_s,
        stall_s,
        min(_CONNECT_TIMEOUT_S, timeout_s),
        omit_default_headers=True,
        caller_connection=request.connection,
        on_stall=on_stall,
        should_stop=lambda: bool(head_check.problem) or (receiver is not None and receiver.should_stop()),
        max_body_bytes=max_body_bytes,
        wake_up=wake_up,
        connections=connections,
        may_keep=lambda: _may_keep(head_check, receiver),
    )
    head_check.attach(transfer)
    started = time.monotonic()
    result = fetch(transfer)
    took_s = time.monotonic() - started
    if result.lost_reused and took_s < min(_MAX_RESEND_S, timeout_s):
        repeated = connections.for_repeat()
        if repeated is not None:
            backend_request.remaining_s -= took_s
            transfer.headers = _header_lines(protocol, request, backend_request)
            transfer.connections, transfer.timeout_s = repeated, timeout_s - took_s
            result = fetch(transfer)
    return _attempt_result(head_check, receiver, result, time.monotonic() - started)


def _header_lines(protocol: BackendProtocol, request: CallerRequest, backend_request: BackendRequest) -> list[str]:
    fields = protocol.request_headers(request, backend_request)
    return [f"{name}: {value}" if value else f"{name};" for name, value in fields]


def _may_keep(head_check: _HeadCheck, receiver: BodyReceiver | None) -> bool:
    """Whether the connection of a complete response may be kept.

    A server that has turned the request away accepts fewer connections, since its queue is long.
    """
    response = head_check.response
    if head_check.problem or response is None or response.request_id != head_check.request.id:
        return False
    return not (response.draining or response.not_run or (receiver is not None and receiver.problem))


def _attempt_result(
    head_check: _HeadCheck, receiver: BodyReceiver | None, result: TransferResult, took_s: float
) -> AttemptResult:
    response = head_check.response
    if response is None or response.status != result.status:  # none, or one that broke off
        response = head_check.decode(result) if result.status else None
    problem = head_check.problem or (receiver.problem if receiver is not None else "")
    if problem and (result.is_complete or result.error == "stopped"):
        # The last bytes of a response can make it both invalid and complete.
        result.error, result.detail, result.verdict = "stopped", problem, Verdict.MAY_HAVE_RUN
    outcome, detail = _outcome(head_check, result, response)
    is_other = response is not None and response.request_id not in ("", head_check.request.id)
    lacks_memory = receiver is not None and receiver.lacks_memory
    return AttemptResult(
        outcome,
        response,
        result.body,
        detail,
        took_s,
        connection_lost=outcome is Outcome.BROKEN and result.error == "broken" and not (is_other or result.lost_reused),
        is_faulty=result.error == "too_large" or (receiver is not None and bool(receiver.problem) and not lacks_memory),
        lacks_memory=lacks_memory,
        reused=result.reused,
    )


def _outcome(head_check: _HeadCheck, result: TransferResult, response: ResponseHead | None) -> tuple[Outcome, str]:
    if result.error == "gone":
        return Outcome.GONE, result.detail
    if response is not None and response.request_id not in ("", head_check.request.id):
        return Outcome.BROKEN, f"the answer is for request {response.request_id}"
    if result.is_complete:
        if response is None:
            return Outcome.BROKEN, "the answer names no request"
        # Believed only in a complete answer to this very request: any other may repeat an earlier refusal.
        if response.not_run:
            return Outcome.REJECTED, f"status {response.status}, not run"
        return Outcome.ANSWERED, f"status {response.status}"
    if result.verdict is Verdict.NOT_RUN:
        return Outcome.UNREACHED, result.detail
    return (Outcome.TIMEOUT if result.error in ("timeout", "stall") else Outcome.BROKEN), result.detail
