"""Guards against orders that are lost, decided by an old owner, or sent too early to servers without fencing."""

from arbutusrill_wire import messages

from arbutusrill_pool import OrderAnswer, OrderRunner
from arbutusrill_pool.tests.support import announcement, release, run_now, small_pool


def order(name, server="d1", action="load_model", state="released", argument="{}"):
    return messages.PutOrder(name, server, "m", action, argument, state)


class RunnerFixture:
    """An `OrderRunner` on a small pool; records the reported states."""

    def __init__(self, epoch=1, checks_fencing=True):
        self.pool = small_pool()
        self.pool.announcements[2] = announcement("d1", slots=2, checks_fencing=checks_fencing)
        self.pool.announce()
        self.reported = []
        self.accepts = True
        self.runner = OrderRunner(
            epoch, self.pool.clock, self.pool.owner, self.pool.engines, self.report, run_now, lambda: self.pool.lease
        )

    def report(self, record):
        self.reported.append((record.id, record.state))
        return self.accepts

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.5)):
            self.pool.pass_time(0.5, step=0.5)
            self.runner.tick()

    def sent(self):
        return [(body["id"], body["fencing"]) for _, body in self.pool.engines.orders]


def test_order_is_sent_once_with_its_fencing_number_and_reported():
    fixture = RunnerFixture(epoch=3)
    fixture.runner.reconcile([order("o1"), order("o2")])
    fixture.pass_time(3)
    assert fixture.sent() == [("o1", (3 << 20) + 1), ("o2", (3 << 20) + 2)]
    assert fixture.reported == [("o1", "running"), ("o1", "done"), ("o2", "running"), ("o2", "done")]


def test_finished_orders_are_not_sent():
    fixture = RunnerFixture()
    fixture.runner.reconcile([order("o1", state="done"), order("o2", state="failed")])
    fixture.pass_time(2)
    assert fixture.sent() == []


def test_order_that_a_crashed_owner_left_running_is_sent_again():
    fixture = RunnerFixture(epoch=2)
    fixture.runner.reconcile([order("o1", state="running")])
    fixture.pass_time(1)
    assert fixture.sent() == [("o1", (2 << 20) + 1)]


def test_server_without_fencing_waits_until_no_earlier_order_can_be_running():
    fixture = RunnerFixture(epoch=2, checks_fencing=False)
    fixture.runner.reconcile([order("o1")])
    fixture.pass_time(11.0)  # lease 1.2 s + drift 0.2 s + longest order 10 s, in steps of 0.5 s
    assert fixture.sent() == []
    fixture.pass_time(1)
    assert len(fixture.sent()) == 1


def test_order_without_an_answer_is_sent_again_with_the_same_fencing_number():
    fixture = RunnerFixture()
    fixture.pool.engines.order_answers = [OrderAnswer(0, "timeout"), OrderAnswer(503), OrderAnswer(200)]
    fixture.runner.reconcile([order("o1")])
    fixture.pass_time(6)
    assert len(fixture.sent()) == 3
    assert len(set(fixture.sent())) == 1
    assert fixture.reported[-1] == ("o1", "done")


def test_refused_order_fails():
    fixture = RunnerFixture()
    fixture.pool.engines.order_answers = [OrderAnswer(400, "unknown_action")]
    fixture.runner.reconcile([order("o1")])
    fixture.pass_time(2)
    assert fixture.reported[-1] == ("o1", "failed")


def test_order_with_an_invalid_argument_fails_without_being_sent():
    fixture = RunnerFixture()
    fixture.runner.reconcile([order("o1", argument="{")])
    fixture.pass_time(2)
    assert fixture.sent() == []
    assert fixture.reported == [("o1", "failed")]


def test_earlier_owner_does_not_decide_the_outcome_of_an_order():
    fixture = RunnerFixture()
    fixture.pool.engines.order_answers = [OrderAnswer(409, "stale_fencing")] * 3
    fixture.runner.reconcile([order("o1")])
    fixture.pass_time(3)
    assert ("o1", "failed") not in fixture.reported


def test_final_state_is_reported_until_it_is_recorded():
    fixture = RunnerFixture()
    fixture.accepts = False
    fixture.runner.reconcile([order("o1")])
    fixture.pass_time(4)
    assert len(fixture.sent()) == 1
    assert fixture.reported.count(("o1", "done")) > 1


def test_nothing_is_sent_without_the_lease():
    fixture = RunnerFixture()
    fixture.pool.lease = False
    fixture.runner.reconcile([order("o1")])
    fixture.pass_time(2)
    assert fixture.sent() == []


def test_change_of_role_waits_until_the_server_is_empty():
    fixture = RunnerFixture()
    fixture.pool.acquire("t", avoid=["d2"])
    fixture.runner.reconcile([order("o1", action="set_role", argument='{"role": "prefill"}')])
    fixture.pass_time(2)
    assert fixture.sent() == []
    assert fixture.pool.acquire("u").assignment.decode_server == "d2"
    fixture.pool.owner.release(release("t"))
    fixture.pass_time(2)
    assert [name for name, _ in fixture.sent()] == ["o1"]


def test_drained_server_gets_no_new_work_until_it_is_resumed():
    fixture = RunnerFixture()
    fixture.runner.reconcile([order("o1", action="drain")])
    fixture.pass_time(1)
    assert fixture.reported == [("o1", "running"), ("o1", "done")]
    assert fixture.sent() == []
    decode = {fixture.pool.acquire(f"t{n}").assignment.decode_server for n in range(2)}
    assert decode == {"d2"}
    fixture.runner.reconcile([order("o1", action="drain", state="done"), order("o2", action="resume", state="done")])
    fixture.pool.owner.release(release("t0"))
    fixture.pool.owner.release(release("t1"))
    assert {server for server, count in fixture.pool.assigned().items() if server.startswith("d")} == {"d1", "d2"}
    assert not any(server.health == "drained" for server in fixture.pool.owner.status().servers)


def test_drain_survives_a_change_of_owner_and_a_server_restart():
    fixture = RunnerFixture(epoch=2)
    fixture.runner.reconcile([order("o1", action="drain", state="done")])
    fixture.pool.announcements[2].incarnation += 1
    fixture.pool.announce()
    fixture.pass_time(2)
    assert [each.announcement.id for each in fixture.pool.owner.status().servers if each.health == "drained"] == ["d1"]
