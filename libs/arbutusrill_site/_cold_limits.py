"""Decisions on what may be sent to backend servers that are cold after a start, on the leader and without it.

A cold server bears a number of requests in one second from all entry VMs together. One part of it is granted by the
leader with its places; another is divided among entry VMs by rule, so that it holds while no leader can be reached.
Nothing here reads a clock or a socket: times are passed in, on the monotonic clock.
"""

from __future__ import annotations

import math
import threading
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Any

import xxhash
from arbutusrill_base import EventLog

from ._configuration import Service

__all__ = ["ColdRules", "ColdServers", "GrantLimit", "LocalLimit", "local_share"]

# Parts of the bound. Two leaders grant in the second in which one follows the other, so theirs counts twice.
_GRANTED_FRACTION = 0.25
_LOCAL_FRACTION = 0.5
# Entry VMs that are cut off choose by an old list of VMs: as many again as the list of the others allows.
_DIVERGENCE_FACTOR = 2
_WINDOW_S = 1.25  # one second, and the time in which requests sent apart may come closer on their way
_MAX_VIEW_AGE_S = 2.0  # with an older view, an entry VM cannot know that a server has become cold
_NEW_LEADER_DOUBT_S = 2.0  # until the servers have announced to it whether they are cold
_EXTENSION_S = 0.5  # an end of the cold time that is later by less is the same one, seen through a slower network
_MAX_COLD_S = 600.0
_REPORT_INTERVAL_S = 1.0
_events = EventLog("cold")


@dataclass(slots=True, frozen=True)
class ColdRules:
    """How far the rate that a service states for its cold servers may be exceeded, a factor and a number of requests.

    >>> ColdRules(1.5, 5).bound(Service("s", None, 3.0, 16.0)), ColdRules(1.5, 5).bound(Service("s"))
    (29, None)
    """

    overage: float
    slack: float

    @classmethod
    def of(cls, overage: float | None, slack: float | None) -> ColdRules | None:
        """Returns the rules, None for a deployment that bounds nothing."""
        return None if overage is None else cls(overage, slack or 0.0)

    def bound(self, service: Service | None) -> int | None:
        """Returns the requests that a cold server of `service` may get in one second, None for any number."""
        if service is None or service.cold_s <= 0 or service.cold_rate <= 0:
            return None
        return int(service.cold_rate * self.overage + self.slack)


class ColdServers:
    """What is known of the times in which backend servers are cold. Safe for use by several threads.

    >>> from types import SimpleNamespace
    >>> record = SimpleNamespace(id="a", started_ms=1, data_centre="z", cold_ms=3000)
    >>> servers = ColdServers()
    >>> servers.learn(record, 10.0), servers.learn(record, 10.1), servers.is_cold(record, 3.0, 12.0)
    (True, False, True)
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._cold_until_by_id: dict[str, tuple[int, float]] = {}  # start of the server and time
        self._taken_back_at_by_data_centre: dict[str, float] = {}
        self._doubted_until = float("-inf")

    def learn(self, record: Any, now: float) -> bool:
        """Learns from an announcement; returns whether the server is cold for longer than was known."""
        cold_s = min((record.cold_ms or 0) / 1000, _MAX_COLD_S)
        with self._lock:
            started_ms, until = self._cold_until_by_id.get(record.id, (record.started_ms, now))
            if started_ms > record.started_ms or cold_s <= 0:
                return False
            is_longer = started_ms < record.started_ms or now + cold_s > until + _EXTENSION_S
            if is_longer:
                self._cold_until_by_id[record.id] = (record.started_ms, now + cold_s)
            return is_longer

    def keep(self, backends: Collection[str], now: float) -> None:
        """Forgets servers outside `backends` whose cold time is over."""
        with self._lock:
            for id_, (_, until) in list(self._cold_until_by_id.items()):
                if until <= now and id_ not in backends:
                    del self._cold_until_by_id[id_]

    def take_back(self, data_centres: Iterable[str], now: float) -> None:
        """Records that evacuated data centres are used again: their servers may have become cold shortly before."""
        with self._lock:
            for data_centre in data_centres:
                self._taken_back_at_by_data_centre[data_centre] = now

    def begin_term(self, now: float) -> None:
        """Counts all servers as cold until they have had time to announce themselves to a new leader."""
        with self._lock:
            self._doubted_until = now + _NEW_LEADER_DOUBT_S

    def is_cold(self, record: Any, cold_s: float, now: float) -> bool:
        """Returns whether a server may be cold; `cold_s` is how long servers of its service stay so."""
        if now < self._doubted_until:
            return True
        if now < self._taken_back_at_by_data_centre.get(record.data_centre, float("-inf")) + cold_s:
            return True
        started_ms, until = self._cold_until_by_id.get(record.id, (0, now))
        return started_ms == record.started_ms and now < until


class _Windows:
    """Times of the last requests to each server."""

    def __init__(self) -> None:
        self._times_by_id: dict[str, deque[float]] = {}

    def has_room(self, backend: str, limit: int, now: float) -> bool:
        """Returns whether fewer than `limit` requests fall into the time before `now`."""
        times = self._times_by_id.get(backend, ())
        return limit > 0 and (len(times) < limit or now - times[-limit] >= _WINDOW_S)

    def record(self, backend: str, bound: int, now: float) -> None:
        """Records a request; one before the last is passed over, since entry VMs report places that they had before."""
        times = self._times_by_id.get(backend)
        if times and now < times[-1]:
            return
        if times is None or times.maxlen != max(1, bound):
            times = self._times_by_id[backend] = deque(times or (), max(1, bound))
        times.append(now)

    def drop_old(self, now: float) -> None:
        """Forgets servers without a recent request."""
        for backend in [id_ for id_, times in self._times_by_id.items() if now - times[-1] >= _WINDOW_S]:
            del self._times_by_id[backend]


class _SkipLog:
    """Counts the choices that passed over a cold server, and logs them once a second at most."""

    def __init__(self) -> None:
        self.count = 0
        self._logged_count = 0
        self._logged_at = float("-inf")

    def record(self, record: Any, bound: int, now: float) -> None:
        """Counts one choice that passed over a server."""
        self.count += 1
        if now - self._logged_at >= _REPORT_INTERVAL_S:
            skips, self._logged_count, self._logged_at = self.count - self._logged_count, self.count, now
            _events.emit("cold_skipped", backend=record.id, service=record.service_name, bound=bound, skips=skips)


class GrantLimit:
    """Limits the places and prefills that the leader grants on cold engines. Calls must not overlap.

    `service_of` returns the configuration of a service, None for an unknown one.
    """

    def __init__(self, rules: ColdRules, servers: ColdServers, service_of: Callable[[str], Service | None]):
        self._rules = rules
        self._servers = servers
        self._service_of = service_of
        self._windows = _Windows()
        self._skips = _SkipLog()

    def permits(self, record: Any, now: float) -> bool:
        """Returns whether one more request may be granted on an engine."""
        service = self._service_of(record.service_name)
        bound = self._rules.bound(service)
        if bound is None or not self._servers.is_cold(record, service.cold_s, now):
            return True
        has_room = self._windows.has_room(record.id, int(bound * _GRANTED_FRACTION), now)
        if not has_room:
            self._skips.record(record, bound, now)
        return has_room

    def record(self, record: Any, now: float) -> None:
        """Records a request that was granted on an engine."""
        bound = self._rules.bound(self._service_of(record.service_name))
        if bound is not None:
            self._windows.record(record.id, bound, now)

    def drop_old(self, now: float) -> None:
        """Forgets engines without a recent request."""
        self._windows.drop_old(now)


def local_share(bound: int, backend: str, vm: str, vms: Collection[str]) -> int:
    """Returns the requests that `vm` may send to a cold server in one second without a grant of the leader.

    The shares of the VMs that it knows, `vms`, add up to at most `bound` divided by `_DIVERGENCE_FACTOR`. With more VMs
    than requests, those with the highest hash of VM and server have a share.
    """
    others = {*vms, vm}
    total = bound // _DIVERGENCE_FACTOR
    if total >= len(others):
        return total // len(others)
    own = _hash(backend, vm)
    return int(sum(_hash(backend, other) > own for other in others) < total)


def _hash(backend: str, vm: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{backend}\0{vm}".encode()), vm


class LocalLimit:
    """Limits what an entry VM sends to cold servers by its own choice. Calls must not overlap.

    `vms` returns the entry VMs that it knows, and `view_age_s` the age of what it knows of the servers: once that is
    too old, any of them may be cold.
    """

    def __init__(
        self,
        rules: ColdRules,
        servers: ColdServers,
        vm: str,
        vms: Callable[[], Collection[str]],
        view_age_s: Callable[[], float],
    ):
        self._rules = rules
        self._servers = servers
        self._vm = vm
        self._vms = vms
        self._view_age_s = view_age_s
        self._windows = _Windows()
        self._skips = _SkipLog()
        self._share_by_server: dict[tuple[str, int], int] = {}
        self._shared_by: frozenset[str] = frozenset()

    @property
    def skip_count(self) -> int:
        """Number of choices so far that passed over a cold server."""
        return self._skips.count

    def permits(self, record: Any, service: Service, now: float) -> bool:
        """Returns whether one more request may be sent to a server."""
        bound = self._rules.bound(service)
        if bound is None:
            return True
        if self._view_age_s() <= _MAX_VIEW_AGE_S and not self._servers.is_cold(record, service.cold_s, now):
            return True
        has_room = self._windows.has_room(record.id, self._share(bound, service, record.id), now)
        if not has_room:
            self._skips.record(record, bound, now)
        return has_room

    def record(self, record: Any, service: Service, now: float) -> None:
        """Records a request that was sent to a server."""
        bound = self._rules.bound(service)
        if bound is not None:
            self._windows.record(record.id, bound, now)

    def _share(self, bound: int, service: Service, backend: str) -> int:
        local = bound if service.engine is None else math.floor(bound * _LOCAL_FRACTION)
        vms = frozenset(self._vms())
        if vms != self._shared_by:
            self._shared_by = vms
            self._share_by_server.clear()
        key = (backend, local)
        if key not in self._share_by_server:
            self._share_by_server[key] = local_share(local, backend, self._vm, vms)
        return self._share_by_server[key]

    def drop_old(self, backends: Collection[str], now: float) -> None:
        """Forgets servers without a recent request and those outside `backends`."""
        self._windows.drop_old(now)
        self._share_by_server = {key: share for key, share in self._share_by_server.items() if key[0] in backends}
