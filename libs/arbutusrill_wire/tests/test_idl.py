"""Tests that the compiled writer produces the same bytes as the pure Python implementation."""

import pytest
from thriftpy2.utils import serialize

from arbutusrill_wire import decode, encode, messages

NESTED = messages.FollowReply(
    [messages.RevisionedCommand(7, messages.Command("r", "a", 1, put_vm=messages.PutVm("v", state="live")))],
    None,
    2**62,
    -1,
    "Hà Nội",
)
SAMPLES = [
    NESTED,
    messages.JournalFinish("w", "k", 1, "done", 200, "[]", bytes(range(256))),
    messages.JournalFinish("w", "k", 1, "done", 200, "[]", b""),
    messages.ConfigSnapshot(1, {"a": "1", "b": ""}, [], [messages.PutWorkspace("w", 1.5, -0.0)], feature_level=2),
    messages.AcquireRequest("p", "t", prefix_blocks=["x"] * 5000, avoid=[]),
    messages.Announcement(checks_fencing=True, slots=-(2**31), memory_bytes=2**63 - 1),
]


@pytest.mark.parametrize("message", SAMPLES)
def test_compiled_writer_matches_python_writer(message):
    assert encode(message) == serialize(message)
    assert decode(type(message), encode(message)) == message


@pytest.mark.parametrize("value", ["text", 2**31])
def test_value_of_wrong_type_or_size_is_rejected(value):
    with pytest.raises(Exception):  # noqa: B017
        encode(messages.Announcement(slots=value))
    assert decode(messages.Announcement, encode(messages.Announcement(slots=1))).slots == 1
