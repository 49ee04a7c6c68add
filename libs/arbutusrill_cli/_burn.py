"""Burn rates from the counts and defaults that the control group reports."""

from __future__ import annotations

from typing import Any

from arbutusrill_burn import WINDOWS_S, BurnCount, BurnRate, burn_rates

__all__ = ["burn_of", "burn_rows"]

_QUANTILE = 0.95


def burn_of(burn: dict[str, Any], defaults: dict[str, Any]) -> list[BurnRate]:
    """Returns the burn rates of the answers to ``/burn`` and ``/defaults``.

    The part of requests that may miss a target is 1 less the default ``targets.quantile``.
    """
    value_by_name = {row["name"]: row["value"] for row in defaults["defaults"]}
    allowed = 1 - float(value_by_name.get("targets.quantile", _QUANTILE))
    counts = [
        BurnCount(row["workspace"], row["route"], row["target"], row["window_s"], row["good"], row["bad"])
        for row in burn["burn"]
    ]
    return burn_rates(counts, lambda workspace, target: allowed)


def burn_rows(rates: list[BurnRate]) -> list[dict[str, Any]]:
    """Returns one row for each rate, with a column for each window; None stands for a window without requests.

    >>> burn_rows([BurnRate("dispatch", "chat", "first_token", 9, 1, {300: 2.0})])[0]["burn_5m"]
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
