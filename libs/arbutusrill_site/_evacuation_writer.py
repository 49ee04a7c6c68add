"""Forwards an operator's orders for data centres from any control VM to the leader."""

from __future__ import annotations

import time
from collections.abc import Callable

from arbutusrill_state import ControlClient, ControlUnavailableError
from arbutusrill_wire import messages

__all__ = ["EvacuationWriter"]

_READ_TRY_TIMEOUT_S, _ORDER_TRY_TIMEOUT_S = 0.5, 0.6
_REPEAT_INTERVAL_S = 0.01  # after an order of another caller came between


class EvacuationWriter:
    """Orders the evacuation of data centres so that an order delayed on its way never follows a later one.

    An operator that gives an order up closes its connection before it sends the next one, to any control VM. The
    number of the latest order is therefore read first, then the connection is checked, and the leader refuses the
    order if others for the data centre have begun since the read. A process may be paused for any time between these
    steps.
    """

    def __init__(self, client: ControlClient):
        self._client = client

    def write(
        self, data_centre: str, evacuated: bool, known: bool, caller_left: Callable[[], bool], timeout: float
    ) -> None:
        """Returns once the order is committed; `known` tells that this VM knows the data centre.

        `caller_left` returns whether the caller has closed its connection. Raises `messages.Refused`, or
        `ControlUnavailableError` after `timeout` seconds or if the caller has left.
        """
        deadline = time.monotonic() + timeout
        order = messages.PutEvacuation(data_centre, evacuated)
        sent = False
        while (remaining := deadline - time.monotonic()) > 0:
            read = self._client.call("read_evacuations", timeout=remaining, try_timeout=_READ_TRY_TIMEOUT_S)
            if caller_left():
                raise ControlUnavailableError("the caller has given the order up", sent)
            remaining = deadline - time.monotonic()
            arguments = (order, known, read.term, read.order_number)
            try:
                self._client.call("order_evacuation", *arguments, timeout=remaining, try_timeout=_ORDER_TRY_TIMEOUT_S)
                return
            except messages.Refused as refused:
                if refused.code != "superseded":
                    raise
            sent = True
            time.sleep(_REPEAT_INTERVAL_S)
        raise ControlUnavailableError("orders of other callers came between", sent)
