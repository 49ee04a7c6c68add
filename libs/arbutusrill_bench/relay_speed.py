"""Measures what an entry process adds to a stream, next to a direct connection to the same engine stand-ins.

Run as ``python -m arbutusrill_bench.relay_speed``. Prints one line of JSON: time to first token on both ways,
tokens relayed per second of processor time, memory with open streams, and memory over many requests.
"""

from __future__ import annotations

import json
import os
import threading
import time
from pathlib import Path
from typing import Annotated

import numpy as np
import typer
from arbutusrill_http import Transfer, fetch

from ._site import LocalSite
from ._streams_client import StreamClient, StreamResult, Target

__all__ = ["main"]

_MODEL = "route-writer"
_DECODES = 4
_TICK_S = 1 / os.sysconf("SC_CLK_TCK")


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_S


def _rss_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS:"))


def _prepare(site: LocalSite, streams: int, gap_s: float) -> tuple[Target, Target]:
    operators = site.operators
    operators.call("PUT", "/workspaces/bench", {"rate": 1e9, "burst": 1e10})
    issued = operators.call("POST", "/keys", {"workspace": "bench"})
    options = ("--models", _MODEL, "--slots", str(max(40, 2 * streams // _DECODES)), "--token-gap", str(gap_s))
    options += ("--batch-slowdown", "0", "--prefill-rate", "1000000")
    prefill = site.add_engine("engine-p", "--role", "prefill", *options)
    decodes = [site.add_engine(f"engine-d{number}", "--role", "decode", *options) for number in range(_DECODES)]
    operators.call("GET", f"/in-force/{issued['revision']}")
    site.wait_for_pool(_MODEL)
    for engine in (prefill, *decodes):
        url = f"http://{engine.address}/engine/requests"
        site.wait_until(lambda url=url: fetch(Transfer("GET", url, timeout_s=1.0)).whole, f"{engine.name} answers")
    entry = site.of_kind("entry")[0].address
    direct = Target(prefill=prefill.address, decodes=tuple(decode.address for decode in decodes))
    through = Target(entry=entry, key=issued["key"])
    site.wait_until(lambda: StreamClient(through, _MODEL, 2, 0).run(1, 1, 0)[0].complete, "a stream is complete")
    return direct, through


def _first_token_ms(results: list[StreamResult]) -> dict[str, float]:
    times = np.array([result.first_token_s * 1000 for result in results if result.complete])
    return {"median": round(float(np.median(times)), 2), "p99": round(float(np.percentile(times, 99)), 2)}


def _latency(targets: tuple[Target, Target], streams: int, rounds: int, seed: int) -> dict[str, object]:
    """Runs blocks on both ways in turn, so that other load on the machine meets both."""
    collected: tuple[list[StreamResult], list[StreamResult]] = ([], [])
    for number in range(rounds):
        for target, results in zip(targets, collected, strict=True):
            results += StreamClient(target, _MODEL, 40, seed + number).run(streams, 3 * streams, 2.0)
    direct, through = (_first_token_ms(results) for results in collected)
    return {
        "first_token_ms_direct": direct,
        "first_token_ms_entry": through,
        "added_ms": {name: round(through[name] - direct[name], 2) for name in direct},
        "incomplete": sum(not result.complete for results in collected for result in results),
    }


def _throughput(site: LocalSite, target: Target, streams: int, seconds: float, seed: int) -> dict[str, object]:
    pid = site.of_kind("entry")[0].process.pid
    peak = [0.0]
    done = threading.Event()

    def watch() -> None:
        while not done.wait(0.2):
            peak[0] = max(peak[0], _rss_mb(pid))

    watcher = threading.Thread(target=watch)
    watcher.start()
    cpu, started = _cpu_s(pid), time.monotonic()
    client = StreamClient(target, _MODEL, 200, seed)
    client.run(streams, 10**9, 1.0, time.monotonic() + seconds)
    cpu, elapsed = _cpu_s(pid) - cpu, time.monotonic() - started
    done.set()
    watcher.join()
    tokens = client.tokens
    return {
        "streams": streams,
        "tokens_per_s": round(tokens / elapsed),
        "entry_cores": round(cpu / elapsed, 3),
        "tokens_per_core_s": round(tokens / cpu),
        "rss_mb_peak": round(peak[0], 1),
    }


def _growth(site: LocalSite, target: Target, requests: int, seed: int) -> dict[str, object]:
    pid = site.of_kind("entry")[0].process.pid
    marks = []
    for part in range(10):
        results = StreamClient(target, _MODEL, 1, seed + part).run(32, requests // 10, 0.1)
        marks.append((round(_rss_mb(pid), 1), sum(not result.complete for result in results)))
    return {"requests": requests, "rss_mb_by_tenth": [mark[0] for mark in marks], "failed": sum(m[1] for m in marks)}


def main(
    streams: Annotated[int, typer.Option(help="concurrent streams for the time to first token")] = 100,
    rounds: Annotated[int, typer.Option(help="blocks on each way")] = 4,
    open_streams: Annotated[int, typer.Option(help="concurrent streams for throughput and memory")] = 200,
    seconds: Annotated[float, typer.Option(help="length of the throughput run")] = 15.0,
    growth: Annotated[int, typer.Option(help="requests of the memory run; 0 leaves it out")] = 20_000,
    gap: Annotated[float, typer.Option(help="seconds between tokens of the stand-ins")] = 0.05,
    seed: int = 1,
) -> None:
    """Runs all measurements on a site of one control VM and one entry VM."""
    with LocalSite(controls=1, entries=1) as site:
        targets = _prepare(site, open_streams, gap)
        report: dict[str, object] = {"seed": seed, "gap_s": gap, "load_average": round(os.getloadavg()[0], 1)}
        report["latency"] = _latency(targets, streams, rounds, seed)
        report["throughput"] = _throughput(site, targets[1], open_streams, seconds, seed)
        if growth:
            report["growth"] = _growth(site, targets[1], growth, seed)
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    typer.run(main)
