"""Server of the engine stand-in, which simulates prefill, batched decode, cancellation and KV cache expiry.

Run as ``python -m arbutusrill_standins.engine``. ``POST /stand-in/fault`` injects faults, and
``GET /stand-in/counters`` returns the counters (``?requests=1`` adds the most recent requests).
"""

from __future__ import annotations

from typing import Annotated, Any

import typer
from arbutusrill_base import ProcessSignals, TaskGroup, split_address
from arbutusrill_http import HttpLimits, HttpServer

from ._announcer import STOP_LIMIT_S, Announcer, CacheEventSender, DelayedLoadReport
from ._engine import Engine
from ._options import EngineOptions

__all__ = ["Engine", "EngineOptions", "serve"]

_DEFAULTS = EngineOptions()
_SAMPLE_INTERVAL_S = 0.05
_HTTP_LIMITS = HttpLimits(connections=512, idle_s=600.0, finish_s=0.2)


def serve(
    engine: Engine,
    listen: str,
    entries: list[str],
    token: str,
    report_lag_s: float,
    event_lag_s: float,
    data_centre: str,
) -> None:
    """Serves an engine and announces it to the entry VMs until a stop signal."""
    report = DelayedLoadReport(report_lag_s, engine.load)
    identity = {"id": engine.name, "incarnation": engine.incarnation}

    def should_drop() -> bool:
        return engine.faults.consume("drop_cache_events")

    def describe() -> dict[str, Any]:
        return {**describe_engine(engine, data_centre), "running": report.read()[0], "queued": report.read()[1]}

    with (
        ProcessSignals(stop_limit_s=STOP_LIMIT_S) as signals,
        HttpServer(*split_address(listen), engine, _HTTP_LIMITS) as server,
        TaskGroup("engine", 4) as tasks,
    ):
        engine.own_address = f"http://{server.address}"
        engine.start(tasks)
        tasks.run_periodically(_SAMPLE_INTERVAL_S, report.sample)
        cache = engine.cache
        with (
            Announcer(entries, token, describe),
            CacheEventSender(entries, token, identity, event_lag_s, cache.take_changes, cache.snapshot, should_drop),
        ):
            signals.stop_requested.wait()


def describe_engine(engine: Engine, data_centre: str) -> dict[str, Any]:
    """Returns the announcement of an engine without its load."""
    role, pools, versions = engine.orders.serving_state()
    options = engine.options
    return {
        "id": engine.name,
        "incarnation": engine.incarnation,
        "address": engine.own_address,
        "role": role,
        "pools": pools,
        "versions": versions,
        "data_centre": data_centre,
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
    slots: Annotated[int, typer.Option(help="maximum number of concurrent requests in each stage")] = _DEFAULTS.slots,
    prefill_rate: Annotated[float, typer.Option(help="prefill tokens/s")] = _DEFAULTS.prefill_tokens_per_s,
    token_gap: Annotated[float, typer.Option(help="seconds between tokens of a single stream")] = _DEFAULTS.token_gap_s,
    batch_slowdown: Annotated[
        float, typer.Option(help="fraction by which each further stream lengthens the gap")
    ] = _DEFAULTS.batch_slowdown,
    speed: Annotated[float, typer.Option(help="speed factor of prefill and decode")] = 1.0,
    chunk_tokens: Annotated[int, typer.Option(help="prefill chunk size in tokens; 0: no chunks")] = 0,
    kv_life: Annotated[float, typer.Option(help="seconds for which an unused KV cache is kept")] = _DEFAULTS.kv_ttl_s,
    kv_token_bytes: Annotated[int, typer.Option(help="KV cache bytes per token")] = _DEFAULTS.kv_bytes_per_token,
    link_rate: Annotated[
        float, typer.Option(help="bandwidth of the KV cache link, bytes/s")
    ] = _DEFAULTS.link_bytes_per_s,
    cache_tokens: Annotated[int, typer.Option(help="prefix cache size in tokens")] = _DEFAULTS.cache_tokens,
    checks_fencing: Annotated[
        bool, typer.Option("--checks-fencing", help="refuse orders with a stale fencing number")
    ] = False,
    report_lag: Annotated[float, typer.Option(help="age of the load reports, seconds")] = 0.5,
    cache_event_lag: Annotated[float, typer.Option(help="delay of cache events, seconds")] = 0.25,
) -> None:
    """Serves a model engine stand-in until a stop signal."""
    options = EngineOptions(
        prefill_tokens_per_s=prefill_rate,
        token_gap_s=token_gap,
        batch_slowdown=batch_slowdown,
        speed=speed,
        slots=slots,
        prefill_chunk_tokens=chunk_tokens,
        kv_ttl_s=kv_life,
        kv_bytes_per_token=kv_token_bytes,
        link_bytes_per_s=link_rate,
        cache_tokens=cache_tokens,
        checks_fencing=checks_fencing,
    )
    engine = Engine(options, role, models.split(","), server_id)
    serve(engine, listen, entries.split(","), announce_token, report_lag, cache_event_lag, data_centre)


if __name__ == "__main__":
    typer.run(main)
