"""Periodic reports of burn counts to the control group."""

from __future__ import annotations

from arbutusrill_base import PartLog
from arbutusrill_state import ControlUnavailableError
from arbutusrill_wire import messages

from ._context import EntryContext

__all__ = ["REPORT_S", "report_burn"]

REPORT_S = 5.0
_ROWS = 2000  # about 150 kB in one report
_CALL_S = 2.0
_log = PartLog("burn")


def report_burn(context: EntryContext) -> None:
    """Sends the counts since the last report; rows that were certainly not received stay for the next one.

    A report whose answer is lost is not kept for the next one, so that its counts may be missing.
    """
    counts = context.meters.burn.take(_ROWS)
    if not counts:
        return
    rows = [
        messages.BurnRow(count.workspace, count.route, count.target, count.window_s, count.good, count.bad)
        for count in counts
    ]
    identity = context.follower.identity
    try:
        context.control.call("report_burn", identity.vm, identity.incarnation, rows, timeout=_CALL_S)
    except messages.Refused:
        context.meters.burn.put_back(counts)
    except ControlUnavailableError as error:
        if not error.sent:
            context.meters.burn.put_back(counts)
        _log.warning("burn counts not reported: %s", error)
