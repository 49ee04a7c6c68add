"""Periodic reports of burn counts to the control group."""

from __future__ import annotations

from arbutusrill_base import PartLog
from arbutusrill_state import ControlUnavailableError
from arbutusrill_wire import messages

from ._context import EntryContext

__all__ = ["REPORT_S", "report_burn"]

REPORT_S = 10.0
_ROWS = 400  # of about 80 bytes: 3.2 kB/s at most, of the 4 kB/s that the control plane may cost a node
_CALL_S = 2.0
_log = PartLog("burn")


def report_burn(context: EntryContext) -> None:
    """Sends this VM's counts over all windows; each report replaces the one before, so that none counts twice."""
    rows = [
        messages.BurnRow(count.workspace, count.route, count.target, count.window_s, count.good, count.bad)
        for count in context.meters.burn.rows(_ROWS)
    ]
    identity = context.follower.identity
    try:
        context.control.call("report_burn", identity.vm, identity.incarnation, rows, timeout=_CALL_S)
    except (ControlUnavailableError, messages.Refused) as error:
        _log.warning("burn counts not reported: %s", getattr(error, "message", "") or error)
