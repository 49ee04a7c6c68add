"""Guards against leases that do not expire while a VM is suspended, because its clock does not advance."""

import time

import pytest
from arbutusrill_base import BootClock

from arbutusrill_raft import Replica

from .group import ListMachine, MemoryDisk


def test_clock_of_a_replica_advances_during_suspension(monkeypatch):
    replica = Replica("10.0.0.1:1", [], MemoryDisk(), ListMachine())
    clock = replica._core.clock
    suspended_s = 5.0
    before = clock.monotonic()
    real_clock_gettime = time.clock_gettime
    monkeypatch.setattr(
        time,
        "clock_gettime",
        lambda kind: real_clock_gettime(kind) + (suspended_s if kind == time.CLOCK_BOOTTIME else 0.0),
    )
    assert clock.monotonic() - before >= suspended_s


def test_boot_clock_equals_clock_boottime():
    assert BootClock().monotonic() == pytest.approx(time.clock_gettime(time.CLOCK_BOOTTIME), abs=1.0)
