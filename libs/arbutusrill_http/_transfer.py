"""HTTP client on libcurl that cancels a request to a backend server when the caller disconnects."""

from __future__ import annotations

import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import pycurl
from arbutusrill_base import Verdict

from ._body_budget import BodyReservation
from ._connection_pool import ServerConnections
from ._request_target import encoded, split_url
from ._response_parser import ResponseParser, ResponseRefusedError
from ._socket_transfer import SocketTransfer
from ._sockets import peer_closed
from ._transfer_state import TransferState

__all__ = ["Transfer", "TransferResult", "fetch"]

_CONNECT_TIMEOUT_S = 2.0
_KEEPALIVE_IDLE_S = 10
_KEEPALIVE_INTERVAL_S = 5
_MAX_COLLECTED_BYTES = 1_048_576  # of a body that is kept in memory; larger ones need `on_data`
_TCP_USER_TIMEOUT_MS = 2000
_MAX_POLL_MS = 250  # interval at which `should_stop`, `stall_s` and `timeout_s` are checked at the latest
_CURLE_TOO_LARGE = 100  # a line beyond libcurl's own limit of 100 kB; pycurl has no name for this code
_CURLE_WEIRD_SERVER_REPLY = pycurl.E_FTP_WEIRD_SERVER_REPLY  # its earlier name, which pycurl has kept
_LIBCURL_HEADERS = ("Accept", "Content-Type", "User-Agent")
_thread_local = threading.local()


@dataclass(slots=True)
class Transfer:
    """One HTTP request, on a connection of its own unless `connections` is given.

    Without `connections`, libcurl runs the transfer on a connection that is not reused: it would resend a request by
    itself when a reused connection turns out to be closed, and a late or repeated response to an earlier request could
    be taken for the response to this one. With `connections`, the transfer runs on a socket of its own code, which may
    have been kept after an earlier one, and sends the request once. The connection is kept after a complete response
    for which `may_keep` returns True. `answer_id` returns the id of the request that a head answers: a response to the
    request before this one on the same connection is dropped, and the next one is read.

    `on_head` gets the status and the headers, `on_any_head` also those of interim responses. `on_data` gets each part
    of the body as it arrives; without it the body is collected, and the transfer fails if it exceeds `max_body_bytes`
    or finds no room in `memory`, which its owner releases. It also fails if the heads exceed 32 KiB, or if there are
    more than 32 interim ones.
    `should_stop` is polled and cancels the transfer when it returns True; it is also asked once the descriptor
    `wake_up` is readable, and has to return True from then on. `caller_connection` is the connection of the
    caller; the transfer is cancelled when the caller closes it.
    `timeout_s` limits the whole transfer, `connect_s` the time to connect and `stall_s` the time without progress.
    Progress is the complete head and any byte of the body, or, with `progress_at`, the time that it returns on the
    monotonic clock. With `on_stall`, a transfer without progress for `stall_s` ends only if `on_stall` returns True; it
    is called again every 0.25 s until then.
    `omit_default_headers` omits the headers that libcurl adds by default.
    """

    method: str
    url: str
    headers: list[str] = field(default_factory=list)
    body: bytes = b""
    timeout_s: float = 30.0
    stall_s: float | None = None
    connect_s: float = _CONNECT_TIMEOUT_S
    omit_default_headers: bool = False
    caller_connection: socket.socket | None = None
    on_head: Callable[[int, dict[str, str]], None] | None = None
    on_any_head: Callable[[int, dict[str, str]], None] | None = None
    on_data: Callable[[bytes], None] | None = None
    should_stop: Callable[[], bool] | None = None
    wake_up: int | None = None
    progress_at: Callable[[], float] | None = None
    on_stall: Callable[[], bool] | None = None
    max_body_bytes: int = _MAX_COLLECTED_BYTES
    memory: BodyReservation | None = None
    connections: ServerConnections | None = None
    may_keep: Callable[[], bool] | None = None
    answer_id: Callable[[int, dict[str, str]], str] | None = None


@dataclass(slots=True)
class TransferResult:
    """Outcome of a transfer.

    `error` is empty for a complete response, else ``connect``, ``timeout``, ``stall``, ``gone`` (the caller closed
    its connection), ``stopped`` (by `should_stop`), ``too_large`` (a head or the body exceeds its limit), ``no_memory``
    (the body finds no room), ``callback``, ``malformed`` (the server sent bytes that are no HTTP response) or
    ``broken`` (any other error); `detail` describes it. `verdict` says whether the server may have run the request,
    of which a malformed response tells nothing. `reused` is true if the connection was kept from an earlier transfer,
    `lost_reused` if such a connection ended before one byte of a response to this one.
    """

    status: int = 0
    headers_by_name: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""
    detail: str = ""
    verdict: Verdict = Verdict.NOT_RUN
    reused: bool = False
    lost_reused: bool = False

    @property
    def is_complete(self) -> bool:
        """Whether a complete response arrived."""
        return not self.error


def fetch(transfer: Transfer) -> TransferResult:
    """Runs a transfer in the calling thread and returns its outcome; transfer errors are not raised.

    An exception of `on_head` or `on_data` ends the transfer and is re-raised. Nothing is sent if the caller has left.
    """
    if transfer.caller_connection is not None and peer_closed(transfer.caller_connection):
        return TransferResult(error="gone", detail="the caller closed its connection")
    if transfer.connections is not None:
        return SocketTransfer(transfer, TransferResult()).run()
    return _TransferRun(transfer).run()


def _current_loop() -> _EventLoop:
    """Returns the event loop of the calling thread."""
    loop = getattr(_thread_local, "loop", None)
    if loop is None:
        loop = _thread_local.loop = _EventLoop()
    return loop


class _EventLoop:
    """Event loop of one thread: a libcurl multi handle and a poller for its sockets."""

    def __init__(self) -> None:
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self.poller = select.poll()
        self._deadline: float | None = None

    def _on_socket(self, event: int, descriptor: int, _multi: object, _data: object) -> None:
        if event == pycurl.POLL_REMOVE:
            try:
                self.poller.unregister(descriptor)
            except KeyError:
                pass
            return
        mask = select.POLLIN if event in (pycurl.POLL_IN, pycurl.POLL_INOUT) else 0
        mask |= select.POLLOUT if event in (pycurl.POLL_OUT, pycurl.POLL_INOUT) else 0
        self.poller.register(descriptor, mask)

    def _on_timer(self, milliseconds: int) -> None:
        self._deadline = None if milliseconds < 0 else time.monotonic() + milliseconds / 1000

    def _poll_timeout_ms(self) -> float:
        """Returns the time until the timer of libcurl expires, at most `_MAX_POLL_MS`."""
        if self._deadline is None:
            return _MAX_POLL_MS
        return min(_MAX_POLL_MS, max(0.0, (self._deadline - time.monotonic()) * 1000))

    def run_once(self, caller_descriptor: int, wake_up: int | None, max_wait_s: float) -> bool:
        """Polls once and passes the events to libcurl; returns whether the caller has closed its connection."""
        is_caller_gone = False
        timeout_ms = min(self._poll_timeout_ms(), max_wait_s * 1000)
        for descriptor, mask in self.poller.poll(timeout_ms):
            if descriptor in (caller_descriptor, wake_up):
                is_caller_gone |= descriptor == caller_descriptor
                continue
            action = pycurl.CSELECT_IN if mask & (select.POLLIN | select.POLLHUP) else 0
            action |= pycurl.CSELECT_OUT if mask & select.POLLOUT else 0
            action |= pycurl.CSELECT_ERR if mask & select.POLLERR else 0
            self.multi.socket_action(descriptor, action)
        if self._deadline is not None and time.monotonic() >= self._deadline:
            self._deadline = None
            self.multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        return is_caller_gone


class _TransferRun(TransferState):
    """One transfer on libcurl while it runs.

    libcurl connects, sends and finds the end of the response. What it receives goes unchanged to a `ResponseParser`,
    which decides what a response is for both kinds of transfer: libcurl accepts more than RFC 9112 allows. Only a field
    that is folded over several lines reaches the parser as one line.
    """

    def __init__(self, transfer: Transfer):
        super().__init__(transfer, TransferResult())
        self._parser = ResponseParser(self, transfer.method)

    def run(self) -> TransferResult:
        loop = _current_loop()
        easy = self._make_easy_handle()
        caller = self.transfer.caller_connection
        caller_descriptor = caller.fileno() if caller is not None else -1
        if caller_descriptor >= 0:
            loop.poller.register(caller_descriptor, select.POLLRDHUP)
        if self.transfer.wake_up is not None:
            loop.poller.register(self.transfer.wake_up, select.POLLIN)
        loop.multi.add_handle(easy)
        try:
            loop.multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._wait_for_end(loop, easy, caller_descriptor)
        finally:
            loop.multi.remove_handle(easy)
            if caller_descriptor >= 0:
                loop.poller.unregister(caller_descriptor)
            if self.transfer.wake_up is not None:
                loop.poller.unregister(self.transfer.wake_up)
            easy.close()
            del self._parser  # which refers to this object, and so would keep the bodies until a garbage collection
        return self.finish()

    def _wait_for_end(self, loop: _EventLoop, easy: pycurl.Curl, caller_descriptor: int) -> None:
        deadline = time.monotonic() + self.transfer.timeout_s
        while not self._has_ended(loop, easy):
            is_caller_gone = loop.run_once(caller_descriptor, self.transfer.wake_up, self.stall_check_in_s())
            # A response that has arrived counts, even if a limit has passed while this thread did not run.
            if self._has_ended(loop, easy):
                return
            failure = ("gone", "the caller closed its connection") if is_caller_gone else self.exceeded_limit(deadline)
            if failure is not None:
                self._fail(easy, *failure)
                return

    def _has_ended(self, loop: _EventLoop, easy: pycurl.Curl) -> bool:
        """Stores the outcome of a transfer that has ended; returns whether it has."""
        _, done, failed = loop.multi.info_read()
        if self._parser.is_complete or done:
            self._end(easy)
        elif failed:
            error, detail = self.refusal or (_error_from_code(failed[0][1]), failed[0][2])
            self._fail(easy, error, detail)
        return self._parser.is_complete or bool(done or failed)

    def _end(self, easy: pycurl.Curl) -> None:
        """Stores the outcome of a response that libcurl takes for complete, as it does for a head that breaks off."""
        try:
            self._parser.end()
        except ResponseRefusedError as error:
            self._fail(easy, error.error, error.detail)
        else:
            self.result.verdict = Verdict.RAN

    def _fail(self, easy: pycurl.Curl, error: str, detail: str) -> None:
        # REQUEST_SIZE is the number of bytes sent: if it is 0, the server cannot have run the request.
        sent = easy.getinfo(pycurl.REQUEST_SIZE) > 0
        self.result.error = error
        self.result.detail = detail
        self.result.verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN

    def _feed(self, data: bytes) -> int | None:
        """Parses bytes of the response as they were received; returns -1 to end the transfer if they are refused."""
        try:
            self._parser.feed(data)
        except ResponseRefusedError as error:
            return self.refuse(error.error, error.detail)
        return None

    def _make_easy_handle(self) -> pycurl.Curl:
        transfer = self.transfer
        easy = pycurl.Curl()
        origin, target = split_url(transfer.url)
        easy.setopt(pycurl.URL, encoded(origin))
        easy.setopt(pycurl.REQUEST_TARGET, target)  # libcurl would change percent-encoded octets
        easy.setopt(pycurl.CUSTOMREQUEST, transfer.method)
        easy.setopt(pycurl.NOSIGNAL, 1)
        easy.setopt(pycurl.PROXY, "")
        easy.setopt(pycurl.PATH_AS_IS, 1)
        easy.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(transfer.connect_s * 1000)))
        easy.setopt(pycurl.SOCKOPTFUNCTION, _on_socket_created)
        easy.setopt(pycurl.TCP_NODELAY, 1)
        easy.setopt(pycurl.TCP_KEEPALIVE, 1)
        easy.setopt(pycurl.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
        easy.setopt(pycurl.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
        easy.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        easy.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)
        easy.setopt(pycurl.WRITEFUNCTION, self._feed)
        easy.setopt(pycurl.HEADERFUNCTION, self._feed)
        if transfer.body or transfer.method in ("POST", "PUT", "PATCH"):
            easy.setopt(pycurl.POST, 1)
            easy.setopt(pycurl.POSTFIELDS, transfer.body)
            easy.setopt(pycurl.POSTFIELDSIZE_LARGE, len(transfer.body))
            easy.setopt(pycurl.CUSTOMREQUEST, transfer.method)
        if transfer.method == "HEAD":
            easy.setopt(pycurl.NOBODY, 1)
        easy.setopt(pycurl.FRESH_CONNECT, 1)
        easy.setopt(pycurl.FORBID_REUSE, 1)
        headers = ["Expect:", *transfer.headers]
        if transfer.omit_default_headers:
            given_names = {line.partition(":")[0].lower() for line in transfer.headers}
            headers += [f"{name}:" for name in _LIBCURL_HEADERS if name.lower() not in given_names]
        easy.setopt(pycurl.HTTPHEADER, [encoded(line) for line in headers])
        return easy


def _on_socket_created(descriptor: int, _purpose: int) -> int:
    # With family and type given, Python makes no system calls to find them out.
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
    except OSError:
        return pycurl.SOCKOPT_ERROR
    finally:
        connection.detach()
    return pycurl.SOCKOPT_OK


def _error_from_code(code: int) -> str:
    if code in (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST):
        return "connect"
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return "timeout"
    if code == pycurl.E_WRITE_ERROR:
        return "callback"
    if code == _CURLE_TOO_LARGE:
        return "too_large"
    if code in (pycurl.E_UNSUPPORTED_PROTOCOL, _CURLE_WEIRD_SERVER_REPLY):
        return "malformed"
    return "broken"
