"""Guards against departures that bar a later start of a server, or do not bar one that has left."""

import threading

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_state import ControlUnavailableError, SharedState
from arbutusrill_wire import messages

from arbutusrill_site import DepartureWriter, SilenceTimeouts, SiteService

OLD, NEW = 100, 200


class _Log:
    """Leads all the time."""

    def is_leader(self):
        return True

    def leading_term(self):
        return 1

    def confirm(self, _timeout):
        pass


class _Service(SiteService):
    """Commits at once."""

    def _propose(self, change):
        if isinstance(change, messages.PutDeparture):
            self._state.departures.put(change)
        else:
            self._state.roster.put(change)


@pytest.fixture
def service():
    state = SharedState()
    clock = ManualClock()
    service = _Service(
        _Log(),
        state,
        threading.Condition(),
        clock,
        SilenceTimeouts(),
        lambda parts: None,
        None,
        lambda engines, work: None,
        0.0,
    )
    service.clock = clock
    return service


def announce(service, start, sequence, draining=False, name="a"):
    service.announce_backend(
        messages.BackendRecord(name, start, sequence, "desk", "10.0.0.1:80", "z1", 6, draining, "", [])
    )


def listed(service):
    return {record.id: record.started_ms for record in service.backends.records()}


def test_departure_of_an_unnamed_start_does_not_bar_a_server_that_goes_on(service):
    announce(service, NEW, 7)
    service.remove_backend("a", 0, 0)
    assert not listed(service)
    for sequence in (8, 9, 10):
        with pytest.raises(messages.Refused):
            announce(service, NEW, sequence)
    announce(service, NEW, 11)
    assert listed(service) == {"a": NEW}


def test_departure_of_a_start_that_was_looked_up_does_not_remove_a_later_one(service):
    announce(service, OLD, 7)
    read = service.read_backend_start("a")
    announce(service, NEW, 1)
    service.remove_backend("a", read.started_ms, read.sequence)
    announce(service, NEW, 2)
    assert listed(service) == {"a": NEW}


@pytest.mark.parametrize("draining", [False, True])
def test_late_report_does_not_bring_back_a_server_that_has_left(service, draining):
    announce(service, OLD, 5)
    announce(service, OLD, 7, draining=True)
    read = service.read_backend_start("a")
    service.remove_backend("a", read.started_ms, read.sequence)
    for sequence in (6, 7, 8):
        with pytest.raises(messages.Refused):
            announce(service, OLD, sequence, draining)
        assert not listed(service)


def test_named_start_is_barred_for_good(service):
    announce(service, OLD, 7)
    service.remove_backend("a", OLD, -1)
    with pytest.raises(messages.Refused):
        announce(service, OLD, 1000)
    announce(service, NEW, 1)
    assert listed(service) == {"a": NEW}


def test_departure_of_an_unknown_server_takes_no_time_of_day(service):
    service.remove_backend("a", 0, 0)
    with pytest.raises(messages.Refused):
        announce(service, 1, 1)
    service.clock.advance(1.2)
    announce(service, 1, 2)
    assert listed(service) == {"a": 1}


def test_late_report_does_not_bring_back_a_server_that_was_not_known(service):
    service.remove_backend("a", 0, 0)
    for start, sequence in ((OLD, 7), (OLD, 8), (OLD, 7), (NEW, 1)):
        with pytest.raises(messages.Refused):
            announce(service, start, sequence)
    assert not listed(service)


def test_followers_drop_a_server_that_the_leader_does_not_know(service):
    service.remove_backend("a", 0, 0)
    changes = service.backends.changes_since(None)
    assert [record.id for record in changes.removed] == ["a"]
    assert changes.removed[0].started_ms > NEW


def test_departure_is_known_from_the_draining_report_after_a_change_of_leader(service):
    announce(service, OLD, 7, draining=True)
    service.backends.begin_term()
    service.remove_backend("a", 0, 0)
    with pytest.raises(messages.Refused):
        announce(service, OLD, 8)
    announce(service, NEW, 1)


def test_report_that_is_sent_again_is_acknowledged(service):
    announce(service, OLD, 7)
    announce(service, OLD, 7)
    announce(service, OLD, 6)


def test_report_of_an_earlier_start_is_not_acknowledged(service):
    announce(service, NEW, 1)
    with pytest.raises(messages.Refused) as refused:
        announce(service, OLD, 9)
    assert refused.value.code == "outdated"


def test_server_that_drains_again_is_recorded_again(service):
    announce(service, OLD, 1, draining=True)
    announce(service, OLD, 2)
    announce(service, OLD, 3, draining=True)
    service.backends.begin_term()
    with pytest.raises(messages.Refused):
        announce(service, OLD, 2)


class _Client:
    """Client of a leader; `before_removal` is called between the two calls."""

    def __init__(self, service, before_removal=lambda: None):
        self.service = service
        self.before_removal = before_removal

    def call(self, name, *arguments, **_limits):
        if name == "remove_backend":
            self.before_removal()
        return getattr(self.service, name)(*arguments)


def test_call_whose_caller_has_left_removes_nothing(service):
    announce(service, NEW, 1)
    with pytest.raises(ControlUnavailableError):
        DepartureWriter(_Client(service)).write("a", 0, lambda: True, 1.0)
    assert listed(service) == {"a": NEW}


def test_call_that_is_delayed_between_its_steps_removes_no_later_start(service):
    announce(service, OLD, 5)
    DepartureWriter(_Client(service, lambda: announce(service, NEW, 1))).write("a", 0, lambda: False, 1.0)
    announce(service, NEW, 2)
    assert listed(service) == {"a": NEW}


def test_call_that_names_its_start_counts_though_its_caller_has_left(service):
    announce(service, OLD, 5)
    DepartureWriter(_Client(service)).write("a", OLD, lambda: True, 1.0)
    assert not listed(service)
