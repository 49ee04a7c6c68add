"""Estimates of the speed of model engines and of the engine time that the requests of a service need."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass, field

from ._stages import EngineStatistics

__all__ = ["EngineSpeeds", "UnitTimeEstimate", "nominal_stream_s"]

_SLOWER_SMOOTHING_FACTOR = 0.02  # weight of an observation that is longer than the estimate; a shorter one replaces it
_RECENT_SMOOTHING_FACTOR = 0.2  # weight of the latest observation in the moving average
_NOMINAL_PREFILL_S_PER_TOKEN = 0.000045  # a nominal engine is the reference for relative speeds
_NOMINAL_DECODE_S_PER_EVENT = 0.048
_ASSUMED_TOKENS_PER_EVENT = 12.0  # before enough streams were observed
# Part of the time of a prefill for which the next prompt waits; the engine overlaps the rest with it. Learned from the
# prompts that were expected to wait for longer than a time, within bounds and with a weight.
_PREFILL_OCCUPANCY_FRACTION = 0.67
_MIN_OCCUPANCY_FRACTION, _MAX_OCCUPANCY_FRACTION = 0.5, 1.0
_MIN_LEARNED_WAIT_S = 0.1
_MAX_WAIT_RATIO = 2.0  # of the wait to the expected one, either way
_OCCUPANCY_SMOOTHING_FACTOR = 0.1
_NOMINAL_UNIT_S_BY_STAGE = {"prefill": _NOMINAL_PREFILL_S_PER_TOKEN, "decode": _NOMINAL_DECODE_S_PER_EVENT}
_MIN_SPEED_SAMPLES = 3  # from which the speed of an engine counts as known
_MIN_REQUEST_SAMPLES = 15  # from which the work of a service counts as known; also the window of its averages
_CONTENTION_FACTOR = 1.1  # the estimate follows the shortest times; concurrent streams lengthen them
_MAX_PENDING_PROMPT_AGE_S = 3.0  # older prompts count as processed
_ASSIGNMENT_TOLERANCE_S = 0.05  # by which a prefill may seem to begin before its assignment
# A prefill that is far shorter than the others says little of its engine, which may have had most of the prompt: the
# estimate falls to a time that this many of the latest prefills did not exceed.
_MIN_SHORT_PREFILLS = 3
_LATEST_PREFILLS = 8
_MAX_FIRST_FALL_FACTOR = 2 / 3  # by which the first prefill may lower the estimate
_LOCAL_PREFILL_FACTOR = 2.0  # time of a prefill on a decode engine, as a multiple of that on a prefill engine


def nominal_stream_s(output_tokens: int) -> float:
    """Returns the seconds of a stream on a nominal engine, before streams were observed.

    >>> nominal_stream_s(600)
    2.4
    """
    return output_tokens / _ASSUMED_TOKENS_PER_EVENT * _NOMINAL_DECODE_S_PER_EVENT


@dataclass(slots=True)
class _MovingAverage:
    """Exponential moving average that starts as the mean of the first `_MIN_REQUEST_SAMPLES` observations."""

    value: float = 0.0
    count: int = 0

    def add(self, observed: float) -> None:
        """Adds an observation."""
        self.count += 1
        self.value += (observed - self.value) / min(self.count, _MIN_REQUEST_SAMPLES)


@dataclass(slots=True)
class _ServiceWork:
    """Mean engine seconds, stream events and output tokens for each request of a service."""

    prefill_s: _MovingAverage = field(default_factory=_MovingAverage)
    decode_s: _MovingAverage = field(default_factory=_MovingAverage)
    events: _MovingAverage = field(default_factory=_MovingAverage)
    output_tokens: _MovingAverage = field(default_factory=_MovingAverage)

    def expected_events(self, output_tokens: int) -> float:
        """Returns the expected number of events in which an output is sent."""
        if self.events.count < _MIN_REQUEST_SAMPLES or not self.output_tokens.value:
            return output_tokens / _ASSUMED_TOKENS_PER_EVENT
        return output_tokens * self.events.value / self.output_tokens.value


@dataclass(slots=True)
class _PendingPrompt:
    """Prompt that was assigned to an engine and whose prefill has not ended."""

    assigned_at: float
    tokens: int
    wait_s: float  # until the engine was expected to begin it, at `assigned_at`
    expected_end: float


@dataclass(slots=True)
class UnitTimeEstimate:
    """Estimated seconds per prompt token (prefill) or stream event (decode) on one engine.

    Shorter times replace the estimate and longer ones move it slowly, since queueing and contention only add time. A
    short prefill must be confirmed by others, since the engine may have kept a part of its prompt.
    """

    unit_s: float
    count: int = 0
    recent_s: float = 0.0  # moving average of the times, with queueing and contention; 0 before the first
    busy_until: float = 0.0  # when the engine is expected to be able to start another prefill
    occupancy_fraction: float = _PREFILL_OCCUPANCY_FRACTION  # of the time of a prefill, in which no other one starts
    _pending: deque[_PendingPrompt] = field(default_factory=deque)  # oldest first
    _latest_s: deque[float] = field(default_factory=lambda: deque(maxlen=_LATEST_PREFILLS))  # of prefills, any wait

    def ends_at(self, tokens: int, now: float) -> float:
        """Returns the expected end of a prefill that is assigned to the engine now."""
        return max(now, self.busy_until) + tokens * self.unit_s

    def add_prompt(self, tokens: int, now: float) -> None:
        """Adds a prompt that is assigned to the engine, and drops those older than `_MAX_PENDING_PROMPT_AGE_S`."""
        while self._pending and self._pending[0].assigned_at < now - _MAX_PENDING_PROMPT_AGE_S:
            self._pending.popleft()
        wait_s = max(0.0, self.busy_until - now)
        self._pending.append(_PendingPrompt(now, tokens, wait_s, self.ends_at(tokens, now)))
        self.busy_until = now + wait_s + tokens * self.unit_s * self.occupancy_fraction

    def complete_prompt(self, tokens: int, took_s: float, now: float) -> None:
        """Updates the estimate from a prefill that took `took_s` seconds and whose report arrived at `now`.

        `took_s` counts from the assignment to the engine, and the report may be seconds old. The time of a queued
        prompt includes its wait, and counts only when it is shorter than the estimate. So does that of a prompt that
        was not assigned here, as after a change of leader. An engine processes its prompts in order, so that those
        assigned after this one end as much later or earlier than expected as this one.
        """
        index = self._index_of(tokens, now - took_s)
        if index is None:
            self._add_prefill(took_s / tokens, has_waited=True)
            return
        prompt = self._pending[index]
        for _ in range(index + 1):
            self._pending.popleft()
        delay_s = prompt.assigned_at + took_s - prompt.expected_end
        self.busy_until += delay_s
        for newer in self._pending:
            newer.expected_end += delay_s
        self._learn_occupancy(prompt.wait_s, took_s - tokens * self.unit_s)
        self._add_prefill(took_s / tokens, has_waited=prompt.wait_s > 0)

    def _learn_occupancy(self, expected_wait_s: float, wait_s: float) -> None:
        """Learns from the wait of a prompt at the engine how long each prompt ahead of it kept the engine busy."""
        if expected_wait_s < _MIN_LEARNED_WAIT_S:
            return
        ratio = min(_MAX_WAIT_RATIO, max(1 / _MAX_WAIT_RATIO, wait_s / expected_wait_s))
        observed = min(_MAX_OCCUPANCY_FRACTION, max(_MIN_OCCUPANCY_FRACTION, self.occupancy_fraction * ratio))
        self.occupancy_fraction += _OCCUPANCY_SMOOTHING_FACTOR * (observed - self.occupancy_fraction)

    def _add_prefill(self, observed_s: float, has_waited: bool) -> None:
        """Adds the time per token of a prefill; one that may have waited counts only if it is shorter."""
        self._latest_s.append(observed_s)
        if has_waited and observed_s >= self.unit_s:
            return
        self.count += 1
        if self.count == 1:
            self.unit_s = max(observed_s, self.unit_s * _MAX_FIRST_FALL_FACTOR)
        elif observed_s >= self.unit_s:
            self.unit_s += _SLOWER_SMOOTHING_FACTOR * (observed_s - self.unit_s)
        elif len(self._latest_s) >= _MIN_SHORT_PREFILLS:
            self.unit_s = min(self.unit_s, sorted(self._latest_s)[_MIN_SHORT_PREFILLS - 1])

    def _index_of(self, tokens: int, assigned_by: float) -> int | None:
        """Returns the position of the oldest pending prompt of `tokens`; None if it was not assigned here."""
        for index, prompt in enumerate(self._pending):
            if prompt.assigned_at > assigned_by + _ASSIGNMENT_TOLERANCE_S:
                return None
            if prompt.tokens == tokens:
                return index
        return None

    def add(self, observed_s: float) -> None:
        """Adds an observation in seconds per prompt token or event; the first one replaces the nominal value."""
        self.count += 1
        self.recent_s = (
            observed_s if self.count == 1 else self.recent_s + _RECENT_SMOOTHING_FACTOR * (observed_s - self.recent_s)
        )
        if self.count == 1 or observed_s < self.unit_s:
            self.unit_s = observed_s
        else:
            self.unit_s += _SLOWER_SMOOTHING_FACTOR * (observed_s - self.unit_s)


class EngineSpeeds(EngineStatistics):
    """Estimates of engine speed and of the work of services, learned from the requests that ran.

    >>> speeds = EngineSpeeds()
    >>> speeds.slowness("engine-1")
    1.0
    >>> speeds.learn_decode("engine-1", "model", took_s=9.6, events=100, output_tokens=1200)
    >>> speeds.slowness("engine-1")
    2.0
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._estimate_by_engine: dict[tuple[str, str], UnitTimeEstimate] = {}
        self._work_by_service: dict[str, _ServiceWork] = {}

    def unit_time_of(self, backend: str, stage: str) -> UnitTimeEstimate:
        """Returns the estimate for an engine in a stage, nominal before the first observation."""
        key = (backend, stage)
        with self._lock:
            estimate = self._estimate_by_engine.get(key)
            if estimate is None:
                estimate = self._estimate_by_engine[key] = UnitTimeEstimate(_NOMINAL_UNIT_S_BY_STAGE[stage])
            return estimate

    def slowness(self, backend: str) -> float:
        """Returns the decoding time per event of an engine, as a multiple of that of a nominal engine."""
        return self.unit_time_of(backend, "decode").unit_s / _NOMINAL_DECODE_S_PER_EVENT

    def event_s(self, backend: str) -> float:
        """Returns the usual time per event of the streams of an engine lately, with contention."""
        estimate = self.unit_time_of(backend, "decode")
        return estimate.recent_s or estimate.unit_s

    def local_prefill_s(self, prompt_tokens: int, backend: str = "") -> float:
        """Returns the expected seconds of a prefill on a decode engine, a nominal one when `backend` is empty."""
        slowness = self.slowness(backend) if backend else 1.0
        return prompt_tokens * _NOMINAL_PREFILL_S_PER_TOKEN * _LOCAL_PREFILL_FACTOR * slowness

    def learn_prefill(self, backend: str, took_s: float, tokens: int, now: float) -> None:
        """Learns from the time of a prefill of `tokens` prompt tokens."""
        self.unit_time_of(backend, "prefill").complete_prompt(max(1, tokens), took_s, now)

    def learn_decode(self, backend: str, service: str, took_s: float, events: int, output_tokens: int) -> None:
        """Learns from the time of a stream of `events`; `output_tokens` is its expected output."""
        self.unit_time_of(backend, "decode").add(took_s / max(1, events))
        with self._lock:
            work = self._work(service)
            work.events.add(events)
            work.output_tokens.add(output_tokens)

    def learn_request(self, service: str, prompt_tokens: int, output_tokens: int, engine_kv_tokens: int) -> None:
        """Learns the engine time that a new request is expected to need.

        Decoding time counts in proportion to the share of the KV cache, of `engine_kv_tokens` tokens, that the stream
        occupies on average.
        """
        with self._lock:
            work = self._work(service)
            work.prefill_s.add(prompt_tokens * _NOMINAL_PREFILL_S_PER_TOKEN * _PREFILL_OCCUPANCY_FRACTION)
            memory_fraction = (prompt_tokens + output_tokens / 2) / max(1, engine_kv_tokens)
            work.decode_s.add(work.expected_events(output_tokens) * _NOMINAL_DECODE_S_PER_EVENT * memory_fraction)

    def stream_duration_s(self, backend: str, service: str, output_tokens: int) -> float | None:
        """Returns the expected seconds of a stream; None before its engine and its service have enough samples."""
        estimate = self.unit_time_of(backend, "decode")
        with self._lock:
            work = self._work(service)
            if (
                estimate.count < _MIN_SPEED_SAMPLES
                or work.events.count < _MIN_REQUEST_SAMPLES
                or work.output_tokens.value <= 0
            ):
                return None
            return max(1.0, work.expected_events(output_tokens)) * estimate.unit_s * _CONTENTION_FACTOR

    def _work(self, service: str) -> _ServiceWork:
        return self._work_by_service.setdefault(service, _ServiceWork())

    def prefill_fraction(self, service: str) -> float | None:
        """Returns the share of prefill in the engine time of a service; None before enough requests were observed."""
        with self._lock:
            work = self._work_by_service.get(service)
            if work is None or min(work.prefill_s.count, work.decode_s.count) < _MIN_REQUEST_SAMPLES:
                return None
            return work.prefill_s.value / (work.prefill_s.value + work.decode_s.value)

    def relative_speed(self, backend: str, stage: str) -> float | None:
        """Returns the speed of an engine as a multiple of a nominal one; None before enough samples.

        An engine without enough samples in `stage` is assumed to be as fast as in the other stage.
        """
        with self._lock:
            for name in sorted(_NOMINAL_UNIT_S_BY_STAGE, key=lambda other: other != stage):
                estimate = self._estimate_by_engine.get((backend, name))
                if estimate is not None and estimate.count >= _MIN_SPEED_SAMPLES:
                    return _NOMINAL_UNIT_S_BY_STAGE[name] / estimate.unit_s
            return None
