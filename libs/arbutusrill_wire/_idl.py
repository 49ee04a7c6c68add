"""The thrift messages, loaded from the IDL file beside this module."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import thriftpy2
from thriftpy2.utils import deserialize, serialize

__all__ = ["decode", "encode", "messages"]

messages = thriftpy2.load(str(Path(__file__).with_name("arbutusrill.thrift")), module_name="arbutusrill_thrift")

T = TypeVar("T")


def encode(message: Any) -> bytes:
    """Serialises a thrift struct in the binary protocol.

    >>> decode(messages.SetDefault, encode(messages.SetDefault("a", "1"))).value_json
    '1'
    """
    return serialize(message)


def decode(kind: type[T], data: bytes) -> T:
    """Parses a thrift struct; raises an exception of thriftpy2 or `ValueError` when `data` is no such struct."""
    return deserialize(kind(), data)
