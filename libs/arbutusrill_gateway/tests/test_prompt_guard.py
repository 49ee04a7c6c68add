"""Guards against further sends of a prompt that crashes engines, and against evidence that is none or is lost."""

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_site import BarredSet, PromptBars, SiteView
from arbutusrill_state import ControlUnavailableError
from arbutusrill_wire import messages

from arbutusrill_gateway import CallerRequest, Candidate, PromptBarredError, PromptGuard, ResponseHead
from arbutusrill_gateway._attempt import AttemptResult, Outcome


class Leader:
    """Records the reports; answers with the bars in `barred` unless it is unavailable."""

    def __init__(self):
        self.reports = []
        self.barred = []
        self.available = True

    def call(self, name, report, timeout, try_timeout):
        assert name == "report_prompts" and timeout <= 0.3
        if not self.available:
            raise ControlUnavailableError("no leader", False)
        self.reports.append(report)
        return messages.PromptReply(1, len(self.reports), len(self.reports), self.barred, [])

    def crashes(self):
        return [(crash.backend, crash.started_ms, crash.parts) for report in self.reports for crash in report.crashes]


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def view(clock):
    return SiteView(clock)


@pytest.fixture
def leader():
    return Leader()


@pytest.fixture
def guard(leader, view, clock):
    return PromptGuard("vm", leader, view, clock)


def request(*parts):
    return CallerRequest("r", "POST", "h", "/x", [], b"", prompt_parts=parts)


CANDIDATE = Candidate(messages.BackendRecord("e", 7), 0.0)
ANSWERED = AttemptResult(Outcome.ANSWERED, ResponseHead(200, "r", False, True), b"", "", 0.2)
CRASHED = AttemptResult(Outcome.BROKEN, None, b"", "", 0.2, connection_lost=True)


def test_crash_is_reported_before_the_request_is_sent_again_which_a_new_bar_prevents(guard, leader):
    # Half of the engines that ended had got the second attempt of a request that had ended one before.
    leader.barred = [messages.BarredParts(["D"], 600_000, 3)]
    guard.check(request("F", "D", "a"))
    guard.record_attempt(request("F", "D", "a"), CANDIDATE, CRASHED, 0)
    assert leader.crashes() == [("e", 7, ["F", "D", "a"])]
    with pytest.raises(PromptBarredError) as caught:
        guard.check(request("F", "D", "b"))
    assert 599 < caught.value.retry_after_s <= 600
    guard.check(request("F", "b"))
    guard.check(request())


@pytest.mark.parametrize(
    "result, events",
    [
        (AttemptResult(Outcome.BROKEN, None, b"", "an answer for another request", 0.2), 0),
        (AttemptResult(Outcome.TIMEOUT, None, b"", "", 0.2), 0),
        (AttemptResult(Outcome.REJECTED, None, b"", "", 0.2), 0),
        (AttemptResult(Outcome.UNREACHED, None, b"", "", 0.2), 0),
    ],
)
def test_other_failures_are_not_held_against_a_prompt(guard, leader, result, events):
    guard.record_attempt(request("F", "a"), CANDIDATE, result, events)
    guard.flush()
    assert not leader.reports


@pytest.mark.parametrize("events", [0, 1, 2, 3, 10, 1000])
def test_crash_counts_however_many_events_came_before_it(guard, leader, events):
    # A part that crashed each engine after two events was never barred: its crashes did not count.
    guard.record_events(request("F", "a"), events, 1.9)
    guard.record_attempt(request("F", "a"), CANDIDATE, CRASHED, events)
    assert leader.crashes() == [("e", 7, ["F", "a"])]


def test_parts_that_were_answered_since_the_attempt_began_are_not_held_responsible(guard, leader, clock):
    # A first part that most requests share is on every engine that crashes.
    assert guard.record_events(request("F", "a"), 3, 2.0)
    guard.record_attempt(request("G", "b"), CANDIDATE, ANSWERED, 1)
    guard.record_attempt(request("F", "D", "c"), CANDIDATE, CRASHED, 1)
    guard.record_attempt(request("G", "D", "d"), CANDIDATE, CRASHED, 1)
    clock.advance(0.5)
    guard.record_attempt(request("F", "D", "e"), CANDIDATE, CRASHED, 0)
    clock.advance(31)
    guard.record_attempt(request("F", "D", "f"), CANDIDATE, CRASHED, 0)
    assert [parts for _, _, parts in leader.crashes()] == [["D", "c"], ["D", "d"], ["D", "e"], ["F", "D", "f"]]
    answered = [crash.answered_parts for report in leader.reports for crash in report.crashes]
    assert answered == [[], [], ["F"], []]


def test_empty_answer_and_the_beginning_of_one_prove_nothing(guard, leader):
    guard.record_attempt(request("F", "a"), CANDIDATE, ANSWERED, 0)
    assert not guard.record_events(request("F", "a"), 2, 60.0)
    assert not guard.record_events(request("F", "a"), 60, 1.0)
    guard.record_attempt(request("F", "a"), CANDIDATE, CRASHED, 0)
    assert leader.crashes() == [("e", 7, ["F", "a"])]


def test_crash_is_reported_again_with_its_age_when_the_leader_did_not_answer(guard, leader, clock):
    leader.available = False
    guard.record_attempt(request("D", "a"), CANDIDATE, CRASHED, 0)
    leader.available = True
    guard.flush()
    assert not leader.reports, "no call while the leader is presumed unavailable"
    clock.advance(2.0)
    guard.flush()
    clock.advance(2.0)
    guard.flush()
    assert leader.crashes() == [("e", 7, ["D", "a"])]
    crash = leader.reports[0].crashes[0]
    assert (crash.began_ago_ms, crash.ended_ago_ms) == (2200, 2000)


def test_only_suspected_parts_are_reported_as_answered_and_each_answer_once(guard, leader, view, clock):
    def sounds():
        return [(report.sound, report.sound_ago_ms) for report in leader.reports]

    guard.record_events(request("F", "G", "a"), 4, 4.0)
    guard.flush()
    assert not leader.reports
    view.prompt_bars = PromptBars(1, 5, suspected=frozenset({"F", "D"}))
    clock.advance(1.0)
    guard.flush()
    guard.flush()
    assert sounds() == [(["F"], [1000])]
    view.prompt_bars = PromptBars(1, 6, suspected=frozenset({"F"}))
    guard.flush()
    assert sounds() == [(["F"], [1000])]
    guard.record_events(request("F", "b"), 4, 4.0)
    guard.flush()
    assert sounds() == [(["F"], [1000]), (["F"], [0])]


def test_bars_stay_known_without_a_leader_and_older_replies_do_not_replace_them(guard, view, clock):
    view.prompt_bars = PromptBars(2, 5, barred=(BarredSet(frozenset({"D"}), clock.monotonic() + 600, 3),))
    clock.advance(3600)
    for term, revision in ((1, 9), (2, 4)):
        view.apply_prompt_bars(messages.PromptReply(term, revision, 1, [], []))
        with pytest.raises(PromptBarredError):
            guard.check(request("D"))
    view.apply_prompt_bars(messages.PromptReply(3, 1, 1, [], []))
    guard.check(request("D"))


def test_answers_of_parts_are_reported_with_the_crash_and_their_age(guard, leader, clock):
    guard.record_events(request("F", "a"), 3, 2.0)
    clock.advance(1.5)
    guard.record_attempt(request("F", "D", "b"), CANDIDATE, CRASHED, 0)
    (crash,) = leader.reports[0].crashes
    assert (crash.parts, crash.answered_parts, crash.answered_ago_ms) == (["D", "b"], ["F"], [1500])


def test_crashes_that_wait_for_a_leader_are_bounded_in_memory_and_the_latest_are_kept(guard, leader, clock):
    leader.available = False
    for number in range(100):
        guard.record_attempt(request(*(f"{number}-{part}" for part in range(2700))), CANDIDATE, CRASHED, 0)
    leader.available = True
    clock.advance(2.0)
    guard.flush()
    parts = [part for _, _, parts in leader.crashes() for part in parts]
    assert "99-2699" in parts and sum(map(len, parts)) + 100 * len(parts) <= 1_048_576


def test_shared_parts_count_as_answered_beside_many_others(guard, leader, clock):
    for number in range(50):
        guard.record_events(request("F", *(f"{number}-{part}" for part in range(2700))), 3, 2.0)
    clock.advance(1.0)
    guard.record_attempt(request("F", "D"), CANDIDATE, CRASHED, 0)
    (crash,) = leader.reports[0].crashes
    assert (crash.parts, crash.answered_parts) == (["D"], ["F"])
