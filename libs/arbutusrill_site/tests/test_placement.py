"""Replays of load patterns on the placement scheduler in virtual time, without sockets, threads or processes."""

import heapq
import itertools
import random

import pytest
from arbutusrill_bench.placement_speed import LoadedSite, measure_ms
from arbutusrill_wire import messages

from arbutusrill_site import Engine, PlacementScheduler

POLL_S = 0.4
OBJECTIVE_S = 0.9
PATIENCE_S = 2.7
STREAM_S = 2.4


class Replay:
    """Emulates engines and entry VMs: requests poll for a place, hold it for their stream and release it."""

    def __init__(self, seed, decode=8, prefill=2, kv_tokens=29_000):
        self.rng = random.Random(seed)
        self.records = [self._engine(f"d{number}", "decode") for number in range(decode)]
        self.records += [self._engine(f"p{number}", "prefill") for number in range(prefill)]
        self.revision = 1
        capacity = Engine(16, kv_tokens, 0.5)
        self.scheduler = PlacementScheduler(lambda: self.records, lambda _: capacity, lambda: self.revision)
        self.capacity_tokens = kv_tokens
        self.events, self.order = [], itertools.count()
        self.waiting_since = {}  # time of arrival by request ID
        self.served = []  # prompt tokens of the requests that got a place
        self.waits, self.refused, self.wakeups, self.tokens_by_engine = [], 0, 0, {}
        self.peak_tokens = 0
        self.arrived = 0
        self.stream_s = STREAM_S  # mean time for which a place is held
        self.connected = []  # engines to which the entry VM has a connection

    @staticmethod
    def _engine(name, stage):
        return messages.BackendRecord(name, 1, 1, "model", f"10.0.0.1:{name}", "z1", 16, False, stage, [])

    def at(self, moment, step, *args):
        heapq.heappush(self.events, (moment, next(self.order), step, args))

    def arrive(self, now, prompt_tokens=3200, output_tokens=700, **more):
        self.arrived += 1
        late_in_ms = more.pop("late_in_ms", int(OBJECTIVE_S * 1000))
        request = messages.PlaceRequest(
            "vm", 1, str(self.arrived), "model", "", prompt_tokens, prompt_tokens + output_tokens, int(POLL_S * 1000),
            late_in_ms, True, [], int(PATIENCE_S * 1000), connected=self.connected, **more,
        )  # fmt: skip
        self.waiting_since[request.request_id] = now
        self.poll(now, request, now)

    def poll(self, now, request, arrived_at):
        request.patience_ms = max(0, int((arrived_at + PATIENCE_S - now) * 1000))
        ticket, expected_s = self.scheduler.poll(request, now)
        self.dispatch(now)
        reply = self.scheduler.take_reply(ticket)
        if reply is None and expected_s * 1000 > request.patience_ms:
            reply = self.scheduler.refuse(ticket, expected_s, now)
        if reply is None:
            self.at(now + POLL_S, self.end_poll, ticket, arrived_at)
        elif reply.refused:
            self.refused += 1
            self.last_wait_ms = reply.wait_ms
        else:
            self.begin_stream(now, reply, request)

    def end_poll(self, now, ticket, arrived_at):
        reply = self.scheduler.take_reply(ticket)
        if reply is not None:
            return
        self.last_wait_ms = self.scheduler.end_poll(ticket, now).wait_ms
        if now - arrived_at < PATIENCE_S:
            self.at(now + 0.005, self.poll, ticket.request, arrived_at)
        else:
            self.refused += 1

    def dispatch(self, now):
        for ticket in self.scheduler.dispatch(now):
            self.wakeups += 1
            if now < ticket.polled_until:
                self.at(now, self.deliver, ticket)

    def deliver(self, now, ticket):
        reply = self.scheduler.take_reply(ticket)
        if reply is not None:
            self.begin_stream(now, reply, ticket.request)

    def begin_stream(self, now, reply, request):
        arrived_at = self.waiting_since.pop(request.request_id, None)
        if arrived_at is None:  # it has got its place already
            return
        self.waits.append(now - arrived_at)
        self.served.append(request.prompt_tokens)
        used = self.tokens_by_engine.get(reply.decode, 0) + request.prompt_tokens
        self.tokens_by_engine[reply.decode] = used
        self.peak_tokens = max(self.peak_tokens, used)
        self.at(now + self.stream_s * self.rng.uniform(0.7, 1.3), self.end_stream, reply, request)

    def end_stream(self, now, reply, request):
        self.tokens_by_engine[reply.decode] -= request.prompt_tokens
        speeds = [messages.EngineSpeed(reply.decode, STREAM_S, 60)]
        self.scheduler.free(messages.FreePlace(request.vm, 1, reply.place, speeds), now)
        self.dispatch(now)

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            moment, _, step, args = heapq.heappop(self.events)
            step(moment, *args)

    def load(self, rate, start, end, **size):
        moment = start
        while (moment := moment + self.rng.expovariate(rate)) < end:
            self.at(moment, lambda now, size=size: self.arrive(now, **size))


@pytest.mark.parametrize("seed", range(3))
def test_calm_load_waits_for_nothing(seed):
    replay = Replay(seed)
    replay.load(12, 0, 30)
    replay.run(60)
    assert replay.refused == 0
    assert max(replay.waits) < 0.05


@pytest.mark.parametrize("seed", range(3))
def test_burst_wakes_only_the_requests_that_get_a_place(seed):
    # Each release woke all waiting requests, whose number made the leader late when it was needed most.
    replay = Replay(seed)
    replay.load(12, 0, 5)
    replay.load(60, 5, 12)
    replay.run(40)
    assert replay.refused > 20, "the burst is above the capacity"
    assert replay.wakeups <= replay.arrived
    assert len(replay.scheduler) == 0
    assert replay.peak_tokens <= replay.capacity_tokens


@pytest.mark.parametrize("seed", range(3))
def test_short_burst_is_served_again_at_once_afterwards(seed):
    replay = Replay(seed)
    replay.load(60, 0, 5)
    replay.run(9)
    refused, served = replay.refused, len(replay.waits)
    replay.load(10, 9, 19)
    replay.run(40)
    assert replay.refused == refused
    assert len(replay.waits) - served > 60


@pytest.mark.parametrize("seed", range(4))
def test_lasting_overload_serves_the_largest_requests_too(seed):
    # Shortest job first alone served the largest tenth less than half as often as all requests.
    replay = Replay(seed)
    sizes = [(3000, 500), (3000, 700), (2500, 900), (4000, 600)] * 2 + [(6500, 1300)]
    asked, moment = {}, 0.0
    while (moment := moment + replay.rng.expovariate(50)) < 30:
        size = replay.rng.choice(sizes)
        asked[size] = asked.get(size, 0) + 1
        replay.at(moment, replay.arrive, *size)
    replay.run(60)
    served_largest = sum(1 for prompt_tokens in replay.served if prompt_tokens == 6500) / asked[6500, 1300]
    served_all = len(replay.served) / replay.arrived
    assert 0.2 < served_all < 0.8, "the load is above the capacity"
    assert served_largest >= served_all / 2


def test_lost_engines_are_not_used_and_returned_ones_are():
    replay = Replay(1)
    lost = [record for record in replay.records if record.id in ("d0", "d1", "d2")]
    replay.records = [record for record in replay.records if record not in lost]
    replay.revision += 1
    replay.load(8, 0, 5)
    replay.run(5)
    assert not replay.tokens_by_engine.keys() & {"d0", "d1", "d2"}
    replay.records = replay.records + lost
    replay.revision += 1
    replay.load(8, 5, 10)
    replay.run(10)
    assert {"d0", "d1", "d2"} <= replay.tokens_by_engine.keys()


def test_cost_of_a_release_grows_little_with_the_requests_that_wait():
    # A ratio within one run, so that the speed of the machine does not matter.
    few, many = LoadedSite(93, 200), LoadedSite(93, 1200)
    for site in (few, many):
        measure_ms(site.release, 20)
    assert (
        min(measure_ms(many.release, 40) for _ in range(3))
        < 1.5 * min(measure_ms(few.release, 40) for _ in range(3)) + 0.02
    )


def test_streams_go_to_the_engines_to_which_their_vm_has_a_connection():
    # Spread over 40 engines, the streams of one VM used each connection once.
    replay = Replay(1, decode=40, prefill=6)
    replay.connected = ["d31", "d7", "p4"]
    replies = []
    replay.begin_stream = lambda now, reply, request: replies.append(reply)
    for number in range(4):
        replay.at(number * 0.5, replay.arrive, 400, 100)
    replay.run(2.0)
    assert {reply.decode for reply in replies} <= {"d31", "d7"} and {reply.prefill for reply in replies} == {"p4"}


def test_connection_does_not_outweigh_the_load_of_an_engine():
    replay = Replay(1, decode=8)
    replay.connected = ["d0"]
    replay.load(6.0, 0.0, 20.0)
    replay.run(30.0)
    assert replay.peak_tokens <= 0.75 * replay.capacity_tokens and not replay.refused
    replay.connected = ["unknown", "p0"]
    replay.arrive(30.0)
    assert replay.arrived == len(replay.served)


def test_connection_to_an_engine_that_is_avoided_drains_or_serves_another_model_does_not_count():
    for change in ("avoid", "draining", "ordered_stage", "service_name"):
        replay = Replay(1, decode=4)
        replay.connected = ["d3"]
        record = replay.records[3]
        if change == "avoid":
            original = replay.poll
            replay.poll = lambda now, request, at, call=original: (request.avoid.append("d3"), call(now, request, at))
        else:
            setattr(record, change, {"draining": True, "ordered_stage": "prefill", "service_name": "other"}[change])
        replay.arrive(0.0)
        assert replay.tokens_by_engine and "d3" not in replay.tokens_by_engine, change


def test_loaded_engines_are_chosen_by_connection_too():
    # An engine had to be half empty to be preferred: while streams took 60% of the memory, 6 of 7 decodes of a quiet
    # day went to engines to which their VM had no connection.
    replay = Replay(1, decode=45, prefill=12)
    kept, used = [], []  # (end of the stream, VM, engine)

    def poll(now, request, arrived_at):
        request.vm = f"vm{replay.rng.randrange(65)}"
        request.connected = [engine for ended_at, vm, engine in kept if vm == request.vm and ended_at > now - 3.0]
        Replay.poll(replay, now, request, arrived_at)

    def begin_stream(now, reply, request):
        used.append(reply.decode in request.connected if request.connected else None)
        Replay.begin_stream(replay, now, reply, request)

    def end_stream(now, reply, request):
        kept.append((now, request.vm, reply.decode))
        Replay.end_stream(replay, now, reply, request)

    replay.poll, replay.begin_stream, replay.end_stream = poll, begin_stream, end_stream
    replay.load(56.0, 0.0, 20.0, prompt_tokens=5200)
    replay.run(30.0)
    offered = [is_connected for is_connected in used if is_connected is not None]
    assert len(offered) > 300 and offered.count(True) > 0.7 * len(offered)
    assert not replay.refused and max(replay.waits) < 0.1, offered.count(True) / len(offered)
