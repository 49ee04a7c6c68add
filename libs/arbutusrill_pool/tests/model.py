"""A simple model of callers and servers around one `PoolOwner`, driven by a manual clock."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from arbutusrill_pool.tests.support import Pool, announcement, release, request


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
class Seen:
    first_token_s: list = field(default_factory=list)
    retry_after_ms: list = field(default_factory=list)

    def quantile(self, part):
        return sorted(self.first_token_s)[int(part * len(self.first_token_s))]


class Model:
    """Serial prefill, decode whose gap grows with the batch; times in seconds."""

    def __init__(self, traffic, seed, prefills=4, decodes=5, **options):
        servers = [announcement(f"p{i}", "prefill") for i in range(prefills)]
        servers += [announcement(f"d{i}", "decode") for i in range(decodes)]
        self.pool = Pool(*servers, **options)
        self.traffic = traffic
        self.random = {name: random.Random(f"{seed}/{name}") for name in traffic}
        self.seen = {name: Seen() for name in traffic}
        self.events = []
        self.number = itertools.count()
        self.busy_until = dict.fromkeys((s.id for s in servers), 0.0)
        self.batch = dict.fromkeys((s.id for s in servers), 0)
        self.waiting = {}
        self.in_use = 0

    def at(self, time, function, *arguments):
        heapq.heappush(self.events, (time, next(self.number), function, arguments))

    def run(self, seconds):
        clock = self.pool.clock
        start = clock.monotonic()
        for name in self.traffic:
            self.arrive_next(name, start)
        self.at(start + 0.1, self.tick)
        while self.events and self.events[0][0] < start + seconds:
            time, _, function, arguments = heapq.heappop(self.events)
            clock.advance(max(0.0, time - clock.monotonic()))
            function(*arguments)
            self.collect()
        return self.seen

    def now(self):
        return self.pool.clock.monotonic()

    def tick(self):
        self.pool.announce()
        self.pool.owner.tick()
        self.at(self.now() + 0.1, self.tick)
        for ticket in list(self.waiting):
            self.poll(ticket)

    def arrive_next(self, name, now):
        self.at(now + self.random[name].expovariate(self.traffic[name].rate), self.arrive, name)

    def arrive(self, name):
        self.arrive_next(name, self.now())
        traffic, draw = self.traffic[name], self.random[name]
        wanted = request(
            f"{name}-{next(self.number)}",
            name,
            weight=traffic.weight,
            latency_class=traffic.latency_class,
            deadline_ms=traffic.deadline_ms,
            prompt_tokens=int(min(20_000, draw.lognormvariate(0, 0.6) * traffic.prompt_tokens / 1.2)),
            output_tokens=traffic.output_tokens,
        )
        self.waiting[wanted.ticket] = (wanted, self.now())
        self.poll(wanted.ticket)

    def collect(self):
        tickets = self.pool.owner._dispatcher.ticket_by_id
        for ticket in [name for name in self.waiting if name not in tickets or tickets[name].reply is not None]:
            self.poll(ticket)

    def poll(self, ticket):
        wanted, arrived = self.waiting[ticket]
        reply = self.pool.owner.acquire(wanted)
        if reply.status == "pending":
            return
        del self.waiting[ticket]
        if reply.status == "refused":
            self.seen[wanted.workspace].retry_after_ms.append(reply.retry_after_ms)
            return
        server = reply.assignment.prefill_server
        began = max(self.now(), self.busy_until[server])
        self.busy_until[server] = began + wanted.prompt_tokens / 20_000
        self.at(self.busy_until[server], self.prefilled, wanted, arrived, self.now(), reply.assignment.decode_server)

    def prefilled(self, wanted, arrived, assigned, decode):
        self.pool.owner.release(release(wanted.ticket, "prefilled", prefill_s=self.now() - assigned))
        self.batch[decode] += 1
        gap = 0.01 * (1 + 0.045 * (self.batch[decode] - 1))
        self.seen[wanted.workspace].first_token_s.append(self.now() + gap - arrived)
        self.at(self.now() + gap * wanted.output_tokens, self.decoded, wanted, decode, gap)

    def decoded(self, wanted, decode, gap):
        self.batch[decode] -= 1
        tokens = wanted.output_tokens
        self.pool.owner.release(release(wanted.ticket, "done", tokens=tokens, decode_s=gap * tokens))
