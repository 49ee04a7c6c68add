"""Client of the journal on an entry VM: begins calls, checks the send deadline and records how calls ended."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock, Failure, FailureError, PartLog, TaskGroup, Verdict, new_request_id
from arbutusrill_wire import messages

from ._client import ControlClient, ControlUnavailableError
from ._commands import make_command
from ._journal import MAX_IDEMPOTENCY_KEY_CHARACTERS

__all__ = ["Attempt", "JournalClient"]

_CALL_TIMEOUT_S = 4.0  # of a begin and of a finish that is retried in the background
_FINISH_TIMEOUT_S = 1.0  # time for which a caller waits until its answer is recorded; later tries run in the background
_MAX_SEND_DELAY_S = 10.0  # from sending the begin to sending the call; far below the least journal.retention_s, 60 s
_MAX_BEGIN_DELAY_S = 30.0  # time for which a begin without a reply may still be applied
_MAX_UNRECORDED_FINISHES = 1000  # 64 MB with answers of the default journal.answer_bytes
_RETRY_INTERVAL_S = 0.5
_log = PartLog("journal")


@dataclass(slots=True)
class Attempt:
    """One attempt of a once-only call and the journal's `BeginAnswer`.

    `send_by` is the latest time to send it (monotonic clock, seconds). `sent` is set when `check_send` allows the send;
    until then, the call has certainly not run.
    """

    workspace: str
    key: str
    begin_id: str
    answer: Any
    send_by: float
    sent: bool = False


@dataclass(slots=True)
class _UnrecordedFinish:
    command: Any
    queued_at: float


class JournalClient:
    """Records the begins and finishes (`JournalBegin`, `JournalFinish`) of an entry VM's once-only calls."""

    def __init__(self, vm: str, incarnation: int, control: ControlClient, clock: Clock):
        self._vm = vm
        self._incarnation = incarnation
        self._control = control
        self._clock = clock
        self._queue_changed = threading.Condition()
        self._unrecorded: deque[_UnrecordedFinish] = deque()

    def start(self, tasks: TaskGroup) -> None:
        """Starts a thread that retries unrecorded finishes until `tasks` stops."""
        if tasks.start(self._run_retries, tasks) is None:
            raise RuntimeError("task group has no free thread for the journal")

    def begin(self, workspace: str, key: str, digest: bytes) -> Attempt:
        """Records the intent to send a call; the VM may send it only if `answer.status` is ``started``.

        The begin may be sent to the control group several times, always with the same request ID. Raises
        `FailureError` with the verdict ``not_run`` when the journal does not answer; the call must not be sent then.
        """
        if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS:
            message = f"an idempotency key has 1 to {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
            raise FailureError(Failure("bad_idempotency_key", message, status=400, param="Idempotency-Key"))
        begin_id = new_request_id("beg")
        change = messages.JournalBegin(workspace, key, digest, self._vm, self._incarnation)
        begin_command = make_command(change, self._vm, self._clock.wall_ms(), begin_id)
        sent_at = self._clock.monotonic()
        try:
            answer = self._control.call("begin_call", begin_command, timeout=_CALL_TIMEOUT_S)
        except (ControlUnavailableError, messages.Refused) as error:
            if not isinstance(error, ControlUnavailableError) or error.sent:
                # The begin may have been recorded, although the call will not be sent.
                self._enqueue(messages.JournalFinish(workspace, key, 0, "not_run", begin_id=begin_id))
            message = f"the journal of once-only calls does not answer: {error}"
            raise FailureError(Failure("journal_unavailable", message, status=503, retry_after=1.0)) from None
        return Attempt(workspace, key, begin_id, answer, sent_at + _MAX_SEND_DELAY_S)

    def check_send(self, attempt: Attempt, deadline: float) -> None:
        """Raises `FailureError` if it is too late to send; must be called right before the first byte is sent.

        A VM that was suspended after the begin must not send a call that its caller has given up or that, once its
        journal entry has expired, another VM may have begun again. `deadline` is the caller's (monotonic, seconds).
        """
        if self._clock.monotonic() >= min(attempt.send_by, deadline):
            message = "the call was not sent in time after its intent was recorded"
            raise FailureError(Failure("send_too_late", message, status=503, retry_after=1.0))
        attempt.sent = True

    def record_failure(self, attempt: Attempt, verdict: Verdict) -> None:
        """Records that an attempt ended without an answer, as ``not_run`` only if that is proven."""
        status = {Verdict.NOT_RUN: "not_run", Verdict.RAN: "ran"}.get(verdict, "unknown")
        if not attempt.sent:
            status = "not_run"
        self._finish(attempt, messages.JournalFinish(status=status))

    def record_answer(self, attempt: Attempt, status: int, headers_json: str, body: bytes, answer_bytes: int) -> None:
        """Records an answer; a body above `answer_bytes` is left out and the call recorded as ``ran``."""
        if len(body) > answer_bytes:
            self._finish(attempt, messages.JournalFinish(status="ran"))
        else:
            finish = messages.JournalFinish(status="done", http_status=status, headers_json=headers_json, body=body)
            self._finish(attempt, finish)

    def _finish(self, attempt: Attempt, change: Any) -> None:
        change.workspace, change.key, change.begin_id = attempt.workspace, attempt.key, attempt.begin_id
        change.attempt = attempt.answer.attempt
        finish_command = make_command(change, self._vm, self._clock.wall_ms())
        if not self._record(_UnrecordedFinish(finish_command, self._clock.monotonic()), _FINISH_TIMEOUT_S):
            self._enqueue(change, finish_command)

    def _enqueue(self, change: Any, finish_command: Any = None) -> None:
        with self._queue_changed:
            if len(self._unrecorded) >= _MAX_UNRECORDED_FINISHES:
                _log.warning("outcome of a once-only call dropped, %d are queued already", _MAX_UNRECORDED_FINISHES)
                return
            finish_command = finish_command or make_command(change, self._vm, self._clock.wall_ms())
            self._unrecorded.append(_UnrecordedFinish(finish_command, self._clock.monotonic()))
            self._queue_changed.notify_all()

    def _record(self, item: _UnrecordedFinish, timeout: float) -> bool:
        """Tries once to record a finish; returns False if it has to be retried."""
        change = item.command.journal_finish
        try:
            outcome = self._control.call("finish_call", item.command, timeout=timeout)
        except (ControlUnavailableError, messages.Refused) as error:
            _log.warning("outcome %s of a once-only call not recorded yet: %s", change.status, error)
            return False
        if outcome.accepted:
            return True
        # Attempt 0: the begin got no reply and may still be applied, so the finish is retried until that is impossible.
        if change.attempt == 0 and self._clock.monotonic() - item.queued_at < _MAX_BEGIN_DELAY_S:
            return False
        if change.attempt:
            _log.warning("outcome %s of a once-only call not accepted: %s", change.status, outcome.message)
        return True

    def _run_retries(self, tasks: TaskGroup) -> None:
        while not tasks.stopping.is_set():
            with self._queue_changed:
                self._queue_changed.wait_for(lambda: self._unrecorded or tasks.stopping.is_set(), _RETRY_INTERVAL_S)
            if not self.retry_finishes():
                tasks.stopping.wait(_RETRY_INTERVAL_S)

    def retry_finishes(self) -> bool:
        """Tries to record each queued finish once; returns whether the queue is empty."""
        for _ in range(len(self._unrecorded)):
            with self._queue_changed:
                if not self._unrecorded:
                    break
                item = self._unrecorded.popleft()
            if not self._record(item, _CALL_TIMEOUT_S):
                with self._queue_changed:
                    self._unrecorded.append(item)
        return not self._unrecorded

    def flush(self, deadline: float) -> bool:
        """Retries queued finishes until `deadline` (monotonic, seconds); returns whether the queue is empty."""
        while not self.retry_finishes():
            if self._clock.monotonic() >= deadline:
                return False
            threading.Event().wait(0.1)
        return True
