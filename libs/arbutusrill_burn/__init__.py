"""Service level objectives: counts of good and bad requests, error budget burn rates over windows, and a report."""

from ._counter import WINDOWS_S, BurnCount, BurnCounter
from ._rates import BurnRate, burn_rates
from ._report import burn_html

__all__ = ["WINDOWS_S", "BurnCount", "BurnCounter", "BurnRate", "burn_html", "burn_rates"]
