"""Parsing of network addresses."""

from __future__ import annotations

import ipaddress
import re

__all__ = ["is_ipv4_address", "split_address"]

_ADDRESS = re.compile(r"([0-9.]+):([1-9][0-9]{0,4})")


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port` into host and port; the address must be valid.

    >>> split_address("10.0.0.4:8080")
    ('10.0.0.4', 8080)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_ipv4_address(text: str) -> bool:
    """Returns whether `text` is an IPv4 address and a port.

    >>> is_ipv4_address("10.0.0.4:8080"), is_ipv4_address("10.0.0.400:8080"), is_ipv4_address("10.0.0.4:99999")
    (True, False, False)
    """
    match = _ADDRESS.fullmatch(text)
    try:
        ipaddress.IPv4Address(match.group(1) if match else "")
    except ValueError:
        return False
    return int(match.group(2)) <= 65535
