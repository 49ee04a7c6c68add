"""Guards of entries that replicas of earlier versions cannot read."""

import threading
from types import SimpleNamespace

import pytest
from arbutusrill_wire import messages

from arbutusrill_raft._membership_changes import MembershipChanges


def refuse():
    raise OSError("no route")


def changes(format_by_address, silent=refuse):
    """Returns the membership changes of a replica ``a`` whose other members reply with their formats, None for not.

    `silent` is called for those that do not reply.
    """

    def hello(address, name, request, timeout):
        if format_by_address[address] is None:
            silent()
        return messages.HelloReply(f"{address}/disk", "", "", format_by_address[address])

    members = ["a/disk", *(f"{address}/disk" for address in format_by_address)]
    core = SimpleNamespace(
        lock=threading.Lock(),
        own_id="a/disk",
        membership=SimpleNamespace(members=members),
        timing=SimpleNamespace(call_timeout_s=0.1),
    )
    return MembershipChanges(core, SimpleNamespace(call=hello))


@pytest.mark.parametrize(
    ("formats", "log_format", "refused"),
    [
        ({"b": 2, "c": 2}, 2, False),
        # A new leader must be able to commit while a member is down that it has not asked before.
        ({"b": None, "c": 2}, 0, False),
        ({"b": None, "c": 1}, 0, True),
        ({"b": 1, "c": None}, 0, True),
        ({"b": 1, "c": 2}, 1, True),
    ],
)
def test_silent_member_is_neither_taken_for_a_current_nor_for_an_old_one(formats, log_format, refused):
    assert changes(formats).log_format() == log_format
    assert changes(formats).is_format_refused(2) == refused


def test_silent_members_are_asked_at_the_same_time():
    # One after the other, three of them took 1.2 s of the first evacuation order that a leader commits.
    all_asked = threading.Barrier(3)

    def wait_and_fail():
        all_asked.wait(2.0)
        raise OSError("no answer in time")

    asked = changes(dict.fromkeys("bcd"), silent=wait_and_fail)
    assert not asked.is_format_refused(2) and not all_asked.broken
    assert asked.log_format() == 0 and not all_asked.broken
