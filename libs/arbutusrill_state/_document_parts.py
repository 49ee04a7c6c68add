"""Parts of a document: their packed form, and patches between two versions of it.

A part is a byte string whose first byte says what kind of part it is; the kinds are those of the code that divides the
document. The text of the document is what remains of the parts without that byte. A change of one part costs as much as
that part, however large the document is.
"""

from __future__ import annotations

import struct
import sys
import zlib
from array import array

__all__ = [
    "UNDIVIDED",
    "PatchError",
    "apply_patch",
    "changed_blocks",
    "join_parts",
    "make_patch",
    "pack_layout",
    "unpack_parts",
]

UNDIVIDED = b"w"  # kind of the only part of a document that is not divided
_COUNT = struct.Struct("<I")
_RANGE = struct.Struct(
    "<III"
)  # first part of the base to copy, number of parts to copy, number of new parts after them


class PatchError(ValueError):
    """A patch or a layout that does not belong to its document."""


def join_parts(parts: tuple[bytes, ...], compress: bool = False) -> bytes:
    """Returns the text of a document, compressed with zlib if wanted.

    >>> join_parts((b"ghello, ", b"rworld"))
    b'hello, world'
    """
    body = b"".join([part[1:] for part in parts])
    return zlib.compress(body) if compress else body


def pack_layout(parts: tuple[bytes, ...]) -> bytes:
    """Returns the kinds and the lengths of the parts, with which `unpack_parts` divides the text again."""
    return zlib.compress(_pack_sizes(parts))


def unpack_parts(body: bytes, layout: bytes) -> tuple[bytes, ...]:
    """Returns the parts of a compressed text; a single one without a layout. Raises `PatchError`.

    >>> parts = (b"ghello, ", b"rworld")
    >>> unpack_parts(join_parts(parts, compress=True), pack_layout(parts)) == parts
    True
    """
    try:
        text = zlib.decompress(body)
        return _divide(text, zlib.decompress(layout)) if layout else (UNDIVIDED + text,)
    except zlib.error as error:
        raise PatchError(f"damaged document: {error}") from None


def make_patch(base: tuple[bytes, ...], parts: tuple[bytes, ...]) -> bytes:
    """Returns the change from `base` to `parts`.

    >>> base = (b"a1", b"b2", b"c3", b"d4")
    >>> apply_patch(base, make_patch(base, (b"a1", b"b5", b"d4", b"c3"))) == (b"a1", b"b5", b"d4", b"c3")
    True
    """
    ranges: list[list[int]] = [[0, 0, 0]]
    added: list[bytes] = []

    def copy(first: int, count: int) -> None:
        if not ranges[-1][2] and sum(ranges[-1][:2]) == first:
            ranges[-1][1] += count
        elif count:
            ranges.append([first, count, 0])

    copied_to = 0
    for base_start, base_end, start, end in changed_blocks(base, parts):
        copy(copied_to, base_start - copied_to)
        position_by_part = {part: position for position, part in enumerate(base[base_start:base_end], base_start)}
        for part in parts[start:end]:
            if part in position_by_part:
                copy(position_by_part[part], 1)
            else:
                ranges[-1][2] += 1
                added.append(part)
        copied_to = base_end
    copy(copied_to, len(base) - copied_to)
    packed_ranges = _COUNT.pack(len(ranges)) + b"".join(_RANGE.pack(*entry) for entry in ranges)
    return zlib.compress(packed_ranges + _pack_sizes(tuple(added)) + b"".join([part[1:] for part in added]))


def changed_blocks(base: tuple[bytes, ...], parts: tuple[bytes, ...]) -> list[tuple[int, int, int, int]]:
    """Returns start and end in `base` and in `parts` of blocks outside of which both are equal, in order.

    The first and the last part are blocks of their own, since one of them often holds the version.

    >>> changed_blocks((b"a1", b"b1", b"c1", b"d1"), (b"a2", b"b1", b"c2", b"c3", b"d1"))
    [(0, 1, 0, 1), (2, 3, 2, 4)]
    """
    shorter = min(len(base), len(parts))
    head = int(shorter > 0 and base[0] != parts[0])
    tail = int(shorter > head and base[-1] != parts[-1])
    inner_base, inner = base[head : len(base) - tail], parts[head : len(parts) - tail]
    start = _common_prefix(inner_base, inner)
    equal_end = _common_prefix(inner_base[start:][::-1], inner[start:][::-1])
    blocks = [(0, 1, 0, 1)] if head else []
    base_end, end = len(base) - tail - equal_end, len(parts) - tail - equal_end
    start += head
    if base_end > start or end > start:
        blocks.append((start, base_end, start, end))
    if tail:
        blocks.append((len(base) - 1, len(base), len(parts) - 1, len(parts)))
    return blocks


def apply_patch(base: tuple[bytes, ...], patch: bytes) -> tuple[bytes, ...]:
    """Returns the parts that `patch` makes of `base`; parts that it keeps are the same objects. Raises `PatchError`."""
    try:
        data = zlib.decompress(patch)
        (count,) = _COUNT.unpack_from(data)
        ranges = [_RANGE.unpack_from(data, _COUNT.size + number * _RANGE.size) for number in range(count)]
        rest = data[_COUNT.size + count * _RANGE.size :]
        (added_count,) = _COUNT.unpack_from(rest)
        sizes_end = _COUNT.size + added_count * (1 + array("I").itemsize)
        added = _divide(rest[sizes_end:], rest[:sizes_end])
    except (zlib.error, struct.error) as error:
        raise PatchError(f"damaged patch: {error}") from None
    parts: list[bytes] = []
    used = 0
    for first, copied, new in ranges:
        if first + copied > len(base) or used + new > len(added):
            raise PatchError("the patch refers to parts that do not exist")
        parts += base[first : first + copied]
        parts += added[used : used + new]
        used += new
    return tuple(parts)


def _common_prefix(left: tuple[bytes, ...], right: tuple[bytes, ...]) -> int:
    """Returns the number of equal parts at the start; compares slices, which is far faster than part by part."""
    low, high = 0, min(len(left), len(right))
    while low < high:
        middle = (low + high + 1) // 2
        if left[low:middle] == right[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _pack_sizes(parts: tuple[bytes, ...]) -> bytes:
    lengths = array("I", [len(part) - 1 for part in parts])
    if sys.byteorder == "big":
        lengths.byteswap()
    return _COUNT.pack(len(parts)) + b"".join([part[:1] for part in parts]) + lengths.tobytes()


def _divide(text: bytes, sizes: bytes) -> tuple[bytes, ...]:
    try:
        (count,) = _COUNT.unpack_from(sizes)
    except struct.error as error:
        raise PatchError(f"damaged layout: {error}") from None
    kinds, packed = sizes[_COUNT.size : _COUNT.size + count], sizes[_COUNT.size + count :]
    lengths = array("I")
    if len(packed) != count * lengths.itemsize:
        raise PatchError("damaged layout: its length is wrong")
    lengths.frombytes(packed)
    if sys.byteorder == "big":
        lengths.byteswap()
    if sum(lengths) != len(text):
        raise PatchError("the layout does not belong to the text")
    parts, offset = [], 0
    for kind, length in zip(kinds, lengths, strict=True):
        parts.append(bytes((kind,)) + text[offset : offset + length])
        offset += length
    return tuple(parts)
