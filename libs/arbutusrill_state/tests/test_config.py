"""Guards against changes that are lost, applied twice, wrongly accepted or different between replicas."""

import threading

import pytest
from arbutusrill_wire import decode, encode, messages

from arbutusrill_state import SharedState, UnsupportedLevelError, make_command, parse_value
from arbutusrill_state._checks import MAX_ORDERS


def apply_change(state, change, request_id, **options):
    return decode(messages.Outcome, state.apply(encode(make_command(change, "ops", 5, request_id, **options))))


@pytest.fixture
def state():
    shared_state = SharedState()
    assert apply_change(shared_state, messages.PutWorkspace("w", 10.0, 100.0), "w0").accepted
    return shared_state


def restored(state):
    replica = SharedState()
    replica.restore(state.snapshot())
    return replica


def test_resent_command_gets_its_first_outcome_also_after_a_snapshot(state):
    first = apply_change(state, messages.SetDefault("limits.rate", "5.0"), "r1")
    refused = apply_change(state, messages.SetDefault("limits.rate", "6.0"), "r2", if_revision=99)
    state = restored(state)
    apply_change(state, messages.SetDefault("limits.rate", "7.0"), "r3")
    assert apply_change(state, messages.SetDefault("limits.rate", "5.0"), "r1") == first
    assert apply_change(state, messages.SetDefault("limits.rate", "6.0"), "r2", if_revision=99) == refused
    assert state.config.value("limits.rate") == 7.0


def test_exactly_one_of_many_changes_against_a_revision_wins(state):
    lock, accepted = threading.Lock(), []

    def operator(number):
        with lock:
            accepted.append(
                apply_change(
                    state, messages.SetDefault("limits.rate", str(number + 1)), f"o{number}", if_revision=1
                ).accepted
            )

    threads = [threading.Thread(target=operator, args=(number,)) for number in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert accepted.count(True) == 1


@pytest.mark.parametrize(
    "text", ["NaN", "Infinity", "-Infinity", "1e999", "1" * 400, "1" * 5000, "[" * 900, '"x"', "true", "null", "1e16"]
)
def test_value_that_is_not_a_number_in_range_is_refused(text):
    assert parse_value("limits.rate", text).is_error()


@pytest.mark.parametrize(
    "change",
    [
        messages.PutWorkspace("w" * 200, 1.0, 10.0),
        messages.PutWorkspace("a\nb", 1.0, 10.0),
        messages.PutWorkspace("w", float("nan"), 10.0),
        messages.PutWorkspace("w", 1.0, float("inf")),
        messages.PutWorkspace("w", 1.0, 10.0, float("nan")),
        messages.AddException("e", "limits.rate", "workspace", "w", "5", " "),
        messages.AddException("e", "limits.rate", "workspace", "w", "5", "x" * 2000),
        messages.AddException("e", "limits.rate", "planet", "w", "5", "why"),
        messages.IssueKey("k", "short", "w"),
        messages.PutService("s/t", []),
        messages.PutService("s", [messages.Route("GET", "/")] * 200),
        messages.PutService("s", [messages.Route("BREW", "/")]),
        messages.PutOrder("o", "server", "p", "load_model", "[]", "requested"),
        messages.PutOrder("o", "server", "p", "explode", "{}", "requested"),
        messages.PutOrder("o", "server", "p", "load_model", "{}", "running"),
    ],
)
def test_malformed_change_is_refused_and_leaves_the_revision(state, change):
    before = state.config.revision
    outcome = apply_change(state, change, "bad")
    assert not outcome.accepted and outcome.code in ("bad_value", "conflict")
    assert state.config.revision == before


def test_newer_kind_is_refused_below_its_feature_level(state):
    apply_change(state, messages.PutVm("v", "a", "b", "", 1, "dead"), "v1")
    assert apply_change(state, messages.ForgetVm("v", 1), "f1").code == "feature_level"
    apply_change(state, messages.SetFeatureLevel(2), "l2")
    assert apply_change(state, messages.ForgetVm("v", 1), "f2").accepted
    assert not apply_change(state, messages.SetFeatureLevel(1), "l1").accepted


def test_replica_stops_at_an_unsupported_feature_level(state):
    with pytest.raises(UnsupportedLevelError):
        apply_change(state, messages.SetFeatureLevel(99), "l99")


def test_vm_that_runs_again_is_not_forgotten(state):
    apply_change(state, messages.SetFeatureLevel(2), "l2")
    apply_change(state, messages.PutVm("v", "a", "b", "", 2, "live"), "v1")
    assert not apply_change(state, messages.ForgetVm("v", 1), "f").accepted


def test_withdrawn_key_stays_withdrawn(state):
    apply_change(state, messages.IssueKey("k1", "a" * 64, "w"), "i1")
    assert state.config.workspace_of_key("a" * 64) == "w"
    apply_change(state, messages.WithdrawKey("k1"), "x1")
    assert not apply_change(state, messages.IssueKey("k1", "a" * 64, "w"), "i2").accepted
    assert restored(state).config.workspace_of_key("a" * 64) is None


def test_most_specific_exception_wins_and_of_equal_ones_the_latest(state):
    name = "queue.max_wait_s.lookup"
    for number, (kind, scope) in enumerate([("workspace", "w"), ("service", "s"), ("workspace", "w")]):
        apply_change(
            state, messages.AddException(f"e{number}", name, kind, scope, str(number + 10), "why"), f"e{number}"
        )
    for config in (state.config, restored(state).config):
        assert config.value(name, workspace="w", service="s") == 12
        assert config.value(name, workspace="x", service="s") == 11
    apply_change(state, messages.RemoveException("e2"), "rm")
    assert state.config.value(name, workspace="w") == 10


def test_exception_overrides_the_rate_of_its_workspace(state):
    assert state.config.limits_of("w") == (10.0, 100.0)
    apply_change(state, messages.AddException("e", "limits.rate", "workspace", "w", "70", "exam term"), "e")
    assert state.config.limits_of("w") == (70.0, 100.0)


def test_order_never_returns_to_an_earlier_state_and_ids_are_not_reused(state):
    def order(state_name, argument="{}", fencing=0):
        return messages.PutOrder("o", "server", "p", "load_model", argument, state_name, fencing)

    for number, step in enumerate(["requested", "released", "running"]):
        assert apply_change(state, order(step, fencing=number), f"s{number}").accepted
    assert not apply_change(state, order("running", fencing=1), "old").accepted
    assert not apply_change(state, order("done", '{"model": "m"}', 5), "other").accepted
    assert apply_change(state, order("done", fencing=5), "end").accepted
    assert not apply_change(state, order("requested"), "again").accepted


def test_ended_order_is_dropped_for_a_new_one(state):
    for number in range(1001):
        change = messages.PutOrder(f"o{number}", "server", "p", "load_model", "{}", "requested")
        assert apply_change(state, change, f"r{number}").accepted == (number < 1000)
    apply_change(state, messages.PutOrder("o7", "server", "p", "load_model", "{}", "withdrawn"), "c")
    assert apply_change(state, messages.PutOrder("new", "server", "p", "load_model", "{}", "requested"), "n").accepted


def test_followers_get_commands_in_bounded_batches(state):
    for number in range(450):
        apply_change(state, messages.SetDefault("limits.rate", str(number + 1)), f"d{number}")
    revision, batch_sizes = 1, []
    while True:
        commands, current = state.commands_after(revision)
        if not commands:
            break
        assert [item.revision for item in commands] == list(range(revision + 1, revision + 1 + len(commands)))
        batch_sizes.append(len(commands))
        revision += len(commands)
    assert batch_sizes == [200, 200, 50] and current == 451
    assert state.commands_after(current + 1)[0] is None


def test_order_that_drains_a_server_is_never_dropped():
    """Dropping such an order would put the server back into service without a request by an operator."""
    config = SharedState().config
    for state in ("requested", "released", "running", "done"):
        config.apply(make_command(messages.PutOrder("drain-d1", "d1", "m", "drain", "{}", state), "ops", 0))
    for number in range(MAX_ORDERS + 5):
        for state in ("requested", "withdrawn"):
            config.apply(make_command(messages.PutOrder(f"o{number}", "d2", "m", "unload", "{}", state), "ops", 0))
    assert len(config.orders_by_id) == MAX_ORDERS
    assert config.orders_by_id["drain-d1"].state == "done"


def test_share_of_a_workspace_grows_with_its_rate_and_its_weight(state):
    apply_change(state, messages.PutWorkspace("large", 40.0, 100.0, 2.0), "w1")
    assert state.config.share_weight("large") == 8 * state.config.share_weight("w")
    assert state.config.share_weight("") == 2000.0, "calls of open routes have no workspace"


def test_recorded_backend_servers_are_in_the_snapshot(state):
    record = messages.BackendRecord("b-1", 1, 1, "desk", "10.0.0.1:80", "z1", 6)
    state.apply(encode(make_command(messages.PutBackends([record]), "site", 0)))
    replica = SharedState()
    replica.restore(state.snapshot())
    assert replica.roster.records() == [record]


def test_suspected_parts_of_prompts_are_in_the_snapshot_and_absent_from_older_ones(state):
    # After the loss of all VMs, the part that crashes engines was sent to them again.
    old_snapshot = state.snapshot()
    record = messages.PutPromptSuspects(
        [messages.EngineCrash("e-1", 5, 10, 20)], [messages.SuspectedPart("5c1e", [0], 1, True)]
    )
    before = state.config.revision
    assert apply_change(state, record, "p1").accepted
    assert restored(state).prompt_table.record() == record
    assert state.config.revision == before
    state.restore(old_snapshot)
    assert state.prompt_table.record().parts == []


def test_snapshot_without_suspected_parts_is_restored():
    snapshot = SharedState().snapshot()
    length = int.from_bytes(snapshot[:8], "big")
    config = decode(messages.ConfigSnapshot, snapshot[8 : 8 + length])
    config.prompt_suspects = None
    encoded = encode(config)
    replica = SharedState()
    replica.restore(len(encoded).to_bytes(8, "big") + encoded + snapshot[8 + length :])
    assert replica.prompt_table.record().parts == []
