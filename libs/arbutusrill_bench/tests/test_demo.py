"""Checks that the demo succeeds and leaves no processes running."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest


def test_demo_succeeds_and_leaves_no_process():
    marker = f"demo-test-{os.getpid()}"
    environment = {**os.environ, "ARBUTUSRILL_DEMO_MARKER": marker}
    done = subprocess.run(
        [sys.executable, "-m", "arbutusrill_bench.demo"], env=environment, capture_output=True, text=True, timeout=120
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "demo finished" in done.stdout
    assert not processes_with(marker)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_stopped_demo_leaves_no_process(number):
    # SIGTERM ended the demo at once, and the processes of its site ran on.
    marker = f"stopped-demo-test-{os.getpid()}"
    environment = {**os.environ, "ARBUTUSRILL_DEMO_MARKER": marker}
    command = [sys.executable, "-m", "arbutusrill_bench.demo", "--keep"]
    with subprocess.Popen(command, env=environment, stdout=subprocess.PIPE, text=True) as demo:
        while "Ctrl-C ends the site." not in (line := demo.stdout.readline()):
            assert line, "the demo has ended"
        for _ in range(3):
            demo.send_signal(number)
        assert demo.wait(60) == 0
    assert not processes_with(marker)


def processes_with(marker: str) -> list[str]:
    found = []
    for folder in Path("/proc").iterdir():
        try:
            if folder.name.isdigit() and marker.encode() in (folder / "environ").read_bytes():
                found.append(folder.name)
        except OSError:
            continue
    return found
