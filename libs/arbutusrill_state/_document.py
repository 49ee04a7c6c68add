"""A whole configuration as one versioned document."""

from __future__ import annotations

import threading

__all__ = ["Document"]


class Document:
    """The document with the highest version so far; version 0 stands for none.

    Other content under the held version, and an older version, change nothing.

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
        """Takes a document with a higher version than the held one; returns the version then held."""
        with self._lock:
            if version > self._version:
                self._version, self._body = version, body
            return self._version

    def held(self) -> tuple[int, bytes]:
        """Returns the version and the body of the held document."""
        with self._lock:
            return self._version, self._body
