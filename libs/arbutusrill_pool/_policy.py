"""Placement policies: choice of the servers for a request."""

from __future__ import annotations

import abc
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ._index import ServerIndex
from ._server import Server
from ._ticket import Placement

__all__ = ["POLICIES", "PlacementPolicy", "PlacementRequest", "create_policy"]

# Two random choices balance load almost as well as many; more are needed as servers differ in speed.
LOCAL_CANDIDATES = 4
GLOBAL_CANDIDATES = 2
CACHED_PREFIX_CANDIDATES = 2
CROSS_DATA_CENTRE_PENALTY_S = 0.01  # a few times the network delay between data centres
DEFAULT_LINK_BYTES_PER_S = 1e9  # if not announced
DEFAULT_KV_BYTES_PER_TOKEN = 100_000  # if not announced
_MISSED_GAP_PENALTY_S = 100.0  # ranks servers that miss the token gap target last


@dataclass(slots=True)
class PlacementRequest:
    """Properties of a request that placement depends on. `cached_by_server` maps server IDs to cached prompt tokens."""

    prompt_tokens: int
    plain: bool
    data_centre: str
    avoid: frozenset[str] = frozenset()
    cached_by_server: dict[str, float] = field(default_factory=dict)


class PlacementPolicy(abc.ABC):
    """Chooses the servers of a request.

    With `reserves` the owner takes a decode slot at the assignment, admits requests by their predicted first token and
    schedules workspaces by fair shares. Without it, requests are assigned in their order of arrival and the slots of
    servers are not a limit.
    """

    name = ""
    reserves = False

    @abc.abstractmethod
    def place(self, request: PlacementRequest, index: ServerIndex, now: float) -> Placement | None:
        """Returns servers for a request, or None if none has room."""


class _UnreservedPolicy(PlacementPolicy):
    """Chooses the server of each stage independently among the ready ones."""

    def place(self, request: PlacementRequest, index: ServerIndex, now: float) -> Placement | None:
        """Returns the servers that `choose_server` returns for each stage, or None if a stage has none."""
        if request.plain:
            server = self.choose_server("plain", request, index, now)
            return Placement(None, server) if server is not None else None
        prefill = self.choose_server("prefill", request, index, now)
        decode = self.choose_server("decode", request, index, now)
        if prefill is None or decode is None:
            return None
        uncached_tokens = request.prompt_tokens - request.cached_by_server.get(prefill.id, 0.0)
        prefill_s, wait_s = prefill.speed.prefill_duration_s(uncached_tokens), prefill.prefill_wait_s(now)
        return Placement(prefill, decode, wait_s + prefill_s, prefill_s, wait_s, uncached_tokens)

    @abc.abstractmethod
    def choose_server(self, stage: str, request: PlacementRequest, index: ServerIndex, now: float) -> Server | None:
        """Returns a ready server of a stage, or None."""


def _ready_servers(stage: str, request: PlacementRequest, index: ServerIndex) -> list[Server]:
    ready = index.stage(stage).ready.members
    if not request.avoid:
        return ready
    return [server for server in ready if server.id not in request.avoid] or ready


class RoundRobin(_UnreservedPolicy):
    """Chooses the ready servers in turn, regardless of load."""

    name = "round_robin"

    def __init__(self) -> None:
        self._turn_by_stage = {stage: itertools.count() for stage in ("prefill", "decode", "plain")}

    def choose_server(self, stage: str, request: PlacementRequest, index: ServerIndex, now: float) -> Server | None:
        """Returns the next server in turn."""
        servers = _ready_servers(stage, request, index)
        return servers[next(self._turn_by_stage[stage]) % len(servers)] if servers else None


def _reported_load(server: Server) -> float:
    report = server.announcement
    return (report.running + report.queued) / report.slots


class LeastLoaded(_UnreservedPolicy):
    """Chooses the ready server with the least reported load; places nothing while all servers report to be full."""

    name = "least_loaded"

    def choose_server(self, stage: str, request: PlacementRequest, index: ServerIndex, now: float) -> Server | None:
        """Returns the server with the least reported load, or None if it is full."""
        best = min(_ready_servers(stage, request, index), key=_reported_load, default=None)
        return best if best is not None and _reported_load(best) < 1.0 else None


class PrefillFirst(_UnreservedPolicy):
    """Chooses the prefill server that would finish first, and the decode server with the least reported load."""

    name = "prefill_first"

    def choose_server(self, stage: str, request: PlacementRequest, index: ServerIndex, now: float) -> Server | None:
        """Returns the prefill server that would finish first, for other stages the one with the least reported load."""
        servers = _ready_servers(stage, request, index)
        if stage != "prefill":
            return min(servers, key=_reported_load, default=None)

        def predicted_finish_s(server: Server) -> float:
            uncached_tokens = request.prompt_tokens - request.cached_by_server.get(server.id, 0.0)
            return server.prefill_wait_s(now) + server.speed.prefill_duration_s(uncached_tokens)

        return min(servers, key=predicted_finish_s, default=None)


class Reserving(PlacementPolicy):
    """Chooses prefill and decode server together and reserves the decode slot before the prefill starts.

    The candidates are a few random servers of each stage and the prefill servers that have the prompt's prefix cached.
    The pair with the earliest predicted first token wins; decode servers that miss the token gap target come last.
    """

    name = "reserving"
    reserves = True

    def place(self, request: PlacementRequest, index: ServerIndex, now: float) -> Placement | None:
        """Returns the best pair of the candidates, or None if a stage has none with room."""
        if request.plain:
            candidates = self._candidates("plain", request, index, now)
            best = min(candidates, key=lambda server: self._plain_score(server, request), default=None)
            return Placement(None, best) if best is not None else None
        decodes = [self._decode_option(server, index) for server in self._candidates("decode", request, index, now)]
        if not decodes:
            return None
        best_score, best = float("inf"), None
        for prefill in self._candidates("prefill", request, index, now):
            uncached_tokens = max(0.0, request.prompt_tokens - request.cached_by_server.get(prefill.id, 0.0))
            wait_s, prefill_s = prefill.prefill_wait_s(now), prefill.speed.prefill_duration_s(uncached_tokens)
            distance_penalty_s = (
                0.0 if prefill.announcement.data_centre == request.data_centre else CROSS_DATA_CENTRE_PENALTY_S
            )
            for decode, gap_s, penalty in decodes:
                if decode is prefill and prefill.assigned + 1 > prefill.announcement.slots:
                    continue
                first_token_s = wait_s + prefill_s + _transfer_s(prefill, decode, request.prompt_tokens) + gap_s
                crosses_data_centres = decode.announcement.data_centre != prefill.announcement.data_centre
                score = (
                    first_token_s
                    + distance_penalty_s
                    + penalty
                    + (CROSS_DATA_CENTRE_PENALTY_S if crosses_data_centres else 0.0)
                )
                if score < best_score:
                    best_score, best = (
                        score,
                        Placement(prefill, decode, first_token_s, prefill_s, wait_s, uncached_tokens),
                    )
        return best

    def _candidates(self, stage: str, request: PlacementRequest, index: ServerIndex, now: float) -> list[Server]:
        candidates = index.sample(stage, request.data_centre, LOCAL_CANDIDATES, GLOBAL_CANDIDATES)
        if stage == "prefill" and request.cached_by_server:
            candidate_ids = {server.id for server in candidates}
            candidates = list(candidates)
            for server_id in itertools.islice(request.cached_by_server, CACHED_PREFIX_CANDIDATES):
                server = index.by_id.get(server_id)
                if server is not None and server_id not in candidate_ids and index.is_open(server, "prefill"):
                    candidates.append(server)
        if not request.avoid:
            return candidates
        allowed = [server for server in candidates if server.id not in request.avoid]
        if allowed or not candidates:
            return allowed
        # All candidates are to be avoided: look for others among all ready servers.
        usable = _ready_servers(stage, request, index)
        others = [server for server in usable if index.is_open(server, stage)]
        return others[: LOCAL_CANDIDATES + GLOBAL_CANDIDATES]

    def _decode_option(self, server: Server, index: ServerIndex) -> tuple[Server, float, float]:
        """Returns a decode server, its predicted time between tokens with one more stream, and its score penalty."""
        gap_s = server.speed.token_gap_at(server.assigned + server.untracked + 1)
        misses_target = gap_s > index.gap_target_s
        # All streams of the batch gain from a shorter gap, so it counts like ten tokens of this stream.
        return (
            server,
            gap_s,
            10 * gap_s + (_MISSED_GAP_PENALTY_S * gap_s / index.gap_target_s if misses_target else 0.0),
        )

    def _plain_score(self, server: Server, request: PlacementRequest) -> float:
        """Returns the fraction of slots in use, plus a penalty if the server is in another data centre."""
        distance_penalty = 0.0 if server.announcement.data_centre == request.data_centre else 0.25
        return (server.assigned + server.untracked) / server.announcement.slots + distance_penalty


def _transfer_s(prefill: Server, decode: Server, tokens: int) -> float:
    if prefill is decode:
        return 0.0
    source, target = prefill.announcement, decode.announcement
    bytes_per_s = min(
        source.link_bytes_per_s or DEFAULT_LINK_BYTES_PER_S, target.link_bytes_per_s or DEFAULT_LINK_BYTES_PER_S
    )
    byte_count = tokens * (source.kv_bytes_per_token or DEFAULT_KV_BYTES_PER_TOKEN)
    return byte_count / bytes_per_s


POLICIES: dict[str, Callable[[], PlacementPolicy]] = {
    policy.name: policy for policy in (RoundRobin, LeastLoaded, PrefillFirst, Reserving)
}


def create_policy(name: Any) -> PlacementPolicy:
    """Returns a new policy. An unknown name, such as one of a newer version, gives `Reserving`.

    >>> create_policy("least_loaded").reserves
    False
    """
    return POLICIES.get(name, Reserving)()
