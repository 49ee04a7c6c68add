"""Second sends of slow requests: a thread sends a copy to another server while the request's own thread waits."""

from __future__ import annotations

import contextlib
import os
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from arbutusrill_base import EventLog
from arbutusrill_http import peer_closed
from arbutusrill_site import RouteKind
from arbutusrill_state import ControlClient, ControlUnavailableError
from arbutusrill_wire import messages

from ._attempt import AttemptResult, BodyReceiver, Outcome, send_attempt
from ._backends import Candidate
from ._exchange import Exchange
from ._plain_load import ServerLoad
from ._second_sends import Race, RepeatableRequests, SecondSendPolicy, Sender

__all__ = ["SecondSend", "SecondSender"]

_THREADS = 8  # second sends of a VM at a time
_GRANT_TIMEOUT_S = 0.1
_MAX_BODY_BYTES = 64 * 1024  # of a second answer; the first send goes on alone if it is larger
_CHECK_INTERVAL_S = 0.25  # between checks of the caller's connection
_events = EventLog("second-sends")


class SecondSender:
    """Second sends of one entry VM; a context manager that ends its threads.

    `counts_by_outcome` holds the sent, won, cancelled and failed ones since the start, and those that the limit, a
    short retry budget or the lack of another server, of a faster one or of one in time, did not allow.
    """

    def __init__(self, client: ControlClient):
        self._client = client
        self._threads = ThreadPoolExecutor(_THREADS, "second-send")
        self._lock = threading.Lock()
        self._requests = RepeatableRequests()
        self.policy = SecondSendPolicy()
        self.counts_by_outcome: dict[str, int] = {}

    def __enter__(self) -> SecondSender:
        return self

    def __exit__(self, *_: object) -> None:
        self._threads.shutdown(wait=False, cancel_futures=True)

    def report(self) -> list[Any]:
        """Returns the requests and answer times since the last report as `RepeatableUse` messages."""
        return [
            messages.RepeatableUse(service, total, answer_ms)
            for service, (total, answer_ms) in self._requests.take_report().items()
        ]

    def record_request(self, exchange: Exchange) -> None:
        """Counts a request that may be sent twice."""
        if _may_repeat(exchange):
            self._requests.record_request(exchange.service.name)

    def record_result(self, exchange: Exchange, result: AttemptResult, took_s: float) -> None:
        """Learns from the end of a send that was not cancelled; `took_s` counts from the first send of the request.

        Otherwise the delay would shrink with each slow answer that a second send has replaced.
        """
        if result.outcome is Outcome.REJECTED:
            self.policy.record_refusal(exchange.service.name, time.monotonic())
        elif result.outcome is Outcome.ANSWERED and result.response.status < 500 and _may_repeat(exchange):
            self._requests.record_answer(exchange.service.name, took_s)

    def delay_s(self, exchange: Exchange, first: Candidate) -> float | None:
        """Returns the time after which a second send of a request to `first` is due, None if there is to be none."""
        if not _may_repeat(exchange) or exchange.attempt_count + 2 > exchange.route.max_attempts:
            return None
        others = _others(exchange, first)
        return self.policy.delay_s(
            exchange.service.name,
            exchange.remaining_s(),
            time.monotonic(),
            exchange.objective_remaining_s(),
            others[0].expected_s if others else 0.0,
        )

    def count(self, outcome: str) -> None:
        """Counts the outcome of a second send."""
        with self._lock:
            self.counts_by_outcome[outcome] = self.counts_by_outcome.get(outcome, 0) + 1

    def submit(self, run: Callable[[], None]) -> bool:
        """Runs a second send on a thread; returns False while the VM stops."""
        try:
            self._threads.submit(run)
        except RuntimeError:
            return False
        return True

    def is_granted(self, service: str) -> bool:
        """Asks the leader whether the limit of the deployment allows a second send."""
        try:
            return self._client.call("second_send", service, timeout=_GRANT_TIMEOUT_S, try_timeout=_GRANT_TIMEOUT_S)
        except (ControlUnavailableError, messages.Refused):
            return False


def _may_repeat(exchange: Exchange) -> bool:
    return exchange.route.kind is RouteKind.IDEMPOTENT and exchange.route.max_attempts > 1


def _others(exchange: Exchange, first: Candidate) -> list[ServerLoad]:
    """Returns the sound servers other than `first` with an idle slot, the one first that is expected to answer soonest.

    A copy on a busy server makes other requests wait. The expected times are those that all VMs know: a VM sees too few
    requests of a service to know them by itself.
    """
    excluded = {*exchange.tried, first.id, *exchange.pool.avoided_ids()}
    # All servers are asked for: the state of a part of them would tell whether the service is busy.
    state = exchange.pool.plain_state(exchange.service, set())
    idle = [
        server
        for server in state.servers
        if server.in_progress < server.slots and not server.is_out and server.id not in excluded
    ]
    return sorted(idle, key=lambda server: server.expected_s * (1 + server.failure_share))


class _SecondAnswer(BodyReceiver):
    """Collects the answer to a second send."""

    def __init__(self, race: Race):
        self._race = race
        self._progress_at = time.monotonic()
        self.body = bytearray()

    def on_head(self, status: int, headers_by_name: dict[str, str]) -> None:
        """Ignores the head, which the attempt decodes."""

    def on_data(self, data: bytes) -> None:
        """Keeps a part of the body."""
        self._progress_at = time.monotonic()
        self.body += data
        if len(self.body) > _MAX_BODY_BYTES:
            self.problem = f"a second answer of more than {_MAX_BODY_BYTES} bytes"

    def should_stop(self) -> bool:
        """Also ends a send that has lost."""
        return bool(self.problem) or self._race.has_lost(Sender.SECOND)

    def progress_at(self) -> float:
        """Returns when the last part of the body arrived."""
        return self._progress_at


class SecondSend:
    """The possible second send beside the first send of a request to `first`; a context manager of its descriptor.

    Without `sender`, or where none may follow, `delay_s` is None and the first send is alone.
    """

    def __init__(self, sender: SecondSender | None, exchange: Exchange, first: Candidate):
        self._sender = sender
        self._exchange = exchange
        self._first = first
        self._ended = threading.Event()  # of the second send, or that there is none
        self._lock = threading.Lock()
        self._user_count = 1
        self._began_at = time.monotonic()
        self.race = Race()
        self.delay_s = None if sender is None else sender.delay_s(exchange, first)
        self.wake_up = None if self.delay_s is None else os.eventfd(0, os.EFD_NONBLOCK)

    def __enter__(self) -> SecondSend:
        return self

    def __exit__(self, *_: object) -> None:
        self.race.claim(Sender.FIRST)  # after an error, the second send is cancelled
        self._wake()
        self._release()

    def _release(self) -> None:
        with self._lock:
            self._user_count -= 1
            if not self._user_count and self.wake_up is not None:
                os.close(self.wake_up)

    def _wake(self) -> None:
        """Makes the send that goes on look whether it has lost."""
        if self.wake_up is not None:
            with contextlib.suppress(BlockingIOError):
                os.eventfd_write(self.wake_up, 1)

    def start(self) -> None:
        """Starts the second send, once; it asks for its grant on its own thread.

        While no other server is expected to be sooner, it does nothing: a later call may start the second send.
        """
        if self.delay_s is None or not self.race.may_start_second:
            return
        exchange = self._exchange
        others = _others(exchange, self._first)
        took_s = time.monotonic() - self._began_at
        obstacle = "no_server" if not others else self._delay_reason(others[0].expected_s, took_s)
        if obstacle:
            self._record_withheld(obstacle)
            return
        if not self.race.start_second():
            return
        listed = {server.id for server in exchange.pool.plain_state(exchange.service, set()).servers}
        unsound = {*exchange.pool.avoided_ids(), *exchange.pool.plain.out_ids()}
        other = exchange.pool.pick(exchange.service, exclude=(listed - {others[0].id}) | unsound)
        with self._lock:
            self._user_count += 1
        if not self._sender.submit(lambda: self._run(other)):
            self._release()
            self._withdraw("stopping")

    def _delay_reason(self, expected_s: float, took_s: float) -> str:
        """Returns why a copy with an expected time is not worthwhile now, empty if it is."""
        policy = self._sender.policy
        if not policy.is_sooner(expected_s, took_s):
            return "no_gain"
        elapsed_s = time.monotonic() - self._exchange.started
        return "" if policy.is_in_time(expected_s, elapsed_s, self._exchange.route.objective_s) else "too_late"

    def _record_withheld(self, reason: str) -> None:
        self._sender.count(reason)
        took_ms = round(1000 * (time.monotonic() - self._began_at), 1)
        _events.emit("second_send_withheld", request=self._exchange.request.id, reason=reason, after_ms=took_ms)

    def _withdraw(self, reason: str) -> None:
        self._record_withheld(reason)
        self.race.withdraw_second()
        self._ended.set()
        self._wake_if_decided()

    def _wake_if_decided(self) -> None:
        if self.race.winner is not None:
            self._wake()

    def _run(self, other: Candidate | None) -> None:
        try:
            reason = self._obstacle(other)
            if reason:
                self._withdraw(reason)
            else:
                self._send(other)
        except Exception as error:  # the first send must not wait for a second one that has failed
            _events.emit("second_send_failed", request=self._exchange.request.id, reason=repr(error))
            self._withdraw("error")
        finally:
            self._release()

    def _obstacle(self, other: Candidate | None) -> str:
        """Returns why there is no second send to a server; empty after a grant of the leader."""
        exchange = self._exchange
        if other is None:
            return "no_server"
        if self.race.winner is not None:
            return "answered"
        if exchange.budget.is_short:
            return "retry_budget"
        return "" if self._sender.is_granted(exchange.service.name) else "limit"

    def _send(self, other: Candidate) -> None:
        exchange, answer = self._exchange, _SecondAnswer(self.race)
        self._sender.count("sent")
        exchange.pool.plain.record_sent(other.record)
        with exchange.pool.track_request(other.id, 0):
            result = send_attempt(
                exchange.protocol,
                exchange.request,
                exchange.backend_request(other),
                other,
                max(0.001, exchange.remaining_s()),
                None,
                answer,
                None,
                exchange.response_observer(other),
                connections=exchange.connections_to(other, is_once=False),
                wake_up=self.wake_up,
            )
        result.body = bytes(answer.body)
        has_lost = self.race.has_lost(Sender.SECOND)
        self.race.finish(Sender.SECOND, other, result)
        has_won = self.race.winner is Sender.SECOND
        if not (has_won or has_lost):
            self._record_failure(other, result)
        self._sender.count("won" if has_won else "cancelled" if has_lost else "failed")
        _events.emit(
            "second_send",
            request=exchange.request.id,
            backend=other.id,
            outcome=result.outcome.value,
            won=has_won,
            took_ms=round(result.took_s * 1000, 1),
            after_ms=round(1000 * (time.monotonic() - self._began_at - result.took_s), 1),
        )
        self._ended.set()
        self._wake_if_decided()

    def _record_failure(self, other: Candidate, result: AttemptResult) -> None:
        self._sender.record_result(self._exchange, result, result.took_s)
        if result.outcome is Outcome.REJECTED:
            self._exchange.pool.plain.record_refusal(other.record)
        self._exchange.pool.record_failure(other.record, result.detail, avoid=False)

    def settle(self, result: AttemptResult) -> tuple[Candidate, AttemptResult]:
        """Takes the result of the first send; returns the server and the result that count.

        If the first send has failed, waits for the second one, until the caller leaves or its time is over.
        """
        race, exchange = self.race, self._exchange
        if result.outcome is Outcome.GONE:
            race.claim(Sender.FIRST)
        race.finish(Sender.FIRST, self._first, result)
        connection = exchange.request.connection
        while race.winner is None and not self._ended.wait(min(_CHECK_INTERVAL_S, max(0.0, exchange.remaining_s()))):
            if exchange.remaining_s() <= 0 or (connection is not None and peer_closed(connection)):
                race.claim(Sender.FIRST)
        exchange.attempt_count += race.has_second
        return race.outcome()
