"""Report on burn rates as a self-contained HTML page."""

from __future__ import annotations

import html
import time

from ._rates import BurnRate

__all__ = ["burn_html"]

_BAR_WIDTH_PX = 400
_MAX_BAR_BURN_RATE = 10.0  # burn rate of a bar of full width
_STYLE = (
    "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{border:1px solid #bbb;padding:.3em .6em;text-align:right}td:nth-child(-n+3){text-align:left}"
    ".over{background:#fbd5d0}"
)


def burn_html(rates: list[BurnRate], now_s: float) -> str:
    """Returns an HTML page with a table of burn rates and a bar for the shortest window.

    `now_s` is the time of the report in seconds since 1970. Burn rates above 1, at which the error budget runs out
    before its period ends, are highlighted.
    """
    windows = sorted({window for rate in rates for window in rate.rate_by_window_s})
    headers = [
        "workspace",
        "route",
        "target",
        "good",
        "bad",
        *(f"burn {_format_window(window)}" for window in windows),
        "",
    ]
    rows = "".join(_row(rate, windows) for rate in rates)
    timestamp = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(now_s))
    table_head = "".join(f"<th>{head}</th>" for head in headers)
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>Burn rates</title><style>{_STYLE}</style>'
        f"<h1>Burn rates at {timestamp}</h1><table><tr>{table_head}</tr>{rows}</table></html>\n"
    )


def _row(rate: BurnRate, windows: list[int]) -> str:
    cells = [rate.workspace, rate.route, rate.target, str(rate.good), str(rate.bad)]
    text = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
    for window in windows:
        value = rate.rate_by_window_s.get(window)
        css_class = ' class="over"' if value is not None and value > 1 else ""
        text += f"<td{css_class}>{'-' if value is None else f'{value:.2f}'}</td>"
    return f"<tr>{text}<td>{_bar(next(iter(rate.rate_by_window_s.values()), 0.0))}</td></tr>"


def _bar(value: float) -> str:
    width = min(1.0, value / _MAX_BAR_BURN_RATE) * _BAR_WIDTH_PX
    colour = "#b03020" if value > 1 else "#508050"
    return f'<svg width="{_BAR_WIDTH_PX}" height="12"><rect width="{width:.0f}" height="12" fill="{colour}"/></svg>'


def _format_window(window_s: int) -> str:
    return f"{window_s // 3600} h" if window_s % 3600 == 0 else f"{window_s // 60} min"
