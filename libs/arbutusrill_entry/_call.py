"""Accounting of one call: request id, latencies and outcome."""

from __future__ import annotations

import time

from arbutusrill_base import Failure, FailureError, PartLog, Verdict, new_request_id
from arbutusrill_http import AbortStreamError
from arbutusrill_state import Follower

from ._keys import redact_keys
from ._meters import Meters

__all__ = ["Call"]

_log = PartLog("entry")


class Call:
    """Context manager that records the metrics of one call when it ends and logs its failure.

    Only failures with status 500 and above count against availability. Calls that fail with a lower status and
    calls whose caller disconnects count neither as good nor as bad.
    """

    def __init__(self, meters: Meters, follower: Follower, route: str):
        self.request_id = new_request_id()
        self.workspace = ""
        self.route = route
        self.first_token_s = 0.0
        self._meters = meters
        self._follower = follower
        self._started_at = time.monotonic()
        self._last_token_at = 0.0
        self._token_count = 0
        self._failure: Failure | None = None

    def __enter__(self) -> Call:
        self._meters.open_requests.labels(self.route).inc()
        self._open_route = self.route
        return self

    def __exit__(self, kind: object, error: BaseException | None, _: object) -> None:
        self._meters.open_requests.labels(self._open_route).dec()
        caller_disconnected = False
        if self._failure is None and error is not None:
            caller_disconnected = isinstance(error, (AbortStreamError, ConnectionError, TimeoutError))
            self._failure = _to_failure(error)
        elapsed_s = time.monotonic() - self._started_at
        failure = self._failure
        verdict = "gone" if caller_disconnected else failure.verdict.value if failure is not None else "ok"
        self._meters.requests.labels(self.route, verdict).inc()
        self._meters.request_s.labels(self.route).observe(elapsed_s)
        if self._token_count:
            self._meters.tokens.inc(self._token_count)
        if failure is not None:
            self._log_failure(failure, elapsed_s)
        if not caller_disconnected:
            self._record_targets(failure)

    def add_tokens(self, count: int) -> None:
        """Counts `count` output tokens that arrived now."""
        self._last_token_at = time.monotonic()
        if not self._token_count:
            self.first_token_s = self._last_token_at - self._started_at
        self._token_count += count

    def set_failure(self, failure: Failure) -> None:
        """Records the failure of a call whose response has already begun."""
        self._failure = failure

    def _log_failure(self, failure: Failure, elapsed_s: float) -> None:
        _log.info(
            "request %s on route %s of workspace %s failed with %s (verdict %s, status %d) after %.3f s: %s",
            self.request_id,
            self.route,
            self.workspace or "-",
            failure.code,
            failure.verdict.value,
            failure.status,
            elapsed_s,
            redact_keys(failure.message),
        )

    def _record_targets(self, failure: Failure | None) -> None:
        if not self.workspace or (failure is not None and failure.status < 500):
            return
        self._count_target("availability", failure is None)
        if not self._token_count:
            return
        scope = {"workspace": self.workspace}
        config = self._follower.config
        self._meters.first_token_s.labels(self.route).observe(self.first_token_s)
        self._count_target("first_token", self.first_token_s <= config.value("targets.first_token_s", **scope))
        if self._token_count > 1:
            gap_s = (self._last_token_at - self._started_at - self.first_token_s) / (self._token_count - 1)
            self._meters.token_gap_s.labels(self.route).observe(gap_s)
            self._count_target("token_gap", gap_s <= config.value("targets.token_gap_s", **scope))

    def _count_target(self, target: str, good: bool) -> None:
        self._meters.burn.add(self.workspace, self.route, target, good)


def _to_failure(error: BaseException) -> Failure:
    if isinstance(error, FailureError):
        return error.failure
    if isinstance(error, (AbortStreamError, ConnectionError, TimeoutError)):
        return Failure("caller_gone", "the caller closed its connection", Verdict.MAY_HAVE_RUN, 499)
    return Failure("internal_error", repr(error), Verdict.MAY_HAVE_RUN, 500)
