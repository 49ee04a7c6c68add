"""Guards against a send after the fence and against outcomes that are lost while control is away."""

import pytest
from arbutusrill_base import FailureError, ManualClock, Verdict
from arbutusrill_wire import decode, encode, messages

from arbutusrill_state import ControlUnavailableError, JournalClient, SharedState, command


class Control:
    """Applies commands to a shared state; can be away, lose answers and deliver begins late."""

    def __init__(self):
        self.state = SharedState()
        self.apply(command(messages.PutVm("v", "a", "b", "", 1, "live"), "t", 0))
        self.away = False
        self.lose_answers = 0
        self.late = []

    def apply(self, made):
        return decode(messages.Outcome, self.state.apply(encode(made)))

    def call(self, name, made, timeout):
        if self.away:
            self.late.append(made)
            raise ControlUnavailableError("away", True)
        outcome = self.apply(made)
        if self.lose_answers:
            self.lose_answers -= 1
            raise ControlUnavailableError("answer lost", True)
        return decode(messages.BeginAnswer, outcome.detail) if name == "begin_call" else outcome

    def status(self):
        entry = self.state.journal.entries_by_key.get(("w", "k"))
        return None if entry is None else entry.status


@pytest.fixture
def control():
    return Control()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def journal(control, clock):
    return JournalClient("v", 1, control, clock)


def test_frozen_vm_does_not_send_after_the_fence(journal, control, clock):
    attempt = journal.begin("w", "k", b"d")
    clock.advance(10)
    with pytest.raises(FailureError, match="send_too_late"):
        journal.check_send(attempt, 1e9)
    journal.fail(attempt, Verdict.MAY_HAVE_RUN)
    assert control.status() == "not_run"  # proven, nothing was sent


def test_call_is_not_sent_after_the_deadline_of_its_caller(journal, clock):
    attempt = journal.begin("w", "k", b"d")
    clock.advance(1)
    with pytest.raises(FailureError, match="send_too_late"):
        journal.check_send(attempt, 1.0)


def test_failure_after_the_send_is_not_recorded_as_not_run(journal, control):
    attempt = journal.begin("w", "k", b"d")
    journal.check_send(attempt, 1e9)
    journal.fail(attempt, Verdict.MAY_HAVE_RUN)
    assert control.status() == "unknown"


def test_outcome_is_recorded_once_control_is_back(journal, control):
    attempt = journal.begin("w", "k", b"d")
    journal.check_send(attempt, 1e9)
    control.away = True
    journal.succeed(attempt, 201, "[]", b"seat 12", 1000)
    assert control.status() == "running" and not journal.retry()
    control.away = False
    assert journal.retry() and control.status() == "done"
    assert journal.begin("w", "k", b"d").answer.body == b"seat 12"


def test_begin_without_an_answer_does_not_block_the_key(journal, control):
    control.lose_answers = 1
    with pytest.raises(FailureError) as caught:
        journal.begin("w", "k", b"d")
    assert caught.value.failure.verdict is Verdict.NOT_RUN and control.status() == "running"
    journal.retry()
    assert journal.begin("w", "k", b"d").answer.status == "started"


def test_begin_that_arrives_after_its_end_is_ended_too(journal, control):
    control.away = True
    with pytest.raises(FailureError):
        journal.begin("w", "k", b"d")
    control.away = False
    assert not journal.retry()
    control.apply(control.late[0])
    assert journal.retry() and control.status() == "not_run"


def test_answer_above_the_bound_is_not_sent_to_the_journal(journal, control):
    attempt = journal.begin("w", "k", b"d")
    journal.check_send(attempt, 1e9)
    journal.succeed(attempt, 200, "[]", b"x" * 1001, 1000)
    assert control.status() == "ran"


@pytest.mark.parametrize("key", ["", "k" * 256])
def test_key_of_unusual_length_is_refused_with_its_name(journal, key):
    with pytest.raises(FailureError) as caught:
        journal.begin("w", key, b"d")
    assert caught.value.failure.status == 400 and caught.value.failure.param == "Idempotency-Key"
