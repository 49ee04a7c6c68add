"""The configuration as a single versioned document, which is replicated by its changes."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass

from ._document_parts import PatchError, apply_patch, join_parts, pack_layout, unpack_parts

__all__ = ["Document", "DocumentPatch", "PackedDocument"]

_MAX_PATCHES = 256
_MAX_PATCH_BYTES = 1024 * 1024  # of all kept patches; followers that lag further get the whole document


@dataclass(slots=True, frozen=True)
class DocumentPatch:
    """Change of a document from one version to a higher one; `data` is the output of `make_patch`."""

    base_version: int
    version: int
    data: bytes


@dataclass(slots=True, frozen=True)
class PackedDocument:
    """Whole document: its compressed text, and the layout of its parts, empty if they are not to be used."""

    version: int
    body: bytes
    layout: bytes


class Document:
    """Holds the document with the highest version; version 0 means no document.

    The document consists of parts, see `arbutusrill_state.join_parts`. One with the held version or a lower one is
    ignored, and so is a patch of another version than the held one.

    >>> document = Document()
    >>> document.put(7, (b"wfirst",)), document.put(7, (b"wother",)), document.put(3, (b"wolder",))
    (7, 7, 7)
    >>> document.held()
    (7, (b'wfirst',))
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._version = 0
        self._parts: tuple[bytes, ...] = ()
        self._is_divided = False
        self._patches: deque[DocumentPatch] = deque()
        self._patch_bytes = 0
        self._packed: PackedDocument | None = None

    @property
    def version(self) -> int:
        """Version of the held document."""
        return self._version

    @property
    def accepts_patches(self) -> bool:
        """Whether the held document may be changed by patches: all replicas hold it in the same parts."""
        return self._is_divided

    def put(self, version: int, parts: tuple[bytes, ...], is_divided: bool = False) -> int:
        """Replaces the document if `version` is higher; returns the version held afterwards."""
        with self._lock:
            if version > self._version:
                self._version, self._parts, self._is_divided = version, parts, is_divided
                self._patches.clear()
                self._patch_bytes = 0
                self._packed = None
            return self._version

    def put_packed(self, version: int, body: bytes, layout: bytes) -> int:
        """Like `put`, for the fields of a `PackedDocument`."""
        if version <= self._version:
            return self._version
        return self.put(version, unpack_parts(body, layout), bool(layout))

    def patch(self, patch: DocumentPatch) -> int:
        """Applies a patch of the held version; returns the version held afterwards."""
        with self._lock:
            if not self._is_divided or patch.base_version != self._version or patch.version <= self._version:
                return self._version
            try:
                parts = apply_patch(self._parts, patch.data)
            except PatchError:
                return self._version
            self._version, self._parts, self._packed = patch.version, parts, None
            self._patches.append(patch)
            self._patch_bytes += len(patch.data)
            while len(self._patches) > _MAX_PATCHES or self._patch_bytes > _MAX_PATCH_BYTES:
                self._patch_bytes -= len(self._patches.popleft().data)
            return self._version

    def held(self) -> tuple[int, tuple[bytes, ...]]:
        """Returns the version and the parts of the held document."""
        with self._lock:
            return self._version, self._parts

    def packed(self) -> PackedDocument:
        """Returns the held document as a whole."""
        with self._lock:
            if self._packed is None:
                layout = pack_layout(self._parts) if self._is_divided else b""
                self._packed = PackedDocument(self._version, join_parts(self._parts, compress=True), layout)
            return self._packed

    def patches_since(self, version: int) -> tuple[int, list[DocumentPatch] | None]:
        """Returns the held version, and the patches that lead from `version` to it, None if they are not kept."""
        with self._lock:
            if version == self._version:
                return self._version, []
            found = [patch for patch in self._patches if patch.version > version]
            if not found or found[0].base_version != version:
                return self._version, None
            return self._version, found
