"""Guards against signals that are not handled when the main thread does not run Python code."""

import os
import signal
import subprocess
import sys
import threading
import time

import pytest

from arbutusrill_base import EXIT_STOPPED_LATE, PauseDetector, ProcessSignals

PROGRAM = """
import os, sys, threading, time
from arbutusrill_base import ProcessSignals

stop_limit_s, forced_limit_s, work_s = (float(value) for value in sys.argv[1:])
# Other threads take a part of the signals.
for _ in range(8):
    threading.Thread(target=lambda: [time.sleep(0.01) for _ in range(100_000)], daemon=True).start()
with ProcessSignals(lambda: os.write(1, b"reload\\n"), stop_limit_s, forced_limit_s) as signals:
    os.write(1, b"ready\\n")
    signals.stop_requested.wait()
    os.write(1, b"stop %.1f\\n" % signals.seconds_left(10.0))
    signals.stop_forced.wait(work_s)
    os.write(1, b"end %d\\n" % signals.stop_forced.is_set())
os.write(1, b"late\\n")
time.sleep(0.3)
os._exit(0)
"""


@pytest.fixture
def start():
    started = []

    def start(stop_limit_s=30.0, forced_limit_s=30.0, work_s=0.0):
        arguments = [str(value) for value in (stop_limit_s, forced_limit_s, work_s)]
        process = subprocess.Popen([sys.executable, "-c", PROGRAM, *arguments], stdout=subprocess.PIPE, text=True)
        started.append(process)
        assert process.stdout.readline() == "ready\n"
        return process

    yield start
    for process in started:
        process.kill()
        process.wait()
        process.stdout.close()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("before", [(), (signal.SIGHUP,), (signal.SIGHUP,) * 5])
def test_stop_signal_is_handled_whatever_comes_before(start, number, before):
    processes = [start() for _ in range(8)]
    for process in processes:
        for earlier in before:
            process.send_signal(earlier)
        process.send_signal(number)
    for process in processes:
        assert process.wait(5) == 0


def test_stop_signal_of_a_suspended_process_is_handled_and_counts_from_the_suspension(start):
    processes = [start() for _ in range(8)]
    for process in processes:
        process.send_signal(signal.SIGSTOP)
    time.sleep(0.5)
    for process in processes:
        process.send_signal(signal.SIGTERM)
    time.sleep(1.0)
    for process in processes:
        process.send_signal(signal.SIGCONT)
    for process in processes:
        assert process.wait(5) == 0
        left_s = float(process.stdout.read().split()[1])
        assert left_s <= 8.8


def test_second_stop_signal_forces_the_end(start):
    process = start(work_s=20.0)
    process.send_signal(signal.SIGTERM)
    assert process.stdout.readline().startswith("stop")
    process.send_signal(signal.SIGTERM)
    assert process.wait(5) == 0
    assert "end 1" in process.stdout.read()


@pytest.mark.parametrize(("limits", "signals"), [((0.5, 30.0), 1), ((30.0, 0.5), 2)])
def test_process_that_does_not_end_in_time_exits(limits, signals):
    program = (
        "import os, time, sys; from arbutusrill_base import ProcessSignals\n"
        "with ProcessSignals(lambda: None, *map(float, sys.argv[1:])):\n"
        "    os.write(1, b'ready\\n'); time.sleep(60)"
    )
    arguments = [sys.executable, "-c", program, *(str(value) for value in limits)]
    with subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True) as process:
        try:
            assert process.stdout.readline() == "ready\n"
            started = time.monotonic()
            for _ in range(signals):
                process.send_signal(signal.SIGTERM)
                time.sleep(0.1)
            assert process.wait(5) == EXIT_STOPPED_LATE
            assert time.monotonic() - started >= 0.5
        finally:
            process.kill()


def test_signals_after_the_context_do_not_end_the_process(start):
    process = start()
    process.send_signal(signal.SIGTERM)
    while process.stdout.readline() != "late\n":
        pass
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        process.send_signal(number)
    assert process.wait(5) == 0


def test_reload_is_called_in_a_process_that_does_nothing():
    called = threading.Event()
    with ProcessSignals(called.set):
        os.kill(os.getpid(), signal.SIGHUP)
        assert called.wait(5)


def test_pauses_that_follow_each_other_count_as_one():
    pauses = PauseDetector(0.25, 0.0)
    assert pauses.earliest(4.0) == 0.0
    pauses.observe(4.1)
    assert pauses.earliest(8.0) == 0.0
    assert pauses.earliest(8.2) == 0.0
    assert pauses.earliest(8.4) == 8.4
