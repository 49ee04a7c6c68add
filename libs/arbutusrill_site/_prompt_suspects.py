"""Decides which parts of prompts crash engines, from the crashes and from the requests that were answered."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from arbutusrill_base import EventLog
from arbutusrill_wire import messages

__all__ = ["Bar", "PromptSuspects"]

_MIN_CONSECUTIVE = 3  # crashes, each by a request that began after the one before had broken
# With so many crashes, two consecutive ones suffice: many requests with the part may break at the same time.
_MANY_CRASHES = 5
_MIN_CONSECUTIVE_OF_MANY = 2
_BAR_S = 600.0
_MAX_DOUBLINGS = 10
_EVIDENCE_S = 1800.0  # a part that is not barred is forgotten so long after its last crash
_EXPIRY_INTERVAL_S = 5.0
# Bounds in bytes of IDs, with `_PART_BYTES` for each part and `_CRASH_BYTES` for each of its crashes.
_MAX_TABLE_BYTES = 512 * 1024
_EVICTED_FRACTION = 0.125  # at once, when there are more
_MAX_SAVED_BYTES = 256 * 1024
_MAX_LISTED_BYTES = 16 * 1024
_PART_BYTES = 24
_CRASH_BYTES = 8
_MAX_CRASHES_PER_PART = 256
_MAX_LOGGED_PARTS = 8
_events = EventLog("prompts")

_CrashKey = tuple[str, int]  # ID of the engine and its start


@dataclass(slots=True)
class _Crash:
    """Interval of the attempts with one part that broke at a crash: the earliest start and the first break.

    Attempts without the part do not count: a request that had waited for long would make unrelated crashes overlap.
    """

    began: float
    ended: float


@dataclass(slots=True)
class _Part:
    """Evidence against one part since its last success. `bars` counts the times that it was barred.

    `answered_lately` is true if a VM had seen answers to the part not long before it crashed an engine.
    """

    crashes: dict[_CrashKey, _Crash] = field(default_factory=dict)
    last_at: float = -math.inf
    bars: int = 0
    barred_until: float = -math.inf
    answered_lately: bool = False


@dataclass(slots=True, frozen=True)
class Bar:
    """Parts that are barred as a set: a request is refused if its prompt has all of them. `until` is a time."""

    parts: frozenset[str]
    until: float
    crashes: int


class PromptSuspects:
    """Evidence against parts of prompts, and the sets of parts that are barred.

    A crash implicates all parts of the prompts whose requests broke at it in the beginning of their answer; an answer
    that is complete, or has gone on for long, clears all parts of its prompt from the crashes before it. Parts that
    were implicated by the same crashes cannot be told apart and are barred together, as a set, so that each of them
    stays usable without the others. A part whose crashes are all crashes of another part that has more of them is
    explained by that one and is not barred. Only consecutive crashes count, so that a failure of many engines at the
    same time bars nothing.

    A prompt may have thousands of parts, of which the table keeps as many as its bound in bytes allows. Parts with the
    same crashes are kept or dropped together: a set that had lost a part would bar requests without that part.

    All times are passed in, in seconds of one clock. `revision` changes with the table, `bars_revision` with the bars,
    `save_revision` when the table should be saved.
    """

    def __init__(self) -> None:
        self._part_by_id: dict[str, _Part] = {}
        self._table_bytes = 0  # sum of the sizes of the parts
        self._bars: dict[frozenset[str], Bar] = {}
        self._expired_at = -math.inf
        self._listed: tuple[int, list[str]] = (-1, [])  # revision and result of `suspected`
        self.revision = self.bars_revision = self.save_revision = 0

    def __len__(self) -> int:
        return len(self._part_by_id)

    def bars(self) -> list[Bar]:
        """Returns the bars in force."""
        return list(self._bars.values())

    def suspected(self) -> list[str]:
        """Returns the IDs of the parts with a crash since their last success, those with most crashes first.

        Reports of crashes also hold the answers of their own parts, so that those beyond the bound are cleared too.
        """
        if self._listed[0] != self.revision:
            ids, left = [], _MAX_LISTED_BYTES
            for id_ in sorted(self._part_by_id, key=self._weight, reverse=True):
                left -= len(id_) + _PART_BYTES
                if left < 0:
                    break
                ids.append(id_)
            self._listed = (self.revision, ids)
        return self._listed[1]

    def record_crash(
        self,
        backend: str,
        started_ms: int,
        parts: Iterable[str],
        began: float,
        ended: float,
        now: float,
        answered_parts: Iterable[str] = (),
    ) -> None:
        """Records that a request broke at an engine that crashed, in an attempt between two times.

        `answered_parts` are those parts of its prompt that were answered lately, `parts` the others.
        """
        key = (backend, started_ms)
        added = []
        answered_parts = set(answered_parts)
        for id_ in (*parts, *answered_parts):
            part = self._part_by_id.get(id_)
            if part is None:
                part = self._part_by_id[id_] = _Part()
                self._table_bytes += self._size(id_)
            part.answered_lately = part.answered_lately or id_ in answered_parts
            crash = part.crashes.get(key)
            if crash is not None:
                crash.began, crash.ended = min(crash.began, began), min(crash.ended, ended)
                continue
            if len(part.crashes) >= _MAX_CRASHES_PER_PART:
                continue
            part.crashes[key] = _Crash(began, ended)
            self._table_bytes += _CRASH_BYTES
            part.last_at = now
            added.append(id_)
        if not added:
            return
        self.revision += 1
        counts = {id_: len(self._part_by_id[id_].crashes) for id_ in added}
        if max(counts.values()) > 1:
            self.save_revision += 1
        repeated = sorted((id_ for id_ in added if counts[id_] > 1), key=lambda id_: -counts[id_])
        _events.emit(
            "parts_suspected",
            backend=backend,
            start=started_ms,
            parts=len(added),
            repeated={id_: counts[id_] for id_ in repeated[:_MAX_LOGGED_PARTS]},
        )
        self._evict()
        self._update_bars(now, added)

    def record_success(self, parts: Iterable[str], answered_at: float, now: float) -> None:
        """Records that a request with these parts was answered, at least in its beginning, at the time `answered_at`.

        Crashes that came later still count.
        """
        self.record_answers(dict.fromkeys(parts, answered_at), now)

    def record_answers(self, answered_at_by_part: Mapping[str, float], now: float) -> None:
        """Records for each part when a request with it was last answered, like `record_success`."""
        cleared = {}
        for id_, answered_at in answered_at_by_part.items():
            part = self._part_by_id.get(id_)
            if part is None:
                continue
            later = {key: crash for key, crash in part.crashes.items() if crash.ended > answered_at}
            if len(later) == len(part.crashes):
                continue
            self._table_bytes -= self._size(id_)
            cleared[id_] = self._part_by_id.pop(id_)
            if later:
                self._part_by_id[id_] = _Part(later, part.last_at, answered_lately=True)
                self._table_bytes += self._size(id_)
        if not cleared:
            return
        self.revision += 1
        if any(len(part.crashes) > 1 or part.bars for part in cleared.values()):
            self.save_revision += 1
            _events.emit("parts_cleared", parts=list(cleared)[:_MAX_LOGGED_PARTS], count=len(cleared))
        self._update_bars(now, ())

    def expire(self, now: float) -> None:
        """Ends the bars whose time has come and forgets old evidence."""
        if any(bar.until <= now for bar in self._bars.values()):
            self._update_bars(now, ())
        if now < self._expired_at + _EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        old = [
            id_
            for id_, part in self._part_by_id.items()
            if max(part.last_at, part.barred_until) <= now - _EVIDENCE_S * 2**part.bars
        ]
        if old:
            self._drop(old)
            self._update_bars(now, ())

    def record(self) -> Any:
        """Returns the table as a `PutPromptSuspects` message; times are in milliseconds."""
        repeated = [id_ for id_, part in self._part_by_id.items() if len(part.crashes) > 1 or part.bars]
        kept = self._heaviest(repeated, _MAX_SAVED_BYTES)
        crashes_by_id = {
            id_: [
                (*key, int(crash.began * 1000), int(crash.ended * 1000))
                for key, crash in self._part_by_id[id_].crashes.items()
            ]
            for id_ in kept
        }
        distinct = sorted({crash for crashes in crashes_by_id.values() for crash in crashes})
        position_by_crash = {crash: position for position, crash in enumerate(distinct)}
        barred = {id_ for parts in self._bars for id_ in parts}
        return messages.PutPromptSuspects(
            [messages.EngineCrash(*crash) for crash in distinct],
            [
                messages.SuspectedPart(
                    id_,
                    sorted(position_by_crash[crash] for crash in crashes),
                    self._part_by_id[id_].bars,
                    id_ in barred,
                    self._part_by_id[id_].answered_lately,
                )
                for id_, crashes in crashes_by_id.items()
            ],
        )

    def restore(self, record: Any, now: float) -> None:
        """Replaces the table by a recorded one; the periods of its bars start anew."""
        crashes = record.crashes or []
        # The times are of another VM's clock: only their order is kept.
        offset = now - max((crash.ended_ms for crash in crashes), default=0) / 1000
        self._part_by_id, self._bars = {}, {}
        for saved in record.parts or []:
            until = now + _bar_s(saved.bars) if saved.barred else -math.inf
            crash_by_key = {
                (crash.backend, crash.started_ms): _Crash(
                    crash.began_ms / 1000 + offset, crash.ended_ms / 1000 + offset
                )
                for position in saved.crashes or []
                for crash in (crashes[position],)
            }
            self._part_by_id[saved.id] = _Part(crash_by_key, now, saved.bars, until, saved.answered_lately)
        self._table_bytes = sum(map(self._size, self._part_by_id))
        self.revision += 1
        self.bars_revision += 1
        self._update_bars(now, ())
        if self._part_by_id:
            _events.emit("suspects_restored", parts=len(self._part_by_id), bars=len(self._bars))

    def _heaviest(self, ids: Iterable[str], max_bytes: int) -> list[str]:
        """Returns the parts that `max_bytes` allow, the heaviest first, and all or none of those with equal crashes."""
        ids_by_crashes: dict[frozenset[_CrashKey], list[str]] = {}
        for id_ in ids:
            ids_by_crashes.setdefault(frozenset(self._part_by_id[id_].crashes), []).append(id_)
        kept, left = [], max_bytes
        for group in sorted(ids_by_crashes.values(), key=lambda ids: max(map(self._weight, ids)), reverse=True):
            left -= sum(map(self._size, group))
            if left < 0:  # a lighter group could be one whose crashes this one explains
                break
            kept += group
        return kept

    def _weight(self, id_: str) -> tuple[float, int, int, float]:
        """Returns a key that is greater for the barred parts, then for those with most and latest crashes."""
        part = self._part_by_id[id_]
        return part.barred_until, part.bars, len(part.crashes), part.last_at

    def _size(self, id_: str) -> int:
        return len(id_) + _PART_BYTES + _CRASH_BYTES * len(self._part_by_id[id_].crashes)

    def _evict(self) -> None:
        if self._table_bytes <= _MAX_TABLE_BYTES:
            return
        before = self._table_bytes
        kept = set(self._heaviest(self._part_by_id, int(_MAX_TABLE_BYTES * (1 - _EVICTED_FRACTION))))
        dropped = [id_ for id_ in self._part_by_id if id_ not in kept]
        self._drop(dropped)
        _events.emit("parts_evicted", count=len(dropped), kept=len(kept), before=before, bytes=self._table_bytes)

    def _drop(self, ids: list[str]) -> None:
        for id_ in ids:
            self._table_bytes -= self._size(id_)
            del self._part_by_id[id_]
        self.revision += 1
        self.save_revision += 1

    def _suffices(self, id_: str) -> bool:
        """Whether the crashes of a part are evidence enough; only attempts that did not overlap in time count.

        Those of a part that was answered lately may be chance: more of them are needed.
        """
        part = self._part_by_id[id_]
        crashes = sorted(part.crashes.values(), key=lambda crash: crash.ended)
        consecutive, last_ended = 0, -math.inf
        for crash in crashes:
            if crash.began >= last_ended:
                consecutive, last_ended = consecutive + 1, crash.ended
        if part.answered_lately:
            return len(crashes) >= _MANY_CRASHES and consecutive >= _MIN_CONSECUTIVE
        return consecutive >= _MIN_CONSECUTIVE or (
            len(crashes) >= _MANY_CRASHES and consecutive >= _MIN_CONSECUTIVE_OF_MANY
        )

    def _classes(self) -> list[list[str]]:
        """Returns the sets of parts against which there is evidence enough, apart from those that others explain."""
        ids_by_crashes: dict[frozenset[_CrashKey], list[str]] = {}
        for id_, part in self._part_by_id.items():
            if len(part.crashes) >= _MIN_CONSECUTIVE:
                ids_by_crashes.setdefault(frozenset(part.crashes), []).append(id_)
        sufficient = [crashes for crashes, ids in ids_by_crashes.items() if any(map(self._suffices, ids))]
        return [
            self._most_suspect(ids_by_crashes[crashes])
            for crashes in sufficient
            if not any(crashes < others for others in sufficient)
        ]

    def _most_suspect(self, ids: list[str]) -> list[str]:
        """Returns the parts that were not answered lately, or all if there is none."""
        return [id_ for id_ in ids if not self._part_by_id[id_].answered_lately] or ids

    def _update_bars(self, now: float, crashed: Iterable[str]) -> None:
        """Computes the bars; parts in `crashed` have just been implicated, which renews a bar that has ended."""
        crashed = set(crashed)
        bars: dict[frozenset[str], Bar] = {}
        for ids in self._classes():
            parts = [self._part_by_id[id_] for id_ in ids]
            until, count = max(part.barred_until for part in parts), max(part.bars for part in parts)
            if until <= now and (not count or crashed.intersection(ids)):
                count += 1
                until = now + _bar_s(count)
            for part in parts:
                part.bars, part.barred_until = count, until
            if until > now:
                names = frozenset(ids)
                bars[names] = Bar(names, until, len(parts[0].crashes))
        before, self._bars = self._bars, bars
        if before.keys() == bars.keys():
            return
        self.revision += 1
        self.bars_revision += 1
        self.save_revision += 1
        for names, bar in before.items():
            if names not in bars:
                _events.emit("bar_ended", parts=sorted(names)[:_MAX_LOGGED_PARTS], expired=bar.until <= now)
        for names, bar in bars.items():
            if names not in before:
                self._log_bar(bar, now)

    def _log_bar(self, bar: Bar, now: float) -> None:
        engines = sorted({backend for backend, _ in self._part_by_id[next(iter(bar.parts))].crashes})
        _events.emit(
            "parts_barred",
            parts=sorted(bar.parts)[:_MAX_LOGGED_PARTS],
            crashes=bar.crashes,
            engines=engines[:_MAX_LOGGED_PARTS],
            for_s=round(bar.until - now),
        )


def _bar_s(count: int) -> float:
    """Returns the length of the bar of a part that is barred for the `count`-th time, in seconds."""
    return _BAR_S * 2 ** min(max(0, count - 1), _MAX_DOUBLINGS)
