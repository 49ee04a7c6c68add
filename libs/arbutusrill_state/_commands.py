"""Construction and inspection of commands, which change the shared state."""

from __future__ import annotations

from typing import Any

from arbutusrill_base import new_request_id
from arbutusrill_wire import messages

__all__ = ["CHANGE_FIELDS", "JOURNAL_FIELDS", "change_of", "make_command"]

CHANGE_FIELDS = tuple(spec[1] for number, spec in messages.Command.thrift_spec.items() if number >= 10)
JOURNAL_FIELDS = tuple(name for name in CHANGE_FIELDS if name.startswith("journal_"))


def make_command(change: Any, actor: str, at_ms: int, request_id: str | None = None, if_revision: int = -1) -> Any:
    """Wraps a change struct in a `Command`; a request id is generated unless one is given.

    >>> command_struct = make_command(messages.SetDefault("limits.rate", "5.0"), "ops", 0, request_id="r")
    >>> change_of(command_struct)[0]
    'set_default'
    """
    field = next(
        spec[1] for number, spec in messages.Command.thrift_spec.items() if number >= 10 and spec[2] is type(change)
    )
    command_struct = messages.Command(request_id or new_request_id("chg"), actor, at_ms, if_revision)
    setattr(command_struct, field, change)
    return command_struct


def change_of(command_struct: Any) -> tuple[str, Any]:
    """Returns the field name and the struct of a `Command`'s change; raises `ValueError` unless it has exactly one."""
    found = [
        (name, getattr(command_struct, name)) for name in CHANGE_FIELDS if getattr(command_struct, name) is not None
    ]
    if len(found) != 1:
        raise ValueError(f"a command holds exactly one change, this one holds {len(found)}")
    return found[0]
