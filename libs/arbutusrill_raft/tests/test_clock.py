"""Guards against leases that a suspended VM believes to hold for the time for which it did not run."""

import time

import pytest
from arbutusrill_base import BootClock

from arbutusrill_raft import Replica

from .group import ListMachine, MemoryDisk


def test_replica_counts_the_time_of_a_suspension(monkeypatch):
    replica = Replica("10.0.0.1:1", [], MemoryDisk(), ListMachine())
    clock = replica._core.clock
    suspended_s = 5.0
    before = clock.monotonic()
    running = time.clock_gettime
    monkeypatch.setattr(
        time, "clock_gettime", lambda kind: running(kind) + (suspended_s if kind == time.CLOCK_BOOTTIME else 0.0)
    )
    assert clock.monotonic() - before >= suspended_s


def test_boot_clock_is_that_of_the_operating_system():
    assert BootClock().monotonic() == pytest.approx(time.clock_gettime(time.CLOCK_BOOTTIME), abs=1.0)
