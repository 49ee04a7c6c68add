"""Command-line entry point of the daemon."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer
from arbutusrill_base import PartLog, ProcessSignals, configure_logs, load_settings
from arbutusrill_raft import StorageError

from ._roles import run_roles
from ._settings import DaemonSettings

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2
_THREAD_SWITCH_INTERVAL_S = 0.0005  # at Python's default of 5 ms, threads wait too long for the GIL after a system call
EXIT_BAD_STORAGE = 3
_SHUTDOWN_S = 20.0  # for the roles to end after the drain, at most
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
    drain_limit_s = parsed_settings.entry.drain_limit_s if parsed_settings.entry is not None else 0.0
    with ProcessSignals(_explain_reload, drain_limit_s + _SHUTDOWN_S, _SHUTDOWN_S) as signals:
        _log.info("daemon of VM %s starts", parsed_settings.vm)
        try:
            run_roles(parsed_settings, signals)
        except StorageError as error:
            print(f"arbutusrilld: data folder: {error}", file=sys.stderr)
            raise SystemExit(EXIT_BAD_STORAGE) from None
    _log.info("daemon of VM %s stops", parsed_settings.vm)


def _explain_reload() -> None:
    _log.warning("SIGHUP ignored: settings are read at the start only")


def main() -> None:
    """Parses the command line and runs the daemon.

    Exits with 2 for bad settings, 3 for damaged storage and 4 if the roles did not end in time after a stop signal.
    """
    typer.run(_run)
