"""Control role: RPC service over the replicated state, VM leases, pool assignment and the operators' HTTP interface.

Names are imported lazily, so that a process that needs only the state machine does not load the HTTP interface.
"""

from __future__ import annotations

import importlib
from typing import Any

_MODULE_BY_NAME = {
    "ControlService": "_service",
    "OperatorApp": "_operator",
    "SharedStateMachine": "_shared_state_machine",
    "VmLeases": "_leases",
    "rendezvous": "_leases",
}

__all__ = ["ControlService", "OperatorApp", "SharedStateMachine", "VmLeases", "rendezvous"]  # noqa: F822


def __getattr__(name: str) -> Any:
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{_MODULE_BY_NAME[name]}"), name)
