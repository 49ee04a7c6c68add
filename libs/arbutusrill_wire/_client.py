"""RPC client: pooled connections, a deadline on every call."""

from __future__ import annotations

import itertools
import socket
import threading
import time
from collections import deque
from typing import Any

from arbutusrill_base import split_address
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.thrift import TApplicationException, TMessageType
from thriftpy2.transport import TMemoryBuffer

from ._frames import FrameError, read_frame, write_frame
from ._idl import message_writer, messages

__all__ = ["NotSentError", "RpcClient", "RpcError"]

_MAX_IDLE = 32
_IDLE_S = 20.0  # below the server's idle limit, so that a pooled connection is rarely a closed one


class RpcError(ConnectionError):
    """The call has no answer: it may or may not have been carried out."""


class NotSentError(RpcError):
    """The connection could not be opened, so that the call was certainly not carried out."""


class RpcClient:
    """Calls the services of one peer.

    Each connection carries one call at a time and is closed after any error, so that a late answer can
    never be taken for the answer to another call.
    """

    def __init__(self, address: str):
        self.address = address
        self._target = split_address(address)
        self._lock = threading.Lock()
        self._idle: deque[tuple[float, socket.socket]] = deque()
        self._sequence = itertools.count(1)
        self._closed = False

    def __enter__(self) -> RpcClient:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def call(self, service: Any, name: str, *arguments: Any, timeout: float) -> Any:
        """Calls method `name` of `service` and returns its result within `timeout` seconds.

        Raises the exception that the IDL declares for the method, `NotSentError` or `RpcError`.
        """
        deadline = time.monotonic() + timeout
        connection = self._take(timeout)
        try:
            sequence = next(self._sequence) & 0x7FFFFFFF
            connection.settimeout(timeout)
            write_frame(connection, _request(service, name, arguments, sequence))
            frame = read_frame(connection, max(0.001, deadline - time.monotonic()))
            if frame is None:
                raise FrameError("connection closed before the answer")
            result = _reply(service, name, frame, sequence)
        except messages.Refused:
            self._give_back(connection)
            raise
        except RpcError:
            connection.close()
            raise
        except Exception as error:
            connection.close()
            raise RpcError(f"{name} at {self.address}: {error}") from error
        self._give_back(connection)
        return result

    def _take(self, timeout: float) -> socket.socket:
        oldest = time.monotonic() - _IDLE_S
        while True:
            with self._lock:
                if not self._idle:
                    break
                since, connection = self._idle.pop()
            if since >= oldest:
                return connection
            connection.close()
        try:
            connection = socket.create_connection(self._target, timeout=timeout)
        except OSError as error:
            raise NotSentError(f"{self.address} cannot be reached: {error}") from error
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _give_back(self, connection: socket.socket) -> None:
        with self._lock:
            if not self._closed and len(self._idle) < _MAX_IDLE:
                self._idle.append((time.monotonic(), connection))
                return
        connection.close()

    def close(self) -> None:
        """Closes the idle connections; calls under way finish."""
        with self._lock:
            self._closed = True
            idle = [connection for _, connection in self._idle]
            self._idle.clear()
        for connection in idle:
            connection.close()


def _request(service: Any, name: str, arguments: tuple, sequence: int) -> bytes:
    out, protocol = message_writer()
    call = getattr(service, f"{name}_args")()
    for spec, value in zip(call.thrift_spec.values(), arguments, strict=True):
        setattr(call, spec[1], value)
    protocol.write_message_begin(name, TMessageType.CALL, sequence)
    call.write(protocol)
    protocol.write_message_end()
    return out.getvalue()


def _reply(service: Any, name: str, frame: bytes, sequence: int) -> Any:
    protocol = TBinaryProtocolFactory().get_protocol(TMemoryBuffer(frame))
    answered, kind, answered_sequence = protocol.read_message_begin()
    if answered != name or answered_sequence != sequence:
        raise RpcError(f"answer to {answered} number {answered_sequence} for {name} number {sequence}")
    if kind == TMessageType.EXCEPTION:
        fault = TApplicationException()
        fault.read(protocol)
        raise RpcError(f"{name}: {fault.message}")
    result = getattr(service, f"{name}_result")()
    result.read(protocol)
    for spec in result.thrift_spec.values():
        value = getattr(result, spec[1], None)
        if spec[1] != "success" and value is not None:
            raise value
    return getattr(result, "success", None)
