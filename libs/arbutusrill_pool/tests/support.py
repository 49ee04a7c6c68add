"""Test helpers: messages with defaults, a fake engine client, and a pool with a manual clock."""

from __future__ import annotations

from arbutusrill_base import ManualClock
from arbutusrill_wire import messages

from arbutusrill_pool import EngineCallQueue, EngineClient, OrderAnswer, PoolOwner
from arbutusrill_pool._admission import DEFAULT_VALUES


def announcement(name, role="decode", **fields):
    values = {
        "incarnation": 1,
        "address": f"http://{name}",
        "pools": ["m"],
        "data_centre": "dc1",
        "slots": 20,
        "link_bytes_per_s": 4e9,
        "prefill_tokens_per_s": 20_000.0,
        "token_gap_s": 0.01,
        "kv_bytes_per_token": 1000,
        **fields,
    }
    return messages.Announcement(name, role=role, **values)


def request(ticket, workspace="a", **fields):
    values = {
        "vm": "vm1",
        "incarnation": 7,
        "latency_class": "interactive",
        "deadline_ms": 5000,
        "prompt_tokens": 2000,
        "output_tokens": 100,
        "data_centre": "dc1",
        "wait_ms": 0,
        **fields,
    }
    return messages.AcquireRequest("m", ticket, workspace=workspace, **values)


def release(ticket, outcome="done", **timings):
    return messages.ReleaseRequest("m", ticket, outcome, **timings)


def held_ticket(ticket, reply, stage="decode", workspace="a"):
    return messages.HeldTicket(ticket, "m", reply.assignment, workspace, stage)


class FakeEngines(EngineClient):
    """Records cancellations and orders; `requests_by_address` holds the requests of each address."""

    def __init__(self):
        self.acknowledges = True
        self.cancelled = []
        self.requests_by_address = {}
        self.orders = []
        self.order_answers = []

    def cancel(self, address, request_id):
        self.cancelled.append((address, request_id))
        return self.acknowledges

    def requests(self, address):
        return self.requests_by_address.get(address, [])

    def order(self, address, order):
        self.orders.append((address, order))
        return self.order_answers.pop(0) if self.order_answers else OrderAnswer(200, "done")


def run_now(function):
    function()
    return True


class PoolFixture:
    """A `PoolOwner` with a manual clock, fake engines and servers that announce themselves."""

    def __init__(self, *announcements, epoch=1, values=(), dead=(), lease=True):
        self.clock = ManualClock(100.0)
        self.values = {**DEFAULT_VALUES, **dict(values)}
        self.dead = set(dead)
        self.lease = lease
        self.engines = FakeEngines()
        self.call_queue = EngineCallQueue(self.engines, self.clock, run_now)
        self.owner = PoolOwner(
            "m",
            epoch,
            self.clock,
            lambda name: self.values[name],
            lambda: self.lease,
            self.call_queue,
            lambda vm, incarnation: (vm, incarnation) in self.dead,
            seed=1,
        )
        self.announcements = list(announcements)
        self.announce()

    def announce(self):
        for each in self.announcements:
            self.owner.announce(each)

    def pass_time(self, seconds, tickets=(), announcing=True, step=0.1):
        """Advances the clock in steps of `step` seconds, each with announcements, renewals of `tickets` and ticks."""
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
            if announcing:
                self.announce()
            if tickets:
                self.owner.renew(messages.RenewRequest("vm1", 7, list(tickets)))
            self.owner.tick()
            self.call_queue.tick()

    def acquire(self, ticket, workspace="a", **fields):
        return self.owner.acquire(request(ticket, workspace, **fields))

    def assigned(self):
        return {server.announcement.id: server.assigned for server in self.owner.status().servers}


def small_pool(**options):
    return PoolFixture(
        announcement("p1", "prefill"),
        announcement("p2", "prefill"),
        announcement("d1", slots=2),
        announcement("d2", slots=2),
        **options,
    )
