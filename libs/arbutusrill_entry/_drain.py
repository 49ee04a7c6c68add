"""Graceful shutdown of an entry VM."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from arbutusrill_base import PartLog
from arbutusrill_http import HttpServer

from ._app import EntryApp
from ._context import EntryContext

__all__ = ["Drain"]

_CONFIRM_TIMEOUT_S = 5.0  # for the control group to confirm the draining state
_ENTRIES_MARGIN_S = 1.0  # beyond the time for which callers may cache the list of entry VMs
_POOL_RELEASE_TIMEOUT_S = 4.0
_RELEASE_CALL_TIMEOUT_S = 1.0
_REFUSE_S = 0.4  # to refuse requests without a response before the connections are closed
_POLL_INTERVAL_S = 0.1
_log = PartLog("drain")


class Drain:
    """Takes an entry VM out of service without interrupting requests.

    The event `skip_waits`, set by a second signal, ends every wait early.
    """

    def __init__(self, context: EntryContext, app: EntryApp, server: HttpServer, skip_waits: threading.Event):
        self._context = context
        self._app = app
        self._server = server
        self._skip_waits = skip_waits

    def run(self, limit_s: float) -> None:
        """Drains for at most `limit_s` seconds, then aborts the remaining requests."""
        deadline = time.monotonic() + limit_s
        follower = self._context.follower
        self._app.draining = True
        follower.drain()
        _log.info("draining VM %s, %d requests in progress", follower.identity.vm, self._server.active_connections())
        confirmed = self._wait(self._is_drain_confirmed, min(deadline, time.monotonic() + _CONFIRM_TIMEOUT_S))
        if not confirmed and not self._skip_waits.is_set():
            _log.warning("draining state not confirmed by the control group in time")
        if not self._wait(
            lambda: follower.release_pools(_RELEASE_CALL_TIMEOUT_S),
            min(deadline, time.monotonic() + _POOL_RELEASE_TIMEOUT_S),
        ):
            _log.warning("pools not released in time, their leases will expire")
        # Callers with a cached list of entry VMs still open connections to this VM.
        margin_s = float(follower.config.value("entries.max_age_s")) + _ENTRIES_MARGIN_S
        self._wait(lambda: False, min(deadline, time.monotonic() + margin_s))
        self._server.stop_listening()
        if not self._wait(lambda: not self._server.open_connections(), deadline - _REFUSE_S):
            reason = "a second signal" if self._skip_waits.is_set() else f"the limit of {limit_s:g} s"
            _log.warning("drain ended early by %s, %d requests aborted", reason, self._abort())

    def _abort(self) -> int:
        """Ends the requests in progress; those without a response get one that says so."""
        self._context.drain_over.set()
        count = self._server.cancel_requests()
        deadline = time.monotonic() + _REFUSE_S
        while self._server.open_connections() and time.monotonic() < deadline:
            time.sleep(_POLL_INTERVAL_S)
        self._server.abort_connections()
        return count

    def _is_drain_confirmed(self) -> bool:
        identity = self._context.follower.identity
        vm = self._context.follower.config.vms_by_id.get(identity.vm)
        return vm is not None and vm.state == "draining" and vm.incarnation == identity.incarnation

    def _wait(self, condition: Callable[[], bool], deadline: float) -> bool:
        """Waits for `condition()`, `deadline` or `skip_waits`; returns whether the condition holds."""
        while not condition():
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or self._skip_waits.wait(min(_POLL_INTERVAL_S, remaining_s)):
                return condition()
        return True
