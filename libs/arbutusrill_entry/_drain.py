"""The order in which an entry VM leaves without interrupting a request."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from arbutusrill_base import PartLog
from arbutusrill_http import HttpServer

from ._app import EntryApp
from ._context import EntryContext

__all__ = ["Drain"]

_SEEN_S = 5.0  # time for the control group to confirm the state
_MARGIN_S = 1.0
_HANDOVER_S = 4.0
_RELEASE_S = 1.0
_STEP_S = 0.1
_log = PartLog("drain")


class Drain:
    """Takes an entry VM out of service.

    `hurry` ends every wait early: it is set by a second signal.
    """

    def __init__(self, context: EntryContext, app: EntryApp, server: HttpServer, hurry: threading.Event):
        self._context = context
        self._app = app
        self._server = server
        self._hurry = hurry

    def run(self, limit_s: float) -> None:
        """Drains in at most `limit_s` seconds; requests that are left then are cut."""
        deadline = time.monotonic() + limit_s
        follower = self._context.follower
        self._app.draining = True
        follower.drain()
        _log.info("VM %s drains, %d requests under way", follower.identity.vm, self._server.busy())
        seen = self._wait(self._is_seen, min(deadline, time.monotonic() + _SEEN_S))
        if not seen and not self._hurry.is_set():
            _log.warning("the control group has not confirmed that this VM drains")
        if not self._wait(lambda: follower.release_pools(_RELEASE_S), min(deadline, time.monotonic() + _HANDOVER_S)):
            _log.warning("not all pools are released, their leases will end")
        margin_s = float(follower.config.value("entries.max_age_s")) + _MARGIN_S
        self._wait(lambda: False, min(deadline, time.monotonic() + margin_s))
        self._server.stop_listening()
        if not self._wait(lambda: not self._server.busy(), deadline):
            reason = "a second signal" if self._hurry.is_set() else f"the limit of {limit_s:g} s"
            _log.warning("drain ended early by %s, %d requests were cut", reason, self._server.cut())

    def _is_seen(self) -> bool:
        identity = self._context.follower.identity
        vm = self._context.follower.config.vms_by_id.get(identity.vm)
        return vm is not None and vm.state == "draining" and vm.incarnation == identity.incarnation

    def _wait(self, condition: Callable[[], bool], deadline: float) -> bool:
        """Waits until `condition()`, `deadline` or `hurry`; returns whether the condition was met."""
        while not condition():
            remaining = deadline - time.monotonic()
            if remaining <= 0 or self._hurry.wait(min(_STEP_S, remaining)):
                return condition()
        return True
