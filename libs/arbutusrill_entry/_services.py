"""Calls to plain services: repeatable calls with retries, and calls that run at most once."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from contextlib import ExitStack

from arbutusrill_base import Failure, FailureError, Verdict
from arbutusrill_http import AbortStreamError, BodyReservation, Transfer, TransferResult, fetch, field_text
from arbutusrill_limits import Charge
from werkzeug.wrappers import Request

from ._answer import Answer
from ._auth import authenticate, forwarded_headers, forwarded_query, refuse_key_in_body, refuse_key_in_path
from ._call import Call
from ._context import EntryContext, close_after
from ._guard import KeyGuard
from ._journal import JournaledCall
from ._parse import parse_deadline, parse_latency_class
from ._reservation import Requirements, ServerReservation, make_wait_check
from ._routes import match_route, raw_path

__all__ = ["Services"]

_CALL_TIMEOUT_S = 600.0
_STALL_TIMEOUT_S = 30.0
_MAX_ATTEMPTS = 3


class Services:
    """Serves calls to ``/services/<name>/<path>``."""

    def __init__(self, context: EntryContext):
        self._context = context

    def serve(self, request: Request, start_response: Callable, name: str, call: Call) -> Iterable[bytes]:
        """Serves one call; raises `FailureError` if it is rejected or no server answers it."""
        follower = self._context.follower
        path = raw_path(request)
        route = match_route(follower.config, name, request.method, path)
        guard = KeyGuard(follower, "", "") if route.open else authenticate(request, follower)
        call.workspace, call.route = guard.workspace, f"services/{name}"
        refuse_key_in_path(request, path)
        refuse_key_in_body(request, follower)
        with ExitStack() as stack:
            memory = stack.enter_context(self._context.body_budget.open(guard.workspace, is_response=True))
            service_call = _ServiceCall(
                self._context, request, start_response, name, path, route.repeatable, guard, call, memory
            )
            try:
                return close_after(self._serve_charged(service_call, guard), stack)
            except AbortStreamError:
                # The end of a drain looks like a caller that has left to a call that waits.
                if service_call.verdict is Verdict.NOT_RUN and self._context.drain_over.is_set():
                    raise FailureError(_draining_failure(Verdict.NOT_RUN)) from None
                raise

    def _serve_charged(self, service_call: _ServiceCall, guard: KeyGuard) -> Iterable[bytes]:
        request = service_call.request
        key = request.headers.get("Idempotency-Key")
        with self._charge(service_call.requirements, request.environ["werkzeug.socket"], guard) as charge:
            try:
                if service_call.is_repeatable or key is None:
                    return service_call.run().finish(request.environ)
                name = service_call.requirements.pool
                return self._serve_journaled(
                    service_call, JournaledCall(self._context.journal, request, name, guard.workspace, key)
                )
            finally:
                if service_call.verdict is Verdict.NOT_RUN:
                    charge.refund_unused(0)

    def _charge(self, requirements: Requirements, caller: socket.socket, guard: KeyGuard) -> Charge:
        config = self._context.follower.config
        # A route without authentication has no workspace to charge.
        tokens = 0.0
        if guard.workspace:
            tokens = config.value("limits.plain_call_tokens", workspace=guard.workspace, service=requirements.pool)
        return self._context.limits.charge(
            guard.workspace, tokens, requirements.deadline, make_wait_check(caller, guard)
        )

    def _serve_journaled(self, service_call: _ServiceCall, journaled: JournaledCall) -> Iterable[bytes]:
        recorded = journaled.begin()
        if recorded is not None:
            return recorded(service_call.request.environ, service_call.start_response)
        try:
            answer = service_call.run(journaled)
        except BaseException:
            journaled.record_failure(service_call.verdict)
            raise
        journaled.record_answer(answer)
        return answer.finish(service_call.request.environ)


class _ServiceCall:
    """Sends one call to a server and retries it at another one if that is safe.

    `verdict` holds for all attempts so far, even after an exception: it becomes ``MAY_HAVE_RUN`` before the first
    byte is sent and returns to ``NOT_RUN`` only if the request provably did not run.
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
        memory: BodyReservation,
    ):
        self._context = context
        self._name = name
        self._path = path
        self.is_repeatable = repeatable
        self._guard = guard
        self._call = call
        self._memory = memory
        self._caller = request.environ["werkzeug.socket"]
        self.request = request
        self.requirements = self._make_requirements()
        self.start_response = start_response
        self._journaled: JournaledCall | None = None
        self.verdict = Verdict.NOT_RUN

    def run(self, journaled: JournaledCall | None = None) -> Answer:
        """Returns the complete answer; raises `FailureError`, or `AbortStreamError` to abort the response."""
        self._journaled = journaled
        if self._context.pools.find_pool(self._name) is None:
            raise FailureError(Failure("no_server", f"no server of {self._name!r} is known", retry_after=1.0))
        if self.is_repeatable:
            self._context.retry_budget.record_request()
        with ServerReservation(self._context, self.requirements, self._caller, self._guard) as reservation:
            for attempt in range(1, _MAX_ATTEMPTS + 1):
                answer, result = self._send(reservation)
                if result.is_complete:
                    return answer
                outcome = "not_sent" if result.verdict is Verdict.NOT_RUN else "decode_failed"
                reservation.set_failure(outcome, reservation.assignment.decode_server)
                self._check_retry(answer, result, attempt)
                del answer  # and what it has kept
                try:
                    reservation.reassign(outcome, reservation.assignment.decode_server)
                except FailureError as error:
                    raise self._with_call_verdict(error.failure) from None
        raise AssertionError("the last attempt returns or raises")

    def _make_requirements(self) -> Requirements:
        config = self._context.follower.config
        latency_class = parse_latency_class(self.request, "lookup" if self.is_repeatable else "interactive")
        wait_s = config.value(f"queue.max_wait_s.{latency_class}", workspace=self._guard.workspace, service=self._name)
        deadline, set_by_caller = parse_deadline(self.request, wait_s)
        return Requirements(
            self._name,
            self._call.request_id,
            self._guard.workspace,
            latency_class,
            deadline,
            weight=config.share_weight(self._guard.workspace),
            reassign_wait_s=wait_s,
            caller_deadline=deadline if set_by_caller else float("inf"),
        )

    def _send(self, reservation: ServerReservation) -> tuple[Answer, TransferResult]:
        failure = self._guard.check_key(self.verdict, force=True)
        if failure is not None:
            raise FailureError(failure)
        self._memory.shrink(0)  # of an earlier attempt
        max_recorded_bytes = 0 if self.is_repeatable else self._context.follower.config.value("journal.answer_bytes")
        answer = Answer(
            self.start_response,
            self._call.request_id,
            max_recorded_bytes,
            read_after_disconnect=not self.is_repeatable,
            memory=self._memory,
        )
        transfer = self._make_transfer(reservation, answer)
        if self._context.drain_over.is_set():
            raise FailureError(_draining_failure(self.verdict))
        if self._journaled is not None:
            self._journaled.check_send(self.requirements.deadline)
        earlier_verdict = self.verdict
        self.verdict = earlier_verdict.combine(Verdict.MAY_HAVE_RUN)
        result = fetch(transfer)
        if result.is_complete and answer.ends_inside_event:
            result.error, result.detail = "broken", "the stream ended inside an event"
            result.verdict = Verdict.MAY_HAVE_RUN
        self.verdict = earlier_verdict.combine(result.verdict)
        if result.error == "gone":
            raise AbortStreamError
        if result.error == "stopped":
            failure = self._guard.check_key(self.verdict, force=True)
            raise FailureError(failure or _service_failure(self._name, result, self.verdict))
        return answer, result

    def _make_transfer(self, reservation: ServerReservation, answer: Answer) -> Transfer:
        query = forwarded_query(self.request)
        headers = [*forwarded_headers(self.request), f"X-Request-Id: {self._call.request_id}"]
        if self._guard.workspace:
            headers.append(f"X-Workspace: {field_text(self._guard.workspace)}")
        transfer = Transfer(
            self.request.method,
            f"{reservation.assignment.decode_address}/{self._path}" + (f"?{query}" if query else ""),
            headers,
            self.request.get_data(),
            _CALL_TIMEOUT_S,
            _STALL_TIMEOUT_S,
            on_head=answer.on_head,
            on_data=answer.on_data,
        )
        if self.is_repeatable:
            # Only repeatable calls may be aborted: the outcome of any other aborted call would be unknown.
            transfer.caller_connection = self._caller
            transfer.should_stop = self._key_refused
        else:
            # The process ends soon: the caller is told in time that the outcome is unknown.
            transfer.should_stop = lambda: self._context.drain_over.is_set() and not answer.begun
        return transfer

    def _key_refused(self) -> bool:
        return self._guard.check_key(Verdict.MAY_HAVE_RUN) is not None

    def _check_retry(self, answer: Answer, result: TransferResult, attempt: int) -> None:
        """Raises `FailureError` or `AbortStreamError` unless another attempt is safe and within the retry budget."""
        failure = _service_failure(self._name, result, self.verdict)
        if answer.begun:
            self._call.set_failure(failure)
            raise AbortStreamError
        if attempt == _MAX_ATTEMPTS:
            raise FailureError(failure)
        if result.verdict is Verdict.NOT_RUN:
            return
        if not self.is_repeatable or not self._context.try_acquire_retry():
            raise FailureError(failure)

    def _with_call_verdict(self, failure: Failure) -> FailureError:
        """Returns an error with the combined verdict of the call's attempts and `failure`."""
        verdict = self.verdict.combine(failure.verdict)
        return FailureError(Failure(failure.code, failure.message, verdict, failure.status, failure.retry_after))


def _draining_failure(verdict: Verdict) -> Failure:
    return Failure("draining", "this VM stops, use another one", verdict, 503, 1.0)


def _service_failure(name: str, result: TransferResult, verdict: Verdict) -> Failure:
    message = f"the service {name!r} did not answer: {result.detail}"
    return Failure("service_unavailable", message, verdict, 502, 1.0 if verdict is Verdict.NOT_RUN else None)
