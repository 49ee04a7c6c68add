"""Measures what the pool owner's decisions cost.

Run as ``PYTHONPATH=libs python -m arbutusrill_bench.decision_speed``. Calls the real `PoolOwner` in one thread, without
network: the time of an acquire that assigns (with its release in between, not counted), announcements a second, and
memory for each server and each waiting ticket.
"""

from __future__ import annotations

import random
import statistics
import time
import tracemalloc
from dataclasses import dataclass
from typing import Annotated, Any

import typer
from arbutusrill_base import ManualClock
from arbutusrill_pool import PoolOwner
from arbutusrill_wire import messages

__all__ = ["SpeedReport", "measure"]

_DATA_CENTRES = 7
_WORKSPACES = 50
_FILLED = 0.67
_HOLD_S = 1.2  # of a request with 100 output tokens
_REFRESH_S = 0.4  # keeps all servers announced, as they are in service


@dataclass(slots=True)
class SpeedReport:
    """Measured costs. Times in milliseconds, rates per second, memory in bytes."""

    servers: int
    median_ms: float
    p99_ms: float
    release_median_ms: float
    announcements_per_s: float
    tick_ms: float
    server_bytes: float
    ticket_bytes: float


def _announcement(number: int, prefills: int) -> Any:
    role = "prefill" if number < prefills else "decode"
    return messages.Announcement(
        f"runner-{number}",
        number + 1,
        f"http://127.0.0.1:{10_000 + number}",
        role,
        ["m"],
        f"dc{number % _DATA_CENTRES}",
        20,
        0,
        4e9,
        20_000.0 * (0.7 + 0.1 * (number % 7)),
        0.01 * (0.8 + 0.1 * (number % 5)),
        kv_bytes_per_token=1000,
    )


def _request(number: int, draw: random.Random, output_tokens: int = 100) -> Any:
    return messages.AcquireRequest(
        "m",
        f"req-{number:022d}",
        f"vm{number % 8}",
        1,
        f"workspace-{number % _WORKSPACES}",
        1.0,
        "interactive",
        5000,
        draw.randrange(20, 6000),
        output_tokens,
        data_centre=f"dc{number % _DATA_CENTRES}",
        wait_ms=0,
    )


def measure(servers: int, requests: int, seed: int) -> SpeedReport:
    """Measures a pool of that many servers, a third of them for prefill, at about two thirds of its slots."""
    draw = random.Random(seed)
    announcements = [_announcement(number, max(1, servers // 3)) for number in range(servers)]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    clock = ManualClock()
    owner = PoolOwner("m", 1, clock, seed=seed)
    for each in announcements:
        owner.announce(each)
    server_bytes = (tracemalloc.get_traced_memory()[0] - before) / servers
    tracemalloc.stop()
    owner.tick()
    acquire_ms, release_ms = _decisions(owner, clock, announcements, requests, draw)
    started = time.perf_counter()
    for _ in range(3):
        for each in announcements:
            owner.announce(each)
    announcing_s = time.perf_counter() - started
    started = time.perf_counter()
    owner.tick()
    tick_ms = (time.perf_counter() - started) * 1000
    acquire_ms.sort()
    return SpeedReport(
        servers,
        statistics.median(acquire_ms),
        acquire_ms[int(0.99 * len(acquire_ms))],
        statistics.median(release_ms),
        3 * servers / announcing_s,
        tick_ms,
        server_bytes,
        _ticket_bytes(owner, draw),
    )


def _decisions(
    owner: PoolOwner, clock: ManualClock, announcements: list[Any], requests: int, draw: random.Random
) -> tuple[list[float], list[float]]:
    slots = sum(each.slots for each in announcements if each.role == "decode")
    held: list[str] = []
    acquire_ms: list[float] = []
    release_ms: list[float] = []
    announced_at = clock.monotonic()
    for number in range(requests):
        clock.advance(_HOLD_S / (slots * _FILLED))  # the rate at which that part of the slots is held
        if clock.monotonic() - announced_at > _REFRESH_S:
            announced_at = clock.monotonic()
            for each in announcements:
                owner.announce(each)
            owner.tick()
        request = _request(number, draw)
        started = time.perf_counter()
        reply = owner.acquire(request)
        acquire_ms.append((time.perf_counter() - started) * 1000)
        if reply.status != "assigned":
            raise AssertionError(f"the pool has room but answered {reply.status} {reply.message}")
        owner.release(messages.ReleaseRequest("m", request.ticket, "prefilled", 0.1))
        held.append(request.ticket)
        if len(held) > slots * _FILLED:
            position = draw.randrange(len(held))
            held[position], held[-1] = held[-1], held[position]
            started = time.perf_counter()
            owner.release(messages.ReleaseRequest("m", held.pop(), "done", tokens=100, decode_s=1.0))
            release_ms.append((time.perf_counter() - started) * 1000)
    return acquire_ms, release_ms or [0.0]


def _ticket_bytes(owner: PoolOwner, draw: random.Random) -> float:
    count = 2000
    requests = [_request(10**6 + number, draw, 1) for number in range(count)]
    for request in requests:
        request.latency_class = "briefing"
        request.deadline_ms = 3_600_000
    for server in owner.status().servers:  # no server is ready, so that all of them wait
        server.announcement.state = "draining"
        owner.announce(server.announcement)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for request in requests:
        owner.acquire(request)
    size = (tracemalloc.get_traced_memory()[0] - before) / count
    tracemalloc.stop()
    return size


def main(
    requests: Annotated[int, typer.Option(help="decisions measured for each size")] = 20_000,
    seed: Annotated[int, typer.Option(help="seed of the requests and the candidates")] = 1,
    sizes: Annotated[str, typer.Option(help="numbers of servers, separated by commas")] = "13,130,1400",
) -> None:
    """Prints the cost of decisions for several sizes of a pool."""
    print("servers  acquire median/99% ms  release ms  announcements/s  tick ms  bytes/server  bytes/ticket")
    for size in sizes.split(","):
        report = measure(int(size), requests, seed)
        print(
            f"{report.servers:7d}  {report.median_ms:9.3f} / {report.p99_ms:8.3f}  {report.release_median_ms:10.3f}"
            f"  {report.announcements_per_s:15.0f}  {report.tick_ms:7.2f}  {report.server_bytes:12.0f}"
            f"  {report.ticket_bytes:12.0f}"
        )


if __name__ == "__main__":
    typer.run(main)
