"""The entry VM's side of the journal: begins, the fence before the send, and finishes until they are recorded."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock, Failure, FailureError, PartLog, TaskGroup, Verdict, new_request_id
from arbutusrill_wire import messages

from ._client import ControlClient, ControlUnavailableError
from ._commands import command
from ._journal import MAX_IDEMPOTENCY_KEY

__all__ = ["Attempt", "JournalClient"]

_BEGIN_S = 4.0
_FINISH_S = 1.0  # how long a caller waits for the record of its answer; then it is recorded in the background
_SEND_WITHIN_S = 10.0  # after the begin was sent; far below the shortest retention, 60 s
_LOST_BEGIN_S = 30.0  # a begin without an answer may still be applied for this long
_MAX_UNRECORDED = 1000  # with answers of at most journal.answer_bytes, 64 MB
_RETRY_S = 0.5
_log = PartLog("journal")


@dataclass(slots=True)
class Attempt:
    """The journal's answer to a begin. `send_by` is on the monotonic clock, in seconds.

    `sent` is set once `check_send` has allowed the send; until then, the call has certainly not run.
    """

    workspace: str
    key: str
    begin_id: str
    answer: Any
    send_by: float
    sent: bool = False


@dataclass(slots=True)
class _Unrecorded:
    made: Any
    since: float


class JournalClient:
    """Begins and finishes once-only calls for one entry VM."""

    def __init__(self, vm: str, incarnation: int, control: ControlClient, clock: Clock):
        self._vm = vm
        self._incarnation = incarnation
        self._control = control
        self._clock = clock
        self._changed = threading.Condition()
        self._unrecorded: deque[_Unrecorded] = deque()

    def start(self, tasks: TaskGroup) -> None:
        """Records finishes that could not be recorded at once, until `tasks` stops."""
        if tasks.start(self._run, tasks) is None:
            raise RuntimeError("task group has no thread left for the journal")

    def begin(self, workspace: str, key: str, digest: bytes) -> Attempt:
        """Writes the intent of a call; `answer.status` says whether this VM may send it.

        The begin may be sent to the control group several times, always with the same request id. Raises
        `FailureError` with the verdict ``not_run``: without an answer, the call is not sent.
        """
        if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY:
            message = f"an idempotency key has 1 to {MAX_IDEMPOTENCY_KEY} characters"
            raise FailureError(Failure("bad_idempotency_key", message, status=400, param="Idempotency-Key"))
        begin_id = new_request_id("beg")
        change = messages.JournalBegin(workspace, key, digest, self._vm, self._incarnation)
        made = command(change, self._vm, self._clock.wall_ms(), begin_id)
        sent_at = self._clock.monotonic()
        try:
            answer = self._control.call("begin_call", made, timeout=_BEGIN_S)
        except (ControlUnavailableError, messages.Refused) as error:
            if not isinstance(error, ControlUnavailableError) or error.sent:
                # The begin may have been recorded although nobody will send the call.
                self._keep(messages.JournalFinish(workspace, key, 0, "not_run", begin_id=begin_id))
            message = f"the journal of once-only calls does not answer: {error}"
            raise FailureError(Failure("journal_unavailable", message, status=503, retry_after=1.0)) from None
        return Attempt(workspace, key, begin_id, answer, sent_at + _SEND_WITHIN_S)

    def check_send(self, attempt: Attempt, deadline: float) -> None:
        """Raises `FailureError` when it is too late to send; to be called right before the first byte is sent.

        A VM that was frozen in between must not send a call that its caller has given up or, after the
        retention, that another VM may have begun anew. `deadline` is the caller's, monotonic, in seconds.
        """
        if self._clock.monotonic() >= min(attempt.send_by, deadline):
            message = "the call was not sent in time after its intent was recorded"
            raise FailureError(Failure("send_too_late", message, status=503, retry_after=1.0))
        attempt.sent = True

    def fail(self, attempt: Attempt, verdict: Verdict) -> None:
        """Records that an attempt ended without an answer: as ``not_run`` only if that is proven."""
        status = {Verdict.NOT_RUN: "not_run", Verdict.RAN: "ran"}.get(verdict, "unknown")
        if not attempt.sent:
            status = "not_run"
        self._finish(attempt, messages.JournalFinish(status=status))

    def succeed(self, attempt: Attempt, status: int, headers_json: str, body: bytes, answer_bytes: int) -> None:
        """Records an answer; a body above `answer_bytes` is left out and the call recorded as ``ran``."""
        if len(body) > answer_bytes:
            self._finish(attempt, messages.JournalFinish(status="ran"))
        else:
            done = messages.JournalFinish(status="done", http_status=status, headers_json=headers_json, body=body)
            self._finish(attempt, done)

    def _finish(self, attempt: Attempt, change: Any) -> None:
        change.workspace, change.key, change.begin_id = attempt.workspace, attempt.key, attempt.begin_id
        change.attempt = attempt.answer.attempt
        made = command(change, self._vm, self._clock.wall_ms())
        if not self._record(_Unrecorded(made, self._clock.monotonic()), _FINISH_S):
            self._keep(change, made)

    def _keep(self, change: Any, made: Any = None) -> None:
        with self._changed:
            if len(self._unrecorded) >= _MAX_UNRECORDED:
                _log.warning("outcome of a once-only call dropped, %d wait already", _MAX_UNRECORDED)
                return
            made = made or command(change, self._vm, self._clock.wall_ms())
            self._unrecorded.append(_Unrecorded(made, self._clock.monotonic()))
            self._changed.notify_all()

    def _record(self, item: _Unrecorded, timeout: float) -> bool:
        """Tries once to record a finish; returns whether nothing is left to be done."""
        change = item.made.journal_finish
        try:
            outcome = self._control.call("finish_call", item.made, timeout=timeout)
        except (ControlUnavailableError, messages.Refused) as error:
            _log.warning("outcome %s of a once-only call not recorded yet: %s", change.status, error)
            return False
        if outcome.accepted:
            return True
        if change.attempt == 0 and self._clock.monotonic() - item.since < _LOST_BEGIN_S:
            return False
        if change.attempt:
            _log.warning("outcome %s of a once-only call not accepted: %s", change.status, outcome.message)
        return True

    def _run(self, tasks: TaskGroup) -> None:
        while not tasks.stopping.is_set():
            with self._changed:
                self._changed.wait_for(lambda: self._unrecorded or tasks.stopping.is_set(), _RETRY_S)
            if not self.retry():
                tasks.stopping.wait(_RETRY_S)

    def retry(self) -> bool:
        """Tries each unrecorded finish once; returns whether none is left."""
        for _ in range(len(self._unrecorded)):
            with self._changed:
                if not self._unrecorded:
                    break
                item = self._unrecorded.popleft()
            if not self._record(item, _BEGIN_S):
                with self._changed:
                    self._unrecorded.append(item)
        return not self._unrecorded

    def flush(self, deadline: float) -> bool:
        """Tries until `deadline` (monotonic, seconds) to record what is left; returns whether all is recorded."""
        while not self.retry():
            if self._clock.monotonic() >= deadline:
                return False
            threading.Event().wait(0.1)
        return True
