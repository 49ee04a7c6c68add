"""What the steps of one caller's request share."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_base import EventLog, Failure, FailureError, RetryBudget, Verdict
from arbutusrill_site import Route, Service, Workspace

from ._attempt import Attempt
from ._backends import BackendPool, Candidate
from ._places import Places
from ._protocol import BackendProtocol, CallerRequest, Send
from ._reply import Refusal, Responder

__all__ = ["Exchange"]

_LEAST_S = 0.005  # with less time left a request is not sent any more
_events = EventLog("attempt")


@dataclass(slots=True)
class Exchange:
    """One caller's request with its route, workspace and what has happened to it so far.

    `deadline` is on the monotonic clock. `sends` counts the sends to backend servers that count as attempts.
    """

    request: CallerRequest
    responder: Responder
    route: Route
    service: Service
    workspace: Workspace | None
    protocol: BackendProtocol
    pool: BackendPool
    places: Places
    budget: RetryBudget
    deadline: float
    started: float
    sends: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    tried: set[str] = field(default_factory=set)
    trail: list[str] = field(default_factory=list)
    first_event_s: float | None = None

    def remaining_s(self) -> float:
        """Seconds until the caller's deadline or the route's time limit, whichever comes first."""
        return self.deadline - time.monotonic()

    def late_in_s(self) -> float:
        """Seconds until the route's objective is missed, counted from when this VM received the request."""
        return self.route.objective_s - (time.monotonic() - self.started)

    def has_time(self) -> bool:
        """Whether a further send makes sense."""
        return self.remaining_s() > _LEAST_S

    def send(self, candidate: Candidate, **fields: Any) -> Send:
        """Returns what to add to the caller's headers for a send to `candidate`."""
        workspace = self.workspace.name if self.workspace else ""
        return Send(candidate.record, max(0.001, self.remaining_s()), workspace, **fields)

    def note(self, candidate: Candidate, step: str, made: Attempt) -> None:
        """Records how a send ended that may have run the request."""
        self.verdict = self.verdict.worst(made.outcome.verdict)
        self.note_prefill(candidate, made, step)

    def note_prefill(self, candidate: Candidate, made: Attempt, step: str = "prefill") -> None:
        """Records how a send ended that only reads the prompt: it never runs the request."""
        self.trail.append(f"{step}:{candidate.id}:{made.outcome.value}")
        _events.emit(
            "attempt",
            request=self.request.id,
            step=step,
            backend=candidate.id,
            address=candidate.address,
            outcome=made.outcome.value,
            detail=made.detail,
            took_ms=round(made.took_s * 1000, 1),
            expected_ms=round(candidate.expected_s * 1000, 1),
        )

    def may_resend(self) -> bool:
        """Whether the route and the retry budget allow one more send to a backend server."""
        return self.sends < self.route.max_attempts and self.has_time() and self.budget.take()

    def refuse_unrun(self, code: str, message: str, retry_after: float) -> None:
        """Answers that the request has not run, or that it may have when an earlier send is uncertain."""
        if self.verdict is Verdict.NOT_RUN:
            self.responder.refuse(Refusal(503, code, message, retry_after))
        else:
            self.refuse_uncertain(code, message)

    def refuse_uncertain(self, code: str, message: str) -> None:
        """Answers that the request may have run."""
        late = self.remaining_s() <= _LEAST_S
        self.responder.refuse(Refusal(504 if late else 502, code, message))

    def gone(self) -> FailureError:
        """Returns the error that ends the exchange when the caller has left."""
        return FailureError(Failure("caller_gone", "the caller has closed its connection", self.verdict, 499))
