"""Discrete-event simulation of callers and servers around one `PoolOwner`."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from arbutusrill_pool.tests.support import PoolFixture, announcement, release, request


@dataclass
class Traffic:
    """Poisson arrivals of one workspace, in requests per second."""

    rate: float
    prompt_tokens: float = 3000.0
    output_tokens: int = 150
    latency_class: str = "interactive"
    deadline_ms: int = 5000
    weight: float = 1.0


@dataclass
class Results:
    """Times to first token, and retry times of the refusals, of one workspace."""

    first_token_s: list = field(default_factory=list)
    retry_after_ms: list = field(default_factory=list)

    def quantile(self, fraction):
        return sorted(self.first_token_s)[int(fraction * len(self.first_token_s))]


class PoolSimulation:
    """Simulates serial prefills, and decoding whose token gap grows with the batch. Times are in seconds."""

    def __init__(self, traffic, seed, prefills=4, decodes=5, **options):
        servers = [announcement(f"p{i}", "prefill") for i in range(prefills)]
        servers += [announcement(f"d{i}", "decode") for i in range(decodes)]
        self.pool = PoolFixture(*servers, **options)
        self.traffic = traffic
        self.random = {name: random.Random(f"{seed}/{name}") for name in traffic}
        self.results = {name: Results() for name in traffic}
        self.events = []
        self.counter = itertools.count()
        self.busy_until = dict.fromkeys((s.id for s in servers), 0.0)
        self.batch = dict.fromkeys((s.id for s in servers), 0)
        self.waiting = {}
        self.in_use = 0

    def schedule(self, time, function, *arguments):
        heapq.heappush(self.events, (time, next(self.counter), function, arguments))

    def run(self, seconds):
        clock = self.pool.clock
        start = clock.monotonic()
        for name in self.traffic:
            self.schedule_arrival(name, start)
        self.schedule(start + 0.1, self.tick)
        while self.events and self.events[0][0] < start + seconds:
            time, _, function, arguments = heapq.heappop(self.events)
            clock.advance(max(0.0, time - clock.monotonic()))
            function(*arguments)
            self.poll_decided()
        return self.results

    def now(self):
        return self.pool.clock.monotonic()

    def tick(self):
        self.pool.announce()
        self.pool.owner.tick()
        self.schedule(self.now() + 0.1, self.tick)
        for ticket in list(self.waiting):
            self.poll(ticket)

    def schedule_arrival(self, name, now):
        self.schedule(now + self.random[name].expovariate(self.traffic[name].rate), self.on_arrival, name)

    def on_arrival(self, name):
        self.schedule_arrival(name, self.now())
        traffic, rng = self.traffic[name], self.random[name]
        acquire_request = request(
            f"{name}-{next(self.counter)}",
            name,
            weight=traffic.weight,
            latency_class=traffic.latency_class,
            deadline_ms=traffic.deadline_ms,
            prompt_tokens=int(min(20_000, rng.lognormvariate(0, 0.6) * traffic.prompt_tokens / 1.2)),
            output_tokens=traffic.output_tokens,
        )
        self.waiting[acquire_request.ticket] = (acquire_request, self.now())
        self.poll(acquire_request.ticket)

    def poll_decided(self):
        tickets = self.pool.owner._dispatcher.ticket_by_id
        for ticket in [name for name in self.waiting if name not in tickets or tickets[name].reply is not None]:
            self.poll(ticket)

    def poll(self, ticket):
        acquire_request, arrived = self.waiting[ticket]
        reply = self.pool.owner.acquire(acquire_request)
        if reply.status == "pending":
            return
        del self.waiting[ticket]
        if reply.status == "refused":
            self.results[acquire_request.workspace].retry_after_ms.append(reply.retry_after_ms)
            return
        server = reply.assignment.prefill_server
        prefill_start = max(self.now(), self.busy_until[server])
        self.busy_until[server] = prefill_start + acquire_request.prompt_tokens / 20_000
        self.schedule(
            self.busy_until[server],
            self.on_prefilled,
            acquire_request,
            arrived,
            self.now(),
            reply.assignment.decode_server,
        )

    def on_prefilled(self, acquire_request, arrived, assigned, decode):
        self.pool.owner.release(release(acquire_request.ticket, "prefilled", prefill_s=self.now() - assigned))
        self.batch[decode] += 1
        gap = 0.01 * (1 + 0.045 * (self.batch[decode] - 1))
        self.results[acquire_request.workspace].first_token_s.append(self.now() + gap - arrived)
        self.schedule(self.now() + gap * acquire_request.output_tokens, self.on_decoded, acquire_request, decode, gap)

    def on_decoded(self, acquire_request, decode, gap):
        self.batch[decode] -= 1
        tokens = acquire_request.output_tokens
        self.pool.owner.release(release(acquire_request.ticket, "done", tokens=tokens, decode_s=gap * tokens))
