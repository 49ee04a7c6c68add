"""Guards against the loss of an order to evacuate a data centre, and against its application by some replicas only."""

from arbutusrill_wire import decode, encode, messages

from arbutusrill_state import EVACUATION_LEVEL, SharedState, make_command


def apply(state, change):
    return decode(messages.Outcome, state.apply(encode(make_command(change, "site", 0))))


def state_with(*orders):
    state = SharedState()
    apply(state, messages.SetFeatureLevel(EVACUATION_LEVEL))
    for data_centre, evacuated in orders:
        assert apply(state, messages.PutEvacuation(data_centre, evacuated)).accepted
    return state


def test_orders_survive_a_snapshot_with_their_revision():
    # With another revision after a restart, entry VMs would take a withdrawn order for the newer one.
    state = state_with(("a", True), ("b", True), ("a", False))
    restored = SharedState()
    restored.restore(state.snapshot())
    assert restored.evacuations.record() == state.evacuations.record() == messages.Evacuations(3, ["b"])
    assert apply(restored, messages.PutEvacuation("b", False)).accepted
    assert restored.evacuations.record() == messages.Evacuations(4, [])


def test_repeated_and_late_orders_are_accepted_and_change_nothing():
    state = state_with(("a", True), ("a", True), ("b", False))
    assert state.evacuations.record() == messages.Evacuations(1, ["a"])


def test_order_is_refused_below_its_feature_level_and_without_a_name():
    # Replicas of earlier versions pass over the order; the group must not hold it before they are known to be gone.
    state = SharedState()
    assert apply(state, messages.PutEvacuation("a", True)).code == "feature_level"
    apply(state, messages.SetFeatureLevel(EVACUATION_LEVEL))
    assert apply(state, messages.PutEvacuation("", True)).code == "bad_value"
    assert state.evacuations.revision == 0


def test_snapshot_of_an_earlier_version_has_no_orders():
    state = state_with(("a", True))
    state.evacuations.restore(None)
    assert state.evacuations.record() == messages.Evacuations(0, [])
