"""Command-line entry point of the daemon."""

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
_THREAD_SWITCH_INTERVAL_S = 0.0005  # at Python's default of 5 ms, threads wait too long for the GIL after a system call
EXIT_BAD_STORAGE = 3
_log = PartLog("daemon")


def _run(settings: Annotated[Path, typer.Option(help="settings file in JSON")]) -> None:
    """Runs the roles in the settings file until SIGTERM or SIGINT; a second signal aborts the remaining requests."""
    load_result = load_settings(settings, DaemonSettings)
    if load_result.is_error():
        print(f"arbutusrilld: {load_result.error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS)
    parsed_settings = load_result.ok
    configure_logs(parsed_settings.log_level)
    sys.setswitchinterval(_THREAD_SWITCH_INTERVAL_S)
    stopping, force_stop = threading.Event(), threading.Event()

    def on_signal(*_: object) -> None:
        if stopping.is_set():
            force_stop.set()
        stopping.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, on_signal)
    _log.info("daemon of VM %s starts", parsed_settings.vm)
    try:
        run_roles(parsed_settings, stopping, force_stop)
    except StorageError as error:
        print(f"arbutusrilld: data folder: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_STORAGE) from None
    _log.info("daemon of VM %s stops", parsed_settings.vm)


def main() -> None:
    """Parses the command line and runs the daemon; exits with 2 for bad settings and 3 for damaged storage."""
    typer.run(_run)
