"""Guards against sends after the send deadline and against outcomes lost while the control group is unavailable."""

import pytest
from arbutusrill_base import FailureError, ManualClock, Verdict
from arbutusrill_wire import decode, encode, messages

from arbutusrill_state import ControlUnavailableError, JournalClient, SharedState, make_command


class Control:
    """Applies commands to a shared state; can be unavailable, lose replies and deliver begins late."""

    def __init__(self):
        self.state = SharedState()
        self.apply(make_command(messages.PutVm("v", "a", "b", "", 1, "live"), "t", 0))
        self.unavailable = False
        self.replies_to_lose = 0
        self.delayed_begins = []

    def apply(self, proposal):
        return decode(messages.Outcome, self.state.apply(encode(proposal)))

    def call(self, name, proposal, timeout):
        if self.unavailable:
            self.delayed_begins.append(proposal)
            raise ControlUnavailableError("unavailable", True)
        outcome = self.apply(proposal)
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise ControlUnavailableError("reply lost", True)
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


def test_suspended_vm_does_not_send_after_the_send_deadline(journal, control, clock):
    attempt = journal.begin("w", "k", b"d")
    clock.advance(10)
    with pytest.raises(FailureError, match="send_too_late"):
        journal.check_send(attempt, 1e9)
    journal.record_failure(attempt, Verdict.MAY_HAVE_RUN)
    assert control.status() == "not_run"  # proven, because nothing was sent


def test_call_is_not_sent_after_the_deadline_of_its_caller(journal, clock):
    attempt = journal.begin("w", "k", b"d")
    clock.advance(1)
    with pytest.raises(FailureError, match="send_too_late"):
        journal.check_send(attempt, 1.0)


def test_failure_after_the_send_is_not_recorded_as_not_run(journal, control):
    attempt = journal.begin("w", "k", b"d")
    journal.check_send(attempt, 1e9)
    journal.record_failure(attempt, Verdict.MAY_HAVE_RUN)
    assert control.status() == "unknown"


def test_outcome_is_recorded_when_control_is_available_again(journal, control):
    attempt = journal.begin("w", "k", b"d")
    journal.check_send(attempt, 1e9)
    control.unavailable = True
    journal.record_answer(attempt, 201, "[]", b"seat 12", 1000)
    assert control.status() == "running" and not journal.retry_finishes()
    control.unavailable = False
    assert journal.retry_finishes() and control.status() == "done"
    assert journal.begin("w", "k", b"d").answer.body == b"seat 12"


def test_begin_without_a_reply_does_not_block_the_key(journal, control):
    control.replies_to_lose = 1
    with pytest.raises(FailureError) as caught:
        journal.begin("w", "k", b"d")
    assert caught.value.failure.verdict is Verdict.NOT_RUN and control.status() == "running"
    journal.retry_finishes()
    assert journal.begin("w", "k", b"d").answer.status == "started"


def test_begin_applied_after_its_finish_was_sent_is_finished_too(journal, control):
    control.unavailable = True
    with pytest.raises(FailureError):
        journal.begin("w", "k", b"d")
    control.unavailable = False
    assert not journal.retry_finishes()
    control.apply(control.delayed_begins[0])
    assert journal.retry_finishes() and control.status() == "not_run"


def test_answer_above_the_size_limit_is_not_sent_to_the_journal(journal, control):
    attempt = journal.begin("w", "k", b"d")
    journal.check_send(attempt, 1e9)
    journal.record_answer(attempt, 200, "[]", b"x" * 1001, 1000)
    assert control.status() == "ran"


@pytest.mark.parametrize("key", ["", "k" * 256])
def test_empty_or_too_long_key_is_refused_with_the_header_name(journal, key):
    with pytest.raises(FailureError) as caught:
        journal.begin("w", key, b"d")
    assert caught.value.failure.status == 400 and caught.value.failure.param == "Idempotency-Key"
