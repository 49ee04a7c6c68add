"""Guards against orders that start before their release by the control group, which would overload the weight store."""

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_wire import messages

from arbutusrill_pool import OrderRunner


class Target:
    def server_address(self, server_id):
        return "http://127.0.0.1:1", True

    def hold_for_order(self, server_id, hold):
        return True

    def set_drained(self, server_ids):
        assert not server_ids


@pytest.mark.parametrize(("state", "starts"), [("requested", False), ("released", True), ("done", False)])
def test_only_a_released_order_starts(state, starts):
    started = []
    runner = OrderRunner(1, ManualClock(), Target(), None, lambda record: True, started.append, lambda: True)
    runner.reconcile([messages.PutOrder("o", "server", "p", "load_model", "{}", state)])
    runner.tick()
    assert bool(started) == starts
