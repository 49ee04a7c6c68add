"""State of one caller's request across its attempts."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from arbutusrill_base import EventLog, Failure, FailureError, RetryBudget, Verdict
from arbutusrill_http import BodyBudget, BodyReservation, ServerConnections
from arbutusrill_site import Route, Service, Workspace

from ._attempt import AttemptResult
from ._backends import BackendPool, Candidate
from ._connections import BackendConnections
from ._placement import PlacementClient
from ._prompt_guard import PromptGuard
from ._protocol import BackendProtocol, BackendRequest, CallerRequest, ResponseHead
from ._reply import Refusal, Responder

if TYPE_CHECKING:
    from ._second_sender import SecondSender

__all__ = ["Exchange"]

_MIN_SEND_S = 0.005  # with less time remaining, no further attempt is sent
# Callers that were refused during a quiet time return within a part of it, or at least within this time, after its end.
_RETURN_SPREAD_FRACTION = 0.5
_MIN_RETURN_SPREAD_S = 0.2
_events = EventLog("attempt")


@dataclass(slots=True)
class Exchange:
    """One caller's request with its route, its workspace and the results of its attempts so far.

    `deadline` and `started` are on the monotonic clock. `attempt_count` is the number of attempts that count towards
    the route's maximum; prefills and connection failures that are retried at once do not, and neither do refusals by
    servers of plain services, which `refused_count` counts. `verdict` combines the
    verdicts of all attempts, `tried` holds the ids of backend servers to exclude, and `trail` lists every attempt for
    the request log. `memory` holds what is reserved for the body of the response. `rank` is 0 for the most urgent;
    `urgency` is that of `BackendRequest`. `full` holds the ids of engines that turned the request away.
    `connections` are those that this VM keeps, None if it keeps none.
    `second_sender` sends slow requests twice, None if that is off.
    """

    request: CallerRequest
    responder: Responder
    route: Route
    service: Service
    workspace: Workspace | None
    protocol: BackendProtocol
    pool: BackendPool
    placements: PlacementClient
    budget: RetryBudget
    deadline: float
    started: float
    attempt_count: int = 0
    refused_count: int = 0
    waited_s: float = 0.0  # for room at the servers
    verdict: Verdict = Verdict.NOT_RUN
    tried: set[str] = field(default_factory=set)
    trail: list[str] = field(default_factory=list)
    first_event_s: float | None = None
    longest_pause_s: float = 0.0  # between two events of a stream
    is_retry_reserved: bool = False
    prompt_guard: PromptGuard | None = None
    memory: BodyReservation = field(default_factory=lambda: BodyBudget(None).open("", is_response=True))
    rank: int = 0
    urgency: int | None = None
    full: set[str] = field(default_factory=set)
    connections: BackendConnections | None = None
    second_sender: SecondSender | None = None

    def has_room_for(self, size: int, wait_s: float = 0.0) -> bool:
        """Reserves memory for a body of `size` bytes, in steps that double; returns False if there is none in time."""
        return size <= self.memory.size or self.memory.grow(1 << (size - 1).bit_length(), wait_s)

    def remaining_s(self) -> float:
        """Seconds until the caller's deadline or the route's time limit, whichever comes first."""
        return self.deadline - time.monotonic()

    def objective_remaining_s(self) -> float:
        """Seconds until the request exceeds the route's latency objective, negative once it has."""
        return self.route.objective_s - (time.monotonic() - self.started)

    def has_time(self) -> bool:
        """Whether enough time remains for another attempt."""
        return self.remaining_s() > _MIN_SEND_S

    def backend_request(self, candidate: Candidate, **fields: Any) -> BackendRequest:
        """Returns the values to add to the caller's request for an attempt at `candidate`."""
        workspace = self.workspace.name if self.workspace else ""
        remaining_s = max(0.001, self.remaining_s())
        return BackendRequest(candidate.record, remaining_s, workspace, urgency=self.urgency, **fields)

    @property
    def serving_stage(self) -> str:
        """Stage of the backend servers that can run the request, empty for a plain service."""
        return "" if self.service.engine is None else "decode"

    def response_observer(self, candidate: Candidate) -> Callable[[ResponseHead], None]:
        """Returns the function that learns from the response heads of an attempt at `candidate`."""
        return lambda response: self.pool.observe_response(candidate.record, response, self.request.id)

    def connections_to(self, candidate: Candidate, is_once: bool) -> ServerConnections | None:
        """Returns the connections for an attempt at `candidate`, which may run the request once only if `is_once`."""
        if self.connections is None:
            return None
        may_repeat = None if is_once else lambda: self.has_time() and self.budget.try_acquire()
        return self.connections.to(candidate.record, self.request.id, is_once, may_repeat)

    def is_connected(self, record: Any) -> bool:
        """Whether this VM has a connection to a server that the request may use."""
        return self.connections is not None and self.connections.is_ready(record, not self.route.repeatable)

    def connected_ids(self) -> list[str]:
        """Returns the ids of the servers to which this VM has a connection that the request may use."""
        return [] if self.connections is None else self.connections.ready_ids(not self.route.repeatable)

    def record_attempt(self, candidate: Candidate, step: str, result: AttemptResult) -> None:
        """Records the result of an attempt that may have run the request."""
        self.verdict = self.verdict.combine(result.outcome.verdict)
        self.record_prefill_attempt(candidate, result, step)

    def check_prompt(self) -> None:
        """Raises `PromptBarredError` if a part of the prompt crashes engines."""
        if self.prompt_guard is not None:
            self.prompt_guard.check(self.request)

    def record_prompt_events(self, count: int, streamed_s: float) -> bool:
        """Records that an attempt has forwarded `count` events, the first one `streamed_s` seconds ago.

        Returns whether nothing more is to be learned from further events of the attempt.
        """
        return self.prompt_guard is None or self.prompt_guard.record_events(self.request, count, streamed_s)

    def record_prompt_attempt(self, candidate: Candidate, result: AttemptResult, event_count: int) -> None:
        """Records what an attempt that forwarded `event_count` events tells about the parts of the prompt."""
        if self.prompt_guard is not None:
            self.prompt_guard.record_attempt(self.request, candidate, result, event_count)

    def record_prefill_attempt(self, candidate: Candidate, result: AttemptResult, step: str = "prefill") -> None:
        """Records the result of a prefill, which never runs the request and leaves the verdict unchanged."""
        self.trail.append(f"{step}:{candidate.id}:{result.outcome.value}")
        _events.emit(
            "attempt",
            request=self.request.id,
            step=step,
            backend=candidate.id,
            address=candidate.address,
            outcome=result.outcome.value,
            detail=result.detail,
            took_ms=round(result.took_s * 1000, 1),
            expected_ms=round(candidate.expected_s * 1000, 1),
            reused=result.reused,
        )

    def acquire_retry(self) -> bool:
        """Takes one retry from the retry budget, unless one is reserved.

        Returns whether the route, the time and the budget allow it.
        """
        if self.is_retry_reserved:
            self.is_retry_reserved = False
            return True
        return self.attempt_count < self.route.max_attempts and self.has_time() and self.budget.try_acquire()

    def reserve_retry(self) -> bool:
        """Takes the retry that is to follow the current attempt; without one, a silent server is worth waiting for."""
        may_retry = self.attempt_count + 1 < self.route.max_attempts and self.has_time()
        self.is_retry_reserved = may_retry and self.budget.try_acquire()
        return self.is_retry_reserved

    def refuse_not_run(self, code: str, message: str, retry_after: float) -> None:
        """Refuses with 503 (not run), or as uncertain if an earlier attempt may have run the request.

        While all backend servers are quiet, or avoided after a failure, `retry_after` is replaced by a random time
        after the first may be used again, so that callers do not all return at once.
        """
        if self.verdict is Verdict.NOT_RUN:
            quiet_s = self.pool.retry_in_s(self.service, self.serving_stage, self.request.model)
            if quiet_s is not None:
                retry_after = quiet_s + random.uniform(0, max(_MIN_RETURN_SPREAD_S, _RETURN_SPREAD_FRACTION * quiet_s))
            self.responder.refuse(Refusal(503, code, message, retry_after))
        else:
            self.refuse_uncertain(code, message)

    def refuse_uncertain(self, code: str, message: str) -> None:
        """Refuses with 502, or 504 after the deadline: the request may have run."""
        late = self.remaining_s() <= _MIN_SEND_S
        self.responder.refuse(Refusal(504 if late else 502, code, message))

    def caller_gone_error(self) -> FailureError:
        """Returns the error that ends the exchange when the caller has disconnected."""
        return FailureError(Failure("caller_gone", "the caller has closed its connection", self.verdict, 499))
