"""Sections of the daemon's settings file."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

from arbutusrill_base import Section
from pydantic import AfterValidator, Field, model_validator

__all__ = ["ControlSettings", "DaemonSettings", "EntrySettings"]


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("expected an address IP:port") from None
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("expected an address IP:port with a port from 1 to 65535")
    return value


Address = Annotated[str, AfterValidator(_check_address)]
Digest = Annotated[str, Field(pattern="^[0-9a-f]{64}$")]
Name = Annotated[str, Field(min_length=1, max_length=64, pattern="^[A-Za-z0-9._-]+$")]


class EntrySettings(Section):
    """An entry VM: `http` serves callers, `rpc` the other VMs.

    After a first SIGTERM, requests under way may take `drain_limit_s` seconds before they are cut.
    """

    http: Address
    rpc: Address
    announce_token_sha256: Digest
    connections: int = Field(default=512, ge=8, le=4096)
    drain_limit_s: float = Field(default=3600.0, ge=0, le=86_400)


class ControlSettings(Section):
    """A control VM: `rpc` serves the other VMs, `http` the operators."""

    rpc: Address
    http: Address
    data_folder: str = Field(min_length=1)
    operator_token_sha256_by_name: dict[Name, Digest] = Field(min_length=1)


class DaemonSettings(Section):
    """A whole settings file."""

    vm: Name
    data_centre: Name
    control_addresses: list[Address] = Field(min_length=1, max_length=7)
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    entry: EntrySettings | None = None
    control: ControlSettings | None = None

    @model_validator(mode="after")
    def _check_roles(self) -> DaemonSettings:
        if self.entry is None and self.control is None:
            raise ValueError("expected a section entry or control")
        if self.control is not None and self.control.rpc not in self.control_addresses:
            raise ValueError("expected control.rpc among control_addresses")
        return self
