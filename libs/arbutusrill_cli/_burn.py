"""Burn rates computed from the counts and defaults that a control VM returns."""

from __future__ import annotations

from typing import Any

from arbutusrill_burn import WINDOWS_S, BurnCount, BurnRate, burn_rates

__all__ = ["burn_table_rows", "compute_burn_rates"]

_DEFAULT_TARGET_QUANTILE = 0.95


def compute_burn_rates(burn: dict[str, Any], defaults: dict[str, Any]) -> list[BurnRate]:
    """Computes burn rates from the responses to ``/burn`` and ``/defaults``.

    The fraction of requests that may miss a target is 1 minus the default ``targets.quantile``.
    """
    value_by_name = {row["name"]: row["value"] for row in defaults["defaults"]}
    allowed_fraction = 1 - float(value_by_name.get("targets.quantile", _DEFAULT_TARGET_QUANTILE))
    counts = [
        BurnCount(row["workspace"], row["route"], row["target"], row["window_s"], row["good"], row["bad"])
        for row in burn["burn"]
    ]
    return burn_rates(counts, lambda workspace, target: allowed_fraction)


def burn_table_rows(rates: list[BurnRate]) -> list[dict[str, Any]]:
    """Returns a table row per burn rate with a column per window, None for a window without requests.

    >>> burn_table_rows([BurnRate("dispatch", "chat", "first_token", 9, 1, {300: 2.0})])[0]["burn_5m"]
    2.0
    """
    return [
        {
            "workspace": rate.workspace,
            "route": rate.route,
            "target": rate.target,
            "good": rate.good,
            "bad": rate.bad,
            **{f"burn_{window // 60}m": rate.rate_by_window_s.get(window) for window in WINDOWS_S},
        }
        for rate in rates
    ]
