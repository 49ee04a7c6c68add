"""Revocation checks for the API key of a running request."""

from __future__ import annotations

import time

from arbutusrill_base import Failure, Verdict
from arbutusrill_state import Follower

__all__ = ["KeyGuard"]

_CHECK_INTERVAL_S = 0.25  # requests of a withdrawn key end within 5 s, of which stale configuration takes up to 3 s


class KeyGuard:
    """Checks whether the key of a request is still valid, at most every 0.25 s.

    An empty `key_hash` stands for a request without a key, which always passes.
    """

    __slots__ = ("_checked_at", "_follower", "_key_hash", "workspace")

    def __init__(self, follower: Follower, key_hash: str, workspace: str):
        self._follower = follower
        self._key_hash = key_hash
        self.workspace = workspace
        self._checked_at = time.monotonic()

    def check_key(self, verdict: Verdict, force: bool = False) -> Failure | None:
        """Returns the failure with which the request must end, or None while its key is valid.

        `verdict` is the verdict of the failure. `force` checks even if the last check was less than 0.25 s ago.
        """
        now = time.monotonic()
        if not self._key_hash or (not force and now - self._checked_at < _CHECK_INTERVAL_S):
            return None
        self._checked_at = now
        if not self._follower.is_fresh():
            message = "this VM cannot confirm that its list of keys is current, use another one"
            return Failure("stale", message, verdict, 503, 1.0)
        if self._follower.config.workspace_of_key(self._key_hash) != self.workspace:
            return Failure("invalid_api_key", "the key was withdrawn", verdict, 401)
        return None
