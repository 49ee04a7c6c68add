"""Replay of a fleet of entry VMs before three servers of a plain service, without network, threads or real time."""

import heapq
import itertools
import random
from collections import Counter
from types import SimpleNamespace

from arbutusrill_base import ManualClock
from arbutusrill_site import FleetReport, SiteView, UseTotals
from arbutusrill_wire import messages

from arbutusrill_gateway._plain_servers import Admission, PlainNeed, PlainServers

SERVICE, SLOTS, QUEUE = "app", 6, 24
POLL_S, NETWORK_S, CHECK_S = 0.25, 0.002, 0.05
DEADLINE_S, TIMEOUT_S = 4.0, 2.0
IDLE_S, ONCE_IDLE_S, KEPT = 8.5, 3.0, 3  # idle time up to which a kept connection is used, and how many are kept


class Server:
    """Works on `SLOTS` requests, queues `QUEUE` more, and is 2.5 times slower for 15% of its time."""

    def __init__(self, rng, work_s, failing, name):
        self.rng, self.work_s, self.failing, self.name = rng, work_s, failing, name
        self.active, self.queue = 0, []

    def work(self, now):
        slow = 2.5 if random.Random(f"{self.name} {int(now / 0.6)}").random() < 0.15 else 1.0
        return self.work_s * self.rng.lognormvariate(-0.11, 0.47) * slow


class Fleet:
    """`rate(now)` is the arrivals a second, `failing(server, now)` the share of sends that break at a server."""

    def __init__(
        self, rate, failing=lambda server, now: 0.0, vms=60, work_s=0.06, objective_s=0.3, seed=1, legacy=False
    ):
        self.rng, self.clock, self.totals = random.Random(seed), ManualClock(), UseTotals()
        self.rate, self.objective_s, self.legacy = rate, objective_s, legacy
        self.servers = [Server(self.rng, work_s, failing, f"{seed} {n}") for n in range(3)]
        self.records = [
            messages.BackendRecord(f"s{n}", 1, 1, SERVICE, f"10.0.0.{n}:1", f"z{n}", SLOTS, False, "", [])
            for n in range(3)
        ]
        self.vms = [self.make_vm(number, vms) for number in range(vms)]
        self.results, self.sends, self.broken_at = Counter(), Counter(), []
        self.events, self.numbers, self.now = [], itertools.count(), 0.0

    def make_vm(self, number, vms):
        view = SiteView(self.clock)
        view.backends_by_id = {record.id: record for record in self.records}
        plain = PlainServers(view, f"z{number % 3}", self.clock, lambda: vms, random.Random(number))
        kept = {record.id: [] for record in self.records}  # times of the last use of the idle connections
        name = f"vm{number}"
        return SimpleNamespace(view=view, plain=plain, own=Counter(), late=[], released_at=-1.0, name=name, kept=kept)

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.numbers), action, arguments))

    def run(self, until_s):
        if not self.events:
            for vm in self.vms:
                self.at(self.rng.uniform(0, POLL_S), self.poll, vm, False)
            self.at(0.5, self.arrive)
        while self.events and self.events[0][0] < until_s:
            self.now, _, action, arguments = heapq.heappop(self.events)
            self.clock.advance(self.now - self.clock.monotonic())
            action(*arguments)
        return self.results

    def poll(self, vm, has_reported=True):
        if has_reported:
            uses = self.totals.of_others(vm.name)
            vm.view.other_vms_requests_by_backend = {use.id: use.requests for use in uses}
            loads = {load.name: load for load in self.totals.loads_of_others(vm.name)}
            vm.view.fleet = FleetReport({use.id: use for use in uses if use.observing_vms}, loads, self.now)
        uses = vm.plain.use_messages({id_: (count, 0) for id_, count in vm.own.items() if count})
        self.totals.replace(vm.name, uses, vm.plain.load_messages())
        self.at(self.now + POLL_S, self.poll, vm)

    def arrive(self):
        self.at(self.now + self.rng.expovariate(max(1e-3, self.rate(self.now))), self.arrive)
        request = SimpleNamespace(
            began=self.now, once_only=self.rng.random() < 0.7, returned=False, limit=0.0, held_s=0.0
        )
        self.results["offered"] += 1
        self.enter(request)

    def enter(self, request):
        vm = self.rng.choice(self.vms)
        request.limit = min(self.now + TIMEOUT_S, request.began + DEADLINE_S)
        is_late = vm.plain.record_arrival(SERVICE, "r", DEADLINE_S - (self.now - request.began))
        state = vm.plain.state(SERVICE, self.records, vm.own)
        admission = Admission.SEND if self.legacy else vm.plain.admission(state, self.objective_s, is_late)
        if admission is Admission.SEND:
            self.send(vm, request)
        elif admission is Admission.WAIT:
            vm.plain.add_waiting(SERVICE, 1)
            vm.late.append(request)
            self.check_late(vm, request, self.now)
        else:
            self.turn_away(vm, request)

    def check_late(self, vm, request, waits_since):
        if request not in vm.late:
            return None
        state = vm.plain.state(SERVICE, self.records, vm.own)
        rate = state.spare_per_s()
        reserve_s = state.answer_reserve_s(self.objective_s, request.limit - waits_since)
        is_last = request.limit - self.now <= reserve_s
        has_turn = vm.late[0] is request and rate > 0 and (self.now - vm.released_at) * rate >= 1
        if not (has_turn or is_last):
            return self.at(self.now + CHECK_S, self.check_late, vm, request, waits_since)
        vm.late.remove(request)
        request.held_s += self.now - waits_since
        vm.released_at = self.now
        vm.plain.add_waiting(SERVICE, -1)
        has_room = has_turn or state.has_room_at_last(self.objective_s)
        self.send(vm, request) if has_room else self.turn_away(vm, request)
        return None

    def turn_away(self, vm, request):
        if request.returned:
            self.end_unserved("refused", request)
            return
        state = vm.plain.state(SERVICE, self.records, vm.own)
        left_s = DEADLINE_S - (self.now - request.began)
        request.returned = True
        self.at(self.now + self.rng.uniform(*state.returns_within_s(self.objective_s, left_s)), self.enter, request)

    def end_unserved(self, ending, request):
        self.results[ending] += 1
        self.results["held in vain"] += request.held_s > 0.75 * TIMEOUT_S

    def send(self, vm, request):
        state = vm.plain.state(SERVICE, self.records, vm.own)
        need = PlainNeed(request.once_only, self.objective_s)
        limit_s = ONCE_IDLE_S if request.once_only else IDLE_S
        connected = {id_ for id_, used in vm.kept.items() if used and self.now - used[-1] <= limit_s}
        chosen = None if self.legacy else vm.plain.choose(state, need, not request.once_only, connected)
        if chosen is None:
            # As `BackendPool.pick` does: by the expected time, other data centres 4 ms behind.
            cost_by_id = {
                s.id: 0.06 * (1 + 0.1 * s.in_progress + max(0, s.in_progress + 1 - SLOTS) / SLOTS)
                + (not s.is_near) * 0.004
                - (s.id in connected) * 0.015
                for s in state.servers
            }
            chosen = min(cost_by_id, key=cost_by_id.get)
        number = int(chosen[1:])
        load = next(server for server in state.servers if server.id == chosen)
        vm.plain.record_sent(self.records[number])
        vm.own[chosen] += 1
        self.sends[chosen] += 1
        if chosen in connected:
            vm.kept[chosen].pop()
        else:
            self.results["new connections"] += 1
        self.at(self.now + NETWORK_S, self.reach, vm, request, number, load.in_progress, self.now)

    def reach(self, vm, request, number, in_progress, sent_at):
        server, record = self.servers[number], self.records[number]
        if self.rng.random() < server.failing(number, self.now):
            vm.own[record.id] -= 1
            vm.plain.record_failure(record)
            self.broken_at.append(self.now)
            self.results["broken"] += 1
            if not request.once_only and not request.returned:
                request.returned = True
                self.enter(request)
        elif server.active < SLOTS:
            server.active += 1
            self.at(self.now + server.work(self.now), self.finish, vm, request, number, in_progress, sent_at)
        elif len(server.queue) < QUEUE:
            server.queue.append((vm, request, number, in_progress, sent_at))
        else:
            vm.own[record.id] -= 1
            vm.plain.record_refusal(record)
            self.results["turned away by servers"] += 1
            self.turn_away(vm, request)

    def finish(self, vm, request, number, in_progress, sent_at):
        server, record = self.servers[number], self.records[number]
        vm.own[record.id] -= 1
        if len(vm.kept[record.id]) + vm.own[record.id] < KEPT:
            vm.kept[record.id].append(self.now)
        vm.plain.record_answer(record, self.now - sent_at, in_progress, False)
        if self.now > request.limit:
            self.end_unserved("timed out", request)
        else:
            self.results["in time" if self.now - request.began <= self.objective_s else "late"] += 1
        if server.queue:
            self.at(self.now + server.work(self.now), self.finish, *server.queue.pop(0))
        else:
            server.active -= 1
