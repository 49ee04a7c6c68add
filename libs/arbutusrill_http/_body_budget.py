"""Memory budget for the bodies of requests and responses that a process holds at the same time."""

from __future__ import annotations

import ctypes
import threading
import time
from collections import deque
from collections.abc import Callable

from arbutusrill_base import EventLog

__all__ = ["BodyBudget", "BodyReservation", "bound_allocator"]

_FREE_BYTES = 8 * 1024  # bodies up to this size need no room: the number of connections bounds them
_SMALL_BYTES = 64 * 1024  # bodies up to this size have a share of their own, so that large ones cannot delay them
_SMALL_FRACTION = 0.125
_OWNER_FRACTION = 0.75  # largest share of one owner, such as a workspace
_RESPONSE_FRACTION = 0.5  # largest share of responses: most can be forwarded without room, requests cannot
_COPIES = 2  # a body is assembled from its pieces, so that it takes its size twice for a moment
_MEMORY_FRACTION = 0.3  # of the memory of a process
_MIN_MEMORY_MB = 150  # of the smallest VM, where no limit is known
_IDLE_PROCESS_BYTES = 48 * 1024 * 1024  # of a process without connections
_CONNECTION_BYTES = 224 * 1024  # of one with a request in progress and large headers, without bodies
_MIN_CONNECTIONS = 128  # that a process accepts, however little memory it has
_MMAP_THRESHOLD_BYTES = 256 * 1024
_M_MMAP_THRESHOLD, _M_ARENA_MAX = -3, -8
_MAX_ARENAS = 2
_events = EventLog("http")


def bound_allocator() -> None:
    """Makes the C library return the memory of large bodies when they are freed.

    By default, glibc keeps freed blocks of several megabytes for each arena of threads, which adds up to more than the
    bodies themselves. Does nothing with other C libraries.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
    mallopt(_M_ARENA_MAX, _MAX_ARENAS)


class BodyReservation:
    """Part of a `BodyBudget`, held until the context ends.

    `size` and `wanted` are bytes of a body, of a response if `is_response` is true. What is held `is_large` once more
    than a small body is wanted: bodies that wait for more must not keep the share of the small ones.
    """

    __slots__ = ("_budget", "granted", "is_large", "is_response", "owner", "size", "wanted")

    def __init__(self, budget: BodyBudget, owner: str, is_response: bool = False):
        self._budget = budget
        self.owner = owner
        self.is_response = is_response
        self.size = self.wanted = 0
        self.is_large = False
        self.granted: threading.Condition | None = None  # of its last wait for room

    def __enter__(self) -> BodyReservation:
        return self

    def __exit__(self, *_: object) -> None:
        self._budget.release(self)

    @property
    def is_contended(self) -> bool:
        """Whether others wait for room while this one holds some."""
        return bool(self.size) and self._budget.has_waiting

    def grow(self, size: int, wait_s: float) -> bool:
        """Raises the reservation to a body of `size` bytes, waiting at most `wait_s` seconds; returns False in vain."""
        return size <= max(self.size, _FREE_BYTES) or self._budget.acquire(self, size, wait_s)

    def grow_beside(self, size: int, spare: int) -> bool:
        """Raises the reservation to `size` bytes if it can be raised by `spare` bytes more later; does not wait."""
        return size <= max(self.size, _FREE_BYTES) or self._budget.acquire_beside(self, size, spare)

    def shrink(self, size: int) -> None:
        """Lowers the reservation to the actual size of the body."""
        if size < self.size:
            self._budget.release(self, size)


class BodyBudget:
    """Bytes of memory for bodies, shared by all requests and responses of a process; `None` for no limit.

    A body that finds no room waits unread, in order of arrival; those of an owner that holds its largest share are
    passed by those of others. Small bodies have a share that large ones cannot use, and very small ones need no room.
    Large responses hold half of the memory at most, so that faulty backend servers do not keep requests out, and pass
    the bodies of requests that wait. Small ones may hold half of the small share beyond that.

    >>> budget = BodyBudget(1024 * 1024)
    >>> with budget.open("clinic") as reservation:
    ...     reservation.grow(300_000, 0.0), reservation.grow(600_000, 0.0)
    (True, False)
    """

    def __init__(self, total_bytes: int | None):
        self.total_bytes = total_bytes
        self._lock = threading.RLock()
        self._waiting: deque[BodyReservation] = deque()
        self._held_by_owner: dict[str, int] = {}
        self._large_bytes = self._small_bytes = self._response_bytes = 0
        self.refused_count = self.refused_response_count = 0
        self.on_shortage: list[Callable[[], None]] = []  # called when a body finds no room; they must not block
        self.max_connections: int | None = None  # that fit into the memory of the process beside the bodies

    @classmethod
    def of_process(cls, memory_mb: float | None) -> BodyBudget:
        """Returns the budget of a process that may use `memory_mb` megabytes, None if that is not known.

        Also makes the allocator return what bodies have used, see `bound_allocator`.
        """
        bound_allocator()
        budget = cls(int(_MEMORY_FRACTION * (memory_mb or _MIN_MEMORY_MB) * 2**20))
        if memory_mb:
            left = int(memory_mb * 2**20) - budget.total_bytes - _IDLE_PROCESS_BYTES
            budget.max_connections = max(_MIN_CONNECTIONS, left // _CONNECTION_BYTES)
        return budget

    @property
    def held_bytes(self) -> int:
        """Reserved bytes, all copies of the bodies included."""
        return self._large_bytes + self._small_bytes

    @property
    def has_waiting(self) -> bool:
        """Whether a body waits for room."""
        return bool(self._waiting)

    def open(self, owner: str, is_response: bool = False) -> BodyReservation:
        """Returns an empty reservation for the body of a request, or of a response of a backend server."""
        return BodyReservation(self, owner, is_response)

    def acquire(self, reservation: BodyReservation, size: int, wait_s: float) -> bool:
        """Raises a reservation to `size` bytes of a body; see `BodyReservation.grow`."""
        if self.total_bytes is None:
            return True
        with self._lock:
            reservation.wanted = size
            if size > _SMALL_BYTES and not reservation.is_large:
                self._make_large(reservation)
            if self._has_room(reservation):
                self._account(reservation, size)
                self._grant()  # others may be first now
                return True
            if size * _COPIES <= self._large_limit() and self._wait(reservation, wait_s):
                return True
            self._record_refusal(reservation)
            return False

    def acquire_beside(self, reservation: BodyReservation, size: int, spare: int) -> bool:
        """Raises a reservation to `size` bytes if `spare` bytes stay free; see `BodyReservation.grow_beside`."""
        if self.total_bytes is None:
            return True
        with self._lock:
            reservation.wanted = size + spare
            if reservation.wanted > _SMALL_BYTES and not reservation.is_large:
                self._make_large(reservation)
            has_room = self._has_room(reservation)
            reservation.wanted = size
            if has_room:
                self._account(reservation, size)
                self._grant()  # others may be first now
            return has_room

    def release(self, reservation: BodyReservation, kept: int = 0) -> None:
        """Gives back what a reservation holds beyond `kept` bytes of a body."""
        if not reservation.size:
            return
        with self._lock:
            self._account(reservation, kept)
            self._grant()

    def _wait(self, reservation: BodyReservation, wait_s: float) -> bool:
        """Waits at most `wait_s` seconds until `_grant` has raised a reservation; returns False in vain."""
        deadline = time.monotonic() + wait_s
        for relieve in self.on_shortage:
            relieve()
        if wait_s <= 0:
            return False
        reservation.granted = threading.Condition(self._lock)
        self._waiting.append(reservation)
        while reservation.size < reservation.wanted:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                self._waiting.remove(reservation)
                self._grant()  # others may be first now
                return False
            reservation.granted.wait(remaining_s)
        return True

    def _grant(self) -> None:
        """Raises the waiting reservations that have room, and wakes the threads of these only.

        A reservation that is raised may leave an earlier one no share of its owner, so that others may pass that one.
        """
        while self._waiting and self._grant_in_order():
            pass

    def _grant_in_order(self) -> bool:
        """Looks at each waiting reservation once; returns whether one was raised."""
        is_first, has_raised = True, False
        for reservation in list(self._waiting):
            if self._has_room(reservation, is_first):
                self._waiting.remove(reservation)
                self._account(reservation, reservation.wanted)
                reservation.granted.notify()
                has_raised = True
            elif reservation.wanted > _SMALL_BYTES and self._is_within_share(reservation):
                is_first = False
        return has_raised

    def _large_limit(self) -> float:
        return (1 - _SMALL_FRACTION) * self.total_bytes

    def _response_limit(self, reservation: BodyReservation) -> float:
        """Returns how much all responses may hold: small ones may add half of the small share to their fraction."""
        added = _SMALL_FRACTION if reservation.wanted <= _SMALL_BYTES else 0.0
        return _RESPONSE_FRACTION * (1 + added) * self.total_bytes

    def _has_room(self, reservation: BodyReservation, is_first: bool | None = None) -> bool:
        """Returns whether what a reservation wants is free.

        `is_first` tells whether no large body waits before it; None for one that does not wait yet.
        """
        added = (reservation.wanted - reservation.size) * _COPIES
        if reservation.is_response and self._response_bytes + added > self._response_limit(reservation):
            return False
        if reservation.wanted <= _SMALL_BYTES:
            small_limit = _SMALL_FRACTION * self.total_bytes
            return self._small_bytes + added <= max(small_limit, self.total_bytes - self._large_bytes)
        used = self._large_bytes + max(self._small_bytes, _SMALL_FRACTION * self.total_bytes)
        if used + added > self.total_bytes or not self._is_within_share(reservation):
            return False
        return reservation.is_response or (self._is_first() if is_first is None else is_first)

    def _is_first(self) -> bool:
        """Returns whether no large body waits that its owner may hold."""
        return not any(other.wanted > _SMALL_BYTES and self._is_within_share(other) for other in self._waiting)

    def _is_within_share(self, reservation: BodyReservation) -> bool:
        """Returns whether the owner may hold what the reservation wants, beside its others."""
        added = (reservation.wanted - reservation.size) * _COPIES
        held = self._held_by_owner.get(reservation.owner, 0)
        return not held or held + added <= _OWNER_FRACTION * self.total_bytes

    def _make_large(self, reservation: BodyReservation) -> None:
        """Moves what a reservation holds out of the share of small bodies."""
        held = reservation.size
        self._account(reservation, 0)
        reservation.is_large = True
        self._account(reservation, held)
        if held:
            self._grant()

    def _account(self, reservation: BodyReservation, size: int) -> None:
        added = (size - reservation.size) * _COPIES
        if reservation.is_large:
            self._large_bytes += added
        else:
            self._small_bytes += added
        if reservation.is_response:
            self._response_bytes += added
        held = self._held_by_owner.get(reservation.owner, 0) + added
        if held:
            self._held_by_owner[reservation.owner] = held
        else:
            self._held_by_owner.pop(reservation.owner, None)
        reservation.size = size

    def _record_refusal(self, reservation: BodyReservation) -> None:
        if reservation.is_response:
            self.refused_response_count += 1
        else:
            self.refused_count += 1
        _events.emit(
            "response_without_memory" if reservation.is_response else "body_refused",
            bytes=reservation.wanted,
            held_bytes=self.held_bytes,
            budget_bytes=self.total_bytes,
            workspace=reservation.owner,
            workspace_bytes=self._held_by_owner.get(reservation.owner, 0),
            waiting=len(self._waiting),
        )
