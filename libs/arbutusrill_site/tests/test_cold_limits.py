"""Replays of load on cold servers: many VMs, with and without a leader, whose number changes."""

import random
from types import SimpleNamespace

import pytest
from arbutusrill_wire import messages

from arbutusrill_site import ColdRules, ColdServers, Engine, LocalLimit, PlacementScheduler, Service
from arbutusrill_site._cold_limits import GrantLimit, local_share

RULES = ColdRules(1.5, 5)
ENGINES = Service("model", Engine(64, 46_383, 0.5), 3.0, 16.0)
PLAIN = Service("desk", None, 3.0, 16.0)
BOUND = 29


def server(id_="e", cold_ms=3000, started_ms=1, data_centre="z1", stage="decode"):
    return messages.BackendRecord(
        id_, started_ms, 1, "model", f"10.0.0.1:{id_}", data_centre, 64, False, stage, [], cold_ms=cold_ms
    )


def most_in_a_second(times):
    times = sorted(times)
    return max((sum(start <= time < start + 1.0 for time in times) for start in times), default=0)


class Vm:
    """An entry VM that sends whenever it may; `others` returns the VMs that it knows."""

    def __init__(self, name, others, servers, has_leader=lambda: True):
        self.limit = LocalLimit(RULES, servers, name, others, lambda: 0.0 if has_leader() else 60.0)

    def send(self, record, service, now):
        may = self.limit.permits(record, service, now)
        if may:
            self.limit.record(record, service, now)
        return may


@pytest.mark.parametrize("service", [PLAIN, ENGINES])
@pytest.mark.parametrize("count", [1, 2, 7, 30, 64, 300])
@pytest.mark.parametrize("seed", range(3))
def test_vms_without_a_leader_stay_within_the_bound(service, count, seed):
    # Each of 64 VMs sent to the returned server that its own view ranked first.
    rng = random.Random(seed)
    record, servers = server(), ColdServers()
    servers.learn(record, 0.0)
    names = [f"vm-{number}" for number in range(count)]
    vms = [Vm(name, lambda: names, servers) for name in names]
    sent = []
    for step in range(300):
        now = step / 100
        sent += [now for vm in rng.sample(vms, min(count, 20)) if vm.send(record, service, now)]
    assert 0 < most_in_a_second(sent) <= BOUND // 2


@pytest.mark.parametrize("seed", range(5))
def test_vms_that_know_different_vms_stay_within_the_bound(seed):
    # A VM that is cut off counts by the list from before, the others by the one without it; then as many are added.
    rng = random.Random(seed)
    record, servers = server(), ColdServers()
    servers.learn(record, 0.0)
    before = [f"vm-{number}" for number in range(64)]
    cut = set(rng.sample(before, 14))
    after = [name for name in before if name not in cut]
    added = [*after, *(f"new-{number}" for number in range(12))]
    vms = [Vm(name, lambda name=name: before if name in cut else after, servers) for name in before]
    sent = []
    for step in range(300):
        now = step / 100
        sent += [now for vm in vms if vm.send(record, PLAIN, now)]
    late = [Vm(name, lambda: added, servers) for name in added[50:]]
    for step in range(100):
        sent += [1.0 + step / 100 for vm in late if vm.send(record, PLAIN, 1.0 + step / 100)]
    assert 0 < most_in_a_second(sent) <= BOUND


def test_shares_add_up_to_the_bound_of_one_list():
    for count in (1, 3, 14, 15, 64, 500):
        names = [f"vm-{number}" for number in range(count)]
        assert 0 < sum(local_share(BOUND, "e", name, names) for name in names) <= BOUND // 2
    assert local_share(1, "e", "a", ["a"]) == 0


def test_warm_server_is_not_limited_until_it_turns_cold_in_the_middle():
    record, servers = server(cold_ms=0), ColdServers()
    vm = Vm("a", lambda: ["a", "b"], servers)
    assert all(vm.send(record, PLAIN, step / 1000) for step in range(200))
    assert servers.learn(server(cold_ms=3000), 0.2)
    # What was sent in the second before counts.
    assert not vm.send(record, PLAIN, 0.3)
    assert vm.send(record, PLAIN, 1.5) and vm.send(record, PLAIN, 3.3)
    assert all(vm.send(record, PLAIN, 3.3 + step / 1000) for step in range(200))


def test_vm_whose_view_is_old_counts_every_server_as_cold():
    # Without a leader, nobody tells it that a server has become cold.
    record, known = server(cold_ms=0), [True]
    vm = Vm("a", lambda: [f"vm-{number}" for number in range(6)], ColdServers(), lambda: known[0])
    assert all(vm.send(record, PLAIN, step / 1000) for step in range(50))
    known[0] = False
    assert sum(vm.send(record, PLAIN, 5.0 + step / 1000) for step in range(50)) == BOUND // 2 // 7


def test_service_without_a_limit_and_deployment_without_rules_are_not_limited():
    vm = Vm("a", lambda: [], ColdServers(), lambda: False)
    assert all(vm.send(server(), Service("desk"), 0.0) for _ in range(500))
    assert ColdRules.of(None, 5) is None


def test_servers_of_a_data_centre_that_is_taken_back_count_as_cold_for_a_while():
    record, servers = server(cold_ms=0), ColdServers()
    servers.take_back(["z1"], 10.0)
    assert servers.is_cold(record, 3.0, 12.9) and not servers.is_cold(record, 3.0, 13.1)
    assert not servers.is_cold(server(data_centre="z2", cold_ms=0), 3.0, 11.0)


def test_cold_time_belongs_to_one_start_and_is_never_shortened():
    servers = ColdServers()
    assert servers.learn(server(cold_ms=3000, started_ms=2), 0.0)
    assert not servers.learn(server(cold_ms=9000, started_ms=1), 0.1)  # a late announcement of the start before
    assert not servers.learn(server(cold_ms=500, started_ms=2), 0.2)
    assert servers.is_cold(server(started_ms=2), 3.0, 2.9) and not servers.is_cold(server(started_ms=1), 3.0, 1.0)
    assert servers.learn(server(cold_ms=3000, started_ms=2), 2.0)  # cold again
    assert servers.is_cold(server(started_ms=2), 3.0, 4.9)
    servers.keep([], 6.0)
    assert not servers.is_cold(server(started_ms=2), 3.0, 4.9)


def grants_of(cold_servers, seconds=3.0, per_s=100):
    """Returns the times at which a leader places requests on each of two returned and eight busy engines."""
    limit = GrantLimit(RULES, cold_servers, lambda name: ENGINES)
    records = [server(f"d{number}", stage="decode", cold_ms=0) for number in range(10)]
    records += [server(f"p{number}", stage="prefill", cold_ms=0) for number in range(4)]
    scheduler = PlacementScheduler(lambda: records, lambda _: ENGINES.engine, lambda: 1, limit)
    for number in range(8 * 40):  # the busy ones, so that the returned ones rank first
        held = messages.HeldPlace(number + 1, f"d{number % 8 + 2}", 900, "model")
        scheduler.poll(messages.PlaceRequest("vm", 1, f"w{number}", "model", "", 1, 2, 0), 0.0)
        scheduler.reconcile(f"holder-{number}", 1, [held], 0.0)
    times = {}
    for step in range(int(seconds * per_s)):
        now = 0.01 + step / per_s
        request = messages.PlaceRequest("vm", 1, f"r{step}", "model", "", 200, 250, 1000, content=step)
        ticket, _ = scheduler.poll(request, now)
        scheduler.dispatch(now)
        granted = scheduler.take_reply(ticket)
        if granted is not None:
            times.setdefault(granted.decode, []).append(now)
            times.setdefault(granted.prefill, []).append(now)
            scheduler.free(
                SimpleNamespace(vm="vm", incarnation=1, place=granted.place, speeds=[], unresponsive=[], broken=[]), now
            )
        scheduler._waiting_queue.remove(ticket) if granted is None else None
    return times


def test_leader_grants_few_places_on_engines_that_come_back_cold():
    cold = ColdServers()
    for record in (server("d0", cold_ms=3000), server("d1", cold_ms=3000), server("p0", cold_ms=3000)):
        cold.learn(record, 0.0)
    times = grants_of(cold, seconds=2.9)
    assert max(most_in_a_second(times.get(engine, [])) for engine in ("d0", "d1", "p0")) <= BOUND // 4
    assert times["d0"] and sum(map(len, times.values())) > 200  # the others go on
    assert most_in_a_second(grants_of(ColdServers())["d0"]) > BOUND


def test_new_leader_counts_all_engines_as_cold_until_they_have_announced_themselves():
    cold = ColdServers()
    cold.begin_term(0.0)
    times = grants_of(cold, seconds=1.5)
    assert max(most_in_a_second(row) for engine, row in times.items() if engine) <= BOUND // 4
