"""Index of a pool's servers by stage and data centre, with random sampling in constant time."""

from __future__ import annotations

import itertools
import random
from collections import OrderedDict
from collections.abc import Iterator

from ._server import Server

__all__ = ["STAGES", "ServerIndex"]

STAGES = ("prefill", "decode", "plain")


class _SampledSet:
    """A set of servers whose `members` list allows random sampling in constant time."""

    __slots__ = ("members", "_position_by_id")

    def __init__(self) -> None:
        self.members: list[Server] = []
        self._position_by_id: dict[str, int] = {}

    def __contains__(self, server: Server) -> bool:
        return server.id in self._position_by_id

    def set_present(self, server: Server, present: bool) -> None:
        position = self._position_by_id.get(server.id)
        if present and position is None:
            self._position_by_id[server.id] = len(self.members)
            self.members.append(server)
        elif not present and position is not None:
            del self._position_by_id[server.id]
            last = self.members.pop()
            if last is not server:
                self.members[position] = last
                self._position_by_id[last.id] = position


class _Stage:
    """Servers of one stage: `ready` for assignments, and `open`, which also have room.

    `slots` and `free` are totals over the ready servers, `idle` is the number of those without a queued prefill.
    """

    __slots__ = ("ready", "open", "open_by_data_centre", "slots", "free", "idle", "_counts_by_id")

    def __init__(self) -> None:
        self.ready = _SampledSet()
        self.open = _SampledSet()
        self.open_by_data_centre: dict[str, _SampledSet] = {}
        self.slots = self.free = self.idle = 0
        self._counts_by_id: dict[str, tuple[int, int, int]] = {}

    def update(self, server: Server, ready: bool, capacity: int, is_open: bool) -> None:
        self.ready.set_present(server, ready)
        self.open.set_present(server, is_open)
        data_centre = server.announcement.data_centre
        if data_centre not in self.open_by_data_centre:
            self.open_by_data_centre[data_centre] = _SampledSet()
        self.open_by_data_centre[data_centre].set_present(server, is_open)
        previous = self._counts_by_id.get(server.id, (0, 0, 0))
        free = max(0, capacity - server.assigned)
        counts = (capacity, free, int(not server.prefill_s_by_ticket)) if ready else (0, 0, 0)
        self._counts_by_id[server.id] = counts
        self.slots += counts[0] - previous[0]
        self.free += counts[1] - previous[1]
        self.idle += counts[2] - previous[2]

    def drop(self, server: Server) -> None:
        self.update(server, False, 0, False)
        del self._counts_by_id[server.id]


class ServerIndex:
    """Servers by ID, and the ready and open servers of each stage.

    `update` must be called after each change of a server. `gap_target_s` is the target for the time between tokens, by
    which the number of streams on a server is limited.
    """

    def __init__(self, seed: int, gap_target_s: float):
        self.by_id: OrderedDict[str, Server] = OrderedDict()  # least recently announced first
        self.gap_target_s = gap_target_s
        self._random = random.Random(seed)
        self._stage_by_name = {name: _Stage() for name in STAGES}

    def __iter__(self) -> Iterator[Server]:
        return iter(self.by_id.values())

    def record_announcement(self, server: Server) -> None:
        """Moves a server to the end of the order of announcements."""
        self.by_id[server.id] = server
        self.by_id.move_to_end(server.id)

    def silent_since(self, before: float) -> list[Server]:
        """Returns the servers whose last announcement was at `before` or earlier."""
        return list(itertools.takewhile(lambda server: server.announced_at <= before, self.by_id.values()))

    def stage(self, name: str) -> _Stage:
        """Returns the sets and totals of a stage."""
        return self._stage_by_name[name]

    def is_open(self, server: Server, stage: str) -> bool:
        """Returns whether a server is ready and has room for a request of a stage."""
        return server in self._stage_by_name[stage].open

    def update(self, server: Server, now: float) -> None:
        """Updates the sets and totals after a change of `server`."""
        self.by_id[server.id] = server
        ready = server.is_ready(now)
        capacity = server.capacity(now, self.gap_target_s) if ready else 0
        has_room = ready and server.assigned < capacity
        for name, stage in self._stage_by_name.items():
            if server.serves(name):
                is_open = has_room and (name != "prefill" or server.accepts_prefill())
                stage.update(server, ready, capacity, is_open)

    def remove(self, server: Server) -> None:
        """Removes a server; call with its old announcement before its role or data centre changes."""
        self.by_id.pop(server.id, None)
        for name, stage in self._stage_by_name.items():
            if server.serves(name):
                stage.drop(server)

    def sample(self, stage: str, data_centre: str, local_count: int, global_count: int) -> list[Server]:
        """Returns up to `local_count` random open servers in `data_centre` and `global_count` from all data centres."""
        sets = self._stage_by_name[stage]
        local = sets.open_by_data_centre.get(data_centre)
        chosen = {server.id: server for server in self._sample_members(local, local_count)} if local is not None else {}
        count = global_count if chosen else local_count + global_count
        chosen.update((server.id, server) for server in self._sample_members(sets.open, count))
        return list(chosen.values())

    def _sample_members(self, servers: _SampledSet, count: int) -> list[Server]:
        members = servers.members
        if len(members) <= count:
            return members
        random_fraction = self._random.random
        size = len(members)
        return [members[int(random_fraction() * size)] for _ in range(count)]
