"""Sending of a configuration to the leader, as the change from the version that this VM has applied if possible."""

from __future__ import annotations

import zlib
from typing import Any

from arbutusrill_state import ControlClient, Document, make_patch, pack_layout
from arbutusrill_wire import messages

__all__ = ["DocumentWriter"]

_TIMEOUT_S = 2.5
_TRY_TIMEOUT_S = 2.0


class DocumentWriter:
    """Sends configurations to the leader; `document` is the configuration that this VM has applied."""

    def __init__(self, client: ControlClient, document: Document):
        self._client = client
        self._document = document

    def write(self, version: int, body: bytes, parts: tuple[bytes, ...]) -> int:
        """Commits a configuration, given whole and in parts; returns the version in force afterwards.

        Raises `ControlUnavailableError` or `Refused` if it is not known to be committed.
        """
        return self._write_change(version, parts) or self._call(
            "put_document", messages.SiteDocument(version, zlib.compress(body), pack_layout(parts))
        )

    def _write_change(self, version: int, parts: tuple[bytes, ...]) -> int | None:
        """Sends the change from the configuration in force; returns None if the whole one has to be sent."""
        base_version, base = self._document.held()
        if version <= base_version or not self._document.accepts_patches:
            return None
        try:
            return self._call("patch_document", messages.PatchDocument(base_version, version, make_patch(base, parts)))
        except messages.Refused as refused:
            if refused.code != "stale_base":
                raise
            return None

    def _call(self, name: str, change: Any) -> int:
        return self._client.call(name, change, timeout=_TIMEOUT_S, try_timeout=_TRY_TIMEOUT_S)
