"""Tests that an entry VM goes on following the leader after a document that it cannot decode."""

import zlib
from types import SimpleNamespace

from arbutusrill_base import ManualClock, TaskGroup
from arbutusrill_limits import SpendReport
from arbutusrill_state import join_parts, make_patch
from arbutusrill_wire import messages

from arbutusrill_site import SiteFollower, SiteView
from arbutusrill_site._service import SiteService


class Leader:
    """Gives the scripted replies in order, then stops the follower.

    `requests` holds what it was sent, `addresses` where it is looked for.
    """

    def __init__(self, tasks, *replies):
        self.requests = []
        self.addresses = []
        self._tasks, self._replies = tasks, list(replies)

    def call(self, name, request, **_):
        self.requests.append(request)
        reply = self._replies.pop(0)
        if not self._replies:
            self._tasks.stopping.set()
        if isinstance(reply, Exception):
            raise reply
        return reply

    def set_addresses(self, addresses):
        self.addresses = addresses


def reply(version, document, *backends, term=1):
    records = [messages.BackendRecord(name, 1, 1, "s", f"10.0.0.1:{name}", "z1", 8) for name in backends]
    return messages.SiteFollowReply(term, version, zlib.compress(document), 1, records, 1, [], True, True)


def decode(parts):
    body = join_parts(parts)
    if body == b"odd":
        raise RecursionError("nested too deeply")
    return body


def follow(*replies):
    """Returns the view and the leader after a follower has polled once for each of `replies`."""
    rates = SimpleNamespace(
        report=lambda: SpendReport({}, is_full=True),
        apply_levels=lambda report, levels: None,
    )
    clock = ManualClock()
    view = SiteView(clock)
    with TaskGroup("follower", 2) as tasks:
        leader = Leader(tasks, *replies)
        entry = messages.EntryRecord("vm", "10.0.0.9:80", "z1", "starting")
        follower = SiteFollower(view, entry, 1, leader, clock, rates, decode, list, list, lambda: ["s:1", "a:1"])
        follower._run(tasks.stopping)
    return view, leader


def test_document_that_cannot_be_decoded_does_not_stop_the_lists():
    # The lists in the same reply and in all later ones were ignored, and the document was requested without pause.
    view, leader = follow(
        reply(1, b"first"), reply(2, b"odd", "1", "2"), reply(2, b"odd", "1", "3"), reply(3, b"third")
    )
    assert [request.document_version for request in leader.requests] == [0, 1, 2, 2]
    assert (view.document, view.version) == (b"third", 3)

    view, _ = follow(reply(1, b"first"), reply(2, b"odd", "1", "2"), reply(2, b"odd", "1", "3"))
    assert (view.document, view.version) == (b"first", 1)
    assert sorted(view.backends_by_id) == ["1", "3"]


def test_follower_survives_any_error_and_polls_on():
    view, leader = follow(
        reply(1, b"first"), RecursionError(), ValueError("odd"), messages.Refused("x"), reply(2, b"2")
    )
    assert (len(leader.requests), view.document) == (5, b"2")


def test_leader_uses_the_previous_document_if_the_latest_cannot_be_decoded():
    # Each poll of every entry VM failed, since the leader needs the document for the token levels.
    held = [1, (b"wfirst",)]
    service = SimpleNamespace(
        _state=SimpleNamespace(document=SimpleNamespace(held=lambda: tuple(held))),
        _decode_document=decode,
        _decoded_document=(0, None),
    )
    assert SiteService._configuration(service) == b"first"
    held[:] = [2, (b"wodd",)]
    assert SiteService._configuration(service) == SiteService._configuration(service) == b"first"
    held[:] = [3, (b"wthird",)]
    assert SiteService._configuration(service) == b"third"


def test_bars_are_in_force_before_the_first_document(monkeypatch):
    # Requests that wait for the first document were sent to engines that their prompts crash.
    sets, apply_document = [], SiteFollower._apply_document

    def record(follower, received):
        sets.append(len(follower.view.prompt_bars.barred))
        apply_document(follower, received)

    monkeypatch.setattr(SiteFollower, "_apply_document", record)
    first = reply(1, b"first")
    first.barred, first.suspected = [messages.BarredParts(["D"], 1000, 3)], ["D"]
    first.suspects_revision, first.bars_revision = 5, 2
    _, leader = follow(first, reply(2, b"second"))
    assert sets == [1, 1]
    assert [(poll.suspects_revision, poll.bars_revision) for poll in leader.requests] == [(0, 0), (5, 2)]


def test_known_members_are_asked_beside_the_seeds_after_a_failed_poll():
    # With the seeds alone, an entry VM whose seeds were all lost never found the group again.
    first = reply(1, b"first")
    first.control = ["a:1", "b:1"]
    _, leader = follow(first, messages.Refused("x"))
    assert set(leader.addresses) == {"a:1", "b:1", "s:1"}


def test_patch_that_is_in_force_already_does_not_drop_the_document():
    # The poll that announces a drain may run beside a long poll. Both then bring the same patch, and after the second
    # one the VM asked for the whole document.
    def patched():
        changed = reply(2, b"")
        changed.document = None
        changed.document_patches = [messages.PatchDocument(1, 2, make_patch((b"wfirst",), (b"wsecond",)))]
        return changed

    view, leader = follow(reply(1, b"first"), patched(), patched(), reply(2, b""))
    assert (view.document, view.version) == (b"second", 2)
    assert [request.document_version for request in leader.requests] == [0, 1, 2, 2]
