"""Report on burn rates as one HTML file without outside resources."""

from __future__ import annotations

import html
import time
from collections.abc import Iterable

from ._counter import BurnCount
from ._table import BurnRate

__all__ = ["burn_html"]

_WIDTH, _HEIGHT = 720, 120
_STYLE = (
    "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{border:1px solid #bbb;padding:.3em .6em;text-align:right}td:nth-child(-n+3){text-align:left}"
    ".over{background:#fbd5d0}"
)


def burn_html(rates: list[BurnRate], counts: Iterable[BurnCount], now_s: float) -> str:
    """Returns a page with one table of burn rates and, for each target, the missed part by minute.

    Cells with a burn rate above 1 are marked: there the error budget runs out before its period ends.
    """
    windows = sorted(rates[0].rate_by_window_s) if rates else []
    heads = ["workspace", "route", "target", "good", "bad", *(f"burn {_length(window)}" for window in windows)]
    rows = "".join(_row(rate, windows) for rate in rates)
    stamp = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(now_s))
    charts = "".join(_chart(target, points) for target, points in sorted(_by_target(counts).items()))
    table_head = "".join(f"<th>{head}</th>" for head in heads)
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>Burn rates</title><style>{_STYLE}</style>'
        f"<h1>Burn rates at {stamp}</h1><table><tr>{table_head}</tr>{rows}</table>{charts}</html>\n"
    )


def _row(rate: BurnRate, windows: list[int]) -> str:
    cells = [rate.workspace, rate.route, rate.target, str(rate.good), str(rate.bad)]
    text = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
    for window in windows:
        value = rate.rate_by_window_s[window]
        mark = ' class="over"' if value is not None and value > 1 else ""
        text += f"<td{mark}>{'-' if value is None else f'{value:.2f}'}</td>"
    return f"<tr>{text}</tr>"


def _by_target(counts: Iterable[BurnCount]) -> dict[str, dict[int, tuple[int, int]]]:
    points: dict[str, dict[int, tuple[int, int]]] = {}
    for count in counts:
        by_minute = points.setdefault(count.target, {})
        good, bad = by_minute.get(count.window_s, (0, 0))
        by_minute[count.window_s] = (good + count.good, bad + count.bad)
    return points


def _chart(target: str, by_minute: dict[int, tuple[int, int]]) -> str:
    first, last = min(by_minute), max(by_minute)
    span = max(60, last - first)
    highest = max(0.01, max(bad / max(1, good + bad) for good, bad in by_minute.values()))
    points = " ".join(
        f"{(minute - first) / span * _WIDTH:.1f},{_HEIGHT * (1 - bad / max(1, good + bad) / highest):.1f}"
        for minute, (good, bad) in sorted(by_minute.items())
    )
    return (
        f"<h2>{html.escape(target)}: missed part by minute, at most {highest:.1%}</h2>"
        f'<svg width="{_WIDTH}" height="{_HEIGHT}" role="img"><rect width="100%" height="100%" fill="#f4f4f4"/>'
        f'<polyline points="{points}" fill="none" stroke="#b03020" stroke-width="2"/></svg>'
    )


def _length(window_s: int) -> str:
    return f"{window_s // 3600} h" if window_s % 3600 == 0 else f"{window_s // 60} min"
