"""Forwards the departures of backend servers from any control VM to the leader."""

from __future__ import annotations

import time
from collections.abc import Callable

from arbutusrill_state import ControlClient, ControlUnavailableError

__all__ = ["DepartureWriter"]

_TRY_TIMEOUT_S = 0.4
_OWN_START = -1  # in place of a sequence number: the server itself has named its start


class DepartureWriter:
    """Reports that backend servers have left, so that a call delayed on its way removes no later start of its server.

    A server whose call is not answered in time calls another VM, ends, and may start again under its ID. A call that
    does not name a start is therefore about the latest one at a time at which its caller still waited: the start is
    read first, then the connection is checked. A process may be paused for any time between these steps.
    """

    __slots__ = ("_client",)

    def __init__(self, client: ControlClient):
        self._client = client

    def write(self, backend: str, started_ms: int, caller_left: Callable[[], bool], timeout: float) -> None:
        """Returns once the departure is committed; `started_ms` is the start that the server has named, else 0.

        `caller_left` returns whether the caller has closed its connection. Raises `messages.Refused`, or
        `ControlUnavailableError` after `timeout` seconds or if the caller has left.
        """
        deadline = time.monotonic() + timeout
        sequence = _OWN_START
        if not started_ms:
            read = self._client.call("read_backend_start", backend, timeout=timeout, try_timeout=_TRY_TIMEOUT_S)
            if caller_left():
                raise ControlUnavailableError("the caller has given the call up", False)
            started_ms, sequence = read.started_ms, read.sequence
        remaining = deadline - time.monotonic()
        arguments = (backend, started_ms, sequence)
        self._client.call("remove_backend", *arguments, timeout=remaining, try_timeout=_TRY_TIMEOUT_S)
