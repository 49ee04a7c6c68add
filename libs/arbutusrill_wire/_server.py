"""RPC server that serves each connection in a thread of a bounded pool."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import Any

from arbutusrill_base import PartLog, TaskGroup
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.thrift import TApplicationException, TMessageType
from thriftpy2.transport import TMemoryBuffer

from ._frames import read_frame, write_frame
from ._idl import message_writer

__all__ = ["RpcServer"]

_IDLE_TIMEOUT_S = 60.0
_SEND_TIMEOUT_S = 5.0
_log = PartLog("rpc")


class RpcServer:
    """Serves thrift services on one address until the context exits.

    `handlers` maps each service of the IDL to the object that implements its methods. One port can serve several
    services, because method names are unique across them. Connections above `limit` are closed immediately.
    `on_call` is called after each call with its method, its outcome and its duration in seconds. The outcome is ``ok``,
    ``refused`` (an exception that the IDL declares) or ``failed`` (any other).
    """

    def __init__(self, host: str, port: int, handlers: dict[Any, object], limit: int = 256):
        self._method_by_name: dict[str, tuple[Any, Any]] = {}
        for service, handler in handlers.items():
            self.add_service(service, handler)
        self.on_call: Callable[[str, str, float], None] = lambda method, outcome, took_s: None
        self._listener = socket.create_server((host, port), backlog=256)
        self._tasks = TaskGroup("rpc", limit + 1)
        self._connections: set[socket.socket] = set()
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])

    def add_service(self, service: Any, handler: object) -> None:
        """Adds a service; until then, calls of its methods fail with an unknown method error."""
        methods = {name: (service, getattr(handler, name)) for name in service.thrift_services}
        self._method_by_name = {**self._method_by_name, **methods}

    def __enter__(self) -> RpcServer:
        self._tasks.start(self._accept_connections)
        return self

    def __exit__(self, *_: object) -> None:
        self._tasks.stopping.set()
        for connection in [self._listener, *self._connections]:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            connection.close()
        self._tasks.close()

    def _accept_connections(self) -> None:
        while not self._tasks.stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                if not self._tasks.stopping.wait(0.05):
                    continue
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.add(connection)
            if self._tasks.start(self._serve_connection, connection) is None:
                _log.warning("rejected a connection: all threads are in use")
                self._close(connection)

    def _serve_connection(self, connection: socket.socket) -> None:
        try:
            while not self._tasks.stopping.is_set():
                frame = read_frame(connection, _IDLE_TIMEOUT_S)
                if frame is None:
                    return
                connection.settimeout(_SEND_TIMEOUT_S)
                write_frame(connection, self._handle_call(frame))
        except OSError:
            pass
        except Exception as error:
            _log.warning("closed a connection after a malformed message: %r", error)
        finally:
            self._close(connection)

    def _close(self, connection: socket.socket) -> None:
        self._connections.discard(connection)
        connection.close()

    def _handle_call(self, frame: bytes) -> bytes:
        protocol = TBinaryProtocolFactory().get_protocol(TMemoryBuffer(frame))
        name, _, sequence = protocol.read_message_begin()
        buffer, reply = message_writer()
        if name not in self._method_by_name:
            _write_exception(reply, name, sequence, TApplicationException.UNKNOWN_METHOD, f"unknown method {name}")
            return buffer.getvalue()
        service, method = self._method_by_name[name]
        arguments = getattr(service, f"{name}_args")()
        arguments.read(protocol)
        result = getattr(service, f"{name}_result")()
        started, outcome = time.monotonic(), "ok"
        try:
            result.success = method(*(getattr(arguments, spec[1]) for spec in arguments.thrift_spec.values()))
        except Exception as error:
            outcome = "refused" if _set_declared_exception(result, error) else "failed"
            if outcome == "failed":
                _log.exception("method %s raised an exception that the IDL does not declare", name)
                _write_exception(reply, name, sequence, TApplicationException.INTERNAL_ERROR, repr(error))
        self.on_call(name, outcome, time.monotonic() - started)
        if outcome == "failed":
            return buffer.getvalue()
        reply.write_message_begin(name, TMessageType.REPLY, sequence)
        result.write(reply)
        reply.write_message_end()
        return buffer.getvalue()


def _set_declared_exception(result: Any, error: Exception) -> bool:
    """Stores an exception in a result if the IDL declares it for the method; returns whether it does."""
    for spec in result.thrift_spec.values():
        if spec[1] != "success" and len(spec) > 2 and isinstance(error, spec[2]):
            setattr(result, spec[1], error)
            return True
    return False


def _write_exception(reply: Any, name: str, sequence: int, kind: int, message: str) -> None:
    reply.write_message_begin(name, TMessageType.EXCEPTION, sequence)
    TApplicationException(kind, message).write(reply)
    reply.write_message_end()
