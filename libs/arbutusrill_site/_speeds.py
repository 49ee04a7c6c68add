"""Learned speed of model engines and the engine time that the requests of a service need."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass, field

from ._stages import EngineWork

__all__ = ["EngineSpeeds", "Speed"]

_SLOWER_SMOOTHING = 0.02  # weight of an observation that is longer than the learned time
_PREFILL_S_PER_TOKEN = 0.000045  # of a nominal engine, which others are compared with
_DECODE_S_PER_EVENT = 0.048
_TOKENS_PER_EVENT = 12.0  # until streams have been seen
_BUSY_PART = 0.67  # of the time of a prefill; during the rest the engine reads the next prompt
_NOMINAL_UNIT_S = {"prefill": _PREFILL_S_PER_TOKEN, "decode": _DECODE_S_PER_EVENT}
_LEAST_SPEEDS = 3  # observations from which an engine's speed counts as learned
_LEAST_SEEN = 15  # requests from which the work of a service counts as learned
_SHARED_FACTOR = 1.1  # the learned speed follows the shortest times; other streams add to them
_LONGEST_READ_S = 3.0  # prompts that were given to an engine longer ago count as read
_OWN_READ_FACTOR = 2.0  # how much longer a decode engine takes for a prompt than a prefill engine


@dataclass(slots=True)
class _Average:
    """A moving average that begins as the mean of the first observations."""

    value: float = 0.0
    count: int = 0

    def add(self, observed: float) -> None:
        """Takes an observation."""
        self.count += 1
        self.value += (observed - self.value) / min(self.count, _LEAST_SEEN)


@dataclass(slots=True)
class _Work:
    """Engine seconds of one request of a service."""

    prefill: _Average = field(default_factory=_Average)
    decode: _Average = field(default_factory=_Average)
    events: _Average = field(default_factory=_Average)
    output: _Average = field(default_factory=_Average)

    def events_of(self, output_tokens: int) -> float:
        """Returns the number of events in which an expected output is sent."""
        if self.events.count < _LEAST_SEEN or not self.output.value:
            return output_tokens / _TOKENS_PER_EVENT
        return output_tokens * self.events.value / self.output.value


@dataclass(slots=True)
class _GivenPrompt:
    at: float
    tokens: int
    queued: bool  # whether the engine was expected to be busy


@dataclass(slots=True)
class Speed:
    """Seconds for a token of a prompt or an event of a stream, on one engine in one stage.

    Follows the shortest times closely and longer ones slowly, since queues and neighbours only ever add time.
    """

    unit_s: float
    count: int = 0
    busy_until: float = 0.0  # when the engine is expected to have read the prompts that it was given
    _given: deque[_GivenPrompt] = field(default_factory=deque)  # the oldest first, without those that are read

    def ends_at(self, tokens: int, now: float) -> float:
        """Returns when a prefill that is given to the engine now is expected to end."""
        return max(now, self.busy_until) + tokens * self.unit_s

    def give(self, tokens: int, now: float) -> None:
        """Counts a prefill that the engine is given."""
        while self._given and self._given[0].at < now - _LONGEST_READ_S:
            self._given.popleft()
        self._given.append(_GivenPrompt(now, tokens, self.busy_until > now))
        self.busy_until = max(now, self.busy_until) + tokens * self.unit_s * _BUSY_PART

    def finish(self, tokens: int, took_s: float, now: float) -> None:
        """Learns from a prefill that has ended `took_s` seconds after the engine was given it.

        An engine reads its prompts in turn, so that the older ones are read too; the others are its queue. The time of
        a prompt that had to wait tells a speed only when it is short.
        """
        queued = False
        while self._given and self._given[0].at <= now - took_s:
            queued = self._given.popleft().queued
        if not queued or took_s / tokens < self.unit_s:
            self.add(took_s / tokens)
        waiting = sum(prompt.tokens for prompt in self._given)
        self.busy_until = max(self.busy_until, now + waiting * self.unit_s * _BUSY_PART)

    def add(self, observed: float) -> None:
        """Takes an observation; the nominal value counts as none."""
        self.count += 1
        if self.count == 1 or observed < self.unit_s:
            self.unit_s = observed
        else:
            self.unit_s += _SLOWER_SMOOTHING * (observed - self.unit_s)


class EngineSpeeds(EngineWork):
    """What the leader has learned of engines from the requests that they ran.

    >>> speeds = EngineSpeeds()
    >>> speeds.slowness("engine-1")
    1.0
    >>> speeds.learn_decode("engine-1", "model", took_s=9.6, events=100, output_tokens=1200)
    >>> speeds.slowness("engine-1")
    2.0
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._speed_by_engine: dict[tuple[str, str], Speed] = {}
        self._work_by_service: dict[str, _Work] = {}

    def of(self, backend: str, stage: str) -> Speed:
        """Returns the speed of an engine in a stage."""
        with self._lock:
            return self._speed_by_engine.setdefault((backend, stage), Speed(_NOMINAL_UNIT_S[stage]))

    def slowness(self, backend: str) -> float:
        """Returns how many times longer than a nominal engine an engine takes for an event."""
        return self.of(backend, "decode").unit_s / _DECODE_S_PER_EVENT

    def own_read_s(self, prompt_tokens: int, backend: str = "") -> float:
        """Returns the expected time in which a decode engine reads a prompt by itself; without a name a nominal one."""
        slowness = self.slowness(backend) if backend else 1.0
        return prompt_tokens * _PREFILL_S_PER_TOKEN * _OWN_READ_FACTOR * slowness

    def learn_prefill(self, backend: str, took_s: float, tokens: int, now: float) -> None:
        """Takes the time that an engine needed for a prompt of `tokens`."""
        self.of(backend, "prefill").finish(max(1, tokens), took_s, now)

    def learn_decode(self, backend: str, service: str, took_s: float, events: int, output_tokens: int) -> None:
        """Takes the time that an engine needed for a stream of `events`; `output_tokens` were expected."""
        self.of(backend, "decode").add(took_s / max(1, events))
        with self._lock:
            work = self._work(service)
            work.events.add(events)
            work.output.add(output_tokens)

    def learn_work(self, service: str, prompt_tokens: int, output_tokens: int, engine_tokens: int) -> None:
        """Takes the engine time that a request is expected to need, on engines with memory for `engine_tokens`."""
        with self._lock:
            work = self._work(service)
            work.prefill.add(prompt_tokens * _PREFILL_S_PER_TOKEN * _BUSY_PART)
            memory_part = (prompt_tokens + output_tokens / 2) / max(1, engine_tokens)
            work.decode.add(work.events_of(output_tokens) * _DECODE_S_PER_EVENT * memory_part)

    def stream_s(self, backend: str, service: str, output_tokens: int) -> float | None:
        """Returns the expected length of a stream; None before enough was seen of its engine and its service."""
        speed = self.of(backend, "decode")
        with self._lock:
            work = self._work(service)
            if speed.count < _LEAST_SPEEDS or work.events.count < _LEAST_SEEN or work.output.value <= 0:
                return None
            return max(1.0, work.events_of(output_tokens)) * speed.unit_s * _SHARED_FACTOR

    def _work(self, service: str) -> _Work:
        return self._work_by_service.setdefault(service, _Work())

    def prefill_part(self, service: str) -> float | None:
        """Returns the learned part of a service's engine time that is prefill; None before enough was seen."""
        with self._lock:
            work = self._work_by_service.get(service)
            if work is None or min(work.prefill.count, work.decode.count) < _LEAST_SEEN:
                return None
            return work.prefill.value / (work.prefill.value + work.decode.value)

    def relative_speed(self, backend: str, stage: str) -> float | None:
        """Returns how fast an engine is against a nominal one; None before enough was seen.

        An engine that is new in its stage is as fast as it was in the other one.
        """
        with self._lock:
            for name in sorted(_NOMINAL_UNIT_S, key=lambda other: other != stage):
                speed = self._speed_by_engine.get((backend, name))
                if speed is not None and speed.count >= _LEAST_SPEEDS:
                    return _NOMINAL_UNIT_S[name] / speed.unit_s
            return None
