"""Measures the cost of placing requests on engines. Run as ``python -m arbutusrill_bench.placement_speed``.

For each number of engines and waiting requests it prints the processor time of one request that is placed at once or
joins the queue, and of one release after which a waiting request gets the place. Nothing waits and no thread runs.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import typer
from arbutusrill_site import Engine, PlacementScheduler
from arbutusrill_wire import messages

__all__ = ["LoadedSite", "main"]

_ENGINE_COUNTS = (6, 13, 47, 93, 400, 1400)
_WAITING_COUNTS = (0, 100, 600, 2000)
_PREFILL_FRACTION = 0.2
_ENGINE = Engine(slots=16, kv_tokens=29_000, kv_cache_ttl_s=0.5)
_PROMPT_TOKENS, _MEMORY_TOKENS = 3200, 4000
_STREAM_S, _EVENTS = 3.0, 60
_LEARNED_STREAMS = 20  # for each engine, so that the forecasts of memory are used
_POLL_S = 1_000_000


class LoadedSite:
    """A scheduler whose engines are all full, with requests that wait."""

    def __init__(self, engines: int, waiting: int):
        self._now = 0.0
        self._request_count = 0
        self._held: list[int] = []
        records = [self._record(number, engines) for number in range(engines)]
        self._scheduler = PlacementScheduler(lambda: records, lambda _: _ENGINE, lambda: 1)
        for _ in range(_LEARNED_STREAMS):
            for record in records:
                self._scheduler.speeds.learn_decode(record.id, "model", _STREAM_S, _EVENTS, _MEMORY_TOKENS)
        while not len(self._scheduler):
            self.request()
        while len(self._scheduler) < waiting:
            self.request()

    @staticmethod
    def _record(number: int, engines: int) -> object:
        stage = "prefill" if number < max(1, round(_PREFILL_FRACTION * engines)) else "decode"
        return messages.BackendRecord(str(number), 1, 1, "model", f"10.0.0.1:{number}", "z1", 16, False, stage, [])

    def request(self) -> None:
        """One request arrives."""
        self._request_count += 1
        self._now += 1e-4
        request = messages.PlaceRequest(
            "vm",
            1,
            str(self._request_count),
            "model",
            "",
            _PROMPT_TOKENS,
            _MEMORY_TOKENS,
            _POLL_S * 1000,
            900,
            True,
            [],
        )
        self._scheduler.poll(request, self._now)
        self._dispatch()

    def release(self) -> None:
        """One stream ends and its place is freed."""
        self._now += 1e-4
        self._scheduler.free(messages.FreePlace("vm", 1, self._held.pop(0), []), self._now)
        self._dispatch()

    def _dispatch(self) -> None:
        for ticket in self._scheduler.dispatch(self._now):
            self._held.append(self._scheduler.take_reply(ticket).place)


def measure_ms(step: Callable[[], None], count: int) -> float:
    """Returns the mean processor time of one call in milliseconds."""
    started = time.process_time()
    for _ in range(count):
        step()
    return (time.process_time() - started) / count * 1000


def main(count: int = 200) -> None:
    """Prints a table with the mean of `count` requests and of as many releases."""
    print("engines  waiting  ms a request  ms a release")
    for engines in _ENGINE_COUNTS:
        for waiting in _WAITING_COUNTS:
            site = LoadedSite(engines, waiting)
            request_ms = measure_ms(site.request, count)
            release_ms = measure_ms(site.release, count)
            print(f"{engines:7d}  {waiting:7d}  {request_ms:12.3f}  {release_ms:12.3f}")


if __name__ == "__main__":
    typer.run(main)
