"""Transfer on a socket of its own code, which sends a request once and may keep its connection."""

from __future__ import annotations

import errno
import os
import select
import socket
import time
from typing import TYPE_CHECKING

from arbutusrill_base import Verdict, split_address

from ._connection_pool import KeptConnection, stated_idle_s
from ._request_target import encoded, split_url
from ._response_parser import ResponseParser, ResponseRefusedError
from ._sockets import set_dead_peer_timeouts
from ._transfer_state import TransferState

if TYPE_CHECKING:
    from ._transfer import Transfer, TransferResult

__all__ = ["SocketTransfer"]

_UNACKNOWLEDGED_S = 2.0
_MAX_POLL_S = 0.25  # interval at which `should_stop`, `stall_s` and `timeout_s` are checked at the latest
_MIN_SILENCE_S = 1.0  # a kept connection that brings nothing for this time may have gone silent, and others with it
_READ_BYTES = 64 * 1024
_BODY_METHODS = ("POST", "PUT", "PATCH")
_OWN_FIELDS = ("connection", "content-length", "transfer-encoding", "expect")


class _EndedError(Exception):
    """The transfer ends without a complete response."""

    def __init__(self, error: str, detail: str):
        super().__init__(detail)
        self.error = error
        self.detail = detail


class SocketTransfer(TransferState):
    """One transfer while it runs, on a connection of the pool or on a new one.

    The request is written to one connection. Only a kept connection that takes no byte of it is replaced.
    """

    def __init__(self, transfer: Transfer, result: TransferResult):
        super().__init__(transfer, result)
        self._connections = transfer.connections
        self._started = time.monotonic()
        self._deadline = self._started + transfer.timeout_s
        self._request = memoryview(_encode_request(transfer))
        self._sent_bytes = 0
        self._can_send = True
        self._send_error = ""
        self._has_input = False  # whether any byte of a response has arrived
        self._previous_id = ""  # of the request before this one on the connection
        self._drops = False  # whether the response that arrives belongs to that request
        self._has_dropped = False
        self._parser = ResponseParser(self, transfer.method)
        self._caller = -1 if transfer.caller_connection is None else transfer.caller_connection.fileno()

    def run(self) -> TransferResult:
        """Runs the transfer and returns its outcome."""
        connection = None
        try:
            connection = self._take_kept() or self._connect()
            self._exchange(connection.socket)
            self.result.verdict = Verdict.RAN
        except (_EndedError, ResponseRefusedError) as error:
            self.result.error, self.result.detail = error.error, error.detail
            self.result.verdict = Verdict.MAY_HAVE_RUN if self._sent_bytes else Verdict.NOT_RUN
        finally:
            if connection is not None:
                self.result.reused = connection.use_count > 0
                self._leave(connection)
            del self._parser  # which refers to this object, and so would keep the bodies until a garbage collection
        return self.finish()

    def _leave(self, connection: KeptConnection) -> None:
        """Gives the connection back to the pool, or closes it."""
        transfer, pool, headers_by_name = self.transfer, self._connections.pool, self.result.headers_by_name
        if self.result.verdict is not Verdict.RAN:
            if connection.use_count and not self._has_input:
                self._report_lost(connection)
            pool.discard(connection, self.result.error or "callback")
        elif not self._parser.is_reusable or self._sent_bytes < len(self._request) or self._has_dropped:
            pool.discard(connection, "not_reusable")
        elif transfer.may_keep is not None and not transfer.may_keep():
            pool.discard(connection, "not_kept")
        else:
            pool.give_back(connection, stated_idle_s(headers_by_name), self._answered_id())

    def _report_lost(self, connection: KeptConnection) -> None:
        """Reports a connection that was used again and has brought no byte of a response."""
        pool, silent_s = self._connections.pool, time.monotonic() - self._started
        if self.result.error == "broken":
            self.result.lost_reused = True
            pool.report_lost(connection)
        if silent_s >= _MIN_SILENCE_S and self.result.error in ("broken", "stall", "timeout"):
            pool.distrust(silent_s)

    def _answered_id(self) -> str:
        answer_id = self.transfer.answer_id
        return "" if answer_id is None else answer_id(self.result.status, self.result.headers_by_name)

    def _take_kept(self) -> KeptConnection | None:
        """Returns a kept connection that has taken the first bytes of the request, None if there is none."""
        while (connection := self._connections.take()) is not None:
            try:
                self._sent_bytes = connection.socket.send(self._request)
            except BlockingIOError:
                pass
            except OSError:  # it has taken no byte, so the request may go to another connection
                self._connections.pool.discard(connection, "unusable")
                continue
            self._previous_id = connection.last_id
            return connection
        return None

    def _connect(self) -> KeptConnection:
        connecting = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            connecting.setblocking(False)
            set_dead_peer_timeouts(connecting, _UNACKNOWLEDGED_S)
            self._wait_for_connection(connecting)
        except BaseException as error:
            connecting.close()
            if isinstance(error, OSError):
                raise _EndedError("connect", str(error)) from None
            raise
        return self._connections.pool.add(self._connections.server, connecting)

    def _wait_for_connection(self, connecting: socket.socket) -> None:
        code = connecting.connect_ex(split_address(self._connections.server.address))
        if code not in (0, errno.EINPROGRESS):
            raise _EndedError("connect", os.strerror(code))
        poller = self._poller(connecting, select.POLLOUT)
        connect_until = time.monotonic() + self.transfer.connect_s
        while code:
            mask, is_caller_gone = self._wait(poller, connecting, connect_until)
            if mask:
                code = connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    raise _EndedError("connect", os.strerror(code))
                return
            self._check_limits(is_caller_gone)
            if time.monotonic() >= connect_until:
                raise _EndedError("timeout", f"no connection in {self.transfer.connect_s:.3g} s")

    def _poller(self, connection: socket.socket, events: int) -> select.poll:
        poller = select.poll()
        poller.register(connection, events)
        if self._caller >= 0:
            poller.register(self._caller, select.POLLRDHUP)
        if self.transfer.wake_up is not None:
            poller.register(self.transfer.wake_up, select.POLLIN)
        return poller

    def _wait(self, poller: select.poll, connection: socket.socket, until: float) -> tuple[int, bool]:
        """Waits for an event; returns those of the connection and whether the caller has closed its connection."""
        wait_s = max(0.0, min(_MAX_POLL_S, until - time.monotonic(), self.stall_check_in_s()))
        mask_by_descriptor = dict(poller.poll(wait_s * 1000))
        return mask_by_descriptor.get(connection.fileno(), 0), self._caller in mask_by_descriptor

    def _check_limits(self, is_caller_gone: bool) -> None:
        failure = (
            ("gone", "the caller closed its connection") if is_caller_gone else self.exceeded_limit(self._deadline)
        )
        if failure is not None:
            raise _EndedError(*failure)

    def _exchange(self, connection: socket.socket) -> None:
        """Writes the rest of the request and reads the response, also one that comes before the request is written."""
        self._send(connection)
        poller = self._poller(connection, self._awaited_events())
        while True:
            mask, is_caller_gone = self._wait(poller, connection, self._deadline)
            if mask & ~select.POLLOUT:
                self._receive(connection)
                # A response that has arrived counts, even if a limit has passed while this thread did not run.
                if self._parser.is_complete:
                    return
            if mask & select.POLLOUT:
                self._send(connection)
                poller.modify(connection, self._awaited_events())
            self._check_limits(is_caller_gone)

    def _awaited_events(self) -> int:
        return select.POLLIN | (select.POLLOUT if self._can_send else 0)

    def _send(self, connection: socket.socket) -> None:
        """Writes what the connection takes; after an error, a response may still be there to be read.

        The error is remembered: the kernel reports it once, and the end of the input then looks like an orderly one.
        """
        try:
            while self._sent_bytes < len(self._request):
                self._sent_bytes += connection.send(self._request[self._sent_bytes :])
        except BlockingIOError:
            return
        except OSError as error:
            self._send_error = str(error)
        self._can_send = False

    def _receive(self, connection: socket.socket) -> None:
        try:
            data = connection.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            raise _EndedError("broken", str(error)) from None
        if data:
            self._has_input = True
            self._parser.feed(data)
        elif self._send_error:
            raise _EndedError("broken", f"the connection was lost while the request was sent: {self._send_error}")
        else:
            self._parser.end()
        if self._parser.is_complete and self._drops:
            self._read_next_response(is_at_end=not data)

    def _read_next_response(self, is_at_end: bool) -> None:
        """Begins with the response to this request, after one to the request before."""
        rest = self._parser.rest
        self._drops, self._has_dropped = False, True
        self.result.status = 0
        self.result.headers_by_name.clear()
        if is_at_end:
            raise _EndedError("broken", "the connection was closed after a response to an earlier request")
        self._parser = ResponseParser(self, self.transfer.method)
        if rest:
            self._parser.feed(rest)

    def end_head(self) -> int | None:
        """Ends a head; one that answers the request before this one on the connection is not passed on."""
        if self.result.status >= 200 and self._previous_id and not self._has_dropped:
            self._drops = self._answered_id() == self._previous_id
        return None if self._drops else super().end_head()

    def add_data(self, data: bytes) -> int | None:
        """Passes a part of the body on, unless its response is dropped."""
        return None if self._drops else super().add_data(data)


def _encode_request(transfer: Transfer) -> bytes:
    """Returns the head and the body of a request; its length is stated by this module."""
    origin, target = split_url(transfer.url)
    lines = [line[:-1] + ":" if line.endswith(";") and ":" not in line else line for line in transfer.headers]
    fields = [(line.partition(":")[0].strip().lower(), encoded(line)) for line in lines]
    kept = [line for name, line in fields if name not in _OWN_FIELDS]
    names = {name for name, _ in fields}
    head = [f"{transfer.method} {target} HTTP/1.1".encode("latin-1")]
    if "host" not in names:
        head.append(b"Host: " + encoded(origin.partition("://")[2].rstrip("/")))
    head += kept
    if not transfer.omit_default_headers and "accept" not in names:
        head.append(b"Accept: */*")
    if transfer.body or transfer.method in _BODY_METHODS:
        head.append(b"Content-Length: %d" % len(transfer.body))
    if any(b"\r" in line or b"\n" in line for line in head):
        raise ValueError("a line of the request contains a line end")
    return b"\r\n".join(head) + b"\r\n\r\n" + transfer.body
