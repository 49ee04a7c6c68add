"""Guards against a daemon that accepts invalid settings or reports them with a traceback."""

import json
import subprocess
import sys

import pytest

CONTROL = {"rpc": "127.0.0.1:7401", "http": "127.0.0.1:7400", "data_folder": "x"}
VALID = {
    "vm": "control1",
    "data_centre": "dc1",
    "control_addresses": ["127.0.0.1:7401"],
    "control": {**CONTROL, "operator_token_sha256_by_name": {"ops": "0" * 64}},
}


def run_daemon(path) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "arbutusrill_daemon", "--settings", str(path)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (json.dumps({**VALID, "speed": 1}), "speed: unknown key"),
        (json.dumps({**VALID, "vm": 7}), "vm: expected `str`, got `int`"),
        (json.dumps({**VALID, "control": None}), "expected a section entry or control"),
        (json.dumps({**VALID, "control_addresses": ["localhost:1"]}), "expected an address IP:port"),
        ('{"vm": ', "expected JSON"),
    ],
)
def test_invalid_settings_give_one_line_and_exit_code_2(tmp_path, text, expected):
    path = tmp_path / "settings.json"
    path.write_text(text)
    result = run_daemon(path)
    assert result.returncode == 2
    assert result.stdout == ""
    assert result.stderr.count("\n") == 1
    assert str(path) in result.stderr
    assert expected in result.stderr
