"""Tests of the leader's part in evacuations, of its choice of engines and of what entry VMs learn of them."""

import threading
import time
from types import SimpleNamespace

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_state import EVACUATION_LEVEL, ControlUnavailableError, SharedState, make_command
from arbutusrill_wire import decode, encode, messages

from arbutusrill_site import Engine, EvacuationWriter, PlacementScheduler, SiteView
from arbutusrill_site._evacuations import EvacuationLedger

from .test_follower import follow, reply


class Group:
    """A leader whose proposals are committed at once; `old_member` reads no evacuations."""

    def __init__(self, *data_centres, complete=True, old_member=False):
        self.state = SharedState()
        self.proposed = []
        self.term = 3
        log = SimpleNamespace(is_format_refused=lambda log_format: old_member, leading_term=lambda: self.term)
        self.ledger = EvacuationLedger(
            log, self.state, threading.Condition(), self.propose, lambda: set(data_centres), lambda: complete
        )

    def propose(self, change):
        self.proposed.append(type(change).__name__)
        return decode(messages.Outcome, self.state.apply(encode(make_command(change, "site", 0))))

    def order(self, data_centre, evacuated=True, known=False):
        self.ledger.order(messages.PutEvacuation(data_centre, evacuated), known)


def test_first_order_raises_the_feature_level_and_repeated_ones_change_nothing():
    group = Group("a")
    for _ in range(3):
        group.order("a")
    assert group.proposed == ["SetFeatureLevel", *["PutEvacuation"] * 3]
    assert group.state.config.feature_level == EVACUATION_LEVEL
    revision = group.ledger.revision
    group.order("a")
    assert group.ledger.revision == revision and group.ledger.record().data_centres == ["a"]
    group.order("a", evacuated=False)
    group.order("a", evacuated=False)
    assert group.ledger.revision == revision + 1 and group.ledger.record().data_centres == []


def test_order_that_holds_already_is_committed_behind_a_contrary_one_that_is_in_the_log():
    # It was acknowledged at once; the contrary one came into force after it, and the acknowledged order was gone.
    group = Group("a")
    group.order("a")
    in_log, commit = [], group.propose
    group.ledger._propose = lambda change: in_log.append(change) or messages.Outcome(True, 0)
    group.order("a", evacuated=False)
    group.order("a")
    assert [change.evacuated for change in in_log] == [False, True]
    for change in in_log:
        commit(change)
    assert group.ledger.record().data_centres == ["a"]


class DelayedClient:
    """Client of the leader `group`; `meanwhile` runs once, between the read of the orders and the order."""

    def __init__(self, group, meanwhile=lambda: None):
        self.group = group
        self.meanwhile = meanwhile

    def call(self, name, *arguments, timeout, try_timeout):
        if name == "read_evacuations":
            return self.group.ledger.read()
        meanwhile, self.meanwhile = self.meanwhile, lambda: None
        meanwhile()
        return self.group.ledger.order(*arguments)


@pytest.mark.parametrize("later", ["withdrawal", "withdrawal with no effect", "a new leader's withdrawal"])
def test_order_that_was_delayed_on_its_way_never_follows_a_later_one(later):
    # A control VM that was frozen carried out an evacuation after its withdrawal had been acknowledged.
    group = Group("a")
    if later == "withdrawal":
        group.order("a")
    given_up = threading.Event()

    def withdraw():
        given_up.set()
        if "leader" in later:
            group.term, group.ledger._order_number = 4, -1  # the count of another process, which is equal after one
        group.order("a", evacuated=False)

    writer = EvacuationWriter(DelayedClient(group, withdraw))
    with pytest.raises(ControlUnavailableError):
        writer.write("a", True, True, given_up.is_set, 0.9)
    assert group.ledger.record().data_centres == []


def test_order_is_repeated_for_a_caller_that_waits_when_another_one_came_between():
    group = Group("a", "b")
    EvacuationWriter(DelayedClient(group, lambda: group.order("b"))).write("a", True, True, lambda: False, 0.9)
    assert group.ledger.record().data_centres == ["a", "b"]


def test_orders_for_several_data_centres_at_the_same_time_are_all_acknowledged():
    # Each was refused as superseded while another one was committed, until its time was over.
    centres = [f"z{number}" for number in range(10)]
    group, lock = Group(*centres), threading.Lock()
    group.order("z0", evacuated=False)  # raises the feature level
    commit, failed = group.propose, []

    def propose(change):
        time.sleep(0.2)  # commits of several changes overlap
        with lock:
            return commit(change)

    def order(data_centre):
        try:
            EvacuationWriter(DelayedClient(group)).write(data_centre, True, True, lambda: False, 0.9)
        except ControlUnavailableError as error:
            failed.append((data_centre, str(error)))

    group.ledger._propose = propose
    threads = [threading.Thread(target=order, args=(data_centre,)) for data_centre in centres]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert failed == [] and group.ledger.record().data_centres == sorted(centres)


def test_order_is_not_begun_while_another_one_is_committed():
    # The order in which the two would be appended to the log is open.
    group, seen = Group("a"), []
    commit = group.propose

    def propose(change):
        if type(change).__name__ == "PutEvacuation" and not seen:
            read = group.ledger.read()
            with pytest.raises(messages.Refused) as refused:
                group.ledger.order(messages.PutEvacuation("a", False), True, read.term, read.order_number)
            seen.append(refused.value.code)
        return commit(change)

    group.ledger._propose = propose
    group.order("a")
    assert seen == ["superseded"] and group.ledger.record().data_centres == ["a"]


@pytest.mark.parametrize("evacuated", [True, False])
def test_order_for_a_data_centre_that_nobody_knows_is_refused_and_changes_nothing(evacuated):
    group = Group("a")
    with pytest.raises(messages.Refused) as refused:
        group.order("elsewhere", evacuated)
    assert refused.value.code == "unknown_data_centre" and not group.proposed
    group.order("elsewhere", evacuated, known=True)  # the settings of the VM that was called name it


def test_new_leader_refuses_no_order_for_good_before_it_knows_the_site():
    # The operator does not repeat an order that is refused as invalid.
    with pytest.raises(messages.Refused) as refused:
        Group(complete=False).order("a")
    assert refused.value.code == "unavailable"


def test_order_can_be_withdrawn_after_all_of_its_data_centre_has_left():
    group = Group()
    group.order("a", known=True)
    group.order("a", evacuated=False)
    assert group.ledger.record().data_centres == []


def test_order_waits_while_a_member_runs_a_version_without_evacuations():
    # It would pass over the entry and, as the next leader, send its callers to the evacuated data centre.
    group = Group("a", old_member=True)
    with pytest.raises(messages.Refused) as refused:
        group.order("a")
    assert refused.value.code == "unavailable" and not group.proposed


def request_for(wait_ms=0):
    return messages.PlaceRequest("vm", 1, "r", "model", "", 100, 150, wait_ms, late_in_ms=1000, prefill=True)


def test_leader_places_nothing_in_an_evacuated_data_centre():
    group = Group("z1", "z2")
    records = [
        messages.BackendRecord(f"{stage}-{place}", 1, 1, "model", f"{place}:{stage}", place, 8, False, stage, [])
        for place in ("z1", "z2")
        for stage in ("prefill", "decode")
    ]
    scheduler = PlacementScheduler(
        lambda: group.ledger.usable(records), lambda _: Engine(8, 1000, 0.5), lambda: (1, group.ledger.revision)
    )

    def place(now):
        ticket, _ = scheduler.poll(request_for(), now)
        scheduler.dispatch(now)
        found = scheduler.take_reply(ticket)
        return found and (found.prefill[-2:], found.decode[-2:])

    for evacuated, permitted in (("z1", "z2"), ("z2", "z1")):
        group.order(evacuated)
        for number in range(5):
            found = place(number / 100)
            assert found[1] == permitted and found[0] in ("", permitted)
        group.order(evacuated, evacuated=False)
    group.order("z1")
    group.order("z2")
    assert place(1.0) is None


def test_evacuations_are_in_force_before_the_first_document_and_stay_without_a_leader():
    first = reply(1, b"first")
    first.evacuations = messages.Evacuations(3, ["z1"])
    older = reply(2, b"second", term=2)  # of a leader of an earlier version, which does not know evacuations
    view, leader = follow(first, messages.Refused("x"), older)
    assert view.evacuated_data_centres == {"z1"}
    assert [poll.evacuations_revision for poll in leader.requests] == [-1, 3, 3]


def test_older_orders_do_not_replace_newer_ones():
    # The poll that announces a drain may run beside a long poll and be answered before it.
    view = SiteView(ManualClock())
    view.apply_evacuations(messages.Evacuations(5, ["z1"]))
    view.apply_evacuations(messages.Evacuations(4, []))
    assert view.evacuated_data_centres == {"z1"}
    view.apply_evacuations(messages.Evacuations(6, []))
    assert view.evacuated_data_centres == frozenset()


def test_change_of_the_orders_ends_the_wait_of_followers_that_know_them_only():
    group = Group("a")
    group.order("a")
    polls = {revision: messages.SiteFollowRequest(evacuations_revision=revision) for revision in (-1, 0, 1)}
    assert {revision: group.ledger.is_behind(poll) for revision, poll in polls.items()} == {
        -1: False,
        0: True,
        1: False,
    }
