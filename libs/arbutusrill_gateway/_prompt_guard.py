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

# A stream that has gone on for so long shows that its prompt crashes no engine, like one that is complete.
_SOUND_EVENTS = 3
_SOUND_STREAM_S = 2.0
_ANSWERED_S = 30.0  # for so long after an answer, a part counts as answered lately
# Bounds of memory, with the bytes that one part takes beside its ID.
_MAX_ANSWERED_BYTES = 1_048_576
_MAX_QUEUED_BYTES = 1_048_576
_PART_BYTES = 100
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
    """An attempt that broke in the beginning of its answer or before; times are on the guard's clock."""

    request_id: str
    backend: Any
    parts: tuple[str, ...]
    answered_at_by_part: dict[str, float]  # those of the prompt that were answered lately, but not since `began`
    began: float
    ended: float

    @property
    def size(self) -> int:
        """Approximate memory of the parts in bytes."""
        return _size_of(self.parts) + _size_of(self.answered_at_by_part)


class PromptGuard:
    """Refuses requests by the leader's bars, and reports crashes and answers of prompts to the leader.

    A crash is reported in the thread of its request, before that is sent again; while the leader does not answer, it is
    queued. Answers are reported by `flush` with their age, and only for parts that the leader suspects: an answer says
    nothing about a crash that comes after it.
    """

    def __init__(self, vm: str, client: ControlClient, view: SiteView, clock: Clock):
        self._vm = vm
        self._client = client
        self._view = view
        self._clock = clock
        self._lock = threading.Lock()
        self._answered_at_by_part: OrderedDict[str, float] = OrderedDict()
        self._answered_bytes = 0
        self._queued_crashes: deque[_Crash] = deque()
        self._reported_at_by_part: dict[str, float] = {}  # time of the latest answer that was reported
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

    def record_events(self, request: CallerRequest, count: int, streamed_s: float) -> bool:
        """Records that an attempt has forwarded `count` events, the first one `streamed_s` seconds ago.

        Returns whether they show that the prompt crashes no engine.
        """
        if count < _SOUND_EVENTS or streamed_s < _SOUND_STREAM_S:
            return False
        self._record_answer(request.prompt_parts)
        return True

    def record_attempt(
        self, request: CallerRequest, candidate: Candidate, result: AttemptResult, event_count: int
    ) -> None:
        """Records the end of an attempt that forwarded `event_count` events; reports a crash to the leader."""
        if result.outcome is Outcome.ANSWERED and result.response.status == 200 and event_count:
            self._record_answer(request.prompt_parts)
        if not result.connection_lost:
            return
        now = self._clock.monotonic()
        began = now - result.took_s
        with self._lock:
            answered_at_by_part = {
                part: self._answered_at_by_part.get(part, float("-inf")) for part in request.prompt_parts
            }
        parts = tuple(part for part, at in answered_at_by_part.items() if at < min(began, now - _ANSWERED_S))
        answered = {part: at for part, at in answered_at_by_part.items() if now - _ANSWERED_S <= at < began}
        if not (parts or answered):
            return
        crash = _Crash(request.id, candidate.record, parts, answered, began, now)
        if now < self._leader_unavailable_until or not self._report([crash], {}):
            self._queue(crash)

    def _queue(self, crash: _Crash) -> None:
        """Keeps a crash until the leader answers; drops the oldest ones beyond the bounds."""
        dropped = []
        with self._lock:
            self._queued_crashes.append(crash)
            total = sum(queued.size for queued in self._queued_crashes)
            while len(self._queued_crashes) > 1 and (
                total > _MAX_QUEUED_BYTES or len(self._queued_crashes) > _MAX_QUEUED_CRASHES
            ):
                dropped.append(self._queued_crashes.popleft())
                total -= dropped[-1].size
        for oldest in dropped:
            _events.emit("crash_not_reported", request=oldest.request_id, backend=oldest.backend.id, queued_bytes=total)

    def flush(self) -> None:
        """Reports queued crashes, and the suspected parts that were answered lately."""
        if self._clock.monotonic() < self._leader_unavailable_until:
            return
        with self._lock:
            crashes = list(self._queued_crashes)
        answered_at_by_part = self._unreported_answers()
        if not (crashes or answered_at_by_part) or not self._report(crashes, answered_at_by_part):
            return
        with self._lock:
            for crash in crashes:
                if crash in self._queued_crashes:
                    self._queued_crashes.remove(crash)
        self._reported_at_by_part.update(answered_at_by_part)

    def _unreported_answers(self) -> dict[str, float]:
        """Returns the times of the latest answers of suspected parts, as far as they have not been reported."""
        suspected = self._view.prompt_bars.suspected
        self._reported_at_by_part = {part: at for part, at in self._reported_at_by_part.items() if part in suspected}
        oldest = self._clock.monotonic() - _ANSWERED_S
        with self._lock:
            return {
                part: at
                for part in suspected
                if (at := self._answered_at_by_part.get(part, float("-inf"))) >= oldest
                and at > self._reported_at_by_part.get(part, float("-inf"))
            }

    def _record_answer(self, parts: Iterable[str]) -> None:
        now, answered = self._clock.monotonic(), self._answered_at_by_part
        with self._lock:
            for part in parts:
                if part in answered:
                    answered.move_to_end(part)
                else:
                    self._answered_bytes += len(part) + _PART_BYTES
                answered[part] = now
            while self._answered_bytes > _MAX_ANSWERED_BYTES:
                self._answered_bytes -= len(answered.popitem(last=False)[0]) + _PART_BYTES

    def _report(self, crashes: list[_Crash], answered_at_by_part: dict[str, float]) -> bool:
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
                list(crash.answered_at_by_part),
                [int((now - at) * 1000) for at in crash.answered_at_by_part.values()],
            )
            for crash in crashes
        ]
        ages_ms = [int((now - at) * 1000) for at in answered_at_by_part.values()]
        report = messages.PromptReport(self._vm, wire_crashes, list(answered_at_by_part), ages_ms)
        try:
            reply = self._client.call(
                "report_prompts", report, timeout=_REPORT_TIMEOUT_S, try_timeout=_REPORT_TIMEOUT_S
            )
        except (ControlUnavailableError, messages.Refused) as error:
            self._leader_unavailable_until = self._clock.monotonic() + _LEADER_BACKOFF_S
            answered = len(answered_at_by_part)
            _events.emit("prompts_not_reported", crashes=len(crashes), answered=answered, reason=str(error))
            return False
        self._view.apply_prompt_bars(reply)
        return True


def _size_of(parts: Iterable[str]) -> int:
    return sum(len(part) + _PART_BYTES for part in parts)
