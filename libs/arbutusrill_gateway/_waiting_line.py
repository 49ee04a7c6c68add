"""Requests that wait in order of arrival until a backend server may be used again."""

from __future__ import annotations

import bisect
import contextlib
import itertools
import threading
import time
from collections.abc import Iterator

__all__ = ["Position", "WaitingLine"]

_RELEASE_INTERVAL_S = 0.005  # spreads the requests that waited, so that servers can ask for quiet again in time


class Position:
    """Place of one request in a line; positions sort by rank, then by arrival."""

    __slots__ = ("_line", "_order", "_turn")

    def __init__(self, line: WaitingLine, order: tuple[int, float, int]):
        self._line = line
        self._order = order
        self._turn = threading.Event()

    def __lt__(self, other: Position) -> bool:
        return self._order < other._order

    def turn_in_s(self) -> float | None:
        """Returns the seconds until this position may leave the line, None if it is not the first."""
        return self._line.turn_in_s(self)

    def wait(self, timeout_s: float) -> None:
        """Waits up to `timeout_s` seconds; less if this position becomes the first."""
        if self._turn.wait(max(0.0, timeout_s)):
            self._turn.clear()

    def wake(self) -> None:
        """Ends a wait."""
        self._turn.set()


class WaitingLine:
    """A line of requests by rank and in order of their arrival, which is not the order in which they join it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._positions: list[Position] = []
        self._numbers = itertools.count()
        self._released_at = float("-inf")

    def __len__(self) -> int:
        return len(self._positions)

    @contextlib.contextmanager
    def join(self, arrived_at: float, rank: int = 0) -> Iterator[Position]:
        """Holds a position in the line while the context is open; a lower rank goes first."""
        position = Position(self, (rank, arrived_at, next(self._numbers)))
        with self._lock:
            bisect.insort(self._positions, position)
        try:
            yield position
        finally:
            with self._lock:
                self._positions.remove(position)
                self._released_at = time.monotonic()
                first = self._positions[0] if self._positions else None
            if first is not None:
                first.wake()

    @property
    def released_at(self) -> float:
        """When a position was last given up, on the monotonic clock."""
        return self._released_at

    def turn_in_s(self, position: Position) -> float | None:
        """Returns the seconds until a position may leave, None if it is not the first."""
        with self._lock:
            if self._positions[0] is not position:
                return None
            return max(0.0, self._released_at + _RELEASE_INTERVAL_S - time.monotonic())
