"""Journal records of calls with an idempotency key."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from arbutusrill_base import Failure, FailureError, Verdict
from arbutusrill_state import Attempt, JournalClient
from werkzeug.wrappers import Request, Response

from ._answer import Answer

__all__ = ["JournaledCall"]

_RECORDED_HEADERS = ("content-type", "content-encoding", "location", "etag")


class JournaledCall:
    """One attempt of a call with an idempotency key, recorded before it is sent and after it has ended.

    Keys are scoped to the workspace, or to the service on routes without authentication.
    """

    def __init__(self, journal: JournalClient, request: Request, name: str, workspace: str, key: str):
        self._journal = journal
        self._workspace = workspace
        self._key = key if workspace or not key else f"{name}/{key}"
        self._request_digest = _request_digest(request, name)
        self._attempt: Attempt | None = None

    def begin(self) -> Response | None:
        """Records the intent to send the call.

        Returns None if the call may be sent and the recorded response if it has already run. Raises `FailureError` in
        all other cases.
        """
        self._attempt = self._journal.begin(self._workspace, self._key, self._request_digest)
        if self._attempt.answer.status == "started":
            return None
        return _recorded_response(self._attempt.answer)

    def check_send(self, deadline: float) -> None:
        """Raises `FailureError` if it is too late to send the call; must run right before the first byte is sent."""
        self._journal.check_send(self._attempt, deadline)

    def record_answer(self, answer: Answer) -> None:
        """Records the answer, or only that the call has run if the body is too large to record."""
        body = answer.body
        if body is None:
            self._journal.record_failure(self._attempt, Verdict.RAN)
            return
        headers = [(name, answer.headers_by_name[name]) for name in _RECORDED_HEADERS if name in answer.headers_by_name]
        self._journal.record_answer(self._attempt, answer.status, json.dumps(headers), body, len(body))

    def record_failure(self, verdict: Verdict) -> None:
        """Records an attempt without an answer; only ``NOT_RUN`` allows another attempt."""
        self._journal.record_failure(self._attempt, verdict)


def _request_digest(request: Request, name: str) -> bytes:
    target = request.environ.get("REQUEST_URI", request.path)
    digest = hashlib.sha256(f"{request.method} {name} {target}\n".encode("utf-8", "surrogateescape"))
    digest.update(request.get_data())
    return digest.digest()


def _recorded_response(answer: Any) -> Response:
    if answer.status == "done":
        headers = [*json.loads(answer.headers_json or "[]"), ("X-Recorded-Answer", "true")]
        return Response(answer.body or b"", answer.http_status, headers)
    failures = {
        "mismatch": Failure(
            "idempotency_mismatch",
            "the idempotency key was used with another request",
            Verdict.NOT_RUN,
            422,
            param="Idempotency-Key",
        ),
        "running": Failure(
            "in_progress", "the call with this idempotency key is under way", Verdict.MAY_HAVE_RUN, 409, 1.0
        ),
        "ran": Failure("answer_not_kept", "the call ran, its answer was too large to keep", Verdict.RAN, 409),
    }
    unknown = Failure("outcome_unknown", "the outcome of the call with this key is unknown", Verdict.MAY_HAVE_RUN, 409)
    raise FailureError(failures.get(answer.status, unknown))
