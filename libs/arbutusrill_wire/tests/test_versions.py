"""Tests that processes of different versions can read each other's messages."""

import itertools
import tempfile
from pathlib import Path

import pytest
import thriftpy2

import arbutusrill_wire
from arbutusrill_wire import RpcClient, RpcError, RpcServer, decode, encode, messages

IDL = Path(arbutusrill_wire.__file__).with_name("arbutusrill.thrift").read_text()
_numbers = itertools.count()


def load_changed(old: str, new: str):
    """Returns the messages of another version, whose IDL has `new` in place of the first `old`."""
    assert old in IDL
    name = f"changed{next(_numbers)}"
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / f"{name}.thrift"
        path.write_text(IDL.replace(old, new, 1))
        return thriftpy2.load(str(path), module_name=f"{name}_thrift")


def test_unknown_field_is_skipped():
    after = load_changed(
        "struct SetFeatureLevel { 1: i32 level }", "struct SetFeatureLevel { 1: i32 level, 9: string why }"
    )
    data = encode(after.Command("r", "ops", 7, set_feature_level=after.SetFeatureLevel(3, "upgrade")))
    read = decode(messages.Command, data)
    assert (read.request_id, read.set_feature_level.level) == ("r", 3)


def test_unknown_command_is_read_as_no_command():
    after = load_changed(
        "  40: JournalBegin journal_begin,", "  39: SetDefault set_later, 40: JournalBegin journal_begin,"
    )
    data = encode(after.Command("r", "ops", 7, set_later=after.SetDefault("a", "1")))
    read = decode(messages.Command, data)
    assert read.request_id == "r"
    assert read.set_default is None


def test_field_missing_from_an_older_sender_has_its_default():
    before = load_changed("4: double weight = 1.0", "")
    read = decode(messages.PutWorkspace, encode(before.PutWorkspace("a", 2.0, 3.0)))
    assert read.weight == 1.0


def test_unknown_method_fails_and_the_connection_stays_usable():
    after = load_changed("service Raft {", "service Raft {\n  bool ping(),")

    class Handler:
        def __getattr__(self, name):
            return lambda *_: messages.VoteReply(1, True)

    with RpcServer("127.0.0.1", 0, {messages.Raft: Handler()}) as server, RpcClient(server.address) as client:
        with pytest.raises(RpcError, match="unknown method"):
            client.call(after.Raft, "ping", timeout=5)
        assert client.call(messages.Raft, "vote", messages.VoteRequest(), timeout=5).granted
