"""Stand-in for a model engine: prefill, decode in a batch, cancel, and a short-lived KV cache.

Run as ``python -m arbutusrill_standins.engine``. Faults are switched on by ``POST /stand-in/fault`` and
counters are read by ``GET /stand-in/counters`` (``?requests=1`` adds the requests seen lately).
"""

from __future__ import annotations

import time
from typing import Annotated, Any

import typer
from arbutusrill_base import TaskGroup, split_address
from arbutusrill_http import HttpLimits, HttpServer

from ._announcer import Announcer, CacheEventSender, LaggedReport
from ._engine import Engine
from ._options import EngineOptions

__all__ = ["Engine", "EngineOptions", "serve"]

_DEFAULT = EngineOptions()
_SAMPLE_S = 0.05
_LIMITS = HttpLimits(connections=512, idle_s=600.0)


def serve(
    engine: Engine, listen: str, entries: list[str], token: str, report_lag_s: float, event_lag_s: float, place: str
) -> None:
    """Serves an engine in data centre `place` and announces it until it is interrupted."""
    report = LaggedReport(report_lag_s, engine.load)
    identity = {"id": engine.name, "incarnation": engine.incarnation}

    def lost() -> bool:
        return engine.faults.take("drop_cache_events")

    def describe() -> dict[str, Any]:
        return {**announcement(engine, place), "running": report.read()[0], "queued": report.read()[1]}

    with HttpServer(*split_address(listen), engine, _LIMITS) as server, TaskGroup("engine", 4) as tasks:
        engine.own_address = f"http://{server.address}"
        engine.start(tasks)
        tasks.every(_SAMPLE_S, report.sample)
        cache = engine.cache
        with (
            Announcer(entries, token, describe),
            CacheEventSender(entries, token, identity, event_lag_s, cache.take_changes, cache.full, lost),
        ):
            while True:
                time.sleep(3600)


def announcement(engine: Engine, place: str) -> dict[str, Any]:
    """Returns what an engine says of itself, without its load."""
    role, pools, versions = engine.orders.state()
    options = engine.options
    return {
        "id": engine.name,
        "incarnation": engine.incarnation,
        "address": engine.own_address,
        "role": role,
        "pools": pools,
        "versions": versions,
        "data_centre": place,
        "slots": options.slots,
        "memory_bytes": options.cache_tokens * options.kv_bytes_per_token,
        "link_bytes_per_s": options.link_bytes_per_s,
        "kv_bytes_per_token": options.kv_bytes_per_token,
        "prefill_tokens_per_s": options.prefill_tokens_per_s * options.speed,
        "token_gap_s": options.token_gap_s / options.speed,
        "checks_fencing": options.checks_fencing,
        "state": "ready",
    }


def main(
    listen: Annotated[str, typer.Option(help="IP:port to serve on")],
    entries: Annotated[str, typer.Option(help="entry VMs to announce to, separated by commas")],
    announce_token: Annotated[str, typer.Option(help="token that the entry VMs expect")],
    server_id: Annotated[str, typer.Option("--id", help="name of this backend server")],
    role: Annotated[str, typer.Option(help="prefill, decode or both")] = "both",
    models: Annotated[str, typer.Option(help="models served, separated by commas")] = "default",
    data_centre: Annotated[str, typer.Option(help="data centre of this server")] = "dc1",
    slots: Annotated[int, typer.Option(help="requests held at once")] = _DEFAULT.slots,
    prefill_rate: Annotated[float, typer.Option(help="prefill tokens/s")] = _DEFAULT.prefill_tokens_per_s,
    token_gap: Annotated[float, typer.Option(help="seconds between tokens of a single stream")] = _DEFAULT.token_gap_s,
    batch_slowdown: Annotated[float, typer.Option(help="longer gap per further stream")] = _DEFAULT.batch_slowdown,
    speed: Annotated[float, typer.Option(help="multiplies the speed of prefill and decode")] = 1.0,
    chunk_tokens: Annotated[int, typer.Option(help="prefill in chunks of this size; 0: whole")] = 0,
    kv_life: Annotated[float, typer.Option(help="seconds for which an unused KV cache is kept")] = _DEFAULT.kv_life_s,
    kv_token_bytes: Annotated[int, typer.Option(help="KV cache bytes per token")] = _DEFAULT.kv_bytes_per_token,
    link_rate: Annotated[float, typer.Option(help="bytes/s of the link for KV cache")] = _DEFAULT.link_bytes_per_s,
    cache_tokens: Annotated[int, typer.Option(help="prefix cache in tokens")] = _DEFAULT.cache_tokens,
    checks_fencing: Annotated[bool, typer.Option("--checks-fencing", help="refuse old fencing numbers")] = False,
    report_lag: Annotated[float, typer.Option(help="age of the load reports, seconds")] = 0.5,
    cache_event_lag: Annotated[float, typer.Option(help="delay of cache events, seconds")] = 0.25,
) -> None:
    """Serves a model engine stand-in until it is interrupted."""
    options = EngineOptions(
        prefill_tokens_per_s=prefill_rate,
        token_gap_s=token_gap,
        batch_slowdown=batch_slowdown,
        speed=speed,
        slots=slots,
        prefill_chunk_tokens=chunk_tokens,
        kv_life_s=kv_life,
        kv_bytes_per_token=kv_token_bytes,
        link_bytes_per_s=link_rate,
        cache_tokens=cache_tokens,
        checks_fencing=checks_fencing,
    )
    engine = Engine(options, role, models.split(","), server_id)
    serve(engine, listen, entries.split(","), announce_token, report_lag, cache_event_lag, data_centre)


if __name__ == "__main__":
    typer.run(main)
