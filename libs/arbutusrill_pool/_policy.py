"""Placement policies: which servers a request gets."""

from __future__ import annotations

import abc
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ._index import ServerIndex
from ._server import Server
from ._ticket import Placement

__all__ = ["POLICIES", "PlacementPolicy", "PlacementRequest", "policy_named"]

NEAR_CHOICES = 4  # two choices give most of the gain of many; more cover differences in speed
FAR_CHOICES = 2
CACHE_CHOICES = 2
FAR_PENALTY_S = 0.01  # a few times the delay between data centres
LINK_BYTES_PER_S = 1e9  # of servers that announce no rate
KV_BYTES_PER_TOKEN = 100_000  # of servers that announce none
_SLOW_PENALTY_S = 100.0  # keeps servers that miss the token gap target last


@dataclass(slots=True)
class PlacementRequest:
    """What a policy needs to know of a request. `cached_by_server` counts prompt tokens."""

    prompt_tokens: int
    plain: bool
    data_centre: str
    avoid: frozenset[str] = frozenset()
    cached_by_server: dict[str, float] = field(default_factory=dict)


class PlacementPolicy(abc.ABC):
    """Chooses servers.

    With `reserves` the owner counts a decode slot as taken from the assignment on, admits by prediction and
    keeps shares fair; without, it passes requests on in their order of arrival and counts nothing.
    """

    name = ""
    reserves = False

    @abc.abstractmethod
    def place(self, wanted: PlacementRequest, index: ServerIndex, now: float) -> Placement | None:
        """Returns servers for a request, or None when there is no room."""


class _UnreservedPolicy(PlacementPolicy):
    """Chooses the server of each stage on its own among the ready ones."""

    def place(self, wanted: PlacementRequest, index: ServerIndex, now: float) -> Placement | None:
        """Chooses by `pick` for each stage."""
        if wanted.plain:
            server = self.pick("plain", wanted, index, now)
            return Placement(None, server) if server is not None else None
        prefill = self.pick("prefill", wanted, index, now)
        decode = self.pick("decode", wanted, index, now)
        if prefill is None or decode is None:
            return None
        missed = wanted.prompt_tokens - wanted.cached_by_server.get(prefill.id, 0.0)
        duration, wait = prefill.speed.prefill_s(missed), prefill.wait_s(now)
        return Placement(prefill, decode, wait + duration, duration, wait, missed)

    @abc.abstractmethod
    def pick(self, stage: str, wanted: PlacementRequest, index: ServerIndex, now: float) -> Server | None:
        """Returns a ready server of a stage."""


def _usable(stage: str, wanted: PlacementRequest, index: ServerIndex) -> list[Server]:
    ready = index.stage(stage).ready.members
    if not wanted.avoid:
        return ready
    return [server for server in ready if server.id not in wanted.avoid] or ready


class RoundRobin(_UnreservedPolicy):
    """Each ready server in turn, whatever its load."""

    name = "round_robin"

    def __init__(self) -> None:
        self._turn_by_stage = {stage: itertools.count() for stage in ("prefill", "decode", "plain")}

    def pick(self, stage: str, wanted: PlacementRequest, index: ServerIndex, now: float) -> Server | None:
        """Returns the next server in turn."""
        servers = _usable(stage, wanted, index)
        return servers[next(self._turn_by_stage[stage]) % len(servers)] if servers else None


def _reported(server: Server) -> float:
    report = server.announcement
    return (report.running + report.queued) / report.slots


class LeastLoaded(_UnreservedPolicy):
    """The ready server with the least load in its last report; waits while all report to be full."""

    name = "least_loaded"

    def pick(self, stage: str, wanted: PlacementRequest, index: ServerIndex, now: float) -> Server | None:
        """Returns the server with the least reported load."""
        best = min(_usable(stage, wanted, index), key=_reported, default=None)
        return best if best is not None and _reported(best) < 1.0 else None


class PrefillFirst(_UnreservedPolicy):
    """The prefill server that is free first; the decode server only by its last report, without holding a slot."""

    name = "prefill_first"

    def pick(self, stage: str, wanted: PlacementRequest, index: ServerIndex, now: float) -> Server | None:
        """Returns the prefill server with the shortest queue, for other stages the least loaded server."""
        servers = _usable(stage, wanted, index)
        if stage != "prefill":
            return min(servers, key=_reported, default=None)

        def finish(server: Server) -> float:
            missed = wanted.prompt_tokens - wanted.cached_by_server.get(server.id, 0.0)
            return server.wait_s(now) + server.speed.prefill_s(missed)

        return min(servers, key=finish, default=None)


class Reserving(PlacementPolicy):
    """Chooses prefill and decode server together and holds the decode slot from before the prefill.

    Of a few random candidates of each stage and those that have the prompt's prefix cached, takes the pair with
    the earliest predicted first token among those that keep the time between tokens within its target.
    """

    name = "reserving"
    reserves = True

    def place(self, wanted: PlacementRequest, index: ServerIndex, now: float) -> Placement | None:
        """Returns the best pair of the sampled candidates."""
        if wanted.plain:
            found = self._candidates("plain", wanted, index, now)
            best = min(found, key=lambda server: self._plain_score(server, wanted), default=None)
            return Placement(None, best) if best is not None else None
        decodes = [self._decode_option(server, index) for server in self._candidates("decode", wanted, index, now)]
        if not decodes:
            return None
        best_score, best = float("inf"), None
        for prefill in self._candidates("prefill", wanted, index, now):
            missed = max(0.0, wanted.prompt_tokens - wanted.cached_by_server.get(prefill.id, 0.0))
            wait, duration = prefill.wait_s(now), prefill.speed.prefill_s(missed)
            far = 0.0 if prefill.announcement.data_centre == wanted.data_centre else FAR_PENALTY_S
            for decode, gap, penalty in decodes:
                if decode is prefill and prefill.assigned + 1 > prefill.announcement.slots:
                    continue
                first = wait + duration + _transfer_s(prefill, decode, wanted.prompt_tokens) + gap
                apart = decode.announcement.data_centre != prefill.announcement.data_centre
                score = first + far + penalty + (FAR_PENALTY_S if apart else 0.0)
                if score < best_score:
                    best_score, best = score, Placement(prefill, decode, first, duration, wait, missed)
        return best

    def _candidates(self, stage: str, wanted: PlacementRequest, index: ServerIndex, now: float) -> list[Server]:
        found = index.sample(stage, wanted.data_centre, NEAR_CHOICES, FAR_CHOICES)
        if stage == "prefill" and wanted.cached_by_server:
            known = {server.id for server in found}
            found = list(found)
            for name in itertools.islice(wanted.cached_by_server, CACHE_CHOICES):
                server = index.by_id.get(name)
                if server is not None and name not in known and index.is_open(server, "prefill"):
                    found.append(server)
        if not wanted.avoid:
            return found
        allowed = [server for server in found if server.id not in wanted.avoid]
        if allowed or not found:
            return allowed
        usable = _usable(stage, wanted, index)
        others = [server for server in usable if index.is_open(server, stage)]
        return others[: NEAR_CHOICES + FAR_CHOICES]

    def _decode_option(self, server: Server, index: ServerIndex) -> tuple[Server, float, float]:
        gap = server.speed.gap_s(server.assigned + server.foreign + 1)
        late = gap > index.gap_target_s
        # A shorter gap spares all streams of the batch; it weighs as much as ten tokens of this one.
        return server, gap, 10 * gap + (_SLOW_PENALTY_S * gap / index.gap_target_s if late else 0.0)

    def _plain_score(self, server: Server, wanted: PlacementRequest) -> float:
        far = 0.0 if server.announcement.data_centre == wanted.data_centre else 0.25
        return (server.assigned + server.foreign) / server.announcement.slots + far


def _transfer_s(prefill: Server, decode: Server, tokens: int) -> float:
    if prefill is decode:
        return 0.0
    source, target = prefill.announcement, decode.announcement
    rate = min(source.link_bytes_per_s or LINK_BYTES_PER_S, target.link_bytes_per_s or LINK_BYTES_PER_S)
    size = tokens * (source.kv_bytes_per_token or KV_BYTES_PER_TOKEN)
    return size / rate


POLICIES: dict[str, Callable[[], PlacementPolicy]] = {
    policy.name: policy for policy in (RoundRobin, LeastLoaded, PrefillFirst, Reserving)
}


def policy_named(name: Any) -> PlacementPolicy:
    """Returns a new policy; an unknown name, as of a newer version, gives `reserving`.

    >>> policy_named("least_loaded").reserves
    False
    """
    return POLICIES.get(name, Reserving)()
