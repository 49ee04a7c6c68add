"""The entry VM's side of the journal of calls that may run at most once."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from arbutusrill_base import Failure, FailureError, Verdict
from arbutusrill_state import ControlUnavailableError, command
from arbutusrill_wire import messages
from werkzeug.wrappers import Request, Response

from ._answer import Answer
from ._context import EntryContext

__all__ = ["JournaledCall"]

_CALL_S = 4.0
_RECORD_S = 60.0
_KEPT_HEADERS = ("content-type", "content-encoding", "location", "etag")
_LONGEST_KEY = 255


class JournaledCall:
    """One attempt of a call with an idempotency key: written down before it is sent and after it ended."""

    def __init__(self, context: EntryContext, request: Request, name: str, workspace: str, key: str):
        if not key.strip() or len(key) > _LONGEST_KEY:
            message = f"Idempotency-Key must have 1 to {_LONGEST_KEY} characters"
            raise FailureError(Failure("invalid_value", message, status=400, param="Idempotency-Key"))
        self._context = context
        self._workspace = workspace
        # Keys of routes that are open to all would otherwise meet those of other services.
        self._key = key if workspace else f"{name} {key}"
        self._attempt = 0
        self._digest = _digest(request, name)

    def begin(self) -> Response | None:
        """Writes the intent; returns the recorded response when the call has run, raises `FailureError`."""
        me = self._context.follower.identity
        begin = messages.JournalBegin(self._workspace, self._key, self._digest, me.vm, me.incarnation)
        made = command(begin, me.vm, self._context.clock.wall_ms())
        try:
            answer = self._context.control.call("begin_call", made, timeout=_CALL_S)
        except (ControlUnavailableError, messages.Refused) as error:
            if getattr(error, "sent", True):
                self._context.cleanup.add("withdrawal of an intent", lambda: self._withdraw(made), _RECORD_S)
            message = f"the journal does not answer: {getattr(error, 'message', '') or error}"
            raise FailureError(Failure("journal_unavailable", message, Verdict.NOT_RUN, 503, 1.0)) from None
        if answer.status != "started":
            return _recorded(answer)
        self._attempt = answer.attempt
        return None

    def _withdraw(self, made: Any) -> bool:
        """Ends an attempt whose start was not answered; nothing was sent for it."""
        try:
            answer = self._context.control.call("begin_call", made, timeout=_CALL_S)
        except (ControlUnavailableError, messages.Refused):
            return False
        if answer.status == "started":
            self._attempt = answer.attempt
            self._record(messages.JournalFinish(self._workspace, self._key, answer.attempt, "not_run"))
        return True

    def finish(self, answer: Answer) -> None:
        """Records the answer, or only that the call has run when the body is too large to keep."""
        body = answer.body
        headers = [(name, answer.headers_by_name[name]) for name in _KEPT_HEADERS if name in answer.headers_by_name]
        finish = messages.JournalFinish(self._workspace, self._key, self._attempt, "ran")
        if body is not None:
            finish.status, finish.http_status = "done", answer.status
            finish.headers_json, finish.body = json.dumps(headers), body
        self._record(finish)

    def fail(self, verdict: Verdict) -> None:
        """Records an attempt without an answer; only a proven ``NOT_RUN`` allows another attempt."""
        status = "not_run" if verdict is Verdict.NOT_RUN else "unknown"
        self._record(messages.JournalFinish(self._workspace, self._key, self._attempt, status))

    def _record(self, finish: Any) -> None:
        made = command(finish, self._context.follower.identity.vm, self._context.clock.wall_ms())
        if not self._recorded(made):
            self._context.cleanup.add("record of a call", lambda: self._recorded(made), _RECORD_S)

    def _recorded(self, made: Any) -> bool:
        try:
            self._context.control.call("finish_call", made, timeout=_CALL_S)
        except (ControlUnavailableError, messages.Refused):
            return False
        return True


def _digest(request: Request, name: str) -> bytes:
    target = request.environ.get("REQUEST_URI", request.path)
    digest = hashlib.sha256(f"{request.method} {name} {target}\n".encode("utf-8", "surrogateescape"))
    digest.update(request.get_data())
    return digest.digest()


def _recorded(answer: Any) -> Response:
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
