"""Index of a pool's servers by stage and data centre, with random choice in constant time."""

from __future__ import annotations

import itertools
import random
from collections import OrderedDict
from collections.abc import Iterator

from ._server import Server

__all__ = ["STAGES", "ServerIndex"]

STAGES = ("prefill", "decode", "plain")


class _RandomSet:
    """A set with a random member in constant time."""

    __slots__ = ("members", "_position_by_id")

    def __init__(self) -> None:
        self.members: list[Server] = []
        self._position_by_id: dict[str, int] = {}

    def __contains__(self, server: Server) -> bool:
        return server.id in self._position_by_id

    def put(self, server: Server, wanted: bool) -> None:
        position = self._position_by_id.get(server.id)
        if wanted and position is None:
            self._position_by_id[server.id] = len(self.members)
            self.members.append(server)
        elif not wanted and position is not None:
            del self._position_by_id[server.id]
            last = self.members.pop()
            if last is not server:
                self.members[position] = last
                self._position_by_id[last.id] = position


class _Stage:
    """Servers of one stage, with the totals that predictions need."""

    __slots__ = ("ready", "open", "open_by_data_centre", "slots", "free", "idle", "_share_by_id")

    def __init__(self) -> None:
        self.ready = _RandomSet()
        self.open = _RandomSet()
        self.open_by_data_centre: dict[str, _RandomSet] = {}
        self.slots = self.free = self.idle = 0
        self._share_by_id: dict[str, tuple[int, int, int]] = {}

    def put(self, server: Server, ready: bool, capacity: int, is_open: bool) -> None:
        self.ready.put(server, ready)
        self.open.put(server, is_open)
        data_centre = server.announcement.data_centre
        if data_centre not in self.open_by_data_centre:
            self.open_by_data_centre[data_centre] = _RandomSet()
        self.open_by_data_centre[data_centre].put(server, is_open)
        before = self._share_by_id.get(server.id, (0, 0, 0))
        free = max(0, capacity - server.assigned)
        share = (capacity, free, int(not server.prefill_s_by_ticket)) if ready else (0, 0, 0)
        self._share_by_id[server.id] = share
        self.slots += share[0] - before[0]
        self.free += share[1] - before[1]
        self.idle += share[2] - before[2]

    def drop(self, server: Server) -> None:
        self.put(server, False, 0, False)
        del self._share_by_id[server.id]


class ServerIndex:
    """Servers by id, and for each stage which of them are ready and which have room.

    `update` must be called after each change of a server. `gap_target_s` limits the streams of a server.
    """

    def __init__(self, seed: int, gap_target_s: float):
        self.by_id: OrderedDict[str, Server] = OrderedDict()  # those heard longest ago first
        self.gap_target_s = gap_target_s
        self._random = random.Random(seed)
        self._stage_by_name = {name: _Stage() for name in STAGES}

    def __iter__(self) -> Iterator[Server]:
        return iter(self.by_id.values())

    def heard(self, server: Server) -> None:
        """Notes that a server has just announced itself."""
        self.by_id[server.id] = server
        self.by_id.move_to_end(server.id)

    def quiet(self, before: float) -> list[Server]:
        """Returns the servers last heard at `before` or earlier."""
        return list(itertools.takewhile(lambda server: server.heard_at <= before, self.by_id.values()))

    def stage(self, name: str) -> _Stage:
        """Returns the sets and totals of a stage: `ready`, `open`, `slots`, `free` and `idle`."""
        return self._stage_by_name[name]

    def is_open(self, server: Server, stage: str) -> bool:
        """Says whether a server has room for a request of a stage."""
        return server in self._stage_by_name[stage].open

    def update(self, server: Server, now: float) -> None:
        """Brings the sets up to date after a change of `server`."""
        self.by_id[server.id] = server
        ready = server.ready(now)
        capacity = server.capacity(now, self.gap_target_s) if ready else 0
        room = ready and server.assigned < capacity
        for name, stage in self._stage_by_name.items():
            if server.serves(name):
                is_open = room and (name != "prefill" or server.takes_prefill())
                stage.put(server, ready, capacity, is_open)

    def remove(self, server: Server) -> None:
        """Forgets a server or the roles that it no longer has."""
        self.by_id.pop(server.id, None)
        for name, stage in self._stage_by_name.items():
            if server.serves(name):
                stage.drop(server)

    def sample(self, stage: str, data_centre: str, near: int, far: int) -> list[Server]:
        """Returns up to `near` random servers with room in `data_centre` and `far` ones from anywhere."""
        sets = self._stage_by_name[stage]
        local = sets.open_by_data_centre.get(data_centre)
        chosen = {server.id: server for server in self._draw(local, near)} if local is not None else {}
        wanted = far if chosen else near + far
        chosen.update((server.id, server) for server in self._draw(sets.open, wanted))
        return list(chosen.values())

    def _draw(self, servers: _RandomSet, count: int) -> list[Server]:
        members = servers.members
        if len(members) <= count:
            return members
        pick = self._random.random
        size = len(members)
        return [members[int(pick() * size)] for _ in range(count)]
