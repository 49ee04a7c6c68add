"""Client of the control group that finds the leader by itself."""

from __future__ import annotations

import threading
import time
from typing import Any

from arbutusrill_base import backoff_s
from arbutusrill_wire import NotSentError, RpcClient, RpcError, messages

__all__ = ["ControlClient", "ControlUnavailableError"]

_FIRST_PAUSE_S = 0.02  # after a try that failed
_LONGEST_PAUSE_S = 0.1


class ControlUnavailableError(Exception):
    """No control VM answered as leader in time.

    `sent` is False when the call certainly was not carried out.
    """

    def __init__(self, message: str, sent: bool):
        super().__init__(message)
        self.sent = sent


class ControlClient:
    """Calls the control group's leader, following hints and trying the other control VMs.

    `service` is the service of the IDL whose methods are called; its calls refuse with ``not_leader`` on other VMs.
    A call may be sent more than once, so that only calls that the group recognises by their request id, or
    that change nothing, belong here.
    """

    def __init__(self, addresses: list[str], service: Any = messages.Control):
        self._service = service
        self._lock = threading.Lock()
        self._client_by_address = {address: RpcClient(address) for address in addresses}
        self._order = list(addresses)

    def __enter__(self) -> ControlClient:
        return self

    def __exit__(self, *_: object) -> None:
        for client in self._client_by_address.values():
            client.close()

    def call(self, name: str, *arguments: Any, timeout: float, try_timeout: float = 1.5) -> Any:
        """Calls method `name` of the leader within `timeout` seconds; one try takes at most `try_timeout`.

        Raises `messages.Refused` for a refusal by the leader and `ControlUnavailableError`.
        """
        deadline = time.monotonic() + timeout
        sent = False
        problem = "no control VM is configured"
        attempt = 0
        while (remaining := deadline - time.monotonic()) > 0:
            attempt += 1
            address, client = self._first()
            try:
                return client.call(self._service, name, *arguments, timeout=min(remaining, try_timeout))
            except messages.Refused as refused:
                if refused.code not in ("not_leader", "unavailable"):
                    raise
                sent = sent or refused.verdict != messages.Verdict.NOT_RUN
                problem = f"{address}: {refused.message}"
                self._demote(address, refused.leader)
                if refused.leader and refused.leader != address:
                    continue
            except RpcError as error:
                sent = sent or not isinstance(error, NotSentError)
                problem = str(error)
                self._demote(address, "")
            time.sleep(min(backoff_s(attempt, _FIRST_PAUSE_S, _LONGEST_PAUSE_S), max(0.0, deadline - time.monotonic())))
        raise ControlUnavailableError(f"the control group does not answer ({problem})", sent)

    def learn(self, addresses: list[str]) -> None:
        """Replaces the control VMs that are tried; calls under way go on. An empty list changes nothing."""
        addresses = list(dict.fromkeys(addresses))
        with self._lock:
            if not addresses or set(addresses) == set(self._order):
                return
            dropped = [self._client_by_address.pop(old) for old in self._order if old not in addresses]
            for address in addresses:
                if address not in self._client_by_address:
                    self._client_by_address[address] = RpcClient(address)
            kept = [old for old in self._order if old in addresses]
            self._order = kept + [address for address in addresses if address not in kept]
        for client in dropped:
            client.close()

    def _first(self) -> tuple[str, RpcClient]:
        with self._lock:
            address = self._order[0]
            return address, self._client_by_address[address]

    def _demote(self, address: str, better: str) -> None:
        with self._lock:
            if self._order[0] == address:
                self._order.append(self._order.pop(0))
            if better and better not in self._client_by_address:
                self._client_by_address[better] = RpcClient(better)
                self._order.append(better)
            if better in self._client_by_address:
                self._order.remove(better)
                self._order.insert(0, better)
