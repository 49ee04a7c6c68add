"""Parsing of network addresses."""

from __future__ import annotations

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port` into host and port; the address must be valid.

    >>> split_address("10.0.0.4:8080")
    ('10.0.0.4', 8080)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
