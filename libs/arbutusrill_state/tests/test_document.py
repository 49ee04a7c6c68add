"""Guards against changes of a document whose cost grows with the document, and against patches of another version."""

import random

import pytest
from arbutusrill_wire import decode, encode, messages

from arbutusrill_state import (
    Document,
    DocumentPatch,
    PatchError,
    SharedState,
    apply_patch,
    join_parts,
    make_command,
    make_patch,
    pack_layout,
    unpack_parts,
)


def parts_of(count):
    return tuple(b"r%06d" % number for number in range(count))


def changed(rng, parts):
    """Returns the parts after some of them were added, removed, moved and replaced."""
    result = list(parts)
    for _ in range(rng.randrange(1, 6)):
        kind, at = rng.choice("armx"), rng.randrange(len(result))
        if kind == "a":
            result.insert(at, b"r%d" % rng.getrandbits(32))
        elif kind == "r" and len(result) > 1:
            del result[at]
        elif kind == "m":
            result.insert(rng.randrange(len(result)), result.pop(at))
        else:
            result[at] = b"r%d" % rng.getrandbits(32)
    return tuple(result)


@pytest.mark.parametrize("seed", range(200))
def test_patches_lead_from_any_version_to_the_next(seed):
    rng = random.Random(seed)
    parts = parts_of(rng.randrange(1, 40))
    for _ in range(5):
        after = changed(rng, parts)
        assert apply_patch(parts, make_patch(parts, after)) == after
        parts = after
    assert unpack_parts(join_parts(parts, compress=True), pack_layout(parts)) == parts


def test_patch_of_one_part_is_as_small_for_a_large_document():
    # Each change of one route cost as much as the whole document on every VM.
    sizes = []
    for count in (500, 5_000, 50_000):
        parts = parts_of(count)
        after = (*parts[: count // 2], b"rchanged", *parts[count // 2 + 1 :])
        patch = make_patch(parts, after)
        assert apply_patch(parts, patch) == after
        sizes.append(len(patch))
    assert max(sizes) <= min(sizes) + 8


@pytest.mark.parametrize("damage", [b"", b"odd", make_patch(parts_of(9), parts_of(9))])
def test_patch_that_does_not_fit_is_refused(damage):
    with pytest.raises(PatchError):
        apply_patch(parts_of(3), damage)


def test_patch_of_another_version_changes_nothing():
    document = Document()
    document.put(3, parts_of(5), is_divided=True)
    patch = DocumentPatch(3, 5, make_patch(parts_of(5), parts_of(6)))
    assert document.patch(DocumentPatch(2, 9, patch.data)) == 3
    assert document.patch(patch) == 5
    assert document.patch(patch) == 5
    assert document.held() == (5, parts_of(6))


def test_patches_are_kept_for_followers_and_bounded():
    document = Document()
    document.put(1, parts_of(1), is_divided=True)
    for version in range(2, 402):
        document.patch(DocumentPatch(version - 1, version, make_patch(parts_of(version - 1), parts_of(version))))
    assert [patch.version for patch in document.patches_since(398)[1]] == [399, 400, 401]
    assert document.patches_since(401) == (401, [])
    assert document.patches_since(1) == (401, None)
    assert document.patches_since(500) == (401, None)


def apply(state, change):
    return decode(messages.Outcome, state.apply(encode(make_command(change, "site", 0))))


def test_replicated_state_keeps_the_parts_through_snapshots():
    state, parts = SharedState(), parts_of(4)
    body = join_parts(parts, compress=True)
    assert apply(state, messages.PutDocument(2, body, pack_layout(parts))).accepted
    after = parts_of(6)
    assert apply(state, messages.PatchDocument(2, 4, make_patch(parts, after))).revision == 4
    assert not apply(state, messages.PatchDocument(2, 7, make_patch(parts, after))).accepted
    restored = SharedState()
    restored.restore(state.snapshot())
    assert restored.document.held() == (4, after)
    assert apply(restored, messages.PatchDocument(4, 5, make_patch(after, parts))).revision == 5


def test_document_without_a_layout_is_held_as_a_whole_and_takes_no_patches():
    # Entries and snapshots of earlier versions.
    state, parts = SharedState(), parts_of(4)
    apply(state, messages.PutDocument(2, join_parts(parts, compress=True)))
    assert not state.document.accepts_patches
    assert join_parts(state.document.held()[1]) == join_parts(parts)
    assert not apply(state, messages.PatchDocument(2, 4, make_patch(parts, parts_of(5)))).accepted
    restored = SharedState()
    restored.restore(state.snapshot())
    assert restored.document.held() == state.document.held()
