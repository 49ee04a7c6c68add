"""Decision on which servers of plain services all VMs leave out, without input, output or a clock of its own."""

from __future__ import annotations

from dataclasses import dataclass

from ._observations import ServerCounts

__all__ = ["FleetHealth", "SharedCounts"]

_MIN_FAILURES = 4
_MIN_OWN_FAILURES = 3  # before a VM leaves a server out by its own observations alone
_OUT_SHARE = 0.75
_AGREEING_VMS = 3  # failures of one VM's link must not take a server from all
_BACK_ANSWERS = 2
_BACK_SHARE = 0.5
_ANSWER_SPACING_S = 1.0  # after which an answer that is seen is another one: counts of half a second, reported late
_MAX_OUT_S = 3.0  # without a failure: nobody may have a request with which to try the server
# Trials of a server that is out, by all VMs together. A request that may be repeated loses little by a failed trial.
_TRIALS_PER_S = 4.0
_ONCE_ONLY_TRIALS_PER_S = 0.7
_MAX_TRIAL_SHARE = 0.2  # of the requests, where few come


@dataclass(slots=True, frozen=True)
class SharedCounts:
    """Observations of one server: this VM's own, and the sum of the others' with the numbers of VMs behind it."""

    own: ServerCounts
    others: ServerCounts
    other_vms: int = 0  # that have used the server
    other_failing_vms: int = 0  # that saw it fail

    @property
    def total(self) -> ServerCounts:
        """Observations of all VMs."""
        return self.own.plus(self.others)


@dataclass(slots=True)
class _Outage:
    began_at: float
    failed_at: float
    is_own: bool  # only this VM leaves the server out
    answered_at: float | None = None  # first answer that was seen since the last failure


class FleetHealth:
    """Servers that are out of use. Every VM decides by the same observations; calls must not overlap.

    A server is out while nearly all sends to it fail for several VMs, or for the only one that uses it. A VM for which
    alone a server fails leaves it out for itself. It is back when trials were answered.

    >>> health = FleetHealth()
    >>> failing = SharedCounts(ServerCounts(failed=1), ServerCounts(failed=5), other_vms=4, other_failing_vms=4)
    >>> health.update("a", failing, 0.0)
    True
    >>> health.is_out("a")
    True
    """

    __slots__ = ("_outage_by_id",)

    def __init__(self) -> None:
        self._outage_by_id: dict[str, _Outage] = {}

    def update(self, backend: str, counts: SharedCounts, now: float) -> bool:
        """Decides anew whether a server is out; returns whether that has changed."""
        outage = self._outage_by_id.get(backend)
        total = counts.total
        if outage is None:
            fails_for_all = _fails_for_all(counts, total)
            if not (fails_for_all or _fails_for_this_vm(counts.own)):
                return False
            self._outage_by_id[backend] = _Outage(now, now, not fails_for_all)
            return True
        seen = counts.own if outage.is_own else total  # answers to others say nothing about the link of this VM
        if seen.failed:
            outage.failed_at, outage.answered_at = now, None
        recovered = _has_recovered(outage, seen, now)
        if _fails_for_this_vm(counts.own) or not (recovered or now - outage.failed_at > _MAX_OUT_S):
            return False
        del self._outage_by_id[backend]
        return True

    def is_out(self, backend: str) -> bool:
        """Returns whether a server is out of use."""
        return backend in self._outage_by_id

    def out_ids(self) -> list[str]:
        """Returns the ids of the servers that are out of use."""
        return sorted(self._outage_by_id)

    def out_since(self, backend: str) -> float | None:
        """Returns since when a server is out, None if it is not."""
        outage = self._outage_by_id.get(backend)
        return None if outage is None else outage.began_at

    def prune(self, listed: set[str]) -> None:
        """Forgets the servers that are not `listed` any more."""
        for backend in [id_ for id_ in self._outage_by_id if id_ not in listed]:
            del self._outage_by_id[backend]


def trial_probability(requests_per_s: float, may_repeat: bool) -> float:
    """Returns the probability with which a request tries a server that is out.

    `requests_per_s` is the rate of requests of all VMs for the service: together they make a few trials a second.

    >>> trial_probability(100.0, may_repeat=True), trial_probability(1.0, may_repeat=False)
    (0.04, 0.2)
    """
    trials_per_s = _TRIALS_PER_S if may_repeat else _ONCE_ONLY_TRIALS_PER_S
    return min(_MAX_TRIAL_SHARE, trials_per_s / max(1.0, requests_per_s))


def _has_recovered(outage: _Outage, seen: ServerCounts, now: float) -> bool:
    """Whether trials were answered: two, at once or one after the other without a failure between them."""
    answers = seen.answered + seen.refused
    if not answers or seen.failure_share > _BACK_SHARE:
        return False
    if outage.is_own or answers >= _BACK_ANSWERS:
        return True
    if not seen.failed and outage.answered_at is None:
        outage.answered_at = now
    return outage.answered_at is not None and now - outage.answered_at >= _ANSWER_SPACING_S


def _fails_for_all(counts: SharedCounts, total: ServerCounts) -> bool:
    failing_vms = counts.other_failing_vms + (counts.own.failed > 0)
    agreed = failing_vms >= _AGREEING_VMS or counts.own.failed > 0
    return agreed and total.failed >= _MIN_FAILURES and total.failure_share >= _OUT_SHARE


def _fails_for_this_vm(own: ServerCounts) -> bool:
    return own.failed >= _MIN_OWN_FAILURES and own.failure_share >= _OUT_SHARE
