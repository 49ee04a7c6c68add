"""RPC client of the control group that locates the leader."""

from __future__ import annotations

import threading
import time
from typing import Any

from arbutusrill_base import backoff_s
from arbutusrill_wire import NotSentError, RpcClient, RpcError, messages

__all__ = ["ControlClient", "ControlUnavailableError"]

_MIN_BACKOFF_S = 0.02  # after a failed try
_MAX_BACKOFF_S = 0.1


class ControlUnavailableError(Exception):
    """Raised when no control VM replied as leader before the timeout.

    `sent` is False if the call was certainly not carried out.
    """

    def __init__(self, message: str, sent: bool):
        super().__init__(message)
        self.sent = sent


class ControlClient:
    """Calls methods of the control group's leader, following leader hints and trying the other control VMs.

    `service` is the service of the IDL whose methods are called; VMs that are not the leader refuse its calls with
    ``not_leader``. A call may be sent more than once, so only idempotent calls are allowed: those that the group
    deduplicates by request id and those that change nothing.
    """

    def __init__(self, addresses: list[str], service: Any = messages.Control):
        self._service = service
        self._lock = threading.Lock()
        self._client_by_address = {address: RpcClient(address) for address in addresses}
        self._addresses = list(addresses)

    def __enter__(self) -> ControlClient:
        return self

    def __exit__(self, *_: object) -> None:
        for client in self._client_by_address.values():
            client.close()

    def call(self, name: str, *arguments: Any, timeout: float, try_timeout: float = 1.5) -> Any:
        """Calls method `name` of the leader within `timeout` seconds; one try takes at most `try_timeout` seconds.

        Raises `messages.Refused` if the leader refuses the call and `ControlUnavailableError` after `timeout`.
        """
        deadline = time.monotonic() + timeout
        sent = False
        cause = "no control VM is configured"
        attempt = 0
        while (remaining := deadline - time.monotonic()) > 0:
            attempt += 1
            address, client = self._preferred_client()
            try:
                return client.call(self._service, name, *arguments, timeout=min(remaining, try_timeout))
            except messages.Refused as refused:
                if refused.code not in ("not_leader", "unavailable"):
                    raise
                sent = sent or refused.verdict != messages.Verdict.NOT_RUN
                cause = f"{address}: {refused.message}"
                self._demote(address, refused.leader)
                if refused.leader and refused.leader != address:
                    continue
            except RpcError as error:
                sent = sent or not isinstance(error, NotSentError)
                cause = str(error)
                self._replace_client(address, client)
                self._demote(address, "")
            time.sleep(min(backoff_s(attempt, _MIN_BACKOFF_S, _MAX_BACKOFF_S), max(0.0, deadline - time.monotonic())))
        raise ControlUnavailableError(f"the control group does not answer ({cause})", sent)

    def set_addresses(self, addresses: list[str]) -> None:
        """Replaces the addresses of the control VMs. An empty list changes nothing; calls in progress continue."""
        addresses = list(dict.fromkeys(addresses))
        with self._lock:
            if not addresses or set(addresses) == set(self._addresses):
                return
            dropped = [self._client_by_address.pop(address) for address in self._addresses if address not in addresses]
            for address in addresses:
                if address not in self._client_by_address:
                    self._client_by_address[address] = RpcClient(address)
            kept = [address for address in self._addresses if address in addresses]
            self._addresses = kept + [address for address in addresses if address not in kept]
        for client in dropped:
            client.close()

    def _preferred_client(self) -> tuple[str, RpcClient]:
        with self._lock:
            address = self._addresses[0]
            return address, self._client_by_address[address]

    def _replace_client(self, address: str, client: RpcClient) -> None:
        """Drops all open connections to a VM after a failed call: the others may be silent, too."""
        with self._lock:
            if self._client_by_address.get(address) is not client:
                return
            self._client_by_address[address] = RpcClient(address)
        client.close()

    def _demote(self, address: str, leader: str) -> None:
        with self._lock:
            if self._addresses[0] == address:
                self._addresses.append(self._addresses.pop(0))
            if leader and leader not in self._client_by_address:
                self._client_by_address[leader] = RpcClient(leader)
                self._addresses.append(leader)
            if leader in self._client_by_address:
                self._addresses.remove(leader)
                self._addresses.insert(0, leader)
