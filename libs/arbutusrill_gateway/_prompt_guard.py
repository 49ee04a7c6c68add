"""Keeps requests whose prompts crash engines away from the engines, and reports to the leader what tells them apart."""

from __future__ import annotations

import threading
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from arbutusrill_base import Clock, EventLog
from arbutusrill_site import SiteView
from arbutusrill_state import ControlClient, ControlUnavailableError
from arbutusrill_wire import messages

from ._attempt import AttemptResult, Outcome
from ._backends import Candidate
from ._protocol import MIN_RETRY_AFTER_S, CallerRequest

__all__ = ["PromptBarredError", "PromptGuard"]

_ANSWERED_EVENTS = 3  # a stream with so many events shows that its prompt crashes no engine
_MAX_EVENTS_BEFORE_CRASH = 1
_ANSWERED_S = 30.0  # for so long after an answer, a crash is not held against its parts
_MAX_ANSWERED_PARTS = 8192
_MAX_QUEUED_CRASHES = 64
_REPORT_TIMEOUT_S = 0.3
_LEADER_BACKOFF_S = 0.4  # after a failed report, further ones are queued without a call for this time
_MAX_LOGGED_PARTS = 8
_events = EventLog("prompts")


class PromptBarredError(Exception):
    """The prompt of a request has all parts of a barred set. `retry_after_s` is the expected rest of the bar."""

    def __init__(self, retry_after_s: float):
        super().__init__("a part of the prompt has crashed several engines")
        self.retry_after_s = retry_after_s


@dataclass(slots=True, frozen=True)
class _Crash:
    """An attempt that broke before its answer had begun; times are on the guard's clock."""

    request_id: str
    backend: Any
    parts: tuple[str, ...]
    began: float
    ended: float


class PromptGuard:
    """Refuses requests by the leader's bars, and reports crashes and answers of prompts to the leader.

    A crash is reported in the thread of its request, before that is sent again; while the leader does not answer, it is
    queued. Answers are reported by `flush`, and only for parts that the leader suspects.
    """

    def __init__(self, vm: str, client: ControlClient, view: SiteView, clock: Clock):
        self._vm = vm
        self._client = client
        self._view = view
        self._clock = clock
        self._lock = threading.Lock()
        self._answered_at_by_part: OrderedDict[str, float] = OrderedDict()
        self._queued_crashes: deque[_Crash] = deque(maxlen=_MAX_QUEUED_CRASHES)
        self._reported_parts: tuple[int, set[str]] = (0, set())  # revision of the bars, parts reported as answered
        self._leader_unavailable_until = float("-inf")

    def check(self, request: CallerRequest) -> None:
        """Raises `PromptBarredError` if the request must not be sent to an engine."""
        bars = self._view.prompt_bars
        barred = bars.barred_set_in(request.prompt_parts) if request.prompt_parts else None
        if barred is None:
            return
        now = self._clock.monotonic()
        _events.emit(
            "prompt_refused",
            request=request.id,
            parts=sorted(barred.parts)[:_MAX_LOGGED_PARTS],
            crashes=barred.crashes,
            revision=bars.revision,
            bars_age_s=now - bars.received_at,
            view_age_s=self._view.age_s(),
        )
        raise PromptBarredError(max(MIN_RETRY_AFTER_S, barred.until - now))

    def record_events(self, request: CallerRequest, count: int, new_count: int) -> None:
        """Records that `count` events of an answer have been forwarded, `new_count` of them just now."""
        if count - new_count < _ANSWERED_EVENTS <= count:
            self._record_answer(request.prompt_parts)

    def record_attempt(
        self, request: CallerRequest, candidate: Candidate, result: AttemptResult, event_count: int
    ) -> None:
        """Records the end of an attempt that forwarded `event_count` events; reports a crash to the leader."""
        if result.outcome is Outcome.ANSWERED and result.response.status == 200 and event_count:
            self._record_answer(request.prompt_parts)
        if not result.connection_lost or event_count > _MAX_EVENTS_BEFORE_CRASH:
            return
        parts = self._without_answered(request.prompt_parts)
        if not parts:
            return
        now = self._clock.monotonic()
        crash = _Crash(request.id, candidate.record, parts, now - result.took_s, now)
        if now < self._leader_unavailable_until or not self._report([crash], []):
            with self._lock:
                self._queued_crashes.append(crash)

    def flush(self) -> None:
        """Reports queued crashes, and the suspected parts that were answered lately."""
        if self._clock.monotonic() < self._leader_unavailable_until:
            return
        with self._lock:
            crashes = list(self._queued_crashes)
        revision, answered = self._unreported_answers()
        if not (crashes or answered) or not self._report(crashes, answered):
            return
        with self._lock:
            for crash in crashes:
                if crash in self._queued_crashes:
                    self._queued_crashes.remove(crash)
        if self._reported_parts[0] != revision:
            self._reported_parts = (revision, set())
        self._reported_parts[1].update(answered)

    def _unreported_answers(self) -> tuple[int, list[str]]:
        """Returns the revision of the bars, and the parts suspected in it whose answers have not been reported."""
        bars = self._view.prompt_bars
        if not bars.suspected:
            return bars.revision, []
        reported = self._reported_parts[1] if self._reported_parts[0] == bars.revision else set()
        oldest = self._clock.monotonic() - _ANSWERED_S
        with self._lock:
            answered_at_by_part = self._answered_at_by_part
            return bars.revision, [
                part
                for part in bars.suspected
                if part not in reported and answered_at_by_part.get(part, float("-inf")) >= oldest
            ]

    def _record_answer(self, parts: Iterable[str]) -> None:
        now = self._clock.monotonic()
        with self._lock:
            for part in parts:
                self._answered_at_by_part[part] = now
                self._answered_at_by_part.move_to_end(part)
            while len(self._answered_at_by_part) > _MAX_ANSWERED_PARTS:
                self._answered_at_by_part.popitem(last=False)

    def _without_answered(self, parts: Iterable[str]) -> tuple[str, ...]:
        oldest = self._clock.monotonic() - _ANSWERED_S
        with self._lock:
            return tuple(part for part in parts if self._answered_at_by_part.get(part, float("-inf")) < oldest)

    def _report(self, crashes: list[_Crash], answered: list[str]) -> bool:
        """Sends a report to the leader; returns whether it was accepted."""
        now = self._clock.monotonic()
        wire_crashes = [
            messages.PromptCrash(
                crash.backend.id,
                crash.backend.started_ms,
                list(crash.parts),
                int((now - crash.began) * 1000),
                int((now - crash.ended) * 1000),
                crash.request_id,
            )
            for crash in crashes
        ]
        report = messages.PromptReport(self._vm, wire_crashes, answered)
        try:
            reply = self._client.call(
                "report_prompts", report, timeout=_REPORT_TIMEOUT_S, try_timeout=_REPORT_TIMEOUT_S
            )
        except (ControlUnavailableError, messages.Refused) as error:
            self._leader_unavailable_until = self._clock.monotonic() + _LEADER_BACKOFF_S
            _events.emit("prompts_not_reported", crashes=len(crashes), answered=len(answered), reason=str(error))
            return False
        self._view.apply_prompt_bars(reply)
        return True
