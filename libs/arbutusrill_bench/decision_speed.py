"""Measures the cost of the pool owner's scheduling decisions.

Run as ``PYTHONPATH=libs python -m arbutusrill_bench.decision_speed``. Calls the real `PoolOwner` in one thread without
a network, and measures the time of an acquire that assigns a server (releases are timed separately), announcements
per second, and memory for each server and each queued ticket.
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

__all__ = ["DecisionCosts", "measure"]

_DATA_CENTRES = 7
_WORKSPACES = 50
_USED_SLOT_FRACTION = 0.67
_SLOT_HOLD_S = 1.2  # for a request with 100 output tokens
_ANNOUNCEMENT_PERIOD_S = 0.4  # frequent enough that no server is considered lost


@dataclass(slots=True)
class DecisionCosts:
    """Measured costs: times in milliseconds, rates per second, memory in bytes."""

    servers: int
    median_ms: float
    p99_ms: float
    release_median_ms: float
    announcements_per_s: float
    tick_ms: float
    server_bytes: float
    ticket_bytes: float


def _announcement(number: int, prefill_count: int) -> Any:
    role = "prefill" if number < prefill_count else "decode"
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


def _acquire_request(number: int, rng: random.Random, output_tokens: int = 100) -> Any:
    return messages.AcquireRequest(
        "m",
        f"req-{number:022d}",
        f"vm{number % 8}",
        1,
        f"workspace-{number % _WORKSPACES}",
        1.0,
        "interactive",
        5000,
        rng.randrange(20, 6000),
        output_tokens,
        data_centre=f"dc{number % _DATA_CENTRES}",
        wait_ms=0,
    )


def measure(servers: int, requests: int, seed: int) -> DecisionCosts:
    """Measures a pool of `servers` servers, a third of them for prefill, with two thirds of the decode slots in use."""
    rng = random.Random(seed)
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
    acquire_ms, release_ms = _measure_decisions(owner, clock, announcements, requests, rng)
    started = time.perf_counter()
    for _ in range(3):
        for each in announcements:
            owner.announce(each)
    announcing_s = time.perf_counter() - started
    started = time.perf_counter()
    owner.tick()
    tick_ms = (time.perf_counter() - started) * 1000
    acquire_ms.sort()
    return DecisionCosts(
        servers,
        statistics.median(acquire_ms),
        acquire_ms[int(0.99 * len(acquire_ms))],
        statistics.median(release_ms),
        3 * servers / announcing_s,
        tick_ms,
        server_bytes,
        _measure_ticket_bytes(owner, rng),
    )


def _measure_decisions(
    owner: PoolOwner, clock: ManualClock, announcements: list[Any], requests: int, rng: random.Random
) -> tuple[list[float], list[float]]:
    slots = sum(each.slots for each in announcements if each.role == "decode")
    held: list[str] = []
    acquire_ms: list[float] = []
    release_ms: list[float] = []
    announced_at = clock.monotonic()
    for number in range(requests):
        clock.advance(_SLOT_HOLD_S / (slots * _USED_SLOT_FRACTION))  # arrival rate that keeps that fraction in use
        if clock.monotonic() - announced_at > _ANNOUNCEMENT_PERIOD_S:
            announced_at = clock.monotonic()
            for each in announcements:
                owner.announce(each)
            owner.tick()
        request = _acquire_request(number, rng)
        started = time.perf_counter()
        reply = owner.acquire(request)
        acquire_ms.append((time.perf_counter() - started) * 1000)
        if reply.status != "assigned":
            raise AssertionError(f"the pool has room but answered {reply.status} {reply.message}")
        owner.release(messages.ReleaseRequest("m", request.ticket, "prefilled", 0.1))
        held.append(request.ticket)
        if len(held) > slots * _USED_SLOT_FRACTION:
            position = rng.randrange(len(held))
            held[position], held[-1] = held[-1], held[position]
            started = time.perf_counter()
            owner.release(messages.ReleaseRequest("m", held.pop(), "done", tokens=100, decode_s=1.0))
            release_ms.append((time.perf_counter() - started) * 1000)
    return acquire_ms, release_ms or [0.0]


def _measure_ticket_bytes(owner: PoolOwner, rng: random.Random) -> float:
    count = 2000
    requests = [_acquire_request(10**6 + number, rng, 1) for number in range(count)]
    for request in requests:
        request.latency_class = "briefing"
        request.deadline_ms = 3_600_000
    for server in owner.status().servers:  # with no server ready, all requests are queued
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
    requests: Annotated[int, typer.Option(help="number of decisions measured for each pool size")] = 20_000,
    seed: Annotated[int, typer.Option(help="random seed of the requests and of the choice of candidates")] = 1,
    sizes: Annotated[str, typer.Option(help="comma-separated numbers of servers")] = "13,130,1400",
) -> None:
    """Prints the cost of decisions for several pool sizes."""
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
