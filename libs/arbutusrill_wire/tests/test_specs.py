"""Tests that the message classes match the IDL."""

from pathlib import Path

import thriftpy2

import arbutusrill_wire
from arbutusrill_wire import messages
from arbutusrill_wire.generate import generate

IDL = Path(arbutusrill_wire.__file__).with_name("arbutusrill.thrift")


def fields(payload):
    spec = str(sorted(payload.thrift_spec.items())).replace("arbutusrill_idl_test_thrift", "arbutusrill_thrift")
    return spec, payload.default_spec


def test_committed_specification_matches_the_idl():
    assert IDL.with_suffix(".json").read_text(encoding="utf-8") == generate()


def test_classes_match_those_of_thriftpy2():
    loaded = thriftpy2.load(str(IDL), module_name="arbutusrill_idl_test_thrift").__thrift_meta__
    for payload in loaded["structs"] + loaded["exceptions"]:
        assert fields(getattr(messages, payload.__name__)) == fields(payload)
    for service in loaded["services"]:
        made = getattr(messages, service.__name__)
        assert made.thrift_services == service.thrift_services
        for name in service.thrift_services:
            for part in ("args", "result"):
                assert fields(getattr(made, f"{name}_{part}")) == fields(getattr(service, f"{name}_{part}"))
    assert messages.Verdict.MAY_HAVE_RUN == loaded["enums"][0].MAY_HAVE_RUN
