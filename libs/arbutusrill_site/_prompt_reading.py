"""Choice of the engine that reads a prompt: a prefill engine, or the decode engine of the stream."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from ._engine_loads import EngineLoads
from ._local_prefills import LocalPrefills
from ._speeds import EngineSpeeds

__all__ = ["PromptReading", "Reading"]

FIRST_EVENT_DELAY_S = 0.12  # from the end of the prefill to the first event at the caller
# A decode engine whose streams accept it reads the prompt if no prefill engine is expected to end within this time.
_MAX_PREFILL_S = 0.75
_MAX_QUEUED_PREFILL_S = 0.6  # leaves time for the stream, and for a second engine if the first one is slow
_QUEUE_SAFETY_FACTOR = 1.15  # by which the wait at a prefill engine may exceed its estimate
_MAX_LATE_DELAY_S = 0.2  # longest wait at a prefill engine of a request that is late, so that it delays few others
# Added to the expected end of a prefill outside the decode engine's data centre; a prefill engine in the same one is
# preferred if it finishes at most this much later.
_CROSS_DATA_CENTRE_PENALTY_S = 0.05
# A prefill engine to which the entry VM has a connection is preferred if it finishes at most this much later.
_CONNECTED_PREFILL_GAIN_S = 0.05
# Added for `_BROKEN_S` after an answer of a prefill engine broke off: the prompt was read in vain, and may be again.
_BROKEN_PENALTY_S = 0.3
_BROKEN_S = 2.0


@dataclass(slots=True, frozen=True)
class Reading:
    """Engine that reads a prompt: the ID of a prefill engine, or empty for the decode engine, with the reason.

    The reason is ``sooner`` if the decode engine ends first, ``busy`` if the prefill engines are, ``none`` without
    prefill engines, ``spare`` if all engines would pause streams but most of their room is free, and ``resumed`` for a
    stream that goes on at another engine.
    """

    prefill: str
    reason: str = ""


class PromptReading:
    """Assigns prompts to prefill engines, and to decode engines where no stream is paused for longer than accepted."""

    def __init__(self, loads: EngineLoads, speeds: EngineSpeeds):
        self._loads = loads
        self._speeds = speeds
        self._local_prefills = LocalPrefills(speeds)
        self._broken_until_by_backend: dict[str, float] = {}

    def first_event_s(self, request: Any, now: float) -> float:
        """Returns the expected seconds from a place to the first event, including the queues of the prefill engines."""
        best_s = self._speeds.local_prefill_s(request.prompt_tokens)
        for record in self._loads.eligible_prefill(request, now):
            best_s = min(best_s, self._end(record, request, now) - now)
        return best_s + FIRST_EVENT_DELAY_S

    def _end(self, record: Any, request: Any, now: float) -> float:
        return self._speeds.unit_time_of(record.id, "prefill").ends_at(request.prompt_tokens, now)

    def choose(self, ticket: Any, decodes: Iterable[Any], now: float) -> tuple[Any, Reading | None] | None:
        """Returns the first of `decodes` for which the prompt can be read in time, and its reading.

        The reading is None if there is none; the result is None without decode engines. A stream that is resumed gets
        the first engine that it does not pause for too long, or else the first one.
        """
        request, first = ticket.request, None
        ends: list[tuple[float, Any]] | None = None
        for decode in decodes:
            first = first or decode
            if request.prefill:
                ends = self._prefill_ends(request, now) if ends is None else ends
                reading = self._reading(ticket, decode, ends, now)
            else:
                reading = None if self.pauses_streams(request, decode.id, now) else Reading("", "resumed")
            if reading is not None:
                return decode, reading
        if first is None:
            return None
        return first, None if request.prefill else Reading("", "resumed")

    def choose_spare(self, decodes: Iterable[Any], now: float) -> tuple[Any, Reading] | tuple[None, None]:
        """Returns the one of `decodes` on which a prompt pauses the fewest streams; None if each reads one already."""
        idle = [record for record in decodes if not self._local_prefills.is_busy(record.id, now)]
        if not idle:
            return None, None
        paused_count = {record.id: sum(gap_s > 0 for gap_s in self._loads.event_gaps_s(record.id)) for record in idle}
        return min(idle, key=lambda record: paused_count[record.id]), Reading("", "spare")

    def _prefill_ends(self, request: Any, now: float) -> list[tuple[float, Any]]:
        eligible = self._loads.eligible_prefill(request, now)
        preferred = [record for record in eligible if record.id not in (request.avoid or ())]
        return [(self._end(record, request, now), record) for record in preferred or eligible]

    def _reading(self, ticket: Any, decode: Any, ends: list[tuple[float, Any]], now: float) -> Reading | None:
        """Returns who reads the prompt of a stream on `decode`; None if that would be too late or pause others."""
        request = ticket.request
        if not ends:
            return Reading("", "none")
        end, best = min(
            ends,
            key=lambda entry: entry[0] + self._penalty_s(entry[1], decode, now) - _connection_gain_s(request, entry[1]),
        )
        local_end = now + self._speeds.local_prefill_s(request.prompt_tokens, decode.id)
        if local_end < end and not self.pauses_streams(request, decode.id, now):
            return Reading("", "sooner")
        if end <= self._latest_end(ticket, best, now):
            return Reading(best.id)
        gaps_s = self._loads.event_gaps_s(decode.id)
        if not any(gaps_s) or not self.pauses_streams(request, decode.id, now):
            return Reading("", "busy") if end - now > _MAX_PREFILL_S else None
        return None

    def _penalty_s(self, record: Any, decode: Any, now: float) -> float:
        penalty_s = _CROSS_DATA_CENTRE_PENALTY_S if record.data_centre != decode.data_centre else 0.0
        is_broken = self._broken_until_by_backend.get(record.id, now) > now
        return penalty_s + (_BROKEN_PENALTY_S if is_broken else 0.0)

    def record_broken(self, backend: str, now: float) -> None:
        """Records that an answer of a prefill engine broke off."""
        kept = {id_: until for id_, until in self._broken_until_by_backend.items() if until > now}
        self._broken_until_by_backend = {**kept, backend: now + _BROKEN_S}

    def _latest_end(self, ticket: Any, best: Any, now: float) -> float:
        """Returns the latest time at which a prefill engine may end a prompt.

        Where the callers accept pauses of any length, a decode engine reads the prompt instead of a long wait.
        """
        request = ticket.request
        if not request.event_gap_ms:
            return now + _MAX_PREFILL_S
        if ticket.is_late and not (ticket.continued or ticket.is_returned):
            own_s = request.prompt_tokens * self._speeds.unit_time_of(best.id, "prefill").unit_s
            return now + min(_MAX_PREFILL_S, own_s + _MAX_LATE_DELAY_S)
        spare_s = (ticket.objective_deadline - FIRST_EVENT_DELAY_S - now) / _QUEUE_SAFETY_FACTOR
        if ticket.is_late or spare_s <= 0:
            return now + _MAX_PREFILL_S
        return now + min(spare_s, _MAX_QUEUED_PREFILL_S)

    def pauses_streams(self, request: Any, decode: str, now: float) -> bool:
        """Whether a decode engine that reads the prompt now pauses a stream for longer than its caller accepts."""
        gaps_s = self._loads.event_gaps_s(decode)
        return self._local_prefills.exceeds_event_gap(decode, request.prompt_tokens, gaps_s, now)

    def may_queue_at(self, request: Any, decode: str, now: float) -> bool:
        """Whether a request may wait in the queue of a decode engine, which then reads its prompt."""
        return not any(self._loads.event_gaps_s(decode)) or not self.pauses_streams(request, decode, now)

    def record(self, request: Any, decode: str, reading: Reading, now: float) -> None:
        """Records that a prompt is assigned to an engine."""
        if reading.prefill:
            self._speeds.unit_time_of(reading.prefill, "prefill").add_prompt(request.prompt_tokens, now)
            self._loads.record_grant(reading.prefill, now)
        else:
            self._local_prefills.record_start(decode, request.prompt_tokens, now)


def _connection_gain_s(request: Any, record: Any) -> float:
    """Returns the seconds by which a prefill engine may finish later because the entry VM has a connection to it."""
    return _CONNECTED_PREFILL_GAIN_S if record.id in (request.connected or ()) else 0.0
