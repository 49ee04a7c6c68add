"""Guards against orders by a leader of the past, and against too many of them."""

from arbutusrill_base import ManualClock
from arbutusrill_wire import messages

from arbutusrill_site import EngineRegister, EngineWork, OrderAnswer, StageKeeper, StageOrders


class Orders(StageOrders):
    def __init__(self, answer=OrderAnswer.ACCEPTED):
        self.answer = answer
        self.given = []

    def switch(self, record, stage, holder, fence):
        self.given.append((record.id, stage, holder, fence))
        return self.answer


class Work(EngineWork):
    def __init__(self, part=0.2, speed_by_id=None):
        self.part = part
        self.speed_by_id = speed_by_id or {}

    def prefill_part(self, service):
        return self.part

    def relative_speed(self, backend, stage):
        return self.speed_by_id.get(backend, 1.0)


class Engines(EngineRegister):
    def __init__(self, records, durable=True):
        self.listed = records
        self.durable = durable

    def records(self):
        return self.listed

    def note_order(self, backend, stage):
        for record in self.listed:
            if record.id == backend:
                record.ordered_stage = stage
        return self.durable


def engines(prefill, decode):
    names = [(f"p{number}", "prefill") for number in range(prefill)]
    names += [(f"d{number}", "decode") for number in range(decode)]
    return [messages.BackendRecord(name, 1, 1, "model", "", "z1", 8, False, stage, []) for name, stage in names]


def keeper(orders, records, work=None):
    clock = ManualClock()
    register = records if isinstance(records, EngineRegister) else Engines(records)
    return clock, StageKeeper("vm-1", clock, 3.0, orders, register, work or Work())


def test_new_leader_waits_for_the_lease_before_its_first_order():
    orders = Orders()
    clock, stages = keeper(orders, engines(4, 5))
    stages.tick(7)
    clock.advance(2.9)
    stages.tick(7)
    assert not orders.given
    clock.advance(2.0)
    stages.tick(7)
    assert orders.given[0][1:3] == ("decode", "vm-1")


def test_fencing_tokens_rise_with_the_term_and_the_order():
    orders = Orders()
    clock, stages = keeper(orders, engines(4, 5))
    for term in (7, 8):
        stages.tick(term)
        for _ in range(4):
            clock.advance(10)
            stages.tick(term)
    fences = [fence for *_, fence in orders.given]
    assert fences == sorted(set(fences)) and len(fences) >= 2


def test_fenced_leader_gives_no_further_order():
    orders = Orders(OrderAnswer.FENCED)
    clock, stages = keeper(orders, engines(4, 5))
    stages.tick(7)
    for _ in range(5):
        clock.advance(10)
        stages.tick(7)
    assert len(orders.given) == 1


def test_fastest_engine_that_can_be_spared_is_switched():
    orders, records = Orders(), engines(4, 5)
    clock, stages = keeper(orders, records, Work(0.1, {"p2": 2.0}))
    stages.tick(7)
    clock.advance(10)
    stages.tick(7)
    assert orders.given[0][0] == "p2"
    assert [record.id for record in records if record.ordered_stage] == ["p2"]


def test_balanced_small_and_unlearned_services_get_no_order():
    for records, work in ((engines(2, 7), Work(0.2)), (engines(2, 1), Work()), (engines(4, 5), Work(None))):
        orders = Orders()
        clock, stages = keeper(orders, records, work)
        stages.tick(7)
        clock.advance(10)
        stages.tick(7)
        assert not orders.given


def test_unused_service_is_brought_near_the_usual_balance():
    # The first switch came with the first requests and cost the service an engine for six seconds of its first burst.
    class Unused(Work):
        def relative_speed(self, backend, stage):
            return None

    orders = Orders()
    clock, stages = keeper(orders, engines(4, 5), Unused(None))
    stages.tick(7)
    for _ in range(7):
        clock.advance(2)
        stages.tick(7)
    assert [given[1] for given in orders.given] == ["decode", "decode"]


def test_prefill_engine_is_spared_before_any_stream_has_ended():
    class Young(Work):
        def relative_speed(self, backend, stage):
            return 1.0 if stage == "prefill" else None

    orders = Orders()
    clock, stages = keeper(orders, engines(4, 5), Young())
    stages.tick(7)
    clock.advance(5)
    stages.tick(7)
    clock.advance(1)
    stages.tick(7)
    assert [given[1] for given in orders.given] == ["decode"]
    assert orders.given[0][0].startswith("p")


def test_prefill_engine_of_unknown_speed_counts_as_slow_and_is_not_switched():
    class Young(Work):
        def relative_speed(self, backend, stage):
            return {"p0": 2.0, "p1": 1.0, "p2": 1.0}.get(backend)

    orders = Orders()
    clock, stages = keeper(orders, engines(4, 5), Young(0.15))
    stages.tick(7)
    for _ in range(4):
        clock.advance(3)
        stages.tick(7)
    assert [given[0] for given in orders.given] == ["p0"]


def test_no_decode_engine_is_switched_before_its_speed_is_known():
    class Young(Work):
        def relative_speed(self, backend, stage):
            return 1.0 if stage == "prefill" else None

    orders = Orders()
    clock, stages = keeper(orders, engines(1, 8), Young(0.9))
    stages.tick(7)
    clock.advance(10)
    stages.tick(7)
    assert not orders.given


def test_new_leader_counts_the_orders_of_the_one_before():
    records = engines(3, 6)
    records[0].ordered_stage = "decode"
    orders = Orders()
    clock, stages = keeper(orders, records, Work(0.2))
    stages.tick(8)
    clock.advance(10)
    stages.tick(8)
    assert not orders.given


def test_order_that_cannot_be_written_down_is_not_given():
    # The next leader would use an engine that is about to change its stage.
    register, orders = Engines(engines(4, 5), durable=False), Orders()
    clock, stages = keeper(orders, register)
    stages.tick(7)
    clock.advance(10)
    stages.tick(7)
    assert not orders.given
    assert not any(record.ordered_stage for record in register.records())


def test_order_without_effect_ends_after_a_while_and_a_refused_one_at_once():
    records = engines(4, 5)
    clock, stages = keeper(Orders(OrderAnswer.REFUSED), records)
    stages.tick(7)
    clock.advance(10)
    stages.tick(7)
    assert not any(record.ordered_stage for record in records)
    records[0].ordered_stage = "decode"
    clock, stages = keeper(Orders(), records, Work(None))
    for _ in range(4):
        stages.tick(8)
        clock.advance(10)
    assert not records[0].ordered_stage
