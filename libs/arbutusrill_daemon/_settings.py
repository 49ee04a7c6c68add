"""Sections of the daemon's settings file."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

from arbutusrill_base import Section
from msgspec import Meta

__all__ = ["ControlSettings", "DaemonSettings", "EntrySettings"]


def _check_address(key: str, value: str) -> None:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{key}: expected an address IP:port") from None
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{key}: expected an address IP:port with a port from 1 to 65535")


Digest = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern="^[A-Za-z0-9._-]+$")]


class EntrySettings(Section):
    """An entry VM: `http` serves callers, `rpc` the other VMs.

    After a first SIGTERM, requests under way may take `drain_limit_s` seconds before they are cut.
    """

    http: str
    rpc: str
    announce_token_sha256: Digest
    connections: Annotated[int, Meta(ge=8, le=4096)] = 512
    drain_limit_s: Annotated[float, Meta(ge=0, le=86_400)] = 3600.0

    def __post_init__(self) -> None:
        _check_address("http", self.http)
        _check_address("rpc", self.rpc)


class ControlSettings(Section):
    """A control VM: `rpc` serves the other VMs, `http` the operators."""

    rpc: str
    http: str
    data_folder: Annotated[str, Meta(min_length=1)]
    operator_token_sha256_by_name: Annotated[dict[Name, Digest], Meta(min_length=1)]

    def __post_init__(self) -> None:
        _check_address("rpc", self.rpc)
        _check_address("http", self.http)


class DaemonSettings(Section):
    """A whole settings file."""

    vm: Name
    data_centre: Name
    control_addresses: Annotated[list[str], Meta(min_length=1, max_length=7)]
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    entry: EntrySettings | None = None
    control: ControlSettings | None = None

    def __post_init__(self) -> None:
        for position, address in enumerate(self.control_addresses):
            _check_address(f"control_addresses[{position}]", address)
        if self.entry is None and self.control is None:
            raise ValueError("(top level): expected a section entry or control")
        if self.control is not None and self.control.rpc not in self.control_addresses:
            raise ValueError("control.rpc: expected it among control_addresses")
