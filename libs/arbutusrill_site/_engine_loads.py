"""Loads of the engines of a site, kept as they change, and the choice of an engine for a request.

Nothing here reads a clock or a socket: times are passed in, on the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from typing import Any

from sortedcontainers import SortedKeyList

from ._cold_limits import GrantLimit
from ._configuration import Engine
from ._memory_forecast import StreamLoad, peak_tokens
from ._speeds import EngineSpeeds
from ._waiting_queue import output_tokens_of

__all__ = ["EngineLoad", "EngineLoads", "Place"]

_MAX_SLOWNESS_FACTOR = 3.0  # bounds the weight of speed against memory use, in both directions
_USABLE_MEMORY_FRACTION = 0.92  # of the KV cache memory of an engine
_STREAM_START_DELAY_S = 0.2  # from the reservation to the start of the stream
_UNRESPONSIVE_EXCLUSION_S = 1.5  # shortest exclusion of an engine that did not answer an entry VM
_NO_ROOM_TTL_S = 0.1  # an engine without room is examined again after this time or after a change of its load
# An engine to which the entry VM has a connection is preferred to one with a lower rank if its rank is at most that of
# this many requests higher, and its memory has room for the request without counting on the end of a stream.
_CONNECTED_MAX_REQUESTS_AHEAD = 2
_REFRESH_INTERVAL_S = 0.1  # for announcements that change nothing but show that an engine is alive


@dataclass(slots=True)
class Place:
    """Reservation of one request on a decode engine."""

    backend: str
    tokens: int
    taken_at: float  # monotonic clock
    service: str = ""
    output_tokens: int = 0  # the share of `tokens` that the output fills during the stream
    event_gap_s: float = 0.0  # longest pause between events that the caller accepts; 0 if unknown or already late
    queued_at_engine: bool = False  # in the queue of the engine, beyond its usable memory

    @classmethod
    def for_request(cls, request: Any, backend: str, now: float, is_late: bool = False) -> Place:
        """Returns a place for a `PlaceRequest` on a decode engine; pauses do not matter to a late request."""
        output_tokens, gap_s = output_tokens_of(request), 0.0 if is_late else request.event_gap_ms / 1000
        return cls(backend, request.memory_tokens, now, request.service_name, output_tokens, gap_s)

    def stream_load(self, speeds: EngineSpeeds) -> StreamLoad:
        """Returns the forecast of the memory of the stream."""
        duration_s = (
            speeds.stream_duration_s(self.backend, self.service, self.output_tokens) if self.output_tokens else None
        )
        return StreamLoad(
            self.tokens - self.output_tokens, self.output_tokens, self.taken_at + _STREAM_START_DELAY_S, duration_s
        )


@dataclass(slots=True, eq=False)
class EngineLoad:
    """Places of one engine, with their sums."""

    id: str
    places: dict[int, Place] = field(default_factory=dict)
    tokens: int = 0
    queued_count: int = 0
    rank: float = 0.0  # utilisation multiplied by slowness
    no_room_tokens: int = 0  # a request of this size did not fit, 0 if none was refused
    no_room_until: float = float("-inf")

    def has_no_room_for(self, tokens: int, now: float) -> bool:
        """Whether a request of this size or a smaller one was found not to fit since the last change."""
        return now < self.no_room_until and tokens >= self.no_room_tokens


@dataclass(slots=True)
class _UnresponsiveEngine:
    """Engine that refused a connection or exceeded the time limit of a prefill."""

    excluded_until: float
    announcement_key: tuple[int, int]  # of its latest announcement before it was reported unresponsive


class EngineLoads:
    """Index of the engines by service and stage, with the places on each.

    `backends` returns the records of the backend servers and `revision` a number that changes with them; without it,
    the records are read again for each decision. `limit` bounds what cold engines get.
    """

    def __init__(
        self,
        backends: Callable[[], list[Any]],
        speeds: EngineSpeeds,
        revision: Callable[[], int] | None = None,
        limit: GrantLimit | None = None,
    ):
        self._limit = limit
        self._backends = backends
        self._speeds = speeds
        self._revision = revision
        self._seen_revision: int | None = None
        self._refreshed_at = float("-inf")
        self._record_by_id: dict[str, Any] = {}
        self._load_by_id: dict[str, EngineLoad] = {}
        self._decode_by_service: dict[str, SortedKeyList] = {}
        self._prefill_by_service: dict[str, list[Any]] = {}
        self._unresponsive_by_id: dict[str, _UnresponsiveEngine] = {}

    def refresh(self, now: float) -> None:
        """Reads the records of the backend servers if they may have changed."""
        if self._revision is not None:
            revision = self._revision()
            if revision == self._seen_revision and now - self._refreshed_at < _REFRESH_INTERVAL_S:
                return
            self._seen_revision = revision
        self._refreshed_at = now
        self._record_by_id = {record.id: record for record in self._backends() if record.stage}
        decode: dict[str, list[EngineLoad]] = {}
        self._prefill_by_service = {}
        for record in self._record_by_id.values():
            if record.draining or record.ordered_stage:
                continue
            if record.stage == "prefill":
                self._prefill_by_service.setdefault(record.service_name, []).append(record)
            elif record.stage == "decode":
                decode.setdefault(record.service_name, []).append(self._load_of(record.id))
        for load in self._load_by_id.values():
            load.rank = self._rank(load)
        self._decode_by_service = {
            service: SortedKeyList(loads, key=lambda load: (load.rank, load.id)) for service, loads in decode.items()
        }
        for id_ in [id_ for id_, load in self._load_by_id.items() if not load.places and id_ not in self._record_by_id]:
            del self._load_by_id[id_]

    def _load_of(self, backend: str) -> EngineLoad:
        load = self._load_by_id.get(backend)
        if load is None:
            load = self._load_by_id[backend] = EngineLoad(backend)
        return load

    def _rank(self, load: EngineLoad) -> float:
        slowness = self._speeds.slowness(load.id)
        return (1 + load.tokens) * min(_MAX_SLOWNESS_FACTOR, max(1 / _MAX_SLOWNESS_FACTOR, slowness))

    def clear(self) -> None:
        """Removes all places."""
        self._load_by_id.clear()
        self._seen_revision, self._refreshed_at = None, float("-inf")

    def add(self, number: int, place: Place) -> None:
        """Adds a place under its number."""
        load = self._load_of(place.backend)
        load.places[number] = place
        self._change(load, place, 1)
        self.record_grant(place.backend, place.taken_at)

    def record_grant(self, backend: str, now: float) -> None:
        """Records that a request is to be sent to an engine."""
        record = self._record_by_id.get(backend)
        if self._limit is not None and record is not None:
            self._limit.record(record, now)

    def remove(self, number: int, place: Place) -> None:
        """Removes a place."""
        load = self._load_of(place.backend)
        if load.places.pop(number, None) is not None:
            self._change(load, place, -1)

    def _change(self, load: EngineLoad, place: Place, sign: int) -> None:
        record = self._record_by_id.get(load.id)
        ranking = self._decode_by_service.get(record.service_name) if record is not None else None
        is_ranked = ranking is not None and load in ranking
        if is_ranked:
            ranking.remove(load)
        load.tokens += sign * place.tokens
        load.queued_count += sign * place.queued_at_engine
        load.no_room_until = float("-inf")
        load.rank = self._rank(load)
        if is_ranked:
            ranking.add(load)

    def event_gaps_s(self, backend: str) -> list[float]:
        """Returns the longest accepted pause in seconds of each stream on an engine, 0 if unknown."""
        return [place.event_gap_s for place in self._load_of(backend).places.values()]

    def eligible_prefill(self, request: Any, now: float) -> list[Any]:
        """Returns the records of the prefill engines that may serve a request."""
        records = self._prefill_by_service.get(request.service_name, [])
        return [record for record in records if self._may_serve(record, request, now)]

    def decode_count(self, service: str) -> int:
        """Returns the number of decode engines of a service."""
        return len(self._decode_by_service.get(service, ()))

    def _may_serve(self, record: Any, request: Any, now: float) -> bool:
        if self._unresponsive_by_id and not self._is_responsive(record, now):
            return False
        if self._limit is not None and not self._limit.permits(record, now):
            return False
        return not request.model or not record.models or any(model.name == request.model for model in record.models)

    def choose_decode(self, request: Any, capacity: Engine, now: float) -> Any | None:
        """Returns the first decode engine of `decode_with_room`, None if none has room."""
        return next(self.decode_with_room(request, capacity, now), None)

    def decode_with_room(self, request: Any, capacity: Engine, now: float) -> Iterator[Any]:
        """Yields the decode engines that have room, the one with the lowest utilisation times slowness first.

        An engine in `request.avoid` is chosen only when all eligible engines are in it. An engine without places takes
        a request of any size.
        """
        avoided = request.avoid or ()
        only_avoided = True
        for record, load in self._ranked(request, now):
            if record.id in avoided:
                continue
            only_avoided = False
            if self._has_room(load, request, capacity, now):
                connected = self._connected_decode(request, load, capacity, now)
                if connected is not None:
                    yield connected
                yield record
        if only_avoided and avoided:
            for record, load in self._ranked(request, now):
                if self._has_room(load, request, capacity, now):
                    yield record

    def free_count(self, request: Any, capacity: Engine) -> int:
        """Returns how many requests the decode engines have room for, without forecasts of memory.

        A request counts with the mean size of those that run, or with that of `request` if none does.
        """
        usable = capacity.kv_tokens * _USABLE_MEMORY_FRACTION
        loads = self._decode_by_service.get(request.service_name, ())
        place_count = sum(len(load.places) for load in loads)
        mean_tokens = sum(load.tokens for load in loads) / place_count if place_count else request.memory_tokens
        tokens = max(1, mean_tokens)
        return sum(
            max(0, min(capacity.slots - len(load.places), int((usable - load.tokens) // tokens))) for load in loads
        )

    def used_fraction(self, service: str, capacity: Engine) -> float:
        """Returns the fraction of the places of the decode engines that is taken, by memory or slots."""
        loads = self._decode_by_service.get(service, ())
        used = sum(max(load.tokens / capacity.kv_tokens, len(load.places) / capacity.slots) for load in loads)
        return used / max(1, len(loads))

    def _connected_decode(self, request: Any, best: EngineLoad, capacity: Engine, now: float) -> Any | None:
        """Returns a decode engine of `request.connected` whose rank is close to that of the best one, or None."""
        max_rank = best.rank + _CONNECTED_MAX_REQUESTS_AHEAD * request.memory_tokens
        max_tokens = capacity.kv_tokens * _USABLE_MEMORY_FRACTION - request.memory_tokens
        for id_ in request.connected or ():
            record = self._record_by_id.get(id_)
            if (
                record is None
                or record.stage != "decode"
                or record.draining
                or record.ordered_stage
                or record.service_name != request.service_name
                or id_ in (request.avoid or ())
                or not self._may_serve(record, request, now)
            ):
                continue
            load = self._load_of(id_)
            if load.rank <= max_rank and load.tokens <= max_tokens and self._has_room(load, request, capacity, now):
                return record
        return None

    def _ranked(self, request: Any, now: float) -> Iterator[tuple[Any, EngineLoad]]:
        for load in self._decode_by_service.get(request.service_name, ()):
            record = self._record_by_id[load.id]
            if self._may_serve(record, request, now):
                yield record, load

    def _has_room(self, load: EngineLoad, request: Any, capacity: Engine, now: float) -> bool:
        """Whether the forecast memory peak of an engine with one more stream stays within its usable capacity."""
        if not load.places:
            return True
        if len(load.places) >= capacity.slots or load.has_no_room_for(request.memory_tokens, now):
            return False
        usable = capacity.kv_tokens * _USABLE_MEMORY_FRACTION
        if load.tokens + request.memory_tokens <= usable:
            return True
        places = [*load.places.values(), Place.for_request(request, load.id, now)]
        if peak_tokens([place.stream_load(self._speeds) for place in places], now) <= usable:
            return True
        is_smaller = now >= load.no_room_until or request.memory_tokens < load.no_room_tokens
        load.no_room_tokens = request.memory_tokens if is_smaller else load.no_room_tokens
        load.no_room_until = now + _NO_ROOM_TTL_S
        return False

    def least_queued(self, request: Any, now: float) -> EngineLoad | None:
        """Returns the decode engine with the shortest queue of its own, the fastest among equals; None if none."""
        avoided = request.avoid or ()
        loads = [load for record, load in self._ranked(request, now) if record.id not in avoided]
        return min(
            loads,
            key=lambda load: (load.queued_count, self._speeds.unit_time_of(load.id, "decode").unit_s),
            default=None,
        )

    def exclude_unresponsive(self, engines: Collection[str], now: float) -> None:
        """Excludes engines until `_UNRESPONSIVE_EXCLUSION_S` have passed and they have announced themselves again."""
        self._refreshed_at = float("-inf")
        self.refresh(now)
        kept = {id_: engine for id_, engine in self._unresponsive_by_id.items() if id_ in self._record_by_id}
        for id_ in self._record_by_id.keys() & set(engines):
            key = _announcement_key(self._record_by_id[id_])
            kept[id_] = _UnresponsiveEngine(now + _UNRESPONSIVE_EXCLUSION_S, key)
        self._unresponsive_by_id = kept

    def _is_responsive(self, record: Any, now: float) -> bool:
        exclusion = self._unresponsive_by_id.get(record.id)
        return exclusion is None or (
            now >= exclusion.excluded_until and _announcement_key(record) > exclusion.announcement_key
        )


def _announcement_key(record: Any) -> tuple[int, int]:
    """Returns the sort key of announcements of one server."""
    return record.started_ms, record.sequence
