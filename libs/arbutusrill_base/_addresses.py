"""Network addresses written as text."""

from __future__ import annotations

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of an address that was checked before.

    >>> split_address("10.0.0.4:8080")
    ('10.0.0.4', 8080)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
