"""Calls between replicas; tests inject network faults through the interface `Transport`."""

from __future__ import annotations

import abc
import threading
from typing import Any

from arbutusrill_wire import RpcClient, messages

__all__ = ["RpcTransport", "Transport"]


class Transport(abc.ABC):
    """Sends Raft messages to other replicas, addressed by RPC address."""

    @abc.abstractmethod
    def call(self, address: str, name: str, request: Any, timeout: float) -> Any:
        """Calls method `name` of the Raft service at `address` and returns its reply.

        Raises `ConnectionError` without a reply within `timeout` seconds, and `messages.Refused` when the replica
        refuses the request.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Releases connections."""


class RpcTransport(Transport):
    """Sends over TCP; replaces all connections to an address after a failed call to it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._client_by_address: dict[str, RpcClient] = {}

    def call(self, address: str, name: str, request: Any, timeout: float) -> Any:
        """Calls method `name` of the Raft service at `address`; raises as `Transport.call` does."""
        with self._lock:
            if address not in self._client_by_address:
                self._client_by_address[address] = RpcClient(address)
            client = self._client_by_address[address]
        try:
            return client.call(messages.Raft, name, request, timeout=timeout)
        except ConnectionError:
            # The other open connections may be silent too, so that one failed call closes them all.
            with self._lock:
                if self._client_by_address.get(address) is client:
                    del self._client_by_address[address]
            client.close()
            raise

    def close(self) -> None:
        """Closes the idle connections."""
        with self._lock:
            for client in self._client_by_address.values():
                client.close()
