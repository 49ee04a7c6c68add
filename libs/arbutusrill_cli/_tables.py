"""Tables for people."""

from __future__ import annotations

import json
from typing import Any

from rich.console import Console
from rich.table import Table

__all__ = ["show_table"]


def show_table(rows: list[dict[str, Any]]) -> None:
    """Prints rows with the same keys as a table; says so when there are none."""
    if not rows:
        print("none")
        return
    table = Table(*rows[0])
    for row in rows:
        table.add_row(*(value if isinstance(value, str) else json.dumps(value) for value in row.values()))
    Console().print(table)
