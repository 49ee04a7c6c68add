"""Whether the key of a running request still works."""

from __future__ import annotations

import time

from arbutusrill_base import Failure, Verdict
from arbutusrill_state import Follower

__all__ = ["KeyGuard"]

_PERIOD_S = 0.25  # of the 5 s bound for withdrawn keys, freshness takes 3 s


class KeyGuard:
    """Checks the key that came with a request, at most every 0.25 s; an empty `key_hash` is never refused."""

    __slots__ = ("_checked_at", "_follower", "_key_hash", "workspace")

    def __init__(self, follower: Follower, key_hash: str, workspace: str):
        self._follower = follower
        self._key_hash = key_hash
        self.workspace = workspace
        self._checked_at = time.monotonic()

    def failure(self, verdict: Verdict, always: bool = False) -> Failure | None:
        """Returns why the request must end, with `verdict`, or None; `always` ignores the period."""
        now = time.monotonic()
        if not self._key_hash or (not always and now - self._checked_at < _PERIOD_S):
            return None
        self._checked_at = now
        if not self._follower.fresh():
            message = "this VM cannot confirm that its list of keys is current, use another one"
            return Failure("stale", message, verdict, 503, 1.0)
        if self._follower.config.workspace_of_key(self._key_hash) != self.workspace:
            return Failure("invalid_api_key", "the key was withdrawn", verdict, 401)
        return None
