"""Tests of the stage balancer: orders of deposed leaders, and superfluous orders."""

from arbutusrill_base import ManualClock
from arbutusrill_wire import messages

from arbutusrill_site import EngineRegistry, EngineStatistics, OrderAnswer, StageBalancer, StageOrderTransport


class Orders(StageOrderTransport):
    def __init__(self, answer=OrderAnswer.ACCEPTED):
        self.answer = answer
        self.sent = []

    def switch(self, record, stage, holder, fence):
        self.sent.append((record.id, stage, holder, fence))
        return self.answer


class Work(EngineStatistics):
    def __init__(self, fraction=0.2, speed_by_id=None):
        self.fraction = fraction
        self.speed_by_id = speed_by_id or {}

    def prefill_fraction(self, service):
        return self.fraction

    def relative_speed(self, backend, stage):
        return self.speed_by_id.get(backend, 1.0)


class Engines(EngineRegistry):
    def __init__(self, records, durable=True):
        self.backends = records
        self.durable = durable

    def records(self):
        return self.backends

    def record_stage_order(self, backend, stage):
        for record in self.backends:
            if record.id == backend:
                record.ordered_stage = stage
        return self.durable


def engines(prefill, decode):
    names = [(f"p{number}", "prefill") for number in range(prefill)]
    names += [(f"d{number}", "decode") for number in range(decode)]
    return [messages.BackendRecord(name, 1, 1, "model", "", "z1", 8, False, stage, []) for name, stage in names]


def make_balancer(orders, records, work=None):
    clock = ManualClock()
    register = records if isinstance(records, EngineRegistry) else Engines(records)
    return clock, StageBalancer("vm-1", clock, 3.0, orders, register, work or Work())


def tick_for(stages, clock, seconds, term=7, step_s=0.5):
    """Calls the balancer every `step_s` seconds, as the control role does."""
    for _ in range(round(seconds / step_s)):
        clock.advance(step_s)
        stages.tick(term)


def test_new_leader_waits_for_the_order_lease_before_its_first_order():
    orders = Orders()
    clock, stages = make_balancer(orders, engines(4, 5))
    stages.tick(7)
    clock.advance(2.9)
    stages.tick(7)
    assert not orders.sent
    tick_for(stages, clock, 8.5)
    assert orders.sent[0][1:3] == ("decode", "vm-1")


def test_fencing_tokens_increase_with_term_and_order():
    orders, records = Orders(), engines(5, 4)
    clock, stages = make_balancer(orders, records)
    for term in (7, 8):
        stages.tick(term)
        for _ in range(4):
            tick_for(stages, clock, 10, term)
            for record in records:  # the engines carry out their orders
                record.stage, record.ordered_stage = record.ordered_stage or record.stage, ""
    fencing_tokens = [token for *_, token in orders.sent]
    assert fencing_tokens == sorted(set(fencing_tokens)) and len(fencing_tokens) >= 2


def test_fenced_leader_sends_no_further_order():
    orders = Orders(OrderAnswer.FENCED)
    clock, stages = make_balancer(orders, engines(4, 5))
    stages.tick(7)
    tick_for(stages, clock, 50)
    assert len(orders.sent) == 1


def test_fastest_surplus_prefill_engine_is_switched():
    orders, records = Orders(), engines(4, 5)
    clock, stages = make_balancer(orders, records, Work(0.1, {"p2": 2.0}))
    stages.tick(7)
    tick_for(stages, clock, 12)
    assert orders.sent[0][0] == "p2"
    assert [record.id for record in records if record.ordered_stage] == ["p2"]


def test_no_order_for_services_that_are_balanced_small_or_of_unknown_prefill_fraction():
    for records, work in ((engines(2, 7), Work(0.2)), (engines(2, 1), Work()), (engines(4, 5), Work(None))):
        orders = Orders()
        clock, stages = make_balancer(orders, records, work)
        stages.tick(7)
        tick_for(stages, clock, 30)
        assert not orders.sent


def test_service_without_requests_is_balanced_for_the_assumed_prefill_fraction():
    # A first switch during the first burst of requests took an engine out of use for six seconds.
    class NoSpeedKnown(Work):
        def relative_speed(self, backend, stage):
            return None

    orders = Orders()
    clock, stages = make_balancer(orders, engines(4, 5), NoSpeedKnown(None))
    stages.tick(7)
    for _ in range(7):
        clock.advance(2)
        stages.tick(7)
    assert [order[1] for order in orders.sent] == ["decode", "decode"]


def test_surplus_prefill_engine_is_switched_before_any_stream_has_ended():
    class PartlyMeasured(Work):
        def relative_speed(self, backend, stage):
            return 1.0 if stage == "prefill" else None

    orders = Orders()
    clock, stages = make_balancer(orders, engines(4, 5), PartlyMeasured())
    stages.tick(7)
    tick_for(stages, clock, 12)
    assert [order[1] for order in orders.sent] == ["decode"]
    assert orders.sent[0][0].startswith("p")


def test_prefill_engine_of_unknown_speed_counts_as_slowest_and_is_not_switched():
    class PartlyMeasured(Work):
        def relative_speed(self, backend, stage):
            return {"p0": 2.0, "p1": 1.0, "p2": 1.0}.get(backend)

    orders = Orders()
    clock, stages = make_balancer(orders, engines(4, 5), PartlyMeasured(0.15))
    stages.tick(7)
    tick_for(stages, clock, 14)
    assert [order[0] for order in orders.sent] == ["p0"]


def test_no_decode_engine_is_switched_before_decode_speeds_are_known():
    class PartlyMeasured(Work):
        def relative_speed(self, backend, stage):
            return 1.0 if stage == "prefill" else None

    orders = Orders()
    clock, stages = make_balancer(orders, engines(1, 8), PartlyMeasured(0.9))
    stages.tick(7)
    tick_for(stages, clock, 30)
    assert not orders.sent


def test_new_leader_counts_pending_orders_of_the_previous_one():
    records = engines(3, 6)
    records[0].ordered_stage = "decode"
    orders = Orders()
    clock, stages = make_balancer(orders, records, Work(0.2))
    stages.tick(8)
    tick_for(stages, clock, 13, term=8)
    assert not orders.sent


def test_order_that_cannot_be_committed_is_not_sent():
    # Otherwise the next leader would use an engine that is about to change its stage.
    register, orders = Engines(engines(4, 5), durable=False), Orders()
    clock, stages = make_balancer(orders, register)
    stages.tick(7)
    tick_for(stages, clock, 12)
    assert not orders.sent
    assert not any(record.ordered_stage for record in register.records())


def test_order_without_effect_times_out_and_a_refused_one_is_removed_at_once():
    records = engines(4, 5)
    refusing = Orders(OrderAnswer.REFUSED)
    clock, stages = make_balancer(refusing, records)
    stages.tick(7)
    tick_for(stages, clock, 12)
    assert refusing.sent
    assert not any(record.ordered_stage for record in records)
    records[0].ordered_stage = "decode"
    clock, stages = make_balancer(Orders(), records, Work(None))
    for _ in range(4):
        stages.tick(8)
        clock.advance(10)
    assert not records[0].ordered_stage


def test_bursts_shorter_than_a_switch_change_no_stage():
    # During a burst of 5 s, two of six engines were switched in opposite directions, which took each of them out of use
    # for 6 to 15 s: first the prompts waited, then the places on decode engines.
    orders, work = Orders(), Work(0.2)
    clock, stages = make_balancer(orders, engines(2, 4), work)
    stages.tick(7)
    tick_for(stages, clock, 6)
    for _ in range(10):
        for fraction in (0.05, 0.9):
            work.fraction = fraction
            tick_for(stages, clock, 3)
    assert not orders.sent


def test_lasting_imbalance_switches_one_engine_at_a_time_and_is_not_reversed_soon():
    orders, work, records = Orders(), Work(0.2), engines(2, 4)
    clock, stages = make_balancer(orders, records, work)
    stages.tick(7)
    tick_for(stages, clock, 6)
    work.fraction = 0.9
    tick_for(stages, clock, 12)
    assert [order[1] for order in orders.sent] == ["prefill"]
    for record in records:
        record.stage, record.ordered_stage = record.ordered_stage or record.stage, ""
    work.fraction = 0.05
    tick_for(stages, clock, 10)
    assert [order[1] for order in orders.sent] == ["prefill"]
    tick_for(stages, clock, 10)
    assert [order[1] for order in orders.sent] == ["prefill", "decode"]
