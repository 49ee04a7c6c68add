"""Periodic reports of error-budget burn counts to the control group."""

from __future__ import annotations

from arbutusrill_base import PartLog
from arbutusrill_state import ControlUnavailableError
from arbutusrill_wire import messages

from ._context import EntryContext

__all__ = ["BURN_REPORT_INTERVAL_S", "report_burn"]

BURN_REPORT_INTERVAL_S = 10.0
_MAX_ROWS = 400  # of about 80 bytes each: at most 3.2 kB/s of the 4 kB/s allowed per node for control traffic
_CALL_TIMEOUT_S = 2.0
_log = PartLog("burn")


def report_burn(context: EntryContext) -> None:
    """Sends the burn counts of this VM over all windows.

    Each report replaces the previous one, so that repeated reports do not count twice.
    """
    rows = [
        messages.BurnRow(count.workspace, count.route, count.target, count.window_s, count.good, count.bad)
        for count in context.meters.burn.counts(_MAX_ROWS)
    ]
    identity = context.follower.identity
    try:
        context.control.call("report_burn", identity.vm, identity.incarnation, rows, timeout=_CALL_TIMEOUT_S)
    except (ControlUnavailableError, messages.Refused) as error:
        _log.warning("burn counts not sent to the control group: %s", getattr(error, "message", "") or error)
