"""Decisions on the load of a plain service that VMs share: admission, spare room and weights of its servers."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ._protocol import MIN_RETRY_AFTER_S

__all__ = ["ServerLoad", "ServiceState"]

# Time in which the number in progress is steered to its target. It must exceed the usual age of reports: otherwise the
# VMs together overshoot and send to one server after the other.
_CONTROL_S = 0.5
_TARGET_FRACTION = 0.7  # of the objective for the wait and the mean work; the rest covers slow moments and the network
_CAPACITY_FRACTION = 0.9  # of the objective, within which the last request in a full queue is to end
_SPARE_FRACTION = 0.9  # of the rate of work that late requests may fill
_MIN_ADMITTED = 0.05
# Powers of the fraction that succeeds. A once-only request that fails is lost, another one is repeated.
_ONCE_ONLY_POWER = 6.0
_REPEATABLE_POWER = 2.0
_MIN_WEIGHT_FRACTION = 0.05  # of the weight of an idle server
# Preference of the data centre of the VM while slots of a server are idle, and while requests wait there.
_NEAR_IDLE_FACTOR = 2.0
_NEAR_FACTOR = 1.25
_CONNECTED_FACTOR = 8.0  # preference of a server to which this VM has a connection that the request can use
_MAX_CONNECTED_FAILURE_SHARE = 0.1  # of a server up to which a connection counts
_FAILING_SHARE = 0.25  # of a server from which on requests are spread by weight at any load
_RETURN_FRACTION = 0.32  # callers honour Retry-After up to a third of the time that they have left
_EARLIEST_RETURN_FRACTION = 0.3  # of the latest return
# Time that a held request keeps for its answer: at least, and in expected times of an answer. Servers below their
# target mostly answer within the objective, which counts up to a fraction of the time that there is as the wait begins.
_ANSWER_RESERVE_S = 0.1
_ANSWER_RESERVE_FACTOR = 3.0
_MAX_OBJECTIVE_RESERVE = 0.5
_MIN_OWN_SHARE = 2.0  # requests in progress at a server by one VM that hears nothing of the others


@dataclass(slots=True, frozen=True)
class ServerLoad:
    """State of one server as a VM knows it. `work_s` is the time of work of one request, without any wait."""

    id: str
    slots: int
    in_progress: float
    own_in_progress: int
    work_s: float
    failure_share: float = 0.0
    is_out: bool = False
    is_near: bool = True

    @property
    def per_s(self) -> float:
        """Requests that the server can work off in a second."""
        return self.slots / self.work_s

    @property
    def expected_s(self) -> float:
        """Expected time of a request that is sent now."""
        return self.work_s * max(1.0, (self.in_progress + 1) / self.slots)

    def capacity(self, objective_s: float) -> float:
        """Number of requests in progress that end within the objective, at least the slots."""
        return max(float(self.slots), self.per_s * _CAPACITY_FRACTION * objective_s)

    def target(self, objective_s: float) -> float:
        """Number in progress at which answers are mostly in time, at least the slots."""
        return max(float(self.slots), self.per_s * _TARGET_FRACTION * objective_s)

    def weight(self, objective_s: float, once_only: bool, is_connected: bool = False) -> float:
        """Relative share of requests, by the rate of work, the number in progress and the fraction that succeeds.

        A kept connection counts while slots are idle and few sends fail: a new one costs a round trip and the server's
        work to accept it, which is less than a wait or a failure.
        """
        steady = self.per_s * _CONTROL_S
        room = max(_MIN_WEIGHT_FRACTION * steady, steady + self.target(objective_s) - self.in_progress)
        power = _ONCE_ONLY_POWER if once_only else _REPEATABLE_POWER
        near_factor = _NEAR_IDLE_FACTOR if self.in_progress < self.slots else _NEAR_FACTOR
        weight = room * (1.0 - self.failure_share) ** power * (near_factor if self.is_near else 1.0)
        if is_connected and self.failure_share <= _MAX_CONNECTED_FAILURE_SHARE:
            weight *= 1.0 + (_CONNECTED_FACTOR - 1.0) * max(0.0, 1.0 - self.in_progress / self.slots)
        return weight


@dataclass(slots=True, frozen=True)
class ServiceState:
    """State of a service: its servers, the rate of requests at all VMs, and those that wait at the VMs for room.

    `fleet_known` is false while a VM hears nothing of the others; `vm_count` is used only then.
    """

    servers: Sequence[ServerLoad]
    offered_per_s: float = 0.0
    own_offered_per_s: float = 0.0
    own_waiting: int = 0
    others_waiting: int = 0
    fleet_known: bool = True
    vm_count: int = 1

    @property
    def fleet_offered_per_s(self) -> float:
        """Rate of requests at all VMs, from the own rate while nothing is heard of the others."""
        return self.offered_per_s if self.fleet_known else self.own_offered_per_s * self.vm_count

    @property
    def used(self) -> list[ServerLoad]:
        """Servers that are in use; all of them if all are out."""
        return [server for server in self.servers if not server.is_out] or list(self.servers)

    @property
    def needs_spreading(self) -> bool:
        """Whether requests are spread by weight: a server fails, or other VMs take a quarter of its slots.

        VMs that choose the best server by the same report all send to one until the next report.
        """
        if any(server.failure_share > _FAILING_SHARE for server in self.used):
            return True
        is_shared = 2 * self.own_offered_per_s < self.offered_per_s
        return is_shared and any(4 * server.in_progress >= server.slots for server in self.used)

    @property
    def has_idle_slots(self) -> bool:
        """Whether fewer requests are in progress than there are slots."""
        return sum(server.in_progress for server in self.used) < sum(server.slots for server in self.used)

    def admitted_fraction(self, objective_s: float) -> float:
        """Returns the fraction of the requests that are sent at once; the others would make these late.

        All VMs decide by the same sums and so admit the same fraction, which shares the servers fairly. The number in
        progress is steered to its target.
        """
        used = self.used
        if not self.fleet_known:
            return 1.0 if any(self._has_own_room(server, objective_s) for server in used) else 0.0
        if not used or not self.offered_per_s or self.has_idle_slots:
            return 1.0
        excess = sum(server.in_progress - server.target(objective_s) for server in used)
        permitted_per_s = sum(server.per_s for server in used) - excess / _CONTROL_S
        return min(1.0, max(_MIN_ADMITTED, permitted_per_s / self.offered_per_s))

    def _has_own_room(self, server: ServerLoad, objective_s: float) -> bool:
        share = server.capacity(objective_s) / max(1, self.vm_count)
        return server.own_in_progress < max(_MIN_OWN_SHARE, share)

    def _own_idle(self, server: ServerLoad) -> float:
        return max(0.0, max(_MIN_OWN_SHARE, server.slots / max(1, self.vm_count)) - server.own_in_progress)

    def spare_per_s(self) -> float:
        """Returns the rate at which this VM may send requests that are late already: its share of the spare room.

        A VM that hears nothing of the others has its share of the slots.
        """
        used = self.used
        if not self.fleet_known:
            return sum(self._own_idle(server) for server in used) / _CONTROL_S
        idle = sum(server.slots - server.in_progress for server in used)
        if idle <= 0:
            return 0.0
        rate = max(0.0, _SPARE_FRACTION * sum(server.per_s for server in used) - self.offered_per_s)
        waiting = max(1, self.own_waiting)
        return (rate + idle / _CONTROL_S) * waiting / (waiting + self.others_waiting)

    def answer_reserve_s(self, objective_s: float, time_limit_s: float) -> float:
        """Returns the seconds that a request keeps for its answer which has `time_limit_s` when its wait begins."""
        expected_s = min((server.expected_s for server in self.used), default=0.0)
        usual_s = min(objective_s, _MAX_OBJECTIVE_RESERVE * time_limit_s)
        return max(_ANSWER_RESERVE_S, _ANSWER_RESERVE_FACTOR * expected_s, usual_s)

    def has_room_at_last(self, objective_s: float) -> bool:
        """Returns whether a request whose wait ends is sent: a server is below its target."""
        return any(server.in_progress < server.target(objective_s) for server in self.used)

    def returns_within_s(self, objective_s: float, left_s: float) -> tuple[float, float]:
        """Returns the earliest and the latest time after which a refused caller with `left_s` seconds is to return.

        Callers are spread over the time in which the requests beyond the target are worked off; while more come than
        the servers can work off, over all the time for which callers honour the wish.
        """
        latest_s = max(MIN_RETRY_AFTER_S, _RETURN_FRACTION * left_s)
        earliest_s = min(latest_s, max(MIN_RETRY_AFTER_S, _EARLIEST_RETURN_FRACTION * latest_s))
        per_s = sum(server.per_s for server in self.used)
        if self.offered_per_s < per_s:
            excess = sum(max(0.0, server.in_progress - server.target(objective_s)) for server in self.used)
            latest_s = min(latest_s, (excess + self.own_waiting + self.others_waiting) / per_s)
        return earliest_s, max(earliest_s, latest_s)
