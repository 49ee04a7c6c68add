"""HTTP requests to backend servers by libcurl, while the caller's own connection is watched."""

from __future__ import annotations

import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import pycurl
from arbutusrill_base import Verdict

__all__ = ["Transfer", "TransferResult", "close_connections", "fetch"]

_CONNECT_S = 2.0
_KEPT_CONNECTIONS = 8
_KEEPALIVE_IDLE_S = 10
_KEEPALIVE_INTERVAL_S = 5
_KEPT_S = 20  # below the idle limit of servers, so that a kept connection is rarely a closed one
_UNACKNOWLEDGED_MS = 2000
_SLICE_MS = 250
_OWN_HEADERS = ("Accept", "Content-Type", "User-Agent")
_IDENTITY = threading.local()


@dataclass(slots=True)
class Transfer:
    """One HTTP request.

    `fresh` forces a connection of its own that is closed afterwards: libcurl resends a request by itself
    when a reused connection turns out to be dead, which a call that may run only once must not meet.
    `on_data` gets each piece of the body as it arrives; without it the body is collected. `stall_s` limits
    the time without any byte, `connect_s` the time for a new connection, `timeout_s` the whole transfer.
    `plain` leaves out the headers that libcurl adds by itself.
    """

    method: str
    url: str
    headers: list[str] = field(default_factory=list)
    body: bytes = b""
    timeout_s: float = 30.0
    stall_s: float | None = None
    connect_s: float = _CONNECT_S
    fresh: bool = False
    plain: bool = False
    watched: socket.socket | None = None
    on_head: Callable[[int, dict[str, str]], None] | None = None
    on_data: Callable[[bytes], None] | None = None
    should_stop: Callable[[], bool] | None = None


@dataclass(slots=True)
class TransferResult:
    """How a transfer ended.

    `error` is empty for a whole answer, else ``connect``, ``timeout``, ``stall``, ``gone`` (the caller left),
    ``stopped``, ``broken`` or ``callback``. `verdict` says whether the server may have acted on the request.
    """

    status: int = 0
    headers_by_name: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""
    detail: str = ""
    verdict: Verdict = Verdict.NOT_RUN

    @property
    def whole(self) -> bool:
        """Whether a complete answer arrived."""
        return not self.error


def fetch(transfer: Transfer) -> TransferResult:
    """Runs a transfer in the calling thread and returns how it ended; raises nothing of its own.

    An exception raised by `on_head` or `on_data` ends the transfer and is raised again.
    """
    return _Run(transfer).run()


def close_connections() -> None:
    """Closes the idle connections of the calling thread, after an answer that was meant for another request."""
    loop = getattr(_IDENTITY, "loop", None)
    if loop is not None:
        _IDENTITY.loop = None
        loop.multi.close()


def _multi() -> _Loop:
    loop = getattr(_IDENTITY, "loop", None)
    if loop is None:
        loop = _IDENTITY.loop = _Loop()
    return loop


class _Loop:
    """A libcurl multi handle of one thread, with the sockets that libcurl wants to wait for."""

    def __init__(self) -> None:
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self.multi.setopt(pycurl.M_MAXCONNECTS, _KEPT_CONNECTIONS)
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

    def wait_ms(self) -> float:
        """Milliseconds until libcurl wants to act without any socket event."""
        if self._deadline is None:
            return _SLICE_MS
        return min(_SLICE_MS, max(0.0, (self._deadline - time.monotonic()) * 1000))

    def step(self, watched: int) -> bool:
        """Waits for events and lets libcurl act on them; returns whether `watched` was closed by its peer."""
        gone = False
        timeout = self.wait_ms()
        for descriptor, mask in self.poller.poll(timeout):
            if descriptor == watched:
                gone = True
                continue
            action = pycurl.CSELECT_IN if mask & (select.POLLIN | select.POLLHUP) else 0
            action |= pycurl.CSELECT_OUT if mask & select.POLLOUT else 0
            action |= pycurl.CSELECT_ERR if mask & select.POLLERR else 0
            self.multi.socket_action(descriptor, action)
        if self._deadline is not None and time.monotonic() >= self._deadline:
            self._deadline = None
            self.multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        return gone


class _Run:
    def __init__(self, transfer: Transfer):
        self._transfer = transfer
        self._result = TransferResult()
        self._pieces: list[bytes] = []
        self._raised: BaseException | None = None
        self._last_byte = time.monotonic()
        self._head_done = False

    def run(self) -> TransferResult:
        loop = _multi()
        easy = self._easy()
        watched = self._transfer.watched.fileno() if self._transfer.watched is not None else -1
        if watched >= 0:
            loop.poller.register(watched, select.POLLRDHUP)
        loop.multi.add_handle(easy)
        try:
            loop.multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._wait(loop, easy, watched)
        finally:
            loop.multi.remove_handle(easy)
            if watched >= 0:
                loop.poller.unregister(watched)
            easy.close()
        if self._raised is not None:
            raise self._raised
        self._result.body = b"".join(self._pieces)
        return self._result

    def _wait(self, loop: _Loop, easy: pycurl.Curl, watched: int) -> None:
        deadline = time.monotonic() + self._transfer.timeout_s
        stall = self._transfer.stall_s
        while True:
            _, done, failed = loop.multi.info_read()
            if done:
                self._result.status = easy.getinfo(pycurl.RESPONSE_CODE)
                self._result.verdict = Verdict.RAN
                return
            if failed:
                self._fail(easy, _word_of(failed[0][1]), failed[0][2])
                return
            if loop.step(watched):
                self._fail(easy, "gone", "the caller closed its connection")
                return
            now = time.monotonic()
            if now >= deadline:
                self._fail(easy, "timeout", f"no whole answer in {self._transfer.timeout_s:.3g} s")
                return
            if stall is not None and now - self._last_byte >= stall:
                self._fail(easy, "stall", f"no byte for {stall:.3g} s")
                return
            if self._transfer.should_stop is not None and self._transfer.should_stop():
                self._fail(easy, "stopped", "stopped by this process")
                return

    def _fail(self, easy: pycurl.Curl, word: str, detail: str) -> None:
        # REQUEST_SIZE counts the bytes handed to the connection: with none out, nothing can have run.
        sent = easy.getinfo(pycurl.REQUEST_SIZE) > 0
        self._result.error = word
        self._result.detail = detail
        self._result.status = easy.getinfo(pycurl.RESPONSE_CODE)
        self._result.verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN

    def _easy(self) -> pycurl.Curl:
        transfer = self._transfer
        easy = pycurl.Curl()
        easy.setopt(pycurl.URL, transfer.url)
        easy.setopt(pycurl.CUSTOMREQUEST, transfer.method)
        easy.setopt(pycurl.NOSIGNAL, 1)
        easy.setopt(pycurl.PROXY, "")
        easy.setopt(pycurl.PATH_AS_IS, 1)
        easy.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(transfer.connect_s * 1000)))
        easy.setopt(pycurl.SOCKOPTFUNCTION, _on_connection)
        easy.setopt(pycurl.TCP_NODELAY, 1)
        easy.setopt(pycurl.TCP_KEEPALIVE, 1)
        easy.setopt(pycurl.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
        easy.setopt(pycurl.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
        easy.setopt(pycurl.MAXAGE_CONN, _KEPT_S)
        easy.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        easy.setopt(pycurl.WRITEFUNCTION, self._on_data)
        easy.setopt(pycurl.HEADERFUNCTION, self._on_header)
        if transfer.body or transfer.method in ("POST", "PUT", "PATCH"):
            easy.setopt(pycurl.POST, 1)
            easy.setopt(pycurl.POSTFIELDS, transfer.body)
            easy.setopt(pycurl.POSTFIELDSIZE_LARGE, len(transfer.body))
            easy.setopt(pycurl.CUSTOMREQUEST, transfer.method)
        if transfer.method == "HEAD":
            easy.setopt(pycurl.NOBODY, 1)
        if transfer.fresh:
            easy.setopt(pycurl.FRESH_CONNECT, 1)
            easy.setopt(pycurl.FORBID_REUSE, 1)
        headers = ["Expect:", *transfer.headers]
        if transfer.plain:
            given = {line.partition(":")[0].lower() for line in transfer.headers}
            headers += [f"{name}:" for name in _OWN_HEADERS if name.lower() not in given]
        easy.setopt(pycurl.HTTPHEADER, headers)
        return easy

    def _on_header(self, line: bytes) -> int | None:
        self._last_byte = time.monotonic()
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self._result.status = int(text.split(None, 2)[1])
            self._result.headers_by_name.clear()
        elif ":" in text:
            name, _, value = text.partition(":")
            self._result.headers_by_name[name.strip().lower()] = value.strip()
        elif not text and self._result.status >= 200 and not self._head_done:
            self._head_done = True
            if self._transfer.on_head is not None:
                return self._guard(self._transfer.on_head, self._result.status, self._result.headers_by_name)
        return None

    def _on_data(self, data: bytes) -> int | None:
        self._last_byte = time.monotonic()
        if self._transfer.on_data is None:
            self._pieces.append(data)
            return None
        return self._guard(self._transfer.on_data, data)

    def _guard(self, callback: Callable, *arguments: object) -> int | None:
        try:
            callback(*arguments)
        except BaseException as error:
            self._raised = error
            return -1
        return None


def _on_connection(descriptor: int, _purpose: int) -> int:
    # Naming family and kind saves the calls by which Python would find them out.
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)
    except OSError:
        return pycurl.SOCKOPT_ERROR
    finally:
        connection.detach()
    return pycurl.SOCKOPT_OK


def _word_of(code: int) -> str:
    if code in (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST):
        return "connect"
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return "timeout"
    if code == pycurl.E_WRITE_ERROR:
        return "callback"
    return "broken"
