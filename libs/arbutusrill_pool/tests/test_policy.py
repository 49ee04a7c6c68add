"""Guards against placements that miss a latency target although a better server is free."""

from collections import Counter

import pytest
from arbutusrill_wire import messages

from arbutusrill_pool import PlacementPolicy, create_policy
from arbutusrill_pool.tests.support import PoolFixture, announcement, release


def events(server, first_seq, added=(), removed=(), full=False):
    return messages.CacheEvents(server, 1, first_seq, list(added), list(removed), full)


def pool_with(*servers, policy="reserving"):
    return PoolFixture(*servers, values={"policy.name": policy})


def test_round_robin_uses_each_server_in_turn_without_a_slot_limit():
    pool = pool_with(announcement("p", "prefill"), *(announcement(f"d{i}", slots=1) for i in range(3)))
    pool.values["policy.name"] = "round_robin"
    pool.owner.tick()
    chosen = Counter(pool.acquire(f"t{number}").assignment.decode_server for number in range(9))
    assert chosen == {"d0": 3, "d1": 3, "d2": 3}


def test_least_loaded_follows_the_last_report():
    pool = pool_with(
        announcement("p", "prefill"),
        announcement("d1", running=5),
        announcement("d2", running=3),
        policy="least_loaded",
    )
    assert {pool.acquire(f"t{number}").assignment.decode_server for number in range(5)} == {"d2"}


def test_prefill_first_has_no_slot_limit_but_counts_its_prefill_queue():
    pool = pool_with(
        announcement("p1", "prefill"), announcement("p2", "prefill"), announcement("d", slots=1), policy="prefill_first"
    )
    chosen = [pool.acquire(f"t{number}").assignment for number in range(4)]
    assert Counter(each.prefill_server for each in chosen) == {"p1": 2, "p2": 2}
    assert {each.decode_server for each in chosen} == {"d"}


def test_policy_changes_while_requests_wait():
    pool = pool_with(announcement("p", "prefill"), announcement("d", slots=1))
    pool.acquire("t")
    pool.owner.release(release("t", "prefilled"))
    assert pool.acquire("u", latency_class="briefing", deadline_ms=60_000).status == "pending"
    pool.values["policy.name"] = "round_robin"
    pool.owner.tick()
    assert pool.acquire("u").status == "assigned"


def test_unknown_policy_name_gives_the_reserving_one():
    policy = create_policy("of-a-newer-version")
    assert isinstance(policy, PlacementPolicy)
    assert policy.reserves


def test_faster_prefill_server_takes_a_long_prompt():
    pool = pool_with(
        announcement("slow", "prefill", prefill_tokens_per_s=5_000.0),
        announcement("fast", "prefill"),
        announcement("d"),
    )
    assert pool.acquire("t").assignment.prefill_server == "fast"


def test_measured_speed_overrides_the_announced_one():
    pool = pool_with(
        announcement("p1", "prefill", prefill_tokens_per_s=40_000.0), announcement("p2", "prefill"), announcement("d")
    )
    for number in range(12):
        server = pool.acquire(f"t{number}").assignment.prefill_server
        pool.owner.release(release(f"t{number}", "prefilled", prefill_s=0.4 if server == "p1" else 0.1))
        pool.owner.release(release(f"t{number}"))
        pool.pass_time(0.5)
    assert pool.acquire("u").assignment.prefill_server == "p2"


def test_cached_prefix_outweighs_an_idle_server_without_it():
    pool = pool_with(announcement("p1", "prefill"), announcement("p2", "prefill"), announcement("d"))
    blocks = [f"b{number}" for number in range(10)]
    assert pool.owner.cache_events(events("p2", 0, blocks))
    for number in range(5):
        reply = pool.acquire(f"t{number}", prompt_tokens=10_000, prefix_blocks=blocks)
        assert reply.assignment.prefill_server == "p2"
        pool.owner.release(release(f"t{number}"))


def test_gap_in_cache_events_asks_for_the_full_list():
    pool = pool_with(announcement("p1", "prefill"), announcement("d"))
    assert pool.owner.cache_events(events("p1", 0, ["a", "b"]))
    assert not pool.owner.cache_events(events("p1", 3, ["d"]))
    assert not pool.owner.cache_events(events("p1", 4, ["e"]))
    assert pool.owner.cache_events(events("p1", 5, ["a", "d", "e"], full=True))
    assert pool.owner.cache_events(events("p1", 5, ["f"], ["a"]))
    assert pool.owner.status().servers[0].cached_blocks == 3


def test_cache_events_of_another_incarnation_are_rejected():
    pool = pool_with(announcement("p1", "prefill", incarnation=2), announcement("d"))
    assert not pool.owner.cache_events(events("p1", 0, ["a"]))


def test_same_data_centre_is_preferred_until_it_is_full():
    pool = pool_with(
        announcement("p1", "prefill"),
        announcement("near", slots=2),
        announcement("far", slots=2, data_centre="dc2"),
    )
    chosen = []
    for number in range(4):
        chosen.append(pool.acquire(f"t{number}").assignment.decode_server)
        pool.owner.release(release(f"t{number}", "prefilled"))
    assert chosen == ["near", "near", "far", "far"]


def test_streams_stay_within_the_token_gap_target():
    # 0.02 s x (1 + 0.03 x (n - 1)) is within the target of 0.031 s up to n = 19.
    pool = pool_with(announcement("p", "prefill"), announcement("d1", slots=40, token_gap_s=0.02))
    replies = []
    for number in range(25):
        replies.append(pool.acquire(f"t{number}", latency_class="briefing", deadline_ms=60_000).status)
        pool.owner.release(release(f"t{number}", "prefilled"))
    assert replies.count("assigned") == 19


def test_server_that_misses_the_gap_target_alone_is_used_last():
    pool = pool_with(announcement("p", "prefill"), announcement("slow", token_gap_s=0.05), announcement("d", slots=2))
    chosen = []
    for number in range(3):
        chosen.append(pool.acquire(f"t{number}").assignment.decode_server)
        pool.owner.release(release(f"t{number}", "prefilled"))
    assert chosen == ["d", "d", "slow"]


def test_failed_server_is_avoided_unless_it_is_the_only_one():
    pool = pool_with(announcement("p", "prefill"), announcement("d1"), announcement("d2"))
    assert {pool.acquire(f"t{number}", avoid=["d1"]).assignment.decode_server for number in range(2)} == {"d2"}
    only = pool_with(announcement("p", "prefill"), announcement("d1"))
    assert only.acquire("t", avoid=["d1"]).status == "assigned"


@pytest.mark.parametrize("role", ["both"])
def test_server_of_both_roles_counts_a_request_once(role):
    pool = pool_with(announcement("b", role, slots=2))
    assert pool.acquire("t").assignment.prefill_server == "b"
    assert pool.assigned() == {"b": 1}
    pool.owner.release(release("t", "prefilled"))
    assert pool.assigned() == {"b": 1}
    pool.owner.release(release("t"))
    assert pool.assigned() == {"b": 0}


def test_plain_service_places_a_call_without_a_prefill():
    pool = pool_with(announcement("s1", "plain", slots=1), announcement("s2", "plain", slots=1))
    replies = [pool.acquire(f"t{number}", prompt_tokens=0, latency_class="lookup") for number in range(2)]
    assert {reply.assignment.decode_server for reply in replies} == {"s1", "s2"}
    assert replies[0].assignment.prefill_server == ""


def test_server_once_measured_as_slow_is_tried_again():
    pool = pool_with(announcement("p1", "prefill"), announcement("p2", "prefill"), announcement("d"))
    slow = pool.acquire("t").assignment.prefill_server
    for number in range(12):
        pool.acquire(f"t{number}", avoid=[{"p1": "p2", "p2": "p1"}[slow]])
        pool.owner.release(release(f"t{number}", "prefilled", prefill_s=1.0))
        pool.owner.release(release(f"t{number}"))
    pool.owner.release(release("t"))
    assert pool.acquire("u").assignment.prefill_server != slow
    pool.owner.release(release("u"))
    pool.pass_time(120.0, step=0.5)
    pool.acquire("busy")
    assert pool.acquire("v").assignment.prefill_server == slow
