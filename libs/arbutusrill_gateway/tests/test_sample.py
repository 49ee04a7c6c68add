"""Guards against engines that all VMs choose at once while no leader grants places."""

from collections import Counter

import pytest
from arbutusrill_base import SystemClock
from arbutusrill_site import Engine, Service, SiteView
from arbutusrill_wire import messages

from arbutusrill_gateway import BackendPool

SERVICE = Service("s", engine=Engine(16, 30_000, 0.5))


def pool_of(count):
    view = SiteView(SystemClock())
    view.backends_by_id = {
        str(n): messages.BackendRecord(str(n), 1, 1, "s", f"10.0.0.1:{n}", "z1", 16, False, "decode", [])
        for n in range(count)
    }
    view.other_vms_requests_by_backend = {str(n): n for n in range(count)}
    return BackendPool(view, "z1", SystemClock())


def choose(pool):
    return pool.pick(SERVICE, "decode", 10, "", pool.unsampled_ids(SERVICE, "decode", "")).id


def test_choices_of_many_vms_are_spread():
    # While a leader was silent for a second, 62 decodes were turned away by the few engines that had looked idle.
    assert len({pool_of(40).pick(SERVICE, "decode", 10).id for _ in range(50)}) == 1, "without a sample"
    (_, most), *_ = Counter(choose(pool_of(40)) for _ in range(400)).most_common(1)
    assert most < 100


@pytest.mark.parametrize("count", [1, 2, 3])
def test_few_servers_are_all_in_the_sample(count):
    assert pool_of(count).unsampled_ids(SERVICE, "decode", "") == set()
