"""Service levels: counts of good and bad requests, burn rates over several windows, and a report."""

from ._counter import MINUTE_S, BurnCount, BurnCounter
from ._report import burn_html
from ._table import WINDOWS_S, BurnRate, BurnTable, burn_rates

__all__ = ["MINUTE_S", "WINDOWS_S", "BurnCount", "BurnCounter", "BurnRate", "BurnTable", "burn_html", "burn_rates"]
