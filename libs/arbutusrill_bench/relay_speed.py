"""Measures the overhead of an entry process on streams, compared with direct connections to the engine stand-ins.

Run as ``python -m arbutusrill_bench.relay_speed``. Prints JSON: time to first token with and without the entry
process, tokens relayed per second of processor time, memory with open streams, and memory over many requests.
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

from ._site import LocalSite, interrupt_on_stop_signals
from ._streams_client import StreamClient, StreamResult, Target

__all__ = ["main"]

_MODEL = "route-writer"
_DECODE_ENGINE_COUNT = 4
_CLOCK_TICK_S = 1 / os.sysconf("SC_CLK_TCK")


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _CLOCK_TICK_S


def _rss_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS:"))


def _set_up_site(site: LocalSite, streams: int, gap_s: float) -> tuple[Target, Target]:
    operators = site.operators
    operators.call("PUT", "/workspaces/bench", {"rate": 1e9, "burst": 1e10})
    issued = operators.call("POST", "/keys", {"workspace": "bench"})
    options = (
        "--models",
        _MODEL,
        "--slots",
        str(max(40, 2 * streams // _DECODE_ENGINE_COUNT)),
        "--token-gap",
        str(gap_s),
    )
    options += ("--batch-slowdown", "0", "--prefill-rate", "1000000")
    prefill = site.add_engine("engine-p", "--role", "prefill", *options)
    decodes = [
        site.add_engine(f"engine-d{number}", "--role", "decode", *options) for number in range(_DECODE_ENGINE_COUNT)
    ]
    operators.call("GET", f"/in-force/{issued['revision']}")
    site.wait_for_pool(_MODEL)
    for engine in (prefill, *decodes):
        url = f"http://{engine.address}/engine/requests"
        site.wait_until(
            lambda url=url: fetch(Transfer("GET", url, timeout_s=1.0)).is_complete, f"{engine.name} answers"
        )
    entry = site.of_kind("entry")[0].address
    direct = Target(prefill=prefill.address, decodes=tuple(decode.address for decode in decodes))
    via_entry = Target(entry=entry, key=issued["key"])
    site.wait_until(lambda: StreamClient(via_entry, _MODEL, 2, 0).run(1, 1, 0)[0].complete, "a stream is complete")
    return direct, via_entry


def _first_token_quantiles_ms(results: list[StreamResult]) -> dict[str, float]:
    times = np.array([result.first_token_s * 1000 for result in results if result.complete])
    return {"median": round(float(np.median(times)), 2), "p99": round(float(np.percentile(times, 99)), 2)}


def _measure_latency(targets: tuple[Target, Target], streams: int, rounds: int, seed: int) -> dict[str, object]:
    """Measures both targets in alternating rounds, so that other load on the machine affects both equally."""
    results_by_target: tuple[list[StreamResult], list[StreamResult]] = ([], [])
    for number in range(rounds):
        for target, results in zip(targets, results_by_target, strict=True):
            results += StreamClient(target, _MODEL, 40, seed + number).run(streams, 3 * streams, 2.0)
    direct, via_entry = (_first_token_quantiles_ms(results) for results in results_by_target)
    return {
        "first_token_ms_direct": direct,
        "first_token_ms_entry": via_entry,
        "added_ms": {name: round(via_entry[name] - direct[name], 2) for name in direct},
        "incomplete": sum(not result.complete for results in results_by_target for result in results),
    }


def _measure_throughput(site: LocalSite, target: Target, streams: int, seconds: float, seed: int) -> dict[str, object]:
    pid = site.of_kind("entry")[0].process.pid
    peak_rss_mb = [0.0]
    stopping = threading.Event()

    def sample_memory() -> None:
        while not stopping.wait(0.2):
            peak_rss_mb[0] = max(peak_rss_mb[0], _rss_mb(pid))

    sampler = threading.Thread(target=sample_memory)
    sampler.start()
    cpu, started = _cpu_s(pid), time.monotonic()
    client = StreamClient(target, _MODEL, 200, seed)
    client.run(streams, 10**9, 1.0, time.monotonic() + seconds)
    cpu, elapsed = _cpu_s(pid) - cpu, time.monotonic() - started
    stopping.set()
    sampler.join()
    tokens = client.tokens
    return {
        "streams": streams,
        "tokens_per_s": round(tokens / elapsed),
        "entry_cores": round(cpu / elapsed, 3),
        "tokens_per_core_s": round(tokens / cpu),
        "rss_mb_peak": round(peak_rss_mb[0], 1),
    }


def _measure_memory_growth(site: LocalSite, target: Target, requests: int, seed: int) -> dict[str, object]:
    pid = site.of_kind("entry")[0].process.pid
    samples = []
    for tenth in range(10):
        results = StreamClient(target, _MODEL, 1, seed + tenth).run(32, requests // 10, 0.1)
        samples.append((round(_rss_mb(pid), 1), sum(not result.complete for result in results)))
    return {
        "requests": requests,
        "rss_mb_by_tenth": [sample[0] for sample in samples],
        "failed": sum(m[1] for m in samples),
    }


def main(
    streams: Annotated[
        int, typer.Option(help="concurrent streams for the measurement of the time to first token")
    ] = 100,
    rounds: Annotated[int, typer.Option(help="rounds for each of the direct and the entry path")] = 4,
    open_streams: Annotated[
        int, typer.Option(help="concurrent streams for the measurement of throughput and memory")
    ] = 200,
    seconds: Annotated[float, typer.Option(help="length of the throughput measurement, in seconds")] = 15.0,
    growth: Annotated[int, typer.Option(help="requests of the memory growth measurement; 0 skips it")] = 20_000,
    gap: Annotated[float, typer.Option(help="seconds between tokens of the engine stand-ins")] = 0.05,
    seed: int = 1,
) -> None:
    """Runs all measurements on a site of one control VM and one entry VM."""
    with LocalSite(controls=1, entries=1) as site:
        targets = _set_up_site(site, open_streams, gap)
        report: dict[str, object] = {"seed": seed, "gap_s": gap, "load_average": round(os.getloadavg()[0], 1)}
        report["latency"] = _measure_latency(targets, streams, rounds, seed)
        report["throughput"] = _measure_throughput(site, targets[1], open_streams, seconds, seed)
        if growth:
            report["growth"] = _measure_memory_growth(site, targets[1], growth, seed)
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    interrupt_on_stop_signals()
    typer.run(main)
