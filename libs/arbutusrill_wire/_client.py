"""RPC client with pooled connections and a deadline for each call."""

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

_MAX_IDLE_CONNECTIONS = 32
_MAX_IDLE_S = 20.0  # below the server's idle timeout, so that a pooled connection is rarely a closed one


class RpcError(ConnectionError):
    """A call failed without a result; the server may have executed it."""


class NotSentError(RpcError):
    """The connection could not be opened, so the call was not executed."""


class RpcClient:
    """Calls the services of one RPC server.

    Each connection carries one call at a time and is closed after an error, so that a late reply cannot be taken for
    the reply to another call.
    """

    def __init__(self, address: str):
        self.address = address
        self._host_and_port = split_address(address)
        self._lock = threading.Lock()
        self._idle_connections: deque[tuple[float, socket.socket]] = deque()
        self._sequence = itertools.count(1)
        self._closed = False

    def __enter__(self) -> RpcClient:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def call(self, service: Any, name: str, *arguments: Any, timeout: float) -> Any:
        """Calls method `name` of `service` and returns its result.

        Raises the exception that the IDL declares for the method, `NotSentError`, or `RpcError`, also when there is no
        reply within `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        connection = self._acquire_connection(timeout)
        try:
            sequence = next(self._sequence) & 0x7FFFFFFF
            connection.settimeout(timeout)
            write_frame(connection, _encode_call(service, name, arguments, sequence))
            frame = read_frame(connection, max(0.001, deadline - time.monotonic()))
            if frame is None:
                raise FrameError("connection closed before the answer")
            result = _decode_reply(service, name, frame, sequence)
        except messages.Refused:
            self._release_connection(connection)
            raise
        except RpcError:
            connection.close()
            raise
        except Exception as error:
            connection.close()
            raise RpcError(f"{name} at {self.address}: {error}") from error
        self._release_connection(connection)
        return result

    def _acquire_connection(self, timeout: float) -> socket.socket:
        min_idle_since = time.monotonic() - _MAX_IDLE_S
        while True:
            with self._lock:
                if not self._idle_connections:
                    break
                idle_since, connection = self._idle_connections.pop()
            if idle_since >= min_idle_since:
                return connection
            connection.close()
        try:
            connection = socket.create_connection(self._host_and_port, timeout=timeout)
        except OSError as error:
            raise NotSentError(f"{self.address} cannot be reached: {error}") from error
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _release_connection(self, connection: socket.socket) -> None:
        with self._lock:
            if not self._closed and len(self._idle_connections) < _MAX_IDLE_CONNECTIONS:
                self._idle_connections.append((time.monotonic(), connection))
                return
        connection.close()

    def close(self) -> None:
        """Closes the idle connections; calls in progress finish."""
        with self._lock:
            self._closed = True
            idle = [connection for _, connection in self._idle_connections]
            self._idle_connections.clear()
        for connection in idle:
            connection.close()


def _encode_call(service: Any, name: str, arguments: tuple, sequence: int) -> bytes:
    buffer, protocol = message_writer()
    args = getattr(service, f"{name}_args")()
    for spec, value in zip(args.thrift_spec.values(), arguments, strict=True):
        setattr(args, spec[1], value)
    protocol.write_message_begin(name, TMessageType.CALL, sequence)
    args.write(protocol)
    protocol.write_message_end()
    return buffer.getvalue()


def _decode_reply(service: Any, name: str, frame: bytes, sequence: int) -> Any:
    protocol = TBinaryProtocolFactory().get_protocol(TMemoryBuffer(frame))
    reply_name, kind, reply_sequence = protocol.read_message_begin()
    if reply_name != name or reply_sequence != sequence:
        raise RpcError(f"answer to {reply_name} number {reply_sequence} for {name} number {sequence}")
    if kind == TMessageType.EXCEPTION:
        error = TApplicationException()
        error.read(protocol)
        raise RpcError(f"{name}: {error.message}")
    result = getattr(service, f"{name}_result")()
    result.read(protocol)
    for spec in result.thrift_spec.values():
        value = getattr(result, spec[1], None)
        if spec[1] != "success" and value is not None:
            raise value
    return getattr(result, "success", None)
