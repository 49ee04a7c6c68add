"""Guards against two senders of a once-only call and against lost or contradictory outcomes."""

import random

import pytest
from arbutusrill_wire import decode, encode, messages

from arbutusrill_state import SharedState, make_command


class Site:
    """A shared state with two live VMs; commands are serialised as on a replica."""

    def __init__(self):
        self.state = SharedState()
        self.count = 0
        self.vm("v1", 1)
        self.vm("v2", 2)

    def apply_change(self, change, request_id=None):
        self.count += 1
        data = encode(make_command(change, "t", 0, request_id or f"r{self.count}"))
        return decode(messages.Outcome, self.state.apply(data))

    def vm(self, name, incarnation, state="live"):
        assert self.apply_change(messages.PutVm(name, "a", "b", "", incarnation, state)).accepted

    def begin(self, begin_id, vm="v1", incarnation=1, key="k", digest=b"d"):
        outcome = self.apply_change(messages.JournalBegin("w", key, digest, vm, incarnation), begin_id)
        assert outcome.accepted, outcome.message
        return decode(messages.BeginAnswer, outcome.detail)

    def finish(self, begin_id, status, attempt=0, key="k", body=b""):
        change = messages.JournalFinish("w", key, attempt, status, 201, "[]", body, begin_id)
        return self.apply_change(change).accepted

    def sweep(self, seconds):
        self.apply_change(messages.JournalSweep(0, int(seconds * 1000)))


@pytest.fixture
def site():
    return Site()


def test_resent_begin_starts_the_same_attempt(site):
    assert [site.begin("b1").status for _ in range(3)] == ["started"] * 3
    assert site.begin("b2", "v2", 2).status == "running"


def test_resent_begin_of_an_ended_attempt_does_not_start_another(site):
    site.begin("b1")
    site.finish("b1", "not_run")
    assert site.begin("b1").status == "running"
    assert site.begin("b2").attempt == 2


def test_only_proven_not_run_allows_another_attempt(site):
    site.begin("b1")
    site.finish("b1", "unknown")
    assert site.begin("b2").status == "unknown"


def test_entry_of_a_dead_vm_stays_unknown(site):
    site.begin("b1")
    site.vm("v1", 1, "dead")
    assert site.begin("b2", "v2", 2).status == "unknown"
    site.vm("v1", 1, "live")
    assert site.begin("b3", "v2", 2).status == "unknown"


def test_entry_of_an_earlier_incarnation_becomes_unknown(site):
    site.begin("b1")
    site.vm("v1", 9)
    assert site.begin("b2", "v1", 9).status == "unknown"


def test_late_answer_of_the_attempt_itself_replaces_unknown(site):
    site.begin("b1")
    site.vm("v1", 1, "dead")
    site.begin("b2", "v2", 2)
    assert site.finish("b1", "done", 1, body=b"x")
    assert site.begin("b3", "v2", 2).body == b"x"


def test_resent_finish_is_accepted_and_a_contradicting_one_is_not(site):
    site.begin("b1")
    assert site.finish("b1", "done", 1, body=b"x") and site.finish("b1", "done", 1, body=b"x")
    assert not site.finish("b1", "not_run", 1)
    assert site.begin("b2").status == "done"


def test_finish_of_an_earlier_attempt_does_not_touch_the_current_one(site):
    site.begin("b1")
    site.finish("b1", "not_run")
    site.begin("b2")
    assert not site.finish("b1", "not_run", 2)
    assert site.begin("b3").status == "running"


def test_other_body_with_the_same_key_is_a_mismatch(site):
    site.begin("b1")
    assert site.begin("b2", digest=b"e").status == "mismatch"


def test_answer_above_the_size_limit_is_recorded_as_ran(site):
    site.apply_change(messages.SetDefault("journal.answer_bytes", "4"))
    site.begin("b1")
    site.finish("b1", "done", body=b"12345")
    answer = site.begin("b2")
    assert (answer.status, answer.body or b"") == ("ran", b"")


@pytest.mark.parametrize("key", ["", "k" * 256])
def test_empty_or_too_long_key_is_refused(site, key):
    outcome = site.apply_change(messages.JournalBegin("w", key, b"d", "v1", 1))
    assert not outcome.accepted and outcome.code == "bad_value"


def test_sweep_drops_ended_entries_and_keeps_those_under_way_as_unknown(site):
    site.apply_change(messages.SetDefault("journal.retention_s", "60"))
    site.begin("b1")
    site.begin("b2", key="k2")
    site.finish("b1", "done")
    site.sweep(59)
    assert site.begin("b3").status == "done"
    site.sweep(10)
    assert site.begin("b4", key="k2").status == "unknown"
    assert site.begin("b5").status == "started"


def test_finish_of_a_swept_attempt_does_not_end_a_new_one(site):
    site.begin("b1")
    site.finish("b1", "unknown")
    site.sweep(10**6)
    assert site.begin("b2").attempt == 1
    assert not site.finish("b1", "not_run", 1)


def test_second_outstanding_attempt_fails_an_assertion(site):
    site.begin("b1")
    site.state.journal.entries_by_key["w", "k"].status = "not_run"  # the injected error
    with pytest.raises(AssertionError, match="may still be sent"):
        site.begin("b2")


def test_malformed_command_is_refused_and_does_not_stop_the_replica(site):
    for data in (b"", b"\x00", b"\xff" * 40, encode(messages.Command("r", "a", 0))):
        assert decode(messages.Outcome, site.state.apply(data)).code == "bad_command"


@pytest.mark.parametrize("seed", range(20))
def test_random_commands_give_one_sender_and_the_same_state_after_a_snapshot(seed):
    rng, site, other = random.Random(seed), Site(), SharedState()
    allowed, ended = {}, {}
    for step in range(300):
        key = f"k{rng.randrange(4)}"
        begin_id = f"b{rng.randrange(step + 1)}-{key}"
        if rng.random() < 0.5:
            answer = site.begin(begin_id, f"v{1 + step % 2}", 1 + step % 2, key)
            if answer.status == "started":
                # Every earlier attempt must have been recorded as not run.
                earlier = [other_id for other_id in allowed.get(key, []) if other_id != begin_id]
                assert all(ended.get(other_id) == "not_run" for other_id in earlier)
                allowed.setdefault(key, set()).add(begin_id)
        elif rng.random() < 0.8:
            status = rng.choice(["done", "not_run", "not_run", "unknown", "ran"])
            if site.finish(begin_id, status, key=key):
                ended[begin_id] = status
        else:
            site.vm("v1", 1, rng.choice(["dead", "live"]))
        if step % 50 == 0:
            other.restore(site.state.snapshot())
            assert other.snapshot() == site.state.snapshot()
            site.state = other
            other = SharedState()
