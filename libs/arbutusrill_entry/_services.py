"""Calls to plain services: repeatable ones, and those that may run at most once."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable

from arbutusrill_base import Failure, FailureError, Verdict
from arbutusrill_http import AbortStreamError, Transfer, TransferResult, fetch
from arbutusrill_limits import Charge
from werkzeug.wrappers import Request

from ._answer import Answer
from ._auth import authenticate, passed_headers, passed_query, refuse_key_in_body, refuse_key_in_path
from ._call import Call
from ._context import EntryContext
from ._guard import KeyGuard
from ._journal import JournaledCall
from ._parse import deadline_of, latency_class_of
from ._slots import Place, Wanted, leave_check
from ._target import raw_path, route_of

__all__ = ["Services"]

_CALL_S = 600.0
_SILENCE_S = 30.0
_FIRST_SILENCE_S = 2.0  # on a kept connection, whose state a middlebox may have lost
_ATTEMPTS = 3


class Services:
    """Serves ``/services/<name>/<path>``."""

    def __init__(self, context: EntryContext):
        self._context = context

    def serve(self, request: Request, start_response: Callable, name: str, call: Call) -> Iterable[bytes]:
        """Serves one call; raises `FailureError` for whatever the server did not answer itself."""
        follower = self._context.follower
        path = raw_path(request)
        route = route_of(follower.config, name, request.method, path)
        guard = KeyGuard(follower, "", "") if route.open else authenticate(request, follower)
        call.workspace, call.route = guard.workspace, f"services/{name}"
        refuse_key_in_path(request, path)
        refuse_key_in_body(request, follower)
        sending = _Sending(self._context, request, start_response, name, path, route.repeatable, guard, call)
        key = request.headers.get("Idempotency-Key")
        with self._charge(sending.wanted, request.environ["werkzeug.socket"], guard) as charge:
            try:
                if route.repeatable or key is None:
                    return sending.run().finish(request.environ)
                return self._once(sending, JournaledCall(self._context.journal, request, name, guard.workspace, key))
            finally:
                if sending.verdict is Verdict.NOT_RUN:
                    charge.settle(0)

    def _charge(self, wanted: Wanted, caller: socket.socket, guard: KeyGuard) -> Charge:
        config = self._context.follower.config
        # Routes open to all have no workspace to charge.
        tokens = 0.0
        if guard.workspace:
            tokens = config.value("limits.plain_call_tokens", workspace=guard.workspace, service=wanted.pool)
        return self._context.limits.charge(guard.workspace, tokens, wanted.deadline, leave_check(caller, guard))

    def _once(self, sending: _Sending, journaled: JournaledCall) -> Iterable[bytes]:
        recorded = journaled.begin()
        if recorded is not None:
            return recorded(sending.request.environ, sending.start_response)
        try:
            answer = sending.run(journaled)
        except BaseException:
            journaled.fail(sending.verdict)
            raise
        journaled.finish(answer)
        return answer.finish(sending.request.environ)


class _Sending:
    """Sends one call to a server, and to another one where that is safe.

    `verdict` is at any moment true of the attempts so far, also when an exception ends them: it is raised
    before the first byte can leave and lowered only by proof.
    """

    def __init__(
        self,
        context: EntryContext,
        request: Request,
        start_response: Callable,
        name: str,
        path: str,
        repeatable: bool,
        guard: KeyGuard,
        call: Call,
    ):
        self._context = context
        self._name = name
        self._path = path
        self._repeatable = repeatable
        self._guard = guard
        self._call = call
        self._caller = request.environ["werkzeug.socket"]
        self.request = request
        self.wanted = self._wanted()
        self.start_response = start_response
        self._journaled: JournaledCall | None = None
        self.verdict = Verdict.NOT_RUN

    def run(self, journaled: JournaledCall | None = None) -> Answer:
        """Returns a complete answer; raises `FailureError` or `AbortStreamError`."""
        self._journaled = journaled
        if self._context.pools.known(self._name) is None:
            raise FailureError(Failure("no_server", f"no server of {self._name!r} is known", retry_after=1.0))
        if self._repeatable:
            self._context.budget.request()
        with Place(self._context, self.wanted, self._caller, self._guard) as place:
            for attempt in range(1, _ATTEMPTS + 1):
                answer, result = self._send(place, attempt)
                if result.whole:
                    return answer
                outcome = "not_sent" if result.verdict is Verdict.NOT_RUN else "decode_failed"
                place.blame(outcome, place.assignment.decode_server)
                self._check_retry(answer, result, attempt)
                try:
                    place.move(outcome, place.assignment.decode_server)
                except FailureError as error:
                    raise self._with_verdict(error.failure) from None
        raise AssertionError("the last attempt returns or raises")

    def _wanted(self) -> Wanted:
        config = self._context.follower.config
        latency_class = latency_class_of(self.request, "lookup" if self._repeatable else "interactive")
        wait_s = config.value(f"queue.max_wait_s.{latency_class}", workspace=self._guard.workspace, service=self._name)
        deadline, own = deadline_of(self.request, wait_s)
        return Wanted(
            self._name,
            self._call.request_id,
            self._guard.workspace,
            latency_class,
            deadline,
            weight=config.share_weight(self._guard.workspace),
            move_wait_s=wait_s,
            last_moment=deadline if own else float("inf"),
        )

    def _send(self, place: Place, attempt: int) -> tuple[Answer, TransferResult]:
        failure = self._guard.failure(self.verdict, always=True)
        if failure is not None:
            raise FailureError(failure)
        kept = 0 if self._repeatable else self._context.follower.config.value("journal.answer_bytes")
        answer = Answer(self.start_response, self._call.request_id, kept, outlives_caller=not self._repeatable)
        transfer = self._transfer(place, attempt, answer)
        if self._journaled is not None:
            self._journaled.check_send(self.wanted.deadline)
        before = self.verdict
        self.verdict = before.worst(Verdict.MAY_HAVE_RUN)
        result = fetch(transfer)
        self.verdict = before.worst(result.verdict)
        if result.error == "gone":
            raise AbortStreamError
        if result.error == "stopped":
            failure = self._guard.failure(self.verdict, always=True)
            raise FailureError(failure or _failure(self._name, result, self.verdict))
        return answer, result

    def _transfer(self, place: Place, attempt: int, answer: Answer) -> Transfer:
        query = passed_query(self.request)
        headers = [*passed_headers(self.request), f"X-Request-Id: {self._call.request_id}"]
        if self._guard.workspace:
            headers.append(f"X-Workspace: {self._guard.workspace}")
        transfer = Transfer(
            self.request.method,
            f"{place.assignment.decode_address}/{self._path}" + (f"?{query}" if query else ""),
            headers,
            self.request.get_data(),
            _CALL_S,
            _SILENCE_S,
            fresh=not self._repeatable or attempt > 1,
            on_head=answer.on_head,
            on_data=answer.on_data,
        )
        if self._repeatable:
            # A call that may run only once is never cut: its outcome would be unknown.
            transfer.watched = self._caller
            transfer.should_stop = self._key_refused
            transfer.stall_s = _FIRST_SILENCE_S if attempt == 1 else _SILENCE_S
        return transfer

    def _key_refused(self) -> bool:
        return self._guard.failure(Verdict.MAY_HAVE_RUN) is not None

    def _check_retry(self, answer: Answer, result: TransferResult, attempt: int) -> None:
        """Returns when another attempt is safe and allowed, raises otherwise."""
        failure = _failure(self._name, result, self.verdict)
        if answer.begun:
            self._call.failed(failure)
            raise AbortStreamError
        if attempt == _ATTEMPTS:
            raise FailureError(failure)
        if result.verdict is Verdict.NOT_RUN:
            return
        if not self._repeatable or not self._context.take_retry():
            raise FailureError(failure)

    def _with_verdict(self, failure: Failure) -> FailureError:
        verdict = self.verdict.worst(failure.verdict)
        return FailureError(Failure(failure.code, failure.message, verdict, failure.status, failure.retry_after))


def _failure(name: str, result: TransferResult, verdict: Verdict) -> Failure:
    message = f"the service {name!r} did not answer: {result.detail}"
    return Failure("service_unavailable", message, verdict, 502, 1.0 if verdict is Verdict.NOT_RUN else None)
