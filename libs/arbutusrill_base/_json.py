"""Decoding of JSON from other programs, within limits that are the same on every VM."""

from __future__ import annotations

import json
import math
from typing import Any

__all__ = ["MAX_INTEGER", "load_json", "whole_number"]

MAX_INTEGER = 2**53 - 1  # larger integers are not exact in all implementations of JSON
_MAX_DEPTH = 32


def load_json(body: bytes, depth: int = 0) -> Any:
    """Decodes JSON in UTF-8; raises `ValueError` if it is invalid, not UTF-8 or nested too deeply.

    `depth` is the number of levels around `body` in the text that it is a part of.

    The limit of the interpreter depends on the stack of the calling thread: a value that one VM accepts might not be
    decoded by another.
    """
    try:
        text = body.decode("utf-8-sig")
        value = json.loads(text, parse_constant=_refuse_constant, parse_float=_finite)
        if "\\u" in text:
            json.dumps(value, ensure_ascii=False).encode()  # fails for an escaped surrogate without its pair
    except RecursionError:
        raise ValueError("it is nested too deeply") from None
    level = [value]
    for _ in range(_MAX_DEPTH - depth):
        level = [child for item in level for child in _children(item) if isinstance(child, dict | list)]
        if not level:
            return value
    raise ValueError("it is nested too deeply")


def _children(value: Any) -> Any:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is no number")


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text[:20]} is too large")
    return value


def whole_number(value: Any, maximum: int = MAX_INTEGER) -> int | None:
    """Returns `value` if it is a whole number from 0 to `maximum`, otherwise None."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return value if is_integer and 0 <= value <= maximum else None
