"""Divides the text of a configuration into the elements of its lists and the text between them."""

from __future__ import annotations

import bisect
import itertools
import operator
import threading

import msgspec
from arbutusrill_base import load_json
from arbutusrill_state import UNDIVIDED, join_parts

__all__ = ["GLUE", "DocumentSplitter"]

GLUE = b"g"  # kind of the parts between the elements of lists
_CHUNK_BYTES = 64 * 1024
_MAX_HEAD_GROWTH = 64  # bytes by which the text before the first list may grow to be compared with the last document


class DocumentSplitter:
    """Divides documents; `kind_by_list` gives the kind of the elements of each list of the top level.

    A document that differs from the last one in few neighbouring elements, and before the first list, is divided by
    that difference alone.

    >>> splitter = DocumentSplitter({"routes": b"r"})
    >>> splitter.split(b'{"version": 1, "routes": [{"name": "a"}, {"name": "b"}]}')
    (b'g{"version": 1, "routes": [', b'r{"name": "a"}', b'r, {"name": "b"}', b'g]}')
    """

    def __init__(self, kind_by_list: dict[str, bytes]):
        self._kind_by_list = kind_by_list
        self._list_by_kind = {kind: name for name, kind in kind_by_list.items()}
        self._lock = threading.Lock()
        self._last_body = b""
        self._last_parts: tuple[bytes, ...] = ()

    def split(self, body: bytes) -> tuple[bytes, ...]:
        """Returns the parts of a document.

        Returns a single part of the kind `UNDIVIDED` for a text that is not JSON or not written in a regular way.
        """
        with self._lock:
            last_body, last_parts = self._last_body, self._last_parts
        parts = self._split_near(body, last_body, last_parts) or self._split_whole(body)
        if not parts[0].startswith(UNDIVIDED):
            with self._lock:
                self._last_body, self._last_parts = body, parts
        return parts

    def _split_whole(self, body: bytes) -> tuple[bytes, ...]:
        parts: list[bytes] = []
        position = 0
        try:
            for name, raw in msgspec.json.decode(body, type=dict[str, msgspec.Raw]).items():
                kind = self._kind_by_list.get(name)
                elements = [] if kind is None else _raw_elements(raw)
                if not elements:
                    continue
                start = body.index(elements[0], position)
                separator = b""
                if len(elements) > 1:
                    first_end = start + len(elements[0])
                    separator = body[first_end : body.index(elements[1], first_end)]
                prefix = kind + separator
                parts += [GLUE + body[position:start], kind + elements[0]]
                parts += [prefix + element for element in elements[1:]]
                position = start + sum(map(len, elements)) + len(separator) * (len(elements) - 1)
        except (msgspec.MsgspecError, ValueError):
            return (UNDIVIDED + body,)
        parts.append(GLUE + body[position:])
        return tuple(parts) if join_parts(tuple(parts)) == body else (UNDIVIDED + body,)

    def _split_near(self, body: bytes, last_body: bytes, last_parts: tuple[bytes, ...]) -> tuple[bytes, ...] | None:
        """Returns the parts if `body` differs from the last document in a few elements of one list, else None."""
        if len(last_parts) < 2 or last_parts[1].startswith(GLUE):
            return None
        first_element = last_parts[1][1:]
        last_start = len(last_parts[0]) - 1
        start = body.find(first_element, 0, last_start + _MAX_HEAD_GROWTH + len(first_element))
        if start < 0 or not self._opens_list(body[:start], last_parts[1][:1]):
            return None
        last_size, size = len(last_body) - last_start, len(body) - start
        equal_start = _common_prefix(last_body, last_start, body, start)
        equal_end = _common_suffix(last_body, body, min(last_size, size) - equal_start)
        # Ends of the parts after the first one, as distances from `last_start`.
        lengths = map(operator.sub, map(len, last_parts[1:]), itertools.repeat(1))
        ends = list(itertools.accumulate(lengths))
        kept = bisect.bisect_right(ends, equal_start)
        resumed = bisect.bisect_left(ends, last_size - equal_end) + 1
        resumed = min(max(resumed, kept), len(ends))
        replaced_start = ends[kept - 1] if kept else 0
        replaced_end = size - last_size + (ends[resumed - 1] if resumed else 0)
        text = body[start + replaced_start : start + replaced_end]
        replaced = self._elements_between(last_parts[1:], kept, resumed, text)
        if replaced is None:
            return None
        return (GLUE + body[:start], *last_parts[1 : 1 + kept], *replaced, *last_parts[1 + resumed :])

    def _opens_list(self, head: bytes, kind: bytes) -> bool:
        """Returns whether `head` is the text before the first element of the list of this kind."""
        try:
            value = load_json(head + b"]}")
        except ValueError:
            return False
        return (
            isinstance(value, dict) and bool(value) and next(reversed(value.items())) == (self._list_by_kind[kind], [])
        )

    @staticmethod
    def _elements_between(parts: tuple[bytes, ...], kept: int, resumed: int, text: bytes) -> list[bytes] | None:
        """Returns the parts of `text`, which replaces `parts[kept:resumed]`; None unless they are in one list."""
        kind = parts[kept - 1][:1] if kept else GLUE
        if kind == GLUE or any(not part.startswith(kind) for part in parts[kept:resumed]):
            return None
        neighbour = parts[min(kept, len(parts) - 1)]
        if not neighbour.startswith(kind):
            return None
        separator = neighbour[1 : neighbour.find(b"{")]
        if separator.strip() != b"," or not text.startswith(separator):
            return None if text else []
        try:
            elements = _raw_elements(b"[" + text[len(separator) :] + b"]")
        except msgspec.MsgspecError:
            return None
        prefix = kind + separator
        replaced = [prefix + element for element in elements]
        return replaced if join_parts(tuple(replaced)) == text else None


def _raw_elements(text: bytes | msgspec.Raw) -> list[bytes]:
    return [bytes(element) for element in msgspec.json.decode(text, type=list[msgspec.Raw])]


def _common_prefix(left: bytes, left_start: int, right: bytes, right_start: int) -> int:
    """Returns the number of equal bytes from two positions on; chunks are compared first, without large copies."""
    limit, equal = min(len(left) - left_start, len(right) - right_start), 0
    size = _CHUNK_BYTES
    while size and equal < limit:
        end = min(equal + size, limit)
        if left[left_start + equal : left_start + end] == right[right_start + equal : right_start + end]:
            equal = end
        else:
            size //= 2
    return equal


def _common_suffix(left: bytes, right: bytes, limit: int) -> int:
    """Returns the number of equal bytes at the ends, at most `limit`."""
    equal, size = 0, _CHUNK_BYTES
    while size and equal < limit:
        end = min(equal + size, limit)
        if left[len(left) - end : len(left) - equal] == right[len(right) - end : len(right) - equal]:
            equal = end
        else:
            size //= 2
    return equal
