"""Guards against a workspace that slows down the others, and against idle capacity that is withheld from it."""

import pytest

from arbutusrill_pool._fair_queue import FairQueue
from arbutusrill_pool._ticket import Band, Cost, Ticket
from arbutusrill_pool.tests.model import PoolSimulation, Traffic
from arbutusrill_pool.tests.support import request


def others_first_token_p95(rate, output_tokens, factor, seed):
    names = [f"w{number}" for number in range(5)]
    traffic = {name: Traffic(rate, output_tokens=output_tokens) for name in names}
    traffic["w0"] = Traffic(rate * factor, output_tokens=output_tokens)
    results = PoolSimulation(traffic, seed).run(200)
    waits = sorted(wait for name in names[1:] for wait in results[name].first_token_s)
    refused = sum(len(results[name].retry_after_ms) for name in names[1:])
    return waits[int(0.95 * len(waits))], refused, len(results["w0"].first_token_s)


@pytest.mark.parametrize(("rate", "output_tokens"), [(2.5, 150), (2.0, 400)], ids=["prefill-bound", "decode-bound"])
def test_workspace_at_five_times_its_rate_raises_p95_of_the_others_by_at_most_a_tenth(rate, output_tokens):
    alone, _, served = others_first_token_p95(rate, output_tokens, 1, seed=1)
    crowded, refused, served_more = others_first_token_p95(rate, output_tokens, 5, seed=1)
    assert crowded <= 1.1 * alone
    assert refused == 0
    assert served_more > 1.8 * served  # it uses the capacity that the others leave


def test_a_workspace_alone_uses_the_whole_pool():
    simulation = PoolSimulation({"w0": Traffic(40.0)}, 3)
    served = simulation.run(60)["w0"].first_token_s
    assert len(served) > 0.85 * 60 * 4 * 20_000 / 3000  # of the capacity of four prefill servers


def queue_with(weights, each=30):
    queue, number = FairQueue(), 0
    for workspace, weight in weights.items():
        for _ in range(each):
            number += 1
            ticket = Ticket(request(f"t{number}", workspace), 0, 0, 0, Band.URGENT, Cost(1.0), None, workspace, number)
            queue.push(ticket, queue.get_or_create_share(workspace, weight, 0.0))
    return queue


def test_order_follows_the_weights():
    queue = queue_with({"a": 1.0, "b": 2.0})
    served = []
    for _ in range(30):
        ticket = queue.head(Band.URGENT, set())
        served.append(ticket.queue_name)
        queue.remove(ticket)
        queue.charge(queue.share_by_workspace[ticket.queue_name], ticket.cost)
    assert served.count("b") == pytest.approx(20, abs=1)


def test_head_is_found_after_many_pushes_of_one_workspace():
    queue = queue_with({"a": 1.0}, each=500)
    assert len(queue._heaps[Band.URGENT]) == 1  # one entry per workspace; `head` scans the entries


def test_briefings_leave_interactive_requests_within_their_target():
    traffic = {
        "w0": Traffic(3.0),
        "w1": Traffic(20.0, latency_class="briefing", deadline_ms=120_000),
    }
    simulation = PoolSimulation(traffic, 5)
    results = simulation.run(120)
    assert results["w0"].retry_after_ms == []
    assert results["w0"].quantile(0.95) < 2.0
    assert len(results["w1"].first_token_s) > 1000


def test_briefing_that_is_nearly_due_is_placed_before_new_interactive_requests():
    traffic = {"w0": Traffic(30.0), "w1": Traffic(0.2, latency_class="briefing", deadline_ms=8000)}
    results = PoolSimulation(traffic, 6).run(120)
    assert len(results["w1"].first_token_s) > 10
    assert results["w1"].retry_after_ms == []


def test_backlog_of_a_workspace_beyond_its_share_does_not_get_others_refused():
    _, refused, _ = others_first_token_p95(4.0, 150, 5, seed=1)
    assert refused == 0


def test_ticket_is_found_after_a_charge_was_refunded_exactly():
    queue = queue_with({"a": 1.0}, each=1)
    share = queue.share_by_workspace["a"]
    first = queue.head(Band.URGENT, set())
    queue.remove(first)
    queue.charge(share, first.cost)
    assert queue.head(Band.URGENT, set()) is None
    queue.correct_charge(share, first.cost, Cost(0.0))
    ticket = Ticket(request("u"), 0, 0, 0, Band.URGENT, Cost(1.0), None, "a")
    queue._virtual_now = share.virtual_time
    queue.push(ticket, share)
    assert queue.head(Band.URGENT, set()) is ticket
