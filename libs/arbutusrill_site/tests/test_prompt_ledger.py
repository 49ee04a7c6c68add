"""Guards against bars that are lost with their leader or that do not reach the entry VMs."""

import threading
from types import SimpleNamespace

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_state import PromptTable
from arbutusrill_wire import messages

from arbutusrill_site._prompt_ledger import PromptLedger
from arbutusrill_site._service import SiteService


class Group:
    """The replicated record, which can be unavailable."""

    def __init__(self):
        self.table, self.commits, self.available = PromptTable(), 0, True

    def commit(self, record):
        if self.available:
            self.table.put(record)
            self.commits += 1
        return self.available

    def leader(self):
        """Returns the ledger of a new leader."""
        ledger = PromptLedger(ManualClock(50.0), threading.Condition(), self.table, self.commit)
        ledger.begin_term()
        return ledger


@pytest.fixture
def group():
    return Group()


def report(*parts, number, sound=()):
    crash = messages.PromptCrash("e", number, list(parts), 1000 - number * 100, 950 - number * 100)
    return messages.PromptReport("vm", [crash], list(sound))


def reply(ledger, revision=0):
    message = messages.PromptReply(1)
    ledger.add_to_reply(message, revision)
    return message


def crash_three_engines(ledger):
    for number in (1, 2, 3):
        ledger.report(report("F", "D", f"own-{number}", number=number))


def test_new_bar_is_in_the_log_when_its_report_is_answered(group):
    ledger = group.leader()
    crash_three_engines(ledger)
    assert [sorted(barred.parts) for barred in reply(group.leader()).barred] == [["D", "F"]]


def test_report_is_refused_while_its_bar_cannot_be_committed(group):
    # The VM reports it again, to the next leader if need be.
    ledger = group.leader()
    group.available = False
    with pytest.raises(messages.Refused):
        crash_three_engines(ledger)


def test_counts_of_two_crashes_are_saved_together_and_single_crashes_are_not(group):
    ledger = group.leader()
    ledger.report(report("F", "a", number=1))
    ledger.save()
    assert group.commits == 0
    ledger.report(report("F", "b", number=2))
    ledger.report(report("F", "b", "c", number=2))
    ledger.save()
    ledger.save()
    assert group.commits == 1
    restored = group.leader()
    restored.report(report("F", "d", number=3))
    assert [barred.parts for barred in reply(restored).barred] == [["F"]]


def test_change_of_the_bars_ends_long_polls_and_a_change_of_suspects_does_not(group):
    ledger = group.leader()
    known = reply(ledger)
    ledger.report(report("F", "D", "a", number=1))
    assert not ledger.is_behind(known.bars_revision)
    changed = reply(ledger, known.suspects_revision)
    assert sorted(changed.suspected) == ["D", "F", "a"] and changed.barred == []
    assert reply(ledger, changed.suspects_revision).barred is None
    crash_three_engines(ledger)
    assert ledger.is_behind(known.bars_revision)
    assert not ledger.is_behind(-1), "a VM without bars would poll in a loop"
    assert reply(ledger, -1).barred is None


def test_answer_of_a_sound_part_narrows_the_bar(group):
    ledger = group.leader()
    crash_three_engines(ledger)
    ledger.report(messages.PromptReport("vm", [], ["F"]))
    assert [barred.parts for barred in reply(ledger).barred] == [["D"]]
    assert [barred.parts for barred in reply(group.leader()).barred] == [["D"]]


def test_poll_of_an_entry_vm_ends_with_a_new_bar(group):
    # A VM that learned of the bar with its next poll sent on requests meanwhile.
    ledger = group.leader()
    service = SimpleNamespace(
        _term=1,
        _changed=ledger._changed,
        _state=SimpleNamespace(document=SimpleNamespace(version=1)),
        backends=SimpleNamespace(revision=1),
        prompts=ledger,
        evacuations=SimpleNamespace(is_behind=lambda poll: False),
    )
    poll = SimpleNamespace(document_version=1, backends_revision=1, bars_revision=ledger.bars_revision, wait_ms=50)
    assert not SiteService._wait_for_change(service, poll, 1)
    poll.wait_ms = 2000
    reporter = threading.Timer(0.05, crash_three_engines, [ledger])
    reporter.start()
    assert SiteService._wait_for_change(service, poll, 1)
    reporter.join()


def test_answers_in_a_report_of_a_crash_clear_its_parts_however_many_are_suspected(group):
    # Only answers of listed parts were reported: the others seemed to explain the crashes of the deadly part.
    shared = [f"{number:04x}" for number in range(1500)]
    ledger = group.leader()
    for number in range(1, 4):
        crash = messages.PromptCrash("other", number, shared, 1000 - number * 100, 950 - number * 100)
        ledger.report(messages.PromptReport("vm", [crash], []))
        ledger.report(messages.PromptReport("vm", [], shared[:300], [940 - number * 100] * 300))
    for number in range(1, 4):
        crash = messages.PromptCrash("e", number, ["dead"], 600 - number * 100, 550 - number * 100, "r", shared)
        crash.answered_ago_ms = [610 - number * 100] * len(shared)
        ledger.report(messages.PromptReport("vm", [crash], []))
    assert [barred.parts for barred in reply(ledger).barred] == [["dead"]]


def test_crash_of_an_earlier_version_has_no_ages(group):
    ledger = group.leader()
    for number in range(1, 4):
        crash = messages.PromptCrash("e", number, ["D"], 1000 - number * 100, 950 - number * 100, "r", ["F"])
        ledger.report(messages.PromptReport("vm", [crash], []))
    assert [barred.parts for barred in reply(ledger).barred] == [["D"]]


@pytest.mark.parametrize("count", [2, 70, 1500])
def test_part_of_a_long_prompt_is_barred_by_the_crashes_before_and_after_a_change_of_leader(group, count):
    # The record of a leader was cut after 512 parts, so that the next one counted the crashes of the others anew.
    shared = [f"{number:04x}" for number in range(count)]
    first = group.leader()
    for number in (1, 2):
        first.report(report(*shared, "dead", f"own-{number}", number=number))
    first.save()
    second = group.leader()
    assert not reply(second).barred
    second.report(report(*shared, "dead", "own-3", number=3))
    for ledger in (second, group.leader()):
        assert [sorted(barred.parts) for barred in reply(ledger).barred] == [sorted([*shared, "dead"])]
