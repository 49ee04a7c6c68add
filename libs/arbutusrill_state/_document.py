"""The configuration as a single versioned document."""

from __future__ import annotations

import threading

__all__ = ["Document"]


class Document:
    """Holds the document with the highest version; version 0 means no document.

    A document with the held version or a lower one is ignored.

    >>> document = Document()
    >>> document.put(7, b"first"), document.put(7, b"other"), document.put(3, b"older")
    (7, 7, 7)
    >>> document.held()
    (7, b'first')
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._version = 0
        self._body = b""

    @property
    def version(self) -> int:
        """Version of the held document."""
        return self._version

    def put(self, version: int, body: bytes) -> int:
        """Replaces the document if `version` is higher; returns the version held afterwards."""
        with self._lock:
            if version > self._version:
                self._version, self._body = version, body
            return self._version

    def held(self) -> tuple[int, bytes]:
        """Returns the version and the body of the held document."""
        with self._lock:
            return self._version, self._body
