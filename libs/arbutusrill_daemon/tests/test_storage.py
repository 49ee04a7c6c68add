"""Guards against a control VM that starts with a damaged log file."""

import subprocess

from arbutusrill_bench import LocalSite


def test_damaged_log_file_gives_one_line_and_exit_code_3():
    with LocalSite(controls=1, entries=0) as site:
        for number in range(3):
            site.operators.call("PUT", f"/workspaces/w{number}", {"rate": 1, "burst": 1})
        site.kill("control1")
        log = next((site.folder / "control1").glob("log-*"))
        data = bytearray(log.read_bytes())
        data[30] ^= 0xFF
        log.write_bytes(data)
        result = subprocess.run(
            site.members_by_name["control1"].command, capture_output=True, text=True, timeout=60, check=False
        )
        assert result.returncode == 3
        last_line = result.stderr.strip().splitlines()[-1]
        assert last_line.startswith("arbutusrilld: data folder: log-")
        assert "damaged at byte" in last_line
