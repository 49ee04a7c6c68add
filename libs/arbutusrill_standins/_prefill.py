"""Simulated prefill of one prompt at a time, and the store of the resulting KV cache entries."""

from __future__ import annotations

import itertools
import re
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from arbutusrill_base import new_request_id

from ._counters import Counters
from ._faults import FaultInjector
from ._request_table import ActiveRequest, RequestTable

__all__ = ["KvEntry", "KvStore", "PrefillQueue", "output_mark"]

_MARK_PATTERN = re.compile(r"\[\[(\w+)\]\]")
_POLL_INTERVAL_S = 0.05
_MAX_WAKE_UP_DELAY_S = 0.05  # a shorter delay after a prefill counts as a late wake-up, not as idle time


class PrefillQueue:
    """Runs one prefill chunk at a time: highest priority first, then first come, first served. Thread-safe."""

    def __init__(self, faults: FaultInjector):
        self._faults = faults
        self._changed = threading.Condition()
        self._waiting_keys: list[tuple[int, int]] = []
        self._arrival_numbers = itertools.count()
        self._is_busy = False
        self._free_at = 0.0

    def run(self, seconds: float, chunks: int, priority: int, should_stop: Callable[[], bool]) -> float:
        """Occupies the engine for `seconds` in equal `chunks`; returns the fraction completed, 1 unless stopped."""
        queue_key = (-priority, next(self._arrival_numbers))
        for chunk in range(chunks):
            if not self._acquire(queue_key, should_stop):
                return chunk / chunks
            fraction = self._occupy(seconds / chunks, should_stop)
            with self._changed:
                self._is_busy = False
                self._changed.notify_all()
            if fraction < 1:
                return (chunk + fraction) / chunks
        return 1.0

    def _acquire(self, queue_key: tuple[int, int], should_stop: Callable[[], bool]) -> bool:
        with self._changed:
            self._waiting_keys.append(queue_key)
            try:
                while self._is_busy or min(self._waiting_keys) != queue_key:
                    if should_stop():
                        return False
                    self._changed.wait(_POLL_INTERVAL_S)
                self._is_busy = True
            finally:
                self._waiting_keys.remove(queue_key)
                self._changed.notify_all()
        return True

    def _occupy(self, seconds: float, should_stop: Callable[[], bool]) -> float:
        now = time.monotonic()
        start = self._free_at if now - self._free_at < _MAX_WAKE_UP_DELAY_S else now
        seconds *= self._faults.slowdown_factor()
        end = start + seconds
        while True:
            stalled_until = self._faults.stalled_until()
            now = time.monotonic()
            if stalled_until > now:
                end += min(stalled_until - now, _POLL_INTERVAL_S)
            if now >= end:
                self._free_at = end
                return 1.0
            if should_stop():
                self._free_at = now
                return max(0.0, min(0.999, 1 - (end - now) / seconds))
            time.sleep(min(end - now, _POLL_INTERVAL_S))


def output_mark(prompt: str) -> tuple[str, int]:
    """Returns the label that the output of a prompt repeats, and the number of its first token.

    The label is the last ``[[...]]`` of the prompt. Numbering continues after output of an earlier attempt
    at the end of the prompt.

    >>> output_mark("Summarise [[r7]] route 7."), output_mark("Route [[r7]] r7.0 r7.1 "), output_mark("none")
    (('r7', 0), ('r7', 2), ('', 0))
    """
    marks = _MARK_PATTERN.findall(prompt)
    if not marks:
        return "", 0
    numbers = re.findall(rf"\b{marks[-1]}\.(\d+) ", prompt)
    return marks[-1], int(numbers[-1]) + 1 if numbers else 0


@dataclass(slots=True, eq=False)
class KvEntry:
    """KV cache of one prompt, kept until it is used, is cancelled or expires at monotonic time `expires_at`.

    `mark` is the label that the output repeats. The output starts with number `mark_from`, which is above 0
    when the prompt ends with output of an earlier attempt.
    """

    request: ActiveRequest
    tokens: int
    computed_tokens: int
    mark: str
    expires_at: float
    mark_from: int = 0
    handle: str = field(default_factory=lambda: new_request_id("kv"))


class KvStore:
    """KV cache entries of an engine by handle; unused entries count as wasted prefill. Thread-safe."""

    def __init__(self, request_table: RequestTable, counters: Counters):
        self._request_table = request_table
        self._counters = counters
        self._lock = threading.Lock()
        self._entry_by_handle: dict[str, KvEntry] = {}

    def put(self, entry: KvEntry) -> None:
        """Stores an entry under its handle."""
        with self._lock:
            self._entry_by_handle[entry.handle] = entry

    def claim(self, handle: str, request_id: str) -> KvEntry | None:
        """Removes and returns an entry for use; None if it is gone, cancelled or of another request."""
        with self._lock:
            entry = self._entry_by_handle.get(handle)
            if entry is None or entry.request.request_id != request_id or entry.request.cancelled.is_set():
                return None
            return self._entry_by_handle.pop(handle)

    def release(self, entry: KvEntry, used: bool) -> None:
        """Releases the request of an entry removed from the store; counts its prefill as wasted unless `used`."""
        self._request_table.release(entry.request)
        if not used:
            self._counters.add("prefill_tokens_wasted", entry.computed_tokens)

    def sweep(self) -> None:
        """Removes the entries that have expired or were cancelled."""
        now = time.monotonic()
        with self._lock:
            expired = [
                entry
                for entry in self._entry_by_handle.values()
                if now >= entry.expires_at or entry.request.cancelled.is_set()
            ]
            for entry in expired:
                del self._entry_by_handle[entry.handle]
        for entry in expired:
            self._counters.add("kv_expired" if now >= entry.expires_at else "kv_cancelled")
            self.release(entry, used=False)
