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


Sha256Hex = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern="^[A-Za-z0-9._-]+$")]


class EntrySettings(Section):
    """Settings of the entry role: `http` is the address for callers, `rpc` the address for other VMs.

    After the first SIGTERM, running requests have at most `drain_limit_s` seconds to finish before they are aborted.
    Bodies of requests share a part of `memory_mb`, the memory that the process may use; without it, that of a small VM.
    """

    http: str
    rpc: str
    announce_token_sha256: Sha256Hex
    connections: Annotated[int, Meta(ge=8, le=4096)] = 512
    drain_limit_s: Annotated[float, Meta(ge=0, le=86_400)] = 3600.0
    memory_mb: Annotated[float, Meta(ge=64)] | None = None

    def __post_init__(self) -> None:
        _check_address("http", self.http)
        _check_address("rpc", self.rpc)


class ControlSettings(Section):
    """Settings of the control role: `rpc` is the address for other VMs, `http` the address for operators."""

    rpc: str
    http: str
    data_folder: Annotated[str, Meta(min_length=1)]
    operator_token_sha256_by_name: Annotated[dict[Name, Sha256Hex], Meta(min_length=1)]

    def __post_init__(self) -> None:
        _check_address("rpc", self.rpc)
        _check_address("http", self.http)


class DaemonSettings(Section):
    """Top level of the settings file; at least one of `entry` and `control` is required."""

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
            raise ValueError("control.rpc: expected one of control_addresses")
