"""Admission of requests to a plain service whose servers are busy with requests of other VMs."""

import threading
import time

import pytest
from arbutusrill_base import RetryBudget, SystemClock, Verdict
from arbutusrill_site import FleetReport, Route, RouteKind, Service, SiteView, Target
from arbutusrill_wire import messages

from arbutusrill_gateway import BackendPool, CallerRequest
from arbutusrill_gateway._attempt import AttemptResult, Outcome
from arbutusrill_gateway._backends import Candidate
from arbutusrill_gateway._exchange import Exchange
from arbutusrill_gateway._plain import _deliver_or_retry
from arbutusrill_gateway._plain_load import ServerLoad, ServiceState
from arbutusrill_gateway._reply import Responder
from arbutusrill_gateway._room_wait import admit, wait_for_spare_room

from .test_faulty_backends import REFUSAL_FIELDS, WHOLE, Backend, Caller, HeaderProtocol, head, relay, sends


def busy_view(in_progress, offered):
    clock = SystemClock()
    view = SiteView(clock)
    view.backends_by_id = {id_: messages.BackendRecord(id_, 1, 1, "s", "h:1", "z", 6, False, "", []) for id_ in "ab"}
    set_load(view, in_progress, offered)
    return view, clock


def set_load(view, in_progress, offered):
    uses = {id_: messages.BackendUse(id_, in_progress, 0, sent=40, observing_vms=9) for id_ in "ab"}
    view.other_vms_requests_by_backend = dict.fromkeys("ab", in_progress)
    view.fleet = FleetReport(uses, {"s": messages.ServiceLoad("s", offered)}, SystemClock().monotonic())


def exchange_at(pool, deadline_s):
    caller = Caller()
    route = Route("r", "h", "/", RouteKind.NON_IDEMPOTENT, 2.0, 0.3, (Target("s", 1.0),))
    request = CallerRequest("r", "POST", "h", "/x", [], b"", deadline_s=deadline_s)
    now = time.monotonic()
    limit = now + min(2.0, deadline_s)
    parts = (route, Service("s"), None, HeaderProtocol(), pool, None, RetryBudget(1.0, 10), limit, now)
    return Exchange(request, Responder(caller.start, []), *parts), caller


def test_first_attempt_that_would_be_late_is_refused_at_once_and_one_that_returns_waits_for_room():
    # A refusal that comes late costs its caller the time in which it could have come back.
    view, clock = busy_view(in_progress=60, offered=10_000)
    pool = BackendPool(view, "z", clock)
    began = time.monotonic()
    outcomes = [admit(exchange_at(pool, 4.0)[0]) for _ in range(40)]
    assert time.monotonic() - began < 40 * 0.3 / 8
    assert outcomes.count(False) > 30
    exchange, caller = exchange_at(pool, 4.0)
    while admit(exchange):
        exchange, caller = exchange_at(pool, 4.0)
    assert caller.status == 503 and exchange.verdict is Verdict.NOT_RUN
    threading.Timer(0.3, set_load, (view, 1, 20)).start()
    began = time.monotonic()
    assert admit(exchange_at(pool, 2.8)[0])
    assert time.monotonic() - began < 1.0


def test_request_that_returns_in_vain_is_refused_before_its_time_ends_and_leaves_the_line():
    view, clock = busy_view(in_progress=60, offered=100_000)
    pool = BackendPool(view, "z", clock)
    pool.plain.record_arrival("s", "r", 4.0)
    results = [admit(exchange_at(pool, 0.5)[0]) for _ in range(3)]
    assert False in results
    assert not [load.waiting for load in pool.plain.load_messages() if load.waiting]


def test_request_that_returns_to_idle_servers_is_sent_while_the_vm_stops():
    # It was refused, since it counted as one that waits, while first attempts were still sent.
    view, clock = busy_view(in_progress=0, offered=5)
    pool = BackendPool(view, "z", clock)
    assert admit(exchange_at(pool, 4.0)[0])
    pool.is_stopping = True
    assert admit(exchange_at(pool, 2.8)[0])


@pytest.mark.parametrize(("waited_s", "is_failure"), [(0.0, True), (0.2, True), (1.6, False)])
def test_timeout_of_a_request_that_waited_longer_for_room_is_no_failure_of_the_server(waited_s, is_failure):
    # The VM avoided a sound server, and all VMs sent it less, since a request came to it with too little time.
    view, clock = busy_view(in_progress=5, offered=40)
    pool, record = BackendPool(view, "z", clock), view.backends_by_id["a"]
    exchange, caller = exchange_at(pool, 4.0)
    exchange.waited_s, exchange.verdict = waited_s, Verdict.MAY_HAVE_RUN
    result = AttemptResult(Outcome.TIMEOUT, None, b"", "no whole answer in 0.4 s", took_s=0.4)
    assert _deliver_or_retry(exchange, Candidate(record, 0.1), result)
    assert caller.status in (502, 504)
    assert pool.is_avoided(record) is is_failure
    assert [use.failed for use in pool.plain.use_messages({}) if use.failed] == [1] * is_failure


def test_timeout_after_a_longer_wait_is_a_failure_if_the_server_had_three_times_the_objective():
    # A silent server was neither avoided nor reported by requests that had waited for longer than it stayed silent.
    view, clock = busy_view(in_progress=5, offered=40)
    pool, record = BackendPool(view, "z", clock), view.backends_by_id["a"]
    exchange, _ = exchange_at(pool, 4.0)
    exchange.waited_s, exchange.verdict = 1.0, Verdict.MAY_HAVE_RUN
    result = AttemptResult(Outcome.TIMEOUT, None, b"", "no whole answer in 0.95 s", took_s=0.95)
    assert _deliver_or_retry(exchange, Candidate(record, 0.1), result)
    assert pool.is_avoided(record)
    assert [use.failed for use in pool.plain.use_messages({}) if use.failed] == [1]


def test_request_behind_others_in_the_line_keeps_its_objective_for_the_answer():
    # It looked at its time each 0.25 s only, and was sent with half of its objective left.
    view, clock = busy_view(in_progress=10, offered=1000)
    pool = BackendPool(view, "z", clock)
    with pool.plain.late_line("s").join(0.0):
        exchange, _ = exchange_at(pool, 0.9)
        assert wait_for_spare_room(exchange)
        assert exchange.remaining_s() > 0.2


def test_vm_that_hears_nothing_sends_late_requests_within_its_share_of_the_slots():
    # Each VM took all slots that it did not use itself for idle.
    def spare_per_s(own):
        servers = [ServerLoad(id_, 6, own, own, 0.09) for id_ in "abc"]
        return ServiceState(servers, 1.0, 1.0, own_waiting=1, fleet_known=False, vm_count=60).spare_per_s()

    assert spare_per_s(0) > 0
    assert spare_per_s(2) == 0


def test_once_only_request_that_a_server_has_not_run_goes_to_another_one():
    # It was refused to its caller although other servers had room, since it may be sent to one server only.
    full, sound = Backend(sends(head(503, *REFUSAL_FIELDS))), Backend(sends(WHOLE))
    caller, exchange, _ = relay(full, sound, kind=RouteKind.NON_IDEMPOTENT, max_attempts=1)
    assert (caller.status, caller.body, exchange.verdict) == (200, b"whole", Verdict.RAN)
    assert len(full.requests) == len(sound.requests) == 1
