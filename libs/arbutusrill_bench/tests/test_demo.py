"""Checks that the demo succeeds and leaves no processes running."""

import os
import subprocess
import sys
from pathlib import Path


def test_demo_succeeds_and_leaves_no_process():
    marker = f"demo-test-{os.getpid()}"
    environment = {**os.environ, "ARBUTUSRILL_DEMO_MARKER": marker}
    done = subprocess.run(
        [sys.executable, "-m", "arbutusrill_bench.demo"], env=environment, capture_output=True, text=True, timeout=120
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "demo finished" in done.stdout
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
