"""Tables for terminal output."""

from __future__ import annotations

import json
from typing import Any

from rich.console import Console
from rich.table import Table

__all__ = ["print_table"]


def print_table(rows: list[dict[str, Any]]) -> None:
    """Prints rows that have the same keys as a table, or ``none`` if there are no rows."""
    if not rows:
        print("none")
        return
    table = Table(*rows[0])
    for row in rows:
        table.add_row(*(value if isinstance(value, str) else json.dumps(value) for value in row.values()))
    Console().print(table)
