"""Control role: the shared state's service, VM leases, pool assignment and the operators' interface.

Names are imported on first use: a process that needs the state machine only starts without the operators' interface.
"""

from __future__ import annotations

import importlib
from typing import Any

_MODULE_BY_NAME = {
    "ControlService": "_service",
    "OperatorApp": "_operator",
    "SharedMachine": "_shared_machine",
    "VmLeases": "_leases",
    "rendezvous": "_leases",
}

__all__ = ["ControlService", "OperatorApp", "SharedMachine", "VmLeases", "rendezvous"]  # noqa: F822


def __getattr__(name: str) -> Any:
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{_MODULE_BY_NAME[name]}"), name)
