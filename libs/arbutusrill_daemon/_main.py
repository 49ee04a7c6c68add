"""Command line of the daemon."""

from __future__ import annotations

import signal
import sys
import threading
from pathlib import Path
from typing import Annotated

import typer
from arbutusrill_base import PartLog, configure_logs, load_settings
from arbutusrill_raft import StorageError

from ._roles import run_roles
from ._settings import DaemonSettings

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2
_SWITCH_S = 0.0005  # with the usual 5 ms, a thread that returns from a system call waits too long for its turn
EXIT_BAD_STORAGE = 3
_log = PartLog("daemon")


def _run(settings: Annotated[Path, typer.Option(help="settings file in JSON")]) -> None:
    """Serves the roles that the settings file names until SIGTERM or SIGINT; a second one cuts what is left."""
    loaded = load_settings(settings, DaemonSettings)
    if loaded.is_error():
        print(f"arbutusrilld: {loaded.error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS)
    checked = loaded.ok
    configure_logs(checked.log_level)
    sys.setswitchinterval(_SWITCH_S)
    stopping, hurry = threading.Event(), threading.Event()

    def on_signal(*_: object) -> None:
        if stopping.is_set():
            hurry.set()
        stopping.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    _log.info("VM %s starts", checked.vm)
    try:
        run_roles(checked, stopping, hurry)
    except StorageError as error:
        print(f"arbutusrilld: data folder: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_STORAGE) from None
    _log.info("VM %s stops", checked.vm)


def main() -> None:
    """Runs the daemon."""
    typer.run(_run)
